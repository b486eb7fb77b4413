//! A rate limit that serves ranks in order.
//!
//! A plain token bucket gives its tokens to whoever asks first, so a flood of bulk work would use up the rate of a
//! contract and its urgent work would be refused with it. Here the lower ranks leave a part of the stored tokens to the
//! higher ones, and each lower rank earns its floor in a bucket of its own, which a flood of urgent work cannot empty.
//! The rates of all buckets sum to the limit.

use std::time::Duration;

use crate::bucket::TokenBucket;
use crate::id::Rank;
use crate::model::Percent;
use crate::time::Timestamp;

/// Part of the common burst that standard work leaves to urgent work, in percent.
const STANDARD_LEAVES: u64 = 30;

/// Part of the common burst that bulk work leaves to the other ranks, in percent.
const BULK_LEAVES: u64 = 60;

/// Token buckets of one rate limit.
///
/// ```
/// use std::time::Duration;
/// use medlarstair_state::id::Rank;
/// use medlarstair_state::model::Percent;
/// use medlarstair_state::ranked::RankedBucket;
/// use medlarstair_state::time::Timestamp;
///
/// let now = Timestamp::ZERO;
/// let mut bucket = RankedBucket::new(now, Duration::from_secs(1));
/// bucket.set_floors([Percent(0), Percent(10), Percent(5)]);
/// bucket.set_rate(now, 100);
/// let later = Timestamp::from_millis(1000);
/// let bulk = (0..200).filter(|_| bucket.take(later, Rank::Bulk, 1)).count();
/// assert!(bulk < 60);
/// assert!(bucket.take(later, Rank::Urgent, 1));
/// ```
#[derive(Debug, Clone)]
pub struct RankedBucket {
    common: TokenBucket,
    /// Buckets of the floors, by [`Rank::index`]. That of urgent work is not used.
    floors: [TokenBucket; 3],
    parts: [Percent; 3],
    burst: Duration,
    per_second: u32,
}

impl RankedBucket {
    /// Buckets with rate zero and without floors. Each stores at most the tokens of `burst` at its rate.
    pub fn new(now: Timestamp, burst: Duration) -> Self {
        let bucket = || TokenBucket::new(now, burst);
        Self {
            common: bucket(),
            floors: [bucket(), bucket(), bucket()],
            parts: [Percent(0); 3],
            burst,
            per_second: 0,
        }
    }

    /// Sets the floors of the ranks. They apply from the next change of the rate on.
    pub fn set_floors(&mut self, floors: [Percent; 3]) {
        if self.parts != floors {
            self.parts = floors;
            self.per_second = 0;
        }
    }

    /// Sets the rate of all ranks together, in units per second.
    pub fn set_rate(&mut self, now: Timestamp, per_second: u32) {
        if per_second == self.per_second {
            return;
        }
        self.per_second = per_second;
        let mut common = per_second;
        for rank in [Rank::Standard, Rank::Bulk] {
            let part = u64::from(per_second) * u64::from(self.parts[rank.index()].0) / 100;
            // A bucket stores at least one token. A floor that stores less would raise the burst of the limit.
            let stores_a_token = part * u64::try_from(self.burst.as_millis()).unwrap_or(u64::MAX) >= 1_000;
            let part = if stores_a_token { part } else { 0 };
            let floor = u32::try_from(part).unwrap_or(u32::MAX).min(common);
            self.floors[rank.index()].set_rate(now, floor);
            common -= floor;
        }
        self.common.set_rate(now, common);
    }

    /// Takes `units` tokens for a request of `rank`, or none.
    pub fn take(&mut self, now: Timestamp, rank: Rank, units: u32) -> bool {
        if self.floors[rank.index()].take(now, units) || self.take_common(now, rank, units) {
            return true;
        }
        // A floor whose bucket is full is not in demand, and its tokens would be lost.
        let others = Rank::ALL.into_iter().filter(|other| *other != rank);
        others.into_iter().any(|other| {
            let floor = &mut self.floors[other.index()];
            floor.is_full(now) && floor.take(now, units)
        })
    }

    fn take_common(&mut self, now: Timestamp, rank: Rank, units: u32) -> bool {
        let leaves = match rank {
            Rank::Urgent => 0,
            Rank::Standard => STANDARD_LEAVES,
            Rank::Bulk => BULK_LEAVES,
        };
        self.common.fill_percent(now) > leaves && self.common.take(now, units)
    }

    /// Time until `units` tokens can be taken if nobody else takes any.
    pub fn wait(&self, now: Timestamp, units: u32) -> Duration {
        self.common.wait(now, units)
    }
}
