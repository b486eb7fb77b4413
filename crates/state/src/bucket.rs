//! Token buckets for rate limits.
//!
//! The rate of a bucket is the daemon's usable share of a rate limit (requests/s or kbit/s), so it changes whenever a
//! loan is granted, returned or expires. The bucket is not notified of an expiry. The caller therefore passes the
//! current usable share to [`TokenBucket::set_rate`] before each [`TokenBucket::take`]; this is cheap when the rate
//! is unchanged.

use std::time::Duration;

use crate::time::Timestamp;

/// Resolution of the bucket. At a rate of one unit per second it gains one microtoken per microsecond.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// A token bucket whose capacity is given as a duration at its rate.
///
/// ```
/// use std::time::Duration;
/// use medlarstair_state::bucket::TokenBucket;
/// use medlarstair_state::time::Timestamp;
///
/// let mut bucket = TokenBucket::new(Timestamp::ZERO, Duration::from_millis(100));
/// bucket.set_rate(Timestamp::ZERO, 50);
/// assert!(!bucket.take(Timestamp::ZERO, 1));
/// assert_eq!(bucket.time_until_available(Timestamp::ZERO, 1), Duration::from_millis(20));
/// assert!(bucket.take(Timestamp::from_millis(20), 1));
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    burst: Duration,
    per_second: u32,
    microtokens: u64,
    updated: Timestamp,
}

impl TokenBucket {
    /// Creates an empty bucket with rate zero.
    ///
    /// Its capacity is the number of tokens earned during `burst`, but at least one token while the rate is not zero,
    /// because a bucket with a low rate could otherwise never grant a token.
    pub fn new(now: Timestamp, burst: Duration) -> Self {
        Self { burst, per_second: 0, microtokens: 0, updated: now }
    }

    /// Sets the rate in units per second.
    ///
    /// A lower rate truncates the stored tokens to the new capacity at once, because the daemon that now has the rate
    /// may earn the excess again. For the same reason a higher rate adds no tokens.
    pub fn set_rate(&mut self, now: Timestamp, per_second: u32) {
        if per_second == self.per_second {
            return;
        }
        self.microtokens = self.microtokens_at(now);
        self.updated = self.updated.max(now);
        self.per_second = per_second;
        self.microtokens = self.microtokens.min(self.capacity_microtokens());
    }

    /// Rate in units per second.
    pub fn rate(&self) -> u32 {
        self.per_second
    }

    /// Takes `units` tokens if that many are available; otherwise takes none and returns false.
    pub fn take(&mut self, now: Timestamp, units: u32) -> bool {
        self.microtokens = self.microtokens_at(now);
        self.updated = self.updated.max(now);
        let Some(remaining) = self.microtokens.checked_sub(microtokens(units)) else { return false };
        self.microtokens = remaining;
        true
    }

    /// Time until `units` tokens are available at the current rate if none are taken meanwhile; [`Duration::MAX`] if
    /// they exceed the capacity.
    pub fn time_until_available(&self, now: Timestamp, units: u32) -> Duration {
        let missing = microtokens(units).saturating_sub(self.microtokens_at(now));
        if missing == 0 {
            return Duration::ZERO;
        }
        if microtokens(units) > self.capacity_microtokens() {
            return Duration::MAX;
        }
        Duration::from_micros(missing.div_ceil(u64::from(self.per_second)))
    }

    /// Number of available tokens.
    pub fn available(&self, now: Timestamp) -> f64 {
        self.microtokens_at(now) as f64 / MICROTOKENS_PER_TOKEN as f64
    }

    /// Largest number of tokens that the bucket can store at the current rate.
    pub fn capacity(&self) -> f64 {
        self.capacity_microtokens() as f64 / MICROTOKENS_PER_TOKEN as f64
    }

    fn capacity_microtokens(&self) -> u64 {
        if self.per_second == 0 {
            return 0;
        }
        self.earned(self.burst).max(MICROTOKENS_PER_TOKEN)
    }

    fn earned(&self, elapsed: Duration) -> u64 {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        micros.saturating_mul(u64::from(self.per_second))
    }

    fn microtokens_at(&self, now: Timestamp) -> u64 {
        self.microtokens.saturating_add(self.earned(now.since(self.updated))).min(self.capacity_microtokens())
    }
}

fn microtokens(units: u32) -> u64 {
    u64::from(units) * MICROTOKENS_PER_TOKEN
}
