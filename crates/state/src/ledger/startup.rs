//! Start-up of a ledger: recovery of loans that an earlier boot of the daemon granted.
//!
//! The new boot sends an audit to every daemon of the fleet. It neither uses nor lends its shares until all have
//! answered or every loan from an earlier boot has expired.

use std::collections::BTreeSet;

use super::message::LoanAudit;
use super::{AUDIT_PERIOD, LOAN_LIFETIME, with_drift_margin};
use crate::id::{Incarnation, NodeId};
use crate::time::Timestamp;

/// Progress of the audits after the start of a daemon.
#[derive(Debug)]
pub(super) struct Startup {
    me: Incarnation,
    /// Time at which every loan from an earlier boot has expired.
    loans_expire_at: Timestamp,
    next_audit: Timestamp,
    answered: BTreeSet<NodeId>,
    /// Daemons whose answers are missing. `None` before the first fleet value.
    unanswered: Option<BTreeSet<NodeId>>,
    is_over: bool,
}

impl Startup {
    pub(super) fn new(me: Incarnation, now: Timestamp) -> Self {
        Self {
            me,
            loans_expire_at: now + with_drift_margin(LOAN_LIFETIME),
            next_audit: now,
            answered: BTreeSet::new(),
            unanswered: None,
            is_over: false,
        }
    }

    /// Whether the daemon may use and lend its base shares.
    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        self.is_over || now >= self.loans_expire_at
    }

    /// Time at which every loan from an earlier boot has expired.
    pub(super) fn loans_expire_at(&self) -> Timestamp {
        self.loans_expire_at
    }

    /// Sets the daemons that may hold loans from earlier boots. An empty list is ignored: the fleet is not known yet.
    pub(super) fn set_fleet(&mut self, nodes: impl Iterator<Item = NodeId>) {
        let nodes: BTreeSet<_> = nodes.collect();
        if nodes.is_empty() {
            return;
        }
        let is_unanswered = |n: &NodeId| *n != self.me.node && !self.answered.contains(n);
        let unanswered: BTreeSet<_> = nodes.into_iter().filter(is_unanswered).collect();
        self.is_over |= unanswered.is_empty();
        self.unanswered = Some(unanswered);
    }

    /// Audits to send now to the daemons whose answers are missing.
    pub(super) fn due_audits(&mut self, now: Timestamp) -> Vec<(NodeId, LoanAudit)> {
        if self.is_over(now) || now < self.next_audit {
            return Vec::new();
        }
        let Some(unanswered) = &self.unanswered else { return Vec::new() };
        self.next_audit = now + AUDIT_PERIOD;
        unanswered.iter().map(|n| (*n, LoanAudit { lender: self.me })).collect()
    }

    /// Records the answer of `borrower`. Returns whether it is the first one and start-up is not over.
    pub(super) fn on_answer(&mut self, now: Timestamp, borrower: NodeId) -> bool {
        if self.is_over(now) || !self.answered.insert(borrower) {
            return false;
        }
        if let Some(unanswered) = &mut self.unanswered {
            unanswered.remove(&borrower);
            self.is_over |= unanswered.is_empty();
        }
        true
    }
}
