//! Tests of the place whose servers keep an object warm. Each test states the failure that it guards against.

mod steering_support;

use std::collections::BTreeMap;

use medlarstair_state::id::Backend;
use medlarstair_state::steering::{Route, Steering};
use medlarstair_state::time::Timestamp;
use steering_support::*;

/// Number of distinct objects of each route.
const OBJECTS: u64 = 60;

/// Identity of an object of a route. A server keeps the state of an object for one route only.
fn object_of(path: &str, n: u64) -> u64 {
    if path == "/large/x" { OBJECTS + n } else { n }
}

/// A daemon in the failure domain `near-a` with servers in `near-a`, `near-b` and the region `far`, and a route for small
/// and one for large responses.
fn steering_with_domains(near: usize, far: usize) -> Steering {
    let mut steering = steering_with_servers(&[]);
    for n in 0..near {
        let mut server = entry(n, "near");
        server.domain = if n % 2 == 0 { "near-a" } else { "near-b" }.parse().unwrap();
        steering.apply_server(server, Timestamp::ZERO);
    }
    for n in near..near + far {
        steering.apply_server(entry(n, "far"), Timestamp::ZERO);
    }
    let large = Route { large_responses: true, ..route("large", "/large/") };
    steering.apply_plan(plan_with_routes(1, vec![route("small", "/small/"), large]));
    steering
}

/// Sends one request for each object and ends it. Returns the server of each object.
fn place_objects(steering: &mut Steering, now: Timestamp, path: &str) -> BTreeMap<u64, Backend> {
    let mut placed = BTreeMap::new();
    for n in 0..OBJECTS {
        let object = object_of(path, n);
        let selected = sent(place(steering, now, path, object));
        finish(steering, now, path, object, &selected);
        placed.insert(object, selected.backend);
    }
    placed
}

/// Fraction of the objects whose server is in a failure domain.
fn share_in(steering: &Steering, placed: &BTreeMap<u64, Backend>, domain: &str) -> f64 {
    let in_domain = placed.values().filter(|id| steering.server(id).unwrap().entry.domain.as_str() == domain);
    in_domain.count() as f64 / placed.len() as f64
}

/// Guards against large responses that cross between failure domains although the servers of the daemon's own one have
/// room.
#[test]
fn large_responses_come_from_the_own_failure_domain() {
    let mut steering = steering_with_domains(8, 0);
    let now = Timestamp::from_millis(2_000);
    let small = place_objects(&mut steering, now, "/small/x");
    let large = place_objects(&mut steering, now, "/large/x");
    let small_share = share_in(&steering, &small, "near-a");
    assert!(
        (0.3..0.7).contains(&small_share),
        "{small_share} of the small responses are from the own domain"
    );
    let large_share = share_in(&steering, &large, "near-a");
    assert!(large_share > 0.95, "only {large_share} of the large responses are from the own domain");
}

/// Guards against requests that find no server because the own failure domain has none for a route with large responses.
#[test]
fn large_responses_come_from_another_domain_if_the_own_one_has_no_server() {
    let mut steering = steering_with_domains(2, 0);
    steering.set_evacuated(&"near-a".parse().unwrap(), true, Timestamp::ZERO);
    let placed = place_objects(&mut steering, Timestamp::from_millis(2_000), "/large/x");
    assert_eq!(share_in(&steering, &placed, "near-b"), 1.0);
}

/// Guards against large responses that cross between regions while objects with small responses stay in a region that is
/// too small for both.
#[test]
fn objects_with_small_responses_leave_a_full_region_first() {
    let mut steering = steering_with_domains(4, 16);
    // Load pattern: 24 slots of demand on the 12 slots of the region, half of it by each route.
    let (mut small, mut large) = (BTreeMap::new(), BTreeMap::new());
    for step in 0..250 {
        let now = Timestamp::from_millis(step * 12);
        for (path, placed) in [("/small/x", &mut small), ("/large/x", &mut large)] {
            let object = object_of(path, step % OBJECTS);
            let selected = sent(place(&mut steering, now, path, object));
            finish_after(&mut steering, now, path, object, &selected, WARM_WORK);
            placed.insert(object, selected.backend);
        }
        steering.tick(now);
    }
    let near = |placed: &BTreeMap<u64, Backend>| {
        share_in(&steering, placed, "near-a") + share_in(&steering, placed, "near-b")
    };
    assert!(near(&large) > near(&small) + 0.2, "near: {} of large, {} of small", near(&large), near(&small));
}
