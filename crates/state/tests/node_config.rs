//! P8: an accepted change is in force within 4 s on every daemon that can be reached, and is never reverted.

mod support;

use medlarstair_state::model::{ConfigValue, DrainScope};
use proptest::prelude::*;
use rand::RngExt;
use support::faults::{Fault, Schedule, any_fault, config, process_fault, schedules, store_fault};
use support::*;

/// Changes of a contract by competing writers, and drains that come and go.
fn changes(schedule: &Schedule) -> World {
    let mut world = schedule.world();
    let start = world.now;
    for i in 0..80_u32 {
        world.run_until(start + u64::from(i) * 100 * MS);
        if world.rng.random_range(0..100) < 40 {
            continue;
        }
        let server = world.rng.random_range(0..6);
        let drain = DrainScope::Backend(world.servers[server].spec.name.clone());
        let key = format!("config/drain/backend/s{server}");
        match i % 3 {
            0 => world.write(&format!("config/contract/{CUSTOMER}"), Some(contract(10 + i, "change"))),
            1 => world.write(&key, Some(ConfigValue::Drain(drain))),
            _ => world.write(&key, None),
        };
        if i % 20 == 0 {
            world.keep_stale();
        }
    }
    world.run_until(start + 20 * SEC);
    world
}

fn process_or_store(nodes: usize) -> BoxedStrategy<Fault> {
    let domain = (0..nodes.min(6)).prop_map(Fault::KillDomain);
    prop_oneof![process_fault(nodes), store_fault(), domain].boxed()
}

/// One domain cannot reach the service for 15 s and learns of changes from other domains only.
fn cut_off(nodes: usize) -> BoxedStrategy<Fault> {
    (0..nodes.min(6)).prop_map(|domain| Fault::Cut(domain, STORE)).boxed()
}

fn for_15_s(mut schedule: Schedule) -> Schedule {
    for timed in &mut schedule.faults {
        timed.lasts = 15 * SEC;
    }
    schedule
}

fn check(world: &World) {
    assert!(world.checks.in_force_checks > 0, "no daemon had anything to learn");
    world.assert_holds(&["P8"]);
}

proptest! {
    #![proptest_config(config(30))]

    #[test]
    fn changes_are_in_force_in_time_with_one_fault(schedule in schedules(3..8, any_fault, false)) {
        check(&changes(&schedule));
    }

    #[test]
    fn changes_are_in_force_in_time_with_two_faults(schedule in schedules(3..8, process_or_store, true)) {
        check(&changes(&schedule));
    }

    #[test]
    fn changes_reach_domains_without_the_service(
        schedule in schedules(3..8, cut_off, true).prop_map(for_15_s)
    ) {
        check(&changes(&schedule));
    }
}
