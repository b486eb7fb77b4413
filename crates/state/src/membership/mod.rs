//! Failure detection by gossip within a failure domain, with summaries of the other domains.
//!
//! The protocol follows van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection Service", 1998. In every
//! period a daemon increments its heartbeat counter and sends the counters it knows to a few random members of its
//! failure domain. The delegates of a domain also exchange summaries with delegates of other domains. A member whose
//! counter does not advance is suspected and later considered dead; each daemon decides this by its own clock. The
//! daemons need not agree, because no safety property depends on membership.
//!
//! The set of members comes from the fleet value, so no other discovery is needed. Gossip about a daemon that is not in
//! the fleet is ignored.

mod exchange;
mod message;
mod record;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rapidhash::v3::rapidhash_v3;

use crate::config::Digest;
use crate::id::{Domain, Incarnation, NodeId, Revision};
use crate::model::Fleet;
use crate::time::Timestamp;

pub use message::{
    CompactHeartbeat, DEAD_MAX, DomainSummary, GOSSIP_MAX_BYTES, Gossip, MEMBER_BYTES, MemberState,
};
pub use record::Liveness;
pub use view::DomainStatus;

use record::{Record, Timeouts};

/// Parameters of the gossip protocol.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Interval between two ticks, which is the gossip period.
    pub period: Duration,
    /// Number of members of the own domain to which a tick sends, and likewise of delegates of other domains.
    pub fanout: usize,
    /// Timeout for an advance of a member's heartbeat, after which the member is suspected.
    pub suspect_after: Duration,
    /// Timeout for an advance of a member's heartbeat, after which the member is considered dead.
    pub dead_after: Duration,
    /// Number of delegates per domain.
    pub delegates: usize,
    /// Number of daemons per domain that watch the key-value service.
    pub watchers: usize,
    /// Maximum time between two ticks. If more has passed, this daemon is assumed to have been paused. Heartbeats that
    /// were missed during a pause do not count against the other members.
    pub pause_threshold: Duration,
    /// Period after a change during which the full state of the changed member is sent. 6 gossip periods are enough to
    /// reach 95 members.
    pub full_state_period: Duration,
    /// Maximum number of full states of changed members per tick; 16 of them and the compact heartbeats of 78 other
    /// members fit into one message. When a whole domain starts at once, its full states are spread over several ticks.
    pub full_states_max: usize,
    /// Maximum number of heartbeats of other domains' delegates per message. If there are more delegates, they are sent
    /// in rotation and the timeouts for them are multiplied accordingly.
    pub remote_heartbeats_max: usize,
    /// Maximum number of other domains with which a delegate sends to `fanout` remote delegates per tick. With more, it
    /// sends to one, which keeps a delegate of 56 domains under 17 kB/s.
    pub full_fanout_domains_max: usize,
    /// Minimum time between two requests for all full states.
    pub state_request_interval: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(200),
            fanout: 3,
            suspect_after: Duration::from_secs(1),
            dead_after: Duration::from_secs(3),
            delegates: 3,
            watchers: 2,
            pause_threshold: Duration::from_millis(600),
            full_state_period: Duration::from_millis(1200),
            full_states_max: 16,
            remote_heartbeats_max: 24,
            full_fanout_domains_max: 16,
            state_request_interval: Duration::from_secs(1),
        }
    }
}

/// A failure domain of the fleet.
#[derive(Debug, Clone, Default)]
struct DomainEntry {
    /// All daemons of the domain, ordered by rendezvous hash. The first live ones are its delegates, the last live ones
    /// its watchers.
    nodes: Vec<NodeId>,
    /// The latest summary. `None` for the own domain and before the first summary arrives.
    summary: Option<DomainSummary>,
}

/// Liveness and state of the other daemons, as seen by one daemon.
#[derive(Debug, Clone)]
pub struct Membership {
    me: Incarnation,
    domain: Domain,
    cfg: MembershipConfig,
    /// Number of ticks since the start.
    heartbeat: u64,
    leaving: bool,
    /// Digest of the configuration in force, as of the last tick.
    config: Digest,
    last_tick: Timestamp,
    /// Timeouts for members of the own domain.
    own_domain_timeouts: Timeouts,
    /// Timeouts for delegates of other domains.
    remote_timeouts: Timeouts,
    domains: BTreeMap<Domain, DomainEntry>,
    domain_of: BTreeMap<NodeId, Domain>,
    /// One record for every other daemon of the fleet.
    records: BTreeMap<NodeId, Record>,
    /// Daemons that have requested all full states since the last tick.
    state_requesters: BTreeSet<NodeId>,
    /// Whether this daemon lacks full states and has to request them.
    states_missing: bool,
    /// Time of the last request for all full states.
    states_requested_at: Option<Timestamp>,
    /// Position in the rotation of other domains' delegates.
    next_remote: usize,
}

impl Membership {
    /// Creates the membership of the daemon `me` in `domain`. It knows no other daemon before
    /// [`set_fleet`](Self::set_fleet).
    ///
    /// ```
    /// use medlarstair_state::id::{Boot, Incarnation, NodeId};
    /// use medlarstair_state::membership::Membership;
    /// use medlarstair_state::time::Timestamp;
    /// let me = Incarnation { node: NodeId(1), boot: Boot(1) };
    /// let alone = Membership::new(me, "muscat-1".parse().unwrap(), Default::default(), Timestamp::ZERO);
    /// assert_eq!(alone.watchers(Timestamp::ZERO), [NodeId(1)]);
    /// ```
    pub fn new(me: Incarnation, domain: Domain, cfg: MembershipConfig, now: Timestamp) -> Self {
        let own_domain_timeouts = Timeouts { suspect_after: cfg.suspect_after, dead_after: cfg.dead_after };
        let mut membership = Self {
            me,
            domain,
            cfg,
            heartbeat: 0,
            leaving: false,
            config: Digest { entries: 0, highest: Revision(0), hash: 0 },
            last_tick: now,
            own_domain_timeouts,
            remote_timeouts: own_domain_timeouts,
            domains: BTreeMap::new(),
            domain_of: BTreeMap::new(),
            records: BTreeMap::new(),
            state_requesters: BTreeSet::new(),
            states_missing: true,
            states_requested_at: None,
            next_remote: 0,
        };
        membership.set_fleet(now, &Fleet::default());
        membership
    }

    /// Replaces the known daemons by those of `fleet`, its previous members during a change included.
    ///
    /// A newly added daemon has the full timeout to be heard from. The record of a dead daemon is kept until the daemon
    /// is removed from the fleet, so that old gossip cannot make it appear alive.
    pub fn set_fleet(&mut self, now: Timestamp, fleet: &Fleet) {
        let mut old = std::mem::take(&mut self.domains);
        self.domain_of.clear();
        for member in fleet.previous.iter().chain(&fleet.members) {
            self.domain_of.insert(member.node, member.domain.clone());
        }
        self.domain_of.insert(self.me.node, self.domain.clone());
        for (&node, domain) in &self.domain_of {
            self.domains.entry(domain.clone()).or_default().nodes.push(node);
        }
        for (domain, entry) in &mut self.domains {
            entry.nodes.sort_by_key(|&node| (rendezvous(domain, node), node));
            entry.summary = old.remove(domain).and_then(|e| e.summary);
        }
        self.records.retain(|node, _| self.domain_of.contains_key(node));
        for (&node, domain) in &self.domain_of {
            let in_own_domain = *domain == self.domain;
            if node != self.me.node {
                self.records.entry(node).or_insert_with(|| Record::new(now, in_own_domain)).in_own_domain =
                    in_own_domain;
            }
        }
        self.remote_timeouts = self.compute_remote_timeouts();
    }

    /// Marks this daemon as leaving, which the next ticks announce. It cannot be undone.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// The state that this daemon announces about itself.
    fn my_state(&self) -> MemberState {
        let Self { me, heartbeat, leaving, config, .. } = *self;
        MemberState { id: me, heartbeat, leaving, config }
    }

    /// Timeouts for delegates of other domains, multiplied by the number of messages that one rotation takes.
    fn compute_remote_timeouts(&self) -> Timeouts {
        let other_domains = self.domains.len().saturating_sub(1);
        let remote = (other_domains * self.cfg.delegates).min(self.domain_of.len());
        let turns = remote.div_ceil(self.cfg.remote_heartbeats_max).max(1) as u32;
        Timeouts { suspect_after: self.cfg.suspect_after * turns, dead_after: self.cfg.dead_after * turns }
    }

    /// The time at which liveness is evaluated: `now`, but at most the pause threshold after the last tick, so that a
    /// pause of this daemon does not count as silence of the others.
    fn evaluation_time(&self, now: Timestamp) -> Timestamp {
        now.min(self.last_tick + self.cfg.pause_threshold)
    }

    /// Liveness of a node by its heartbeats alone. Dead if they are not received.
    fn tracked_liveness(&self, now: Timestamp, node: NodeId) -> Liveness {
        if node == self.me.node {
            return Liveness::Alive;
        }
        self.records.get(&node).map_or(Liveness::Dead, |record| self.record_liveness(now, record))
    }

    fn record_liveness(&self, now: Timestamp, record: &Record) -> Liveness {
        let timeouts = if record.in_own_domain { self.own_domain_timeouts } else { self.remote_timeouts };
        record.liveness(self.evaluation_time(now), timeouts)
    }
}

/// Sort key that selects the delegates and watchers of a domain. It is the same on all daemons.
fn rendezvous(domain: &Domain, node: NodeId) -> u64 {
    let mut bytes = domain.as_str().as_bytes().to_vec();
    bytes.extend_from_slice(&node.0.to_le_bytes());
    rapidhash_v3(&bytes)
}
