//! Token buckets whose rates are usable shares of limits.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::{Customer, Rank, Region, Service};
use crate::ledger::{Ledger, LimitKey, Units};
use crate::model::Percent;
use crate::ranked::RankedBucket;
use crate::time::Timestamp;

/// Burst of a rate limit, as time at its rate. Long enough for the integer division of small limits over many
/// daemons, short enough that a second never sees more than half a second's worth on top.
const BURST: Duration = Duration::from_millis(500);

/// Weight of the newest period in the mean use, as a divisor.
const USE_DIVISOR: u32 = 4;

/// Time for which a limit that refused something counts as short. Lent shares then come back at the end of their term.
const SHORT_FOR: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Limited {
    bucket: RankedBucket,
    taken: u32,
    mean_use: u32,
    wanted: u32,
    short_at: Option<Timestamp>,
}

/// The rate limits of one daemon.
#[derive(Debug, Default)]
pub(super) struct Limits {
    limited: BTreeMap<LimitKey, Limited>,
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
    /// Takes units of a limit. False if the share is used up or the limit is unknown. The share is read here, since a
    /// loan may have ended since the last refresh.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        ledger: &mut Ledger,
        key: &LimitKey,
        rank: Rank,
        units: u32,
    ) -> bool {
        let Some(limited) = self.limited.get_mut(key) else {
            return false;
        };
        limited.bucket.set_rate(now, ledger.usable_units(now, key).0);
        let taken = limited.bucket.take(now, rank, units);
        if taken {
            ledger.mark_loans_used(now, key);
            limited.taken = limited.taken.saturating_add(units);
        } else {
            limited.wanted = limited.wanted.saturating_add(units);
            limited.short_at = Some(now);
        }
        taken
    }

    /// Time until the units can be taken.
    pub(super) fn wait(&self, now: Timestamp, key: &LimitKey, units: u32) -> Duration {
        self.limited.get(key).map_or(Duration::from_secs(1), |l| l.bucket.time_until_available(now, units))
    }

    /// Mean use in units per second.
    pub(super) fn mean_use(&self, key: &LimitKey) -> Units {
        Units(self.limited.get(key).map_or(0, |l| l.mean_use))
    }

    /// Whether something was refused within the last [`SHORT_FOR`].
    pub(super) fn is_short(&self, now: Timestamp, key: &LimitKey) -> bool {
        let short_at = self.limited.get(key).and_then(|l| l.short_at);
        short_at.is_some_and(|at| now.since(at) < SHORT_FOR)
    }

    /// Keys of which more was wanted than taken since the last call, with the units per second that were missing.
    pub(super) fn short(&mut self) -> Vec<(LimitKey, Units)> {
        let mut short = Vec::new();
        for (key, limited) in &mut self.limited {
            let wanted = std::mem::take(&mut limited.wanted);
            if wanted == 0 {
                continue;
            }
            short.push((key.clone(), Units(wanted)));
        }
        short
    }

    /// Adds a limit, or changes its floors by rank.
    pub(super) fn add(&mut self, now: Timestamp, key: LimitKey, floors: [Percent; 3]) {
        let new = || Limited {
            bucket: RankedBucket::new(now, BURST),
            taken: 0,
            mean_use: 0,
            wanted: 0,
            short_at: None,
        };
        self.limited.entry(key).or_insert_with(new).bucket.set_floors(floors);
    }

    /// Removes the limits for which `keep` is false.
    pub(super) fn retain(&mut self, keep: impl Fn(&LimitKey) -> bool) {
        self.limited.retain(|key, _| keep(key));
    }

    /// Sets every rate to the usable share and updates the mean use.
    pub(super) fn refresh(&mut self, now: Timestamp, ledger: &Ledger) {
        let elapsed_ms = u32::try_from(now.since(self.last_refresh).as_millis()).unwrap_or(u32::MAX).max(1);
        self.last_refresh = now;
        for (key, limited) in &mut self.limited {
            limited.bucket.set_rate(now, ledger.usable_units(now, key).0);
            let taken = u64::from(std::mem::take(&mut limited.taken));
            let rate = u32::try_from(taken * 1_000 / u64::from(elapsed_ms)).unwrap_or(u32::MAX);
            limited.mean_use = limited.mean_use - limited.mean_use / USE_DIVISOR + rate / USE_DIVISOR;
        }
    }
}
