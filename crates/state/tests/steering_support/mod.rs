//! A simulation of backend servers that keep objects warm, and helpers for the load balancing logic.

#![allow(dead_code)]

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

/// Run time of a request for a warm object.
pub const WARM_WORK: Duration = Duration::from_millis(150);

/// Run time of a request for a cold object.
pub const COLD_WORK: Duration = Duration::from_millis(495);

/// Latency objective of the routes.
pub const OBJECTIVE: Duration = Duration::from_millis(300);

/// Number of distinct objects that clients request.
const OBJECTS: u64 = 72;

/// Number of slots of a server.
const SLOTS: usize = 3;

/// Number of requests that may be queued at a server. It refuses further ones.
const QUEUE_LENGTH: usize = 9;

/// A route to the service `desk`.
pub fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        public: false,
        retry_safety: RetrySafety::Idempotent,
        priority: Priority(1),
        latency_objective: OBJECTIVE,
        timeout: Some(Duration::from_millis(800)),
        max_attempts: 2,
        affinity: true,
        large_responses: false,
        home_regions: Vec::new(),
        destinations: vec![Destination { service: "desk".parse().unwrap(), weight: 1 }],
    }
}

pub fn service(name: &str) -> ServiceSpec {
    ServiceSpec {
        name: name.parse().unwrap(),
        health_path: "/health".into(),
        max_connections: 360,
        cold_duration: Duration::from_secs(3),
        cold_rate: 3.5,
    }
}

/// A configuration with these routes and the service `desk`.
pub fn plan_with_routes(version: u64, routes: Vec<Route>) -> Plan {
    Plan::new(PlanVersion(version), ClientLimits::default(), routes, vec![service("desk")]).unwrap()
}

/// Entry of server number `n`, in a region.
pub fn entry(n: usize, region: &str) -> BackendEntry {
    BackendEntry {
        id: format!("s-{n}").parse().unwrap(),
        service: "desk".parse().unwrap(),
        address: format!("192.0.2.1:{}", 1_000 + n).parse().unwrap(),
        domain: format!("{region}-a").parse().unwrap(),
        region: region.parse().unwrap(),
        slots: SLOTS as u32,
        draining: false,
        cold_left: Duration::ZERO,
        version: EntryVersion { started_at_ms: Some(1), sequence: Some(1) },
    }
}

/// A daemon in the region `near` with one server for each element of `regions`.
pub fn steering_with_servers(regions: &[&str]) -> Steering {
    let mut steering = Steering::new(SteeringConfig {
        region: "near".parse().unwrap(),
        domain: "near-a".parse().unwrap(),
        max_shift: 0.15,
        retries: RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 60.0 },
        cold_overrun: 1.5,
        cold_slack: 5.0,
        round_trips: Default::default(),
    });
    for (n, region) in regions.iter().enumerate() {
        steering.apply_server(entry(n, region), Timestamp::ZERO);
    }
    steering
}

fn call_of(steering: &mut Steering, now: Timestamp, path: &str, object: u64) -> Call {
    let route = Rc::new(steering.plan().unwrap().route("a.example", path).unwrap().clone());
    let client_timeout = Some(Duration::from_millis(2_500));
    let fingerprint = Fingerprint(now.0 ^ object);
    steering.start_request(now, &route, ObjectId(object), fingerprint, client_timeout).unwrap()
}

/// Starts a request for an object and returns the decision about it.
pub fn place(steering: &mut Steering, now: Timestamp, path: &str, object: u64) -> (Call, Decision) {
    let call = call_of(steering, now, path, object);
    let decision = steering.decide(now, &call);
    (call, decision)
}

/// The server to which a request was sent. Panics if it was not sent.
pub fn sent((_, decision): (Call, Decision)) -> SelectedBackend {
    match decision {
        Decision::Send(selected) => selected,
        decision => panic!("not sent: {decision:?}"),
    }
}

/// Records a successful response after 10 ms.
pub fn finish(steering: &mut Steering, now: Timestamp, path: &str, object: u64, selected: &SelectedBackend) {
    finish_after(steering, now, path, object, selected, Duration::from_millis(10));
}

/// Records a successful response after the time `took`.
pub fn finish_after(
    steering: &mut Steering,
    now: Timestamp,
    path: &str,
    object: u64,
    selected: &SelectedBackend,
    took: Duration,
) {
    let call = call_of(steering, now, path, object);
    steering.record_outcome(now + took, &call, selected, SendOutcome::Answered { ok: true, took });
}

/// Results of a run of a [`Fleet`].
#[derive(Debug, Default)]
pub struct Run {
    /// Fraction of the started requests whose object was warm, in the second half of the run.
    pub warm_share_second_half: f64,
    /// The same in the first half of the run.
    pub warm_share_first_half: f64,
    /// Fraction of the requests that were answered within the objective, in the second half of the run.
    pub in_time_share_second_half: f64,
    /// Requests per second that were answered within the objective, in the second half of the run.
    pub goodput_second_half: f64,
    /// Fraction of the requests that were refused, in the second half of the run.
    pub refused_share_second_half: f64,
    /// Fraction of the sends to the region of the clients, for each second.
    pub near_share_by_second: Vec<f64>,
}

/// A request that was sent to a server.
struct Job {
    daemon: usize,
    call: Call,
    selected: SelectedBackend,
    sent: Timestamp,
}

/// A simulated server.
struct Server {
    region: String,
    running: Vec<(Timestamp, Job)>,
    waiting: VecDeque<Job>,
    /// Warm objects, the least recently used one at the front.
    warm: VecDeque<ObjectId>,
    max_warm_objects: usize,
}

impl Server {
    /// Starts queued jobs on free slots. Returns the numbers of jobs with a warm and with a cold object.
    fn start(&mut self, now: Timestamp) -> (usize, usize) {
        let (mut warm, mut cold) = (0, 0);
        while self.running.len() < SLOTS {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            let object = job.call.object;
            let is_warm = self.warm.contains(&object);
            self.warm.retain(|o| *o != object);
            self.warm.push_back(object);
            if self.warm.len() > self.max_warm_objects {
                self.warm.pop_front();
            }
            let work = if is_warm { WARM_WORK } else { COLD_WORK };
            if is_warm {
                warm += 1
            } else {
                cold += 1
            }
            self.running.push((now + work, job));
        }
        (warm, cold)
    }
}

/// A simulation of daemons and servers in steps of one millisecond. Arrivals are evenly spaced and objects are
/// requested in a fixed pseudo-random order, so runs are reproducible.
pub struct Fleet {
    daemons: Vec<Steering>,
    servers: BTreeMap<Backend, Server>,
    queued: Vec<BTreeMap<QueueTicket, Call>>,
    rng_state: u64,
    refused: usize,
}

impl Fleet {
    /// A fleet with one server for each element of `regions`. Each server keeps `max_warm_objects` objects warm.
    pub fn new(regions: &[&str], daemons: usize, max_warm_objects: usize) -> Self {
        let make = |_| {
            let mut steering = steering_with_servers(regions);
            steering.apply_plan(plan_with_routes(1, vec![route("r", "/r/")]));
            steering.set_daemons(Timestamp::ZERO, DaemonCounts { total: daemons, sharing_load: daemons });
            steering
        };
        let servers = regions.iter().enumerate().map(|(n, region)| {
            let server = Server {
                region: (*region).to_owned(),
                running: Vec::new(),
                waiting: VecDeque::new(),
                warm: VecDeque::new(),
                max_warm_objects,
            };
            (format!("s-{n}").parse().unwrap(), server)
        });
        Self {
            daemons: (0..daemons).map(make).collect(),
            servers: servers.collect(),
            queued: vec![BTreeMap::new(); daemons],
            rng_state: 1,
            refused: 0,
        }
    }

    fn next_random(&mut self) -> u64 {
        // A linear congruential generator. Only its high bits are used, because the low bits have short periods.
        self.rng_state =
            self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.rng_state >> 33
    }

    /// Runs for `seconds`. `rate` gives the arrival rate in requests per second at a time in seconds.
    pub fn run(&mut self, rate: impl Fn(f64) -> f64, seconds: f64) -> Run {
        let mut run = Run::default();
        let (mut due, mut arrivals, mut in_time) = (0.0, 0, 0);
        let (mut warm, mut cold) = ([0, 0], [0, 0]);
        let mut near = vec![(0, 0); seconds.ceil() as usize];
        let steps = (seconds * 1_000.0) as u64;
        for step in 0..steps {
            let now = Timestamp::from_millis(step);
            let at = step as f64 / 1_000.0;
            let is_second_half = at >= seconds / 2.0;
            due += rate(at) / 1_000.0;
            let mut arrived = Vec::new();
            while due >= 1.0 {
                due -= 1.0;
                arrivals += usize::from(is_second_half);
                arrived.extend(self.arrive(now));
            }
            let (latencies, dequeued) = self.complete(now);
            run.refused_share_second_half += if is_second_half { self.refused as f64 } else { 0.0 };
            self.refused = 0;
            in_time += latencies.iter().filter(|took| is_second_half && **took <= OBJECTIVE).count();
            arrived.extend(dequeued);
            for job in arrived {
                let server = self.servers.get_mut(&job.selected.backend).unwrap();
                let second = &mut near[at as usize];
                second.0 += usize::from(server.region == "near");
                second.1 += 1;
                if server.waiting.len() < QUEUE_LENGTH {
                    server.waiting.push_back(job);
                } else {
                    self.daemons[job.daemon].record_outcome(now, &job.call, &job.selected, SendOutcome::Shed);
                }
            }
            for server in self.servers.values_mut() {
                let (w, c) = server.start(now);
                warm[usize::from(is_second_half)] += w;
                cold[usize::from(is_second_half)] += c;
            }
        }
        run.refused_share_second_half /= arrivals.max(1) as f64;
        let warm_share = |n: usize| warm[n] as f64 / (warm[n] + cold[n]).max(1) as f64;
        run.warm_share_first_half = warm_share(0);
        run.warm_share_second_half = warm_share(1);
        run.in_time_share_second_half = in_time as f64 / arrivals.max(1) as f64;
        run.goodput_second_half = in_time as f64 / (seconds / 2.0);
        run.near_share_by_second = near.iter().map(|(n, all)| *n as f64 / (*all).max(1) as f64).collect();
        run
    }

    fn arrive(&mut self, now: Timestamp) -> Option<Job> {
        let daemon = self.next_random() as usize % self.daemons.len();
        let object = self.next_random() % OBJECTS;
        let (call, decision) = place(&mut self.daemons[daemon], now, "/r/", object);
        match decision {
            Decision::Send(selected) => Some(Job { daemon, call, selected, sent: now }),
            Decision::Wait(ticket) => {
                self.queued[daemon].insert(ticket, call);
                None
            }
            Decision::Refuse(_) => {
                self.refused += 1;
                None
            }
        }
    }

    /// Completes finished requests. Returns the latencies of completed requests and the requests that left a queue of a
    /// daemon.
    fn complete(&mut self, now: Timestamp) -> (Vec<Duration>, Vec<Job>) {
        let (mut latencies, mut dequeued) = (Vec::new(), Vec::new());
        for server in self.servers.values_mut() {
            while let Some(n) = server.running.iter().position(|(end, _)| *end <= now) {
                let (_, job) = server.running.swap_remove(n);
                let load = LoadReport {
                    running: server.running.len() as u32 + 1,
                    waiting: server.waiting.len() as u32,
                    slots: SLOTS as u32,
                    slowdown: None,
                };
                let steering = &mut self.daemons[job.daemon];
                steering.record_load(now, &job.selected.backend, load);
                let took = now.since(job.sent);
                steering.record_outcome(
                    now,
                    &job.call,
                    &job.selected,
                    SendOutcome::Answered { ok: true, took },
                );
                latencies.push(now.since(job.call.arrived_at));
            }
        }
        for (daemon, steering) in self.daemons.iter_mut().enumerate() {
            for (ticket, decision) in steering.poll_queue(now) {
                let call = self.queued[daemon].remove(&ticket).expect("each ticket is returned once");
                match decision {
                    Decision::Send(selected) => dequeued.push(Job { daemon, call, selected, sent: now }),
                    _ => self.refused += 1,
                }
            }
            steering.tick(now);
        }
        (latencies, dequeued)
    }
}
