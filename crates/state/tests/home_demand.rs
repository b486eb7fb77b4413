//! Replays of load that rises and falls, with servers in two regions. Each test states the failure that it guards
//! against.

mod steering_support;

use std::collections::BTreeMap;
use std::f64::consts::TAU;
use std::ops::Range;

use medlarstair_state::id::Region;
use medlarstair_state::steering::engine::DaemonCounts;
use medlarstair_state::steering::home_demand::HomeDemand;
use medlarstair_state::steering::{Decision, SendOutcome};
use medlarstair_state::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use steering_support::*;

/// Period in which the load of the replay falls, from shortly after its peak to its lowest value.
const FALLING_LOAD_MS: Range<u64> = 6_000..18_000;

/// Guards against a demand that follows each fall of the load, and against one that is slow to follow a rise.
#[test]
fn a_rise_counts_within_seconds_and_a_fall_within_minutes() {
    let mut demand = HomeDemand::default();
    let mut run = |from_s: u64, to_s: u64, slots: f64| {
        (from_s * 10..to_s * 10).for_each(|step| demand.update(Timestamp::from_millis(step * 100), slots));
        demand.slots(slots)
    };
    assert_eq!(run(0, 5, 10.0), 10.0);
    assert!(run(5, 8, 20.0) > 19.0);
    assert!(run(8, 14, 5.0) > 15.0);
    assert!(run(14, 200, 5.0) < 5.5);
}

/// Guards against objects that move back to their region as soon as its load falls, and are cold after each move. The
/// clients of a region with few servers had a p99 latency of 3.2 s while their load followed a wave of 36 s.
#[test]
fn objects_stay_at_their_home_while_the_load_varies() {
    // One of nine daemons observes a ninth of the load, in random order. At its peak the load takes twice the slots that
    // objects of the region `near` may use.
    let rate = |at: f64| 40.0 * (1.0 + 0.55 * (TAU * at / 36.0).cos());
    let regions: Vec<&str> = ["near"; 20].into_iter().chain(["far"; 60]).collect();
    let mut steering = steering_with_servers(&regions);
    steering.apply_plan(plan_with_routes(1, vec![route("r", "/r/")]));
    steering.set_daemons(Timestamp::ZERO, DaemonCounts { total: 9, sharing_load: 9 });
    let mut rng = Pcg64::seed_from_u64(1);
    let mut last_region: BTreeMap<u64, Region> = BTreeMap::new();
    let (mut moves, mut sends) = (0, 0);
    let mut running = Vec::new();
    for step in 0..36_000u64 {
        let now = Timestamp::from_millis(step);
        running.retain(|(end, call, selected)| {
            if *end > now {
                return true;
            }
            let outcome = SendOutcome::Answered { ok: true, took: WARM_WORK };
            steering.record_outcome(now, call, selected, outcome);
            false
        });
        if step % 100 == 0 {
            steering.tick(now);
        }
        if rng.random::<f64>() >= rate(step as f64 / 1_000.0) / 1_000.0 {
            continue;
        }
        sends += 1;
        let object = rng.random_range(0..72);
        let (call, decision) = place(&mut steering, now, "/r/", object);
        let Decision::Send(selected) = decision else {
            continue;
        };
        let region = steering.server(&selected.backend).unwrap().entry.region.clone();
        let is_move = last_region.insert(object, region.clone()).is_some_and(|last| last != region);
        moves += u64::from(is_move && FALLING_LOAD_MS.contains(&step));
        running.push((now + WARM_WORK, call, selected));
    }
    assert!(sends > 1_000);
    assert!(moves * 50 < sends, "{moves} of {sends} requests found their object in another region");
}
