//! P9: a request that crashes every backend server is refused after three crashes, and other requests are not affected.

mod support;

use medlarstair_state::id::Rank;
use medlarstair_state::node::{Idempotency, Reason};
use proptest::prelude::*;
use proptest::sample::select;
use rand::RngExt;
use support::faults::{Fault, Schedule, config, schedules, store_fault};
use support::*;

/// Fingerprint of the request that crashes every backend server.
const CRASHING_FINGERPRINT: u64 = 1;
const CRASH_LIMIT: usize = 3;

/// Duration for which a daemon resends crash evidence, since datagrams can be lost.
const EVIDENCE_RESEND_TIME: Micros = SEC;

/// Runs a schedule in which one caller resends a crashing request through random daemons after each answer, while
/// others send harmless requests, some of them repeatedly with the same content.
fn run_crashing_load(schedule: &Schedule) -> Simulation {
    let mut sim = schedule.simulation();
    let start = sim.now;
    let nodes = sim.daemons.len();
    let mut crashing = None::<usize>;
    for i in 0..400_u64 {
        let at = start + i * 25 * MS;
        sim.run_until(at);
        let node = sim.rng.random_range(0..nodes);
        let op = sim.add_op(Rank::ALL[i as usize % 3], Idempotency::Repeatable, 30 * MS);
        if i % 2 == 0 {
            sim.ops[op].fingerprint = 100 + i / 2 % 2;
        }
        sim.send_at(at, node, op);
        let answered = crashing.is_none_or(|sent| sim.sends[sent].answer.is_some());
        if i % 8 == 0 && answered {
            let node = sim.rng.random_range(0..nodes);
            let kind = if i % 16 == 0 { Idempotency::Repeatable } else { sim.token(node, i as usize) };
            let op = sim.add_op(Rank::Urgent, kind, 30 * MS);
            sim.ops[op].fingerprint = CRASHING_FINGERPRINT;
            sim.ops[op].crashes = true;
            crashing = Some(sim.send_at(at, node, op));
        }
    }
    sim.run_until(start + 14 * SEC);
    sim.check_answers();
    sim
}

/// Checks the number of crashes and that no harmless request was quarantined. `spread` is the propagation time that is
/// allowed for the first evidence; crashes within it do not count.
fn check(sim: &Simulation, spread: Micros) {
    let crashes = sim.crashes.get(&CRASHING_FINGERPRINT).map(Vec::as_slice).unwrap_or_default();
    let counted = crashes.iter().filter(|at| spread == 0 || **at > crashes[0] + spread).count();
    assert!(counted <= CRASH_LIMIT, "{counted} of {crashes:?}");
    for sent in &sim.sends {
        let Some((at, Answer::Refused(refusal))) = &sent.answer else {
            continue;
        };
        let harmless = !sim.ops[sent.op].crashes;
        assert!(
            !harmless || refusal.reason != Reason::Quarantined,
            "a harmless request is refused as quarantined at {} ms",
            at / MS
        );
    }
    sim.assert_no_violations(&["P3", "P4", "P5", "P2 slots"]);
}

fn no_fault(_: usize) -> BoxedStrategy<Fault> {
    Just(Fault::Loss(0)).boxed()
}

fn pause_or_store_fault(nodes: usize) -> BoxedStrategy<Fault> {
    prop_oneof![(0..nodes).prop_map(Fault::Pause), store_fault()].boxed()
}

/// Faults without a partition: each side of a partition may add its own crashes.
fn connected_fault(nodes: usize) -> BoxedStrategy<Fault> {
    prop_oneof![(0..nodes).prop_map(Fault::Pause), select(vec![5, 20]).prop_map(Fault::Loss), store_fault(),]
        .boxed()
}

proptest! {
    #![proptest_config(config(25))]

    /// Guards against a crashing request that is run again through other daemons, without faults.
    #[test]
    fn a_crashing_request_stops_after_three_crashes(schedule in schedules(3..8, no_fault, false)) {
        check(&run_crashing_load(&schedule), 0);
    }

    /// Guards against more than three crashes when daemons pause or the key-value service fails, which loses no
    /// evidence.
    #[test]
    fn a_crashing_request_stops_when_daemons_pause(schedule in schedules(3..8, pause_or_store_fault, true)) {
        check(&run_crashing_load(&schedule), 0);
    }

    /// Guards against a crashing request that is run again because its crash evidence is delayed or lost.
    #[test]
    fn a_crashing_request_stops_with_one_fault(schedule in schedules(3..8, connected_fault, false)) {
        check(&run_crashing_load(&schedule), EVIDENCE_RESEND_TIME);
    }

    /// Guards against a crashing request that is run again under two faults that delay or lose its crash evidence.
    #[test]
    fn a_crashing_request_stops_with_two_faults(schedule in schedules(3..8, connected_fault, true)) {
        check(&run_crashing_load(&schedule), EVIDENCE_RESEND_TIME);
    }
}
