//! Ownership of operations, including ownership taken over by a handover.

use std::collections::{BTreeMap, BTreeSet};

use super::handover::{HandoverPart, HandoverTable, OwnerCoverage};
use super::outcome::{OperationRefusal, UnknownReason};
use super::table::RETENTION_MINUTES;
use super::token::{Issuer, Minute};
use crate::id::{Incarnation, NodeId};

/// Tokens are accepted up to this many minutes ahead, because a lookup may read the wall clock just before the table
/// does. Tokens with a later issue minute are forged; accepting them would let a caller extend the retention of their
/// entries at will.
pub(super) const ISSUE_AHEAD_MINUTES: u32 = 1;

/// Phase of this daemon's ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// New operations are run.
    Active,
    /// A planned stop has begun; new operations are refused.
    Stopping,
    /// The table was exported for the successor; no operation is run.
    Exported { successor: Incarnation },
}

/// How to handle an operation that is not in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Disposition {
    /// This daemon owns the operation and runs it.
    Run,
    /// The operation is not run.
    Refuse(OperationRefusal),
    /// It is not known whether the operation ran.
    Unknown(UnknownReason),
    /// Another daemon handles the request.
    Forward(NodeId),
}

/// The daemon that has taken over the operations of an owner.
#[derive(Debug, Clone, Copy)]
struct Successor {
    node: NodeId,
    /// The minute by which every operation of the owner is past its retention, as far as this daemon can tell. Set by
    /// the first [`Owners::expire`], because a daemon may learn of a successor before it has observed any minute.
    expires_at: Option<Minute>,
}

/// The parts of one export that have arrived.
#[derive(Debug, Clone)]
struct Parts {
    export: u32,
    minute: Minute,
    arrived: BTreeSet<u32>,
}

/// The incarnations whose operations this daemon owns, and the known successors of others.
#[derive(Debug, Clone)]
pub(super) struct Owners {
    me: Incarnation,
    phase: Phase,
    /// Incarnations whose tables were imported, with the last minute in which they can have issued a token or a claim.
    imported: BTreeMap<Incarnation, Minute>,
    /// Tables with missing parts, by their owner.
    incomplete: BTreeMap<Incarnation, Parts>,
    /// Known successors, by the former owner.
    successors: BTreeMap<Incarnation, Successor>,
}

impl Owners {
    pub(super) fn new(me: Incarnation) -> Self {
        Self {
            me,
            phase: Phase::Active,
            imported: BTreeMap::new(),
            incomplete: BTreeMap::new(),
            successors: BTreeMap::new(),
        }
    }

    pub(super) fn me(&self) -> Incarnation {
        self.me
    }

    pub(super) fn is_active(&self) -> bool {
        self.phase == Phase::Active
    }

    pub(super) fn begin_stop(&mut self) {
        if self.phase == Phase::Active {
            self.phase = Phase::Stopping;
        }
    }

    /// Transfers ownership to `successor`. Returns `false` if it was already transferred to another one, since two
    /// successors could both run the same operation.
    pub(super) fn hand_over(&mut self, successor: Incarnation) -> bool {
        if let Phase::Exported { successor: earlier } = self.phase {
            return earlier == successor;
        }
        self.phase = Phase::Exported { successor };
        true
    }

    /// The incarnations whose operations this daemon owns at `minute`, starting with its own.
    pub(super) fn coverage(&self, minute: Minute) -> Vec<OwnerCoverage> {
        let own = OwnerCoverage { owner: self.me, last_issue: minute.saturating_add(ISSUE_AHEAD_MINUTES) };
        let imported = self.imported.iter().map(|(&owner, &last_issue)| OwnerCoverage { owner, last_issue });
        std::iter::once(own).chain(imported).collect()
    }

    /// Records that the entries of `table` were imported. This daemon becomes the owner, and `true` is returned, when
    /// every part of one export has arrived. Before that, it could repeat operations whose entries are in a missing
    /// part.
    pub(super) fn record_import(&mut self, table: &HandoverTable) -> bool {
        if self.imported.contains_key(&table.owner) {
            return true;
        }
        let HandoverPart { export, index, count } = table.part;
        let no_parts = Parts { export, minute: table.minute, arrived: BTreeSet::new() };
        let parts = self.incomplete.entry(table.owner).or_insert_with(|| no_parts.clone());
        if parts.export != export {
            *parts = no_parts;
        }
        if index < count {
            parts.arrived.insert(index);
        }
        if count == 0 || parts.arrived.len() < count as usize {
            return false;
        }
        self.incomplete.remove(&table.owner);
        for coverage in &table.covers {
            self.imported.entry(coverage.owner).or_insert(coverage.last_issue);
        }
        true
    }

    pub(super) fn set_successor(&mut self, owner: Incarnation, node: NodeId) {
        self.successors.insert(owner, Successor { node, expires_at: None });
    }

    pub(super) fn successor(&self, owner: Incarnation) -> Option<NodeId> {
        self.successors.get(&owner).map(|successor| successor.node)
    }

    /// How to handle an operation that is within its retention and not in the table.
    pub(super) fn disposition(&self, issuer: Issuer, minute: Minute) -> Disposition {
        let owner = issuer.owner;
        let last_issue = match self.imported.get(&owner) {
            Some(&last_issue) => last_issue,
            None if owner == self.me => minute.saturating_add(ISSUE_AHEAD_MINUTES),
            None => return self.forward_or_unknown(owner),
        };
        match self.phase {
            Phase::Active if issuer.issued > last_issue => Disposition::Refuse(OperationRefusal::NotIssued),
            Phase::Active => Disposition::Run,
            Phase::Stopping => Disposition::Refuse(OperationRefusal::Leaving),
            // The successor may have run the operation, so it cannot be reported as not run.
            Phase::Exported { .. } => match self.successor(self.me) {
                Some(node) => Disposition::Forward(node),
                None => Disposition::Unknown(UnknownReason::HandedOver),
            },
        }
    }

    /// Forwards the operation of another owner. Its outcome is unknown if that leads back to this daemon.
    fn forward_or_unknown(&self, owner: Incarnation) -> Disposition {
        let node = self.successor(owner).unwrap_or(owner.node);
        if node != self.me.node {
            return Disposition::Forward(node);
        }
        Disposition::Unknown(UnknownReason::OwnerEnded)
    }

    /// Forgets imports and successors whose operations are all past their retention.
    pub(super) fn expire(&mut self, minute: Minute) {
        self.imported.retain(|_, last_issue| last_issue.saturating_add(RETENTION_MINUTES) > minute);
        self.incomplete.retain(|_, parts| parts.minute.saturating_add(RETENTION_MINUTES) > minute);
        let expires_at = minute.saturating_add(RETENTION_MINUTES + 2 * ISSUE_AHEAD_MINUTES);
        self.successors.retain(|_, successor| *successor.expires_at.get_or_insert(expires_at) > minute);
    }
}
