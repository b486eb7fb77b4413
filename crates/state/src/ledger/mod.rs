//! Shares of limits and loans between daemons.
//!
//! Every limit is divided into base shares, one per daemon of its home set. A daemon spends only its own share and the
//! loans that it holds, so the sum over all daemons stays below the limit without any agreement.
//!
//! # Loans
//!
//! The lender reserves the units before its grant leaves, and frees them when the loan is returned or at the end of
//! [`LOAN_LIFETIME`] plus [drift margin](with_drift_margin), counted from the grant. The borrower counts from the
//! time at which it sent the request, which was earlier: it starts requests for [`LOAN_TERM`], and they end within
//! [`MAX_RUN_TIME`] after that. So the borrower's use of a loan is over before the lender uses the
//! units again, whatever happens to the messages in between.
//!
//! # Renewal
//!
//! A renewal is a new request, with its own id, that names the loan it renews. The lender puts both loans into one
//! chain and reserves the higher of the two, not the sum, each for its own lifetime. The borrower accepts a grant at
//! most once and only while the request is outstanding; the new loan then takes the place of the old one, together
//! with the units in use on it.
//!
//! | Event | Result |
//! | --- | --- |
//! | request or grant lost, grant late | the request is withdrawn by a return that leaves the old loan in place; a later grant is refused and returned; another renewal may follow until the old loan ends |
//! | request duplicated | the lender repeats the first grant and reserves nothing more |
//! | grant duplicated | refused, since the request is no longer outstanding |
//! | return before its request | the lender keeps the id of a returned loan for [`LOAN_TERM`] plus margin and grants nothing for it |
//! | renewal after the old loan was returned | treated as a first request; the borrower refuses and returns the grant |
//! | return lost | the units are reserved until the loan is over |

mod division;
mod granted;
mod held;
mod key;
mod message;
mod startup;
mod view;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub use self::division::HOME_SET_MAX;
use self::division::{HomeSet, Roster, key_hash};
use self::granted::{Granted, GrantedLoan};
use self::held::{Held, LoanPart};
pub use self::key::{LimitKey, Scope, Units};
pub use self::message::{
    AuditedLoan, LoanAudit, LoanAuditAnswer, LoanGrant, LoanId, LoanItem, LoanRequest, LoanReturn, LoanTarget,
};
use self::startup::Startup;
use crate::id::{Incarnation, NodeId};
use crate::model::{Fleet, MAX_RUN_TIME};
use crate::time::Timestamp;

/// Time, from the request, during which a borrower starts requests on a loan. Together with the interval of the health
/// polls it stays under the 2 s after which a leaving backend server gets no new work.
pub const LOAN_TERM: Duration = Duration::from_secs(1);

/// Time, from the request, after which nothing runs on a loan.
pub const LOAN_LIFETIME: Duration = LOAN_TERM.saturating_add(MAX_RUN_TIME);

/// A loan that was not used for this time is returned.
pub const IDLE_LOAN_TIMEOUT: Duration = Duration::from_millis(200);

/// A request for a loan is withdrawn if no answer arrives within this time (chosen: four round trips between the most
/// distant regions of the current deployments).
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// A used loan is renewed this long before its term ends, so that two lost requests leave time for a third.
pub const RENEWAL_LEAD_TIME: Duration = Duration::from_millis(700);

/// Period of the audits of a daemon that has just started.
pub const AUDIT_PERIOD: Duration = Duration::from_millis(200);

/// Fixed part of the drift margin. It covers the resolution of the clocks.
const DRIFT_FIXED: Duration = Duration::from_millis(50);

/// The proportional part of the drift margin is one part in this number (5 %), enough for two clocks that differ from
/// real time by up to 2 % each in opposite directions.
const DRIFT_DIVISOR: u32 = 20;

/// `span` plus the margin for clocks that run at different speeds.
///
/// ```
/// use std::time::Duration;
/// use medlarstair_state::ledger::with_drift_margin;
/// assert_eq!(with_drift_margin(Duration::from_secs(10)), Duration::from_millis(10_550));
/// ```
pub fn with_drift_margin(span: Duration) -> Duration {
    span + span / DRIFT_DIVISOR + DRIFT_FIXED
}

/// Units in use. Returned by [`Ledger::acquire`] and given back to [`Ledger::release`].
#[derive(Debug)]
#[must_use = "the units stay in use until the hold is released"]
pub struct Hold {
    key: Arc<LimitKey>,
    base: Units,
    loans: Vec<LoanPart>,
    run_until: Option<Timestamp>,
}

impl Hold {
    /// When the work must have ended at the latest. `None`: the base share pays, and the work is limited by
    /// [`MAX_RUN_TIME`] only.
    pub fn deadline(&self) -> Option<Timestamp> {
        self.run_until
    }

    /// The limit that the units belong to.
    pub fn key(&self) -> &LimitKey {
        &self.key
    }
}

/// Shares and loans of one daemon.
///
/// ```
/// use medlarstair_state::id::{Boot, Incarnation, NodeId};
/// use medlarstair_state::ledger::{Ledger, LimitKey, Scope, Units};
/// use medlarstair_state::model::{Fleet, FleetMember};
/// use medlarstair_state::time::Timestamp;
///
/// let now = Timestamp::ZERO;
/// let address = "127.0.0.1:7000".parse().unwrap();
/// let member = FleetMember {
///     node: NodeId(1),
///     region: "muscat".parse().unwrap(),
///     domain: "muscat-1".parse().unwrap(),
///     peer_address: address,
///     http_address: address,
/// };
/// let mut ledger = Ledger::new(Incarnation { node: NodeId(1), boot: Boot(1) }, now);
/// ledger.set_fleet(now, &Fleet { members: vec![member], previous: vec![] });
/// let key = LimitKey::Rate("acme".parse().unwrap(), "stock".parse().unwrap());
/// ledger.set_limit(now, key.clone(), Units(3), Scope::Fleet);
///
/// let hold = ledger.acquire(now, &key, Units(2)).unwrap();
/// assert_eq!(ledger.free_units(now, &key), Units(1));
/// ledger.release(now, hold);
/// assert_eq!(ledger.free_units(now, &key), Units(3));
/// ```
#[derive(Debug)]
pub struct Ledger {
    me: Incarnation,
    members: Roster,
    /// Empty unless a change of the fleet is under way.
    previous: Roster,
    limits: BTreeMap<Arc<LimitKey>, LimitState>,
    granted: Granted,
    held: Held,
    startup: Startup,
}

#[derive(Debug)]
struct LimitState {
    key: Arc<LimitKey>,
    hash: u64,
    scope: Scope,
    limit: Units,
    home: HomeSet,
    share: Units,
    /// Units of the base share in use.
    in_use: Units,
    is_removed: bool,
}

impl LimitState {
    fn divide(&mut self, me: NodeId, members: &Roster, previous: &Roster) {
        self.home = members.home_set(&self.scope, self.hash);
        self.share = self.home.share(self.limit, self.hash, me);
        if previous.nodes().is_empty() {
            return;
        }
        let before = previous.home_set(&self.scope, self.hash).share(self.limit, self.hash, me);
        self.share = self.share.min(before);
    }
}

impl Ledger {
    /// The ledger of a daemon that starts now. It has no shares before the first [`Ledger::set_fleet`], and neither
    /// spends nor lends them before its [audits](Ledger::due_audits) are answered or every loan of its earlier boots is
    /// over. It may borrow from others at once.
    pub fn new(me: Incarnation, now: Timestamp) -> Self {
        Self {
            me,
            members: Roster::default(),
            previous: Roster::default(),
            limits: BTreeMap::new(),
            granted: Granted::default(),
            held: Held::new(me),
            startup: Startup::new(me, now),
        }
    }

    /// Recomputes every share. While the fleet has previous members, a share is the minimum of both divisions.
    pub fn set_fleet(&mut self, now: Timestamp, fleet: &Fleet) {
        self.expire(now);
        self.members = Roster::new(&fleet.members);
        self.previous = Roster::new(&fleet.previous);
        for state in self.limits.values_mut() {
            state.divide(self.me.node, &self.members, &self.previous);
        }
        self.startup.set_fleet(self.members.nodes().iter().chain(self.previous.nodes()).copied());
    }

    /// Sets a limit and, at once, this daemon's share of it. Units in use and loans above a lowered share run out.
    pub fn set_limit(&mut self, now: Timestamp, key: LimitKey, limit: Units, scope: Scope) {
        self.expire(now);
        let state = self.limits.entry(Arc::new(key)).or_insert_with_key(|key| LimitState {
            key: key.clone(),
            hash: key_hash(key),
            scope: scope.clone(),
            limit,
            home: HomeSet::default(),
            share: Units::ZERO,
            in_use: Units::ZERO,
            is_removed: false,
        });
        state.scope = scope;
        state.limit = limit;
        state.is_removed = false;
        state.divide(self.me.node, &self.members, &self.previous);
    }

    /// Removes a limit. Units in use and loans run out.
    pub fn remove_limit(&mut self, now: Timestamp, key: &LimitKey) {
        self.expire(now);
        let Some(state) = self.limits.get_mut(key) else { return };
        state.limit = Units::ZERO;
        state.share = Units::ZERO;
        state.is_removed = true;
        if state.in_use == Units::ZERO {
            self.limits.remove(key);
        }
    }

    /// The daemons that have base shares of a limit, without regard to previous members of the fleet.
    pub fn home_set(&self, key: &LimitKey) -> &[NodeId] {
        self.limits.get(key).map(|s| &*s.home.nodes).unwrap_or_default()
    }

    /// Base share of this daemon.
    pub fn base_share(&self, key: &LimitKey) -> Units {
        self.limits.get(key).map(|s| s.share).unwrap_or_default()
    }

    /// Units that this daemon may use now: its share without what it lent, and the loans on which it may start work.
    /// Units in use on these are included.
    pub fn usable_units(&self, now: Timestamp, key: &LimitKey) -> Units {
        self.usable_share(now, key).saturating_add(self.held.usable(now, key))
    }

    /// Usable units that are not in use.
    pub fn free_units(&self, now: Timestamp, key: &LimitKey) -> Units {
        self.lendable_units(now, key).saturating_add(self.held.free(now, key))
    }

    /// Units of the base share that are neither lent nor in use.
    pub fn lendable_units(&self, now: Timestamp, key: &LimitKey) -> Units {
        let in_use = self.limits.get(key).map(|s| s.in_use).unwrap_or_default();
        self.usable_share(now, key).saturating_sub(in_use)
    }

    fn usable_share(&self, now: Timestamp, key: &LimitKey) -> Units {
        if !self.startup.is_over(now) {
            return Units::ZERO;
        }
        self.base_share(key).saturating_sub(self.granted.reserved(key))
    }

    /// Takes `units` into use, from the base share first, or `None` if fewer are free.
    ///
    /// The caller dispatches the work right after this call and ends it by [`Hold::deadline`].
    pub fn acquire(&mut self, now: Timestamp, key: &LimitKey, units: Units) -> Option<Hold> {
        let base = self.lendable_units(now, key).min(units);
        let missing = units.saturating_sub(base);
        if missing > self.held.free(now, key) {
            return None;
        }
        let (loans, run_until) = match missing {
            Units::ZERO => (Vec::new(), None),
            _ => self.held.take(now, key, missing),
        };
        let key = match self.limits.get_mut(key) {
            Some(state) => {
                state.in_use = state.in_use.saturating_add(base);
                state.key.clone()
            }
            None => Arc::new(key.clone()),
        };
        Some(Hold { key, base, loans, run_until })
    }

    /// Ends the use of the units of `hold`. The work must have ended.
    pub fn release(&mut self, now: Timestamp, hold: Hold) {
        self.held.release(now, &hold.key, &hold.loans);
        if hold.base == Units::ZERO {
            return;
        }
        let Some(state) = self.limits.get_mut(&hold.key) else { return };
        state.in_use = state.in_use.saturating_sub(hold.base);
        if state.is_removed && state.in_use == Units::ZERO {
            self.limits.remove(&hold.key);
        }
    }

    /// Marks the loans of a limit as used. For limits that are spent by the rate of a token bucket, without holds.
    pub fn mark_loans_used(&mut self, now: Timestamp, key: &LimitKey) {
        self.held.mark_used(now, key);
    }

    /// Asks `lender` for a loan. `None`: the same request is outstanding, or nothing is asked for, or the lender is
    /// this daemon.
    pub fn request_loan(
        &mut self,
        now: Timestamp,
        lender: NodeId,
        want: LoanTarget,
        units: Units,
    ) -> Option<LoanRequest> {
        self.held.expire(now);
        self.held.request(now, lender, want, units)
    }

    /// Requests to renew the loans that are in demand and about to end. To be called on every tick.
    pub fn due_renewals(&mut self, now: Timestamp) -> Vec<LoanRequest> {
        self.held.expire(now);
        self.held.due_renewals(now)
    }

    /// What [`Ledger::lend`] would grant of the loan that `req` renews. Empty if the request is no renewal or that
    /// loan is not known any more. The caller leaves out what it does not want to renew.
    pub fn renewable_items(&self, now: Timestamp, req: &LoanRequest) -> Vec<LoanItem> {
        let Some(old) = req.renews else { return Vec::new() };
        let mut items = self.granted.items(&old).unwrap_or_default().to_vec();
        for item in &mut items {
            item.units = item.units.min(self.lendable_to(now, &item.key, &old));
        }
        items.retain(|i| i.units > Units::ZERO);
        items
    }

    /// Lends `items`, as far as they are lendable, and returns the grant to send. A repeated request gets the same
    /// grant again and reserves nothing more.
    ///
    /// Only members of the fleet, and of the previous fleet during a change, get loans: after a restart of this daemon
    /// under either fleet value, its audits reach every borrower.
    pub fn lend(&mut self, now: Timestamp, req: &LoanRequest, items: &[LoanItem]) -> LoanGrant {
        self.expire(now);
        let mut grant = LoanGrant { id: req.id, lender: self.me, items: Vec::new() };
        if let Some(items) = self.granted.items(&req.id) {
            grant.items = items.to_vec();
            return grant;
        }
        if !self.may_lend(req) {
            return grant;
        }
        let mut asked = BTreeMap::new();
        for item in items {
            let sum: &mut Units = asked.entry(&item.key).or_default();
            *sum = sum.saturating_add(item.units);
        }
        let replaced = req.renews.unwrap_or(req.id);
        for (key, units) in asked {
            let units = units.min(self.lendable_to(now, key, &replaced));
            if units > Units::ZERO {
                grant.items.push(LoanItem { key: key.clone(), units });
            }
        }
        if !grant.items.is_empty() {
            self.granted.grant(now, req.id, grant.items.clone(), req.renews);
        }
        grant
    }

    fn may_lend(&self, req: &LoanRequest) -> bool {
        let borrower = req.id.borrower.node;
        let is_member = |r: &Roster| r.contains(borrower);
        req.lender == self.me.node
            && borrower != self.me.node
            && !self.granted.is_returned(&req.id)
            && is_member(&self.members)
            && (self.previous.nodes().is_empty() || is_member(&self.previous))
    }

    /// Lendable units if the chain of `loan` were free.
    fn lendable_to(&self, now: Timestamp, key: &LimitKey, loan: &LoanId) -> Units {
        let Some(state) = self.limits.get(key) else { return Units::ZERO };
        if !self.startup.is_over(now) {
            return Units::ZERO;
        }
        let others = self.granted.reserved(key).saturating_sub(self.granted.reserved_by(loan, key));
        state.share.saturating_sub(others).saturating_sub(state.in_use)
    }

    /// Takes over a loan. `false`: the grant is late, unknown, a duplicate or from an earlier boot of the lender.
    pub fn on_grant(&mut self, now: Timestamp, grant: &LoanGrant) -> bool {
        self.held.expire(now);
        self.held.on_grant(now, grant)
    }

    /// Frees the units of a returned loan.
    pub fn on_return(&mut self, now: Timestamp, ret: &LoanReturn) {
        self.expire(now);
        self.granted.on_return(now, ret);
    }

    /// Returns to send: of loans unused for [`IDLE_LOAN_TIMEOUT`] or past their term, of grants that were refused and of
    /// requests that were withdrawn. To be called on every tick.
    pub fn take_returns(&mut self, now: Timestamp) -> Vec<(NodeId, LoanReturn)> {
        self.held.expire(now);
        self.held.take_returns(now)
    }

    /// Audits to send after the start, repeated every [`AUDIT_PERIOD`] until answered. To be called on every tick.
    pub fn due_audits(&mut self, now: Timestamp) -> Vec<(NodeId, LoanAudit)> {
        self.startup.due_audits(now)
    }

    /// Answers an audit. Grants of earlier boots of the lender are refused from now on.
    pub fn on_audit(&mut self, now: Timestamp, audit: &LoanAudit) -> LoanAuditAnswer {
        self.held.expire(now);
        self.held.on_audit(audit)
    }

    /// Reserves the loans of earlier boots that the borrower reports. Only its first answer counts: the borrower can
    /// have fewer such loans later, but not more.
    pub fn on_audit_answer(&mut self, now: Timestamp, ans: &LoanAuditAnswer) {
        if ans.lender != self.me || !self.startup.on_answer(now, ans.borrower) {
            return;
        }
        for loan in &ans.loans {
            if self.granted.is_returned(&loan.id) {
                continue;
            }
            let hold_until = self.startup.until();
            self.granted.add(GrantedLoan { id: loan.id, items: loan.items.clone(), hold_until }, None);
        }
    }

    /// Whether the shares may be spent and lent.
    pub fn is_startup_over(&self, now: Timestamp) -> bool {
        self.startup.is_over(now)
    }

    /// Frees what is over. To be called on every tick.
    pub fn expire(&mut self, now: Timestamp) {
        self.granted.expire(now);
        self.held.expire(now);
    }
}
