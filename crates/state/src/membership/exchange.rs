//! Sending and merging of gossip messages.

use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::config::Digest;
use crate::id::{Incarnation, NodeId};
use crate::time::Timestamp;

use super::message::{CompactHeartbeat, DEAD_MAX, DomainSummary, Gossip, GossipBuilder, MemberState};
use super::record::{HeartbeatMerge, REVIVAL_HEARTBEATS};
use super::{Liveness, Membership};

impl Membership {
    /// Ends a gossip period and returns the messages to send. `config` is the digest of the configuration in force.
    ///
    /// Each message encodes to at most [`GOSSIP_MAX_BYTES`](super::GOSSIP_MAX_BYTES).
    pub fn tick(&mut self, now: Timestamp, rng: &mut impl Rng, config: Digest) -> Vec<(NodeId, Gossip)> {
        self.reset_progress_after_pause(now);
        self.last_tick = now;
        self.heartbeat += 1;
        self.config = config;
        let mut out = Vec::new();
        self.gossip_in_own_domain(now, rng, &mut out);
        if self.delegates(now).contains(&self.me.node) {
            self.gossip_to_other_domains(now, rng, &mut out);
        }
        self.request_missing_states(now, &mut out);
        self.answer_state_requests(now, &mut out);
        out
    }

    /// After a pause of this daemon, restarts the timeouts of members that were not dead before the pause.
    fn reset_progress_after_pause(&mut self, now: Timestamp) {
        if now.since(self.last_tick) <= self.cfg.pause_threshold {
            return;
        }
        let mut records = std::mem::take(&mut self.records);
        for record in records.values_mut() {
            if self.record_liveness(now, record) != Liveness::Dead {
                record.progress_at = now;
            }
        }
        self.records = records;
    }

    /// Sends to random live members of the own domain. Also sends to one dead member, so that the two sides of a healed
    /// partition find each other.
    fn gossip_in_own_domain(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<(NodeId, Gossip)>) {
        let (live, dead) = self.own_domain_members(now);
        let mut builder = GossipBuilder::new(self.my_state());
        let changed = self.changed_states(now, &live, rng);
        for &state in &changed {
            builder.add_state(state);
        }
        let remote = self.next_remote_delegates(now);
        let unchanged = live.iter().filter(|&&n| changed.iter().all(|state| state.id.node != n));
        self.add_heartbeats(&mut builder, unchanged.chain(&remote));
        let targets = live.sample(rng, self.cfg.fanout).chain(dead.choose(rng));
        // One target is enough for a summary, since every member relays it.
        let mut summary = self.random_summary(rng);
        for &target in targets {
            let mut builder = builder.clone();
            if let Some(summary) = summary.take() {
                builder.add_summary(summary);
            }
            out.extend(builder.finish().into_iter().map(|m| (target, m)));
        }
    }

    /// Sends a summary of the own domain to delegates of other domains. Also sends to one member of a domain without a
    /// live delegate, so that the two sides of a healed partition find each other.
    fn gossip_to_other_domains(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<(NodeId, Gossip)>,
    ) {
        let mut builder = GossipBuilder::new(self.my_state());
        builder.add_summary(self.own_summary(now));
        if let Some(summary) = self.random_summary(rng) {
            builder.add_summary(summary);
        }
        let remote = self.next_remote_delegates(now);
        self.add_heartbeats(&mut builder, remote.iter());
        let messages = builder.finish();
        let (live, dead) = self.remote_candidates(now, rng);
        let full_rate = self.domains.len() - 1 <= self.cfg.full_fanout_domains_max;
        let fanout = if full_rate { self.cfg.fanout } else { 1 };
        for &target in live.sample(rng, fanout).chain(dead.choose(rng)) {
            out.extend(messages.iter().map(|m| (target, m.clone())));
        }
    }

    /// The other members of the own domain: those that are not dead, and the dead ones.
    fn own_domain_members(&self, now: Timestamp) -> (Vec<NodeId>, Vec<NodeId>) {
        let nodes = self.domains[&self.domain].nodes.iter().copied().filter(|&n| n != self.me.node);
        nodes.partition(|&n| self.tracked_liveness(now, n) != Liveness::Dead)
    }

    /// Live delegates of other domains, and one random daemon of each domain without a live delegate.
    fn remote_candidates(&self, now: Timestamp, rng: &mut impl Rng) -> (Vec<NodeId>, Vec<NodeId>) {
        let mut live = Vec::new();
        let mut dead = Vec::new();
        for (domain, entry) in &self.domains {
            if *domain == self.domain {
                continue;
            }
            let known = live.len();
            live.extend(self.tracked(entry).filter(|&n| self.tracked_liveness(now, n) != Liveness::Dead));
            if live.len() == known {
                dead.extend(entry.nodes.choose(rng));
            }
        }
        (live, dead)
    }

    /// Full states of a random selection of recently changed members.
    fn changed_states(&self, now: Timestamp, nodes: &[NodeId], rng: &mut impl Rng) -> Vec<MemberState> {
        let records = nodes.iter().filter_map(|n| self.records.get(n));
        let changed = records
            .filter(|r| r.is_recently_changed(now, self.cfg.full_state_period))
            .filter_map(|r| r.state);
        changed.sample(rng, self.cfg.full_states_max)
    }

    /// The delegates of other domains whose heartbeats go into the next message, in rotation if not all fit.
    fn next_remote_delegates(&mut self, now: Timestamp) -> Vec<NodeId> {
        let others = self.domains.iter().filter(|(domain, _)| **domain != self.domain);
        let tracked = others.flat_map(|(_, entry)| self.tracked(entry));
        let all: Vec<_> = tracked.filter(|&n| self.tracked_liveness(now, n) != Liveness::Dead).collect();
        let count = all.len().min(self.cfg.remote_heartbeats_max);
        let from = self.next_remote;
        self.next_remote = (from + count) % all.len().max(1);
        all.iter().copied().cycle().skip(from).take(count).collect()
    }

    /// A random summary of another domain. `None` if none has arrived.
    fn random_summary(&self, rng: &mut impl Rng) -> Option<DomainSummary> {
        self.domains.values().filter_map(|entry| entry.summary.as_ref()).choose(rng).cloned()
    }

    /// Adds compact heartbeats of the nodes whose state is known.
    fn add_heartbeats<'a>(&self, builder: &mut GossipBuilder, nodes: impl Iterator<Item = &'a NodeId>) {
        let mut states: Vec<_> = nodes.filter_map(|&n| self.member_state(n)).collect();
        states.sort_by_key(|state| state.id.node);
        for state in states {
            builder.add_heartbeat(state);
        }
    }

    /// Summarizes the own domain, with this daemon as the reporter.
    fn own_summary(&self, now: Timestamp) -> DomainSummary {
        let mut delegates = vec![self.my_state()];
        let others = self.delegates(now).into_iter().filter_map(|n| self.member_state(n));
        delegates.extend(others);
        let (live, in_force) = self.own_counts(now);
        let (_, mut dead) = self.own_domain_members(now);
        dead.sort();
        dead.truncate(DEAD_MAX);
        let bounded = |n| u16::try_from(n).unwrap_or(u16::MAX);
        DomainSummary {
            domain: self.domain.clone(),
            delegates,
            live: bounded(live),
            in_force: bounded(in_force),
            dead,
        }
    }

    /// Requests all full states from one of the targets if some are missing.
    fn request_missing_states(&mut self, now: Timestamp, out: &mut [(NodeId, Gossip)]) {
        let due = self.states_requested_at.is_none_or(|at| now.since(at) >= self.cfg.state_request_interval);
        if !self.states_missing || !due {
            return;
        }
        let Some((_, message)) = out.first_mut() else { return };
        message.want_all = true;
        self.states_missing = false;
        self.states_requested_at = Some(now);
    }

    /// Sends all full states to the daemons that requested them. Dead members are not relayed.
    fn answer_state_requests(&mut self, now: Timestamp, out: &mut Vec<(NodeId, Gossip)>) {
        if self.state_requesters.is_empty() {
            return;
        }
        let mut builder = GossipBuilder::new(self.my_state());
        let (live, _) = self.own_domain_members(now);
        for &state in live.iter().filter_map(|&n| self.member_state(n)) {
            builder.add_state(state);
        }
        for summary in self.domains.values().filter_map(|entry| entry.summary.clone()) {
            builder.add_summary(summary);
        }
        let messages = builder.finish();
        for target in std::mem::take(&mut self.state_requesters) {
            out.extend(messages.iter().map(|m| (target, m.clone())));
        }
    }

    /// Merges a message from `from`.
    ///
    /// Summaries and compact heartbeats are ignored if the message is outdated, because the truncated counters in old
    /// heartbeats cannot be distinguished from new ones. It is outdated if it comes from an earlier incarnation, from a
    /// dead sender whose heartbeat has not advanced enough, or from long before the sender's latest heartbeat.
    pub fn on_gossip(&mut self, now: Timestamp, from: Incarnation, gossip: &Gossip) {
        let Some(sender) = gossip.members.first().filter(|m| m.id == from) else { return };
        for state in &gossip.members {
            self.merge_state(now, state);
        }
        let Some(known) = self.member_state(from.node) else { return };
        let outdated = known.id != from || known.heartbeat >= sender.heartbeat + REVIVAL_HEARTBEATS;
        if outdated || self.tracked_liveness(now, from.node) == Liveness::Dead {
            return;
        }
        for summary in &gossip.domains {
            self.merge_summary(now, summary);
        }
        self.merge_heartbeats(now, &gossip.beats, &sender.config);
        if gossip.want_all {
            self.state_requesters.insert(from.node);
        }
    }

    /// Merges a full state into the record of its member. Ignored if the member is not in the fleet.
    fn merge_state(&mut self, now: Timestamp, state: &MemberState) {
        let dead = self.tracked_liveness(now, state.id.node) == Liveness::Dead;
        if let Some(record) = self.records.get_mut(&state.id.node) {
            record.merge_state(now, state, dead);
        }
    }

    /// Merges compact heartbeats. `config` is the configuration digest of the sender.
    fn merge_heartbeats(&mut self, now: Timestamp, beats: &[CompactHeartbeat], config: &Digest) {
        let evaluation_time = self.evaluation_time(now);
        let mut node = NodeId(0);
        for &beat in beats {
            node = NodeId(node.0.saturating_add(beat.step));
            let Some(record) = self.records.get_mut(&node) else { continue };
            let timeouts = if record.in_own_domain { self.own_domain_timeouts } else { self.remote_timeouts };
            let dead = record.liveness(evaluation_time, timeouts) == Liveness::Dead;
            if record.merge_heartbeat(now, beat, config, dead) == HeartbeatMerge::StateMissing {
                self.states_missing = true;
            }
        }
    }

    /// Merges a summary unless a newer one is known or its reporter is dead.
    fn merge_summary(&mut self, now: Timestamp, summary: &DomainSummary) {
        let Some(reporter) = summary.delegates.first() else { return };
        let of_domain = |m: &MemberState| self.domain_of.get(&m.id.node) == Some(&summary.domain);
        if summary.domain == self.domain || !summary.delegates.iter().all(of_domain) {
            return;
        }
        for state in &summary.delegates {
            self.merge_state(now, state);
        }
        let Some(age) = self.summary_age(now, summary) else { return };
        let Some(entry) = self.domains.get(&summary.domain) else { return };
        if let Some(held) = &entry.summary
            && let Some(held_age) = self.summary_age(now, held)
            && let Some(old) = held.delegates.first()
        {
            // A reporter without the configuration of this daemon counts the members that have the reporter's own
            // configuration. Its summary must not replace a recent one that counts those with the configuration of
            // this daemon.
            let counts_others = old.config == self.config && reporter.config != self.config;
            let replaceable =
                old.id == reporter.id || !counts_others || held_age >= self.remote_timeouts.dead_after;
            if age >= held_age || !replaceable {
                return;
            }
        }
        if let Some(entry) = self.domains.get_mut(&summary.domain) {
            entry.summary = Some(summary.clone());
        }
    }

    /// Age of a summary, derived from the heartbeats of its reporter since then. `None` if the reporter is dead or has
    /// restarted.
    fn summary_age(&self, now: Timestamp, summary: &DomainSummary) -> Option<Duration> {
        let reporter = summary.delegates.first()?;
        let known = self.member_state(reporter.id.node).filter(|known| known.id == reporter.id)?;
        if self.tracked_liveness(now, reporter.id.node) == Liveness::Dead {
            return None;
        }
        let periods = known.heartbeat.saturating_sub(reporter.heartbeat);
        Some(self.cfg.period.saturating_mul(u32::try_from(periods).unwrap_or(u32::MAX)))
    }
}
