//! Sending and receiving gossip.

use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::config::Digest;
use crate::id::{Incarnation, NodeId};
use crate::time::Timestamp;

use super::message::{CompactHeartbeat, DEAD_MAX, DomainSummary, Gossip, MemberState, Packer};
use super::record::{REVIVE_STEPS, Taken};
use super::{Liveness, Membership};

impl Membership {
    /// Ends a gossip period and returns the messages to send. `config` is the configuration in force.
    ///
    /// Each message encodes to at most [`GOSSIP_MAX_BYTES`](super::GOSSIP_MAX_BYTES).
    pub fn tick(&mut self, now: Timestamp, rng: &mut impl Rng, config: Digest) -> Vec<(NodeId, Gossip)> {
        self.forgive_own_pause(now);
        self.last_tick = now;
        self.heartbeat += 1;
        self.config = config;
        let mut out = Vec::new();
        self.send_near(now, rng, &mut out);
        if self.delegates(now).contains(&self.me.node) {
            self.send_far(now, rng, &mut out);
        }
        self.ask_for_states(now, &mut out);
        self.answer_wants(now, &mut out);
        out
    }

    /// After a pause of this daemon, members that were not dead before it get a fresh interval.
    fn forgive_own_pause(&mut self, now: Timestamp) {
        if now.since(self.last_tick) <= self.cfg.pause_threshold {
            return;
        }
        let mut records = std::mem::take(&mut self.records);
        for record in records.values_mut() {
            if self.judge(now, record) != Liveness::Dead {
                record.progress_at = now;
            }
        }
        self.records = records;
    }

    /// Sends to random members of the own domain, and to a dead one in case it is only cut off.
    fn send_near(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<(NodeId, Gossip)>) {
        let (live, dead) = self.near_members(now);
        let mut packer = Packer::new(self.my_state());
        let news = self.news(now, &live, rng);
        for &state in &news {
            packer.member(state);
        }
        let far = self.next_far_delegates(now);
        let unchanged = live.iter().filter(|&&n| news.iter().all(|state| state.id.node != n));
        self.pack_beats(&mut packer, unchanged.chain(&far));
        let targets = live.sample(rng, self.cfg.fanout).chain(dead.choose(rng));
        // One target is enough for a summary, since every member passes it on.
        let mut summary = self.any_summary(rng);
        for &target in targets {
            let mut packer = packer.clone();
            if let Some(summary) = summary.take() {
                packer.domain(summary);
            }
            out.extend(packer.finish().into_iter().map(|m| (target, m)));
        }
    }

    /// Sends a summary of the own domain to delegates of others, and to a dead one in case it is only cut off.
    fn send_far(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<(NodeId, Gossip)>) {
        let mut packer = Packer::new(self.my_state());
        packer.domain(self.own_summary(now));
        if let Some(summary) = self.any_summary(rng) {
            packer.domain(summary);
        }
        let far = self.next_far_delegates(now);
        self.pack_beats(&mut packer, far.iter());
        let messages = packer.finish();
        let (live, dead) = self.far_candidates(now, rng);
        let full_rate = self.domains.len() - 1 <= self.cfg.full_fanout_domains_max;
        let fanout = if full_rate { self.cfg.fanout } else { 1 };
        for &target in live.sample(rng, fanout).chain(dead.choose(rng)) {
            out.extend(messages.iter().map(|m| (target, m.clone())));
        }
    }

    fn near_members(&self, now: Timestamp) -> (Vec<NodeId>, Vec<NodeId>) {
        let nodes = self.domains[&self.domain].nodes.iter().copied().filter(|&n| n != self.me.node);
        nodes.partition(|&n| self.record_liveness(now, n) != Liveness::Dead)
    }

    /// Delegates of other domains, and a random daemon of each domain of which no delegate is alive.
    fn far_candidates(&self, now: Timestamp, rng: &mut impl Rng) -> (Vec<NodeId>, Vec<NodeId>) {
        let mut live = Vec::new();
        let mut dead = Vec::new();
        for (domain, entry) in &self.domains {
            if *domain == self.domain {
                continue;
            }
            let known = live.len();
            live.extend(self.tracked(entry).filter(|&n| self.record_liveness(now, n) != Liveness::Dead));
            if live.len() == known {
                dead.extend(entry.nodes.choose(rng));
            }
        }
        (live, dead)
    }

    /// Full states of members that have just changed.
    fn news(&self, now: Timestamp, nodes: &[NodeId], rng: &mut impl Rng) -> Vec<MemberState> {
        let records = nodes.iter().filter_map(|n| self.records.get(n));
        let news = records.filter(|r| r.is_news(now, self.cfg.full_state_period)).filter_map(|r| r.state);
        news.sample(rng, self.cfg.full_states_max)
    }

    /// The delegates of other domains whose turn it is: all if they fit into one message.
    fn next_far_delegates(&mut self, now: Timestamp) -> Vec<NodeId> {
        let others = self.domains.iter().filter(|(domain, _)| **domain != self.domain);
        let tracked = others.flat_map(|(_, entry)| self.tracked(entry));
        let all: Vec<_> = tracked.filter(|&n| self.record_liveness(now, n) != Liveness::Dead).collect();
        let count = all.len().min(self.cfg.remote_heartbeats_max);
        let from = self.far_turn;
        self.far_turn = (from + count) % all.len().max(1);
        all.iter().copied().cycle().skip(from).take(count).collect()
    }

    fn any_summary(&self, rng: &mut impl Rng) -> Option<DomainSummary> {
        self.domains.values().filter_map(|entry| entry.summary.as_ref()).choose(rng).cloned()
    }

    fn pack_beats<'a>(&self, packer: &mut Packer, nodes: impl Iterator<Item = &'a NodeId>) {
        let mut states: Vec<_> = nodes.filter_map(|&n| self.member_state(n)).collect();
        states.sort_by_key(|state| state.id.node);
        for state in states {
            packer.beat(state);
        }
    }

    fn own_summary(&self, now: Timestamp) -> DomainSummary {
        let mut delegates = vec![self.my_state()];
        let others = self.delegates(now).into_iter().filter_map(|n| self.member_state(n));
        delegates.extend(others);
        let (live, in_force) = self.own_counts(now);
        let (_, mut dead) = self.near_members(now);
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

    /// Asks one of the targets for all full states if some are missing.
    fn ask_for_states(&mut self, now: Timestamp, out: &mut [(NodeId, Gossip)]) {
        let due = self.wanted_at.is_none_or(|at| now.since(at) >= self.cfg.state_request_interval);
        if !self.wants || !due {
            return;
        }
        let Some((_, message)) = out.first_mut() else { return };
        message.want_all = true;
        self.wants = false;
        self.wanted_at = Some(now);
    }

    /// Sends all full states to those that asked for them. Dead members are not passed on.
    fn answer_wants(&mut self, now: Timestamp, out: &mut Vec<(NodeId, Gossip)>) {
        if self.wanted.is_empty() {
            return;
        }
        let mut packer = Packer::new(self.my_state());
        let (live, _) = self.near_members(now);
        for &state in live.iter().filter_map(|&n| self.member_state(n)) {
            packer.member(state);
        }
        for summary in self.domains.values().filter_map(|entry| entry.summary.clone()) {
            packer.domain(summary);
        }
        let messages = packer.finish();
        for target in std::mem::take(&mut self.wanted) {
            out.extend(messages.iter().map(|m| (target, m.clone())));
        }
    }

    /// Takes a message from `from`.
    ///
    /// A message of an earlier incarnation, of a dead sender that has not advanced, or of long before the sender's
    /// latest is ignored: the short counters of its beats cannot be told from new ones.
    pub fn on_gossip(&mut self, now: Timestamp, from: Incarnation, gossip: &Gossip) {
        let Some(sender) = gossip.members.first().filter(|m| m.id == from) else { return };
        for state in &gossip.members {
            self.take_state(now, state);
        }
        let Some(known) = self.member_state(from.node) else { return };
        let old = known.id != from || known.heartbeat >= sender.heartbeat + REVIVE_STEPS;
        if old || self.record_liveness(now, from.node) == Liveness::Dead {
            return;
        }
        for summary in &gossip.domains {
            self.take_summary(now, summary);
        }
        self.take_beats(now, &gossip.beats, &sender.config);
        if gossip.want_all {
            self.wanted.insert(from.node);
        }
    }

    fn take_state(&mut self, now: Timestamp, state: &MemberState) {
        let dead = self.record_liveness(now, state.id.node) == Liveness::Dead;
        if let Some(record) = self.records.get_mut(&state.id.node) {
            record.take_state(now, state, dead);
        }
    }

    fn take_beats(&mut self, now: Timestamp, beats: &[CompactHeartbeat], config: &Digest) {
        let judged_at = self.judged_at(now);
        let mut node = NodeId(0);
        for &beat in beats {
            node = NodeId(node.0.saturating_add(beat.step));
            let Some(record) = self.records.get_mut(&node) else { continue };
            let limits = if record.near { self.near_limits } else { self.far_limits };
            let dead = record.liveness(judged_at, limits) == Liveness::Dead;
            if record.take_beat(now, beat, config, dead) == Taken::Missing {
                self.wants = true;
            }
        }
    }

    /// Takes a summary unless a newer one is known or its reporter is dead.
    fn take_summary(&mut self, now: Timestamp, summary: &DomainSummary) {
        let Some(reporter) = summary.delegates.first() else { return };
        let of_domain = |m: &MemberState| self.domain_of.get(&m.id.node) == Some(&summary.domain);
        if summary.domain == self.domain || !summary.delegates.iter().all(of_domain) {
            return;
        }
        for state in &summary.delegates {
            self.take_state(now, state);
        }
        let Some(age) = self.summary_age(now, summary) else { return };
        let Some(entry) = self.domains.get(&summary.domain) else { return };
        if let Some(held) = &entry.summary
            && let Some(held_age) = self.summary_age(now, held)
            && let Some(old) = held.delegates.first()
        {
            // A reporter that lacks the configuration of this daemon counts the members that lack it too, so it does
            // not replace a recent report of those that have it.
            let counts_others = old.config == self.config && reporter.config != self.config;
            let replaceable =
                old.id == reporter.id || !counts_others || held_age >= self.far_limits.dead_after;
            if age >= held_age || !replaceable {
                return;
            }
        }
        if let Some(entry) = self.domains.get_mut(&summary.domain) {
            entry.summary = Some(summary.clone());
        }
    }

    /// Time since a summary was made, by the heartbeats of its reporter since. None if the reporter is dead or has
    /// restarted.
    fn summary_age(&self, now: Timestamp, summary: &DomainSummary) -> Option<Duration> {
        let reporter = summary.delegates.first()?;
        let known = self.member_state(reporter.id.node).filter(|known| known.id == reporter.id)?;
        if self.record_liveness(now, reporter.id.node) == Liveness::Dead {
            return None;
        }
        let periods = known.heartbeat.saturating_sub(reporter.heartbeat);
        Some(self.cfg.period.saturating_mul(u32::try_from(periods).unwrap_or(u32::MAX)))
    }
}
