//! Benchmarks of the server selection and of the queue, by the number of backend servers.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::rc::Rc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use medlarstair_state::steering::affinity::ObjectId;
use medlarstair_state::steering::departures::EntryVersion;
use medlarstair_state::steering::plan::{Destination, PlanVersion, Priority, RetrySafety};
use medlarstair_state::steering::poison::Fingerprint;
use medlarstair_state::steering::retries::RetryLimits;
use medlarstair_state::steering::{
    BackendEntry, Call, ClientLimits, Decision, Plan, Route, SendOutcome, ServiceSpec, Steering,
    SteeringConfig,
};
use medlarstair_state::time::Timestamp;

const OBJECTIVE: Duration = Duration::from_millis(300);

/// Number of distinct objects, which are requested in turn.
const OBJECTS: u64 = 266;

/// A latency objective for which any number of requests may wait.
const LONG_OBJECTIVE: Duration = Duration::from_secs(3_600_000);

/// A daemon in the first of three regions, over which the servers are evenly distributed.
fn steering_with_servers(servers: usize) -> Steering {
    steering_with_objective(servers, OBJECTIVE)
}

fn steering_with_objective(servers: usize, latency_objective: Duration) -> Steering {
    let regions = ["near", "far", "farther"];
    let mut steering = Steering::new(SteeringConfig {
        region: regions[0].parse().unwrap(),
        domain: "near-a".parse().unwrap(),
        max_shift: 0.15,
        retries: RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 60.0 },
        cold_overrun: 1.5,
        cold_slack: 5.0,
        round_trips: Default::default(),
    });
    for n in 0..servers {
        let region = regions[n % regions.len()];
        let entry = BackendEntry {
            id: format!("i-{n:08x}").parse().unwrap(),
            service: "desk".parse().unwrap(),
            address: format!("192.0.2.1:{}", 1_000 + n).parse().unwrap(),
            domain: format!("{region}-a").parse().unwrap(),
            region: region.parse().unwrap(),
            slots: 3,
            draining: false,
            cold_left: Duration::ZERO,
            version: EntryVersion { started_at_ms: Some(1), sequence: None },
        };
        steering.apply_server(entry, Timestamp::ZERO);
    }
    let route = Route {
        name: "lookup".into(),
        host: "a.example".into(),
        prefix: "/r/".into(),
        public: false,
        retry_safety: RetrySafety::Idempotent,
        priority: Priority(1),
        latency_objective,
        timeout: None,
        max_attempts: 2,
        affinity: true,
        large_responses: false,
        home_regions: Vec::new(),
        destinations: vec![Destination { service: "desk".parse().unwrap(), weight: 1 }],
    };
    let service = ServiceSpec {
        name: "desk".parse().unwrap(),
        health_path: "/health".into(),
        max_connections: 1_680,
        cold_duration: Duration::from_secs(3),
        cold_rate: 3.5,
    };
    let plan = Plan::new(PlanVersion(1), ClientLimits::default(), vec![route], vec![service]).unwrap();
    steering.apply_plan(plan);
    steering
}

fn call_of(steering: &mut Steering, now: Timestamp, object: u64) -> Call {
    let route = Rc::new(steering.plan().unwrap().routes()[0].clone());
    let client_timeout = Some(Duration::from_secs(3_600));
    steering.start_request(now, &route, ObjectId(object), Fingerprint(object), client_timeout).unwrap()
}

/// Numbers of servers: those of the deployments, and of a large one.
const SERVERS: [usize; 5] = [20, 24, 98, 246, 753];

/// Each iteration selects a server for one request and records its response.
fn place_and_end(c: &mut Criterion) {
    let mut group = c.benchmark_group("place+end");
    for servers in SERVERS {
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            let mut steering = steering_with_servers(servers);
            let mut at = 0;
            b.iter(|| {
                at += 5;
                let now = Timestamp::from_millis(at);
                let call = call_of(&mut steering, now, at % OBJECTS);
                if let Decision::Send(selected) = black_box(steering.decide(now, &call)) {
                    let took = Duration::from_millis(150);
                    steering.record_outcome(
                        now + took,
                        &call,
                        &selected,
                        SendOutcome::Answered { ok: true, took },
                    );
                }
            });
        });
    }
    group.finish();
}

/// Each iteration polls the queue once after the end of one send, while all servers are at capacity.
fn release(c: &mut Criterion) {
    let mut group = c.benchmark_group("release");
    for servers in SERVERS {
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            let mut steering = steering_with_servers(servers);
            let now = Timestamp::from_millis(1);
            let mut sent = None;
            for n in 0..20 * servers as u64 {
                let call = call_of(&mut steering, now, n % OBJECTS);
                if let Decision::Send(selected) = steering.decide(now, &call) {
                    sent = Some((call, selected));
                }
            }
            let (call, selected) = sent.expect("the first request is sent");
            b.iter(|| {
                steering.record_outcome(now, &call, &selected, SendOutcome::Cancelled);
                black_box(steering.poll_queue(now))
            });
        });
    }
    group.finish();
}

/// Each iteration decides about one request and withdraws it from the queue, ends one send and queues a new request, or
/// checks the first request for each server.
fn admission(c: &mut Criterion) {
    let mut group = c.benchmark_group("admission");
    for waiting in [100, 1_000, 10_000] {
        let mut steering = steering_with_objective(98, LONG_OBJECTIVE);
        let now = Timestamp::from_millis(1);
        let (mut queued, mut sent) = (BTreeMap::new(), Vec::new());
        while queued.len() < waiting {
            let call = call_of(&mut steering, now, queued.len() as u64 % OBJECTS);
            match steering.decide(now, &call) {
                Decision::Send(selected) => sent.push((call, selected)),
                Decision::Wait(ticket) => drop(queued.insert(ticket, call)),
                Decision::Refuse(refusal) => panic!("{refusal:?}"),
            }
        }
        group.bench_function(BenchmarkId::new("decide", waiting), |b| {
            b.iter(|| {
                let call = call_of(&mut steering, now, 7);
                if let Decision::Wait(ticket) = black_box(steering.decide(now, &call)) {
                    steering.cancel_queued(&call.service, ticket);
                }
            });
        });
        group.bench_function(BenchmarkId::new("end", waiting), |b| {
            b.iter(|| {
                let (call, selected) = sent.pop().expect("a send is in progress");
                steering.record_outcome(now, &call, &selected, SendOutcome::Cancelled);
                for (ticket, decision) in black_box(steering.poll_queue(now)) {
                    let call = queued.remove(&ticket).expect("each ticket is returned once");
                    if let Decision::Send(selected) = decision {
                        sent.push((call, selected));
                    }
                }
                let next = call_of(&mut steering, now, call.object.0 % OBJECTS);
                match steering.decide(now, &next) {
                    Decision::Send(selected) => sent.push((next, selected)),
                    Decision::Wait(ticket) => drop(queued.insert(ticket, next)),
                    Decision::Refuse(refusal) => panic!("{refusal:?}"),
                }
            });
        });
        group.bench_function(BenchmarkId::new("tick", waiting), |b| {
            b.iter(|| {
                steering.tick(now);
                black_box(steering.poll_queue(now))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, place_and_end, release, admission);
criterion_main!(benches);
