//! P4 and P5: a request reported as not run has not run, and an operation runs at most once under any fault.

mod support;

use medlarstair_state::id::Rank;
use proptest::prelude::*;
use rand::RngExt;
use support::faults::{Schedule, any_fault, config, process_fault, schedules, store_fault};
use support::*;

/// Runs a schedule with operations sent to random daemons. Each is resent twice through random daemons: once soon
/// after, while the first attempt may still run, and once later.
fn run_resent_operations(schedule: &Schedule) -> Simulation {
    let mut sim = schedule.simulation();
    let start = sim.now;
    for i in 0..150 {
        let at = start + i as u64 * 50 * MS;
        sim.run_until(at);
        let (first, second, third) =
            (random_daemon(&mut sim), random_daemon(&mut sim), random_daemon(&mut sim));
        let kind = match i % 3 {
            0 => sim.key(i),
            // Half of the tokens are owned by the daemon that the operation is first sent to, half by another one.
            1 => sim.token(first, i),
            _ => sim.token(second, i),
        };
        let run = sim.rng.random_range(5..400) * MS;
        let op = sim.add_op(Rank::ALL[i % 3], kind, run);
        let (soon, later) = (sim.rng.random_range(0..500) * MS, sim.rng.random_range(SEC..6 * SEC));
        sim.send_at(at, first, op);
        sim.send_at(at + soon, second, op);
        sim.send_at(at + later, third, op);
    }
    sim.run_until(start + 30 * SEC);
    sim.check_answers();
    sim
}

fn random_daemon(sim: &mut Simulation) -> usize {
    let nodes = sim.daemons.len();
    sim.rng.random_range(0..nodes)
}

fn process_or_store(nodes: usize) -> BoxedStrategy<faults::Fault> {
    prop_oneof![process_fault(nodes), store_fault()].boxed()
}

proptest! {
    #![proptest_config(config(25))]

    #[test]
    fn an_operation_runs_once_with_one_fault(schedule in schedules(3..8, any_fault, false)) {
        let sim = run_resent_operations(&schedule);
        sim.assert_no_violations(&["P3", "P4", "P5", "P2 slots"]);
    }

    #[test]
    fn an_operation_runs_once_with_two_faults(schedule in schedules(3..8, any_fault, true)) {
        let sim = run_resent_operations(&schedule);
        sim.assert_no_violations(&["P3", "P4", "P5", "P2 slots"]);
    }

    #[test]
    fn an_operation_runs_once_when_owners_and_claims_fail(
        schedule in schedules(3..8, process_or_store, true)
    ) {
        let sim = run_resent_operations(&schedule);
        sim.assert_no_violations(&["P3", "P4", "P5", "P2 slots"]);
    }
}
