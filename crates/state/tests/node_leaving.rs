//! P6: a leaving backend server gets no new work from 2 s after the first source that reports it as leaving.

mod support;

use medlarstair_state::id::Rank;
use medlarstair_state::model::{ConfigValue, DrainScope};
use medlarstair_state::node::Idempotency;
use proptest::prelude::*;
use proptest::sample::select;
use rand::RngExt;
use support::faults::{Fault, Schedule, config, schedules};
use support::*;

/// The only source that reports a backend server as leaving. The others report it as staying.
#[derive(Debug, Clone, Copy)]
enum Source {
    Drain,
    Report,
    VmList,
}

/// Runs a schedule with load on all daemons, in which three backend servers leave one after the other.
fn run_with_leaving_servers(schedule: &Schedule, source: Source) -> Simulation {
    let mut sim = schedule.simulation();
    let start = sim.now;
    let nodes = sim.daemons.len();
    for i in 0..800_u64 {
        let at = start + i * 10 * MS;
        sim.run_until(at);
        let run = sim.rng.random_range(20..120) * MS;
        let op = sim.add_op(Rank::ALL[i as usize % 3], Idempotency::Repeatable, run);
        let node = sim.rng.random_range(0..nodes);
        sim.send_at(at, node, op);
        if i % 100 == 50 && i < 300 {
            mark_leaving(&mut sim, i as usize / 100, source);
        }
    }
    sim.run_until(start + 12 * SEC);
    sim.check_answers();
    sim
}

fn mark_leaving(sim: &mut Simulation, server: usize, source: Source) {
    let name = sim.servers[server].spec.name.clone();
    sim.servers[server].leaving_since = Some(sim.now);
    match source {
        Source::Drain => {
            let drain = ConfigValue::Drain(DrainScope::Backend(name.clone()));
            assert!(sim.write(&format!("config/drain/backend/{name}"), Some(drain)));
        }
        Source::Report => sim.servers[server].draining = true,
        Source::VmList => {
            sim.leaving_vms.insert(name);
            sim.servers[server].misreported_use = Some(0);
        }
    }
}

/// Faults under which the daemons still receive the source.
fn source_preserving_fault(nodes: usize) -> BoxedStrategy<Fault> {
    prop_oneof![
        (0..nodes).prop_map(Fault::Kill),
        (0..nodes).prop_map(Fault::Pause),
        select(vec![5, 20]).prop_map(Fault::Loss),
        (0..6_usize, 0..4_u32).prop_map(|(server, used)| Fault::MisreportedUse(server, used)),
        (0..6_usize).prop_map(Fault::ServerDown),
    ]
    .boxed()
}

fn sources() -> BoxedStrategy<Source> {
    select(vec![Source::Drain, Source::Report, Source::VmList]).boxed()
}

proptest! {
    #![proptest_config(config(25))]

    #[test]
    fn leaving_servers_get_no_work_with_one_fault(
        schedule in schedules(3..8, source_preserving_fault, false),
        source in sources(),
    ) {
        run_with_leaving_servers(&schedule, source).assert_no_violations(&["P6", "P4"]);
    }

    #[test]
    fn leaving_servers_get_no_work_with_two_faults(
        schedule in schedules(3..8, source_preserving_fault, true),
        source in sources(),
    ) {
        run_with_leaving_servers(&schedule, source).assert_no_violations(&["P6", "P4"]);
    }
}
