//! What the membership tells the rest of the daemon.

use crate::id::{Domain, NodeId};
use crate::time::Timestamp;

use super::message::MemberState;
use super::{DomainEntry, Liveness, Membership};

/// State of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainStatus {
    /// The failure domain.
    pub domain: Domain,
    /// Daemons that the fleet value lists.
    pub members: usize,
    /// Daemons that are not dead, as far as known.
    pub live: usize,
    /// Live daemons known to have the configuration of this daemon in force.
    pub in_force: usize,
}

impl Membership {
    /// Whether `node` is believed to run.
    ///
    /// A member of another domain that this daemon has not heard from recently is judged by the summary of its
    /// domain: dead if named as dead there, otherwise as the best of the delegates. A daemon that is not in the fleet
    /// is dead.
    pub fn liveness(&self, now: Timestamp, node: NodeId) -> Liveness {
        let Some(entry) = self.domain_of.get(&node).and_then(|domain| self.domains.get(domain)) else {
            return Liveness::Dead;
        };
        let known = self.record_liveness(now, node);
        let near = self.records.get(&node).is_none_or(|record| record.near);
        if near || known != Liveness::Dead || self.tracked(entry).any(|n| n == node) {
            return known;
        }
        let mut summaries = entry.summary.iter();
        if summaries.any(|summary| summary.dead.contains(&node)) {
            return Liveness::Dead;
        }
        self.tracked(entry).map(|n| self.record_liveness(now, n)).min().unwrap_or(Liveness::Dead)
    }

    /// The latest state of another daemon; none if this daemon has not heard of it.
    pub fn member_state(&self, node: NodeId) -> Option<&MemberState> {
        self.records.get(&node)?.state.as_ref()
    }

    /// The daemons of the own domain and the delegates of the others that are not dead, ordered by node.
    pub fn live_nodes(&self, now: Timestamp) -> Vec<NodeId> {
        let mut live = Vec::new();
        for entry in self.domains.values() {
            live.extend(self.tracked(entry).filter(|&n| self.record_liveness(now, n) != Liveness::Dead));
        }
        live.sort();
        live
    }

    /// The daemons that exchange summaries for the own domain, leaving ones included until they stop.
    pub fn delegates(&self, now: Timestamp) -> Vec<NodeId> {
        self.on_duty(now, self.cfg.delegates, self.near_nodes().iter(), |_| true)
    }

    /// The daemons of the own domain that watch the key-value service, leaving ones excluded. Never empty.
    ///
    /// The last by rendezvous hash: the first are delegates, and the two duties together would bring one daemon of
    /// the design size close to its 17 kB/s.
    pub fn watchers(&self, now: Timestamp) -> Vec<NodeId> {
        let last_first = self.near_nodes().iter().rev();
        self.on_duty(now, self.cfg.watchers, last_first, |node| !self.is_leaving(node))
    }

    /// The daemons of the own domain by rendezvous hash.
    fn near_nodes(&self) -> &[NodeId] {
        &self.domains[&self.domain].nodes
    }

    fn is_leaving(&self, node: NodeId) -> bool {
        match self.member_state(node) {
            Some(member) => member.leaving,
            None => node == self.me.node && self.leaving,
        }
    }

    /// State of every failure domain of the fleet.
    pub fn domain_statuses(&self, now: Timestamp) -> Vec<DomainStatus> {
        let mut views = Vec::with_capacity(self.domains.len());
        for (domain, entry) in &self.domains {
            let (live, in_force) = self.counts(now, domain, entry);
            views.push(DomainStatus { domain: domain.clone(), members: entry.nodes.len(), live, in_force });
        }
        views
    }

    fn counts(&self, now: Timestamp, domain: &Domain, entry: &DomainEntry) -> (usize, usize) {
        if *domain == self.domain {
            return self.own_counts(now);
        }
        let Some(summary) = &entry.summary else { return (0, 0) };
        if self.tracked(entry).all(|n| self.record_liveness(now, n) == Liveness::Dead) {
            return (0, 0);
        }
        let same = summary.delegates.first().is_some_and(|reporter| reporter.config == self.config);
        (summary.live.into(), if same { summary.in_force.into() } else { 0 })
    }

    /// Live members of the own domain, and how many of them have the configuration of this daemon.
    pub(super) fn own_counts(&self, now: Timestamp) -> (usize, usize) {
        let mut live = 0;
        let mut in_force = 0;
        for &node in self.near_nodes() {
            if self.record_liveness(now, node) == Liveness::Dead {
                continue;
            }
            live += 1;
            if node == self.me.node || self.member_state(node).is_some_and(|m| m.config == self.config) {
                in_force += 1;
            }
        }
        (live, in_force)
    }

    /// The nodes of a domain that this daemon follows: all of the own domain, the delegates of another one. Before
    /// its first summary these are the members that come first by rendezvous hash.
    pub(super) fn tracked(&self, entry: &DomainEntry) -> impl Iterator<Item = NodeId> {
        let own = entry.nodes.contains(&self.me.node);
        let count = if own { entry.nodes.len() } else { self.cfg.delegates };
        let reported = entry.summary.iter().flat_map(|summary| &summary.delegates).map(|m| m.id.node);
        let expected = entry.nodes.iter().copied().take(count);
        let none_reported = entry.summary.is_none();
        reported.chain(expected.filter(move |_| none_reported))
    }

    /// The first `count` fit daemons in `order` that are alive. A suspected one is passed over so that its duty
    /// moves after 1 s and not after 3 s; two daemons with the same duty do no harm.
    fn on_duty<'a>(
        &self,
        now: Timestamp,
        count: usize,
        order: impl Iterator<Item = &'a NodeId>,
        fit: impl Fn(NodeId) -> bool,
    ) -> Vec<NodeId> {
        let mut nodes = Vec::with_capacity(count);
        for &node in order {
            if nodes.len() < count && fit(node) && self.record_liveness(now, node) == Liveness::Alive {
                nodes.push(node);
            }
        }
        if nodes.is_empty() {
            nodes.push(self.me.node);
        }
        nodes
    }
}
