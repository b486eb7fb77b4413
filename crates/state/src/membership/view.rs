//! Queries about the liveness, states and roles of the members.

use crate::id::{Domain, NodeId};
use crate::time::Timestamp;

use super::message::MemberState;
use super::{DomainEntry, Liveness, Membership};

/// Member counts of one failure domain, as known to this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainStatus {
    /// Name of the failure domain.
    pub domain: Domain,
    /// Number of daemons in the fleet value.
    pub members: usize,
    /// Number of daemons that are not considered dead. For another domain, the number in its latest summary; zero
    /// without a summary or without a live delegate.
    pub live: usize,
    /// Number of live daemons that are known to have the configuration of this daemon in force.
    pub in_force: usize,
}

impl Membership {
    /// Assesses whether `node` is running.
    ///
    /// For a member of another domain that this daemon has not heard from recently, the summary of its domain decides:
    /// the member is dead if the summary lists it as dead, and otherwise has the best liveness of the domain's
    /// delegates. A daemon that is not in the fleet is dead.
    pub fn liveness(&self, now: Timestamp, node: NodeId) -> Liveness {
        let Some(entry) = self.domain_of.get(&node).and_then(|domain| self.domains.get(domain)) else {
            return Liveness::Dead;
        };
        let known = self.tracked_liveness(now, node);
        let in_own_domain = self.records.get(&node).is_none_or(|record| record.in_own_domain);
        if in_own_domain || known != Liveness::Dead || self.tracked(entry).any(|n| n == node) {
            return known;
        }
        let mut summaries = entry.summary.iter();
        if summaries.any(|summary| summary.dead.contains(&node)) {
            return Liveness::Dead;
        }
        self.tracked(entry).map(|n| self.tracked_liveness(now, n)).min().unwrap_or(Liveness::Dead)
    }

    /// The latest known state of another daemon. `None` for this daemon itself and for daemons not heard from.
    pub fn member_state(&self, node: NodeId) -> Option<&MemberState> {
        self.records.get(&node)?.state.as_ref()
    }

    /// The daemons of the own domain and the delegates of the other domains that are not dead, ordered by node id.
    pub fn live_nodes(&self, now: Timestamp) -> Vec<NodeId> {
        let mut live = Vec::new();
        for entry in self.domains.values() {
            live.extend(self.tracked(entry).filter(|&n| self.tracked_liveness(now, n) != Liveness::Dead));
        }
        live.sort();
        live
    }

    /// The daemons that exchange summaries on behalf of the own domain, including leaving ones until they stop. Never
    /// empty.
    pub fn delegates(&self, now: Timestamp) -> Vec<NodeId> {
        self.select(now, self.cfg.delegates, self.own_domain_nodes().iter(), |_| true)
    }

    /// The daemons of the own domain that watch the key-value service, except leaving ones. Never empty.
    ///
    /// They are the last by rendezvous hash. The first are the delegates, and both roles together would bring one
    /// daemon close to the limit of 17 kB/s at the design size.
    pub fn watchers(&self, now: Timestamp) -> Vec<NodeId> {
        let last_first = self.own_domain_nodes().iter().rev();
        self.select(now, self.cfg.watchers, last_first, |node| !self.is_leaving(node))
    }

    /// The daemons of the own domain, ordered by rendezvous hash.
    fn own_domain_nodes(&self) -> &[NodeId] {
        &self.domains[&self.domain].nodes
    }

    /// Whether a daemon of the own domain is going through a planned stop.
    fn is_leaving(&self, node: NodeId) -> bool {
        match self.member_state(node) {
            Some(member) => member.leaving,
            None => node == self.me.node && self.leaving,
        }
    }

    /// Member counts of every failure domain of the fleet, ordered by domain.
    pub fn domain_statuses(&self, now: Timestamp) -> Vec<DomainStatus> {
        let mut views = Vec::with_capacity(self.domains.len());
        for (domain, entry) in &self.domains {
            let (live, in_force) = self.member_counts(now, domain, entry);
            views.push(DomainStatus { domain: domain.clone(), members: entry.nodes.len(), live, in_force });
        }
        views
    }

    /// Number of live members of a domain, and of those that have the configuration of this daemon in force.
    fn member_counts(&self, now: Timestamp, domain: &Domain, entry: &DomainEntry) -> (usize, usize) {
        if *domain == self.domain {
            return self.own_counts(now);
        }
        let Some(summary) = &entry.summary else { return (0, 0) };
        if self.tracked(entry).all(|n| self.tracked_liveness(now, n) == Liveness::Dead) {
            return (0, 0);
        }
        let same = summary.delegates.first().is_some_and(|reporter| reporter.config == self.config);
        (summary.live.into(), if same { summary.in_force.into() } else { 0 })
    }

    /// Number of live members of the own domain, and of those that have the configuration of this daemon in force.
    pub(super) fn own_counts(&self, now: Timestamp) -> (usize, usize) {
        let mut live = 0;
        let mut in_force = 0;
        for &node in self.own_domain_nodes() {
            if self.tracked_liveness(now, node) == Liveness::Dead {
                continue;
            }
            live += 1;
            if node == self.me.node || self.member_state(node).is_some_and(|m| m.config == self.config) {
                in_force += 1;
            }
        }
        (live, in_force)
    }

    /// The nodes of a domain whose heartbeats this daemon receives: all nodes of the own domain, the delegates of
    /// another domain. Before its first summary, the delegates are assumed to be the first nodes by rendezvous hash.
    pub(super) fn tracked(&self, entry: &DomainEntry) -> impl Iterator<Item = NodeId> {
        let own = entry.nodes.contains(&self.me.node);
        let count = if own { entry.nodes.len() } else { self.cfg.delegates };
        let reported = entry.summary.iter().flat_map(|summary| &summary.delegates).map(|m| m.id.node);
        let expected = entry.nodes.iter().copied().take(count);
        let none_reported = entry.summary.is_none();
        reported.chain(expected.filter(move |_| none_reported))
    }

    /// The first `count` daemons in `order` that are eligible and alive, or this daemon if there are none. Suspected
    /// daemons are skipped, so that a role moves after 1 s instead of 3 s. Two daemons in the same role do no harm.
    fn select<'a>(
        &self,
        now: Timestamp,
        count: usize,
        order: impl Iterator<Item = &'a NodeId>,
        eligible: impl Fn(NodeId) -> bool,
    ) -> Vec<NodeId> {
        let mut nodes = Vec::with_capacity(count);
        for &node in order {
            if nodes.len() < count && eligible(node) && self.tracked_liveness(now, node) == Liveness::Alive {
                nodes.push(node);
            }
        }
        if nodes.is_empty() {
            nodes.push(self.me.node);
        }
        nodes
    }
}
