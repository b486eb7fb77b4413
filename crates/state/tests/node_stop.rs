//! P7: a planned stop interrupts no request, also not of callers with cached lookups, and ends.

mod support;

use medlarstair_state::id::Rank;
use medlarstair_state::node::{Idempotency, Outcome, Reason};
use medlarstair_state::operation::Token;
use proptest::prelude::*;
use proptest::sample::select;
use rand::RngExt;
use support::faults::{Fault, Schedule, config, schedules, store_fault};
use support::*;

/// Time for which callers keep a lookup.
const TTL: Micros = 5 * SEC;

/// Serving callers with cached lookups, the longest run and the attempts at a handover.
const STOP_MAX: Micros = 6 * SEC + 10 * SEC + 5 * SEC + SEC;

/// Time of the resends, after the load and the stop.
const RESEND_AT: Micros = 40 * SEC;

#[derive(Debug, Clone, Default)]
struct Cached {
    until: Micros,
    nodes: Vec<usize>,
    prefixes: Vec<Box<str>>,
}

/// Callers that use their lookups until these end, while daemon 0 stops as planned. Operations are resent through
/// other daemons after the stop.
fn stop(schedule: &Schedule) -> World {
    let mut world = schedule.world();
    let start = world.now;
    let mut cached = vec![Cached::default(); 8];
    let mut operations = Vec::new();
    for i in 0..600_usize {
        let at = start + i as u64 * 20 * MS;
        world.run_until(at);
        if i == 100 {
            world.stop(0);
        }
        let caller = i % cached.len();
        refresh(&mut world, &mut cached[caller]);
        let lookup = &cached[caller];
        let entry = world.rng.random_range(0..lookup.nodes.len());
        let node = lookup.nodes[entry];
        let is_operation = i % 2 == 0;
        let kind = match is_operation {
            true => Idempotency::Token(format!("{}{i}", lookup.prefixes[entry]).parse::<Token>().unwrap()),
            false => Idempotency::Repeatable,
        };
        let run = world.rng.random_range(10..600) * MS;
        let op = world.op(Rank::ALL[i % 3], kind, run);
        let sent = world.send_at(at, node, op);
        if is_operation && node == 0 {
            operations.push(sent);
        }
    }
    world.run_until(RESEND_AT);
    operations.retain(|sent| matches!(world.sends[*sent].answer, Some((_, Answer::Ran(_)))));
    for sent in operations {
        let op = world.sends[sent].op;
        let node = world.rng.random_range(1..world.daemons.len());
        let at = world.now + world.rng.random_range(0..2_000) * MS;
        world.send_at(at, node, op);
    }
    world.run_until(start + 32 * SEC);
    world.check_answers();
    world
}

fn refresh(world: &mut World, cached: &mut Cached) {
    if world.now < cached.until {
        return;
    }
    let up = |n: &usize| world.daemons[*n].node.is_some() && !world.daemons[*n].paused;
    let live = (0..world.daemons.len()).filter(up).collect::<Vec<_>>();
    let node = live[world.rng.random_range(0..live.len())];
    let view = world.daemons[node].node.as_ref().unwrap().view(world.clock(node));
    // A daemon without its configuration answers no lookup, and the caller goes elsewhere.
    if view.lookup_entries.is_empty() {
        return;
    }
    cached.until = world.now + TTL;
    cached.nodes = view.lookup_entries.iter().map(|e| e.node.0 as usize).collect();
    cached.prefixes = view.lookup_entries.iter().map(|e| e.token_prefix.clone()).collect();
}

fn check(world: &World, resends_are_answered: bool) {
    let stopping = &world.daemons[0];
    let (began, ended) = (stopping.stop_at.unwrap(), stopping.exited_at);
    let ended = ended.expect("the stop does not end");
    assert!(ended <= began + STOP_MAX, "the stop took {} ms", (ended - began) / MS);
    for (index, sent) in world.sends.iter().enumerate().filter(|(_, s)| s.node == 0) {
        let (_, answer) = sent.answer.as_ref().unwrap_or_else(|| panic!("request {index} has no answer"));
        let interrupted = match answer {
            Answer::Ran(_) => false,
            Answer::Lost => true,
            Answer::Refused(refusal) => refusal.reason == Reason::Stopping,
        };
        assert!(!interrupted, "request {index} sent at {} ms gets {answer:?}", sent.at / MS);
    }
    for sent in world.sends.iter().filter(|s| resends_are_answered && s.at >= RESEND_AT) {
        let answer = sent.answer.as_ref().map(|(_, answer)| answer);
        let lost = matches!(answer, Some(Answer::Refused(r)) if r.outcome == Outcome::Unknown);
        assert!(!lost, "an operation sent again at {} ms gets {answer:?}", sent.at / MS);
    }
    world.assert_holds(&["P3", "P4", "P5", "P7", "P2 slots"]);
}

fn no_fault(_: usize) -> BoxedStrategy<Fault> {
    Just(Fault::Loss(0)).boxed()
}

/// Faults of others than the stopping daemon.
fn fault(nodes: usize) -> BoxedStrategy<Fault> {
    prop_oneof![
        (1..nodes).prop_map(Fault::Pause),
        (1..nodes).prop_map(Fault::Kill),
        select(vec![5, 20]).prop_map(Fault::Loss),
        store_fault(),
        (0..6_usize).prop_map(Fault::Shed),
    ]
    .boxed()
}

proptest! {
    #![proptest_config(config(25))]

    #[test]
    fn a_planned_stop_interrupts_nothing(schedule in schedules(3..8, no_fault, false)) {
        check(&stop(&schedule), true);
    }

    #[test]
    fn a_planned_stop_interrupts_nothing_with_one_fault(schedule in schedules(3..8, fault, false)) {
        check(&stop(&schedule), false);
    }

    #[test]
    fn a_planned_stop_interrupts_nothing_with_two_faults(schedule in schedules(3..8, fault, true)) {
        check(&stop(&schedule), false);
    }
}
