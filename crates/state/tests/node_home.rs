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
        let mut sim = Simulation::new(1, nodes);
        let start = sim.now;
        for i in 0..60 {
            let op = sim.add_op(Rank::Urgent, Idempotency::Repeatable, 50 * MS);
            sim.send_at(start + i as u64 * 20 * MS, i % nodes, op);
        }
        sim.run_until(start + 3 * SEC);
        assert_eq!(sim.ran_count(), 60, "{nodes} daemons");
        assert_eq!(sim.checks.cross_region_starts, 0, "{nodes} daemons");
    }
}

fn check_recovery(schedule: &Schedule) {
    let mut sim = schedule.simulation();
    let start = sim.now;
    let nodes = sim.daemons.len();
    for i in 0..300_u64 {
        let op = sim.add_op(Rank::ALL[i as usize % 3], Idempotency::Repeatable, 50 * MS);
        sim.send_at(start + i * 30 * MS, i as usize % nodes, op);
    }
    let after = start + schedule.faults_end() + 15 * SEC;
    sim.run_until(after);
    let first = sim.sends.len();
    for node in 0..nodes {
        for kind in [Idempotency::Repeatable, sim.token(node, node), sim.key(node)] {
            let op = sim.add_op(Rank::Standard, kind, 50 * MS);
            sim.send_at(after, node, op);
        }
    }
    sim.run_until(after + 4 * SEC);
    for sent in &sim.sends[first..] {
        let answer = sent.answer.as_ref().map(|(_, answer)| answer);
        assert!(matches!(answer, Some(Answer::Ran(_))), "daemon {}: {answer:?}", sent.node);
    }
}

/// Guards against slots that become unusable when the daemons of their failure domain die. Another daemon of the region
/// holds a part of them.
#[test]
fn slots_of_a_dead_domain_stay_usable() {
    let mut sim = Simulation::new(3, 6);
    // Daemon 0 is the only daemon in the failure domain of server 0; daemon 3 is in the same region.
    sim.kill(0);
    sim.run_until(sim.now + 5 * SEC);
    let start = sim.now;
    for i in 0..200_u64 {
        let op = sim.add_op(Rank::Standard, Idempotency::Repeatable, 100 * MS);
        sim.send_at(start + i * 20 * MS, 3, op);
    }
    sim.run_until(start + 8 * SEC);
    assert!(sim.runs.iter().any(|run| run.server == 0 && run.sent_at > start && run.node == 3));
    sim.assert_no_violations(&["P2 slots", "P1"]);
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
