//! The borrower side: loans that this daemon holds, and loan requests without an answer.
//!
//! All deadlines of a loan are measured from the time at which its request was sent, which is before the lender
//! granted it. A request that is not answered within [`REQUEST_TIMEOUT`] is withdrawn. A grant that arrives later is
//! refused, so that the lender frees the units before the loan expires.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::key::{LimitKey, Units};
use super::message::{
    AuditedLoan, LoanAudit, LoanAuditAnswer, LoanGrant, LoanId, LoanItem, LoanRequest, LoanReturn, LoanTarget,
};
use super::{IDLE_LOAN_TIMEOUT, LOAN_LIFETIME, LOAN_TERM, RENEWAL_LEAD_TIME, REQUEST_TIMEOUT};
use crate::id::{Boot, Incarnation, NodeId};
use crate::time::Timestamp;

/// Identifies a borrowed loan, which keeps its handle when it is renewed. Handles are not reused.
type LoanHandle = u64;

/// The units that a [`Hold`](super::Hold) takes from one borrowed loan.
#[derive(Debug)]
pub(super) struct LoanPart {
    loan: LoanHandle,
    units: Units,
}

/// Loans that this daemon has borrowed, and its outstanding requests.
#[derive(Debug)]
pub(super) struct BorrowedLoans {
    me: Incarnation,
    next_sequence: u64,
    next_handle: LoanHandle,
    /// Requests without an answer, by sequence number.
    pending: BTreeMap<u64, PendingRequest>,
    /// Loans that have not expired.
    loans: BTreeMap<LoanHandle, BorrowedLoan>,
    /// Loans that contain units of each limit.
    by_key: BTreeMap<LimitKey, Vec<LoanHandle>>,
    /// Lowest accepted boot of each lender that has sent an audit; grants from lower boots are refused.
    lowest_boot: BTreeMap<NodeId, Boot>,
    /// Returns to be sent, until [`BorrowedLoans::take_returns`] takes them.
    returns: Vec<(NodeId, LoanReturn)>,
}

/// A loan request without an answer.
#[derive(Debug)]
struct PendingRequest {
    lender: NodeId,
    want: LoanTarget,
    renews: Option<LoanHandle>,
    sent: Timestamp,
}

/// A loan that this daemon has borrowed.
#[derive(Debug)]
struct BorrowedLoan {
    id: LoanId,
    lender: Incarnation,
    want: LoanTarget,
    items: Vec<BorrowedItem>,
    /// End of the term, from which no request may be started on the loan.
    dispatch_until: Timestamp,
    /// End of the lifetime, by which every request on the loan has ended.
    expires_at: Timestamp,
    /// Time of the next renewal request.
    renew_at: Timestamp,
    last_used: Timestamp,
    /// Whether the loan has been used since it was granted or last renewed.
    in_demand: bool,
    /// Ids of this loan before its renewals, as long as requests that were started under them may run.
    replaced: Vec<ReplacedLoan>,
}

/// The units of one limit in a borrowed loan.
#[derive(Debug)]
struct BorrowedItem {
    key: LimitKey,
    units: Units,
    in_use: Units,
}

/// An earlier id of a renewed loan.
#[derive(Debug)]
struct ReplacedLoan {
    id: LoanId,
    expires_at: Timestamp,
}

impl BorrowedLoan {
    fn item(&self, key: &LimitKey) -> Option<&BorrowedItem> {
        self.items.iter().find(|i| i.key == *key)
    }

    fn item_mut(&mut self, key: &LimitKey) -> Option<&mut BorrowedItem> {
        self.items.iter_mut().find(|i| i.key == *key)
    }

    /// Whether no units are in use, and the loan is past its term or its idle timeout.
    fn is_idle(&self, now: Timestamp) -> bool {
        let unused = self.items.iter().all(|i| i.in_use == Units::ZERO);
        unused && (now >= self.dispatch_until || now >= self.last_used + IDLE_LOAN_TIMEOUT)
    }

    /// Whether the loan was used since its last renewal, or all its units are in use.
    fn is_worth_renewing(&self) -> bool {
        self.in_demand || self.items.iter().all(|i| i.in_use >= i.units)
    }

    /// Whether the loan has this id or had it before a renewal.
    fn has_id(&self, id: &LoanId) -> bool {
        self.id == *id || self.replaced.iter().any(|r| r.id == *id)
    }

    fn mark_used(&mut self, now: Timestamp) {
        self.last_used = now;
        self.in_demand = true;
    }

    /// Replaces the items by those of a renewal. Units in use stay in use until they are released, even above the new
    /// number of units.
    fn renew(&mut self, now: Timestamp, grant: &LoanGrant, sent: Timestamp) {
        self.replaced.retain(|r| now < r.expires_at);
        self.replaced.push(ReplacedLoan { id: self.id, expires_at: self.expires_at });
        for item in &mut self.items {
            item.units = Units::ZERO;
        }
        for new in &grant.items {
            match self.item_mut(&new.key) {
                Some(item) => item.units = new.units,
                None => self.items.push(BorrowedItem::new(new)),
            }
        }
        self.items.retain(|i| i.units.max(i.in_use) > Units::ZERO);
        self.id = grant.id;
        self.lender = grant.lender;
        self.set_deadlines(sent);
    }

    /// Sets all deadlines from the time at which the request was sent.
    fn set_deadlines(&mut self, sent: Timestamp) {
        self.dispatch_until = sent + LOAN_TERM;
        self.expires_at = sent + LOAN_LIFETIME;
        self.renew_at = self.dispatch_until - RENEWAL_LEAD_TIME;
        self.in_demand = false;
    }
}

impl BorrowedItem {
    fn new(item: &LoanItem) -> Self {
        Self { key: item.key.clone(), units: item.units, in_use: Units::ZERO }
    }
}

impl BorrowedLoans {
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

    /// Creates a request for a new loan, unless the same request is outstanding.
    pub(super) fn create_request(
        &mut self,
        now: Timestamp,
        lender: NodeId,
        want: LoanTarget,
        units: Units,
    ) -> Option<LoanRequest> {
        let same = |p: &PendingRequest| p.renews.is_none() && p.lender == lender && p.want == want;
        if lender == self.me.node || units == Units::ZERO || self.pending.values().any(same) {
            return None;
        }
        Some(self.register_request(PendingRequest { lender, want, renews: None, sent: now }, units))
    }

    /// Registers an outstanding request and returns the message to send.
    fn register_request(&mut self, pending: PendingRequest, units: Units) -> LoanRequest {
        let id = LoanId { borrower: self.me, sequence: self.next_sequence };
        let renews = pending.renews.and_then(|h| self.loans.get(&h)).map(|l| l.id);
        let req = LoanRequest { id, lender: pending.lender, want: pending.want.clone(), units, renews };
        self.pending.insert(self.next_sequence, pending);
        self.next_sequence += 1;
        req
    }

    /// Renewal requests for the loans that were used and are near the end of their term. An earlier renewal request
    /// without an answer is withdrawn.
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
            requests.push(
                self.register_request(
                    PendingRequest { lender, want, renews: Some(handle), sent: now },
                    units,
                ),
            );
        }
        requests
    }

    /// Handles a grant. Returns `false` if it is refused. A grant for an unknown request is also returned.
    pub(super) fn on_grant(&mut self, now: Timestamp, grant: &LoanGrant) -> bool {
        let lowest_boot = self.lowest_boot.get(&grant.lender.node);
        if grant.id.borrower != self.me || lowest_boot.is_some_and(|b| grant.lender.boot < *b) {
            return false;
        }
        let sequence = grant.id.sequence;
        let Some(pending) = self.pending.remove(&sequence) else {
            self.return_unknown_grant(grant);
            return false;
        };
        if pending.lender != grant.lender.node {
            self.pending.insert(sequence, pending);
            return false;
        }
        self.accept_grant(now, pending, grant);
        true
    }

    /// Queues a return for a grant that matches no outstanding request. A duplicate grant of a borrowed loan, even if
    /// the loan has been renewed since, is not returned: requests may still run on it.
    fn return_unknown_grant(&mut self, grant: &LoanGrant) {
        if grant.items.is_empty() || self.loans.values().any(|l| l.has_id(&grant.id)) {
            return;
        }
        self.returns.push((grant.lender.node, LoanReturn { id: grant.id, accepted: false }));
    }

    /// Enters the granted units as a new loan, or as the renewal of a loan that still exists.
    fn accept_grant(&mut self, now: Timestamp, pending: PendingRequest, grant: &LoanGrant) {
        if grant.items.is_empty() {
            return;
        }
        let renewed = pending.renews.filter(|h| self.loans.contains_key(h));
        let handle = renewed.unwrap_or(self.next_handle);
        self.next_handle += u64::from(renewed.is_none());
        let mut loan = match self.remove_loan(handle) {
            Some(loan) => loan,
            None => BorrowedLoan {
                id: grant.id,
                lender: grant.lender,
                want: pending.want,
                items: grant.items.iter().map(BorrowedItem::new).collect(),
                dispatch_until: now,
                expires_at: now,
                renew_at: now,
                last_used: now,
                in_demand: false,
                replaced: Vec::new(),
            },
        };
        match renewed {
            Some(_) => loan.renew(now, grant, pending.sent),
            None => loan.set_deadlines(pending.sent),
        }
        for item in &loan.items {
            self.by_key.entry(item.key.clone()).or_default().push(handle);
        }
        self.loans.insert(handle, loan);
    }

    /// Removes a loan and its index entries.
    fn remove_loan(&mut self, handle: LoanHandle) -> Option<BorrowedLoan> {
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

    /// Loans with units of `key` on which requests may be started now, with the end of their term.
    fn dispatchable(
        &self,
        now: Timestamp,
        key: &LimitKey,
    ) -> impl Iterator<Item = (LoanHandle, Timestamp, &BorrowedItem)> {
        let handles = self.by_key.get(key).map(Vec::as_slice).unwrap_or_default();
        let loans = handles.iter().filter_map(|h| Some((*h, self.loans.get(h)?)));
        loans
            .filter(move |(_, l)| now < l.dispatch_until)
            .filter_map(|(h, l)| Some((h, l.dispatch_until, l.item(key)?)))
    }

    /// Units on which requests may be started now, whether in use or free.
    pub(super) fn usable_units(&self, now: Timestamp, key: &LimitKey) -> Units {
        self.dispatchable(now, key).fold(Units::ZERO, |sum, (_, _, item)| sum.saturating_add(item.units))
    }

    /// Units on which requests may be started now and that are not in use.
    pub(super) fn free_units(&self, now: Timestamp, key: &LimitKey) -> Units {
        self.dispatchable(now, key)
            .fold(Units::ZERO, |sum, (_, _, item)| sum.saturating_add(item.units.saturating_sub(item.in_use)))
    }

    /// Takes up to `units` and returns the parts taken and the time by which requests on them must have ended. Loans
    /// with the longest remaining term are used first, so that the others become idle and are returned.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        key: &LimitKey,
        units: Units,
    ) -> (Vec<LoanPart>, Option<Timestamp>) {
        let mut candidates: Vec<_> =
            self.dispatchable(now, key).map(|(h, until, _)| (Reverse(until), h)).collect();
        candidates.sort_unstable();
        let mut missing = units;
        let mut parts = Vec::new();
        let mut deadline = None;
        for (_, handle) in candidates {
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
            deadline = Some(deadline.map_or(loan.expires_at, |t: Timestamp| t.min(loan.expires_at)));
        }
        (parts, deadline)
    }

    /// Releases units. Parts of loans that have expired since are ignored.
    pub(super) fn release(&mut self, now: Timestamp, key: &LimitKey, parts: &[LoanPart]) {
        for part in parts {
            let Some(loan) = self.loans.get_mut(&part.loan) else { continue };
            loan.last_used = now;
            let Some(item) = loan.item_mut(key) else { continue };
            item.in_use = item.in_use.saturating_sub(part.units);
        }
    }

    /// Marks all loans with units of the limit as just used.
    pub(super) fn mark_used(&mut self, now: Timestamp, key: &LimitKey) {
        for handle in self.by_key.get(key).into_iter().flatten() {
            if let Some(loan) = self.loans.get_mut(handle) {
                loan.mark_used(now);
            }
        }
    }

    /// Drops idle loans and takes the returns for them, for refused grants and for withdrawn requests.
    pub(super) fn take_returns(&mut self, now: Timestamp) -> Vec<(NodeId, LoanReturn)> {
        let idle: Vec<_> = self.loans.iter().filter(|(_, l)| l.is_idle(now)).map(|(h, _)| *h).collect();
        for handle in idle {
            self.withdraw_renewal(handle);
            if let Some(loan) = self.remove_loan(handle) {
                self.returns.push((loan.lender.node, LoanReturn { id: loan.id, accepted: true }));
            }
        }
        std::mem::take(&mut self.returns)
    }

    /// Withdraws the outstanding renewal request of a loan, if there is one.
    fn withdraw_renewal(&mut self, loan: LoanHandle) {
        self.withdraw(|p| p.renews == Some(loan));
    }

    /// Withdraws outstanding requests by returns.
    fn withdraw(&mut self, which: impl Fn(&PendingRequest) -> bool) {
        for (sequence, pending) in self.pending.extract_if(.., |_, p| which(p)) {
            let id = LoanId { borrower: self.me, sequence };
            self.returns.push((pending.lender, LoanReturn { id, accepted: false }));
        }
    }

    /// Drops expired loans and withdraws requests that were not answered in time.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.withdraw(|p| now >= p.sent + REQUEST_TIMEOUT);
        let expired: Vec<_> =
            self.loans.iter().filter(|(_, l)| now >= l.expires_at).map(|(h, _)| *h).collect();
        for handle in expired {
            self.withdraw_renewal(handle);
            self.remove_loan(handle);
        }
    }

    /// Returns the loans from earlier boots of the lender. From then on, grants from those boots are refused.
    pub(super) fn on_audit(&mut self, audit: &LoanAudit) -> LoanAuditAnswer {
        let lender = audit.lender;
        let lowest_boot = self.lowest_boot.entry(lender.node).or_insert(lender.boot);
        *lowest_boot = lender.boot.max(*lowest_boot);
        let earlier = |l: &&BorrowedLoan| l.lender.node == lender.node && l.lender.boot < lender.boot;
        let loans = self.loans.values().filter(earlier).map(BorrowedLoan::audited).collect();
        LoanAuditAnswer { borrower: self.me.node, lender, loans }
    }
}

impl BorrowedLoan {
    /// Describes the loan for the answer to an audit.
    fn audited(&self) -> AuditedLoan {
        let item = |i: &BorrowedItem| LoanItem { key: i.key.clone(), units: i.units.max(i.in_use) };
        AuditedLoan { id: self.id, items: self.items.iter().map(item).collect() }
    }
}
