//! P7: a planned stop completes and interrupts no request, not even those of callers with cached lookups.

mod support;

use medlarstair_state::id::Rank;
use medlarstair_state::node::{Idempotency, Outcome, Reason};
use medlarstair_state::operation::Token;
use proptest::prelude::*;
use proptest::sample::select;
use rand::RngExt;
use support::faults::{Fault, Schedule, config, schedules, store_fault};
use support::*;

/// Time for which callers cache a lookup.
const LOOKUP_TTL: Micros = 5 * SEC;

/// Longest duration of a planned stop: serving callers with cached lookups, the longest run, the attempts at a handover
/// and a margin.
const MAX_STOP_TIME: Micros = 6 * SEC + 10 * SEC + 5 * SEC + SEC;

/// Time from which operations are resent, after the load and the stop have ended.
const RESEND_START: Micros = 40 * SEC;

#[derive(Debug, Clone, Default)]
struct CachedLookup {
    until: Micros,
    nodes: Vec<usize>,
    prefixes: Vec<Box<str>>,
}

/// Runs a schedule in which callers use cached lookups until these expire, while daemon 0 performs a planned stop.
/// Operations are resent through other daemons after the stop.
fn run_planned_stop(schedule: &Schedule) -> Simulation {
    let mut sim = schedule.simulation();
    let start = sim.now;
    let mut cached = vec![CachedLookup::default(); 8];
    let mut operations = Vec::new();
    for i in 0..600_usize {
        let at = start + i as u64 * 20 * MS;
        sim.run_until(at);
        if i == 100 {
            sim.stop(0);
        }
        let caller = i % cached.len();
        refresh_lookup(&mut sim, &mut cached[caller]);
        let lookup = &cached[caller];
        let entry = sim.rng.random_range(0..lookup.nodes.len());
        let node = lookup.nodes[entry];
        let is_operation = i % 2 == 0;
        let kind = match is_operation {
            true => Idempotency::Token(format!("{}{i}", lookup.prefixes[entry]).parse::<Token>().unwrap()),
            false => Idempotency::Repeatable,
        };
        let run = sim.rng.random_range(10..600) * MS;
        let op = sim.add_op(Rank::ALL[i % 3], kind, run);
        let sent = sim.send_at(at, node, op);
        if is_operation && node == 0 {
            operations.push(sent);
        }
    }
    sim.run_until(RESEND_START);
    operations.retain(|sent| matches!(sim.sends[*sent].answer, Some((_, Answer::Ran(_)))));
    for sent in operations {
        let op = sim.sends[sent].op;
        let node = sim.rng.random_range(1..sim.daemons.len());
        let at = sim.now + sim.rng.random_range(0..2_000) * MS;
        sim.send_at(at, node, op);
    }
    sim.run_until(start + 32 * SEC);
    sim.check_answers();
    sim
}

fn refresh_lookup(sim: &mut Simulation, cached: &mut CachedLookup) {
    if sim.now < cached.until {
        return;
    }
    let up = |n: &usize| sim.daemons[*n].node.is_some() && !sim.daemons[*n].paused;
    let live = (0..sim.daemons.len()).filter(up).collect::<Vec<_>>();
    let node = live[sim.rng.random_range(0..live.len())];
    let view = sim.daemons[node].node.as_ref().unwrap().view(sim.clock(node));
    // A daemon without a configuration answers no lookup, so the caller uses another one.
    if view.lookup_entries.is_empty() {
        return;
    }
    cached.until = sim.now + LOOKUP_TTL;
    cached.nodes = view.lookup_entries.iter().map(|e| e.node.0 as usize).collect();
    cached.prefixes = view.lookup_entries.iter().map(|e| e.token_prefix.clone()).collect();
}

fn check(sim: &Simulation, resends_are_answered: bool) {
    let stopping = &sim.daemons[0];
    let (began, ended) = (stopping.stop_at.unwrap(), stopping.exited_at);
    let ended = ended.expect("the planned stop does not complete");
    assert!(ended <= began + MAX_STOP_TIME, "the stop took {} ms", (ended - began) / MS);
    for (index, sent) in sim.sends.iter().enumerate().filter(|(_, s)| s.node == 0) {
        let (_, answer) = sent.answer.as_ref().unwrap_or_else(|| panic!("request {index} has no answer"));
        let interrupted = match answer {
            Answer::Ran(_) => false,
            Answer::ConnectionFailed => true,
            Answer::Refused(refusal) => refusal.reason == Reason::Stopping,
        };
        assert!(!interrupted, "request {index} sent at {} ms gets {answer:?}", sent.at / MS);
    }
    for sent in sim.sends.iter().filter(|s| resends_are_answered && s.at >= RESEND_START) {
        let answer = sent.answer.as_ref().map(|(_, answer)| answer);
        let lost = matches!(answer, Some(Answer::Refused(r)) if r.outcome == Outcome::Unknown);
        assert!(!lost, "an operation resent at {} ms gets {answer:?}", sent.at / MS);
    }
    sim.assert_no_violations(&["P3", "P4", "P5", "P7", "P2 slots"]);
}

fn no_fault(_: usize) -> BoxedStrategy<Fault> {
    Just(Fault::Loss(0)).boxed()
}

/// Faults that do not affect the stopping daemon.
fn fault_elsewhere(nodes: usize) -> BoxedStrategy<Fault> {
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
        check(&run_planned_stop(&schedule), true);
    }

    #[test]
    fn a_planned_stop_interrupts_nothing_with_one_fault(schedule in schedules(3..8, fault_elsewhere, false)) {
        check(&run_planned_stop(&schedule), false);
    }

    #[test]
    fn a_planned_stop_interrupts_nothing_with_two_faults(schedule in schedules(3..8, fault_elsewhere, true)) {
        check(&run_planned_stop(&schedule), false);
    }
}
