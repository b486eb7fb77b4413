//! P1 and P2: the cap on shifts between regions holds, and no routing decision overloads a backend server or a region.

mod support;

use medlarstair_state::id::Rank;
use medlarstair_state::node::Idempotency;
use proptest::prelude::*;
use rand::RngExt;
use support::faults::{Schedule, any_fault, config, measurement_fault, process_fault, schedules};
use support::*;

/// Runs a schedule with a flood of requests at one region and light load everywhere else. The flooded region and daemon
/// change over time, so that loans move between daemons.
fn run_flood(schedule: &Schedule) -> Simulation {
    let mut sim = schedule.simulation();
    let start = sim.now;
    let nodes = sim.daemons.len();
    for i in 0..1_600_u64 {
        let at = start + i * 5 * MS;
        sim.run_until(at);
        let region = (i / 400) as usize % 3;
        let node = if sim.rng.random_range(0..10) < 8 {
            let of_region = (0..nodes).filter(|n| region_of(*n) == region).collect::<Vec<_>>();
            of_region[(i / 100) as usize % of_region.len()]
        } else {
            sim.rng.random_range(0..nodes)
        };
        let run = sim.rng.random_range(20..150) * MS;
        let rank = Rank::ALL[sim.rng.random_range(0..3)];
        let op = sim.add_op(rank, Idempotency::Repeatable, run);
        sim.send_at(at, node, op);
    }
    sim.run_until(start + 12 * SEC);
    sim.check_answers();
    sim
}

fn process_or_measurement(nodes: usize) -> BoxedStrategy<faults::Fault> {
    prop_oneof![process_fault(nodes), measurement_fault()].boxed()
}

/// Schedules with restarts that take less time than the term of a loan.
fn quick_restarts() -> BoxedStrategy<Schedule> {
    let kill = |nodes| (0..nodes).prop_map(faults::Fault::Kill).boxed();
    let shorten = |mut schedule: Schedule| {
        for timed in &mut schedule.faults {
            timed.duration = 50 * MS + timed.duration % (300 * MS);
        }
        schedule
    };
    schedules(3..8, kill, true).prop_map(shorten).boxed()
}

proptest! {
    #![proptest_config(config(40))]

    #[test]
    fn shifts_stay_under_the_cap_with_one_fault(schedule in schedules(3..8, any_fault, false)) {
        run_flood(&schedule).assert_no_violations(&["P1"]);
    }

    #[test]
    fn shifts_stay_under_the_cap_with_two_faults(schedule in schedules(3..8, process_fault, true)) {
        run_flood(&schedule).assert_no_violations(&["P1"]);
    }

    #[test]
    fn slots_are_not_exceeded_with_one_fault(schedule in schedules(3..8, any_fault, false)) {
        run_flood(&schedule).assert_no_violations(&["P2 slots", "P4"]);
    }

    #[test]
    fn slots_are_not_exceeded_with_two_faults(schedule in schedules(3..8, process_or_measurement, true)) {
        run_flood(&schedule).assert_no_violations(&["P2 slots", "P4"]);
    }

    /// Guards against a lender that loses track of its loans in a restart.
    #[test]
    fn slots_are_not_exceeded_when_lenders_restart(schedule in quick_restarts()) {
        run_flood(&schedule).assert_no_violations(&["P1", "P2 slots"]);
    }

    #[test]
    fn regions_stay_below_their_limit_with_two_faults(
        schedule in schedules(3..8, process_or_measurement, true)
    ) {
        run_flood(&schedule).assert_no_violations(&["P2 region"]);
    }
}
