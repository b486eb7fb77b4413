//! Loans that this daemon holds and requests for loans that it has sent.
//!
//! All times of a loan count from the moment at which its request was sent, which is before the lender granted it. A
//! request that is not answered within [`REQUEST_TIMEOUT`] is withdrawn: a grant that arrives later is refused, so
//! the lender gets its units back without waiting for the end of the loan.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::key::{LimitKey, Units};
use super::message::{
    AuditedLoan, LoanAudit, LoanAuditAnswer, LoanGrant, LoanId, LoanItem, LoanRequest, LoanReturn, LoanTarget,
};
use super::{IDLE_LOAN_TIMEOUT, LOAN_LIFETIME, LOAN_TERM, RENEWAL_LEAD_TIME, REQUEST_TIMEOUT};
use crate::id::{Boot, Incarnation, NodeId};
use crate::time::Timestamp;

/// Names a held loan across its renewals. Never used twice.
type Handle = u64;

/// Units of one held loan that a [`Hold`](super::Hold) uses.
#[derive(Debug)]
pub(super) struct LoanPart {
    loan: Handle,
    units: Units,
}

#[derive(Debug)]
pub(super) struct Held {
    me: Incarnation,
    next_sequence: u64,
    next_handle: Handle,
    /// By sequence number.
    pending: BTreeMap<u64, Pending>,
    loans: BTreeMap<Handle, HeldLoan>,
    by_key: BTreeMap<LimitKey, Vec<Handle>>,
    /// Grants of a lower boot are refused.
    lowest_boot: BTreeMap<NodeId, Boot>,
    /// Returns that [`Held::take_returns`] has yet to give out.
    returns: Vec<(NodeId, LoanReturn)>,
}

#[derive(Debug)]
struct Pending {
    lender: NodeId,
    want: LoanTarget,
    renews: Option<Handle>,
    sent: Timestamp,
}

#[derive(Debug)]
struct HeldLoan {
    id: LoanId,
    lender: Incarnation,
    want: LoanTarget,
    items: Vec<HeldItem>,
    dispatch_until: Timestamp,
    hold_until: Timestamp,
    renew_at: Timestamp,
    last_used: Timestamp,
    /// Whether units were taken since the last renewal.
    wanted: bool,
    /// Loans that this one replaced and on which requests may still run.
    replaced: Vec<ReplacedLoan>,
}

#[derive(Debug)]
struct HeldItem {
    key: LimitKey,
    units: Units,
    in_use: Units,
}

#[derive(Debug)]
struct ReplacedLoan {
    id: LoanId,
    hold_until: Timestamp,
}

impl HeldLoan {
    fn item(&self, key: &LimitKey) -> Option<&HeldItem> {
        self.items.iter().find(|i| i.key == *key)
    }

    fn item_mut(&mut self, key: &LimitKey) -> Option<&mut HeldItem> {
        self.items.iter_mut().find(|i| i.key == *key)
    }

    fn is_idle(&self, now: Timestamp) -> bool {
        let unused = self.items.iter().all(|i| i.in_use == Units::ZERO);
        unused && (now >= self.dispatch_until || now >= self.last_used + IDLE_LOAN_TIMEOUT)
    }

    fn is_worth_renewing(&self) -> bool {
        self.wanted || self.items.iter().all(|i| i.in_use >= i.units)
    }

    fn has_id(&self, id: &LoanId) -> bool {
        self.id == *id || self.replaced.iter().any(|r| r.id == *id)
    }

    fn mark_used(&mut self, now: Timestamp) {
        self.last_used = now;
        self.wanted = true;
    }

    /// Takes over a renewal. Units in use stay in use until they are released.
    fn renew(&mut self, now: Timestamp, grant: &LoanGrant, sent: Timestamp) {
        self.replaced.retain(|r| now < r.hold_until);
        self.replaced.push(ReplacedLoan { id: self.id, hold_until: self.hold_until });
        for item in &mut self.items {
            item.units = Units::ZERO;
        }
        for new in &grant.items {
            match self.item_mut(&new.key) {
                Some(item) => item.units = new.units,
                None => self.items.push(HeldItem::new(new)),
            }
        }
        self.items.retain(|i| i.units.max(i.in_use) > Units::ZERO);
        self.id = grant.id;
        self.lender = grant.lender;
        self.set_times(sent);
    }

    fn set_times(&mut self, sent: Timestamp) {
        self.dispatch_until = sent + LOAN_TERM;
        self.hold_until = sent + LOAN_LIFETIME;
        self.renew_at = self.dispatch_until - RENEWAL_LEAD_TIME;
        self.wanted = false;
    }
}

impl HeldItem {
    fn new(item: &LoanItem) -> Self {
        Self { key: item.key.clone(), units: item.units, in_use: Units::ZERO }
    }
}

impl Held {
    pub(super) fn new(me: Incarnation) -> Self {
        Self {
            me,
            next_sequence: 0,
            next_handle: 0,
            pending: BTreeMap::new(),
            loans: BTreeMap::new(),
            by_key: BTreeMap::new(),
            lowest_boot: BTreeMap::new(),
            returns: Vec::new(),
        }
    }

    /// Asks for a new loan, unless the same request is outstanding.
    pub(super) fn request(
        &mut self,
        now: Timestamp,
        lender: NodeId,
        want: LoanTarget,
        units: Units,
    ) -> Option<LoanRequest> {
        let same = |p: &Pending| p.renews.is_none() && p.lender == lender && p.want == want;
        if lender == self.me.node || units == Units::ZERO || self.pending.values().any(same) {
            return None;
        }
        Some(self.send(Pending { lender, want, renews: None, sent: now }, units))
    }

    fn send(&mut self, pending: Pending, units: Units) -> LoanRequest {
        let id = LoanId { borrower: self.me, sequence: self.next_sequence };
        let renews = pending.renews.and_then(|h| self.loans.get(&h)).map(|l| l.id);
        let req = LoanRequest { id, lender: pending.lender, want: pending.want.clone(), units, renews };
        self.pending.insert(self.next_sequence, pending);
        self.next_sequence += 1;
        req
    }

    /// Requests to renew the loans that were used and are about to end.
    pub(super) fn due_renewals(&mut self, now: Timestamp) -> Vec<LoanRequest> {
        let mut due = Vec::new();
        for (&handle, loan) in &mut self.loans {
            if now < loan.renew_at || now >= loan.dispatch_until || !loan.is_worth_renewing() {
                continue;
            }
            loan.renew_at = now + REQUEST_TIMEOUT;
            let units = loan.items.iter().fold(Units::ZERO, |sum, i| sum.saturating_add(i.units));
            if units > Units::ZERO {
                due.push((handle, loan.lender.node, loan.want.clone(), units));
            }
        }
        let mut requests = Vec::new();
        for (handle, lender, want, units) in due {
            self.withdraw_renewal(handle);
            requests.push(self.send(Pending { lender, want, renews: Some(handle), sent: now }, units));
        }
        requests
    }

    pub(super) fn on_grant(&mut self, now: Timestamp, grant: &LoanGrant) -> bool {
        let lowest_boot = self.lowest_boot.get(&grant.lender.node);
        if grant.id.borrower != self.me || lowest_boot.is_some_and(|b| grant.lender.boot < *b) {
            return false;
        }
        let sequence = grant.id.sequence;
        let Some(pending) = self.pending.remove(&sequence) else {
            self.refuse_unknown(grant);
            return false;
        };
        if pending.lender != grant.lender.node {
            self.pending.insert(sequence, pending);
            return false;
        }
        self.accept(now, pending, grant);
        true
    }

    /// Returns a grant that was not accepted and never will be. A duplicate of a loan that is held, also of one that
    /// was renewed since, must not be returned: requests may still run on it.
    fn refuse_unknown(&mut self, grant: &LoanGrant) {
        if grant.items.is_empty() || self.loans.values().any(|l| l.has_id(&grant.id)) {
            return;
        }
        self.returns.push((grant.lender.node, LoanReturn { id: grant.id, accepted: false }));
    }

    fn accept(&mut self, now: Timestamp, pending: Pending, grant: &LoanGrant) {
        if grant.items.is_empty() {
            return;
        }
        let renewed = pending.renews.filter(|h| self.loans.contains_key(h));
        let handle = renewed.unwrap_or(self.next_handle);
        self.next_handle += u64::from(renewed.is_none());
        let mut loan = match self.take_loan(handle) {
            Some(loan) => loan,
            None => HeldLoan {
                id: grant.id,
                lender: grant.lender,
                want: pending.want,
                items: grant.items.iter().map(HeldItem::new).collect(),
                dispatch_until: now,
                hold_until: now,
                renew_at: now,
                last_used: now,
                wanted: false,
                replaced: Vec::new(),
            },
        };
        match renewed {
            Some(_) => loan.renew(now, grant, pending.sent),
            None => loan.set_times(pending.sent),
        }
        for item in &loan.items {
            self.by_key.entry(item.key.clone()).or_default().push(handle);
        }
        self.loans.insert(handle, loan);
    }

    fn take_loan(&mut self, handle: Handle) -> Option<HeldLoan> {
        let loan = self.loans.remove(&handle)?;
        for item in &loan.items {
            let Some(handles) = self.by_key.get_mut(&item.key) else { continue };
            handles.retain(|h| *h != handle);
            if handles.is_empty() {
                self.by_key.remove(&item.key);
            }
        }
        Some(loan)
    }

    /// Loans of `key` on which requests may be started now.
    fn open(&self, now: Timestamp, key: &LimitKey) -> impl Iterator<Item = (Handle, Timestamp, &HeldItem)> {
        let handles = self.by_key.get(key).map(Vec::as_slice).unwrap_or_default();
        let loans = handles.iter().filter_map(|h| Some((*h, self.loans.get(h)?)));
        loans
            .filter(move |(_, l)| now < l.dispatch_until)
            .filter_map(|(h, l)| Some((h, l.dispatch_until, l.item(key)?)))
    }

    pub(super) fn usable(&self, now: Timestamp, key: &LimitKey) -> Units {
        self.open(now, key).fold(Units::ZERO, |sum, (_, _, item)| sum.saturating_add(item.units))
    }

    pub(super) fn free(&self, now: Timestamp, key: &LimitKey) -> Units {
        self.open(now, key)
            .fold(Units::ZERO, |sum, (_, _, item)| sum.saturating_add(item.units.saturating_sub(item.in_use)))
    }

    /// Takes up to `units` and returns what it took and when requests on it must have ended. Loans with the most time
    /// left come first, so that the others fall idle and are returned.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        key: &LimitKey,
        units: Units,
    ) -> (Vec<LoanPart>, Option<Timestamp>) {
        let mut open: Vec<_> = self.open(now, key).map(|(h, until, _)| (Reverse(until), h)).collect();
        open.sort_unstable();
        let mut missing = units;
        let mut parts = Vec::new();
        let mut run_until = None;
        for (_, handle) in open {
            let Some(loan) = self.loans.get_mut(&handle) else { continue };
            let Some(item) = loan.item_mut(key) else { continue };
            let taken = item.units.saturating_sub(item.in_use).min(missing);
            if taken == Units::ZERO {
                continue;
            }
            item.in_use = item.in_use.saturating_add(taken);
            missing = missing.saturating_sub(taken);
            parts.push(LoanPart { loan: handle, units: taken });
            loan.mark_used(now);
            run_until = Some(run_until.map_or(loan.hold_until, |t: Timestamp| t.min(loan.hold_until)));
        }
        (parts, run_until)
    }

    /// Gives units back. A loan that is over is not known any more.
    pub(super) fn release(&mut self, now: Timestamp, key: &LimitKey, parts: &[LoanPart]) {
        for part in parts {
            let Some(loan) = self.loans.get_mut(&part.loan) else { continue };
            loan.last_used = now;
            let Some(item) = loan.item_mut(key) else { continue };
            item.in_use = item.in_use.saturating_sub(part.units);
        }
    }

    pub(super) fn mark_used(&mut self, now: Timestamp, key: &LimitKey) {
        for handle in self.by_key.get(key).into_iter().flatten() {
            if let Some(loan) = self.loans.get_mut(handle) {
                loan.mark_used(now);
            }
        }
    }

    /// Drops idle loans and gives out their returns, together with those of refused grants and withdrawn requests.
    pub(super) fn take_returns(&mut self, now: Timestamp) -> Vec<(NodeId, LoanReturn)> {
        let idle: Vec<_> = self.loans.iter().filter(|(_, l)| l.is_idle(now)).map(|(h, _)| *h).collect();
        for handle in idle {
            self.withdraw_renewal(handle);
            if let Some(loan) = self.take_loan(handle) {
                self.returns.push((loan.lender.node, LoanReturn { id: loan.id, accepted: true }));
            }
        }
        std::mem::take(&mut self.returns)
    }

    fn withdraw_renewal(&mut self, loan: Handle) {
        self.withdraw(|p| p.renews == Some(loan));
    }

    fn withdraw(&mut self, which: impl Fn(&Pending) -> bool) {
        for (sequence, pending) in self.pending.extract_if(.., |_, p| which(p)) {
            let id = LoanId { borrower: self.me, sequence };
            self.returns.push((pending.lender, LoanReturn { id, accepted: false }));
        }
    }

    /// Forgets loans that are over and withdraws requests without an answer.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.withdraw(|p| now >= p.sent + REQUEST_TIMEOUT);
        let over: Vec<_> = self.loans.iter().filter(|(_, l)| now >= l.hold_until).map(|(h, _)| *h).collect();
        for handle in over {
            self.withdraw_renewal(handle);
            self.take_loan(handle);
        }
    }

    pub(super) fn on_audit(&mut self, audit: &LoanAudit) -> LoanAuditAnswer {
        let lender = audit.lender;
        let lowest_boot = self.lowest_boot.entry(lender.node).or_insert(lender.boot);
        *lowest_boot = lender.boot.max(*lowest_boot);
        let earlier = |l: &&HeldLoan| l.lender.node == lender.node && l.lender.boot < lender.boot;
        let loans = self.loans.values().filter(earlier).map(HeldLoan::audited).collect();
        LoanAuditAnswer { borrower: self.me.node, lender, loans }
    }
}

impl HeldLoan {
    fn audited(&self) -> AuditedLoan {
        let item = |i: &HeldItem| LoanItem { key: i.key.clone(), units: i.units.max(i.in_use) };
        AuditedLoan { id: self.id, items: self.items.iter().map(item).collect() }
    }
}
