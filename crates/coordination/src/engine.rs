//! The actor that owns the decision logic of a daemon.
//!
//! Everything that happens reaches [`Node::handle`] through this actor, one event after the other, and every effect is
//! carried out here. The request path needs no lock for that: workers ask by message and wait for the next [`Step`].

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
    ConfigSource, Dispatch, Effect, Event, IncomingRequest, Node, Notice, OpsView, ParsedEntry, Refusal, TICK,
};
use medlarstair_state::operation::{CallerKey, HandoverTable, Issuer, RecordedAnswer};
use medlarstair_state::quarantine::Evidence;
use medlarstair_state::time::Timestamp;
use medlarstair_transport::clock::BootClock;
use slog::{Logger, info, warn};
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use crate::peers::{PeerAddress, PeerLink};
use crate::settings::Seed;
use crate::snapshot::Snapshot;
use crate::timeline::Timeline;
use crate::timer::{Subscribe, TimerFired, TimerService};
use crate::trace::TraceWriter;

/// Period of the snapshot for the workers.
const SNAPSHOT_PERIOD: Duration = Duration::from_millis(100);

/// Time for a fetch of configuration entries or a handover.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Events that may wait for the engine. Beyond that, senders of unimportant events drop them.
const MAILBOX: usize = 16_384;

/// What a worker does next with a request.
#[derive(Debug)]
pub enum Step {
    /// Start an attempt.
    Dispatch(Dispatch),
    /// Pass the answer in hand on to the caller.
    Deliver,
    /// Answer with a refusal.
    Refuse(Refusal),
    /// Answer with a recorded answer.
    Replay(RecordedAnswer),
    /// Have another daemon run the request.
    Forward {
        /// The daemon.
        to: PeerAddress,
        /// Time after which no answer is awaited.
        budget: Duration,
        /// Crash evidence to send along.
        evidence: Option<Evidence>,
    },
    /// Claim the caller's key in the key-value service.
    Claim {
        /// The customer.
        customer: Customer,
        /// The key.
        key: CallerKey,
        /// The value to claim it with.
        issuer: Issuer,
    },
}

/// A request has arrived.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Admit {
    /// The request.
    pub req: IncomingRequest,
    /// Where the next step goes.
    pub tx: oneshot::Sender<Step>,
}

/// Something that a request waits for has ended.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Continue {
    /// The request.
    pub request: RequestId,
    /// What has ended.
    pub event: Event,
    /// Where the next step goes; `None` if the answer has been passed on.
    pub tx: Option<oneshot::Sender<Step>>,
}

/// Any other event.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Feed(pub Event);

/// The complete list of configuration keys, as the key-value service gave it.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct StoreListing {
    /// Revision of the service at the time of the answer.
    pub revision: Revision,
    /// All entries.
    pub entries: Vec<Entry>,
}

/// Configuration entries from the key-value service or another daemon.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Entries {
    /// The entries.
    pub entries: Vec<Entry>,
    /// Where from.
    pub source: ConfigSource,
}

/// Has another daemon run a request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ForwardTo {
    /// The daemon.
    pub to: PeerAddress,
    /// The request.
    pub call: Box<ForwardedRequest>,
    /// Time after which no answer is awaited.
    pub budget: Duration,
    /// Where the answer goes; dropped if there is none.
    pub tx: oneshot::Sender<ForwardedResponse>,
}

/// Asks for the entries that another daemon lacks.
#[derive(Debug, Message)]
#[rtype(result = "Vec<Entry>")]
pub struct MissingFrom(pub Vec<KeyRevision>);

/// Takes over a part of the operation table of a daemon that stops. True if it was accepted.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub struct TakeOver(pub HandoverTable);

/// Asks for the operator's view.
#[derive(Debug, Message)]
#[rtype(result = "OpsView")]
pub struct GetOps;

/// Asks for a configuration entry as this daemon holds it.
#[derive(Debug, Message)]
#[rtype(result = "Option<Held>")]
pub struct GetHeld(pub Box<str>);

/// A configuration entry as this daemon holds it.
#[derive(Debug, Clone, PartialEq)]
pub struct Held {
    /// The entry.
    pub entry: Entry,
    /// Time since it came into force here; zero if it is not valid and never did.
    pub age: Duration,
}

/// Asks for recent events.
#[derive(Debug, Message)]
#[rtype(result = "Vec<TimelineEvent>")]
pub struct GetTimeline {
    /// Wall-clock milliseconds since 1970 of the oldest event wanted.
    pub since_ms: u64,
}

/// Asks for the backend servers whose health this daemon polls.
#[derive(Debug, Message)]
#[rtype(result = "Vec<(Backend, SocketAddr)>")]
pub struct GetPolled;

/// Asks for all backend servers of the configuration, with their slots and services.
#[derive(Debug, Message)]
#[rtype(result = "Vec<medlarstair_state::model::ServiceSpec>")]
pub struct GetServices;

/// Tells a watcher of the key-value service to start or stop.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct Watch(pub bool);

/// Fetches the configuration from the given daemons, before any fleet is known.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub struct FetchFromSeeds(pub Vec<Seed>);

/// What an engine is made of.
#[derive(Debug)]
pub struct EngineConfig {
    /// The decision logic.
    pub node: Node,
    /// The daemon's clock.
    pub clock: BootClock,
    /// Connections to other daemons.
    pub link: Rc<PeerLink>,
    /// The view for the workers.
    pub snapshot: Snapshot,
    /// Metrics.
    pub metrics: Metrics,
    /// Log.
    pub log: Logger,
    /// The timer service.
    pub timer: Addr<TimerService>,
    /// Where events are recorded.
    pub trace: Option<TraceWriter>,
    /// Told when a planned stop is complete.
    pub exit: oneshot::Sender<()>,
}

/// When a revision of a key came into force here.
#[derive(Debug)]
struct Applied {
    revision: Revision,
    at: Timestamp,
}

/// Owner of the decision logic.
#[derive(Debug)]
pub struct Engine {
    node: Node,
    clock: BootClock,
    link: Rc<PeerLink>,
    snapshot: Snapshot,
    metrics: Metrics,
    log: Logger,
    timer: Addr<TimerService>,
    timeline: Timeline,
    trace: Option<TraceWriter>,
    applied: HashMap<Box<str>, Applied>,
    exit: Option<oneshot::Sender<()>>,
    steps: HashMap<RequestId, oneshot::Sender<Step>>,
    store: Option<SetStore>,
    watching: bool,
    accepted_handover: bool,
    published: Timestamp,
}

/// Writes a value to the key-value service if the key still has the expected revision.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Propose {
    /// The key.
    pub key: Box<str>,
    /// The value.
    pub value: Box<str>,
    /// The expected revision.
    pub expect: Revision,
}

/// Tells the engine which part talks to the key-value service.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetStore {
    /// Watches it.
    pub watches: Recipient<Watch>,
    /// Writes to it.
    pub proposals: Recipient<Propose>,
}

impl Engine {
    /// An engine that is ready to start.
    pub fn new(cfg: EngineConfig) -> Self {
        Self {
            timeline: Timeline::new(cfg.link.me()),
            node: cfg.node,
            clock: cfg.clock,
            link: cfg.link,
            snapshot: cfg.snapshot,
            metrics: cfg.metrics,
            log: cfg.log,
            timer: cfg.timer,
            trace: cfg.trace,
            applied: HashMap::new(),
            exit: Some(cfg.exit),
            steps: HashMap::new(),
            store: None,
            watching: false,
            accepted_handover: false,
            published: Timestamp::ZERO,
        }
    }

    fn feed(&mut self, event: Event, cx: &mut Context<Self>) {
        let now = self.clock.now();
        self.record(now, &event);
        let mut out = Vec::new();
        self.node.handle(now, event, &mut out);
        for effect in out {
            self.carry_out(effect, cx);
        }
    }

    fn record(&mut self, at: Timestamp, event: &Event) {
        let Some(trace) = &mut self.trace else {
            return;
        };
        if let Err(e) = trace.record(at, event) {
            warn!(self.log, "the trace file cannot be written; recording ends: {e}"; "code" => 901);
            self.trace = None;
        }
    }

    fn carry_out(&mut self, effect: Effect, cx: &mut Context<Self>) {
        match effect {
            Effect::Dispatch(dispatch) => self.step(dispatch.request, Step::Dispatch(dispatch)),
            Effect::Deliver { request } => self.step(request, Step::Deliver),
            Effect::Refuse { request, refusal } => {
                self.metrics.on_refusal(refusal.reason);
                self.step(request, Step::Refuse(refusal));
            }
            Effect::Replay { request, answer } => self.step(request, Step::Replay(answer)),
            Effect::Forward { request, to, budget, evidence } => self.forward(request, to, budget, evidence),
            Effect::Claim { request, customer, key, issuer } => {
                self.step(request, Step::Claim { customer, key, issuer });
            }
            Effect::Send { to, message } => {
                if let Some(to) = self.peer(to) {
                    self.link.send(to, &message);
                }
            }
            Effect::FetchConfig { from } => self.fetch_config(from, cx),
            Effect::Handover { to, parts } => self.hand_over(to, parts, cx),
            Effect::ProposeFleet { fleet, expect } => self.propose_fleet(&fleet, expect),
            Effect::AcceptHandover => self.accepted_handover = true,
            Effect::Watch(watch) => self.watch(watch),
            Effect::Notice(notice) => self.note(&notice),
            Effect::Exit => {
                if let Some(exit) = self.exit.take() {
                    let _ = exit.send(());
                }
            }
        }
    }

    /// A worker that no longer waits has dropped its receiver; its request is then of no interest.
    fn step(&mut self, request: RequestId, step: Step) {
        if let Some(tx) = self.steps.remove(&request) {
            let _ = tx.send(step);
        }
    }

    fn peer(&self, node: NodeId) -> Option<PeerAddress> {
        Some(PeerAddress { node, address: self.node.peer_address(node)? })
    }

    fn forward(&mut self, request: RequestId, to: NodeId, budget: Duration, evidence: Option<Evidence>) {
        match self.peer(to) {
            Some(to) => self.step(request, Step::Forward { to, budget, evidence }),
            // Dropping the sender tells the worker that there is no next step.
            None => drop(self.steps.remove(&request)),
        }
    }

    fn fetch_config(&self, from: NodeId, cx: &mut Context<Self>) {
        let Some(peer) = self.peer(from) else {
            return;
        };
        let (link, req) = (Rc::clone(&self.link), StreamRequest::ConfigFetch(self.node.config_summary()));
        let fetch = async move { link.exchange(peer, &req, EXCHANGE_TIMEOUT).await };
        cx.spawn(fetch.into_actor(self).map(|answer, engine, cx| {
            if let Ok(StreamResponse::ConfigEntries(entries)) = answer {
                engine.take_entries(entries, ConfigSource::Peer, cx);
            }
        }));
    }

    fn take_entries(&mut self, entries: Vec<Entry>, source: ConfigSource, cx: &mut Context<Self>) {
        let mut parsed = Vec::with_capacity(entries.len());
        for entry in entries {
            let value = match entry.value.as_deref().map(|value| parse_value(&entry.key, value)) {
                Some(Ok(value)) => value,
                Some(Err(e)) => {
                    warn!(self.log, "configuration value not valid: {e}"; "code" => 900, "key" => &*entry.key);
                    None
                }
                None => None,
            };
            parsed.push(ParsedEntry { entry, value });
        }
        self.feed(Event::Config { entries: parsed, source }, cx);
        self.publish();
    }

    fn hand_over(&self, to: NodeId, parts: Vec<HandoverTable>, cx: &mut Context<Self>) {
        let Some(peer) = self.peer(to) else {
            return;
        };
        let link = Rc::clone(&self.link);
        let exchange = async move {
            for part in parts {
                let answer = link.exchange(peer, &StreamRequest::Handover(part), EXCHANGE_TIMEOUT).await;
                if !matches!(answer, Ok(StreamResponse::HandoverAck)) {
                    return false;
                }
            }
            true
        };
        cx.spawn(exchange.into_actor(self).map(move |acknowledged, engine, cx| {
            if acknowledged {
                engine.feed(Event::HandoverAcknowledged { successor: to }, cx);
            }
        }));
    }

    fn propose_fleet(&self, fleet: &Fleet, expect: Revision) {
        let change_id = format!("fleet-{}-{}", self.link.me(), self.clock.now().0);
        let Ok(value) = serde_json::to_string(&fleet_value(fleet, &change_id)) else {
            return;
        };
        if let Some(store) = &self.store {
            store.proposals.do_send(Propose { key: "config/fleet".into(), value: value.into(), expect });
        }
    }

    fn watch(&mut self, watch: bool) {
        self.watching = watch;
        if let Some(store) = &self.store {
            store.watches.do_send(Watch(watch));
        }
    }

    fn note(&mut self, notice: &Notice) {
        if let Notice::ConfigApplied { key, revision } = notice {
            let applied = Applied { revision: *revision, at: self.clock.now() };
            self.applied.insert(key.clone(), applied);
        }
        let at = self.link.now();
        self.timeline.record(at, notice);
        info!(self.log, "{notice}"; "code" => notice.code(), "event" => notice.name());
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        self.published = now;
        self.metrics.set_requests(self.steps.len());
        self.snapshot.publish(self.node.view(now));
    }

    /// Reads datagrams until the socket fails.
    fn receive(&self, cx: &mut Context<Self>) {
        let (link, engine) = (Rc::clone(&self.link), cx.address());
        actix_rt::spawn(async move {
            while let Ok((from, message)) = link.receive().await {
                // Datagrams may get lost, so one that finds the mailbox full is dropped.
                let _ = engine.try_send(Feed(Event::Message { from, message }));
            }
        });
    }
}

impl Actor for Engine {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(MAILBOX);
        self.timer.do_send(Subscribe { subscriber: cx.address().recipient(), period: TICK });
        self.receive(cx);
        self.publish();
    }
}

impl Handler<TimerFired> for Engine {
    type Result = ();

    fn handle(&mut self, _: TimerFired, cx: &mut Self::Context) {
        self.feed(Event::Tick, cx);
        if self.clock.now().since(self.published) >= SNAPSHOT_PERIOD {
            self.publish();
        }
    }
}

impl Handler<Admit> for Engine {
    type Result = ();

    fn handle(&mut self, Admit { req, tx }: Admit, cx: &mut Self::Context) {
        self.steps.insert(req.id, tx);
        self.feed(Event::Request(req), cx);
    }
}

impl Handler<Continue> for Engine {
    type Result = ();

    fn handle(&mut self, Continue { request, event, tx }: Continue, cx: &mut Self::Context) {
        if let Some(tx) = tx {
            self.steps.insert(request, tx);
        }
        self.feed(event, cx);
    }
}

impl Handler<Feed> for Engine {
    type Result = ();

    fn handle(&mut self, Feed(event): Feed, cx: &mut Self::Context) {
        let stop = event == Event::Stop;
        self.feed(event, cx);
        if stop {
            self.publish();
        }
    }
}

impl Handler<Entries> for Engine {
    type Result = ();

    fn handle(&mut self, Entries { entries, source }: Entries, cx: &mut Self::Context) {
        self.take_entries(entries, source, cx);
    }
}

impl Handler<StoreListing> for Engine {
    type Result = ();

    /// A key that is known here, is older than the listing and is missing from it has been deleted.
    fn handle(&mut self, StoreListing { revision, mut entries }: StoreListing, cx: &mut Self::Context) {
        let listed = entries.iter().map(|e| e.key.clone()).collect::<HashSet<_>>();
        for key in self.node.config_keys_before(revision) {
            if !listed.contains(&key) {
                entries.push(Entry { key, revision, value: None });
            }
        }
        self.take_entries(entries, ConfigSource::Store, cx);
    }
}

impl Handler<ForwardTo> for Engine {
    type Result = ();

    fn handle(&mut self, ForwardTo { to, call, budget, tx }: ForwardTo, _: &mut Self::Context) {
        let link = Rc::clone(&self.link);
        actix_rt::spawn(async move {
            let answer = link.exchange(to, &StreamRequest::Forward(call), budget).await;
            if let Ok(StreamResponse::Forwarded(answer)) = answer {
                let _ = tx.send(answer);
            }
        });
    }
}

impl Handler<MissingFrom> for Engine {
    type Result = MessageResult<MissingFrom>;

    fn handle(&mut self, MissingFrom(summary): MissingFrom, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.node.config_missing_from(&summary))
    }
}

impl Handler<TakeOver> for Engine {
    type Result = bool;

    fn handle(&mut self, TakeOver(table): TakeOver, cx: &mut Self::Context) -> bool {
        self.accepted_handover = false;
        self.feed(Event::HandoverReceived { table }, cx);
        self.accepted_handover
    }
}

impl Handler<GetOps> for Engine {
    type Result = MessageResult<GetOps>;

    fn handle(&mut self, _: GetOps, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.node.ops(self.clock.now()))
    }
}

impl Handler<GetHeld> for Engine {
    type Result = MessageResult<GetHeld>;

    fn handle(&mut self, GetHeld(key): GetHeld, _: &mut Self::Context) -> Self::Result {
        let held = self.node.config_entry(&key).map(|entry| {
            let applied = self.applied.get(&key).filter(|applied| applied.revision == entry.revision);
            let age = applied.map_or(Duration::ZERO, |applied| self.clock.now().since(applied.at));
            Held { entry: entry.clone(), age }
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

impl Handler<GetPolled> for Engine {
    type Result = MessageResult<GetPolled>;

    fn handle(&mut self, _: GetPolled, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.node.polled())
    }
}

impl Handler<GetServices> for Engine {
    type Result = MessageResult<GetServices>;

    fn handle(&mut self, _: GetServices, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.node.service_specs())
    }
}

impl Handler<SetStore> for Engine {
    type Result = ();

    fn handle(&mut self, store: SetStore, _: &mut Self::Context) {
        store.watches.do_send(Watch(self.watching));
        self.store = Some(store);
    }
}

impl Handler<FetchFromSeeds> for Engine {
    type Result = ResponseActFuture<Self, bool>;

    /// Asks one daemon after the other until one answers. True if one did.
    fn handle(&mut self, FetchFromSeeds(seeds): FetchFromSeeds, _: &mut Self::Context) -> Self::Result {
        let (link, req) = (Rc::clone(&self.link), StreamRequest::ConfigFetch(self.node.config_summary()));
        let fetch = async move {
            for seed in seeds {
                let peer = PeerAddress { node: seed.node, address: seed.address };
                let answer = link.exchange(peer, &req, EXCHANGE_TIMEOUT).await;
                if let Ok(StreamResponse::ConfigEntries(entries)) = answer {
                    return Some(entries);
                }
            }
            None
        };
        Box::pin(fetch.into_actor(self).map(|entries, engine, cx| match entries {
            Some(entries) if !entries.is_empty() => {
                engine.take_entries(entries, ConfigSource::Peer, cx);
                true
            }
            _ => false,
        }))
    }
}
