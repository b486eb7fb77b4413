//! P8: an accepted configuration change takes effect within 4 s on every reachable daemon and is never reverted.

mod support;

use medlarstair_state::model::{ConfigValue, DrainScope};
use proptest::prelude::*;
use rand::RngExt;
use support::faults::{Fault, Schedule, any_fault, config, process_fault, schedules, store_fault};
use support::*;

/// Runs a schedule in which several writers change a contract, and drains are set and removed.
fn run_changes(schedule: &Schedule) -> Simulation {
    let mut sim = schedule.simulation();
    let start = sim.now;
    for i in 0..80_u32 {
        sim.run_until(start + u64::from(i) * 100 * MS);
        if sim.rng.random_range(0..100) < 40 {
            continue;
        }
        let server = sim.rng.random_range(0..6);
        let drain = DrainScope::Backend(sim.servers[server].spec.name.clone());
        let key = format!("config/drain/backend/s{server}");
        match i % 3 {
            0 => sim.write(&format!("config/contract/{CUSTOMER}"), Some(contract(10 + i, "change"))),
            1 => sim.write(&key, Some(ConfigValue::Drain(drain))),
            _ => sim.write(&key, None),
        };
        if i % 20 == 0 {
            sim.save_stale_entries();
        }
    }
    sim.run_until(start + 20 * SEC);
    sim
}

fn process_or_store(nodes: usize) -> BoxedStrategy<Fault> {
    let domain = (0..nodes.min(6)).prop_map(Fault::KillDomain);
    prop_oneof![process_fault(nodes), store_fault(), domain].boxed()
}

/// Cuts one failure domain off from the key-value service, so that it learns of changes only from other domains.
fn cut_off_from_store(nodes: usize) -> BoxedStrategy<Fault> {
    (0..nodes.min(6)).prop_map(|domain| Fault::Cut(domain, STORE)).boxed()
}

/// Makes every fault of the schedule last 15 s.
fn for_15_s(mut schedule: Schedule) -> Schedule {
    for timed in &mut schedule.faults {
        timed.duration = 15 * SEC;
    }
    schedule
}

fn check(sim: &Simulation) {
    assert!(sim.checks.in_force_checks > 0, "no daemon had a change to apply");
    sim.assert_no_violations(&["P8"]);
}

proptest! {
    #![proptest_config(config(30))]

    #[test]
    fn changes_are_in_force_in_time_with_one_fault(schedule in schedules(3..8, any_fault, false)) {
        check(&run_changes(&schedule));
    }

    #[test]
    fn changes_are_in_force_in_time_with_two_faults(schedule in schedules(3..8, process_or_store, true)) {
        check(&run_changes(&schedule));
    }

    #[test]
    fn changes_reach_domains_without_the_service(
        schedule in schedules(3..8, cut_off_from_store, true).prop_map(for_15_s)
    ) {
        check(&run_changes(&schedule));
    }
}
