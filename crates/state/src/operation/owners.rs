//! Who owns the operations of an incarnation.

use std::collections::{BTreeMap, BTreeSet};

use super::handover::{HandoverPart, HandoverTable, OwnerCoverage};
use super::outcome::{OperationRefusal, UnknownReason};
use super::table::RETENTION_MINUTES;
use super::token::{Issuer, Minute};
use crate::id::{Incarnation, NodeId};

/// Tokens are accepted up to this many minutes ahead, because a lookup reads the wall clock just before the table
/// does. Tokens from further ahead are forged, and their entries would be kept for as long as the forger likes.
pub(super) const ISSUE_AHEAD_MINUTES: u32 = 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Open,
    Stopping,
    Exported { successor: Incarnation },
}

/// What may be done with an operation that is not in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    Run,
    Refuse(OperationRefusal),
    Unknown(UnknownReason),
    Forward(NodeId),
}

#[derive(Debug, Clone, Copy)]
struct Successor {
    node: NodeId,
    /// When the last operation of the owner is past its retention, as far as this daemon can tell; set by the first
    /// [`Owners::expire`], because a daemon may learn of a successor before it has observed any minute.
    forget_at: Option<Minute>,
}

/// Parts of one export that have arrived.
#[derive(Debug, Clone)]
struct Parts {
    export: u32,
    minute: Minute,
    arrived: BTreeSet<u32>,
}

#[derive(Debug, Clone)]
pub(super) struct Owners {
    me: Incarnation,
    phase: Phase,
    /// Incarnations whose tables were imported, with the last minute in which they can have issued.
    covered: BTreeMap<Incarnation, Minute>,
    /// Tables of which some parts are still missing.
    incomplete: BTreeMap<Incarnation, Parts>,
    successors: BTreeMap<Incarnation, Successor>,
}

impl Owners {
    pub(super) fn new(me: Incarnation) -> Self {
        Self {
            me,
            phase: Phase::Open,
            covered: BTreeMap::new(),
            incomplete: BTreeMap::new(),
            successors: BTreeMap::new(),
        }
    }

    pub(super) fn me(&self) -> Incarnation {
        self.me
    }

    pub(super) fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    pub(super) fn stop(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Stopping;
        }
    }

    /// Ends ownership in favour of `successor`. Returns false if it was ended in favour of another one, since two
    /// successors could both run the same operation.
    pub(super) fn hand_over(&mut self, successor: Incarnation) -> bool {
        if let Phase::Exported { successor: earlier } = self.phase {
            return earlier == successor;
        }
        self.phase = Phase::Exported { successor };
        true
    }

    /// Everything this daemon owns at `minute`, itself included.
    pub(super) fn coverage(&self, minute: Minute) -> Vec<OwnerCoverage> {
        let own = OwnerCoverage { owner: self.me, last_issue: minute.saturating_add(ISSUE_AHEAD_MINUTES) };
        let imported = self.covered.iter().map(|(&owner, &last_issue)| OwnerCoverage { owner, last_issue });
        std::iter::once(own).chain(imported).collect()
    }

    /// Notes that the entries of `table` are held. Ownership begins, and true is returned, when every part of one
    /// export has arrived: an entry of a missing part would be run again.
    pub(super) fn cover(&mut self, table: &HandoverTable) -> bool {
        if self.covered.contains_key(&table.owner) {
            return true;
        }
        let HandoverPart { export, index, count } = table.part;
        let none = Parts { export, minute: table.minute, arrived: BTreeSet::new() };
        let parts = self.incomplete.entry(table.owner).or_insert_with(|| none.clone());
        if parts.export != export {
            *parts = none;
        }
        if index < count {
            parts.arrived.insert(index);
        }
        if count == 0 || parts.arrived.len() < count as usize {
            return false;
        }
        self.incomplete.remove(&table.owner);
        for coverage in &table.covers {
            self.covered.entry(coverage.owner).or_insert(coverage.last_issue);
        }
        true
    }

    pub(super) fn set_successor(&mut self, owner: Incarnation, node: NodeId) {
        self.successors.insert(owner, Successor { node, forget_at: None });
    }

    pub(super) fn successor(&self, owner: Incarnation) -> Option<NodeId> {
        self.successors.get(&owner).map(|successor| successor.node)
    }

    /// Standing of an operation that is within its retention and not in the table.
    pub(super) fn standing(&self, issuer: Issuer, minute: Minute) -> Standing {
        let owner = issuer.owner;
        let last_issue = match self.covered.get(&owner) {
            Some(&last_issue) => last_issue,
            None if owner == self.me => minute.saturating_add(ISSUE_AHEAD_MINUTES),
            None => return self.elsewhere(owner),
        };
        match self.phase {
            Phase::Open if issuer.issued > last_issue => Standing::Refuse(OperationRefusal::NotIssued),
            Phase::Open => Standing::Run,
            Phase::Stopping => Standing::Refuse(OperationRefusal::Leaving),
            // The successor may have run it, so it cannot be reported as not run.
            Phase::Exported { .. } => match self.successor(self.me) {
                Some(node) => Standing::Forward(node),
                None => Standing::Unknown(UnknownReason::HandedOver),
            },
        }
    }

    fn elsewhere(&self, owner: Incarnation) -> Standing {
        let node = self.successor(owner).unwrap_or(owner.node);
        if node != self.me.node {
            return Standing::Forward(node);
        }
        Standing::Unknown(UnknownReason::OwnerEnded)
    }

    pub(super) fn expire(&mut self, minute: Minute) {
        self.covered.retain(|_, last_issue| last_issue.saturating_add(RETENTION_MINUTES) > minute);
        self.incomplete.retain(|_, parts| parts.minute.saturating_add(RETENTION_MINUTES) > minute);
        let forget_at = minute.saturating_add(RETENTION_MINUTES + 2 * ISSUE_AHEAD_MINUTES);
        self.successors.retain(|_, successor| *successor.forget_at.get_or_insert(forget_at) > minute);
    }
}
