//! Token buckets for this daemon's usable shares of the rate limits.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::{Customer, Rank, Region, Service};
use crate::ledger::{Ledger, LimitKey, Units};
use crate::model::Percent;
use crate::ranked::RankedBucket;
use crate::time::Timestamp;

/// Burst capacity of a rate limit, as the time in which its rate refills it. It must be long enough for small limits
/// that are divided into whole units over many daemons, and short enough that no second admits more than 1.5 times the
/// rate.
const BURST_DURATION: Duration = Duration::from_millis(500);

/// Reciprocal of the weight of the latest period in the exponential moving average of the use.
const MEAN_USE_DIVISOR: u32 = 4;

/// Cooldown after a refusal during which a limit counts as in shortage. During a shortage, loans of its units are not
/// renewed, so that lent shares return at the end of their term.
const SHORTAGE_COOLDOWN: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct RateLimitState {
    bucket: RankedBucket,
    /// Units taken since the last refresh.
    taken: u32,
    /// Moving average of the use, in units per second.
    mean_use: u32,
    /// Units refused since the last call of [`Limits::take_shortfalls`].
    refused: u32,
    /// Time of the last refusal. `None` if no units have been refused.
    last_refused: Option<Timestamp>,
}

/// The rate limits of one daemon.
#[derive(Debug, Default)]
pub(super) struct Limits {
    limits: BTreeMap<LimitKey, RateLimitState>,
    last_refresh: Timestamp,
}

pub(super) fn rate_key(customer: &Customer, service: &Service) -> LimitKey {
    LimitKey::Rate(customer.clone(), service.clone())
}

pub(super) fn shift_key(customer: &Customer, service: &Service, from: &Region) -> LimitKey {
    LimitKey::Shift(customer.clone(), service.clone(), from.clone())
}

pub(super) fn link_key(from: &Region, to: &Region) -> LimitKey {
    LimitKey::Link(from.clone(), to.clone())
}

impl Limits {
    /// Takes units of a limit. Returns false if the share is used up or the limit is unknown.
    ///
    /// The share is read from the ledger on each call, since a loan may have ended since the last refresh.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        ledger: &mut Ledger,
        key: &LimitKey,
        rank: Rank,
        units: u32,
    ) -> bool {
        let Some(limit) = self.limits.get_mut(key) else {
            return false;
        };
        limit.bucket.set_rate(now, ledger.usable_units(now, key).0);
        let taken = limit.bucket.take(now, rank, units);
        if taken {
            ledger.mark_loans_used(now, key);
            limit.taken = limit.taken.saturating_add(units);
        } else {
            limit.refused = limit.refused.saturating_add(units);
            limit.last_refused = Some(now);
        }
        taken
    }

    /// Returns the time until the units can be taken, or one second for an unknown limit.
    pub(super) fn time_until_available(&self, now: Timestamp, key: &LimitKey, units: u32) -> Duration {
        self.limits.get(key).map_or(Duration::from_secs(1), |l| l.bucket.time_until_available(now, units))
    }

    /// Returns the moving average of the use in units per second. Zero for an unknown limit.
    pub(super) fn mean_use(&self, key: &LimitKey) -> Units {
        Units(self.limits.get(key).map_or(0, |l| l.mean_use))
    }

    /// Whether the limit refused units within the last [`SHORTAGE_COOLDOWN`].
    pub(super) fn is_in_shortage(&self, now: Timestamp, key: &LimitKey) -> bool {
        let last_refused = self.limits.get(key).and_then(|l| l.last_refused);
        last_refused.is_some_and(|at| now.since(at) < SHORTAGE_COOLDOWN)
    }

    /// Returns the limits that refused units since the last call, with the number of units refused.
    pub(super) fn take_shortfalls(&mut self) -> Vec<(LimitKey, Units)> {
        let mut shortfalls = Vec::new();
        for (key, limit) in &mut self.limits {
            let refused = std::mem::take(&mut limit.refused);
            if refused == 0 {
                continue;
            }
            shortfalls.push((key.clone(), Units(refused)));
        }
        shortfalls
    }

    /// Adds a limit, or changes the floors per rank of an existing one. The rate is set by the next
    /// [`Limits::refresh`].
    pub(super) fn add(&mut self, now: Timestamp, key: LimitKey, floors: [Percent; 3]) {
        let new = || RateLimitState {
            bucket: RankedBucket::new(now, BURST_DURATION),
            taken: 0,
            mean_use: 0,
            refused: 0,
            last_refused: None,
        };
        self.limits.entry(key).or_insert_with(new).bucket.set_floors(floors);
    }

    /// Removes the limits for which `keep` is false.
    pub(super) fn retain(&mut self, keep: impl Fn(&LimitKey) -> bool) {
        self.limits.retain(|key, _| keep(key));
    }

    /// Sets the rate of each bucket to the usable share and updates the mean use.
    pub(super) fn refresh(&mut self, now: Timestamp, ledger: &Ledger) {
        let elapsed_ms = u32::try_from(now.since(self.last_refresh).as_millis()).unwrap_or(u32::MAX).max(1);
        self.last_refresh = now;
        for (key, limit) in &mut self.limits {
            limit.bucket.set_rate(now, ledger.usable_units(now, key).0);
            let taken = u64::from(std::mem::take(&mut limit.taken));
            let rate = u32::try_from(taken * 1_000 / u64::from(elapsed_ms)).unwrap_or(u32::MAX);
            limit.mean_use = limit.mean_use - limit.mean_use / MEAN_USE_DIVISOR + rate / MEAN_USE_DIVISOR;
        }
    }
}
