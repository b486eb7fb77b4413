//! Tests of the quarantine: evidence merges in any order, and requests that crash backend servers are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use medlarstair_state::id::{Boot, Fingerprint, Incarnation, NodeId};
use medlarstair_state::model::{Fleet, FleetMember};
use medlarstair_state::quarantine::{
    CRASH_LIMIT, Evidence, EvidenceSnapshot, Quarantine, QuarantineDecision, REFUSAL_PERIOD,
};
use medlarstair_state::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn incarnation(node: u32) -> Incarnation {
    Incarnation { node: NodeId(node), boot: Boot(1) }
}

fn fleet(nodes: u32) -> Fleet {
    let member = |node| FleetMember {
        node: NodeId(node),
        region: "south-east".parse().unwrap(),
        domain: "se1".parse().unwrap(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        http_address: "127.0.0.1:2".parse().unwrap(),
    };
    Fleet { members: (0..nodes).map(member).collect(), previous: Vec::new() }
}

fn daemons(nodes: u32) -> Vec<Quarantine> {
    let mut daemons: Vec<Quarantine> = (0..nodes).map(|node| Quarantine::new(incarnation(node))).collect();
    daemons.iter_mut().for_each(|daemon| daemon.set_fleet(&fleet(nodes)));
    daemons
}

fn decision_name(decision: QuarantineDecision) -> &'static str {
    match decision {
        QuarantineDecision::Clear => "clear",
        QuarantineDecision::RunAlone { .. } => "alone",
        QuarantineDecision::Refused { .. } => "refused",
    }
}

fn check_property<T: std::fmt::Debug>(seed: u8, strategy: impl Strategy<Value = T>, test: impl Fn(T)) {
    let cfg = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(cfg, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]));
    let test = |value| {
        test(value);
        Ok(())
    };
    runner.run(&strategy, test).unwrap();
}

/// Guards against outdated evidence that revives cleared crashes, a success that clears too much, a refusal that starts
/// too late or too early or is prolonged by duplicate messages, and evidence that never expires.
#[test]
fn recorded_steps_give_the_expected_decisions() {
    let mut daemons = daemons(3);
    let mut snapshots: BTreeMap<&str, EvidenceSnapshot> = BTreeMap::new();
    for line in include_str!("data/quarantine_steps.txt").lines().filter(|line| !line.starts_with('#')) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let now = Timestamp::ZERO + Duration::from_secs(60 * fields[0].parse::<u64>().unwrap());
        let name = fields[3];
        let f = Fingerprint(u64::from(name.as_bytes()[0]));
        let daemon = &mut daemons[fields[1].parse::<usize>().unwrap()];
        match fields[2] {
            "crash" => drop(daemon.on_crash(now, f)),
            "start" => drop(snapshots.insert(name, daemon.snapshot(now, f))),
            "success" => drop(daemon.on_success(now, &snapshots[name])),
            "check" => assert_eq!(decision_name(daemon.check(now, f)), fields[4], "{line}"),
            "tell" => {
                let evidence = daemon.evidence(now, f).unwrap();
                daemons[fields[4].parse::<usize>().unwrap()].merge(now, &evidence);
            }
            action => panic!("unknown action {action}"),
        }
    }
    let end = Timestamp::ZERO + Duration::from_secs(3_600);
    daemons.iter_mut().for_each(|daemon| daemon.expire(end));
    assert!(daemons.iter().all(|daemon| daemon.fingerprint_count() == 0));
}

#[derive(Debug, Clone)]
enum Step {
    Crash { at: usize },
    Snapshot { at: usize },
    Success { at: usize },
    SendEvidence { from: usize, to: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let at = || 0..3usize;
    prop_oneof![
        at().prop_map(|at| Step::Crash { at }),
        at().prop_map(|at| Step::Snapshot { at }),
        at().prop_map(|at| Step::Success { at }),
        (at(), at()).prop_map(|(from, to)| Step::SendEvidence { from, to }),
    ]
}

const REQUEST: Fingerprint = Fingerprint(42);

/// All messages that three daemons send about one request.
fn messages(steps: Vec<Step>) -> Vec<Evidence> {
    let now = Timestamp::ZERO;
    let mut daemons = daemons(3);
    let mut snapshots: Vec<Option<EvidenceSnapshot>> = vec![None; 3];
    let mut sent = Vec::new();
    for step in steps {
        match step {
            Step::Crash { at } => sent.push(daemons[at].on_crash(now, REQUEST)),
            Step::Snapshot { at } => snapshots[at] = Some(daemons[at].snapshot(now, REQUEST)),
            Step::Success { at } => {
                let Some(snapshot) = snapshots[at].take() else {
                    continue;
                };
                let before = daemons[at].evidence(now, REQUEST);
                let cleared = daemons[at].on_success(now, &snapshot);
                assert!(
                    cleared.is_none() || cleared != before,
                    "a message is sent only if the evidence has changed"
                );
                sent.extend(cleared);
            }
            Step::SendEvidence { from, to } => {
                if let Some(evidence) = daemons[from].evidence(now, REQUEST) {
                    daemons[to].merge(now, &evidence);
                }
            }
        }
    }
    sent
}

fn merged<'a>(messages: impl IntoIterator<Item = &'a Evidence>) -> Quarantine {
    let mut daemon = Quarantine::new(incarnation(9));
    messages.into_iter().for_each(|evidence| daemon.merge(Timestamp::ZERO, evidence));
    daemon
}

/// Guards against a merge whose result depends on the order, the grouping or the duplication of messages.
#[test]
fn evidence_merge_is_order_independent_and_idempotent() {
    let steps = proptest::collection::vec(step(), 1..30).prop_map(messages);
    let shuffled = steps.prop_flat_map(|sent| {
        let twice: Vec<Evidence> = sent.iter().chain(&sent).cloned().collect();
        (Just(sent), Just(twice).prop_shuffle(), any::<prop::sample::Index>())
    });
    check_property(3, shuffled, |(sent, shuffled, middle)| {
        let now = Timestamp::ZERO;
        let mut expected = merged(&sent);
        let (first, second) = sent.split_at(middle.index(sent.len() + 1));
        let mut grouped = merged(second);
        if let Some(evidence) = merged(first).evidence(now, REQUEST) {
            grouped.merge(now, &evidence);
        }
        for mut other in [merged(&shuffled), grouped] {
            assert_eq!(other.evidence(now, REQUEST), expected.evidence(now, REQUEST));
            assert_eq!(decision_name(other.check(now, REQUEST)), decision_name(expected.check(now, REQUEST)));
        }
    });
}

/// Sends one request through `via` and its arbiter. Returns whether it ran.
fn send(daemons: &mut [Quarantine], now: Timestamp, via: usize, f: Fingerprint, crashes: bool) -> bool {
    let (runner, snapshot) = match daemons[via].check(now, f) {
        QuarantineDecision::Refused { .. } => return false,
        QuarantineDecision::Clear => (via, daemons[via].snapshot(now, f)),
        QuarantineDecision::RunAlone { arbiter } => {
            let arbiter = arbiter.0 as usize;
            let evidence = daemons[via].evidence(now, f).unwrap();
            daemons[arbiter].merge(now, &evidence);
            let Some(snapshot) = daemons[arbiter].start_alone(now, f) else {
                return false;
            };
            assert_eq!(daemons[arbiter].start_alone(now, f), None, "a second copy waits");
            (arbiter, snapshot)
        }
    };
    let evidence = if crashes {
        Some(daemons[runner].on_crash(now, f))
    } else {
        daemons[runner].on_success(now, &snapshot)
    };
    daemons[runner].finish_alone(f);
    for (at, daemon) in daemons.iter_mut().enumerate() {
        evidence.iter().filter(|_| at != runner).for_each(|evidence| daemon.merge(now, evidence));
    }
    true
}

/// Guards against more crashes than [`CRASH_LIMIT`] through any sequence of daemons, against more than one further
/// crash after each refusal, and against the refusal of a harmless request that ran on the same backend servers.
#[test]
fn a_request_that_always_crashes_is_refused_after_the_limit() {
    check_property(4, proptest::collection::vec(0..5usize, 8..30), |route| {
        let mut daemons = daemons(5);
        let (crashing, harmless) = (Fingerprint(1), Fingerprint(2));
        for round in 0..3 {
            let now = Timestamp::ZERO + REFUSAL_PERIOD * round;
            let mut crashes = 0;
            for &via in &route {
                if send(&mut daemons, now, via, crashing, true) {
                    crashes += 1;
                    daemons[via].on_crash(now, harmless);
                }
                assert!(send(&mut daemons, now, via, harmless, false), "a harmless request runs");
            }
            assert_eq!(crashes, if round == 0 { CRASH_LIMIT } else { 1 });
        }
    });
}

/// Guards against unbounded memory, against evicting a refused request before evidence with fewer crashes, and against
/// evicting newer evidence before older evidence with as many crashes.
#[test]
fn evidence_with_the_fewest_and_oldest_crashes_is_evicted_first() {
    let mut daemon = Quarantine::with_max_fingerprints(incarnation(1), 3);
    let at = Timestamp::from_millis;
    let refused = Fingerprint(0);
    (0..3).for_each(|_| drop(daemon.on_crash(at(0), refused)));
    for n in 1..=10 {
        daemon.on_crash(at(n), Fingerprint(n));
    }
    let kinds = [0, 8, 9, 10].map(|n| decision_name(daemon.check(at(11), Fingerprint(n))));
    assert_eq!(kinds, ["refused", "clear", "alone", "alone"]);
    assert_eq!(daemon.fingerprint_count(), 3);
    // Evidence that its reporter has evicted still counts at the daemons that received it.
    let (mut without_room, mut other) =
        (Quarantine::with_max_fingerprints(incarnation(2), 0), Quarantine::new(incarnation(3)));
    for expected in ["alone", "alone", "refused", "refused"] {
        other.merge(at(11), &without_room.on_crash(at(11), refused));
        assert_eq!(decision_name(other.check(at(11), refused)), expected);
    }
    assert_eq!(without_room.fingerprint_count(), 0);
}
