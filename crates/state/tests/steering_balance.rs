//! Tests of the distribution of load over the servers of a region while load reports are stale.
//!
//! A simulation without a network: virtual time, fixed seeds, and daemons that each see only the reports in the responses
//! to their own requests. Servers have slots, a queue, warm objects, different speeds and a slowdown that changes many
//! times a second. Run with `--nocapture` for the figures.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use medlarstair_state::steering::affinity::ObjectId;
use medlarstair_state::steering::departures::EntryVersion;
use medlarstair_state::steering::engine::DaemonCounts;
use medlarstair_state::steering::plan::{Destination, PlanVersion, Priority, RetrySafety};
use medlarstair_state::steering::poison::Fingerprint;
use medlarstair_state::steering::retries::RetryLimits;
use medlarstair_state::steering::{
    BackendEntry, Call, ClientLimits, Decision, LoadReport, Plan, QueueTicket, Refusal, Route,
    SelectedBackend, SendOutcome, ServiceSpec, Slowdown, Steering, SteeringConfig,
};
use medlarstair_state::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const REGIONS: usize = 3;

/// Fraction of the work that remains on a warm server.
const WARM_WORK: f64 = 0.3;

/// Duration for which a server keeps one slowdown.
const SLOWDOWN_MICROS: u64 = 120_000;

/// Period of the load of a region, in seconds.
const LOAD_PERIOD: f64 = 36.0;

/// Relative amplitude of the load of a region.
const LOAD_AMPLITUDE: f64 = 0.55;

/// Start and end of the measurement. Warm objects and estimates build up before.
const MEASURED: (Timestamp, Timestamp) = (Timestamp::from_millis(6_000), Timestamp::from_millis(24_000));

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Remaining time below which a client does not retry.
const MIN_TIME_TO_RETRY: Duration = Duration::from_millis(100);

const TICK: Duration = Duration::from_millis(100);

/// One kind of request.
#[derive(Debug, Clone, Copy)]
struct Kind {
    per_second: f64,
    /// Mean work on an object that is not warm, in seconds.
    work: f64,
    objective: Duration,
    timeout: Duration,
}

/// A deployment.
#[derive(Debug, Clone, Copy)]
struct Shape {
    daemons: usize,
    servers: [usize; REGIONS],
    slots: usize,
    queue: usize,
    /// Number of objects that a server keeps warm.
    warm_objects: usize,
    kinds: [Kind; 2],
}

const fn kind(per_second: f64, work: f64, objective_ms: u64, timeout_ms: u64) -> Kind {
    let (objective, timeout) = (Duration::from_millis(objective_ms), Duration::from_millis(timeout_ms));
    Kind { per_second, work, objective, timeout }
}

const SMALL: Shape = Shape {
    daemons: 26,
    servers: [10, 40, 48],
    slots: 4,
    queue: 12,
    warm_objects: 18,
    kinds: [kind(409.0, 0.88, 500, 2_000), kind(179.0, 1.16, 800, 2_500)],
};

const MEDIUM: Shape = Shape {
    daemons: 103,
    servers: [16, 66, 78],
    slots: 6,
    queue: 18,
    warm_objects: 24,
    kinds: [kind(853.0, 0.75, 600, 1_500), kind(391.0, 0.99, 800, 2_000)],
};

/// The servers and requests of [`SMALL`], 7.7 times.
const LARGE: Shape = Shape {
    daemons: 750,
    servers: [77, 307, 369],
    kinds: [kind(3_143.0, 0.88, 500, 2_000), kind(1_375.0, 1.16, 800, 2_500)],
    ..SMALL
};

/// Results of a run.
#[derive(Debug, Default)]
struct Figures {
    /// Coefficient of variation of the servers' occupancy per slot within their region.
    variation: f64,
    /// Share of time in which a server has requests waiting while another of its region is idle.
    full_while_idle: f64,
    /// Slots that are free while requests wait at other servers of the region, as a fraction of all slots.
    wasted_slots: f64,
    /// Fraction of the requests that were answered within their objective.
    in_time: f64,
    /// Fraction of the requests that were answered.
    served: f64,
    /// Fraction of the started requests whose object was warm.
    warm: f64,
    /// Sends that a full server rejected, for each request.
    shed: f64,
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { variation, full_while_idle, wasted_slots, in_time, served, warm, shed } = self;
        write!(f, "variation {variation:.3} full-while-idle {full_while_idle:.3} wasted {wasted_slots:.4} ")?;
        write!(f, "in time {in_time:.4} served {served:.4} warm {warm:.4} shed {shed:.4}")
    }
}

/// A request of a client, which keeps its identity when the client retries.
#[derive(Debug, Clone, Copy)]
struct Request {
    kind: usize,
    region: usize,
    object: ObjectId,
    /// Work in seconds if the object is cold.
    work: f64,
    issued_at: Timestamp,
    deadline: Timestamp,
}

/// A request that a daemon sent to a server.
#[derive(Debug)]
struct Job {
    request: Request,
    daemon: usize,
    server: usize,
    call: Call,
    selected: SelectedBackend,
    sent_at: Timestamp,
}

#[derive(Debug)]
enum Event {
    Generate { region: usize, kind: usize },
    Arrive(Request),
    AtServer(Box<Job>),
    Finish(Box<Job>),
    Answer(Box<Job>, LoadReport, bool),
    Tick(usize),
    Sample,
}

#[derive(Debug)]
struct Server {
    region: usize,
    /// Ratio of its run times to the usual ones.
    pace: f64,
    running: usize,
    waiting: VecDeque<Box<Job>>,
    /// Warm objects, the least recently used one at the front.
    warm: VecDeque<ObjectId>,
}

struct Daemon {
    steering: Steering,
    region: usize,
    queued: BTreeMap<QueueTicket, (Request, Call)>,
}

struct Simulation {
    shape: Shape,
    rng: Pcg64Mcg,
    seed: u64,
    routes: Vec<Rc<Route>>,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    events: BTreeMap<(Timestamp, u64), Event>,
    scheduled: u64,
    issued: f64,
    samples: f64,
    started: f64,
    figures: Figures,
}

fn region_name(region: usize) -> String {
    format!("r{region}")
}

fn route(shape: &Shape, n: usize) -> Route {
    let kind = shape.kinds[n];
    Route {
        name: format!("k{n}").into(),
        host: "a.example".into(),
        prefix: format!("/{n}/").into(),
        retry_safety: RetrySafety::Idempotent,
        priority: Priority(n as u8),
        latency_objective: kind.objective,
        timeout: Some(kind.timeout),
        max_attempts: 2,
        affinity: true,
        large_responses: false,
        public: false,
        home_regions: Vec::new(),
        destinations: vec![Destination { service: "desk".parse().unwrap(), weight: 1 }],
    }
}

/// Region of each server.
fn server_regions(shape: &Shape) -> impl Iterator<Item = usize> {
    let servers = shape.servers;
    (0..REGIONS).flat_map(move |region| std::iter::repeat_n(region, servers[region]))
}

/// Failure domain of element `n` of a region, which has two.
fn domain_name(region: usize, n: usize) -> String {
    format!("{}-{}", region_name(region), n % 2)
}

fn steering(shape: &Shape, n: usize) -> Steering {
    let region = n % REGIONS;
    let mut steering = Steering::new(SteeringConfig {
        region: region_name(region).parse().unwrap(),
        domain: domain_name(region, n / REGIONS).parse().unwrap(),
        max_shift: 0.15,
        retries: RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 166.0 },
        cold_overrun: 1.5,
        cold_slack: 8.0,
        round_trips: Default::default(),
    });
    let service = ServiceSpec {
        name: "desk".parse().unwrap(),
        health_path: "/health".into(),
        max_connections: 1_320,
        cold_duration: Duration::from_secs(3),
        cold_rate: 2.8,
    };
    let routes = (0..shape.kinds.len()).map(|n| route(shape, n)).collect();
    let plan = Plan::new(PlanVersion(1), ClientLimits::default(), routes, vec![service]).unwrap();
    steering.apply_plan(plan);
    for (n, region) in server_regions(shape).enumerate() {
        let entry = BackendEntry {
            id: format!("s-{n}").parse().unwrap(),
            service: "desk".parse().unwrap(),
            address: format!("192.0.2.1:{}", 1_000 + n).parse().unwrap(),
            domain: domain_name(region, n).parse().unwrap(),
            region: region_name(region).parse().unwrap(),
            slots: shape.slots as u32,
            draining: false,
            cold_left: Duration::ZERO,
            version: EntryVersion { started_at_ms: Some(1), sequence: Some(1) },
        };
        steering.apply_server(entry, Timestamp::ZERO);
    }
    let counts = DaemonCounts { total: shape.daemons, sharing_load: shape.daemons.div_ceil(REGIONS) };
    steering.set_daemons(Timestamp::ZERO, counts);
    steering
}

impl Simulation {
    fn new(shape: Shape, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let servers = server_regions(&shape).enumerate().map(|(n, region)| Server {
            region,
            // One server in eight is markedly slower than the others.
            pace: if n % 8 == 3 { 1.5 } else { rng.random_range(0.8..1.2) },
            running: 0,
            waiting: VecDeque::new(),
            warm: VecDeque::new(),
        });
        let servers = servers.collect();
        let daemons = (0..shape.daemons).map(|n| Daemon {
            steering: steering(&shape, n),
            region: n % REGIONS,
            queued: BTreeMap::new(),
        });
        let mut simulation = Self {
            shape,
            seed,
            routes: (0..shape.kinds.len()).map(|n| Rc::new(route(&shape, n))).collect(),
            daemons: daemons.collect(),
            servers,
            events: BTreeMap::new(),
            scheduled: 0,
            issued: 0.0,
            samples: 0.0,
            started: 0.0,
            figures: Figures::default(),
            rng,
        };
        for n in 0..shape.daemons {
            let offset = TICK.mul_f64(n as f64 / shape.daemons as f64);
            simulation.schedule(Timestamp::ZERO + offset, Event::Tick(n));
        }
        for region in 0..REGIONS {
            for kind in 0..shape.kinds.len() {
                simulation.schedule(Timestamp::ZERO, Event::Generate { region, kind });
            }
        }
        simulation.schedule(MEASURED.0, Event::Sample);
        simulation
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    fn run(mut self) -> Figures {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now >= MEASURED.1 {
                break;
            }
            self.handle(now, event);
        }
        let mut figures = self.figures;
        for figure in [&mut figures.variation, &mut figures.full_while_idle, &mut figures.wasted_slots] {
            *figure /= self.samples;
        }
        for figure in [&mut figures.in_time, &mut figures.served, &mut figures.shed] {
            *figure /= self.issued;
        }
        figures.warm /= self.started;
        figures
    }

    fn handle(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Generate { region, kind } => self.generate(now, region, kind),
            Event::Arrive(request) => self.arrive(now, request),
            Event::AtServer(job) => self.at_server(now, job),
            Event::Finish(job) => self.finish(now, job),
            Event::Answer(job, report, ok) => self.answer(now, *job, report, ok),
            Event::Tick(n) => {
                self.daemons[n].steering.tick(now);
                self.poll(now, n);
                self.schedule(now + TICK, Event::Tick(n));
            }
            Event::Sample => {
                self.sample();
                self.schedule(now + SAMPLE_INTERVAL, Event::Sample);
            }
        }
    }

    /// Issues a request and schedules the next one of its kind.
    fn generate(&mut self, now: Timestamp, region: usize, kind: usize) {
        let spec = self.shape.kinds[kind];
        let request = Request {
            kind,
            region,
            object: self.next_object(region, kind),
            work: spec.work * self.rng.random_range(0.5..1.5),
            issued_at: now,
            deadline: now + spec.timeout,
        };
        self.arrive(now, request);
        self.issued += f64::from(now >= MEASURED.0);
        let phase = now.0 as f64 / 1e6 / LOAD_PERIOD + region as f64 / REGIONS as f64;
        let load = 1.0 + LOAD_AMPLITUDE * (phase * std::f64::consts::TAU).sin();
        let per_second = spec.per_second / REGIONS as f64 * load;
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / per_second;
        self.schedule(now + Duration::from_secs_f64(gap), Event::Generate { region, kind });
    }

    /// An object of the clients of a region. The most frequent of `n` objects has about 0.4 / n^0.4 of the requests.
    fn next_object(&mut self, region: usize, kind: usize) -> ObjectId {
        let servers: usize = self.shape.servers.iter().sum();
        // Two kinds of request and each of the regions have as many objects as the servers keep warm together.
        let objects = servers * self.shape.warm_objects / (2 * REGIONS);
        let rank = (self.rng.random_range(0.0f64..1.0).powf(2.5) * objects as f64) as u64;
        ObjectId::from_name(format!("{region}/{rank}").as_bytes()).for_route(&format!("k{kind}"))
    }

    /// The client sends a request to one of the daemons of its region.
    fn arrive(&mut self, now: Timestamp, request: Request) {
        let in_region = (self.shape.daemons - request.region).div_ceil(REGIONS);
        let n = request.region + REGIONS * self.rng.random_range(0..in_region);
        let fingerprint = Fingerprint(self.scheduled);
        let timeout = Some(request.deadline.since(now));
        let steering = &mut self.daemons[n].steering;
        let route = &self.routes[request.kind];
        let call = steering.start_request(now, route, request.object, fingerprint, timeout).unwrap();
        self.decide(now, n, request, call);
    }

    fn decide(&mut self, now: Timestamp, n: usize, request: Request, call: Call) {
        let decision = self.daemons[n].steering.decide(now, &call);
        self.apply(now, n, request, call, decision);
    }

    fn apply(&mut self, now: Timestamp, n: usize, request: Request, call: Call, decision: Decision) {
        match decision {
            Decision::Send(selected) => {
                let server = selected.backend.as_str()[2..].parse().unwrap();
                let job = Box::new(Job { request, daemon: n, server, call, selected, sent_at: now });
                self.schedule(now + self.one_way(n, server), Event::AtServer(job));
            }
            Decision::Wait(ticket) => {
                self.daemons[n].queued.insert(ticket, (request, call));
            }
            Decision::Refuse(refusal) => self.retry_later(now, request, refusal),
        }
    }

    /// A refused client retries unless the delay is too long for it.
    fn retry_later(&mut self, now: Timestamp, request: Request, refusal: Refusal) {
        let left = request.deadline.since(now);
        if left >= MIN_TIME_TO_RETRY && refusal.retry_after <= left / 3 {
            self.schedule(now + refusal.retry_after, Event::Arrive(request));
        }
    }

    fn one_way(&self, daemon: usize, server: usize) -> Duration {
        let region = self.daemons[daemon].region;
        if region != self.servers[server].region {
            return Duration::from_millis(12);
        }
        let is_same_domain = (daemon / REGIONS) % 2 == server % 2;
        Duration::from_micros(if is_same_domain { 200 } else { 900 })
    }

    fn at_server(&mut self, now: Timestamp, job: Box<Job>) {
        let n = job.server;
        if self.servers[n].waiting.len() >= self.shape.queue {
            self.figures.shed += f64::from(now >= MEASURED.0);
            self.respond(now, job, false);
            return;
        }
        self.servers[n].waiting.push_back(job);
        self.start(now, n);
    }

    /// Starts waiting requests on free slots.
    fn start(&mut self, now: Timestamp, n: usize) {
        while self.servers[n].running < self.shape.slots {
            let Some(job) = self.servers[n].waiting.pop_front() else {
                return;
            };
            let server = &mut self.servers[n];
            let object = job.request.object;
            let position = server.warm.iter().position(|o| *o == object);
            if let Some(position) = position {
                server.warm.remove(position);
            }
            server.warm.push_back(object);
            if server.warm.len() > self.shape.warm_objects {
                server.warm.pop_front();
            }
            server.running += 1;
            self.started += f64::from(now >= MEASURED.0);
            self.figures.warm += f64::from(now >= MEASURED.0 && position.is_some());
            let work = job.request.work * if position.is_some() { WARM_WORK } else { 1.0 };
            let end = self.end_of_work(now, n, work);
            self.schedule(end, Event::Finish(job));
        }
    }

    /// Time at which a server has done `work` seconds of work.
    fn end_of_work(&self, now: Timestamp, server: usize, work: f64) -> Timestamp {
        let mut at = now;
        let mut left = work * 1e6 * self.servers[server].pace;
        loop {
            let end = (at.0 / SLOWDOWN_MICROS + 1) * SLOWDOWN_MICROS;
            let slowdown = self.slowdown(at, server);
            let done = (end - at.0) as f64 / slowdown;
            if done >= left {
                return at + Duration::from_secs_f64(left * slowdown / 1e6);
            }
            left -= done;
            at = Timestamp(end);
        }
    }

    /// Slowdown of the machine of a server: one interval in five is markedly slow.
    fn slowdown(&self, at: Timestamp, server: usize) -> f64 {
        let key = self.seed ^ ((server as u64) << 32) ^ (at.0 / SLOWDOWN_MICROS);
        let hash = medlarstair_state::steering::affinity::score(key, ObjectId(key));
        let unit = (hash >> 11) as f64 / (1u64 << 53) as f64;
        if unit < 0.2 { 1.5 + unit * 7.5 } else { 0.8 + unit * 0.2 }
    }

    fn finish(&mut self, now: Timestamp, job: Box<Job>) {
        let n = job.server;
        // The report still counts the request that it answers.
        self.respond(now, job, true);
        self.servers[n].running -= 1;
        self.start(now, n);
    }

    fn respond(&mut self, now: Timestamp, job: Box<Job>, ok: bool) {
        let server = &self.servers[job.server];
        let report = LoadReport {
            running: server.running as u32,
            waiting: server.waiting.len() as u32,
            slots: self.shape.slots as u32,
            slowdown: Slowdown::from_ratio(self.slowdown(now, job.server)),
        };
        let at = now + self.one_way(job.daemon, job.server);
        self.schedule(at, Event::Answer(job, report, ok));
    }

    fn answer(&mut self, now: Timestamp, job: Job, report: LoadReport, ok: bool) {
        let Job { request, daemon, mut call, selected, sent_at, .. } = job;
        let steering = &mut self.daemons[daemon].steering;
        steering.record_load(now, &selected.backend, report);
        let outcome = match ok {
            true => SendOutcome::Answered { ok, took: now.since(sent_at) },
            false => SendOutcome::Shed,
        };
        steering.record_outcome(now, &call, &selected, outcome);
        if ok {
            let took = now.since(request.issued_at);
            let is_measured = request.issued_at >= MEASURED.0;
            self.figures.served += f64::from(is_measured && now <= request.deadline);
            self.figures.in_time +=
                f64::from(is_measured && took <= self.shape.kinds[request.kind].objective);
        } else {
            call.tried_backends.push(selected.backend);
            self.decide(now, daemon, request, call);
        }
        self.poll(now, daemon);
    }

    fn poll(&mut self, now: Timestamp, n: usize) {
        for (ticket, decision) in self.daemons[n].steering.poll_queue(now) {
            let (request, call) =
                self.daemons[n].queued.remove(&ticket).expect("each ticket is returned once");
            self.apply(now, n, request, call, decision);
        }
    }

    /// Adds the state of the servers to the figures. Regions count by their number of servers.
    fn sample(&mut self) {
        self.samples += 1.0;
        let mut full_while_idle = false;
        let mut wasted_slots = 0;
        for region in 0..REGIONS {
            let servers = || self.servers.iter().filter(|s| s.region == region);
            let loads = || servers().map(|s| (s.running + s.waiting.len()) as f64 / self.shape.slots as f64);
            let count = servers().count() as f64;
            let mean = loads().sum::<f64>() / count;
            let variance = loads().map(|load| (load - mean).powi(2)).sum::<f64>() / count;
            let weight = count / self.servers.len() as f64;
            self.figures.variation += weight * variance.sqrt() / mean.max(f64::EPSILON);
            full_while_idle |= servers().any(|s| !s.waiting.is_empty()) && servers().any(|s| s.running == 0);
            let waiting: usize = servers().map(|s| s.waiting.len()).sum();
            let free: usize = servers().map(|s| self.shape.slots - s.running).sum();
            wasted_slots += waiting.min(free);
        }
        self.figures.full_while_idle += f64::from(full_while_idle);
        self.figures.wasted_slots += wasted_slots as f64 / (self.servers.len() * self.shape.slots) as f64;
    }
}

fn figures(shape: Shape, seed: u64) -> Figures {
    let figures = Simulation::new(shape, seed).run();
    println!("{} daemons, seed {seed}: {figures}", shape.daemons);
    figures
}

/// Mean results of several seeds.
fn mean(shape: Shape, seeds: u64, figure: impl Fn(&Figures) -> f64) -> f64 {
    (1..=seeds).map(|seed| figure(&figures(shape, seed))).sum::<f64>() / seeds as f64
}

/// Guards against a placement that spreads objects over more servers, so that fewer requests are answered in time, with
/// frequent load reports and more load than the servers can serve in time.
#[test]
fn objects_stay_warm_with_26_daemons() {
    assert!(mean(SMALL, 3, |f| f.in_time) > 0.28);
}

/// Guards against less even load on the servers of a region with rare load reports.
#[test]
fn load_is_even_with_103_daemons() {
    assert!(mean(MEDIUM, 2, |f| f.variation) < 0.9);
}

/// Guards against more requests that wait while slots of their region are free, with load reports that are older than
/// the run.
#[test]
fn load_is_even_with_750_daemons() {
    assert!(figures(LARGE, 1).wasted_slots < 0.25);
}
