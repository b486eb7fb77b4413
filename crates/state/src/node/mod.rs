//! The decision logic of one daemon.
//!
//! [`Node`] composes the other modules of this crate. [`Node::handle`] is its only input: the daemon, the replay
//! command and the tests all feed it events and a timestamp, and carry out the effects that it returns. So a recorded
//! trace gives the same decisions again.

mod awareness;
mod borrowing;
mod configuration;
mod effect;
mod event;
mod fleet;
mod lending;
mod limits;
mod message;
mod notice;
mod peers;
mod requests;
mod service;
mod starting;
mod status;
mod stopping;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

pub use effect::{Dispatch, Effect, Outcome, Reason, Refusal};
pub use event::{
    ClaimResult, ConfigSource, Event, ForwardResult, Idempotency, IncomingRequest, ParsedEntry, PlatformVms,
};
pub use message::PeerMessage;
pub use notice::Notice;
pub use view::{LimitView, LookupEntry, MemberView, NodeView, OpsView};

use crate::blocks::BlockTable;
use crate::bucket::TokenBucket;
use crate::config::ConfigMap;
use crate::id::{Backend, Customer, Domain, Fingerprint, Incarnation, NodeId, Region, RequestId, Service};
use crate::ledger::{Ledger, LoanId};
use crate::membership::{Liveness, Membership, MembershipConfig};
use crate::model::{Contract, DrainScope, Fleet, FleetMember, Topology};
use crate::operation::{Issuer, Minute, OperationConfig, OperationTable};
use crate::quarantine::Quarantine;
use crate::routing::{Policy, TwoChoices};
use crate::time::Timestamp;

use awareness::Awareness;
use borrowing::Asked;
use fleet::FleetWatch;
use limits::Limits;
use requests::{ClaimName, Pending};
use service::ServiceState;
use status::Status;
use stopping::StopPhase;

/// Period of [`Event::Tick`].
pub const TICK_PERIOD: Duration = Duration::from_millis(10);

/// Time for which callers may cache a lookup.
pub const LOOKUP_TTL: Duration = Duration::from_secs(5);

/// Claims of callers' keys per second and daemon. Seven daemons stay at 140 of the several hundred writes per second
/// that the key-value service takes.
pub const MAX_CLAIMS_PER_SECOND: u32 = 20;

/// Burst of the claim budget.
const CLAIM_BURST: Duration = Duration::from_secs(1);

/// Who and where a daemon is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeConfig {
    /// The daemon and its boot.
    pub me: Incarnation,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: Domain,
    /// Wall-clock minutes since 1970 at [`Timestamp::ZERO`] of the daemon's clock.
    pub epoch: Minute,
    /// Seed of the random choices.
    pub seed: u64,
}

/// The decision logic of one daemon.
#[derive(Debug)]
pub struct Node<P: Policy = TwoChoices> {
    cfg: NodeConfig,
    rng: Pcg32,
    entries: ConfigMap,
    contracts: BTreeMap<Customer, Contract>,
    services: BTreeMap<Service, ServiceState<P>>,
    topology: Topology,
    fleet: Fleet,
    drains: BTreeSet<DrainScope>,
    blocks: Arc<BlockTable>,
    ledger: Ledger,
    limits: Limits,
    claims: TokenBucket,
    vms_leaving: BTreeSet<Backend>,
    operations: OperationTable,
    quarantine: Quarantine,
    membership: Membership,
    requests: BTreeMap<RequestId, Pending>,
    liveness: BTreeMap<NodeId, Liveness>,
    accepting: BTreeMap<Backend, bool>,
    fetches: BTreeMap<NodeId, Timestamp>,
    asked: BTreeMap<LoanId, Asked>,
    claimed: BTreeMap<ClaimName, Issuer>,
    joined: BTreeSet<RequestId>,
    status: Status,
    watching: bool,
    fleet_watch: FleetWatch,
    stop: StopPhase,
    awareness: Awareness,
    /// How often evidence is still to be sent again.
    evidence_repeats: BTreeMap<Fingerprint, u8>,
    /// Whose operations went to the successor.
    handed_over: Vec<Incarnation>,
    next_gossip: Timestamp,
    next_refresh: Timestamp,
}

impl<P: Policy + Default> Node<P> {
    /// A daemon that has just started and has no configuration yet.
    pub fn new(cfg: NodeConfig, now: Timestamp) -> Self {
        let me = cfg.me;
        Self {
            rng: Pcg32::seed_from_u64(cfg.seed),
            entries: ConfigMap::default(),
            contracts: BTreeMap::new(),
            services: BTreeMap::new(),
            topology: Topology::default(),
            fleet: Fleet::default(),
            drains: BTreeSet::new(),
            blocks: Arc::default(),
            ledger: Ledger::new(me, now),
            limits: Limits::default(),
            claims: claim_bucket(now),
            vms_leaving: BTreeSet::new(),
            operations: OperationTable::new(me, OperationConfig::default()),
            quarantine: Quarantine::new(me),
            membership: Membership::new(me, cfg.domain.clone(), MembershipConfig::default(), now),
            requests: BTreeMap::new(),
            liveness: BTreeMap::new(),
            accepting: BTreeMap::new(),
            fetches: BTreeMap::new(),
            asked: BTreeMap::new(),
            claimed: BTreeMap::new(),
            joined: BTreeSet::new(),
            status: Status::default(),
            watching: false,
            fleet_watch: FleetWatch::default(),
            stop: StopPhase::Serving,
            awareness: Awareness::new(now),
            evidence_repeats: BTreeMap::new(),
            handed_over: Vec::new(),
            next_gossip: now,
            next_refresh: now,
            cfg,
        }
    }
}

fn claim_bucket(now: Timestamp) -> TokenBucket {
    let mut bucket = TokenBucket::new(now, CLAIM_BURST);
    bucket.set_rate(now, MAX_CLAIMS_PER_SECOND);
    bucket
}

impl<P: Policy + Default> Node<P> {
    /// Takes one event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Effect>) {
        self.awareness.on_event(now);
        match event {
            Event::Request(req) => self.on_request(now, req, out),
            Event::AttemptEnded { request, end, head_received, response_bytes, answer } => {
                let end = requests::Ended { end, head_received, response_bytes, answer };
                self.on_attempt_ended(now, request, end, out);
            }
            Event::ForwardEnded { request, end } => self.on_forward_ended(now, request, &end, out),
            Event::ClaimEnded { request, end } => self.on_claim_ended(now, request, &end, out),
            Event::Message { from, message } => self.on_message(now, from, message, out),
            Event::Config { entries, source } => self.on_config(now, entries, source, out),
            Event::Report { backend, report } => self.on_report(now, &backend, &report, out),
            Event::Vms(vms) => self.on_vms(now, vms, out),
            Event::HandoverReceived { table } => self.on_handover(now, table, out),
            Event::HandoverAcknowledged { successor } => self.on_handover_acknowledged(successor, out),
            Event::Tick => self.on_tick(now, out),
            Event::Stop => self.on_stop(now, out),
        }
    }

    fn on_tick(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        self.ledger.expire(now);
        self.release_late_holds(now);
        self.expire_waiting(now, out);
        self.gossip(now, out);
        self.refresh(now, out);
        self.tend_loans(now, out);
        self.start_waiting(now, out);
        self.step_stop(now, out);
    }

    /// Work that need not be done on every tick.
    fn refresh(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        const REFRESH: Duration = Duration::from_millis(100);
        if now < self.next_refresh {
            return;
        }
        self.next_refresh = now + REFRESH;
        self.operations.expire(now);
        self.expire_claims(now);
        self.quarantine.expire(now);
        self.refresh_limits(now);
        self.note_accepting(now, out);
        self.refresh_status(now);
        self.send_audits(now, out);
        self.tend_fleet(now, out);
    }

    fn minute(&self, now: Timestamp) -> Minute {
        const MICROS_PER_MINUTE: u64 = 60_000_000;
        let elapsed = u32::try_from(now.0 / MICROS_PER_MINUTE).unwrap_or(u32::MAX);
        Minute(self.cfg.epoch.0.saturating_add(elapsed))
    }

    fn fleet_member(&self, node: NodeId) -> Option<&FleetMember> {
        self.fleet.members.iter().chain(&self.fleet.previous).find(|m| m.node == node)
    }

    fn is_alive(&self, now: Timestamp, node: NodeId) -> bool {
        self.membership.liveness(now, node) == Liveness::Alive
    }
}
