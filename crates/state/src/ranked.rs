//! A rate limit that serves ranks in order.
//!
//! A plain token bucket gives its tokens to whoever asks first, so a flood of bulk work would use up the rate of a
//! contract and its urgent work would be refused with it. Here the lower ranks leave a part of the stored tokens to the
//! higher ones. Each lower rank earns credit at its floor, and every other rank leaves the tokens for which it has credit,
//! so that a flood of urgent work cannot take them. There is one bucket, so rate and burst are those of the limit.

use std::time::Duration;

use crate::bucket::TokenBucket;
use crate::id::Rank;
use crate::model::Percent;
use crate::time::Timestamp;

/// Part of the burst that standard work leaves to urgent work, in percent.
const STANDARD_LEAVES: f64 = 30.0;

/// Part of the burst that bulk work leaves to the other ranks, in percent.
const BULK_LEAVES: f64 = 60.0;

/// Most credit that a rank keeps, in tokens. It needs one to take a token; a fraction more bridges the time until its next
/// request without giving it a burst of its own.
const CREDIT_MAX: f64 = 1.5;

/// Time after a refusal in which the other ranks leave the tokens for which the refused rank has credit. Without demand,
/// tokens that are left would only shorten the burst of the others.
const REFUSED_FOR: Duration = Duration::from_secs(5);

/// Token bucket of one rate limit.
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
    bucket: TokenBucket,
    floors: [Percent; 3],
    /// Tokens that each rank may take of those that the others leave, by [`Rank::index`].
    credit: [f64; 3],
    credited: Timestamp,
    refused_at: [Option<Timestamp>; 3],
}

impl RankedBucket {
    /// A bucket with rate zero and without floors. It stores at most the tokens of `burst` at its rate.
    pub fn new(now: Timestamp, burst: Duration) -> Self {
        Self {
            bucket: TokenBucket::new(now, burst),
            floors: [Percent(0); 3],
            credit: [0.0; 3],
            credited: now,
            refused_at: [None; 3],
        }
    }

    /// Sets the floors of the ranks, as parts of the rate.
    pub fn set_floors(&mut self, floors: [Percent; 3]) {
        self.floors = floors;
    }

    /// Sets the rate of all ranks together, in units per second.
    pub fn set_rate(&mut self, now: Timestamp, per_second: u32) {
        self.earn_credit(now);
        self.bucket.set_rate(now, per_second);
    }

    /// Takes `units` tokens for a request of `rank`, or none.
    pub fn take(&mut self, now: Timestamp, rank: Rank, units: u32) -> bool {
        self.earn_credit(now);
        let i = rank.index();
        let has_credit = self.credit[i] >= f64::from(units);
        let may_take = has_credit || self.leaves_enough(now, rank, units);
        let taken = may_take && self.bucket.take(now, units);
        if taken && has_credit {
            self.credit[i] -= f64::from(units);
        }
        if !taken {
            self.refused_at[i] = Some(now);
        }
        taken
    }

    /// Time until `units` tokens are stored if nobody takes any.
    pub fn time_until_available(&self, now: Timestamp, units: u32) -> Duration {
        self.bucket.time_until_available(now, units)
    }

    fn earn_credit(&mut self, now: Timestamp) {
        let earned = f64::from(self.bucket.rate()) * now.since(self.credited).as_secs_f64();
        self.credited = self.credited.max(now);
        for (credit, floor) in self.credit.iter_mut().zip(self.floors) {
            *credit = (*credit + earned * f64::from(floor.0) / 100.0).min(CREDIT_MAX);
        }
    }

    /// Whether a request without credit leaves what higher ranks and the credit of the others need.
    fn leaves_enough(&self, now: Timestamp, rank: Rank, units: u32) -> bool {
        let leaves = match rank {
            Rank::Urgent => 0.0,
            Rank::Standard => STANDARD_LEAVES,
            Rank::Bulk => BULK_LEAVES,
        };
        let others = Rank::ALL.into_iter().filter(|other| *other != rank);
        let owed: f64 = others.map(|other| self.owed(now, other)).sum();
        // A bucket that stores few tokens would otherwise never give one to a rank without credit.
        let spare = (self.bucket.capacity() - f64::from(units)).max(0.0);
        let left = (owed + leaves / 100.0 * self.bucket.capacity()).min(spare);
        self.bucket.available(now) - f64::from(units) >= left
    }

    /// Tokens that the other ranks leave for `rank`.
    fn owed(&self, now: Timestamp, rank: Rank) -> f64 {
        let was_refused = self.refused_at[rank.index()].is_some_and(|at| now.since(at) < REFUSED_FOR);
        if was_refused { self.credit[rank.index()].min(1.0) } else { 0.0 }
    }
}
