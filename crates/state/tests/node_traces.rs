//! Recorded events of one daemon give the outcome that the files beside them state.
//!
//! A trace has one JSON line per event, as the daemon records them. `record_traces` writes the traces again.

mod support;

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use medlarstair_state::id::{Incarnation, Rank};
use medlarstair_state::node::{Effect, Event, Idempotency, Node, NodeConfig};
use medlarstair_state::operation::Minute;
use medlarstair_state::time::Timestamp;
use serde::{Deserialize, Serialize};
use support::faults::Fault;
use support::*;

#[derive(Debug, Serialize, Deserialize)]
struct TraceLine {
    at: Timestamp,
    event: Event,
}

/// How the daemon was started and what it must do.
#[derive(Debug, Serialize, Deserialize)]
struct Outcome {
    property: Box<str>,
    me: Box<str>,
    region: Box<str>,
    domain: Box<str>,
    epoch: Minute,
    seed: u64,
    started: Timestamp,
    expect: Vec<Expected>,
}

/// Number of effects of one kind in a part of the trace.
#[derive(Debug, Serialize, Deserialize)]
struct Expected {
    effect: Box<str>,
    from: Timestamp,
    until: Timestamp,
    at_least: usize,
    at_most: usize,
}

fn directory() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/traces")
}

fn name_of(effect: &Effect) -> String {
    match effect {
        Effect::Dispatch(dispatch) => format!("dispatch {}", dispatch.backend),
        Effect::Refuse { refusal, .. } => format!("refuse {} {}", refusal.outcome, refusal.reason),
        Effect::Replay { .. } => "replay".into(),
        Effect::Forward { .. } => "forward".into(),
        _ => "other".into(),
    }
}

/// Times of the effects of each kind.
fn replay(outcome: &Outcome, trace: &str) -> BTreeMap<String, Vec<Timestamp>> {
    let cfg = NodeConfig {
        me: outcome.me.parse::<Incarnation>().unwrap(),
        region: outcome.region.parse().unwrap(),
        domain: outcome.domain.parse().unwrap(),
        epoch: outcome.epoch,
        seed: outcome.seed,
    };
    let mut node = Node::<medlarstair_state::routing::TwoChoices>::new(cfg, outcome.started);
    let mut effects = BTreeMap::<String, Vec<Timestamp>>::new();
    for line in trace.lines() {
        let TraceLine { at, event } = serde_json::from_str(line).unwrap();
        let mut out = Vec::new();
        node.handle(at, event, &mut out);
        for effect in &out {
            effects.entry(name_of(effect)).or_default().push(at);
        }
    }
    effects
}

#[test]
fn recorded_traces_give_the_stated_outcomes() {
    if std::env::var_os("RECORD_TRACES").is_some() {
        record_traces();
    }
    let mut replayed = 0;
    for file in fs::read_dir(directory()).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_none_or(|e| e != "json") {
            continue;
        }
        let outcome = serde_json::from_str::<Outcome>(&fs::read_to_string(&path).unwrap()).unwrap();
        let trace = fs::read_to_string(path.with_extension("jsonl")).unwrap();
        assert!(trace.len() < 200 << 10, "{} is too large", path.display());
        let effects = replay(&outcome, &trace);
        for expected in &outcome.expect {
            let times = effects.get(&*expected.effect).map(Vec::as_slice).unwrap_or_default();
            let count = times.iter().filter(|at| (expected.from..=expected.until).contains(at)).count();
            let holds = (expected.at_least..=expected.at_most).contains(&count);
            assert!(holds, "{}: {count} times, expected {expected:?}", path.display());
        }
        replayed += 1;
    }
    assert!(replayed >= 3);
}

fn keep(sim: &Simulation, node: usize, name: &str, property: &str, expect: Vec<Expected>) {
    let daemon = &sim.daemons[node];
    let (cfg, started) = daemon.started.clone().unwrap();
    let outcome = Outcome {
        property: property.into(),
        me: cfg.me.to_string().into(),
        region: cfg.region.into(),
        domain: cfg.domain.into(),
        epoch: cfg.epoch,
        seed: cfg.seed,
        started,
        expect,
    };
    let mut trace = String::new();
    for (at, event) in daemon.trace.clone() {
        trace += &serde_json::to_string(&TraceLine { at, event }).unwrap();
        trace.push('\n');
    }
    let path = directory().join(name);
    fs::write(path.with_extension("json"), serde_json::to_string_pretty(&outcome).unwrap() + "\n").unwrap();
    fs::write(path.with_extension("jsonl"), trace).unwrap();
}

fn expected(effect: &str, span: (Timestamp, Timestamp), at_least: usize, at_most: usize) -> Expected {
    Expected { effect: effect.into(), from: span.0, until: span.1, at_least, at_most }
}

fn traced_simulation(node: usize) -> Simulation {
    let mut sim = Simulation::starting(7, 3);
    sim.checks.traced = Some(node);
    sim.run_until(3 * SEC);
    sim
}

const START: Timestamp = Timestamp::ZERO;
const END: Timestamp = Timestamp(u64::MAX);

/// Writes the traces. To be done only when the format or the decisions change on purpose.
fn record_traces() {
    record_leaving();
    record_operation();
    record_crashes();
}

/// P6: a server begins to leave while the daemon is paused for 3 s.
fn record_leaving() {
    let mut sim = traced_simulation(1);
    sim.fault_at(3_300 * MS, Fault::Pause(1), true);
    sim.fault_at(6_300 * MS, Fault::Pause(1), false);
    for i in 0..100 {
        let op = sim.add_op(Rank::Standard, Idempotency::Repeatable, 30 * MS);
        sim.send_at(3 * SEC + i * 50 * MS, 1, op);
    }
    sim.run_until(3_500 * MS);
    sim.servers[1].draining = true;
    sim.run_until(5_500 * MS);
    let late = sim.clock(1);
    sim.run_until(8 * SEC);
    let expect = vec![
        expected("dispatch s1", (START, late), 1, usize::MAX),
        expected("dispatch s1", (late, END), 0, 0),
        expected("dispatch s4", (late, END), 1, usize::MAX),
    ];
    keep(&sim, 1, "leaving_while_paused", "P6", expect);
}

/// P5: an operation is sent to its owner three times, twice through another daemon.
fn record_operation() {
    let mut sim = traced_simulation(0);
    let kind = sim.token(0, 1);
    let op = sim.add_op(Rank::Urgent, kind, 200 * MS);
    for (delay, node) in [(0, 0), (50, 1), (400, 0), (900, 1)] {
        sim.send_at(3 * SEC + delay * MS, node, op);
    }
    sim.run_until(5 * SEC);
    let dispatches = sim.runs.len();
    assert_eq!(dispatches, 1);
    let server = sim.servers[sim.runs[0].server].spec.name.to_string();
    let expect = vec![
        expected(&format!("dispatch {server}"), (START, END), 1, 1),
        expected("replay", (START, END), 3, 3),
    ];
    keep(&sim, 0, "operation_sent_again", "P5", expect);
}

/// P9: the only daemon that a caller uses and the arbiter see the same crashing request again and again.
fn record_crashes() {
    for node in 0..3 {
        let mut sim = traced_simulation(node);
        for i in 0..8 {
            let op = sim.add_op(Rank::Standard, Idempotency::Repeatable, 20 * MS);
            sim.ops[op].fingerprint = 1;
            sim.ops[op].crashes = true;
            sim.send_at(3 * SEC + i * 600 * MS, node, op);
        }
        sim.run_until(8 * SEC);
        let runs = sim.runs.iter().filter(|run| run.node == node && run.start.is_some()).count();
        if runs < 3 {
            continue;
        }
        let mut expect = vec![expected("refuse not-run quarantined", (START, END), 5, 5)];
        for server in ["s0", "s1", "s2", "s3", "s4", "s5"] {
            let of_server =
                |run: &&Run| run.node == node && sim.servers[run.server].spec.name.as_str() == server;
            let count = sim.runs.iter().filter(of_server).count();
            expect.push(expected(&format!("dispatch {server}"), (START, END), count, count));
        }
        return keep(&sim, node, "crashing_request", "P9", expect);
    }
    panic!("the arbiter is not among the daemons");
}
