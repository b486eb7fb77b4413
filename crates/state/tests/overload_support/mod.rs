//! A simulation of clients, daemons and backend servers under overload, in virtual time with a fixed seed.
//!
//! Servers have slots, a queue of limited length and objects that they keep warm. Each daemon sees only its own requests
//! and the load reports in their responses.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use medlarstair_state::id::Backend;
use medlarstair_state::steering::affinity::ObjectId;
use medlarstair_state::steering::departures::EntryVersion;
use medlarstair_state::steering::engine::DaemonCounts;
use medlarstair_state::steering::plan::{Destination, PlanVersion, Priority, RetrySafety};
use medlarstair_state::steering::poison::Fingerprint;
use medlarstair_state::steering::retries::RetryLimits;
use medlarstair_state::steering::{
    BackendEntry, Call, ClientLimits, Decision, LoadReport, Plan, QueueTicket, Route, SelectedBackend,
    SendOutcome, ServiceSpec, Steering, SteeringConfig,
};
use medlarstair_state::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const REGIONS: [&str; 3] = ["near", "far", "farther"];
const DAEMONS_PER_REGION: usize = 2;
/// Ratio of the work on a warm object to that on a cold one.
const WARM_WORK_RATIO: f64 = 0.3;
/// Ratio of the work to that on cold objects at which a load of 1 needs all slots: half of the requests find their
/// object warm.
const NOMINAL_WORK_RATIO: f64 = 0.65;
/// Fraction by which the load of a region oscillates, and the period in seconds.
const OSCILLATION: (f64, f64) = (0.55, 36.0);
/// Interval between two calls of `Steering::tick`, in milliseconds.
const TICK_MS: u64 = 100;

/// A request type with its value on time and late. Times are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    pub rate: f64,
    pub work: f64,
    pub objective: u64,
    pub deadline: u64,
    pub timeout: Option<u64>,
    pub value: (f64, f64),
    pub priority: u8,
}

/// One service: its request types and its servers.
#[derive(Debug, Clone)]
pub struct Load {
    pub kinds: Vec<Kind>,
    /// Servers by region.
    pub servers: [usize; 3],
    pub slots: usize,
    pub queue: usize,
    pub warm_objects: usize,
    /// Demand for slots relative to all slots.
    pub factor: f64,
    /// Factor on the rate of the first request type in every other period of 6 s.
    pub burst: f64,
    /// Factor by which clients return sooner than `Retry-After` says.
    pub impatience: f64,
    /// Fraction of the clients that disconnect when their latency objective has passed.
    pub leaving: f64,
}

/// What became of the requests of one type. Times are in milliseconds.
#[derive(Debug, Default, Clone, Copy)]
pub struct Tally {
    pub arrived: f64,
    pub on_time: f64,
    pub late: f64,
    pub value: f64,
    /// Refused attempts, and those that were held longer than an eighth of their objective.
    pub refused: f64,
    pub held: f64,
}

/// A request of a client over all of its attempts.
#[derive(Debug, Clone, Copy)]
struct Demand {
    kind: usize,
    region: usize,
    object: u64,
    born: u64,
    leaves: u64,
}

struct Job {
    daemon: usize,
    demand: Demand,
    call: Call,
    selected: SelectedBackend,
    sent: u64,
}

#[derive(Default)]
struct Server {
    running: Vec<(u64, Job)>,
    waiting: VecDeque<Job>,
    warm: VecDeque<u64>,
}

pub struct Simulation {
    load: Load,
    rng: Pcg64Mcg,
    daemons: Vec<Steering>,
    queued: Vec<BTreeMap<QueueTicket, (Demand, Call)>>,
    servers: BTreeMap<Backend, Server>,
    returning: BTreeMap<u64, Vec<Demand>>,
    routes: Vec<Rc<Route>>,
    pub tallies: Vec<Tally>,
}

fn route(kind: &Kind) -> Route {
    Route {
        name: kind.name.into(),
        host: "a.example".into(),
        prefix: format!("/{}/", kind.name).into(),
        retry_safety: RetrySafety::AtMostOnce,
        priority: Priority(kind.priority),
        latency_objective: Duration::from_millis(kind.objective),
        timeout: kind.timeout.map(Duration::from_millis),
        max_attempts: 2,
        affinity: true,
        large_responses: false,
        public: false,
        home_regions: Vec::new(),
        destinations: vec![Destination { service: "desk".parse().unwrap(), weight: 1 }],
    }
}

fn service() -> ServiceSpec {
    ServiceSpec {
        name: "desk".parse().unwrap(),
        health_path: "/health".into(),
        max_connections: 1_320,
        cold_duration: Duration::from_secs(3),
        cold_rate: 2.8,
    }
}

impl Simulation {
    pub fn new(load: Load, seed: u64) -> Self {
        let routes: Vec<Route> = load.kinds.iter().map(route).collect();
        let mut servers = BTreeMap::new();
        let mut entries = Vec::new();
        for (region, count) in REGIONS.iter().zip(load.servers) {
            for n in 0..count {
                let id: Backend = format!("{region}-{n}").parse().unwrap();
                servers.insert(id.clone(), Server::default());
                entries.push(BackendEntry {
                    id,
                    service: "desk".parse().unwrap(),
                    address: format!("192.0.2.1:{}", 1_000 + entries.len()).parse().unwrap(),
                    domain: format!("{region}-{}", n % 2).parse().unwrap(),
                    region: region.parse().unwrap(),
                    slots: load.slots as u32,
                    draining: false,
                    cold_left: Duration::ZERO,
                    version: EntryVersion { started_at_ms: Some(1), sequence: Some(1) },
                });
            }
        }
        let daemons = REGIONS.len() * DAEMONS_PER_REGION;
        let make = |n: usize| {
            let region = REGIONS[n % REGIONS.len()];
            let mut steering = Steering::new(SteeringConfig {
                region: region.parse().unwrap(),
                domain: format!("{region}-{}", n / REGIONS.len()).parse().unwrap(),
                max_shift: 0.15,
                retries: RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 166.0 },
                cold_overrun: 1.5,
                cold_slack: 8.0,
                round_trips: Default::default(),
            });
            let limits = ClientLimits::default();
            steering.apply_plan(Plan::new(PlanVersion(1), limits, routes.clone(), vec![service()]).unwrap());
            let counts = DaemonCounts { total: daemons, sharing_load: DAEMONS_PER_REGION };
            steering.set_daemons(Timestamp::ZERO, counts);
            for entry in &entries {
                steering.apply_server(entry.clone(), Timestamp::ZERO);
            }
            steering
        };
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            daemons: (0..daemons).map(make).collect(),
            queued: (0..daemons).map(|_| BTreeMap::new()).collect(),
            servers,
            returning: BTreeMap::new(),
            routes: routes.into_iter().map(Rc::new).collect(),
            tallies: vec![Tally::default(); load.kinds.len()],
            load,
        }
    }

    /// Runs from the start of all daemons for `seconds`.
    pub fn run(&mut self, seconds: u64) {
        let slots = (self.load.servers.iter().sum::<usize>() * self.load.slots) as f64;
        let work: f64 = self.load.kinds.iter().map(|k| k.rate * k.work / 1_000.0).sum();
        let scale = self.load.factor * slots / (work * NOMINAL_WORK_RATIO);
        // Twice as many as all servers keep warm, some of them requested more often than others.
        let objects = (2 * self.servers.len() * self.load.warm_objects / self.load.kinds.len()) as f64;
        for ms in 0..seconds * 1_000 {
            for demand in self.returning.remove(&ms).unwrap_or_default() {
                self.arrive(ms, demand);
            }
            for region in 0..REGIONS.len() {
                let phase = ms as f64 / 1_000.0 / OSCILLATION.1 + region as f64 / REGIONS.len() as f64;
                let swing = 1.0 + OSCILLATION.0 * (phase * std::f64::consts::TAU).sin();
                for kind in 0..self.load.kinds.len() {
                    let is_burst = kind == 0 && ms / 6_000 % 2 == 1;
                    let burst = if is_burst { self.load.burst } else { 1.0 };
                    let rate = self.load.kinds[kind].rate * scale * swing * burst / REGIONS.len() as f64;
                    if self.rng.random::<f64>() < rate / 1_000.0 {
                        let object = (self.rng.random::<f64>().powi(2) * objects) as u64;
                        let is_leaving = self.rng.random::<f64>() < self.load.leaving;
                        let objective = self.load.kinds[kind].objective;
                        let leaves = if is_leaving { ms + objective } else { u64::MAX };
                        self.tallies[kind].arrived += 1.0;
                        self.arrive(ms, Demand { kind, region, object, born: ms, leaves });
                    }
                }
            }
            self.complete(ms);
            self.leave(ms);
            for daemon in 0..self.daemons.len() {
                if (ms + 17 * daemon as u64).is_multiple_of(TICK_MS) {
                    self.daemons[daemon].tick(Timestamp::from_millis(ms));
                    self.poll(ms, daemon);
                }
            }
        }
    }

    fn arrive(&mut self, ms: u64, demand: Demand) {
        if ms >= demand.leaves {
            return;
        }
        let now = Timestamp::from_millis(ms);
        let daemon = demand.region + REGIONS.len() * self.rng.random_range(0..DAEMONS_PER_REGION);
        let left = (demand.born + self.load.kinds[demand.kind].deadline).saturating_sub(ms);
        let route = Rc::clone(&self.routes[demand.kind]);
        let object = ObjectId(demand.object).for_route(&route.name);
        let fingerprint = Fingerprint(demand.born << 20 ^ demand.object);
        let client_timeout = Some(Duration::from_millis(left));
        let started = self.daemons[daemon].start_request(now, &route, object, fingerprint, client_timeout);
        self.decide(ms, daemon, demand, started.unwrap());
    }

    fn decide(&mut self, ms: u64, daemon: usize, demand: Demand, call: Call) {
        let decision = self.daemons[daemon].decide(Timestamp::from_millis(ms), &call);
        self.follow(ms, daemon, demand, call, decision);
    }

    fn follow(&mut self, ms: u64, daemon: usize, demand: Demand, mut call: Call, decision: Decision) {
        let selected = match decision {
            Decision::Send(selected) => selected,
            Decision::Wait(ticket) => {
                self.queued[daemon].insert(ticket, (demand, call));
                return;
            }
            Decision::Refuse(refusal) => {
                let held = Timestamp::from_millis(ms).since(call.arrived_at);
                let tally = &mut self.tallies[demand.kind];
                tally.refused += 1.0;
                tally.held += f64::from(u8::from(held > call.route.latency_objective / 8));
                self.refuse(ms, demand, refusal.retry_after);
                return;
            }
        };
        let server = self.servers.get_mut(&selected.backend).unwrap();
        if server.waiting.len() < self.load.queue {
            server.waiting.push_back(Job { daemon, demand, call, selected: selected.clone(), sent: ms });
            self.start(ms, &selected.backend);
            return;
        }
        self.daemons[daemon].record_outcome(Timestamp::from_millis(ms), &call, &selected, SendOutcome::Shed);
        call.tried_backends.push(selected.backend);
        self.decide(ms, daemon, demand, call);
    }

    /// Lets a refused client return, on time or too early, while its deadline has not passed.
    fn refuse(&mut self, ms: u64, demand: Demand, retry_after: Duration) {
        let left = (demand.born + self.load.kinds[demand.kind].deadline).saturating_sub(ms);
        let wait = (retry_after.as_millis() as u64).min(left / 3) as f64 / self.load.impatience;
        if left > 20 {
            self.returning.entry(ms + (wait as u64).max(7)).or_default().push(demand);
        }
    }

    /// Starts waiting jobs on the free slots of a server.
    fn start(&mut self, ms: u64, id: &Backend) {
        let server = self.servers.get_mut(id).unwrap();
        while server.running.len() < self.load.slots {
            let Some(job) = server.waiting.pop_front() else {
                return;
            };
            let object = job.call.object.0;
            let is_warm = server.warm.contains(&object);
            server.warm.retain(|o| *o != object);
            server.warm.push_back(object);
            if server.warm.len() > self.load.warm_objects {
                server.warm.pop_front();
            }
            let ratio = if is_warm { WARM_WORK_RATIO } else { 1.0 };
            let deviation = 0.5 - 0.5 * (1.0 - self.rng.random::<f64>()).ln();
            let work = self.load.kinds[job.demand.kind].work * ratio * deviation;
            server.running.push((ms + (work as u64).max(1), job));
        }
    }

    fn complete(&mut self, ms: u64) {
        let has_ended = |server: &Server| server.running.iter().any(|(end, _)| *end <= ms);
        let ids = self.servers.iter().filter(|(_, server)| has_ended(server));
        let ids: Vec<Backend> = ids.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let server = self.servers.get_mut(&id).unwrap();
            let mut ended = Vec::new();
            while let Some(n) = server.running.iter().position(|(end, _)| *end <= ms) {
                let report = LoadReport {
                    running: server.running.len() as u32,
                    waiting: server.waiting.len() as u32,
                    slots: self.load.slots as u32,
                    slowdown: None,
                };
                ended.push((server.running.swap_remove(n).1, report));
            }
            self.start(ms, &id);
            for (job, report) in ended {
                self.answer(ms, job, report);
            }
        }
    }

    fn answer(&mut self, ms: u64, job: Job, report: LoadReport) {
        let now = Timestamp::from_millis(ms);
        if now >= job.call.deadline || ms >= job.demand.leaves {
            return; // The end of the attempt was recorded when it passed.
        }
        let steering = &mut self.daemons[job.daemon];
        steering.record_load(now, &job.selected.backend, report);
        let took = Duration::from_millis(ms - job.sent);
        steering.record_outcome(now, &job.call, &job.selected, SendOutcome::Answered { ok: true, took });
        let kind = self.load.kinds[job.demand.kind];
        let tally = &mut self.tallies[job.demand.kind];
        let latency = ms - job.demand.born;
        let is_on_time = latency <= kind.objective;
        tally.on_time += f64::from(u8::from(is_on_time));
        tally.late += f64::from(u8::from(!is_on_time));
        tally.value += if is_on_time { kind.value.0 } else { kind.value.1 };
        self.poll(ms, job.daemon);
    }

    /// Ends the attempts whose deadline passes or whose client disconnects now. Servers drop them only from their queues.
    fn leave(&mut self, ms: u64) {
        let now = Timestamp::from_millis(ms);
        for (daemon, queued) in self.queued.iter_mut().enumerate() {
            for (ticket, _) in queued.extract_if(.., |_, (d, call)| d.leaves <= ms || call.deadline <= now) {
                self.daemons[daemon].cancel_queued(&"desk".parse().unwrap(), ticket);
            }
        }
        let mut freed = Vec::new();
        for server in self.servers.values_mut() {
            let ends = |job: &Job| job.demand.leaves == ms || job.call.deadline == now;
            let jobs = server.waiting.iter().chain(server.running.iter().map(|(_, job)| job));
            for job in jobs.filter(|job| ends(job)) {
                let left = job.demand.leaves == ms;
                let outcome = if left { SendOutcome::Cancelled } else { SendOutcome::TimedOut };
                self.daemons[job.daemon].record_outcome(now, &job.call, &job.selected, outcome);
                freed.push(job.daemon);
            }
            server.waiting.retain(|job| !ends(job));
        }
        for daemon in freed {
            self.poll(ms, daemon);
        }
    }

    fn poll(&mut self, ms: u64, daemon: usize) {
        for (ticket, decision) in self.daemons[daemon].poll_queue(Timestamp::from_millis(ms)) {
            let (demand, call) = self.queued[daemon].remove(&ticket).expect("each ticket is returned once");
            self.follow(ms, daemon, demand, call, decision);
        }
    }
}
