//! Loans that this daemon has granted.
//!
//! A renewal and the loan that it renews form a chain. The borrower uses at most one loan of a chain at a time, but
//! the lender cannot know which: a grant may be lost or late. The lender therefore reserves for each limit the highest
//! number of units of any loan in the chain until that loan is over, never their sum. A renewed loan can be smaller
//! than the one it replaces; requests that run on the older one are covered until its own `hold_until`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::key::{LimitKey, Units};
use super::message::{LoanId, LoanItem, LoanReturn};
use super::{LOAN_LIFETIME, LOAN_TERM, with_drift_margin};
use crate::time::Timestamp;

#[derive(Debug, Default)]
pub(super) struct Granted {
    /// By the first loan of each chain.
    chains: BTreeMap<LoanId, Chain>,
    /// First loan of the chain that a loan belongs to.
    first: BTreeMap<LoanId, LoanId>,
    /// Units reserved over all chains.
    reserved: BTreeMap<LimitKey, Units>,
    /// Loans that were returned a short time ago. A request or audit answer that the network delivers after the return
    /// must not reserve the units again.
    returned: BTreeSet<LoanId>,
    /// Ends of the times in `returned`, in order because all are equally long.
    forget_at: VecDeque<(Timestamp, LoanId)>,
    /// When the first granted loan is over, or earlier.
    next_expiry: Option<Timestamp>,
}

#[derive(Debug, Default)]
struct Chain {
    loans: Vec<GrantedLoan>,
}

#[derive(Debug)]
pub(super) struct GrantedLoan {
    pub(super) id: LoanId,
    pub(super) items: Vec<LoanItem>,
    pub(super) hold_until: Timestamp,
}

fn units_of(items: &[LoanItem], key: &LimitKey) -> Units {
    items.iter().find(|i| i.key == *key).map_or(Units::ZERO, |i| i.units)
}

impl Chain {
    fn reserved(&self, key: &LimitKey) -> Units {
        self.loans.iter().map(|l| units_of(&l.items, key)).max().unwrap_or_default()
    }

    fn total(&self) -> BTreeMap<LimitKey, Units> {
        let keys = self.loans.iter().flat_map(|l| &l.items).map(|i| &i.key);
        keys.map(|k| (k.clone(), self.reserved(k))).collect()
    }

    /// Drops loans that `renewed` covers. A request to renew it shows that the borrower accepted it and so never
    /// dispatches on the loans before it again. Sequence numbers tell those apart from later renewals, whose requests
    /// may have overtaken this one and which must stay reserved for longer.
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

impl Granted {
    /// Units of `key` reserved for borrowers.
    pub(super) fn reserved(&self, key: &LimitKey) -> Units {
        self.reserved.get(key).copied().unwrap_or_default()
    }

    /// The part of [`Granted::reserved`] that the chain of `loan` accounts for.
    pub(super) fn reserved_by(&self, loan: &LoanId, key: &LimitKey) -> Units {
        self.chain_of(loan).map_or(Units::ZERO, |c| c.reserved(key))
    }

    /// What was lent under `id`.
    pub(super) fn items(&self, id: &LoanId) -> Option<&[LoanItem]> {
        let loan = self.chain_of(id)?.loans.iter().find(|l| l.id == *id)?;
        Some(&loan.items)
    }

    pub(super) fn is_returned(&self, id: &LoanId) -> bool {
        self.returned.contains(id)
    }

    fn chain_of(&self, id: &LoanId) -> Option<&Chain> {
        self.chains.get(self.first.get(id)?)
    }

    /// Records a loan, in the chain of `renews` if that loan is known.
    pub(super) fn grant(&mut self, now: Timestamp, id: LoanId, items: Vec<LoanItem>, renews: Option<LoanId>) {
        let hold_until = now + with_drift_margin(LOAN_LIFETIME);
        self.add(GrantedLoan { id, items, hold_until }, renews);
    }

    pub(super) fn add(&mut self, loan: GrantedLoan, renews: Option<LoanId>) {
        let known = renews.and_then(|r| self.first.get(&r).map(|first| (r, *first)));
        let first = known.map_or(loan.id, |(_, first)| first);
        self.first.insert(loan.id, first);
        self.next_expiry = Some(self.next_expiry.map_or(loan.hold_until, |next| next.min(loan.hold_until)));
        self.change(first, |chain| {
            chain.loans.push(loan);
            known.map_or(Vec::new(), |(renewed, _)| chain.drop_covered(&renewed))
        });
    }

    /// Frees a returned loan at once.
    pub(super) fn on_return(&mut self, now: Timestamp, ret: &LoanReturn) {
        if self.returned.insert(ret.id) {
            self.forget_at.push_back((now + with_drift_margin(LOAN_TERM), ret.id));
        }
        let Some(&first) = self.first.get(&ret.id) else { return };
        self.remove_where(first, |l| ret.accepted || l.id == ret.id);
    }

    /// Frees the loans that are over.
    pub(super) fn expire(&mut self, now: Timestamp) {
        while let Some((_, id)) = self.forget_at.pop_front_if(|(at, _)| *at <= now) {
            self.returned.remove(&id);
        }
        if self.next_expiry.is_none_or(|at| now < at) {
            return;
        }
        let is_over = |l: &GrantedLoan| l.hold_until <= now;
        let over: Vec<_> =
            self.chains.iter().filter(|(_, c)| c.loans.iter().any(is_over)).map(|(k, _)| *k).collect();
        for first in over {
            self.remove_where(first, is_over);
        }
        let loans = self.chains.values().flat_map(|c| &c.loans).map(|l| l.hold_until);
        self.next_expiry = loans.min();
    }

    fn remove_where(&mut self, first: LoanId, over: impl Fn(&GrantedLoan) -> bool) {
        self.change(first, |chain| chain.loans.extract_if(.., |l| over(l)).map(|l| l.id).collect());
    }

    /// Changes a chain and keeps the totals up to date. `f` returns the loans that it removed.
    fn change(&mut self, first: LoanId, f: impl FnOnce(&mut Chain) -> Vec<LoanId>) {
        let mut chain = self.chains.remove(&first).unwrap_or_default();
        for (key, units) in chain.total() {
            let rest = self.reserved(&key).saturating_sub(units);
            self.set_reserved(key, rest);
        }
        for id in f(&mut chain) {
            self.first.remove(&id);
        }
        for (key, units) in chain.total() {
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
