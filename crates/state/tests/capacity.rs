//! Tests of the selection of advertised daemons. Each test states the failure that it guards against.

use medlarstair_state::steering::capacity::{Capacity, advertised};

/// Guards against clients that use VMs whose link is saturated by a few large responses, which gave the worst results
/// of any kind of request on the enlarged Consortium deployment. Also guards against too few advertised daemons when
/// larger ones are lost.
#[test]
fn small_daemons_are_named_only_when_needed() {
    for (capacities, expected) in [
        (&[][..], &[][..]),
        (&[500.0], &[true]),
        // All have a similar capacity.
        (&[200.0, 400.0, 200.0], &[true, true, true]),
        // There are enough large daemons.
        (&[500.0, 100.0, 500.0, 500.0, 100.0], &[true, false, true, true, false]),
        // With two large daemons, the loss of one would leave a single one.
        (&[500.0, 100.0, 500.0, 100.0], &[true, true, true, true]),
        // The large daemons have less than 40 % of the capacity.
        (
            &[
                300.0, 300.0, 300.0, 90.0, 90.0, 90.0, 90.0, 90.0, 90.0, 90.0, 90.0, 90.0, 90.0, 90.0, 90.0,
                90.0, 90.0, 90.0, 90.0,
            ],
            &[true; 19],
        ),
    ] {
        let capacities: Vec<Capacity> = capacities.iter().map(|c| Capacity(*c)).collect();
        assert_eq!(advertised(&capacities), expected, "{capacities:?}");
    }
}

/// Guards against a large fleet that spreads its load over all daemons, so that each of them hears from a server only
/// every 18 s. A third of the requests on a day with 117 daemons were late because daemons sent to servers that were
/// full.
#[test]
fn a_large_region_concentrates_its_load() {
    let capacities: Vec<Capacity> = (0..39).map(|n| Capacity(if n < 9 { 500.0 } else { 200.0 })).collect();
    let advertised = advertised(&capacities);
    assert_eq!(advertised.iter().filter(|a| **a).count(), 9);
    assert!(advertised[..9].iter().all(|a| *a));
}

/// Guards against a capacity that considers only the CPU or only the link of a VM.
#[test]
fn the_scarcer_resource_decides() {
    assert!(Capacity::of_vm(0.5, 10.0) < Capacity::of_vm(0.25, 200.0));
    assert!(Capacity::of_vm(0.1, 200.0) < Capacity::of_vm(0.5, 20.0));
}
