//! The decision logic of one daemon, as a deterministic state machine.
//!
//! [`Node`] composes the other modules of this crate. [`Node::handle`] is its only input: the daemon, the replay
//! command and the tests all pass it an event and a timestamp, and carry out the effects that it returns. Replaying a
//! recorded trace therefore reproduces the same decisions.

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
mod staleness;
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

use borrowing::PendingLoanRequest;
use fleet::FleetReconciler;
use limits::Limits;
use requests::{ClaimKey, PendingRequest};
use service::ServiceState;
use staleness::Staleness;
use status::Status;
use stopping::StopPhase;

/// Interval between two [`Event::Tick`]s.
pub const TICK_PERIOD: Duration = Duration::from_millis(10);

/// TTL of the answer to a lookup in the caches of callers.
pub const LOOKUP_TTL: Duration = Duration::from_secs(5);

/// Maximum rate at which one daemon claims caller keys, in claims per second. Seven daemons together make at most 140
/// of the several hundred writes per second that the key-value service can take.
pub const MAX_CLAIMS_PER_SECOND: u32 = 20;

/// Burst capacity of the claim budget, as the time in which [`MAX_CLAIMS_PER_SECOND`] refills it.
const CLAIM_BURST_DURATION: Duration = Duration::from_secs(1);

/// Identity and location of a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeConfig {
    /// Identity of this daemon, including its boot number.
    pub me: Incarnation,
    /// Region in which the daemon runs.
    pub region: Region,
    /// Failure domain in which the daemon runs.
    pub domain: Domain,
    /// Wall-clock time at [`Timestamp::ZERO`] of the daemon's clock, in minutes since the Unix epoch.
    pub epoch: Minute,
    /// Seed of the random number generator, recorded so that a trace can be replayed.
    pub seed: u64,
}

/// Decision state of one daemon. `P` is the policy that chooses among backend servers.
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
    claim_budget: TokenBucket,
    leaving_backends: BTreeSet<Backend>,
    operations: OperationTable,
    quarantine: Quarantine,
    membership: Membership,
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Liveness of each daemon as last reported by a notice.
    reported_liveness: BTreeMap<NodeId, Liveness>,
    /// Whether each backend server accepts new work, as last reported by a notice.
    reported_accepting: BTreeMap<Backend, bool>,
    /// Time of the last configuration fetch from each daemon.
    last_fetches: BTreeMap<NodeId, Timestamp>,
    pending_loan_requests: BTreeMap<LoanId, PendingLoanRequest>,
    /// Claims of caller keys that this daemon owns.
    owned_claims: BTreeMap<ClaimKey, Issuer>,
    /// Requests that wait for the result of another request with the same operation.
    joined_requests: BTreeSet<RequestId>,
    status: Status,
    /// Whether this daemon watches the key-value service.
    is_watcher: bool,
    fleet_reconciler: FleetReconciler,
    stop: StopPhase,
    staleness: Staleness,
    /// Number of remaining resends of the evidence of each fingerprint.
    evidence_resends: BTreeMap<Fingerprint, u8>,
    /// Owners of the operations in the table that was last sent to the successor.
    handed_over_owners: Vec<Incarnation>,
    next_gossip: Timestamp,
    next_periodic_work: Timestamp,
}

impl<P: Policy + Default> Node<P> {
    /// Creates the state of a daemon that has just started and has no configuration yet.
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
            claim_budget: new_claim_budget(now),
            leaving_backends: BTreeSet::new(),
            operations: OperationTable::new(me, OperationConfig::default()),
            quarantine: Quarantine::new(me),
            membership: Membership::new(me, cfg.domain.clone(), MembershipConfig::default(), now),
            requests: BTreeMap::new(),
            reported_liveness: BTreeMap::new(),
            reported_accepting: BTreeMap::new(),
            last_fetches: BTreeMap::new(),
            pending_loan_requests: BTreeMap::new(),
            owned_claims: BTreeMap::new(),
            joined_requests: BTreeSet::new(),
            status: Status::default(),
            is_watcher: false,
            fleet_reconciler: FleetReconciler::default(),
            stop: StopPhase::Serving,
            staleness: Staleness::new(now),
            evidence_resends: BTreeMap::new(),
            handed_over_owners: Vec::new(),
            next_gossip: now,
            next_periodic_work: now,
            cfg,
        }
    }
}

fn new_claim_budget(now: Timestamp) -> TokenBucket {
    let mut bucket = TokenBucket::new(now, CLAIM_BURST_DURATION);
    bucket.set_rate(now, MAX_CLAIMS_PER_SECOND);
    bucket
}

impl<P: Policy + Default> Node<P> {
    /// Processes one event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Effect>) {
        self.staleness.on_event(now);
        match event {
            Event::Request(req) => self.on_request(now, req, out),
            Event::AttemptEnded { request, end, head_received, response_bytes, answer } => {
                let end = requests::EndedAttempt { end, head_received, response_bytes, answer };
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
        self.release_deferred_holds(now);
        self.expire_waiting(now, out);
        self.run_gossip_round(now, out);
        self.run_periodic_work(now, out);
        self.maintain_loans(now, out);
        self.start_waiting(now, out);
        self.advance_stop(now, out);
    }

    /// Runs the work that is not needed on every tick.
    fn run_periodic_work(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        const PERIOD: Duration = Duration::from_millis(100);
        if now < self.next_periodic_work {
            return;
        }
        self.next_periodic_work = now + PERIOD;
        self.operations.expire(now);
        self.expire_claims(now);
        self.quarantine.expire(now);
        self.refresh_limits(now);
        self.report_accepting_changes(now, out);
        self.refresh_status(now);
        self.send_audits(now, out);
        self.reconcile_fleet(now, out);
    }

    fn current_minute(&self, now: Timestamp) -> Minute {
        const MICROS_PER_MINUTE: u64 = 60_000_000;
        let elapsed = u32::try_from(now.0 / MICROS_PER_MINUTE).unwrap_or(u32::MAX);
        Minute(self.cfg.epoch.0.saturating_add(elapsed))
    }

    /// Returns the fleet entry of a daemon. During a fleet change this includes previous members.
    fn fleet_member(&self, node: NodeId) -> Option<&FleetMember> {
        self.fleet.members.iter().chain(&self.fleet.previous).find(|m| m.node == node)
    }

    /// Whether a daemon is neither suspected nor considered dead.
    fn is_alive(&self, now: Timestamp, node: NodeId) -> bool {
        self.membership.liveness(now, node) == Liveness::Alive
    }
}
