//! Reconciles the fleet value with the platform's VM list.
//!
//! The shares of a daemon whose VM is gone stay unused until the fleet value no longer names the daemon. Like any fleet
//! change, its removal takes two steps: first a joint value, which also lists the previous members, and then a final
//! value, once every daemon has applied the joint value for at least a loan lifetime. Both are written by
//! compare-and-swap, so it does no harm when two daemons propose the same change.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{NodeId, Revision};
use crate::ledger::{LOAN_LIFETIME, with_drift_margin};
use crate::membership::Liveness;
use crate::model::Fleet;
use crate::node::{Effect, Node, PlatformVms};
use crate::routing::Policy;
use crate::time::Timestamp;

/// Key of the fleet value.
pub(super) const FLEET_KEY: &str = "config/fleet";

/// Timeout after which the daemon of a VM that is missing from the list counts as gone. The list is delayed, and a
/// short gap in it must not remove a daemon from the fleet.
const VM_GONE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum age of a VM list that is used. Without a recent list, no VM counts as gone.
const MAX_VM_LIST_AGE: Duration = Duration::from_secs(5);

/// Minimum time between two proposals of this daemon.
const MIN_PROPOSAL_INTERVAL: Duration = Duration::from_secs(5);

/// VMs that the platform has listed, and the progress of a fleet change.
#[derive(Debug, Default)]
pub(super) struct FleetReconciler {
    /// When each VM was last in the list.
    last_listed: BTreeMap<NodeId, Timestamp>,
    /// When the last list arrived.
    list_at: Option<Timestamp>,
    /// Revision of the fleet value to which `confirmed` and `complete_since` refer.
    revision: Revision,
    /// Daemons that are known to have applied the fleet value of this revision.
    confirmed: BTreeSet<NodeId>,
    /// Time since which every daemon that is not gone has confirmed.
    complete_since: Option<Timestamp>,
    /// When this daemon last proposed a change.
    proposed_at: Option<Timestamp>,
}

impl FleetReconciler {
    pub(super) fn on_vm_list(&mut self, now: Timestamp, vms: &PlatformVms) {
        self.list_at = Some(now);
        for node in &vms.nodes {
            self.last_listed.insert(*node, now);
        }
    }

    /// Whether the VM was listed before and has been missing from a recent list for [`VM_GONE_TIMEOUT`].
    fn is_unlisted(&self, now: Timestamp, node: NodeId) -> bool {
        let is_recent = self.list_at.is_some_and(|at| now.since(at) <= MAX_VM_LIST_AGE);
        is_recent && self.last_listed.get(&node).is_some_and(|at| now.since(*at) >= VM_GONE_TIMEOUT)
    }

    /// Restarts the confirmation for a new revision of the fleet value.
    fn reset(&mut self, revision: Revision) {
        self.revision = revision;
        self.confirmed.clear();
        self.complete_since = None;
    }
}

impl<P: Policy + Default> Node<P> {
    /// Whether a daemon is dead and its VM no longer exists.
    fn is_gone(&self, now: Timestamp, node: NodeId) -> bool {
        let is_dead = self.membership.liveness(now, node) == Liveness::Dead;
        node != self.cfg.me.node && is_dead && self.fleet_reconciler.is_unlisted(now, node)
    }

    /// Proposes the next step of a fleet change if one is due and this daemon may propose it.
    pub(super) fn reconcile_fleet(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let Some(revision) = self.entries.get(FLEET_KEY).map(|entry| entry.revision) else {
            return;
        };
        if revision != self.fleet_reconciler.revision {
            self.fleet_reconciler.reset(revision);
        }
        let change = if self.fleet.previous.is_empty() {
            self.fleet_without_gone_members(now)
        } else {
            self.completed_fleet_change(now)
        };
        let Some(fleet) = change.filter(|_| self.may_propose(now)) else {
            return;
        };
        self.fleet_reconciler.proposed_at = Some(now);
        out.push(Effect::ProposeFleet { fleet, expect: revision });
    }

    /// Whether this daemon proposes changes now: only the live daemon with the lowest number does, as far as this
    /// daemon can tell.
    fn may_propose(&self, now: Timestamp) -> bool {
        let too_soon =
            self.fleet_reconciler.proposed_at.is_some_and(|at| now.since(at) < MIN_PROPOSAL_INTERVAL);
        let mut lower = self.fleet.members.iter().filter(|m| m.node < self.cfg.me.node);
        !too_soon && !lower.any(|m| self.is_alive(now, m.node))
    }

    /// Returns the joint fleet value without the daemons that are gone. `None` if no daemon is gone or if at most one
    /// would remain.
    fn fleet_without_gone_members(&self, now: Timestamp) -> Option<Fleet> {
        let mut members = self.fleet.members.clone();
        members.retain(|m| !self.is_gone(now, m.node));
        let changed = members.len() < self.fleet.members.len() && members.len() > 1;
        changed.then(|| Fleet { members, previous: self.fleet.members.clone() })
    }

    /// Returns the fleet without its previous members, once every daemon has applied the joint value for long enough.
    fn completed_fleet_change(&mut self, now: Timestamp) -> Option<Fleet> {
        let digest = self.entries.digest();
        for member in self.fleet.members.iter().chain(&self.fleet.previous) {
            let state = self.membership.member_state(member.node);
            if member.node == self.cfg.me.node || state.is_some_and(|s| s.config == digest) {
                self.fleet_reconciler.confirmed.insert(member.node);
            }
        }
        let mut members = self.fleet.members.iter().chain(&self.fleet.previous);
        let complete =
            members.all(|m| self.fleet_reconciler.confirmed.contains(&m.node) || self.is_gone(now, m.node));
        if !complete {
            return None;
        }
        let since = *self.fleet_reconciler.complete_since.get_or_insert(now);
        let is_due = now.since(since) >= with_drift_margin(LOAN_LIFETIME);
        is_due.then(|| Fleet { members: self.fleet.members.clone(), previous: Vec::new() })
    }
}
