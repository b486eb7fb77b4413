//! Tests of backend servers that leave, and of entries that are written late. Each test states the failure that it guards
//! against.

mod steering_support;

use medlarstair_state::steering::departures::EntryVersion;
use medlarstair_state::steering::{BackendEntry, Steering};
use medlarstair_state::time::Timestamp;
use steering_support::*;

fn ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// An entry of the first server.
fn listed(started_at_ms: u64, sequence: u64, draining: bool) -> BackendEntry {
    let version = EntryVersion { started_at_ms: Some(started_at_ms), sequence: Some(sequence) };
    BackendEntry { version, draining, ..entry(0, "near") }
}

/// Steering with two servers, of which the first one has the entry `listed(1, 5, false)`.
fn steering() -> Steering {
    let mut steering = steering_with_servers(&["near", "near"]);
    steering.apply_plan(plan_with_routes(1, vec![route("r", "/r/")]));
    steering.apply_server(listed(1, 5, false), ms(0));
    steering
}

/// Whether the first server gets some of many requests from `from` on.
fn is_used(steering: &mut Steering, from: u64) -> bool {
    let mut used = false;
    for object in 0..40 {
        let selected = sent(place(steering, ms(from + object * 300), "/r/", object));
        used |= selected.backend.as_str() == "s-0";
        finish(steering, ms(from + 1 + object * 300), "/r/", object, &selected);
    }
    used
}

/// Guards against requests to a server that announced that it leaves, and that an entry, its repetition or its return after
/// an outage puts back in use.
#[test]
fn a_server_that_leaves_gets_nothing_until_it_restarts() {
    let mut steering = steering();
    assert!(is_used(&mut steering, 2_000));
    assert!(steering.mark_leaving(&"s-0".parse().unwrap()));
    assert!(!steering.mark_leaving(&"s-0".parse().unwrap()), "it was known");
    assert!(!is_used(&mut steering, 20_000));
    steering.apply_server(listed(1, 6, false), ms(40_000));
    assert!(!is_used(&mut steering, 40_000), "its entry still says that it is ready");
    steering.remove_server(&"s-0".parse().unwrap(), ms(60_000));
    steering.apply_server(listed(1, 7, false), ms(61_000));
    assert!(!is_used(&mut steering, 61_000), "its entry was restored");
    steering.apply_server(listed(2, 0, false), ms(80_000));
    assert!(is_used(&mut steering, 82_000), "it has restarted");
}

/// Guards against a write that is carried out late and puts a server back in use that is draining or gone.
#[test]
fn a_late_write_does_not_replace_a_newer_entry() {
    let mut steering = steering();
    steering.apply_server(listed(1, 7, true), ms(1_000));
    assert!(!steering.apply_server(listed(1, 6, false), ms(4_000)));
    assert!(!is_used(&mut steering, 4_000), "it is draining");
    steering.remove_server(&"s-0".parse().unwrap(), ms(20_000));
    assert!(!steering.apply_server(listed(1, 6, false), ms(24_000)));
    assert!(!is_used(&mut steering, 24_000), "it is gone");
    assert!(steering.apply_server(listed(2, 0, false), ms(40_000)));
    assert!(is_used(&mut steering, 42_000), "it has restarted");
}

/// Guards against a server that is not used after a restoration of the key-value service: it left minutes before and has
/// restarted since, but what it was is forgotten while its key is still withheld.
#[test]
fn a_restart_is_recognized_for_as_long_as_the_key_is_withheld() {
    let mut steering = steering();
    steering.remove_server(&"s-0".parse().unwrap(), ms(1_000));
    for (now, expected) in [(290_000, true), (302_000, false)] {
        steering.tick(ms(now));
        assert_eq!(steering.supersedes_departure(&listed(2, 0, false)), expected, "at {now} ms");
    }
}

/// Guards against a server that is not used any more because its clock was set back before it restarted.
#[test]
fn an_entry_with_an_earlier_start_is_applied_after_some_time() {
    let mut steering = steering();
    steering.apply_server(listed(9, 1, true), ms(1_000));
    assert!(!steering.apply_server(listed(5, 1, false), ms(3_000)));
    assert!(steering.apply_server(listed(5, 2, false), ms(30_000)));
    assert!(is_used(&mut steering, 32_000));
}

/// Guards against a lost server that is taken for one that left: its entry, if restored, puts it back in use.
#[test]
fn a_server_whose_entry_expired_is_used_again() {
    let mut steering = steering();
    steering.remove_server(&"s-0".parse().unwrap(), ms(1_000));
    assert!(steering.apply_server(listed(1, 5, false), ms(3_000)));
    assert!(is_used(&mut steering, 4_000));
}
