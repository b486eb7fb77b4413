//! Distributed enforcement of limits: base shares per daemon and time-limited loans between daemons.
//!
//! Every limit is divided into base shares, one for each daemon of its home set. A daemon uses only its own share and
//! the loans that it holds, so the units in use over all daemons never exceed the limit, and no consensus protocol is
//! needed.
//!
//! # Loans
//!
//! The lender reserves the units before it sends the grant. It frees them when the loan is returned, or
//! [`LOAN_LIFETIME`] plus the [drift margin](with_drift_margin) after the grant. The borrower measures from the time at
//! which it sent the request, which is earlier: it starts requests for [`LOAN_TERM`], and they end within [`MAX_RUN_TIME`]
//! after that. The borrower has therefore stopped using the units before the lender uses them again, even if messages
//! between the two are lost, delayed or duplicated.
//!
//! # Renewal
//!
//! A renewal is a new request, with its own id, that names the loan it renews. The lender links both loans into one
//! chain and reserves the maximum of the two instead of the sum, each for its own lifetime. The borrower accepts a
//! grant at most once and only while the request is outstanding; the new loan then replaces the old one and inherits
//! its units in use.
//!
//! | Event | Result |
//! | --- | --- |
//! | request or grant lost, grant late | the borrower withdraws the request by a return that does not affect the old loan; it refuses and returns a grant that arrives later; it may send another renewal until the old loan expires |
//! | request duplicated | the lender repeats the first grant and reserves nothing more |
//! | grant duplicated | refused, since the request is no longer outstanding |
//! | return before its request | the lender remembers the id of a returned loan for [`LOAN_TERM`] plus the drift margin and grants nothing for it |
//! | renewal after the old loan was returned | treated as a first request; the borrower refuses and returns the grant |
//! | return lost | the units stay reserved until the loan expires |

mod borrowed;
mod division;
mod granted;
mod key;
mod message;
mod startup;
mod view;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use self::borrowed::{BorrowedLoans, LoanPart};
pub use self::division::HOME_SET_MAX;
use self::division::{FleetIndex, HomeSet, key_hash};
use self::granted::{GrantedLoan, GrantedLoans};
pub use self::key::{LimitKey, Scope, Units};
pub use self::message::{
    AuditedLoan, LoanAudit, LoanAuditAnswer, LoanGrant, LoanId, LoanItem, LoanRequest, LoanReturn, LoanTarget,
};
use self::startup::Startup;
use crate::id::{Incarnation, NodeId};
use crate::model::{Fleet, MAX_RUN_TIME};
use crate::time::Timestamp;

/// Term of a loan, from the time of the loan request: the borrower starts requests on the loan only within it. Added to
/// the interval of the health polls, it stays below the 2 s after which a leaving backend server gets no new requests.
pub const LOAN_TERM: Duration = Duration::from_secs(1);

/// Lifetime of a loan, from the time of the loan request: every request on the loan has ended by then.
pub const LOAN_LIFETIME: Duration = LOAN_TERM.saturating_add(MAX_RUN_TIME);

/// Idle timeout of a loan, after which the borrower returns it.
pub const IDLE_LOAN_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of a loan request, after which it is withdrawn: four round trips between the most distant
/// regions of the current deployments.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Lead time of a renewal: a loan in use is renewed this long before the end of its term. Two renewal requests can be
/// lost and a third still arrives in time.
pub const RENEWAL_LEAD_TIME: Duration = Duration::from_millis(700);

/// Interval at which a daemon that has just started repeats an unanswered audit.
pub const AUDIT_PERIOD: Duration = Duration::from_millis(200);

/// Constant part of the drift margin. It covers the resolution of the clocks.
const DRIFT_FIXED: Duration = Duration::from_millis(50);

/// Reciprocal of the proportional part of the drift margin. The resulting 5 % is enough if one clock runs up to 2 %
/// fast and the other up to 2 % slow.
const DRIFT_DIVISOR: u32 = 20;

/// Extends `span` by the margin for clocks that run at different rates.
///
/// ```
/// use std::time::Duration;
/// use medlarstair_state::ledger::with_drift_margin;
/// assert_eq!(with_drift_margin(Duration::from_secs(10)), Duration::from_millis(10_550));
/// ```
pub fn with_drift_margin(span: Duration) -> Duration {
    span + span / DRIFT_DIVISOR + DRIFT_FIXED
}

/// Acquired units of one limit, from the base share, from loans or from both.
///
/// Returned by [`Ledger::acquire`]; the units stay in use until the hold is passed to [`Ledger::release`].
#[derive(Debug)]
#[must_use = "the units stay in use until the hold is released"]
pub struct Hold {
    key: Arc<LimitKey>,
    base: Units,
    loans: Vec<LoanPart>,
    deadline: Option<Timestamp>,
}

impl Hold {
    /// Time by which the request must have ended: the earliest expiry of the loans used. `None` if all units come from
    /// the base share; the request is then limited by [`MAX_RUN_TIME`] only.
    pub fn deadline(&self) -> Option<Timestamp> {
        self.deadline
    }

    /// The limit to which the units belong.
    pub fn key(&self) -> &LimitKey {
        &self.key
    }
}

/// Base shares, lent loans and borrowed loans of one daemon.
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
    members: FleetIndex,
    /// Members before the change; empty unless a fleet change is in progress.
    previous: FleetIndex,
    limits: BTreeMap<Arc<LimitKey>, LimitState>,
    granted: GrantedLoans,
    borrowed: BorrowedLoans,
    startup: Startup,
}

/// State of one limit at this daemon.
#[derive(Debug)]
struct LimitState {
    key: Arc<LimitKey>,
    hash: u64,
    scope: Scope,
    /// Units of the whole limit, over all daemons.
    limit: Units,
    home_set: HomeSet,
    /// Base share of this daemon.
    share: Units,
    /// Units of the base share in use.
    in_use: Units,
    /// Whether the limit was removed while units were in use.
    is_removed: bool,
}

impl LimitState {
    /// Recomputes the home set and the share. During a fleet change, the share is the smaller of those under both
    /// fleets.
    fn recompute_share(&mut self, me: NodeId, members: &FleetIndex, previous: &FleetIndex) {
        self.home_set = members.home_set(&self.scope, self.hash);
        self.share = self.home_set.share(self.limit, self.hash, me);
        if previous.nodes().is_empty() {
            return;
        }
        let before = previous.home_set(&self.scope, self.hash).share(self.limit, self.hash, me);
        self.share = self.share.min(before);
    }
}

impl Ledger {
    /// Creates the ledger of a daemon that starts at `now`.
    ///
    /// It has no shares before the first [`Ledger::set_fleet`]. It neither uses nor lends them until its
    /// [audits](Ledger::due_audits) are answered or every loan that an earlier boot granted has expired. Borrowing from
    /// other daemons is possible at once.
    pub fn new(me: Incarnation, now: Timestamp) -> Self {
        Self {
            me,
            members: FleetIndex::default(),
            previous: FleetIndex::default(),
            limits: BTreeMap::new(),
            granted: GrantedLoans::default(),
            borrowed: BorrowedLoans::new(me),
            startup: Startup::new(me, now),
        }
    }

    /// Recomputes every share. While a fleet change is in progress, a share is the smaller of the shares under the
    /// previous and the new members.
    pub fn set_fleet(&mut self, now: Timestamp, fleet: &Fleet) {
        self.expire(now);
        self.members = FleetIndex::new(&fleet.members);
        self.previous = FleetIndex::new(&fleet.previous);
        for state in self.limits.values_mut() {
            state.recompute_share(self.me.node, &self.members, &self.previous);
        }
        self.startup.set_fleet(self.members.nodes().iter().chain(self.previous.nodes()).copied());
    }

    /// Adds or changes a limit and recomputes this daemon's share of it.
    ///
    /// A lowered share takes effect at once for new requests. Units in use and granted loans above it are not revoked;
    /// they end with their requests or expire.
    pub fn set_limit(&mut self, now: Timestamp, key: LimitKey, limit: Units, scope: Scope) {
        self.expire(now);
        let state = self.limits.entry(Arc::new(key)).or_insert_with_key(|key| LimitState {
            key: key.clone(),
            hash: key_hash(key),
            scope: scope.clone(),
            limit,
            home_set: HomeSet::default(),
            share: Units::ZERO,
            in_use: Units::ZERO,
            is_removed: false,
        });
        state.scope = scope;
        state.limit = limit;
        state.is_removed = false;
        state.recompute_share(self.me.node, &self.members, &self.previous);
    }

    /// Removes a limit. Units in use and granted loans are not revoked; they end with their requests or expire.
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

    /// The daemons among which a limit is divided, by the current members of the fleet only. Empty for an unknown
    /// limit.
    pub fn home_set(&self, key: &LimitKey) -> &[NodeId] {
        self.limits.get(key).map(|s| &*s.home_set.nodes).unwrap_or_default()
    }

    /// Base share of this daemon, lent units included. Zero for an unknown limit.
    pub fn base_share(&self, key: &LimitKey) -> Units {
        self.limits.get(key).map(|s| s.share).unwrap_or_default()
    }

    /// Units that this daemon may use now, whether in use or free: its base share less the units lent, plus the loans
    /// on which it may still start requests.
    pub fn usable_units(&self, now: Timestamp, key: &LimitKey) -> Units {
        self.usable_share(now, key).saturating_add(self.borrowed.usable_units(now, key))
    }

    /// Usable units that are not in use: the most that [`Ledger::acquire`] can take.
    pub fn free_units(&self, now: Timestamp, key: &LimitKey) -> Units {
        self.lendable_units(now, key).saturating_add(self.borrowed.free_units(now, key))
    }

    /// Units of the base share that are neither lent nor in use.
    pub fn lendable_units(&self, now: Timestamp, key: &LimitKey) -> Units {
        let in_use = self.limits.get(key).map(|s| s.in_use).unwrap_or_default();
        self.usable_share(now, key).saturating_sub(in_use)
    }

    /// Units of the base share that are not lent. Zero until start-up is over.
    fn usable_share(&self, now: Timestamp, key: &LimitKey) -> Units {
        if !self.startup.is_over(now) {
            return Units::ZERO;
        }
        self.base_share(key).saturating_sub(self.granted.reserved(key))
    }

    /// Takes `units` into use, from the base share first. Returns `None` and takes nothing if fewer are free.
    ///
    /// The caller must dispatch the request immediately and end it by [`Hold::deadline`].
    pub fn acquire(&mut self, now: Timestamp, key: &LimitKey, units: Units) -> Option<Hold> {
        let base = self.lendable_units(now, key).min(units);
        let missing = units.saturating_sub(base);
        if missing > self.borrowed.free_units(now, key) {
            return None;
        }
        let (loans, deadline) = match missing {
            Units::ZERO => (Vec::new(), None),
            _ => self.borrowed.take(now, key, missing),
        };
        let key = match self.limits.get_mut(key) {
            Some(state) => {
                state.in_use = state.in_use.saturating_add(base);
                state.key.clone()
            }
            None => Arc::new(key.clone()),
        };
        Some(Hold { key, base, loans, deadline })
    }

    /// Releases the units of `hold`. The request must have ended.
    pub fn release(&mut self, now: Timestamp, hold: Hold) {
        self.borrowed.release(now, &hold.key, &hold.loans);
        if hold.base == Units::ZERO {
            return;
        }
        let Some(state) = self.limits.get_mut(&hold.key) else { return };
        state.in_use = state.in_use.saturating_sub(hold.base);
        if state.is_removed && state.in_use == Units::ZERO {
            self.limits.remove(&hold.key);
        }
    }

    /// Marks the loans of a limit as just used, so that they are renewed and not returned as idle. For limits that set
    /// the rate of a token bucket and take no holds.
    pub fn mark_loans_used(&mut self, now: Timestamp, key: &LimitKey) {
        self.borrowed.mark_used(now, key);
    }

    /// Creates a request for a loan of `units` from `lender`. Returns `None` if the same request is outstanding, if
    /// `units` is zero or if `lender` is this daemon.
    pub fn request_loan(
        &mut self,
        now: Timestamp,
        lender: NodeId,
        want: LoanTarget,
        units: Units,
    ) -> Option<LoanRequest> {
        self.borrowed.expire(now);
        self.borrowed.create_request(now, lender, want, units)
    }

    /// Renewal requests for the loans that are in use and near the end of their term. Call it on every tick.
    pub fn due_renewals(&mut self, now: Timestamp) -> Vec<LoanRequest> {
        self.borrowed.expire(now);
        self.borrowed.due_renewals(now)
    }

    /// The items of the loan that `req` renews, as far as [`Ledger::lend`] would grant them again. Empty if `req` is
    /// not a renewal or this daemon has no record of the renewed loan. The caller removes or reduces items that it will
    /// not renew.
    pub fn renewable_items(&self, now: Timestamp, req: &LoanRequest) -> Vec<LoanItem> {
        let Some(old) = req.renews else { return Vec::new() };
        let mut items = self.granted.items(&old).unwrap_or_default().to_vec();
        for item in &mut items {
            item.units = item.units.min(self.lendable_to(now, &item.key, &old));
        }
        items.retain(|i| i.units > Units::ZERO);
        items
    }

    /// Reserves the lendable part of `items` for the borrower and returns the grant to send; the grant has no items if
    /// nothing is lent. A repeated request gets the same grant again and reserves nothing more.
    ///
    /// Loans go only to members of the fleet and, during a fleet change, only to those that are also previous members.
    /// If this daemon restarts under either fleet value, its audits then reach every borrower.
    pub fn lend(&mut self, now: Timestamp, req: &LoanRequest, items: &[LoanItem]) -> LoanGrant {
        self.expire(now);
        let mut grant = LoanGrant { id: req.id, lender: self.me, items: Vec::new() };
        if let Some(items) = self.granted.items(&req.id) {
            grant.items = items.to_vec();
            return grant;
        }
        if !self.is_eligible(req) {
            return grant;
        }
        let mut requested = BTreeMap::new();
        for item in items {
            let sum: &mut Units = requested.entry(&item.key).or_default();
            *sum = sum.saturating_add(item.units);
        }
        let replaced = req.renews.unwrap_or(req.id);
        for (key, units) in requested {
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

    /// Whether a loan may be granted for the request at all, regardless of free units.
    fn is_eligible(&self, req: &LoanRequest) -> bool {
        let borrower = req.id.borrower.node;
        let is_member = |r: &FleetIndex| r.contains(borrower);
        req.lender == self.me.node
            && borrower != self.me.node
            && !self.granted.is_returned(&req.id)
            && is_member(&self.members)
            && (self.previous.nodes().is_empty() || is_member(&self.previous))
    }

    /// Lendable units, with the units already reserved for the chain of `loan` counted as free.
    fn lendable_to(&self, now: Timestamp, key: &LimitKey, loan: &LoanId) -> Units {
        let Some(state) = self.limits.get(key) else { return Units::ZERO };
        if !self.startup.is_over(now) {
            return Units::ZERO;
        }
        let others = self.granted.reserved(key).saturating_sub(self.granted.reserved_by(loan, key));
        state.share.saturating_sub(others).saturating_sub(state.in_use)
    }

    /// Handles a grant. Returns `false` if it is refused because it is late, unknown, a duplicate or from an earlier
    /// boot of the lender.
    pub fn on_grant(&mut self, now: Timestamp, grant: &LoanGrant) -> bool {
        self.borrowed.expire(now);
        self.borrowed.on_grant(now, grant)
    }

    /// Handles a return: frees the units reserved for the loan.
    pub fn on_return(&mut self, now: Timestamp, ret: &LoanReturn) {
        self.expire(now);
        self.granted.on_return(now, ret);
    }

    /// Gives up idle loans and takes the returns to send for them, for refused grants and for withdrawn requests. A
    /// loan is idle if none of its units is in use and it has been unused for [`IDLE_LOAN_TIMEOUT`] or is past its
    /// term. Call it on every tick.
    pub fn take_returns(&mut self, now: Timestamp) -> Vec<(NodeId, LoanReturn)> {
        self.borrowed.expire(now);
        self.borrowed.take_returns(now)
    }

    /// Audits to send after the start to daemons that have not answered, every [`AUDIT_PERIOD`]. Call it on every tick.
    pub fn due_audits(&mut self, now: Timestamp) -> Vec<(NodeId, LoanAudit)> {
        self.startup.due_audits(now)
    }

    /// Answers an audit. From then on, grants from earlier boots of that lender are refused.
    pub fn on_audit(&mut self, now: Timestamp, audit: &LoanAudit) -> LoanAuditAnswer {
        self.borrowed.expire(now);
        self.borrowed.on_audit(audit)
    }

    /// Handles an audit answer: reserves the loans from earlier boots that the borrower reports. Only the first answer
    /// counts, since a borrower that has answered can only lose such loans, not gain any.
    pub fn on_audit_answer(&mut self, now: Timestamp, ans: &LoanAuditAnswer) {
        if ans.lender != self.me || !self.startup.on_answer(now, ans.borrower) {
            return;
        }
        for loan in &ans.loans {
            if self.granted.is_returned(&loan.id) {
                continue;
            }
            let expires_at = self.startup.loans_expire_at();
            self.granted.add(GrantedLoan { id: loan.id, items: loan.items.clone(), expires_at }, None);
        }
    }

    /// Whether this daemon may use and lend its base shares: its audits are answered, or every loan from an earlier
    /// boot has expired.
    pub fn is_startup_over(&self, now: Timestamp) -> bool {
        self.startup.is_over(now)
    }

    /// Frees expired loans, granted and borrowed, and withdraws requests that timed out. Call it on every tick.
    pub fn expire(&mut self, now: Timestamp) {
        self.granted.expire(now);
        self.borrowed.expire(now);
    }
}
