//! Tests that the hybrid clock orders effects after their causes for any wall clocks.

use medlarstair_protocol::clock::{HybridClock, HybridTime, MAX_LEAD_MS};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const DATE_MS: u64 = 1_700_000_000_000;

fn remote_times() -> impl Strategy<Value = Option<HybridTime>> {
    let wall = DATE_MS - 5_000..DATE_MS + 2 * MAX_LEAD_MS;
    let logical = prop_oneof![3 => 0..5_u32, 1 => u32::MAX - 2..=u32::MAX];
    proptest::option::of((wall, logical).prop_map(|(wall_ms, logical)| HybridTime { wall_ms, logical }))
}

/// Guards against an event that is ordered before an earlier event or before the message that caused it.
#[test]
fn the_clock_is_strictly_increasing() {
    let cfg = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(cfg, TestRng::from_seed(RngAlgorithm::ChaCha, &[24; 32]));
    let steps = proptest::collection::vec((DATE_MS - 2_000..DATE_MS + 2_000, remote_times()), 1..60);
    let check = |steps: Vec<(u64, Option<HybridTime>)>| {
        let mut clock = HybridClock::default();
        let mut last = HybridTime::default();
        for (wall_ms, remote) in steps {
            let next = match remote {
                Some(remote) => clock.observe(remote, wall_ms),
                None => clock.now(wall_ms),
            };
            assert!(next > last, "{next:?} follows {last:?}");
            if let Some(remote) = remote.filter(|r| r.wall_ms <= wall_ms + MAX_LEAD_MS) {
                assert!(next > remote, "{next:?} was caused by {remote:?}");
            }
            last = next;
        }
        Ok(())
    };
    runner.run(&steps, check).unwrap();
}

/// Guards against a daemon with a wrong date that advances the clocks of all others.
#[test]
fn a_time_too_far_ahead_is_ignored() {
    let mut clock = HybridClock::default();
    for lead in [MAX_LEAD_MS + 1, 86_400_000, u64::MAX - DATE_MS] {
        let remote = HybridTime { wall_ms: DATE_MS + lead, logical: 0 };
        assert_eq!(clock.observe(remote, DATE_MS).wall_ms, DATE_MS, "{lead} ms ahead");
    }
    let tolerated = HybridTime { wall_ms: DATE_MS + MAX_LEAD_MS, logical: 0 };
    assert_eq!(clock.observe(tolerated, DATE_MS).wall_ms, tolerated.wall_ms);
    let late = HybridTime { wall_ms: DATE_MS - 86_400_000, logical: 9 };
    assert_eq!(clock.observe(late, DATE_MS).wall_ms, tolerated.wall_ms);
}

/// Guards against an overflow of the logical part, which would move the clock backwards or panic.
#[test]
fn an_overflow_of_the_logical_part_advances_the_wall_part() {
    let mut clock = HybridClock::default();
    let max_logical = HybridTime { wall_ms: DATE_MS, logical: u32::MAX };
    let next = clock.observe(max_logical, DATE_MS);
    assert_eq!(next, HybridTime { wall_ms: DATE_MS + 1, logical: 0 });
}
