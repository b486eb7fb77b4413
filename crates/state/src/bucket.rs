//! Token buckets for rate limits.
//!
//! The rate of a bucket is the usable share of a rate limit (requests/s or kbit/s), so it changes whenever a loan is
//! granted, returned or runs out. The bucket cannot see a loan run out: the caller passes the usable share of the
//! moment to [`TokenBucket::set_rate`] before each [`TokenBucket::take`], which costs nothing when the rate is
//! unchanged.

use std::time::Duration;

use crate::time::Timestamp;

/// Parts of a token that the bucket counts. One unit per second earns one part per microsecond.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// A token bucket whose burst is a duration at its rate.
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
    /// A bucket with rate zero and no tokens. It stores at most the tokens of `burst` at its rate, and at least one
    /// token while the rate is not zero, because a slow bucket could otherwise never be taken from.
    pub fn new(now: Timestamp, burst: Duration) -> Self {
        Self { burst, per_second: 0, microtokens: 0, updated: now }
    }

    /// Sets the rate in units per second.
    ///
    /// A lower rate cuts the stored tokens to the new burst at once, since the tokens above it may be earned again by
    /// the daemon that now has the rate. For the same reason a higher rate starts without new stored tokens.
    pub fn set_rate(&mut self, now: Timestamp, per_second: u32) {
        if per_second == self.per_second {
            return;
        }
        self.microtokens = self.microtokens_at(now);
        self.updated = self.updated.max(now);
        self.per_second = per_second;
        self.microtokens = self.microtokens.min(self.capacity_microtokens());
    }

    /// The rate in units per second.
    pub fn rate(&self) -> u32 {
        self.per_second
    }

    /// Takes `units` tokens, or none if fewer are stored.
    pub fn take(&mut self, now: Timestamp, units: u32) -> bool {
        self.microtokens = self.microtokens_at(now);
        self.updated = self.updated.max(now);
        let Some(rest) = self.microtokens.checked_sub(needed(units)) else { return false };
        self.microtokens = rest;
        true
    }

    /// Time until `units` tokens are stored if the rate stays and nobody takes any; [`Duration::MAX`] if the bucket
    /// never stores as many.
    pub fn time_until_available(&self, now: Timestamp, units: u32) -> Duration {
        let missing = needed(units).saturating_sub(self.microtokens_at(now));
        if missing == 0 {
            return Duration::ZERO;
        }
        if needed(units) > self.capacity_microtokens() {
            return Duration::MAX;
        }
        Duration::from_micros(missing.div_ceil(u64::from(self.per_second)))
    }

    /// Stored tokens.
    pub fn available(&self, now: Timestamp) -> f64 {
        self.microtokens_at(now) as f64 / MICROTOKENS_PER_TOKEN as f64
    }

    /// Tokens that can be stored at the present rate.
    pub fn capacity(&self) -> f64 {
        self.capacity_microtokens() as f64 / MICROTOKENS_PER_TOKEN as f64
    }

    fn capacity_microtokens(&self) -> u64 {
        if self.per_second == 0 {
            return 0;
        }
        self.earned(self.burst).max(MICROTOKENS_PER_TOKEN)
    }

    fn earned(&self, span: Duration) -> u64 {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        micros.saturating_mul(u64::from(self.per_second))
    }

    fn microtokens_at(&self, now: Timestamp) -> u64 {
        self.microtokens.saturating_add(self.earned(now.since(self.updated))).min(self.capacity_microtokens())
    }
}

fn needed(units: u32) -> u64 {
    u64::from(units) * MICROTOKENS_PER_TOKEN
}
