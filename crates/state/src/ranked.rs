//! Token bucket that gives precedence to higher ranks.
//!
//! A plain token bucket serves requests in order of arrival, so an overload of bulk work would use up the rate of a
//! contract, and the customer's urgent work would be refused as well. In this bucket, a part of the stored tokens is
//! reserved for higher ranks. In addition, a rank with a floor earns credit at the rate of the floor, and the tokens
//! that the credit covers are reserved for the rank, so that an overload of urgent work cannot take them. All ranks
//! share one bucket, so the total rate and burst are those of the limit.

use std::time::Duration;

use crate::bucket::TokenBucket;
use crate::id::Rank;
use crate::model::Percent;
use crate::time::Timestamp;

/// Fraction of the bucket capacity reserved for urgent work, in percent. Standard work cannot take these tokens.
const STANDARD_RESERVE_PERCENT: f64 = 30.0;

/// Fraction of the bucket capacity reserved for urgent and standard work, in percent. Bulk work cannot take these tokens.
const BULK_RESERVE_PERCENT: f64 = 60.0;

/// Maximum credit of a rank, in tokens. Taking a token requires a credit of one. The additional fraction keeps the
/// credit that accrues before the next request without allowing a burst.
const MAX_CREDIT_TOKENS: f64 = 1.5;

/// Time after a refusal during which the tokens covered by the refused rank's credit are reserved for it. A
/// reservation for a rank without demand would only shorten the burst of the others.
const CREDIT_RESERVATION_TIME: Duration = Duration::from_secs(5);

/// Token bucket of one rate limit, shared by all ranks.
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
    /// Credit of each rank in tokens, by [`Rank::index`]. A rank with credit may take reserved tokens.
    credit: [f64; 3],
    /// Time up to which credit has been earned.
    credit_updated: Timestamp,
    /// Time of the last refusal of each rank, by [`Rank::index`]; `None` before the first.
    refused_at: [Option<Timestamp>; 3],
}

impl RankedBucket {
    /// Creates an empty bucket with rate zero and without floors. Its capacity is the number of tokens earned during
    /// `burst`.
    pub fn new(now: Timestamp, burst: Duration) -> Self {
        Self {
            bucket: TokenBucket::new(now, burst),
            floors: [Percent(0); 3],
            credit: [0.0; 3],
            credit_updated: now,
            refused_at: [None; 3],
        }
    }

    /// Sets the floors, by [`Rank::index`], as percentages of the rate.
    pub fn set_floors(&mut self, floors: [Percent; 3]) {
        self.floors = floors;
    }

    /// Sets the total rate of all ranks in units per second.
    pub fn set_rate(&mut self, now: Timestamp, per_second: u32) {
        self.earn_credit(now);
        self.bucket.set_rate(now, per_second);
    }

    /// Takes `units` tokens for a request of `rank`; if it may not take that many, takes none and returns false.
    pub fn take(&mut self, now: Timestamp, rank: Rank, units: u32) -> bool {
        self.earn_credit(now);
        let i = rank.index();
        let has_credit = self.credit[i] >= f64::from(units);
        let may_take = has_credit || self.leaves_reserve(now, rank, units);
        let taken = may_take && self.bucket.take(now, units);
        if taken && has_credit {
            self.credit[i] -= f64::from(units);
        }
        if !taken {
            self.refused_at[i] = Some(now);
        }
        taken
    }

    /// Time until `units` tokens are available if none are taken meanwhile. The reserves of the ranks are not taken
    /// into account.
    pub fn time_until_available(&self, now: Timestamp, units: u32) -> Duration {
        self.bucket.time_until_available(now, units)
    }

    fn earn_credit(&mut self, now: Timestamp) {
        let earned = f64::from(self.bucket.rate()) * now.since(self.credit_updated).as_secs_f64();
        self.credit_updated = self.credit_updated.max(now);
        for (credit, floor) in self.credit.iter_mut().zip(self.floors) {
            *credit = (*credit + earned * f64::from(floor.0) / 100.0).min(MAX_CREDIT_TOKENS);
        }
    }

    /// Whether a request without credit would leave the reserve of the higher ranks and the tokens that are reserved
    /// for other ranks because of their credit.
    fn leaves_reserve(&self, now: Timestamp, rank: Rank, units: u32) -> bool {
        let reserve_percent = match rank {
            Rank::Urgent => 0.0,
            Rank::Standard => STANDARD_RESERVE_PERCENT,
            Rank::Bulk => BULK_RESERVE_PERCENT,
        };
        let others = Rank::ALL.into_iter().filter(|other| *other != rank);
        let reserved_by_credit: f64 = others.map(|other| self.reserved_by_credit(now, other)).sum();
        // Limits the reserve, because a bucket of small capacity would otherwise never grant a token without credit.
        let max_reserve = (self.bucket.capacity() - f64::from(units)).max(0.0);
        let reserve =
            (reserved_by_credit + reserve_percent / 100.0 * self.bucket.capacity()).min(max_reserve);
        self.bucket.available(now) - f64::from(units) >= reserve
    }

    /// Number of tokens reserved for `rank` because of its credit; zero if none of its requests was refused recently.
    fn reserved_by_credit(&self, now: Timestamp, rank: Rank) -> f64 {
        let was_refused =
            self.refused_at[rank.index()].is_some_and(|at| now.since(at) < CREDIT_RESERVATION_TIME);
        if was_refused { self.credit[rank.index()].min(1.0) } else { 0.0 }
    }
}
