//! Runs several [`Node`]s under one virtual time, with stand-ins at their interfaces, and records what happens.
//!
//! Effects are carried out the way the engine and the request workers of the daemon do it. Everything that a check
//! needs is recorded: runs at backend servers, answers to callers, and violations of bounds that hold at each step.

#![allow(dead_code)]

pub mod checks;
pub mod faults;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use medlarstair_state::config::{Entry, KeyRevision};
use medlarstair_state::id::*;
use medlarstair_state::ledger::{LimitKey, LoanGrant, LoanId};
use medlarstair_state::model::*;
use medlarstair_state::node::*;
use medlarstair_state::operation::{CallerKey, HandoverTable, Issuer, Minute, RecordedAnswer, Token};
use medlarstair_state::quarantine::Evidence;
use medlarstair_state::routing::{AttemptEnd, LoadReport};
use medlarstair_state::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Microseconds of virtual time.
pub type Micros = u64;
pub const MS: Micros = 1_000;
pub const SEC: Micros = 1_000_000;

pub const CUSTOMER: &str = "acme";
pub const SERVICE: &str = "orders";
const REGIONS: usize = 3;
const SERVERS: usize = 6;
const SLOTS: u32 = 3;
const RATE: u32 = 400;
pub const SHIFT_CAP: u32 = 24;

/// One caller operation; resends share it.
#[derive(Debug, Clone)]
pub struct Op {
    pub rank: Rank,
    pub idempotency: Idempotency,
    pub fingerprint: u64,
    pub crashes: bool,
    pub run: Micros,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Body of the backend server's answer.
    Ran(u64),
    Refused(Refusal),
    /// The connection to the entry daemon failed.
    ConnectionFailed,
}

/// One request of a caller to an entry daemon.
#[derive(Debug)]
pub struct SentRequest {
    pub op: usize,
    pub node: usize,
    pub at: Micros,
    pub answer: Option<(Micros, Answer)>,
}

/// One attempt at a backend server. It is a run from `start` on.
#[derive(Debug)]
pub struct Run {
    pub send: usize,
    pub node: usize,
    pub boot: u64,
    request: RequestId,
    step: u32,
    pub server: usize,
    pub sent_at: Micros,
    budget: Micros,
    pub start: Option<Micros>,
    pub end: Option<Micros>,
}

#[derive(Debug)]
struct Call {
    send: usize,
    /// The daemon and request that wait for the answer of a forwarded call.
    origin: Option<(usize, u64, RequestId, u32)>,
    answer: Option<Answer>,
    /// Number of the I/O step; an end of an earlier step is of no interest.
    step: u32,
}

pub struct Daemon {
    pub member: FleetMember,
    pub node: Option<Node>,
    pub boot: u64,
    drift_ppm: i64,
    offset: u64,
    pub paused: bool,
    mailbox: Vec<Event>,
    watching: bool,
    calls: BTreeMap<RequestId, Call>,
    accepted_handover: bool,
    pub stop_at: Option<Micros>,
    pub exited_at: Option<Micros>,
    pub revisions: BTreeMap<Box<str>, Revision>,
    pub live_keys: BTreeSet<Box<str>>,
    /// Revision of the last listing of the key-value service.
    listed: Option<Revision>,
    /// How the decision logic was made, and its events if they are kept.
    pub started: Option<(NodeConfig, Timestamp)>,
    pub trace: Vec<(Timestamp, Event)>,
}

#[derive(Debug)]
pub struct Server {
    pub spec: BackendSpec,
    pub up: bool,
    boot: u64,
    pub draining: bool,
    pub shed: bool,
    pub breaks_connections: bool,
    /// Replaces what it reports as in use.
    pub misreported_use: Option<u32>,
    pub hides_drain: bool,
    pub running: BTreeSet<usize>,
    /// When the first source said that it leaves.
    pub leaving_since: Option<Micros>,
}

#[derive(Debug)]
enum End {
    Done,
    Broken,
    Gone,
}

#[derive(Debug)]
enum Happening {
    Tick(usize, u64),
    Poll(usize, u64, u32),
    Watch(usize, u64),
    Bootstrap(usize, u64),
    Event(usize, u64, Event),
    StepEnded(usize, u64, RequestId, u32, Event, Option<Answer>),
    Message(usize, Incarnation, PeerMessage),
    Fetch {
        at: usize,
        by: usize,
        boot: u64,
        summary: Vec<KeyRevision>,
    },
    Handover {
        at: usize,
        by: usize,
        boot: u64,
        parts: Vec<HandoverTable>,
    },
    Forward {
        at: usize,
        send: usize,
        origin: (usize, u64, RequestId, u32),
        budget: Micros,
        evidence: Option<Evidence>,
    },
    Claim {
        by: usize,
        boot: u64,
        request: RequestId,
        step: u32,
        name: Box<str>,
        issuer: Issuer,
    },
    Arrive(usize),
    RunEnd(usize, End),
    /// The connection of a run closes, because its daemon ended.
    Closed(usize),
    Send(usize),
    Fault(faults::Fault, bool),
    Sample,
}

/// Daemons, backend servers, the key-value service, the network and what happens next.
pub struct Simulation {
    pub now: Micros,
    queue: BTreeMap<(Micros, u64), Happening>,
    sequence: u64,
    pub rng: Pcg32,
    pub daemons: Vec<Daemon>,
    pub servers: Vec<Server>,
    pub ops: Vec<Op>,
    pub sends: Vec<SentRequest>,
    pub runs: Vec<Run>,
    /// Times at which a fingerprint crashed a server.
    pub crashes: BTreeMap<u64, Vec<Micros>>,
    pub entries: BTreeMap<Box<str>, Entry>,
    /// An earlier state of the entries, which stale reads return.
    stale_entries: Option<(Revision, BTreeMap<Box<str>, Entry>)>,
    values: BTreeMap<(Box<str>, Revision), ConfigValue>,
    pub revision: Revision,
    claims: BTreeMap<Box<str>, Issuer>,
    pub store_down: bool,
    pub store_loses_responses: bool,
    pub store_stale: bool,
    /// Counts of active cuts, by pairs of domains; domain [`STORE`] is the key-value service.
    pub cuts: BTreeMap<(usize, usize), u32>,
    pub loss_percent: u32,
    pub polls_stopped: bool,
    pub leaving_vms: BTreeSet<Backend>,
    pub checks: checks::Checks,
    pub steps: u64,
    next_request: u64,
}

/// Place of the key-value service in [`Simulation::cuts`].
pub const STORE: usize = 6;

pub fn domain_of(index: usize) -> usize {
    index % 6
}

pub fn region_of(index: usize) -> usize {
    index % REGIONS
}

fn region(index: usize) -> Region {
    format!("r{}", region_of(index)).parse().unwrap()
}

fn domain(index: usize) -> Domain {
    format!("d{}", domain_of(index)).parse().unwrap()
}

pub fn contract(shift_cap: u32, change: &str) -> ConfigValue {
    let terms = ServiceTerms {
        service: SERVICE.parse().unwrap(),
        rate: RequestsPerSecond(RATE),
        shift_cap: RequestsPerSecond(shift_cap),
        max_deadline: MAX_RUN_TIME,
    };
    ConfigValue::Contract(Contract {
        customer: CUSTOMER.parse().unwrap(),
        change_id: change.into(),
        services: vec![terms],
    })
}

impl Simulation {
    /// A fleet that has its configuration, after 15 s for the start of the ledgers.
    pub fn new(seed: u64, nodes: usize) -> Self {
        let mut sim = Self::starting(seed, nodes);
        sim.run_until(15 * SEC);
        sim
    }

    /// A fleet that starts now.
    pub fn starting(seed: u64, nodes: usize) -> Self {
        let mut sim = Self::empty(seed, nodes);
        for node in 0..nodes {
            sim.start(node);
        }
        sim.after(0, Happening::Sample);
        sim
    }

    fn empty(seed: u64, nodes: usize) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let address = "127.0.0.1:7000".parse().unwrap();
        let mut daemons = Vec::new();
        for i in 0..nodes {
            let node = NodeId(u32::try_from(i).unwrap());
            let (region, domain) = (region(i), domain(i));
            daemons.push(Daemon {
                member: FleetMember { node, region, domain, peer_address: address, http_address: address },
                node: None,
                boot: 0,
                drift_ppm: rng.random_range(-10_000..=10_000),
                offset: rng.random_range(0..1_000 * SEC),
                paused: false,
                mailbox: Vec::new(),
                watching: false,
                calls: BTreeMap::new(),
                accepted_handover: false,
                stop_at: None,
                exited_at: None,
                revisions: BTreeMap::new(),
                live_keys: BTreeSet::new(),
                listed: None,
                started: None,
                trace: Vec::new(),
            });
        }
        let mut servers = Vec::new();
        for i in 0..SERVERS {
            let name = format!("s{i}").parse().unwrap();
            let (region, domain) = (region(i), domain(i));
            servers.push(Server {
                spec: BackendSpec { name, region, domain, address, slots: Slots(SLOTS) },
                up: true,
                boot: 1,
                draining: false,
                shed: false,
                breaks_connections: false,
                misreported_use: None,
                hides_drain: false,
                running: BTreeSet::new(),
                leaving_since: None,
            });
        }
        let mut sim = Self {
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            rng,
            daemons,
            servers,
            ops: Vec::new(),
            sends: Vec::new(),
            runs: Vec::new(),
            crashes: BTreeMap::new(),
            entries: BTreeMap::new(),
            stale_entries: None,
            values: BTreeMap::new(),
            revision: Revision(0),
            claims: BTreeMap::new(),
            store_down: false,
            store_loses_responses: false,
            store_stale: false,
            cuts: BTreeMap::new(),
            loss_percent: 0,
            polls_stopped: false,
            leaving_vms: BTreeSet::new(),
            checks: checks::Checks::default(),
            steps: 0,
            next_request: 0,
        };
        sim.write_initial();
        sim
    }

    fn write_initial(&mut self) {
        let members = self.daemons.iter().map(|d| d.member.clone()).collect();
        self.write("config/fleet", Some(ConfigValue::Fleet(Fleet { members, previous: Vec::new() })));
        let mut links = Vec::new();
        for from in 0..REGIONS {
            for to in (0..REGIONS).filter(|to| *to != from) {
                let delay = Duration::from_millis(12);
                let bandwidth = KbitPerSecond(1_000_000);
                links.push(LinkSpec { from: region(from), to: region(to), bandwidth, delay });
            }
        }
        self.write("config/topology", Some(ConfigValue::Topology(Topology { links })));
        let spec = ServiceSpec {
            name: SERVICE.parse().unwrap(),
            standard_floor: Percent(10),
            bulk_floor: Percent(5),
            typical_run: Duration::from_millis(50),
            backends: self.servers.iter().map(|s| s.spec.clone()).collect(),
        };
        self.write(&format!("config/service/{SERVICE}"), Some(ConfigValue::Service(spec)));
        self.write(&format!("config/contract/{CUSTOMER}"), Some(contract(SHIFT_CAP, "initial")));
    }

    /// A compare-and-swap that succeeds. False if the service is down.
    pub fn write(&mut self, key: &str, value: Option<ConfigValue>) -> bool {
        if self.store_down {
            return false;
        }
        if value.is_none() && self.entries.get(key).is_none_or(|e| e.value.is_none()) {
            return true;
        }
        self.revision = Revision(self.revision.0 + 1);
        let text = value.as_ref().map(|_| format!("value {}", self.revision).into());
        self.checks.on_write(self.daemons.len(), key, self.revision);
        if let Some(value) = value {
            self.values.insert((key.into(), self.revision), value);
        }
        self.entries.insert(key.into(), Entry { key: key.into(), revision: self.revision, value: text });

        true
    }

    /// Makes the current entries the ones that stale reads return.
    pub fn save_stale_entries(&mut self) {
        self.stale_entries = Some((self.revision, self.entries.clone()));
    }

    fn after(&mut self, delay: Micros, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), happening);
    }

    pub fn fault_at(&mut self, at: Micros, fault: faults::Fault, begins: bool) {
        let delay = at.saturating_sub(self.now);
        self.after(delay, Happening::Fault(fault, begins));
    }

    pub fn run_until(&mut self, end: Micros) {
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), happening) = entry.remove_entry();
            self.now = at;
            self.steps += 1;
            self.happen(happening);
        }
        self.now = end;
    }

    pub fn clock(&self, node: usize) -> Timestamp {
        let daemon = &self.daemons[node];
        let drift = i64::try_from(self.now).unwrap() * daemon.drift_ppm / 1_000_000;
        Timestamp((self.now + daemon.offset).saturating_add_signed(drift))
    }

    /// Starts a daemon that has lost all its state.
    pub fn start(&mut self, node: usize) {
        if self.daemons[node].node.is_some() {
            return;
        }
        let now = self.clock(node);
        let seed = self.rng.random();
        let daemon = &mut self.daemons[node];
        daemon.boot += 1;
        let boot = daemon.boot;
        let cfg = NodeConfig {
            me: Incarnation { node: daemon.member.node, boot: Boot(boot) },
            region: daemon.member.region.clone(),
            domain: daemon.member.domain.clone(),
            epoch: Minute(29_000_000 - u32::try_from(daemon.offset / (60 * SEC)).unwrap()),
            seed,
        };
        daemon.started = Some((cfg.clone(), now));
        daemon.node = Some(Node::new(cfg, now));
        daemon.watching = false;
        daemon.stop_at = None;
        daemon.exited_at = None;
        daemon.revisions.clear();
        daemon.listed = None;
        daemon.trace.clear();
        for happening in [
            Happening::Bootstrap(node, boot),
            Happening::Tick(node, boot),
            Happening::Poll(node, boot, 0),
            Happening::Watch(node, boot),
        ] {
            let jitter = self.rng.random_range(0..10 * MS);
            self.after(jitter, happening);
        }
    }

    /// Ends a daemon at once. Its connections close.
    pub fn kill(&mut self, node: usize) {
        let daemon = &mut self.daemons[node];
        daemon.node = None;
        daemon.paused = false;
        daemon.mailbox.clear();
        for (_, call) in std::mem::take(&mut daemon.calls) {
            match call.origin {
                None => self.sends[call.send].answer = Some((self.now, Answer::ConnectionFailed)),
                Some(origin) => self.no_answer(node, origin),
            }
        }
        let running = self.runs.iter().enumerate().filter(|(_, r)| r.node == node && r.end.is_none());
        for run in running.map(|(i, _)| i).collect::<Vec<_>>() {
            self.after(40 * MS, Happening::Closed(run));
        }
    }

    /// An operator asks for a planned stop.
    pub fn stop(&mut self, node: usize) {
        self.daemons[node].stop_at = Some(self.now);
        self.feed(node, Event::Stop);
    }

    pub fn resume(&mut self, node: usize) {
        self.daemons[node].paused = false;
        for event in std::mem::take(&mut self.daemons[node].mailbox) {
            self.feed(node, event);
        }
    }

    pub fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains_key(&(a.min(b), a.max(b)))
    }

    fn store_reachable(&self, node: usize) -> bool {
        !self.store_down && !self.is_cut(domain_of(node), STORE)
    }

    fn delay(a: usize, b: usize) -> Micros {
        if region_of(a) == region_of(b) { MS } else { 12 * MS }
    }

    pub fn alive(&self, node: usize, boot: u64) -> bool {
        self.daemons[node].node.is_some() && self.daemons[node].boot == boot
    }

    /// Whether daemon `a` can exchange messages with daemon `b` now.
    fn connected(&self, a: usize, b: usize) -> bool {
        !self.is_cut(domain_of(a), domain_of(b))
    }

    fn feed(&mut self, node: usize, event: Event) {
        let now = self.clock(node);
        let daemon = &mut self.daemons[node];
        let Some(logic) = &mut daemon.node else {
            return;
        };
        if daemon.paused {
            // Ticks do not accumulate while the process is stopped.
            if event != Event::Tick || daemon.mailbox.last() != Some(&Event::Tick) {
                daemon.mailbox.push(event);
            }
            return;
        }
        if self.checks.traced == Some(node) {
            daemon.trace.push((now, event.clone()));
        }
        let mut out = Vec::new();
        logic.handle(now, event, &mut out);
        for effect in out {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        let boot = self.daemons[node].boot;
        match effect {
            Effect::Dispatch(dispatch) => self.dispatch(node, boot, dispatch),
            Effect::Deliver { request } => {
                let answer = self.daemons[node].calls.get_mut(&request).and_then(|c| c.answer.take());
                self.finish(node, request, answer.unwrap_or(Answer::ConnectionFailed));
            }
            Effect::Refuse { request, refusal } => self.finish(node, request, Answer::Refused(refusal)),
            Effect::Replay { request, answer } => {
                let body = answer.body.try_into().map_or(0, u64::from_le_bytes);
                self.finish(node, request, Answer::Ran(body));
            }
            Effect::Forward { request, to, budget, evidence } => {
                let Some(call) = self.daemons[node].calls.get_mut(&request) else {
                    return;
                };
                call.step += 1;
                let (send, step) = (call.send, call.step);
                let (at, budget) = (to.0 as usize, u64::try_from(budget.as_micros()).unwrap());
                let origin = (node, boot, request, step);
                self.after(Self::delay(node, at), Happening::Forward { at, send, origin, budget, evidence });
                let event = Event::ForwardEnded { request, end: ForwardResult::NoAnswer };
                self.after(budget, Happening::StepEnded(node, boot, request, step, event, None));
            }
            Effect::Claim { request, customer, key, issuer } => {
                let Some(call) = self.daemons[node].calls.get_mut(&request) else {
                    return;
                };
                call.step += 1;
                let step = call.step;
                let name = format!("claim/{customer}/{key}").into();
                let delay = Self::delay(node, 0);
                self.after(delay, Happening::Claim { by: node, boot, request, step, name, issuer });
            }
            Effect::Send { to, message } => self.transmit(node, boot, to.0 as usize, message),
            Effect::FetchConfig { from } => {
                let summary = self.daemons[node].node.as_ref().unwrap().config_summary();
                let at = from.0 as usize;
                self.after(Self::delay(node, at), Happening::Fetch { at, by: node, boot, summary });
            }
            Effect::Handover { to, parts } => {
                let at = to.0 as usize;
                self.after(Self::delay(node, at), Happening::Handover { at, by: node, boot, parts });
            }
            Effect::AcceptHandover => self.daemons[node].accepted_handover = true,
            // The schedules change no VM list, so no fleet change is proposed.
            Effect::ProposeFleet { .. } => panic!("unexpected fleet change"),
            Effect::Watch(watch) => self.daemons[node].watching = watch,
            Effect::Notice(_) => {}
            Effect::Exit => {
                if !self.daemons[node].calls.is_empty() {
                    self.checks.fail(self.now, "P7", format!("daemon {node} ends with open requests"));
                }
                self.daemons[node].exited_at = Some(self.now);
                self.kill(node);
            }
        }
    }

    /// Sends a datagram: it may be lost, delayed, overtaken or delivered twice.
    fn transmit(&mut self, node: usize, boot: u64, to: usize, message: PeerMessage) {
        match &message {
            PeerMessage::LoanRequest(req) => {
                self.checks.renewals.extend(req.renews.map(|renewed| (req.id, renewed)));
            }
            PeerMessage::LoanGrant(grant) => self.check_grant(node, to, grant),
            _ => {}
        }
        let from = Incarnation { node: self.daemons[node].member.node, boot: Boot(boot) };
        let copies = if self.rng.random_range(0..100) < self.loss_percent { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_range(0..100) < self.loss_percent {
                continue;
            }
            let jitter = self.rng.random_range(0..=u64::from(self.loss_percent) * MS + MS);
            self.after(Self::delay(node, to) + jitter, Happening::Message(to, from, message.clone()));
        }
    }

    fn dispatch(&mut self, node: usize, boot: u64, dispatch: Dispatch) {
        let server = self.servers.iter().position(|s| s.spec.name == dispatch.backend).unwrap();
        let request = dispatch.request;
        let Some(call) = self.daemons[node].calls.get_mut(&request) else {
            return;
        };
        call.step += 1;
        let (send, step) = (call.send, call.step);
        let budget = u64::try_from(dispatch.budget.as_micros()).unwrap();
        let run = self.runs.len();
        let sent_at = self.now;
        self.runs.push(Run {
            send,
            node,
            boot,
            request,
            step,
            server,
            sent_at,
            budget,
            start: None,
            end: None,
        });
        self.check_dispatch(run);
        self.after(Self::delay(node, server), Happening::Arrive(run));
        let event = attempt_ended(request, AttemptEnd::TimedOut, None);
        self.after(budget, Happening::StepEnded(node, boot, request, step, event, None));
    }

    fn finish(&mut self, node: usize, request: RequestId, answer: Answer) {
        let Some(call) = self.daemons[node].calls.remove(&request) else {
            return;
        };
        let Some((to, boot, request, step)) = call.origin else {
            self.sends[call.send].answer = Some((self.now, answer));
            return;
        };
        if self.connected(node, to) {
            let event = Event::ForwardEnded { request, end: ForwardResult::Answered };
            let ended = Happening::StepEnded(to, boot, request, step, event, Some(answer));
            self.after(Self::delay(node, to), ended);
        }
    }

    fn no_answer(&mut self, at: usize, (to, boot, request, step): (usize, u64, RequestId, u32)) {
        let event = Event::ForwardEnded { request, end: ForwardResult::NoAnswer };
        self.after(Self::delay(at, to), Happening::StepEnded(to, boot, request, step, event, None));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(node, boot) if self.alive(node, boot) => {
                self.feed(node, Event::Tick);
                self.after(10 * MS, Happening::Tick(node, boot));
            }
            Happening::Poll(node, boot, count) if self.alive(node, boot) => {
                self.poll(node, boot, count);
                self.after(300 * MS, Happening::Poll(node, boot, count + 1));
            }
            Happening::Watch(node, boot) if self.alive(node, boot) => {
                if self.daemons[node].watching && !self.daemons[node].paused && self.store_reachable(node) {
                    self.list_store(node);
                }
                self.after(100 * MS, Happening::Watch(node, boot));
            }
            Happening::Bootstrap(node, boot) if self.alive(node, boot) => self.bootstrap(node, boot),
            Happening::Event(node, boot, event) if self.alive(node, boot) => self.feed(node, event),
            Happening::StepEnded(node, boot, request, step, event, answer) if self.alive(node, boot) => {
                let Some(call) = self.daemons[node].calls.get_mut(&request).filter(|c| c.step == step) else {
                    return;
                };
                call.step += 1;
                call.answer = answer;
                self.feed(node, event);
            }
            Happening::Message(to, from, message) if self.connected(to, from.node.0 as usize) => {
                self.feed(to, Event::Message { from, message });
            }
            Happening::Fetch { at, by, boot, summary } => {
                let Some(peer) = self.daemons[at].node.as_ref() else {
                    return;
                };
                if self.connected(at, by) && !self.daemons[at].paused {
                    let entries = peer.config_entries_newer_than(&summary);
                    let event = Event::Config { entries: self.parse(entries), source: ConfigSource::Peer };
                    self.after(Self::delay(at, by), Happening::Event(by, boot, event));
                }
            }
            Happening::Handover { at, by, boot, parts } => {
                if !self.connected(at, by) || self.daemons[at].paused {
                    return;
                }
                for table in parts {
                    self.daemons[at].accepted_handover = false;
                    self.feed(at, Event::HandoverReceived { table });
                    if !self.daemons[at].accepted_handover {
                        return;
                    }
                }
                // The acknowledgement travels over the same link.
                let event = Event::HandoverAcknowledged { successor: self.daemons[at].member.node };
                self.after(Self::delay(at, by), Happening::Event(by, boot, event));
            }
            Happening::Forward { at, send, origin, budget, evidence } => {
                if !self.connected(at, origin.0) {
                    return;
                }
                if self.daemons[at].node.is_none() {
                    return self.no_answer(at, origin);
                }
                self.admit(at, send, Some(origin), budget, evidence);
            }
            Happening::Claim { by, boot, request, step, name, issuer } => {
                self.claim(by, boot, request, step, name, issuer)
            }
            Happening::Arrive(run) => self.arrive(run),
            Happening::RunEnd(run, end) => self.end_run(run, end),
            Happening::Closed(run) => {
                let Run { node, server, .. } = self.runs[run];
                match self.is_cut(domain_of(node), domain_of(server)) {
                    true => self.after(100 * MS, Happening::Closed(run)),
                    false => self.end_run(run, End::Gone),
                }
            }
            Happening::Send(send) => {
                let node = self.sends[send].node;
                if self.daemons[node].node.is_none() {
                    self.sends[send].answer = Some((self.now, Answer::ConnectionFailed));
                } else {
                    self.admit(node, send, None, 2 * SEC, None);
                }
            }
            Happening::Fault(fault, begins) => self.apply_fault(fault, begins),
            Happening::Sample => {
                self.sample();
                self.after(50 * MS, Happening::Sample);
            }
            // For an incarnation that has ended.
            _ => {}
        }
    }

    fn admit(
        &mut self,
        node: usize,
        send: usize,
        origin: Option<(usize, u64, RequestId, u32)>,
        budget: Micros,
        evidence: Option<Evidence>,
    ) {
        let op = self.ops[self.sends[send].op].clone();
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let forwarded = origin.is_some();
        self.daemons[node].calls.insert(id, Call { send, origin, answer: None, step: 0 });
        let req = IncomingRequest {
            id,
            customer: CUSTOMER.parse().unwrap(),
            service: SERVICE.parse().unwrap(),
            rank: op.rank,
            deadline: Duration::from_micros(budget),
            idempotency: op.idempotency,
            fingerprint: Fingerprint(op.fingerprint),
            body_bytes: 500,
            resent: false,
            forwarded,
            evidence,
        };
        self.feed(node, Event::Request(req));
    }

    /// A caller sends an operation to an entry daemon.
    pub fn send_at(&mut self, at: Micros, node: usize, op: usize) -> usize {
        self.sends.push(SentRequest { op, node, at, answer: None });
        let send = self.sends.len() - 1;
        self.after(at.saturating_sub(self.now), Happening::Send(send));
        send
    }

    pub fn add_op(&mut self, rank: Rank, idempotency: Idempotency, run: Micros) -> usize {
        let fingerprint = 1_000 + self.ops.len() as u64;
        self.ops.push(Op { rank, idempotency, fingerprint, crashes: false, run });
        self.ops.len() - 1
    }

    /// A token as a lookup at the daemon gives it now.
    pub fn token(&self, node: usize, suffix: usize) -> Idempotency {
        let issued = Minute(29_000_000 + u32::try_from(self.now / (60 * SEC)).unwrap());
        let owner = Incarnation { node: NodeId(node as u32), boot: Boot(self.daemons[node].boot) };
        Idempotency::Token(Token { owner, issued, suffix: format!("t{suffix}").into() })
    }

    pub fn key(&self, suffix: usize) -> Idempotency {
        Idempotency::Key(format!("k{suffix}").parse::<CallerKey>().unwrap())
    }

    fn parse(&self, entries: Vec<Entry>) -> Vec<ParsedEntry> {
        let value = |e: &Entry| self.values.get(&(e.key.clone(), e.revision)).cloned();
        entries.into_iter().map(|e| ParsedEntry { value: value(&e), entry: e }).collect()
    }

    /// Reads all keys. A key that is known, older than the listing and missing from it counts as deleted.
    fn list_store(&mut self, node: usize) {
        let stale = self.stale_entries.clone().filter(|_| self.store_stale && self.rng.random());
        let (revision, listed) = stale.unwrap_or_else(|| (self.revision, self.entries.clone()));
        let mut entries = listed.values().filter(|e| e.value.is_some()).cloned().collect::<Vec<_>>();
        // A watch returns only what has changed.
        if self.daemons[node].listed.replace(revision) == Some(revision) {
            return;
        }
        let logic = self.daemons[node].node.as_ref().unwrap();
        for key in logic.config_keys_before(revision) {
            if listed.get(&key).is_none_or(|e| e.value.is_none()) {
                entries.push(Entry { key, revision, value: None });
            }
        }
        let event = Event::Config { entries: self.parse(entries), source: ConfigSource::Store };
        let boot = self.daemons[node].boot;
        self.after(Self::delay(node, 0), Happening::Event(node, boot, event));
    }

    /// Asks the other daemons and then the service, until there is a configuration.
    fn bootstrap(&mut self, node: usize, boot: u64) {
        if !self.daemons[node].node.as_ref().unwrap().config_summary().is_empty() {
            return;
        }
        let holds = |d: &Daemon| d.node.as_ref().is_some_and(|n| !n.config_summary().is_empty());
        let peers = (0..self.daemons.len()).filter(|p| *p != node && self.connected(node, *p));
        let peer = peers.into_iter().find(|p| !self.daemons[*p].paused && holds(&self.daemons[*p]));
        match peer {
            Some(at) => {
                let delay = Self::delay(node, at);
                self.after(delay, Happening::Fetch { at, by: node, boot, summary: Vec::new() });
            }
            None if self.store_reachable(node) => self.list_store(node),
            None => {}
        }
        self.after(200 * MS, Happening::Bootstrap(node, boot));
    }

    fn poll(&mut self, node: usize, boot: u64, count: u32) {
        if self.daemons[node].paused || self.polls_stopped {
            return;
        }
        for (backend, _) in self.daemons[node].node.as_ref().unwrap().health_check_targets() {
            let index = self.servers.iter().position(|s| s.spec.name == backend).unwrap();
            let server = &self.servers[index];
            if !server.up || self.is_cut(domain_of(node), domain_of(index)) {
                continue;
            }
            let report = LoadReport {
                boot: server.boot,
                in_use: server.misreported_use.unwrap_or(u32::try_from(server.running.len()).unwrap()),
                slots: SLOTS,
                draining: server.draining && !server.hides_drain,
                age: Duration::ZERO,
            };
            let event = Event::Report { backend, report };
            self.after(2 * Self::delay(node, index), Happening::Event(node, boot, event));
        }
        if count.is_multiple_of(3) {
            let nodes = self.daemons.iter().map(|d| d.member.node).collect();
            let event = Event::Vms(PlatformVms { nodes, leaving: self.leaving_vms.clone() });
            self.after(2 * MS, Happening::Event(node, boot, event));
        }
    }

    fn claim(&mut self, by: usize, boot: u64, request: RequestId, step: u32, name: Box<str>, issuer: Issuer) {
        let mut end = ClaimResult::Unavailable;
        let mut delay = SEC;
        if self.store_reachable(by) {
            let owner = *self.claims.entry(name).or_insert(issuer);
            delay = Self::delay(by, 0);
            // A lost answer is resolved by reading the key back, whose answer may be lost as well.
            let lost = self.store_loses_responses && self.rng.random();
            if !lost || self.rng.random() {
                end = ClaimResult::Owned(owner);
            }
        }
        let event = Event::ClaimEnded { request, end };
        self.after(delay, Happening::StepEnded(by, boot, request, step, event, None));
    }

    fn arrive(&mut self, run: usize) {
        let Run { node, server, budget, send, sent_at, .. } = self.runs[run];
        let delay = Self::delay(node, server);
        if self.is_cut(domain_of(node), domain_of(server)) {
            return self.end_attempt(run, budget.min(SEC), AttemptEnd::NotConnected);
        }
        let server = &self.servers[server];
        if !server.up {
            return self.end_attempt(run, delay, AttemptEnd::NotConnected);
        }
        if server.shed {
            return self.end_attempt(run, delay, AttemptEnd::Shed);
        }
        // The daemon ended before the request left its machine.
        if !self.alive(node, self.runs[run].boot) {
            return;
        }
        let op = &self.ops[self.sends[send].op];
        let (runs_for, end) = match (op.crashes, server.breaks_connections) {
            (false, false) => (op.run, End::Done),
            _ => (op.run / 2, End::Broken),
        };
        // The server cancels at the deadline that came with the request.
        let left = budget.saturating_sub(self.now - sent_at) + delay;
        let (runs_for, end) = if left < runs_for { (left, End::Gone) } else { (runs_for, end) };
        self.runs[run].start = Some(self.now);
        self.start_run(run);
        self.after(runs_for, Happening::RunEnd(run, end));
    }

    fn end_run(&mut self, run: usize, end: End) {
        let Run { node, server, send, start, end: ended, .. } = self.runs[run];
        if ended.is_some() || start.is_none() {
            return;
        }
        let delay = Self::delay(node, server);
        let op = self.ops[self.sends[send].op].clone();
        if matches!(end, End::Broken) && op.crashes && self.servers[server].up {
            self.crashes.entry(op.fingerprint).or_default().push(self.now);
            self.crash(server, 300 * MS);
            return;
        }
        self.runs[run].end = Some(self.now);
        self.servers[server].running.remove(&run);
        match end {
            End::Done => {
                self.end_attempt(run, delay, AttemptEnd::Ran { latency: Duration::from_micros(op.run) })
            }
            End::Broken => self.end_attempt(run, delay, AttemptEnd::Broken),
            End::Gone => {}
        }
    }

    /// Ends a backend server with all its runs and starts it again after `down`.
    pub fn crash(&mut self, server: usize, down: Micros) {
        self.servers[server].up = false;
        self.servers[server].boot += 1;
        for run in std::mem::take(&mut self.servers[server].running) {
            self.runs[run].end = Some(self.now);
            self.end_attempt(run, Self::delay(self.runs[run].node, server), AttemptEnd::Broken);
        }
        self.fault_at(self.now + down, faults::Fault::ServerDown(server), false);
    }

    fn end_attempt(&mut self, run: usize, delay: Micros, end: AttemptEnd) {
        let Run { node, boot, request, step, server, send, .. } = self.runs[run];
        // Nothing comes back over a cut link; the budget ends the attempt.
        if end != AttemptEnd::NotConnected && self.is_cut(domain_of(node), domain_of(server)) {
            return;
        }
        let op = &self.ops[self.sends[send].op];
        let ran = matches!(end, AttemptEnd::Ran { .. });
        let recorded = (ran && op.idempotency != Idempotency::Repeatable).then(|| RecordedAnswer {
            status: 200,
            content_type: "text/plain".into(),
            body: op.fingerprint.to_le_bytes().to_vec(),
            omitted: false,
        });
        let answer = ran.then_some(Answer::Ran(op.fingerprint));
        let event = attempt_ended(request, end, recorded);
        self.after(delay, Happening::StepEnded(node, boot, request, step, event, answer));
    }
}

fn attempt_ended(request: RequestId, end: AttemptEnd, answer: Option<RecordedAnswer>) -> Event {
    let head_received = answer.is_some() || matches!(end, AttemptEnd::Ran { .. } | AttemptEnd::Shed);
    Event::AttemptEnded { request, end, head_received, response_bytes: 100, answer }
}
