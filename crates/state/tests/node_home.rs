//! Work stays in its region while there is room, and comes back when faults are over.

mod support;

use medlarstair_state::id::Rank;
use medlarstair_state::node::Idempotency;
use support::*;

/// Guards against cold backend servers that get no work from the daemon that holds several of their slots: slow start
/// was counted as work in flight, so every request left the region or waited.
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
