//! P9: a request that crashes every server that runs it stops after three crashes, and innocent requests go on.

mod support;

use medlarstair_state::id::Rank;
use medlarstair_state::node::{Idempotency, Reason};
use proptest::prelude::*;
use proptest::sample::select;
use rand::RngExt;
use support::faults::{Fault, Schedule, config, schedules, store_fault};
use support::*;

const CRASHING: u64 = 1;
const CRASH_LIMIT: usize = 3;

/// Time in which datagrams that get lost are sent again.
const REPEATS: Micros = SEC;

/// A caller resends a crashing request after each answer through any daemon, while others send innocent requests,
/// some of them the same one again and again.
fn crashes(schedule: &Schedule) -> World {
    let mut world = schedule.world();
    let start = world.now;
    let nodes = world.daemons.len();
    let mut crashing = None::<usize>;
    for i in 0..400_u64 {
        let at = start + i * 25 * MS;
        world.run_until(at);
        let node = world.rng.random_range(0..nodes);
        let op = world.op(Rank::ALL[i as usize % 3], Idempotency::Repeatable, 30 * MS);
        if i % 2 == 0 {
            world.ops[op].fingerprint = 100 + i / 2 % 2;
        }
        world.send_at(at, node, op);
        let answered = crashing.is_none_or(|sent| world.sends[sent].answer.is_some());
        if i % 8 == 0 && answered {
            let node = world.rng.random_range(0..nodes);
            let kind = if i % 16 == 0 { Idempotency::Repeatable } else { world.token(node, i as usize) };
            let op = world.op(Rank::Urgent, kind, 30 * MS);
            world.ops[op].fingerprint = CRASHING;
            world.ops[op].crashes = true;
            crashing = Some(world.send_at(at, node, op));
        }
    }
    world.run_until(start + 14 * SEC);
    world.check_answers();
    world
}

/// `spread` is the time in which the first evidence reaches the daemons. The limit counts crashes after that.
fn check(world: &World, spread: Micros) {
    let crashes = world.crashes.get(&CRASHING).map(Vec::as_slice).unwrap_or_default();
    let counted = crashes.iter().filter(|at| spread == 0 || **at > crashes[0] + spread).count();
    assert!(counted <= CRASH_LIMIT, "{counted} of {crashes:?}");
    for sent in &world.sends {
        let Some((at, Answer::Refused(refusal))) = &sent.answer else {
            continue;
        };
        let innocent = !world.ops[sent.op].crashes;
        assert!(
            !innocent || refusal.reason != Reason::Quarantined,
            "an innocent request is refused as quarantined at {} ms",
            at / MS
        );
    }
    world.assert_holds(&["P3", "P4", "P5", "P2 slots"]);
}

fn no_fault(_: usize) -> BoxedStrategy<Fault> {
    Just(Fault::Loss(0)).boxed()
}

fn pause(nodes: usize) -> BoxedStrategy<Fault> {
    prop_oneof![(0..nodes).prop_map(Fault::Pause), store_fault()].boxed()
}

/// Faults that leave the daemons connected: each side of a partition may add its own crashes.
fn fault(nodes: usize) -> BoxedStrategy<Fault> {
    prop_oneof![(0..nodes).prop_map(Fault::Pause), select(vec![5, 20]).prop_map(Fault::Loss), store_fault(),]
        .boxed()
}

proptest! {
    #![proptest_config(config(25))]

    #[test]
    fn a_crashing_request_stops_after_three_crashes(schedule in schedules(3..8, no_fault, false)) {
        check(&crashes(&schedule), 0);
    }

    #[test]
    fn a_crashing_request_stops_when_daemons_pause(schedule in schedules(3..8, pause, true)) {
        check(&crashes(&schedule), 0);
    }

    #[test]
    fn a_crashing_request_stops_with_one_fault(schedule in schedules(3..8, fault, false)) {
        check(&crashes(&schedule), REPEATS);
    }

    #[test]
    fn a_crashing_request_stops_with_two_faults(schedule in schedules(3..8, fault, true)) {
        check(&crashes(&schedule), REPEATS);
    }
}
