//! Actor that owns the decision logic of a daemon.
//!
//! All events reach [`Node::handle`] through this actor, one at a time, and this actor applies the resulting effects.
//! The request path therefore needs no lock: workers send a message and wait for the next [`Step`].

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::prelude::*;
use medlarstair_protocol::border::TimelineEvent;
use medlarstair_protocol::convert::{fleet_value, parse_value};
use medlarstair_protocol::stream::{ForwardedRequest, ForwardedResponse, StreamRequest, StreamResponse};
use medlarstair_state::config::{Entry, KeyRevision};
use medlarstair_state::id::{Backend, Customer, NodeId, RequestId, Revision};
use medlarstair_state::model::Fleet;
use medlarstair_state::node::{
    ConfigSource, Dispatch, Effect, Event, IncomingRequest, Node, Notice, OpsView, ParsedEntry, Refusal,
    TICK_PERIOD,
};
use medlarstair_state::operation::{CallerKey, HandoverTable, Issuer, RecordedAnswer};
use medlarstair_state::quarantine::Evidence;
use medlarstair_state::time::Timestamp;
use medlarstair_transport::clock::BootClock;
use slog::{Logger, info, warn};
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use crate::peers::{PeerAddress, PeerTransport};
use crate::settings::Seed;
use crate::snapshot::Snapshot;
use crate::timeline::Timeline;
use crate::timer::{Subscribe, TimerFired, TimerService};
use crate::trace::TraceWriter;

/// Interval between updates of the snapshot that the HTTP workers read.
const SNAPSHOT_PERIOD: Duration = Duration::from_millis(100);

/// Timeout of a configuration fetch, and of each message of a handover.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Mailbox capacity in messages. When it is full, `try_send` fails: ticks and datagrams are then dropped.
const MAILBOX_CAPACITY: usize = 16_384;

/// Next step of a request, performed by the worker that holds it.
#[derive(Debug)]
pub enum Step {
    /// Send the request to a backend server.
    Dispatch(Dispatch),
    /// Return the response that the worker holds to the caller.
    Deliver,
    /// Return a refusal to the caller.
    Refuse(Refusal),
    /// Return the recorded response of an earlier run.
    Replay(RecordedAnswer),
    /// Forward the request to another daemon.
    Forward {
        /// Daemon that is to run the request.
        to: PeerAddress,
        /// Timeout of the response.
        budget: Duration,
        /// Crash evidence to send along; `None` if there is none.
        evidence: Option<Evidence>,
    },
    /// Claim the caller's idempotency key in the key-value service.
    Claim {
        /// Customer that the key belongs to.
        customer: Customer,
        /// Idempotency key that the caller chose.
        key: CallerKey,
        /// Owner to write as the value of the claim.
        issuer: Issuer,
    },
}

/// Admits a request that has arrived.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct AdmitRequest {
    /// Request as the decision logic sees it.
    pub req: IncomingRequest,
    /// Receives the first step.
    pub tx: oneshot::Sender<Step>,
}

/// Resumes a request after an attempt, a claim or a forward has ended.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ResumeRequest {
    /// Number of the request at this daemon.
    pub request: RequestId,
    /// Event that describes how it ended.
    pub event: Event,
    /// Receives the next step; `None` if the response has already been forwarded.
    pub tx: Option<oneshot::Sender<Step>>,
}

/// Passes an event that belongs to no waiting request to the decision logic.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct HandleEvent(pub Event);

/// Applies a complete listing of the configuration keys in the key-value service.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct StoreListing {
    /// Revision of the service at which the listing was taken.
    pub revision: Revision,
    /// Every entry with the configuration prefix.
    pub entries: Vec<Entry>,
}

/// Applies changed configuration entries from the key-value service or another daemon.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ApplyEntries {
    /// Changed entries; a deleted key has no value.
    pub entries: Vec<Entry>,
    /// Sender of the entries.
    pub source: ConfigSource,
}

/// Forwards a request to another daemon.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ForwardTo {
    /// Daemon that is to run the request.
    pub to: PeerAddress,
    /// Request in the form of the protocol between daemons.
    pub call: Box<ForwardedRequest>,
    /// Timeout of the response.
    pub budget: Duration,
    /// Receives the response; dropped if none arrives.
    pub tx: oneshot::Sender<ForwardedResponse>,
}

/// Queries the configuration entries that another daemon lacks, given the summary of its entries.
#[derive(Debug, Message)]
#[rtype(result = "Vec<Entry>")]
pub struct GetMissingEntries(pub Vec<KeyRevision>);

/// Receives a chunk of the operation table of a daemon that shuts down. `true` if it was accepted.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub struct ReceiveHandover(pub HandoverTable);

/// Queries the state shown in operator reports.
#[derive(Debug, Message)]
#[rtype(result = "OpsView")]
pub struct GetOpsView;

/// Queries a configuration entry, by its full key, as this daemon holds it.
#[derive(Debug, Message)]
#[rtype(result = "Option<HeldEntry>")]
pub struct GetHeldEntry(pub Box<str>);

/// A configuration entry as this daemon holds it.
#[derive(Debug, Clone, PartialEq)]
pub struct HeldEntry {
    /// Entry with its revision; a deleted key has no value.
    pub entry: Entry,
    /// Time since this revision took effect at this daemon; zero if it is invalid and never did.
    pub age: Duration,
}

/// Queries the recent events of this daemon, oldest first.
#[derive(Debug, Message)]
#[rtype(result = "Vec<TimelineEvent>")]
pub struct GetTimeline {
    /// Time of the oldest event wanted, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// Queries the backend servers whose health this daemon polls.
#[derive(Debug, Message)]
#[rtype(result = "Vec<(Backend, SocketAddr)>")]
pub struct GetPolledBackends;

/// Queries all configured services with their backend servers.
#[derive(Debug, Message)]
#[rtype(result = "Vec<medlarstair_state::model::ServiceSpec>")]
pub struct GetServices;

/// Starts (`true`) or stops (`false`) the watch on the key-value service.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct SetWatching(pub bool);

/// Fetches the configuration from the seed daemons, before the fleet is known. `true` if entries were received.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub struct FetchFromSeeds(pub Vec<Seed>);

/// Dependencies of an [`Engine`].
#[derive(Debug)]
pub struct EngineConfig {
    /// Decision logic in its initial state.
    pub node: Node,
    /// Clock that timestamps all events.
    pub clock: BootClock,
    /// Messages to and from other daemons.
    pub transport: Rc<PeerTransport>,
    /// View for the HTTP workers, updated by the engine.
    pub snapshot: Snapshot,
    /// Metrics that the engine updates.
    pub metrics: Metrics,
    /// Receives notices of the decision logic and warnings of the engine.
    pub log: Logger,
    /// Source of ticks.
    pub timer: Addr<TimerService>,
    /// Trace of all events; `None` if the settings name no trace file.
    pub trace: Option<TraceWriter>,
    /// Signalled when a graceful shutdown is complete.
    pub exit: oneshot::Sender<()>,
}

/// Time at which a revision of a key took effect at this daemon.
#[derive(Debug)]
struct AppliedRevision {
    revision: Revision,
    at: Timestamp,
}

/// Actor that owns the decision logic.
#[derive(Debug)]
pub struct Engine {
    node: Node,
    clock: BootClock,
    transport: Rc<PeerTransport>,
    snapshot: Snapshot,
    metrics: Metrics,
    log: Logger,
    timer: Addr<TimerService>,
    timeline: Timeline,
    trace: Option<TraceWriter>,
    applied: HashMap<Box<str>, AppliedRevision>,
    exit: Option<oneshot::Sender<()>>,
    /// Senders to the workers that wait for the next step of their requests.
    step_senders: HashMap<RequestId, oneshot::Sender<Step>>,
    store: Option<ConnectStore>,
    watching: bool,
    /// Whether the decision logic accepted the chunk of an operation table in the current event.
    handover_accepted: bool,
    last_published: Timestamp,
}

/// Writes a value to the key-value service if the key still has the expected revision. The outcome is not reported.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ProposeWrite {
    /// Full key.
    pub key: Box<str>,
    /// New value.
    pub value: Box<str>,
    /// Revision of the last change that the write is based on.
    pub expect: Revision,
}

/// Connects the engine to the actors that access the key-value service.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ConnectStore {
    /// Actor that watches the service.
    pub watcher: Recipient<SetWatching>,
    /// Actor that writes to the service.
    pub writer: Recipient<ProposeWrite>,
}

impl Engine {
    /// Creates an engine that has not been started.
    pub fn new(cfg: EngineConfig) -> Self {
        Self {
            timeline: Timeline::new(cfg.transport.me()),
            node: cfg.node,
            clock: cfg.clock,
            transport: cfg.transport,
            snapshot: cfg.snapshot,
            metrics: cfg.metrics,
            log: cfg.log,
            timer: cfg.timer,
            trace: cfg.trace,
            applied: HashMap::new(),
            exit: Some(cfg.exit),
            step_senders: HashMap::new(),
            store: None,
            watching: false,
            handover_accepted: false,
            last_published: Timestamp::ZERO,
        }
    }

    /// Passes an event to the decision logic and applies the resulting effects.
    fn handle_event(&mut self, event: Event, cx: &mut Context<Self>) {
        let now = self.clock.now();
        self.record_event(now, &event);
        let mut out = Vec::new();
        self.node.handle(now, event, &mut out);
        for effect in out {
            self.apply_effect(effect, cx);
        }
    }

    /// Appends an event to the trace, if there is one. Recording ends after an I/O error.
    fn record_event(&mut self, at: Timestamp, event: &Event) {
        let Some(trace) = &mut self.trace else {
            return;
        };
        if let Err(e) = trace.record(at, event) {
            warn!(self.log, "cannot write the trace file, recording stopped: {e}"; "code" => 901);
            self.trace = None;
        }
    }

    fn apply_effect(&mut self, effect: Effect, cx: &mut Context<Self>) {
        match effect {
            Effect::Dispatch(dispatch) => self.send_step(dispatch.request, Step::Dispatch(dispatch)),
            Effect::Deliver { request } => self.send_step(request, Step::Deliver),
            Effect::Refuse { request, refusal } => {
                self.metrics.on_refusal(refusal.reason);
                self.send_step(request, Step::Refuse(refusal));
            }
            Effect::Replay { request, answer } => self.send_step(request, Step::Replay(answer)),
            Effect::Forward { request, to, budget, evidence } => self.forward(request, to, budget, evidence),
            Effect::Claim { request, customer, key, issuer } => {
                self.send_step(request, Step::Claim { customer, key, issuer });
            }
            Effect::Send { to, message } => {
                if let Some(to) = self.resolve_peer(to) {
                    self.transport.send(to, &message);
                }
            }
            Effect::FetchConfig { from } => self.fetch_config(from, cx),
            Effect::Handover { to, parts } => self.hand_over(to, parts, cx),
            Effect::ProposeFleet { fleet, expect } => self.propose_fleet(&fleet, expect),
            Effect::AcceptHandover => self.handover_accepted = true,
            Effect::Watch(watch) => self.set_watching(watch),
            Effect::Notice(notice) => self.record_notice(&notice),
            Effect::Exit => {
                if let Some(exit) = self.exit.take() {
                    let _ = exit.send(());
                }
            }
        }
    }

    /// Sends a step to the waiting worker. The step is dropped if the worker has dropped its receiver.
    fn send_step(&mut self, request: RequestId, step: Step) {
        if let Some(tx) = self.step_senders.remove(&request) {
            let _ = tx.send(step);
        }
    }

    fn resolve_peer(&self, node: NodeId) -> Option<PeerAddress> {
        Some(PeerAddress { node, address: self.node.peer_address(node)? })
    }

    /// Sends the step that forwards a request. Ends the request if the other daemon is not in the fleet.
    fn forward(&mut self, request: RequestId, to: NodeId, budget: Duration, evidence: Option<Evidence>) {
        match self.resolve_peer(to) {
            Some(to) => self.send_step(request, Step::Forward { to, budget, evidence }),
            // Dropping the sender ends the worker's wait without a next step.
            None => drop(self.step_senders.remove(&request)),
        }
    }

    /// Fetches the entries that are newer at another daemon.
    fn fetch_config(&self, from: NodeId, cx: &mut Context<Self>) {
        let Some(peer) = self.resolve_peer(from) else {
            return;
        };
        let (transport, req) =
            (Rc::clone(&self.transport), StreamRequest::ConfigFetch(self.node.config_summary()));
        let fetch = async move { transport.exchange(peer, &req, EXCHANGE_TIMEOUT).await };
        cx.spawn(fetch.into_actor(self).map(|response, engine, cx| {
            if let Ok(StreamResponse::ConfigEntries(entries)) = response {
                engine.apply_entries(entries, ConfigSource::Peer, cx);
            }
        }));
    }

    /// Parses configuration entries and passes them to the decision logic.
    fn apply_entries(&mut self, entries: Vec<Entry>, source: ConfigSource, cx: &mut Context<Self>) {
        let mut parsed = Vec::with_capacity(entries.len());
        for entry in entries {
            let value = match entry.value.as_deref().map(|value| parse_value(&entry.key, value)) {
                Some(Ok(value)) => value,
                Some(Err(e)) => {
                    warn!(self.log, "invalid configuration value: {e}"; "code" => 900, "key" => &*entry.key);
                    None
                }
                None => None,
            };
            parsed.push(ParsedEntry { entry, value });
        }
        self.handle_event(Event::Config { entries: parsed, source }, cx);
        self.publish_snapshot();
    }

    /// Sends the parts of the operation table to a successor, one after the other until one is not acknowledged.
    fn hand_over(&self, to: NodeId, tables: Vec<HandoverTable>, cx: &mut Context<Self>) {
        let Some(peer) = self.resolve_peer(to) else {
            return;
        };
        let transport = Rc::clone(&self.transport);
        let exchange = async move {
            for table in tables {
                let response =
                    transport.exchange(peer, &StreamRequest::Handover(table), EXCHANGE_TIMEOUT).await;
                if !matches!(response, Ok(StreamResponse::HandoverAck)) {
                    return false;
                }
            }
            true
        };
        cx.spawn(exchange.into_actor(self).map(move |acknowledged, engine, cx| {
            if acknowledged {
                engine.handle_event(Event::HandoverAcknowledged { successor: to }, cx);
            }
        }));
    }

    /// Writes a new fleet value if the key still has the expected revision.
    fn propose_fleet(&self, fleet: &Fleet, expect: Revision) {
        let change_id = format!("fleet-{}-{}", self.transport.me(), self.clock.now().0);
        let Ok(value) = serde_json::to_string(&fleet_value(fleet, &change_id)) else {
            return;
        };
        if let Some(store) = &self.store {
            store.writer.do_send(ProposeWrite { key: "config/fleet".into(), value: value.into(), expect });
        }
    }

    /// Starts or stops the watch on the key-value service.
    fn set_watching(&mut self, watch: bool) {
        self.watching = watch;
        if let Some(store) = &self.store {
            store.watcher.do_send(SetWatching(watch));
        }
    }

    /// Adds a notice to the timeline and the log.
    fn record_notice(&mut self, notice: &Notice) {
        if let Notice::ConfigApplied { key, revision } = notice {
            let applied = AppliedRevision { revision: *revision, at: self.clock.now() };
            self.applied.insert(key.clone(), applied);
        }
        let at = self.transport.now();
        self.timeline.record(at, notice);
        info!(self.log, "{notice}"; "code" => notice.code(), "event" => notice.name());
    }

    /// Updates the snapshot for the HTTP workers.
    fn publish_snapshot(&mut self) {
        let now = self.clock.now();
        self.last_published = now;
        self.metrics.set_waiting_requests(self.step_senders.len());
        self.snapshot.publish(self.node.view(now));
    }

    /// Receives datagrams until the socket fails.
    fn receive_datagrams(&self, cx: &mut Context<Self>) {
        let (transport, engine) = (Rc::clone(&self.transport), cx.address());
        actix_rt::spawn(async move {
            while let Ok((from, message)) = transport.receive().await {
                // Datagrams may be lost anyway, so they are dropped while the mailbox is full.
                let _ = engine.try_send(HandleEvent(Event::Message { from, message }));
            }
        });
    }
}

impl Actor for Engine {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(MAILBOX_CAPACITY);
        self.timer.do_send(Subscribe { subscriber: cx.address().recipient(), period: TICK_PERIOD });
        self.receive_datagrams(cx);
        self.publish_snapshot();
    }
}

impl Handler<TimerFired> for Engine {
    type Result = ();

    fn handle(&mut self, _: TimerFired, cx: &mut Self::Context) {
        self.handle_event(Event::Tick, cx);
        if self.clock.now().since(self.last_published) >= SNAPSHOT_PERIOD {
            self.publish_snapshot();
        }
    }
}

impl Handler<AdmitRequest> for Engine {
    type Result = ();

    fn handle(&mut self, AdmitRequest { req, tx }: AdmitRequest, cx: &mut Self::Context) {
        self.step_senders.insert(req.id, tx);
        self.handle_event(Event::Request(req), cx);
    }
}

impl Handler<ResumeRequest> for Engine {
    type Result = ();

    fn handle(&mut self, ResumeRequest { request, event, tx }: ResumeRequest, cx: &mut Self::Context) {
        if let Some(tx) = tx {
            self.step_senders.insert(request, tx);
        }
        self.handle_event(event, cx);
    }
}

impl Handler<HandleEvent> for Engine {
    type Result = ();

    fn handle(&mut self, HandleEvent(event): HandleEvent, cx: &mut Self::Context) {
        let stop = event == Event::Stop;
        self.handle_event(event, cx);
        if stop {
            self.publish_snapshot();
        }
    }
}

impl Handler<ApplyEntries> for Engine {
    type Result = ();

    fn handle(&mut self, ApplyEntries { entries, source }: ApplyEntries, cx: &mut Self::Context) {
        self.apply_entries(entries, source, cx);
    }
}

impl Handler<StoreListing> for Engine {
    type Result = ();

    /// A key that this daemon holds with an older revision than the listing's, and that is not listed, was deleted.
    fn handle(&mut self, StoreListing { revision, mut entries }: StoreListing, cx: &mut Self::Context) {
        let listed = entries.iter().map(|e| e.key.clone()).collect::<HashSet<_>>();
        for key in self.node.config_keys_before(revision) {
            if !listed.contains(&key) {
                entries.push(Entry { key, revision, value: None });
            }
        }
        self.apply_entries(entries, ConfigSource::Store, cx);
    }
}

impl Handler<ForwardTo> for Engine {
    type Result = ();

    fn handle(&mut self, ForwardTo { to, call, budget, tx }: ForwardTo, _: &mut Self::Context) {
        let transport = Rc::clone(&self.transport);
        actix_rt::spawn(async move {
            let response = transport.exchange(to, &StreamRequest::Forward(call), budget).await;
            if let Ok(StreamResponse::Forwarded(response)) = response {
                let _ = tx.send(response);
            }
        });
    }
}

impl Handler<GetMissingEntries> for Engine {
    type Result = MessageResult<GetMissingEntries>;

    fn handle(
        &mut self,
        GetMissingEntries(summary): GetMissingEntries,
        _: &mut Self::Context,
    ) -> Self::Result {
        MessageResult(self.node.config_entries_newer_than(&summary))
    }
}

impl Handler<ReceiveHandover> for Engine {
    type Result = bool;

    fn handle(&mut self, ReceiveHandover(table): ReceiveHandover, cx: &mut Self::Context) -> bool {
        self.handover_accepted = false;
        self.handle_event(Event::HandoverReceived { table }, cx);
        self.handover_accepted
    }
}

impl Handler<GetOpsView> for Engine {
    type Result = MessageResult<GetOpsView>;

    fn handle(&mut self, _: GetOpsView, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.node.ops_view(self.clock.now()))
    }
}

impl Handler<GetHeldEntry> for Engine {
    type Result = MessageResult<GetHeldEntry>;

    fn handle(&mut self, GetHeldEntry(key): GetHeldEntry, _: &mut Self::Context) -> Self::Result {
        let held = self.node.config_entry(&key).map(|entry| {
            let applied = self.applied.get(&key).filter(|applied| applied.revision == entry.revision);
            let age = applied.map_or(Duration::ZERO, |applied| self.clock.now().since(applied.at));
            HeldEntry { entry: entry.clone(), age }
        });
        MessageResult(held)
    }
}

impl Handler<GetTimeline> for Engine {
    type Result = MessageResult<GetTimeline>;

    fn handle(&mut self, GetTimeline { since_ms }: GetTimeline, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.timeline.since(since_ms))
    }
}

impl Handler<GetPolledBackends> for Engine {
    type Result = MessageResult<GetPolledBackends>;

    fn handle(&mut self, _: GetPolledBackends, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.node.health_check_targets())
    }
}

impl Handler<GetServices> for Engine {
    type Result = MessageResult<GetServices>;

    fn handle(&mut self, _: GetServices, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.node.service_specs())
    }
}

impl Handler<ConnectStore> for Engine {
    type Result = ();

    fn handle(&mut self, store: ConnectStore, _: &mut Self::Context) {
        store.watcher.do_send(SetWatching(self.watching));
        self.store = Some(store);
    }
}

impl Handler<FetchFromSeeds> for Engine {
    type Result = ResponseActFuture<Self, bool>;

    /// Queries the seeds in order until one responds. `true` if its response contains entries.
    fn handle(&mut self, FetchFromSeeds(seeds): FetchFromSeeds, _: &mut Self::Context) -> Self::Result {
        let (transport, req) =
            (Rc::clone(&self.transport), StreamRequest::ConfigFetch(self.node.config_summary()));
        let fetch = async move {
            for seed in seeds {
                let peer = PeerAddress { node: seed.node, address: seed.address };
                let response = transport.exchange(peer, &req, EXCHANGE_TIMEOUT).await;
                if let Ok(StreamResponse::ConfigEntries(entries)) = response {
                    return Some(entries);
                }
            }
            None
        };
        Box::pin(fetch.into_actor(self).map(|entries, engine, cx| match entries {
            Some(entries) if !entries.is_empty() => {
                engine.apply_entries(entries, ConfigSource::Peer, cx);
                true
            }
            _ => false,
        }))
    }
}
