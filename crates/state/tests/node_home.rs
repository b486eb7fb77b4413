//! Requests stay in their region while it has free slots, and every daemon serves again after faults.

mod support;

use medlarstair_state::id::Rank;
use medlarstair_state::node::Idempotency;
use proptest::prelude::*;
use support::faults::{Schedule, any_fault, config, schedules};
use support::*;

/// Guards against cold backend servers that get no work from a daemon with several of their slots. Slow start was
/// counted as running work, so that every request left the region or waited.
#[test]
fn a_daemon_starts_work_on_its_own_cold_servers() {
    for nodes in 3..=7 {
        let mut world = World::new(1, nodes);
        let start = world.now;
        for i in 0..60 {
            let op = world.op(Rank::Urgent, Idempotency::Repeatable, 50 * MS);
            world.send_at(start + i as u64 * 20 * MS, i % nodes, op);
        }
        world.run_until(start + 3 * SEC);
        assert_eq!(world.ran(), 60, "{nodes} daemons");
        assert_eq!(world.checks.cross_starts, 0, "{nodes} daemons");
    }
}

fn check_recovery(schedule: &Schedule) {
    let mut world = schedule.world();
    let start = world.now;
    let nodes = world.daemons.len();
    for i in 0..300_u64 {
        let op = world.op(Rank::ALL[i as usize % 3], Idempotency::Repeatable, 50 * MS);
        world.send_at(start + i * 30 * MS, i as usize % nodes, op);
    }
    let after = start + schedule.faults_end() + 15 * SEC;
    world.run_until(after);
    let first = world.sends.len();
    for node in 0..nodes {
        for kind in [Idempotency::Repeatable, world.token(node, node), world.key(node)] {
            let op = world.op(Rank::Standard, kind, 50 * MS);
            world.send_at(after, node, op);
        }
    }
    world.run_until(after + 4 * SEC);
    for sent in &world.sends[first..] {
        let answer = sent.answer.as_ref().map(|(_, answer)| answer);
        assert!(matches!(answer, Some(Answer::Ran(_))), "daemon {}: {answer:?}", sent.node);
    }
}

/// Guards against slots that become unusable when the daemons of their failure domain die. Another daemon of the region
/// holds a part of them.
#[test]
fn slots_of_a_dead_domain_stay_usable() {
    let mut world = World::new(3, 6);
    // Daemon 0 is the only daemon in the failure domain of server 0; daemon 3 is in the same region.
    world.kill(0);
    world.run_until(world.now + 5 * SEC);
    let start = world.now;
    for i in 0..200_u64 {
        let op = world.op(Rank::Standard, Idempotency::Repeatable, 100 * MS);
        world.send_at(start + i * 20 * MS, 3, op);
    }
    world.run_until(start + 8 * SEC);
    assert!(world.runs.iter().any(|run| run.server == 0 && run.sent_at > start && run.node == 3));
    world.assert_holds(&["P2 slots", "P1"]);
}

proptest! {
    #![proptest_config(config(25))]

    #[test]
    fn every_daemon_serves_15_s_after_one_fault(schedule in schedules(3..8, any_fault, false)) {
        check_recovery(&schedule);
    }

    #[test]
    fn every_daemon_serves_15_s_after_two_faults(schedule in schedules(3..8, any_fault, true)) {
        check_recovery(&schedule);
    }
}
