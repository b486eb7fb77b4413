//! What a daemon does before it spends or lends its shares for the first time.
//!
//! An earlier boot of the daemon may have granted loans. The new boot asks every daemon of the fleet, and waits until
//! all have answered or no such loan can be in use any more.

use std::collections::BTreeSet;

use super::message::LoanAudit;
use super::{AUDIT_PERIOD, LOAN_LIFETIME, with_drift_margin};
use crate::id::{Incarnation, NodeId};
use crate::time::Timestamp;

#[derive(Debug)]
pub(super) struct Startup {
    me: Incarnation,
    /// Loans of earlier boots are over at this time.
    until: Timestamp,
    next_audit: Timestamp,
    answered: BTreeSet<NodeId>,
    /// `None` before the first fleet value.
    waiting: Option<BTreeSet<NodeId>>,
    is_over: bool,
}

impl Startup {
    pub(super) fn new(me: Incarnation, now: Timestamp) -> Self {
        Self {
            me,
            until: now + with_drift_margin(LOAN_LIFETIME),
            next_audit: now,
            answered: BTreeSet::new(),
            waiting: None,
            is_over: false,
        }
    }

    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        self.is_over || now >= self.until
    }

    /// Latest time at which a loan of an earlier boot ends.
    pub(super) fn until(&self) -> Timestamp {
        self.until
    }

    /// Sets the daemons that may hold loans of earlier boots. An empty fleet is no fleet value.
    pub(super) fn set_fleet(&mut self, nodes: impl Iterator<Item = NodeId>) {
        let nodes: BTreeSet<_> = nodes.collect();
        if nodes.is_empty() {
            return;
        }
        let waits = |n: &NodeId| *n != self.me.node && !self.answered.contains(n);
        let waiting: BTreeSet<_> = nodes.into_iter().filter(waits).collect();
        self.is_over |= waiting.is_empty();
        self.waiting = Some(waiting);
    }

    pub(super) fn due_audits(&mut self, now: Timestamp) -> Vec<(NodeId, LoanAudit)> {
        if self.is_over(now) || now < self.next_audit {
            return Vec::new();
        }
        let Some(waiting) = &self.waiting else { return Vec::new() };
        self.next_audit = now + AUDIT_PERIOD;
        waiting.iter().map(|n| (*n, LoanAudit { lender: self.me })).collect()
    }

    /// Whether this is the first answer of `borrower` and the daemon still waits for it.
    pub(super) fn on_answer(&mut self, now: Timestamp, borrower: NodeId) -> bool {
        if self.is_over(now) || !self.answered.insert(borrower) {
            return false;
        }
        if let Some(waiting) = &mut self.waiting {
            waiting.remove(&borrower);
            self.is_over |= waiting.is_empty();
        }
        true
    }
}
