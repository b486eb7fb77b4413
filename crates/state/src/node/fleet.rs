//! Changes of the fleet value that follow from the platform's VM list.
//!
//! A daemon whose VM is gone takes its shares with it until the fleet value no longer names it. The change has two steps,
//! as any change of the fleet: a joint value with the previous members, and a final one after every daemon has had the
//! joint value in force for a loan lifetime. Both are written by compare-and-swap, so it does no harm when two
//! daemons propose the same change.

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

/// Time for which a VM must be missing from the list before its daemon counts as gone. The list lags, and a short gap in
/// it must not take a daemon out of the fleet.
const GONE_AFTER: Duration = Duration::from_secs(30);

/// Age up to which a VM list is used. Without a recent list nothing is known to be gone.
const LIST_MAX_AGE: Duration = Duration::from_secs(5);

/// Least time between two proposals of this daemon.
const PROPOSAL_PAUSE: Duration = Duration::from_secs(5);

/// What is known about the VMs of the fleet, and how far a change has come.
#[derive(Debug, Default)]
pub(super) struct FleetWatch {
    last_listed: BTreeMap<NodeId, Timestamp>,
    list_at: Option<Timestamp>,
    revision: Revision,
    confirmed: BTreeSet<NodeId>,
    complete_since: Option<Timestamp>,
    proposed_at: Option<Timestamp>,
}

impl FleetWatch {
    pub(super) fn on_list(&mut self, now: Timestamp, vms: &PlatformVms) {
        self.list_at = Some(now);
        for node in &vms.nodes {
            self.last_listed.insert(*node, now);
        }
    }

    /// Whether the VM was listed before and has been missing from a recent list for [`GONE_AFTER`].
    fn is_unlisted(&self, now: Timestamp, node: NodeId) -> bool {
        let is_recent = self.list_at.is_some_and(|at| now.since(at) <= LIST_MAX_AGE);
        is_recent && self.last_listed.get(&node).is_some_and(|at| now.since(*at) >= GONE_AFTER)
    }

    fn start_over(&mut self, revision: Revision) {
        self.revision = revision;
        self.confirmed.clear();
        self.complete_since = None;
    }
}

impl<P: Policy + Default> Node<P> {
    fn is_gone(&self, now: Timestamp, node: NodeId) -> bool {
        let is_dead = self.membership.liveness(now, node) == Liveness::Dead;
        node != self.cfg.me.node && is_dead && self.fleet_watch.is_unlisted(now, node)
    }

    pub(super) fn tend_fleet(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let Some(revision) = self.entries.get(FLEET_KEY).map(|entry| entry.revision) else {
            return;
        };
        if revision != self.fleet_watch.revision {
            self.fleet_watch.start_over(revision);
        }
        let change = if self.fleet.previous.is_empty() { self.without_gone(now) } else { self.finished(now) };
        let Some(fleet) = change.filter(|_| self.may_propose(now)) else {
            return;
        };
        self.fleet_watch.proposed_at = Some(now);
        out.push(Effect::ProposeFleet { fleet, expect: revision });
    }

    /// One daemon proposes: the live one with the lowest number, as far as this daemon can see.
    fn may_propose(&self, now: Timestamp) -> bool {
        let paused = self.fleet_watch.proposed_at.is_some_and(|at| now.since(at) < PROPOSAL_PAUSE);
        let mut lower = self.fleet.members.iter().filter(|m| m.node < self.cfg.me.node);
        !paused && !lower.any(|m| self.is_alive(now, m.node))
    }

    /// The fleet without daemons that are gone. `None` if nothing changes, or if all others would be gone.
    fn without_gone(&self, now: Timestamp) -> Option<Fleet> {
        let mut members = self.fleet.members.clone();
        members.retain(|m| !self.is_gone(now, m.node));
        let changed = members.len() < self.fleet.members.len() && members.len() > 1;
        changed.then(|| Fleet { members, previous: self.fleet.members.clone() })
    }

    /// The fleet without its previous members, once every daemon has had the joint value long enough.
    fn finished(&mut self, now: Timestamp) -> Option<Fleet> {
        let digest = self.entries.digest();
        for member in self.fleet.members.iter().chain(&self.fleet.previous) {
            let state = self.membership.member_state(member.node);
            if member.node == self.cfg.me.node || state.is_some_and(|s| s.config == digest) {
                self.fleet_watch.confirmed.insert(member.node);
            }
        }
        let mut members = self.fleet.members.iter().chain(&self.fleet.previous);
        let complete =
            members.all(|m| self.fleet_watch.confirmed.contains(&m.node) || self.is_gone(now, m.node));
        if !complete {
            return None;
        }
        let since = *self.fleet_watch.complete_since.get_or_insert(now);
        let lapsed = now.since(since) >= with_drift_margin(LOAN_LIFETIME);
        lapsed.then(|| Fleet { members: self.fleet.members.clone(), previous: Vec::new() })
    }
}
