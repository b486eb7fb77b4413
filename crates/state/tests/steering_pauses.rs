//! Tests of backend servers that ask for a pause. Each test states the failure that it guards against.

mod steering_support;

use std::time::Duration;

use medlarstair_state::id::Backend;
use medlarstair_state::steering::departures::EntryVersion;
use medlarstair_state::steering::engine::Reason;
use medlarstair_state::steering::server::MAX_PAUSE;
use medlarstair_state::steering::{BackendEntry, Decision, Refusal, Steering};
use medlarstair_state::time::Timestamp;
use steering_support::*;

fn ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn server(n: usize) -> Backend {
    format!("s-{n}").parse().unwrap()
}

fn steering() -> Steering {
    let mut steering = steering_with_servers(&["near", "near"]);
    steering.apply_plan(plan_with_routes(1, vec![route("r", "/r/")]));
    steering
}

/// Servers of requests for 20 objects, all at the same time.
fn burst(steering: &mut Steering, at: u64) -> Vec<Backend> {
    let decisions = (0..20).map(|object| place(steering, ms(at), "/r/", object).1);
    let sent = decisions.filter_map(|d| match d {
        Decision::Send(selected) => Some(selected.backend),
        Decision::Wait(_) | Decision::Refuse(_) => None,
    });
    sent.collect()
}

/// Guards against requests and health checks during the pause of a server.
#[test]
fn a_paused_server_gets_nothing() {
    let mut steering = steering();
    assert!(steering.pause_server(ms(0), &server(0), Duration::from_secs(5)));
    assert!(!steering.pause_server(ms(10), &server(0), Duration::from_secs(1)), "it was paused");
    steering.set_evacuated(&"near-a".parse().unwrap(), true, ms(20));
    steering.set_evacuated(&"near-a".parse().unwrap(), false, ms(30));
    let probed = steering.start_due_probes(ms(40));
    assert!(probed.iter().all(|entry| entry.id != server(0)), "a shorter pause does not end the longer one");
    steering.record_probe(ms(41), &server(1), Some(Duration::ZERO));
    for at in [50, 2_000, 4_990] {
        assert!(!burst(&mut steering, at).contains(&server(0)), "at {at} ms");
    }
}

/// Guards against a request for a pause that is forgotten when the entry of the server is removed and written again, for example
/// after an unreadable one; and against one that outlasts a restart.
#[test]
fn a_pause_outlasts_the_entry_but_not_the_process() {
    for (restarts, is_paused) in [(false, true), (true, false)] {
        let mut steering = steering();
        let version = |started_at_ms| EntryVersion { started_at_ms: Some(started_at_ms), sequence: Some(1) };
        steering.apply_server(BackendEntry { version: version(1), ..entry(0, "near") }, ms(0));
        steering.pause_server(ms(0), &server(0), Duration::from_secs(5));
        steering.remove_server(&server(0), ms(1_000));
        let version = version(if restarts { 2 } else { 1 });
        steering.apply_server(BackendEntry { version, ..entry(0, "near") }, ms(1_500));
        assert_eq!(!burst(&mut steering, 3_000).contains(&server(0)), is_paused, "restarts: {restarts}");
    }
}

/// Guards against a burst at the end of a pause, and against daemons that return at the same time.
#[test]
fn requests_return_gradually_after_a_pause() {
    let mut steering = steering();
    steering.pause_server(ms(0), &server(0), Duration::from_secs(2));
    assert_eq!(steering.end_pauses(ms(1_999)), []);
    assert_eq!(steering.end_pauses(ms(2_210)), [server(0)]);
    let resumed = burst(&mut steering, 2_210).into_iter().filter(|id| *id == server(0)).count();
    assert_eq!(resumed, 1);
    let ends: Vec<Timestamp> = (1..=5)
        .map(|told_at| {
            let mut server = steering.server(&server(1)).unwrap().clone();
            server.pause(Timestamp(told_at), Duration::from_secs(4));
            server.paused_until().unwrap()
        })
        .collect();
    assert!(ends.iter().all(|end| *end >= ms(4_000) && *end <= ms(4_401)), "{ends:?}");
    assert!(
        ends.windows(2)
            .all(|pair| pair[0].since(pair[1]).max(pair[1].since(pair[0])) > Duration::from_millis(1))
    );
}

/// Guards against a caller that waits, or is told a wrong delay, while all servers of its service are paused.
#[test]
fn a_request_is_refused_until_the_first_pause_ends() {
    let mut steering = steering();
    steering.pause_server(ms(0), &server(0), Duration::from_millis(200));
    steering.pause_server(ms(0), &server(1), Duration::from_secs(9));
    let (_, decision) = place(&mut steering, ms(1), "/r/", 1);
    let Decision::Refuse(Refusal { reason: Reason::Paused, retry_after }) = decision else {
        panic!("{decision:?}");
    };
    assert!(retry_after >= Duration::from_millis(199), "{retry_after:?}");
}

/// Guards against a value that stops the use of a server for ever, or ends the daemon.
#[test]
fn a_pause_has_a_longest_duration() {
    let mut steering = steering();
    steering.pause_server(ms(0), &server(0), Duration::MAX);
    assert_eq!(steering.end_pauses(ms(0) + MAX_PAUSE + Duration::from_secs(1)), [server(0)]);
}
