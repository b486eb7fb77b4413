//! The lender side: loans that this daemon has granted.
//!
//! A loan and its renewals form a chain. The borrower uses at most one loan of a chain at a time, but the lender cannot
//! tell which one, since a grant may be lost or delayed. For each limit, the lender therefore reserves the maximum over
//! the loans of the chain that have not expired, not their sum. A renewal may have fewer units than the loan it
//! replaces; requests that run on the replaced loan are covered until that loan's own `expires_at`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::key::{LimitKey, Units};
use super::message::{LoanId, LoanItem, LoanReturn};
use super::{LOAN_LIFETIME, LOAN_TERM, with_drift_margin};
use crate::time::Timestamp;

/// Loans that this daemon has granted and that have not expired.
#[derive(Debug, Default)]
pub(super) struct GrantedLoans {
    /// Keyed by the first loan of each chain.
    chains: BTreeMap<LoanId, Chain>,
    /// The first loan of the chain to which each loan belongs.
    chain_heads: BTreeMap<LoanId, LoanId>,
    /// Units reserved by all chains together.
    reserved: BTreeMap<LimitKey, Units>,
    /// Recently returned loans. A request or audit answer that arrives after the return must not reserve the units
    /// again.
    returned: BTreeSet<LoanId>,
    /// When each entry of `returned` is removed. In order of time, since all are kept equally long.
    returned_expiry: VecDeque<(Timestamp, LoanId)>,
    /// Lower bound of the time at which the next granted loan expires. `None` without granted loans.
    next_expiry: Option<Timestamp>,
}

/// A loan and its renewals.
#[derive(Debug, Default)]
struct Chain {
    loans: Vec<GrantedLoan>,
}

/// A loan that this daemon has granted.
#[derive(Debug)]
pub(super) struct GrantedLoan {
    pub(super) id: LoanId,
    pub(super) items: Vec<LoanItem>,
    pub(super) expires_at: Timestamp,
}

/// Returns the units of `key` among the items. Zero if there are none.
fn units_of(items: &[LoanItem], key: &LimitKey) -> Units {
    items.iter().find(|i| i.key == *key).map_or(Units::ZERO, |i| i.units)
}

impl Chain {
    /// Units of `key` that are reserved for the chain: the maximum over its loans.
    fn reserved(&self, key: &LimitKey) -> Units {
        self.loans.iter().map(|l| units_of(&l.items, key)).max().unwrap_or_default()
    }

    fn reserved_by_limit(&self) -> BTreeMap<LimitKey, Units> {
        let keys = self.loans.iter().flat_map(|l| &l.items).map(|i| &i.key);
        keys.map(|k| (k.clone(), self.reserved(k))).collect()
    }

    /// Drops the loans before `renewed` that need no more units than it, and returns their ids.
    ///
    /// A request to renew it shows that the borrower has accepted it and starts no more requests on the loans before
    /// it. Their sequence numbers are lower than that of `renewed`. Those of later renewals, whose requests may have
    /// overtaken this one, are higher, and these loans must stay reserved because they expire later.
    fn drop_covered(&mut self, renewed: &LoanId) -> Vec<LoanId> {
        let Some(at) = self.loans.iter().position(|l| l.id == *renewed) else { return Vec::new() };
        let kept = self.loans.swap_remove(at);
        let covered = |l: &GrantedLoan| {
            l.id.sequence < renewed.sequence
                && l.items.iter().all(|i| i.units <= units_of(&kept.items, &i.key))
        };
        let dropped = self.loans.extract_if(.., |l| covered(l)).map(|l| l.id).collect();
        self.loans.push(kept);
        dropped
    }
}

impl GrantedLoans {
    /// Units of `key` that are reserved for borrowers.
    pub(super) fn reserved(&self, key: &LimitKey) -> Units {
        self.reserved.get(key).copied().unwrap_or_default()
    }

    /// Units of `key` that are reserved for the chain of `loan`.
    pub(super) fn reserved_by(&self, loan: &LoanId, key: &LimitKey) -> Units {
        self.chain_of(loan).map_or(Units::ZERO, |c| c.reserved(key))
    }

    /// The items lent under `id`. `None` if no such loan is recorded.
    pub(super) fn items(&self, id: &LoanId) -> Option<&[LoanItem]> {
        let loan = self.chain_of(id)?.loans.iter().find(|l| l.id == *id)?;
        Some(&loan.items)
    }

    /// Whether the loan was returned recently.
    pub(super) fn is_returned(&self, id: &LoanId) -> bool {
        self.returned.contains(id)
    }

    fn chain_of(&self, id: &LoanId) -> Option<&Chain> {
        self.chains.get(self.chain_heads.get(id)?)
    }

    /// Records a loan granted at `now`, in the chain of `renews` if that loan is recorded.
    pub(super) fn grant(&mut self, now: Timestamp, id: LoanId, items: Vec<LoanItem>, renews: Option<LoanId>) {
        let expires_at = now + with_drift_margin(LOAN_LIFETIME);
        self.add(GrantedLoan { id, items, expires_at }, renews);
    }

    /// Records a loan, in the chain of `renews` if that loan is recorded.
    pub(super) fn add(&mut self, loan: GrantedLoan, renews: Option<LoanId>) {
        let known = renews.and_then(|r| self.chain_heads.get(&r).map(|first| (r, *first)));
        let first = known.map_or(loan.id, |(_, first)| first);
        self.chain_heads.insert(loan.id, first);
        self.next_expiry = Some(self.next_expiry.map_or(loan.expires_at, |next| next.min(loan.expires_at)));
        self.update_chain(first, |chain| {
            chain.loans.push(loan);
            known.map_or(Vec::new(), |(renewed, _)| chain.drop_covered(&renewed))
        });
    }

    /// Frees a returned loan, or its whole chain if the borrower had accepted the loan.
    pub(super) fn on_return(&mut self, now: Timestamp, ret: &LoanReturn) {
        if self.returned.insert(ret.id) {
            self.returned_expiry.push_back((now + with_drift_margin(LOAN_TERM), ret.id));
        }
        let Some(&first) = self.chain_heads.get(&ret.id) else { return };
        self.remove_where(first, |l| ret.accepted || l.id == ret.id);
    }

    /// Frees expired loans and forgets loans that were returned long enough ago.
    pub(super) fn expire(&mut self, now: Timestamp) {
        while let Some((_, id)) = self.returned_expiry.pop_front_if(|(at, _)| *at <= now) {
            self.returned.remove(&id);
        }
        if self.next_expiry.is_none_or(|at| now < at) {
            return;
        }
        let is_expired = |l: &GrantedLoan| l.expires_at <= now;
        let expired: Vec<_> =
            self.chains.iter().filter(|(_, c)| c.loans.iter().any(is_expired)).map(|(k, _)| *k).collect();
        for first in expired {
            self.remove_where(first, is_expired);
        }
        let loans = self.chains.values().flat_map(|c| &c.loans).map(|l| l.expires_at);
        self.next_expiry = loans.min();
    }

    /// Removes the loans of a chain for which `remove` returns true.
    fn remove_where(&mut self, first: LoanId, remove: impl Fn(&GrantedLoan) -> bool) {
        self.update_chain(first, |chain| chain.loans.extract_if(.., |l| remove(l)).map(|l| l.id).collect());
    }

    /// Applies `f` to a chain and updates the reserved units. `f` returns the ids of the loans that it removed.
    fn update_chain(&mut self, first: LoanId, f: impl FnOnce(&mut Chain) -> Vec<LoanId>) {
        let mut chain = self.chains.remove(&first).unwrap_or_default();
        for (key, units) in chain.reserved_by_limit() {
            let rest = self.reserved(&key).saturating_sub(units);
            self.set_reserved(key, rest);
        }
        for id in f(&mut chain) {
            self.chain_heads.remove(&id);
        }
        for (key, units) in chain.reserved_by_limit() {
            let sum = self.reserved(&key).saturating_add(units);
            self.set_reserved(key, sum);
        }
        if !chain.loans.is_empty() {
            self.chains.insert(first, chain);
        }
    }

    fn set_reserved(&mut self, key: LimitKey, units: Units) {
        if units == Units::ZERO {
            self.reserved.remove(&key);
        } else {
            self.reserved.insert(key, units);
        }
    }
}
