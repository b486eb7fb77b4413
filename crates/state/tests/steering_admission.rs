//! Tests of the admission decisions. Each test states the failure that it guards against.

use std::time::Duration;

use medlarstair_state::steering::admission::{AnsweredShares, Estimate, Offer, ValueThreshold, Verdict};
use medlarstair_state::steering::plan::Priority;
use medlarstair_state::steering::poison::Fingerprint;
use medlarstair_state::steering::retry_after::RetryAfterSchedule;
use medlarstair_state::time::Timestamp;

const OFFER: Offer = Offer {
    priority: Priority(1),
    objective: Duration::from_millis(800),
    elapsed: Duration::ZERO,
    held: Duration::ZERO,
    remaining: Duration::from_secs(2),
};

const ESTIMATE: Estimate =
    Estimate { latency: 0.3, wait: 0.0, work: 0.3, has_capacity: true, is_measured: true };

/// A threshold that rejects nothing by its value, while the service is overloaded.
const OVERLOADED: f64 = f64::MIN_POSITIVE;

/// Guards against a request that is certain to be late and takes a place in the queue of a server or of the daemon, or runs
/// although it cannot end before its deadline.
#[test]
fn late_requests_do_not_wait_for_slots() {
    let late = Offer { elapsed: Duration::from_millis(900), ..OFFER };
    let full = Estimate { wait: 0.05, latency: 0.35, ..ESTIMATE };
    assert_eq!(late.decide(&ESTIMATE, OVERLOADED), Verdict::Start, "a free slot is used");
    assert_eq!(late.decide(&full, OVERLOADED), Verdict::RejectLate);
    assert_eq!(late.decide(&Estimate { has_capacity: false, ..full }, OVERLOADED), Verdict::RejectLate);
    assert_eq!(OFFER.decide(&Estimate { has_capacity: false, ..full }, OVERLOADED), Verdict::Queue);
    assert_eq!(OFFER.decide(&Estimate { latency: 1.9, ..ESTIMATE }, OVERLOADED), Verdict::RejectLate);
}

/// Guards against a request that is held for longer than an eighth of its objective although its wait was expected to be
/// shorter: the estimate is wrong.
#[test]
fn a_wait_that_takes_longer_than_expected_ends_with_a_rejection() {
    let held = Offer { held: Duration::from_millis(100), elapsed: Duration::from_millis(100), ..OFFER };
    let full = Estimate { wait: 0.05, has_capacity: false, ..ESTIMATE };
    assert_eq!(held.decide(&full, OVERLOADED), Verdict::RejectLate);
}

/// Guards against requests of little value per slot-second that are served before others, and against a threshold that
/// rejects requests while servers are idle.
#[test]
fn the_threshold_rises_with_the_wait_and_falls_without() {
    let cold = Estimate { latency: 1.2, work: 1.2, ..ESTIMATE };
    let mut threshold = ValueThreshold::default();
    let decide = |t: &ValueThreshold, e: &Estimate| OFFER.decide(e, t.get());
    for estimate in [ESTIMATE, cold] {
        threshold.record_offer(OFFER.value_per_slot_second(&estimate));
        assert_eq!(decide(&threshold, &estimate), Verdict::Start);
    }
    let mut run = |from: u64, to: u64, wait: f64| {
        for at in from..to {
            threshold.record_wait(wait);
            threshold.update(Timestamp::from_millis(at * 100));
        }
        threshold
    };
    let overloaded = run(0, 100, 1.0);
    assert_eq!(decide(&overloaded, &cold), Verdict::RejectLowValue);
    assert_eq!(decide(&overloaded, &ESTIMATE), Verdict::Start);
    assert_eq!(decide(&run(100, 300, 0.0), &cold), Verdict::Start);
}

/// Guards against a threshold that stays at its height because it rejects all requests: no response then reports a shorter
/// wait.
#[test]
fn the_threshold_falls_without_reports() {
    let mut threshold = ValueThreshold::default();
    threshold.record_offer(1.0);
    threshold.record_offer(4.0);
    for at in 0..1_000 {
        if at < 300 {
            threshold.record_wait(1.0);
        }
        threshold.update(Timestamp::from_millis(at * 100));
        assert!(at != 299 || threshold.get() > 3.9, "{threshold:?}");
    }
    assert_eq!(threshold.get(), 0.0);
}

/// Guards against a request type that is starved by one with a higher value per slot-second.
#[test]
fn a_starved_type_gets_a_lower_threshold() {
    let mut shares = AnsweredShares::default();
    for n in 0..40 {
        for priority in [Priority(1), Priority(2)] {
            shares.record_arrival(Timestamp::from_millis(n), priority);
        }
        shares.record_answer(Timestamp::from_millis(n), Priority(1));
    }
    let now = Timestamp::from_millis(40);
    assert_eq!(shares.threshold_factor(now, Priority(1)), 1.0);
    assert!(shares.threshold_factor(now, Priority(2)) < 0.1);
}

/// Guards against a request type that has stopped and still keeps a less urgent one from being served.
#[test]
fn a_type_that_stops_does_not_raise_the_threshold_of_others() {
    let mut shares = AnsweredShares::default();
    for n in 0..40 {
        shares.record_arrival(Timestamp::from_millis(n), Priority(0));
        shares.record_arrival(Timestamp::from_millis(n), Priority(1));
        shares.record_answer(Timestamp::from_millis(n), Priority(1));
    }
    assert!(shares.threshold_factor(Timestamp::from_millis(40), Priority(1)) > 10.0);
    assert_eq!(shares.threshold_factor(Timestamp::from_millis(60_000), Priority(1)), 1.0);
}

/// Guards against requests that are rejected because they would be late, although the servers have room for all.
#[test]
fn without_overload_a_late_request_waits() {
    let late = Offer { elapsed: OFFER.objective, ..OFFER };
    let full = Estimate { wait: 0.3, latency: 0.6, has_capacity: false, ..ESTIMATE };
    assert_eq!(late.decide(&full, 0.0), Verdict::Queue);
    let held = Offer { held: Duration::from_millis(200), ..late };
    assert_eq!(held.decide(&full, 0.0), Verdict::Start);
    let stuck = Offer { held: Duration::from_millis(400), ..late };
    assert_eq!(stuck.decide(&full, 0.0), Verdict::RejectLate);
    let hopeless = Offer { remaining: Duration::from_millis(100), ..late };
    assert_eq!(hopeless.decide(&full, 0.0), Verdict::RejectLate);
}

/// Guards against clients that all return at the latest time when more are refused than the schedule has room for, and
/// against one that gains by returning early.
#[test]
fn a_full_schedule_spreads_returns_and_early_returns_wait_longer() {
    let mut schedule = RetryAfterSchedule::default();
    let (second, now) = (Duration::from_secs(1), Timestamp::from_millis(1));
    let mut delays: Vec<Duration> =
        (0..100).map(|_| schedule.next_delay(now, second * 2, Duration::ZERO, second)).collect();
    delays.sort();
    let widest = delays.windows(2).map(|w| w[1] - w[0]).max().unwrap();
    assert!(widest < Duration::from_millis(20) && delays[99] - delays[0] > second / 6, "{delays:?}");
    let refuse_every = |interval: u64| {
        let mut schedule = RetryAfterSchedule::default();
        let mut refuse = |ms: u64| {
            let (now, wait) = (Timestamp::from_millis(ms), Duration::from_millis(100));
            schedule.delay_for(now, Fingerprint(1), ms > 0, wait, Duration::ZERO, second)
        };
        (0..4).map(|n| refuse(n * interval)).collect::<Vec<Duration>>()
    };
    let early = refuse_every(20);
    assert!(early.windows(2).all(|w| w[1] == w[0] * 2), "{early:?}");
    let on_time = refuse_every(100);
    assert!(on_time.windows(2).all(|w| w[1] == w[0]), "{on_time:?}");
}
