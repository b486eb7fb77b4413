//! Members of the failure domain and summaries of the others.
//!
//! Gossip-style heartbeats: van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection Service", 1998. Every
//! period a daemon increments its own counter and sends what it knows to a few random members of its failure domain;
//! the delegates of a domain also exchange summaries with delegates of other domains. A member whose counter stops is
//! suspected and then considered dead, judged only by the clock of this daemon. No agreement is needed, because no
//! safety property depends on membership.
//!
//! The members come from the fleet value, so that first contact needs no other discovery. Gossip about a daemon that
//! is not in it is ignored.

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

use record::{Limits, Record};

/// Times and numbers of the gossip.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Time between two ticks.
    pub period: Duration,
    /// Members of the own domain, and delegates of other domains, to which a tick sends.
    pub fanout: usize,
    /// Time without progress after which a member is suspected.
    pub suspect_after: Duration,
    /// Time without progress after which a member is considered dead.
    pub dead_after: Duration,
    /// Delegates per domain.
    pub delegates: usize,
    /// Daemons per domain that watch the key-value service.
    pub watchers: usize,
    /// A tick later than this shows that this daemon was paused, and its silence says nothing about the others.
    pub pause_threshold: Duration,
    /// How long the full state of a changed member accompanies the beats: 6 periods reach 95 members.
    pub full_state_period: Duration,
    /// Most changed members with full state per tick; 16 and the beats of 78 others fit into one message. A domain
    /// that starts at once spreads its news over several ticks.
    pub full_states_max: usize,
    /// Delegates of other domains per message. With more, they take turns and the time limits for them grow.
    pub remote_heartbeats_max: usize,
    /// Other domains up to which delegates send to `fanout` of them per tick. Beyond it they send to one, which keeps
    /// a delegate of 56 domains under 17 kB/s.
    pub full_fanout_domains_max: usize,
    /// Shortest time between two requests for all full states.
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
    /// All its daemons by rendezvous hash: the first live ones are its delegates, the last its watchers.
    nodes: Vec<NodeId>,
    /// The latest summary; none for the own domain.
    summary: Option<DomainSummary>,
}

/// What one daemon knows about the others.
#[derive(Debug, Clone)]
pub struct Membership {
    me: Incarnation,
    domain: Domain,
    cfg: MembershipConfig,
    heartbeat: u64,
    leaving: bool,
    config: Digest,
    last_tick: Timestamp,
    /// Limits for the members of the own domain.
    near_limits: Limits,
    /// Limits for the delegates of the others.
    far_limits: Limits,
    domains: BTreeMap<Domain, DomainEntry>,
    domain_of: BTreeMap<NodeId, Domain>,
    /// All other daemons of the fleet.
    records: BTreeMap<NodeId, Record>,
    /// Daemons that asked for all full states.
    wanted: BTreeSet<NodeId>,
    /// Whether this daemon misses full states.
    wants: bool,
    wanted_at: Option<Timestamp>,
    /// Turn of the delegates of other domains.
    far_turn: usize,
}

impl Membership {
    /// The membership of the daemon `me`, which knows no other daemon until [`set_fleet`](Self::set_fleet).
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
        let near_limits = Limits { suspect_after: cfg.suspect_after, dead_after: cfg.dead_after };
        let mut this = Self {
            me,
            domain,
            cfg,
            heartbeat: 0,
            leaving: false,
            config: Digest { entries: 0, highest: Revision(0), hash: 0 },
            last_tick: now,
            near_limits,
            far_limits: near_limits,
            domains: BTreeMap::new(),
            domain_of: BTreeMap::new(),
            records: BTreeMap::new(),
            wanted: BTreeSet::new(),
            wants: true,
            wanted_at: None,
            far_turn: 0,
        };
        this.set_fleet(now, &Fleet::default());
        this
    }

    /// Takes the daemons of `fleet`, those before a change under way included.
    ///
    /// A daemon that is new in the fleet gets the full time to be heard from. A daemon that is no longer in it is
    /// forgotten; until then even a dead one is remembered, so that old gossip does not make it alive.
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
            let near = *domain == self.domain;
            if node != self.me.node {
                self.records.entry(node).or_insert_with(|| Record::new(now, near)).near = near;
            }
        }
        self.far_limits = self.far_limits();
    }

    /// Announces with the next ticks that this daemon is stopping as planned.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    fn my_state(&self) -> MemberState {
        let Self { me, heartbeat, leaving, config, .. } = *self;
        MemberState { id: me, heartbeat, leaving, config }
    }

    /// Limits for delegates of other domains, longer when they take turns in the messages.
    fn far_limits(&self) -> Limits {
        let other_domains = self.domains.len().saturating_sub(1);
        let far = (other_domains * self.cfg.delegates).min(self.domain_of.len());
        let turns = far.div_ceil(self.cfg.remote_heartbeats_max).max(1) as u32;
        Limits { suspect_after: self.cfg.suspect_after * turns, dead_after: self.cfg.dead_after * turns }
    }

    /// The time for which silence may be judged: not beyond the time at which this daemon should have ticked.
    fn judged_at(&self, now: Timestamp) -> Timestamp {
        now.min(self.last_tick + self.cfg.pause_threshold)
    }

    fn record_liveness(&self, now: Timestamp, node: NodeId) -> Liveness {
        if node == self.me.node {
            return Liveness::Alive;
        }
        self.records.get(&node).map_or(Liveness::Dead, |record| self.judge(now, record))
    }

    fn judge(&self, now: Timestamp, record: &Record) -> Liveness {
        let limits = if record.near { self.near_limits } else { self.far_limits };
        record.liveness(self.judged_at(now), limits)
    }
}

/// Order of a node for the duties of its domain. All daemons compute the same.
fn rendezvous(domain: &Domain, node: NodeId) -> u64 {
    let mut bytes = domain.as_str().as_bytes().to_vec();
    bytes.extend_from_slice(&node.0.to_le_bytes());
    rapidhash_v3(&bytes)
}
