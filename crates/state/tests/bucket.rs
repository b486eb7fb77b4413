//! Token buckets whose rate changes, and that must not grant the same tokens twice.

use std::time::Duration;

use medlarstair_state::bucket::TokenBucket;
use medlarstair_state::time::Timestamp;

const START: Timestamp = Timestamp::ZERO;
const SECOND: Timestamp = Timestamp::from_millis(1_000);

fn bucket(per_second: u32) -> TokenBucket {
    let mut bucket = TokenBucket::new(START, Duration::from_millis(500));
    bucket.set_rate(START, per_second);
    bucket
}

/// Takes single tokens until the bucket is empty and returns their number.
fn drain(bucket: &mut TokenBucket, now: Timestamp) -> u32 {
    (0..).take_while(|_| bucket.take(now, 1)).count() as u32
}

/// Guards against idle buckets that store more than their burst.
#[test]
fn stores_the_burst_at_most() {
    assert_eq!(drain(&mut bucket(100), SECOND), 50);
    assert_eq!(drain(&mut bucket(1), Timestamp::from_millis(60_000)), 1, "a slow bucket holds one token");
    assert_eq!(drain(&mut bucket(0), SECOND), 0);
}

/// Guards against tokens spent twice: by the lender that stored them and by the borrower of the rate.
#[test]
fn a_changed_rate_brings_no_tokens() {
    let mut lowered = bucket(100);
    lowered.set_rate(SECOND, 10);
    assert_eq!(drain(&mut lowered, SECOND), 5);
    let mut raised = bucket(10);
    raised.set_rate(SECOND, 100);
    assert_eq!(drain(&mut raised, SECOND), 5);
    let mut lent_and_returned = bucket(100);
    lent_and_returned.set_rate(SECOND, 0);
    lent_and_returned.set_rate(SECOND, 100);
    assert_eq!(drain(&mut lent_and_returned, SECOND), 0);
}

/// Guards against frequent rate changes that grant more tokens than the rates allow.
#[test]
fn spends_no_more_than_rate_times_time() {
    let mut bucket = bucket(0);
    let mut earned = 0;
    let mut taken = 0;
    for i in 1..=1_000_u64 {
        let now = Timestamp(i * 7_001);
        taken += u64::from(drain(&mut bucket, now)) * 1_000_000;
        assert!(taken <= earned + 7_001 * u64::from(bucket.rate()), "step {i}");
        earned += 7_001 * u64::from(bucket.rate());
        bucket.set_rate(now, (i * 37 % 101) as u32);
    }
    assert!(taken * 10 >= earned * 9, "{taken} of {earned}");
}

/// Guards against computed wait times after which the tokens are still missing, or that are longer than necessary.
#[test]
fn waits_exactly_as_long_as_needed() {
    let mut b = bucket(3);
    assert_eq!(b.time_until_available(START, 1), Duration::from_micros(333_334));
    assert!(!b.take(Timestamp(333_333), 1));
    assert!(b.take(Timestamp(333_334), 1));
    assert_eq!(b.time_until_available(SECOND, 2), Duration::MAX, "more than the burst");
    assert_eq!(bucket(0).time_until_available(START, 1), Duration::MAX);
    assert_eq!(bucket(0).time_until_available(START, 0), Duration::ZERO);
}
