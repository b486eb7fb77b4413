//! The load tool: traces, pacing, accounting and its bounds.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use medlarstair::protocol::border::{LookupAnswer, LookupEntry};
use medlarstair::state::id::Rank;
use medlarstair_daemons::load::audit::Audit;
use medlarstair_daemons::load::directory::Lookup;
use medlarstair_daemons::load::error::LoadError;
use medlarstair_daemons::load::outcome::{AnswerParts, Outcome, Record};
use medlarstair_daemons::load::pace::{Lateness, pace};
use medlarstair_daemons::load::policy::Policy;
use medlarstair_daemons::load::report::RunReport;
use medlarstair_daemons::load::run::{RunConfig, run};
use medlarstair_daemons::load::trace::{self, Flood, TraceRequest, TraceSpec};
use medlarstair_standins::{Deployment, Run, RunEnd};
use rand::SeedableRng;
use rand_pcg::Pcg32;

/// Block of addresses of deployments that are not started.
const UNUSED_BLOCK: u8 = 251;
/// Block of the deployment with the stalling backend server; other tests use lower ones.
const STALL_BLOCK: u8 = 252;

fn flooded(rank: Rank, load: f64) -> TraceSpec {
    let mut spec = TraceSpec::moderate_load(&Deployment::consortium(UNUSED_BLOCK));
    spec.flood = Some(Flood { rank, load, from_ms: 2_000, until_ms: 8_000 });
    spec
}

/// Guards against fields that are lost or renamed between the generator and the load tool.
#[test]
fn trace_survives_writing_and_reading() {
    let requests = flooded(Rank::Urgent, 1.0).generate(&Deployment::consortium(UNUSED_BLOCK)).unwrap();
    let mut text = Vec::new();
    trace::write(&requests, &mut text).unwrap();
    assert_eq!(text.iter().filter(|b| **b == b'\n').count(), requests.len());
    assert_eq!(trace::read(&text[..]).unwrap(), requests);
}

/// Guards against traces that change between runs with one seed, and against seeds without effect.
#[test]
fn seed_decides_the_trace() {
    let deployment = Deployment::authority(UNUSED_BLOCK);
    let spec = TraceSpec::moderate_load(&deployment);
    let requests = spec.generate(&deployment).unwrap();
    assert_eq!(requests, spec.generate(&deployment).unwrap());
    assert_ne!(requests, TraceSpec { seed: 2, ..spec }.generate(&deployment).unwrap());
}

/// Guards against floods that are weaker or stronger than stated, or outside their window.
#[test]
fn generated_demand_is_the_stated_part_of_capacity() {
    let deployment = Deployment::consortium(UNUSED_BLOCK);
    let requests = flooded(Rank::Bulk, 5.0).generate(&deployment).unwrap();
    let slot_s = |rank: Rank, from_us: u64, until_us: u64| {
        let chosen = requests.iter().filter(|r| r.rank == rank && (from_us..until_us).contains(&r.at_us));
        chosen.map(|r| f64::from(r.run_ms) / 1e3).sum::<f64>()
    };
    let slots = f64::from(deployment.total_slots());
    let near = |measured: f64, expected: f64| assert!((measured / expected - 1.0).abs() < 0.06, "{measured}");
    near(slot_s(Rank::Urgent, 0, 10_000_000), 0.25 * 10.0 * slots);
    near(slot_s(Rank::Standard, 0, 10_000_000), 0.2 * 10.0 * slots);
    near(slot_s(Rank::Bulk, 2_000_000, 8_000_000), 5.1 * 6.0 * slots);
    near(slot_s(Rank::Bulk, 0, 2_000_000) + slot_s(Rank::Bulk, 8_000_000, 10_000_000), 0.1 * 4.0 * slots);
}

/// Guards against runs without bound.
#[test]
fn long_unordered_or_invalid_traces_are_refused() {
    let deployment = Deployment::consortium(UNUSED_BLOCK);
    let mut requests = TraceSpec::moderate_load(&deployment).generate(&deployment).unwrap();
    requests.truncate(2);
    requests[1].at_us = u64::MAX / 2;
    let mut text = Vec::new();
    trace::write(&requests, &mut text).unwrap();
    assert!(trace::read(&text[..]).is_err(), "too long");
    text.clear();
    requests.reverse();
    trace::write(&requests, &mut text).unwrap();
    assert!(trace::read(&text[..]).is_err(), "out of order");
    assert!(flooded(Rank::Bulk, 1e6).generate(&deployment).is_err(), "too many requests");
}

fn config(deployment: Deployment, policy: Policy, trace: Vec<TraceRequest>) -> RunConfig {
    RunConfig { deployment, trace, policy, workers: 1, window: None, run_id: "test".into() }
}

/// Guards against load that leaves the machine through a deployment file or a lookup.
#[test]
fn other_addresses_are_refused() {
    let outside = "192.0.2.1:8080".parse().unwrap();
    let mut deployment = Deployment::consortium(UNUSED_BLOCK);
    deployment.entries[3].http.front = outside;
    let refused = run(config(deployment, Policy::Medlarstair, Vec::new()));
    assert!(matches!(refused, Err(LoadError::NotLoopback(_))), "{refused:?}");
    for real in [true, false] {
        let mut deployment = Deployment::consortium(UNUSED_BLOCK);
        let http = &mut deployment.services[1].backends[2].http;
        *(if real { &mut http.real } else { &mut http.front }) = outside;
        let refused = run(config(deployment, Policy::Random, Vec::new()));
        assert!(matches!(refused, Err(LoadError::NotLoopback(_))), "{refused:?}");
    }
    let answer = lookup_answer(&[("192.0.2.1:8080", 1)]);
    assert!(matches!(Lookup::new(&answer, Instant::now()), Err(LoadError::NotLoopback(_))));
}

fn lookup_answer(entries: &[(&str, u32)]) -> LookupAnswer {
    let entry = |(address, weight): &(&str, u32)| LookupEntry {
        address: (*address).into(),
        node: 1,
        token_prefix: "n1-1-1-".into(),
        weight: *weight,
    };
    LookupAnswer {
        entries: entries.iter().map(entry).collect(),
        token_prefix: "n1-1-1-".into(),
        ttl_ms: 5_000,
    }
}

/// Guards against callers that ignore weights or forget the other entry VMs.
#[test]
fn callers_start_by_weight_and_keep_the_others_as_fallback() {
    let answer = lookup_answer(&[("127.0.0.1:1", 0), ("127.0.0.1:2", 100), ("127.0.0.1:3", 300)]);
    let lookup = Lookup::new(&answer, Instant::now()).unwrap();
    let mut rng = Pcg32::seed_from_u64(5);
    let mut first = BTreeMap::<u16, u32>::new();
    for _ in 0..4_000 {
        let order = lookup.order(&mut rng);
        assert_eq!(order.len(), 3);
        *first.entry(order[0].address.port()).or_default() += 1;
    }
    assert_eq!(first.get(&1), None);
    assert!((900..1_100).contains(&first[&2]), "{first:?}");
}

/// Guards against a tool that shifts later requests when it is late, and against hidden lateness.
#[test]
fn a_stall_of_the_tool_is_counted_and_moves_no_later_request() {
    let start = Instant::now();
    let mut late = Vec::new();
    pace(start, (0..100).map(|i| i * 1_000), |i| {
        late.push((start.elapsed() - Duration::from_millis(i as u64)).as_micros() as u64);
        if i == 20 {
            thread::sleep(Duration::from_millis(50));
        }
        true
    });
    let lateness = Lateness::of(late.iter().copied());
    assert!(lateness.max_us >= 49_000, "{lateness:?}");
    assert!(lateness.spoilt);
    assert!(late[99] < 10_000, "the last request was sent at its own time: {}", late[99]);
}

/// Guards against wrong attribution of answers.
#[test]
fn outcomes_follow_the_headers() {
    let parts = AnswerParts { status: 200, outcome: None, reason: None, whole: true, in_time: true };
    let refused = AnswerParts { status: 503, outcome: Some("not-run"), reason: Some("overloaded"), ..parts };
    let cases = [
        (parts, Outcome::Ok),
        (AnswerParts { outcome: Some("ran"), reason: Some("recorded"), ..parts }, Outcome::Ok),
        (AnswerParts { in_time: false, ..parts }, Outcome::Late),
        (AnswerParts { whole: false, ..parts }, Outcome::Transport("wrong-length".into())),
        (refused, Outcome::NotRun("overloaded".into())),
        (AnswerParts { outcome: Some("unknown"), ..refused }, Outcome::Unknown("overloaded".into())),
        (AnswerParts { outcome: None, reason: None, ..refused }, Outcome::Failed("503".into())),
    ];
    for (answer, expected) in cases {
        assert_eq!(Outcome::of(answer), expected, "{answer:?}");
    }
}

/// Guards against an audit that misses violations of P4 and P5.
#[test]
fn audit_finds_disagreement_with_run_logs() {
    let deployment = Deployment::consortium(UNUSED_BLOCK);
    let mut requests = TraceSpec::moderate_load(&deployment).generate(&deployment).unwrap();
    requests.truncate(4);
    for (req, repeatable) in requests.iter_mut().zip([false, false, true, true]) {
        req.repeatable = repeatable;
    }
    let outcomes = [Outcome::NotRun("overloaded".into()), Outcome::Ok, Outcome::Ok, Outcome::Ok];
    let records = outcomes.into_iter().enumerate().map(|(index, outcome)| Record {
        index,
        rank: Rank::Urgent,
        intended: Duration::ZERO,
        late: Duration::ZERO,
        latency: Duration::ZERO,
        outcome,
    });
    let done = Run {
        request_id: String::new(),
        token: String::new(),
        path: String::new(),
        boot: 1,
        service_ms: 1,
        start_ms: 1,
        end_ms: 2,
        end: RunEnd::Done,
    };
    let runs = [0, 1, 1, 2, 2].map(|index| (index, &done));
    let audit = Audit::new(&requests, &records.collect::<Vec<_>>(), runs);
    assert_eq!(audit.not_run_but_ran.examples, [0]);
    assert_eq!(audit.ran_twice.examples, [1]);
    assert_eq!(audit.answered_without_run.examples, [3]);
    assert_eq!(audit.repeated, 1);
}

/// A backend server that serves one connection at a time and stalls for `stall` before its answer number 10.
fn stalling_server(listener: TcpListener, stall: Duration) {
    thread::spawn(move || {
        for (i, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4_096]);
            if i == 10 {
                thread::sleep(stall);
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx");
        }
    });
}

fn stalled_run() -> RunReport {
    let mut deployment = Deployment::consortium(STALL_BLOCK);
    deployment.services.truncate(1);
    deployment.services[0].backends.truncate(1);
    let backend = &mut deployment.services[0].backends[0];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    backend.http.front = listener.local_addr().unwrap();
    let request = TraceRequest {
        at_us: 0,
        region: backend.place.region.as_str().into(),
        customer: "anyone".into(),
        service: deployment.services[0].name.as_str().into(),
        rank: Rank::Urgent,
        deadline_ms: 5_000,
        repeatable: true,
        run_ms: 0,
        bytes: 1,
    };
    stalling_server(listener, Duration::from_millis(700));
    let trace = (0..100).map(|i| TraceRequest { at_us: i * 10_000, ..request.clone() }).collect();
    run(config(deployment, Policy::Random, trace)).unwrap()
}

/// Guards against coordinated omission: a stall of 700 ms delays the requests of that time, 70 of 100, and all of
/// them must show it, although the server is slow for one request only.
#[test]
fn stall_of_a_server_shows_in_all_requests_that_it_delays() {
    let report = stalled_run();
    let urgent = &report.ranks[0];
    assert_eq!((report.lost, urgent.requests, urgent.latency.count), (0, 100, 100), "{report:?}");
    assert!(urgent.latency.max_ms >= 690.0, "{report:?}");
    // The waits of 70 requests lie evenly between 0 and 700 ms, so the median of all 100 is near 200 ms and the 99th
    // percentile near 690 ms. A tool that waits for answers before it sends would show the stall in one request only.
    assert!(urgent.latency.p50_ms >= 150.0, "{urgent:?}");
    assert!(urgent.latency.p99_ms >= 650.0, "{urgent:?}");
    assert!(report.seconds[0][0].p99_ms >= 650.0, "{report:?}");
}
