//! Discrete-event simulation of a fleet of [`Node`]s with simulated backend servers, key-value service and network.
//!
//! Effects are applied in the same way as by the engine and the request workers of the daemon. The simulation records
//! what the checks need: executions on backend servers, answers to callers, and violations of the properties.

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

/// Virtual time or duration in µs.
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

/// Operation of a caller. All its requests, including resends, refer to it.
#[derive(Debug, Clone)]
pub struct Op {
    pub rank: Rank,
    pub idempotency: Idempotency,
    pub fingerprint: u64,
    /// Whether it crashes a backend server halfway through its execution.
    pub crashes: bool,
    /// Execution time.
    pub run: Micros,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Executed; contains the body of the response, which is the fingerprint of the operation.
    Ran(u64),
    Refused(Refusal),
    /// The connection to the entry daemon failed.
    ConnectionFailed,
}

/// Request of a caller to an entry daemon.
#[derive(Debug)]
pub struct SentRequest {
    pub op: usize,
    pub node: usize,
    pub at: Micros,
    pub answer: Option<(Micros, Answer)>,
}

/// Attempt of a daemon at a backend server. The server executes it from `start` to `end`; without `start` it is not
/// executed.
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
    /// Daemon, its boot number, request and step that wait for the answer to a forwarded request; `None` if a caller
    /// sent it.
    origin: Option<(usize, u64, RequestId, u32)>,
    answer: Option<Answer>,
    /// Number of the current I/O step. Results of earlier steps are ignored.
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
    /// Revision of the last listing received from the key-value service.
    listed: Option<Revision>,
    /// Configuration and start time of the decision logic.
    pub started: Option<(NodeConfig, Timestamp)>,
    /// Events since the start, recorded if [`checks::Checks::traced`] selects this daemon.
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
    /// Reported instead of the real number of slots in use, if set.
    pub misreported_use: Option<u32>,
    /// Whether its health checks do not report that it is draining.
    pub hides_drain: bool,
    pub running: BTreeSet<usize>,
    /// Time at which the first source reported that it is leaving.
    pub leaving_since: Option<Micros>,
}

/// How an execution ends.
#[derive(Debug)]
enum RunEnd {
    Done,
    Broken,
    Cancelled,
}

/// Scheduled step of the simulation. Numbers are a daemon and its boot number, or indices of runs and requests.
#[derive(Debug)]
enum Action {
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
    RunEnd(usize, RunEnd),
    /// The connection of an execution is closed because its daemon has ended.
    Closed(usize),
    Send(usize),
    Fault(faults::Fault, bool),
    Sample,
}

/// State of the simulated fleet and the queue of scheduled actions.
pub struct Simulation {
    pub now: Micros,
    /// Scheduled actions, by time and order of scheduling.
    queue: BTreeMap<(Micros, u64), Action>,
    sequence: u64,
    pub rng: Pcg32,
    pub daemons: Vec<Daemon>,
    pub servers: Vec<Server>,
    pub ops: Vec<Op>,
    pub sends: Vec<SentRequest>,
    pub runs: Vec<Run>,
    /// Times at which requests with a fingerprint crashed a server.
    pub crashes: BTreeMap<u64, Vec<Micros>>,
    pub entries: BTreeMap<Box<str>, Entry>,
    /// Earlier state of the entries, returned by stale reads.
    stale_entries: Option<(Revision, BTreeMap<Box<str>, Entry>)>,
    values: BTreeMap<(Box<str>, Revision), ConfigValue>,
    pub revision: Revision,
    claims: BTreeMap<Box<str>, Issuer>,
    pub store_down: bool,
    pub store_loses_responses: bool,
    pub store_stale: bool,
    /// Number of active cuts by pair of domains; domain [`STORE`] is the key-value service.
    pub cuts: BTreeMap<(usize, usize), u32>,
    pub loss_percent: u32,
    pub polls_stopped: bool,
    pub leaving_vms: BTreeSet<Backend>,
    pub checks: checks::Checks,
    pub steps: u64,
    next_request: u64,
}

/// Domain number of the key-value service in [`Simulation::cuts`].
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
    /// Creates a fleet and runs it for 15 s, after which it has its configuration and the ledgers are in use.
    pub fn new(seed: u64, nodes: usize) -> Self {
        let mut sim = Self::starting(seed, nodes);
        sim.run_until(15 * SEC);
        sim
    }

    /// Creates a fleet whose daemons start at time 0.
    pub fn starting(seed: u64, nodes: usize) -> Self {
        let mut sim = Self::empty(seed, nodes);
        for node in 0..nodes {
            sim.start(node);
        }
        sim.schedule_after(0, Action::Sample);
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

    /// Writes a key of the key-value service, or deletes it if `value` is `None`. Returns false if the service is down.
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

    /// Saves the current entries as those that stale reads return.
    pub fn save_stale_entries(&mut self) {
        self.stale_entries = Some((self.revision, self.entries.clone()));
    }

    fn schedule_after(&mut self, delay: Micros, action: Action) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), action);
    }

    pub fn fault_at(&mut self, at: Micros, fault: faults::Fault, begins: bool) {
        let delay = at.saturating_sub(self.now);
        self.schedule_after(delay, Action::Fault(fault, begins));
    }

    /// Performs all actions up to the time `end`.
    pub fn run_until(&mut self, end: Micros) {
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), action) = entry.remove_entry();
            self.now = at;
            self.steps += 1;
            self.perform(action);
        }
        self.now = end;
    }

    /// Time of the drifting clock of a daemon.
    pub fn clock(&self, node: usize) -> Timestamp {
        let daemon = &self.daemons[node];
        let drift = i64::try_from(self.now).unwrap() * daemon.drift_ppm / 1_000_000;
        Timestamp((self.now + daemon.offset).saturating_add_signed(drift))
    }

    /// Starts a daemon without state. Does nothing if it is running.
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
        for action in [
            Action::Bootstrap(node, boot),
            Action::Tick(node, boot),
            Action::Poll(node, boot, 0),
            Action::Watch(node, boot),
        ] {
            let jitter = self.rng.random_range(0..10 * MS);
            self.schedule_after(jitter, action);
        }
    }

    /// Ends a daemon at once and closes its connections.
    pub fn kill(&mut self, node: usize) {
        let daemon = &mut self.daemons[node];
        daemon.node = None;
        daemon.paused = false;
        daemon.mailbox.clear();
        for (_, call) in std::mem::take(&mut daemon.calls) {
            match call.origin {
                None => self.sends[call.send].answer = Some((self.now, Answer::ConnectionFailed)),
                Some(origin) => self.report_no_answer(node, origin),
            }
        }
        let running = self.runs.iter().enumerate().filter(|(_, r)| r.node == node && r.end.is_none());
        for run in running.map(|(i, _)| i).collect::<Vec<_>>() {
            self.schedule_after(40 * MS, Action::Closed(run));
        }
    }

    /// Requests a planned stop of a daemon.
    pub fn stop(&mut self, node: usize) {
        self.daemons[node].stop_at = Some(self.now);
        self.deliver_event(node, Event::Stop);
    }

    /// Continues a paused daemon, which then handles the events received during the pause.
    pub fn resume(&mut self, node: usize) {
        self.daemons[node].paused = false;
        for event in std::mem::take(&mut self.daemons[node].mailbox) {
            self.deliver_event(node, event);
        }
    }

    pub fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains_key(&(a.min(b), a.max(b)))
    }

    fn store_reachable(&self, node: usize) -> bool {
        !self.store_down && !self.is_cut(domain_of(node), STORE)
    }

    fn network_delay(a: usize, b: usize) -> Micros {
        if region_of(a) == region_of(b) { MS } else { 12 * MS }
    }

    pub fn is_running(&self, node: usize, boot: u64) -> bool {
        self.daemons[node].node.is_some() && self.daemons[node].boot == boot
    }

    /// Whether daemons `a` and `b` can currently exchange messages.
    fn connected(&self, a: usize, b: usize) -> bool {
        !self.is_cut(domain_of(a), domain_of(b))
    }

    fn deliver_event(&mut self, node: usize, event: Event) {
        let now = self.clock(node);
        let daemon = &mut self.daemons[node];
        let Some(logic) = &mut daemon.node else {
            return;
        };
        if daemon.paused {
            // Timer ticks do not accumulate while the process is stopped.
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
            self.apply_effect(node, effect);
        }
    }

    fn apply_effect(&mut self, node: usize, effect: Effect) {
        let boot = self.daemons[node].boot;
        match effect {
            Effect::Dispatch(dispatch) => self.dispatch(node, boot, dispatch),
            Effect::Deliver { request } => {
                let answer = self.daemons[node].calls.get_mut(&request).and_then(|c| c.answer.take());
                self.finish_request(node, request, answer.unwrap_or(Answer::ConnectionFailed));
            }
            Effect::Refuse { request, refusal } => {
                self.finish_request(node, request, Answer::Refused(refusal))
            }
            Effect::Replay { request, answer } => {
                let body = answer.body.try_into().map_or(0, u64::from_le_bytes);
                self.finish_request(node, request, Answer::Ran(body));
            }
            Effect::Forward { request, to, budget, evidence } => {
                let Some(call) = self.daemons[node].calls.get_mut(&request) else {
                    return;
                };
                call.step += 1;
                let (send, step) = (call.send, call.step);
                let (at, budget) = (to.0 as usize, u64::try_from(budget.as_micros()).unwrap());
                let origin = (node, boot, request, step);
                self.schedule_after(
                    Self::network_delay(node, at),
                    Action::Forward { at, send, origin, budget, evidence },
                );
                let event = Event::ForwardEnded { request, end: ForwardResult::NoAnswer };
                self.schedule_after(budget, Action::StepEnded(node, boot, request, step, event, None));
            }
            Effect::Claim { request, customer, key, issuer } => {
                let Some(call) = self.daemons[node].calls.get_mut(&request) else {
                    return;
                };
                call.step += 1;
                let step = call.step;
                let name = format!("claim/{customer}/{key}").into();
                let delay = Self::network_delay(node, 0);
                self.schedule_after(delay, Action::Claim { by: node, boot, request, step, name, issuer });
            }
            Effect::Send { to, message } => self.send_datagram(node, boot, to.0 as usize, message),
            Effect::FetchConfig { from } => {
                let summary = self.daemons[node].node.as_ref().unwrap().config_summary();
                let at = from.0 as usize;
                self.schedule_after(
                    Self::network_delay(node, at),
                    Action::Fetch { at, by: node, boot, summary },
                );
            }
            Effect::Handover { to, parts } => {
                let at = to.0 as usize;
                self.schedule_after(
                    Self::network_delay(node, at),
                    Action::Handover { at, by: node, boot, parts },
                );
            }
            Effect::AcceptHandover => self.daemons[node].accepted_handover = true,
            // The VM list never changes in a simulation, so no fleet change is proposed.
            Effect::ProposeFleet { .. } => panic!("unexpected fleet change"),
            Effect::Watch(watch) => self.daemons[node].watching = watch,
            Effect::Notice(_) => {}
            Effect::Exit => {
                if !self.daemons[node].calls.is_empty() {
                    self.checks.add_violation(
                        self.now,
                        "P7",
                        format!("daemon {node} exits with pending requests"),
                    );
                }
                self.daemons[node].exited_at = Some(self.now);
                self.kill(node);
            }
        }
    }

    /// Sends a datagram, which may be lost, delayed, reordered or duplicated.
    fn send_datagram(&mut self, node: usize, boot: u64, to: usize, message: PeerMessage) {
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
            self.schedule_after(
                Self::network_delay(node, to) + jitter,
                Action::Message(to, from, message.clone()),
            );
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
        self.schedule_after(Self::network_delay(node, server), Action::Arrive(run));
        let event = attempt_ended(request, AttemptEnd::TimedOut, None);
        self.schedule_after(budget, Action::StepEnded(node, boot, request, step, event, None));
    }

    fn finish_request(&mut self, node: usize, request: RequestId, answer: Answer) {
        let Some(call) = self.daemons[node].calls.remove(&request) else {
            return;
        };
        let Some((to, boot, request, step)) = call.origin else {
            self.sends[call.send].answer = Some((self.now, answer));
            return;
        };
        if self.connected(node, to) {
            let event = Event::ForwardEnded { request, end: ForwardResult::Answered };
            let ended = Action::StepEnded(to, boot, request, step, event, Some(answer));
            self.schedule_after(Self::network_delay(node, to), ended);
        }
    }

    /// Tells the daemon that forwarded a request that no answer will arrive.
    fn report_no_answer(&mut self, at: usize, (to, boot, request, step): (usize, u64, RequestId, u32)) {
        let event = Event::ForwardEnded { request, end: ForwardResult::NoAnswer };
        self.schedule_after(
            Self::network_delay(at, to),
            Action::StepEnded(to, boot, request, step, event, None),
        );
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Tick(node, boot) if self.is_running(node, boot) => {
                self.deliver_event(node, Event::Tick);
                self.schedule_after(10 * MS, Action::Tick(node, boot));
            }
            Action::Poll(node, boot, count) if self.is_running(node, boot) => {
                self.poll(node, boot, count);
                self.schedule_after(300 * MS, Action::Poll(node, boot, count + 1));
            }
            Action::Watch(node, boot) if self.is_running(node, boot) => {
                if self.daemons[node].watching && !self.daemons[node].paused && self.store_reachable(node) {
                    self.list_store(node);
                }
                self.schedule_after(100 * MS, Action::Watch(node, boot));
            }
            Action::Bootstrap(node, boot) if self.is_running(node, boot) => self.bootstrap(node, boot),
            Action::Event(node, boot, event) if self.is_running(node, boot) => {
                self.deliver_event(node, event)
            }
            Action::StepEnded(node, boot, request, step, event, answer) if self.is_running(node, boot) => {
                let Some(call) = self.daemons[node].calls.get_mut(&request).filter(|c| c.step == step) else {
                    return;
                };
                call.step += 1;
                call.answer = answer;
                self.deliver_event(node, event);
            }
            Action::Message(to, from, message) if self.connected(to, from.node.0 as usize) => {
                self.deliver_event(to, Event::Message { from, message });
            }
            Action::Fetch { at, by, boot, summary } => {
                let Some(peer) = self.daemons[at].node.as_ref() else {
                    return;
                };
                if self.connected(at, by) && !self.daemons[at].paused {
                    let entries = peer.config_entries_newer_than(&summary);
                    let event =
                        Event::Config { entries: self.with_values(entries), source: ConfigSource::Peer };
                    self.schedule_after(Self::network_delay(at, by), Action::Event(by, boot, event));
                }
            }
            Action::Handover { at, by, boot, parts } => {
                if !self.connected(at, by) || self.daemons[at].paused {
                    return;
                }
                for table in parts {
                    self.daemons[at].accepted_handover = false;
                    self.deliver_event(at, Event::HandoverReceived { table });
                    if !self.daemons[at].accepted_handover {
                        return;
                    }
                }
                // The acknowledgement uses the same link.
                let event = Event::HandoverAcknowledged { successor: self.daemons[at].member.node };
                self.schedule_after(Self::network_delay(at, by), Action::Event(by, boot, event));
            }
            Action::Forward { at, send, origin, budget, evidence } => {
                if !self.connected(at, origin.0) {
                    return;
                }
                if self.daemons[at].node.is_none() {
                    return self.report_no_answer(at, origin);
                }
                self.receive_request(at, send, Some(origin), budget, evidence);
            }
            Action::Claim { by, boot, request, step, name, issuer } => {
                self.resolve_claim(by, boot, request, step, name, issuer)
            }
            Action::Arrive(run) => self.arrive_at_server(run),
            Action::RunEnd(run, end) => self.end_run(run, end),
            Action::Closed(run) => {
                let Run { node, server, .. } = self.runs[run];
                match self.is_cut(domain_of(node), domain_of(server)) {
                    true => self.schedule_after(100 * MS, Action::Closed(run)),
                    false => self.end_run(run, RunEnd::Cancelled),
                }
            }
            Action::Send(send) => {
                let node = self.sends[send].node;
                if self.daemons[node].node.is_none() {
                    self.sends[send].answer = Some((self.now, Answer::ConnectionFailed));
                } else {
                    self.receive_request(node, send, None, 2 * SEC, None);
                }
            }
            Action::Fault(fault, begins) => self.apply_fault(fault, begins),
            Action::Sample => {
                self.sample();
                self.schedule_after(50 * MS, Action::Sample);
            }
            // The action was scheduled for an incarnation that has ended, or the link is cut.
            _ => {}
        }
    }

    fn receive_request(
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
        self.deliver_event(node, Event::Request(req));
    }

    /// Schedules a request of a caller to an entry daemon and returns its index.
    pub fn send_at(&mut self, at: Micros, node: usize, op: usize) -> usize {
        self.sends.push(SentRequest { op, node, at, answer: None });
        let send = self.sends.len() - 1;
        self.schedule_after(at.saturating_sub(self.now), Action::Send(send));
        send
    }

    /// Adds an operation with the execution time `run` and returns its index.
    pub fn add_op(&mut self, rank: Rank, idempotency: Idempotency, run: Micros) -> usize {
        let fingerprint = 1_000 + self.ops.len() as u64;
        self.ops.push(Op { rank, idempotency, fingerprint, crashes: false, run });
        self.ops.len() - 1
    }

    /// Creates a token as a lookup at the daemon would currently return it.
    pub fn token(&self, node: usize, suffix: usize) -> Idempotency {
        let issued = Minute(29_000_000 + u32::try_from(self.now / (60 * SEC)).unwrap());
        let owner = Incarnation { node: NodeId(node as u32), boot: Boot(self.daemons[node].boot) };
        Idempotency::Token(Token { owner, issued, suffix: format!("t{suffix}").into() })
    }

    pub fn key(&self, suffix: usize) -> Idempotency {
        Idempotency::Key(format!("k{suffix}").parse::<CallerKey>().unwrap())
    }

    /// Adds the parsed values to entries.
    fn with_values(&self, entries: Vec<Entry>) -> Vec<ParsedEntry> {
        let value = |e: &Entry| self.values.get(&(e.key.clone(), e.revision)).cloned();
        entries.into_iter().map(|e| ParsedEntry { value: value(&e), entry: e }).collect()
    }

    /// Lists all keys for a daemon. A key that the daemon knows is treated as deleted if it is older than the listing
    /// and missing from it.
    fn list_store(&mut self, node: usize) {
        let stale = self.stale_entries.clone().filter(|_| self.store_stale && self.rng.random());
        let (revision, listed) = stale.unwrap_or_else(|| (self.revision, self.entries.clone()));
        let mut entries = listed.values().filter(|e| e.value.is_some()).cloned().collect::<Vec<_>>();
        // A watch reports nothing if the revision has not changed.
        if self.daemons[node].listed.replace(revision) == Some(revision) {
            return;
        }
        let logic = self.daemons[node].node.as_ref().unwrap();
        for key in logic.config_keys_before(revision) {
            if listed.get(&key).is_none_or(|e| e.value.is_none()) {
                entries.push(Entry { key, revision, value: None });
            }
        }
        let event = Event::Config { entries: self.with_values(entries), source: ConfigSource::Store };
        let boot = self.daemons[node].boot;
        self.schedule_after(Self::network_delay(node, 0), Action::Event(node, boot, event));
    }

    /// Fetches the configuration from another daemon or, if none has one, from the key-value service. Repeats until the
    /// daemon has a configuration.
    fn bootstrap(&mut self, node: usize, boot: u64) {
        if !self.daemons[node].node.as_ref().unwrap().config_summary().is_empty() {
            return;
        }
        let has_config = |d: &Daemon| d.node.as_ref().is_some_and(|n| !n.config_summary().is_empty());
        let peers = (0..self.daemons.len()).filter(|p| *p != node && self.connected(node, *p));
        let peer = peers.into_iter().find(|p| !self.daemons[*p].paused && has_config(&self.daemons[*p]));
        match peer {
            Some(at) => {
                let delay = Self::network_delay(node, at);
                self.schedule_after(delay, Action::Fetch { at, by: node, boot, summary: Vec::new() });
            }
            None if self.store_reachable(node) => self.list_store(node),
            None => {}
        }
        self.schedule_after(200 * MS, Action::Bootstrap(node, boot));
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
            self.schedule_after(2 * Self::network_delay(node, index), Action::Event(node, boot, event));
        }
        if count.is_multiple_of(3) {
            let nodes = self.daemons.iter().map(|d| d.member.node).collect();
            let event = Event::Vms(PlatformVms { nodes, leaving: self.leaving_vms.clone() });
            self.schedule_after(2 * MS, Action::Event(node, boot, event));
        }
    }

    fn resolve_claim(
        &mut self,
        by: usize,
        boot: u64,
        request: RequestId,
        step: u32,
        name: Box<str>,
        issuer: Issuer,
    ) {
        let mut end = ClaimResult::Unavailable;
        let mut delay = SEC;
        if self.store_reachable(by) {
            let owner = *self.claims.entry(name).or_insert(issuer);
            delay = Self::network_delay(by, 0);
            // After a lost response the daemon reads the key back. That response may be lost as well.
            let is_lost = self.store_loses_responses && self.rng.random();
            if !is_lost || self.rng.random() {
                end = ClaimResult::Owned(owner);
            }
        }
        let event = Event::ClaimEnded { request, end };
        self.schedule_after(delay, Action::StepEnded(by, boot, request, step, event, None));
    }

    fn arrive_at_server(&mut self, run: usize) {
        let Run { node, server, budget, send, sent_at, .. } = self.runs[run];
        let delay = Self::network_delay(node, server);
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
        // The daemon ended before it sent the request.
        if !self.is_running(node, self.runs[run].boot) {
            return;
        }
        let op = &self.ops[self.sends[send].op];
        let (duration, end) = match (op.crashes, server.breaks_connections) {
            (false, false) => (op.run, RunEnd::Done),
            _ => (op.run / 2, RunEnd::Broken),
        };
        // The server cancels the execution at the deadline of the request.
        let left = budget.saturating_sub(self.now - sent_at) + delay;
        let (duration, end) = if left < duration { (left, RunEnd::Cancelled) } else { (duration, end) };
        self.runs[run].start = Some(self.now);
        self.start_run(run);
        self.schedule_after(duration, Action::RunEnd(run, end));
    }

    fn end_run(&mut self, run: usize, end: RunEnd) {
        let Run { node, server, send, start, end: ended, .. } = self.runs[run];
        if ended.is_some() || start.is_none() {
            return;
        }
        let delay = Self::network_delay(node, server);
        let op = self.ops[self.sends[send].op].clone();
        if matches!(end, RunEnd::Broken) && op.crashes && self.servers[server].up {
            self.crashes.entry(op.fingerprint).or_default().push(self.now);
            self.crash(server, 300 * MS);
            return;
        }
        self.runs[run].end = Some(self.now);
        self.servers[server].running.remove(&run);
        match end {
            RunEnd::Done => {
                self.end_attempt(run, delay, AttemptEnd::Ran { latency: Duration::from_micros(op.run) })
            }
            RunEnd::Broken => self.end_attempt(run, delay, AttemptEnd::Broken),
            RunEnd::Cancelled => {}
        }
    }

    /// Crashes a backend server, which ends all its executions, and restarts it after `down`.
    pub fn crash(&mut self, server: usize, down: Micros) {
        self.servers[server].up = false;
        self.servers[server].boot += 1;
        for run in std::mem::take(&mut self.servers[server].running) {
            self.runs[run].end = Some(self.now);
            self.end_attempt(run, Self::network_delay(self.runs[run].node, server), AttemptEnd::Broken);
        }
        self.fault_at(self.now + down, faults::Fault::ServerDown(server), false);
    }

    fn end_attempt(&mut self, run: usize, delay: Micros, end: AttemptEnd) {
        let Run { node, boot, request, step, server, send, .. } = self.runs[run];
        // Over a cut link no response arrives, and the attempt ends when its budget is used up.
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
        self.schedule_after(delay, Action::StepEnded(node, boot, request, step, event, answer));
    }
}

fn attempt_ended(request: RequestId, end: AttemptEnd, answer: Option<RecordedAnswer>) -> Event {
    let head_received = answer.is_some() || matches!(end, AttemptEnd::Ran { .. } | AttemptEnd::Shed);
    Event::AttemptEnded { request, end, head_received, response_bytes: 100, answer }
}
