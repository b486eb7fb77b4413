//! A model of backend servers with warm objects, and short ways to use the steering logic.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use medlarstair_state::id::Backend;
use medlarstair_state::steering::affinity::ObjectId;
use medlarstair_state::steering::engine::DaemonCounts;
use medlarstair_state::steering::plan::{Destination, PlanVersion, Priority, RetrySafety};
use medlarstair_state::steering::poison::Fingerprint;
use medlarstair_state::steering::retries::RetryLimits;
use medlarstair_state::steering::{
    BackendEntry, Call, ClientLimits, Decision, LoadReport, Plan, QueueTicket, Route, SelectedBackend,
    SendOutcome, ServiceSpec, Steering, SteeringConfig,
};
use medlarstair_state::time::Timestamp;

/// Work on a warm object.
pub const WARM_WORK: Duration = Duration::from_millis(150);

/// Work on a cold object.
pub const COLD_WORK: Duration = Duration::from_millis(495);

/// Time within which an answer is useful.
pub const OBJECTIVE: Duration = Duration::from_millis(300);

/// Objects of the callers.
const OBJECTS: u64 = 72;

/// Slots of a server.
const SLOTS: usize = 3;

/// Requests that wait at a server before it sheds.
const QUEUE: usize = 9;

/// A route to the service `desk`.
pub fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        retry_safety: RetrySafety::Idempotent,
        priority: Priority(1),
        latency_objective: OBJECTIVE,
        timeout: Some(Duration::from_millis(800)),
        max_attempts: 2,
        affinity: true,
        home_regions: Vec::new(),
        destinations: vec![Destination { service: "desk".parse().unwrap(), weight: 1 }],
    }
}

/// A service.
pub fn service(name: &str) -> ServiceSpec {
    ServiceSpec {
        name: name.parse().unwrap(),
        health_path: "/health".into(),
        max_connections: 360,
        cold_duration: Duration::from_secs(3),
        cold_rate: 3.5,
    }
}

/// A plan with these routes.
pub fn plan_of(version: u64, routes: Vec<Route>) -> Plan {
    Plan::new(PlanVersion(version), ClientLimits::default(), routes, vec![service("desk")]).unwrap()
}

/// Server number `n` in a region.
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
        started_at_ms: Some(1),
    }
}

/// A daemon in the region `near` that knows a server for each of these regions.
pub fn steering_of(regions: &[&str]) -> Steering {
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
    let patience = Some(Duration::from_millis(2_500));
    let fingerprint = Fingerprint(now.0 ^ object);
    steering.start_request(now, &route, ObjectId(object), fingerprint, patience).unwrap()
}

/// Places a request for an object.
pub fn place(steering: &mut Steering, now: Timestamp, path: &str, object: u64) -> (Call, Decision) {
    let call = call_of(steering, now, path, object);
    let decision = steering.place(now, &call);
    (call, decision)
}

/// The server of a request that was sent.
pub fn sent((_, decision): (Call, Decision)) -> SelectedBackend {
    match decision {
        Decision::Send(choice) => choice,
        decision => panic!("not sent: {decision:?}"),
    }
}

/// Answers a request after 10 ms.
pub fn finish(steering: &mut Steering, now: Timestamp, path: &str, object: u64, choice: &SelectedBackend) {
    finish_after(steering, now, path, object, choice, Duration::from_millis(10));
}

/// Answers a request that took a time.
pub fn finish_after(
    steering: &mut Steering,
    now: Timestamp,
    path: &str,
    object: u64,
    choice: &SelectedBackend,
    took: Duration,
) {
    let call = call_of(steering, now, path, object);
    steering.record_outcome(now + took, &call, choice, SendOutcome::Answered { ok: true, took });
}

/// What a run of a [`Fleet`] showed. "Late" is the second half of the run.
#[derive(Debug, Default)]
pub struct Run {
    /// Part of the runs on warm objects.
    pub warm_share_late: f64,
    /// The same in the first half.
    pub warm_share_early: f64,
    /// Part of the requests that were answered within the objective.
    pub in_time_late: f64,
    /// Requests per second that were answered within the objective.
    pub served_in_time_per_second_late: f64,
    /// Part of the requests that were refused.
    pub refused_late: f64,
    /// Part of the sends that stayed in the region of the callers, by second.
    pub near_share_by_second: Vec<f64>,
}

struct Job {
    daemon: usize,
    call: Call,
    choice: SelectedBackend,
    sent: Timestamp,
}

/// A server: slots, a queue and the objects that it handled last.
struct Server {
    region: String,
    running: Vec<(Timestamp, Job)>,
    waiting: VecDeque<Job>,
    warm: VecDeque<ObjectId>,
    keeps: usize,
}

impl Server {
    /// Starts waiting jobs on free slots. Returns how many ran warm and cold.
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
            if self.warm.len() > self.keeps {
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

/// Daemons and servers in virtual time of one millisecond a step. Arrivals are evenly spaced and objects come in a fixed
/// pseudo-random order, so a run repeats.
pub struct Fleet {
    daemons: Vec<Steering>,
    servers: BTreeMap<Backend, Server>,
    queued: Vec<BTreeMap<QueueTicket, Call>>,
    random: u64,
    refused: usize,
}

impl Fleet {
    /// A fleet with a server for each region of `regions`, each of which keeps `keeps` objects warm.
    pub fn new(regions: &[&str], daemons: usize, keeps: usize) -> Self {
        let make = |_| {
            let mut steering = steering_of(regions);
            steering.apply_plan(plan_of(1, vec![route("r", "/r/")]));
            steering.set_daemons(Timestamp::ZERO, DaemonCounts { total: daemons, sharing_load: daemons });
            steering
        };
        let servers = regions.iter().enumerate().map(|(n, region)| {
            let server = Server {
                region: (*region).to_owned(),
                running: Vec::new(),
                waiting: VecDeque::new(),
                warm: VecDeque::new(),
                keeps,
            };
            (format!("s-{n}").parse().unwrap(), server)
        });
        Self {
            daemons: (0..daemons).map(make).collect(),
            servers: servers.collect(),
            queued: vec![BTreeMap::new(); daemons],
            random: 1,
            refused: 0,
        }
    }

    fn next_random(&mut self) -> u64 {
        // A linear congruential generator; its high bits are good enough for a choice of objects.
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.random >> 33
    }

    /// Runs for `seconds` with `rate` requests per second at each moment.
    pub fn run(&mut self, rate: impl Fn(f64) -> f64, seconds: f64) -> Run {
        let mut run = Run::default();
        let (mut due, mut asked, mut in_time) = (0.0, 0, 0);
        let (mut warm, mut cold) = ([0, 0], [0, 0]);
        let mut near = vec![(0, 0); seconds.ceil() as usize];
        let steps = (seconds * 1_000.0) as u64;
        for step in 0..steps {
            let now = Timestamp::from_millis(step);
            let at = step as f64 / 1_000.0;
            let is_late = at >= seconds / 2.0;
            due += rate(at) / 1_000.0;
            let mut arrived = Vec::new();
            while due >= 1.0 {
                due -= 1.0;
                asked += usize::from(is_late);
                arrived.extend(self.arrive(now));
            }
            let (ended, freed) = self.end(now);
            run.refused_late += if is_late { self.refused as f64 } else { 0.0 };
            self.refused = 0;
            in_time += ended.iter().filter(|took| is_late && **took <= OBJECTIVE).count();
            arrived.extend(freed);
            for job in arrived {
                let server = self.servers.get_mut(&job.choice.backend).unwrap();
                let second = &mut near[at as usize];
                second.0 += usize::from(server.region == "near");
                second.1 += 1;
                if server.waiting.len() < QUEUE {
                    server.waiting.push_back(job);
                } else {
                    self.daemons[job.daemon].record_outcome(now, &job.call, &job.choice, SendOutcome::Shed);
                }
            }
            for server in self.servers.values_mut() {
                let (w, c) = server.start(now);
                warm[usize::from(is_late)] += w;
                cold[usize::from(is_late)] += c;
            }
        }
        run.refused_late /= asked.max(1) as f64;
        let warm_share = |n: usize| warm[n] as f64 / (warm[n] + cold[n]).max(1) as f64;
        run.warm_share_early = warm_share(0);
        run.warm_share_late = warm_share(1);
        run.in_time_late = in_time as f64 / asked.max(1) as f64;
        run.served_in_time_per_second_late = in_time as f64 / (seconds / 2.0);
        run.near_share_by_second = near.iter().map(|(n, all)| *n as f64 / (*all).max(1) as f64).collect();
        run
    }

    fn arrive(&mut self, now: Timestamp) -> Option<Job> {
        let daemon = self.next_random() as usize % self.daemons.len();
        let object = self.next_random() % OBJECTS;
        let (call, decision) = place(&mut self.daemons[daemon], now, "/r/", object);
        match decision {
            Decision::Send(choice) => Some(Job { daemon, call, choice, sent: now }),
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

    /// Ends what is finished. Returns the times of the answered requests and the requests that left a queue.
    fn end(&mut self, now: Timestamp) -> (Vec<Duration>, Vec<Job>) {
        let (mut ended, mut freed) = (Vec::new(), Vec::new());
        for server in self.servers.values_mut() {
            while let Some(n) = server.running.iter().position(|(end, _)| *end <= now) {
                let (_, job) = server.running.swap_remove(n);
                let load = LoadReport {
                    running: server.running.len() as u32 + 1,
                    waiting: server.waiting.len() as u32,
                    slots: SLOTS as u32,
                };
                let steering = &mut self.daemons[job.daemon];
                steering.record_load(now, &job.choice.backend, load);
                let took = now.since(job.sent);
                steering.record_outcome(
                    now,
                    &job.call,
                    &job.choice,
                    SendOutcome::Answered { ok: true, took },
                );
                ended.push(now.since(job.call.arrived_at));
            }
        }
        for (daemon, steering) in self.daemons.iter_mut().enumerate() {
            for (ticket, decision) in steering.poll_queue(now) {
                let call = self.queued[daemon].remove(&ticket).expect("a ticket is released once");
                match decision {
                    Decision::Send(choice) => freed.push(Job { daemon, call, choice, sent: now }),
                    _ => self.refused += 1,
                }
            }
            steering.tick(now);
        }
        (ended, freed)
    }
}
