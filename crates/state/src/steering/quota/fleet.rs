//! The daemons that share the quotas.
//!
//! Message volume at the coordinator of an account grows with the number of daemons. In a large fleet, daemons therefore
//! report less often, leases last longer, and a larger part of each quota is split into floors. Since the demand at each of
//! many daemons is a sample of the whole, their floors then cover most of it.

use std::time::Duration;

use crate::steering::accounts::Quota;
use crate::steering::affinity::{ObjectId, score};
use crate::steering::quota::{AccountKey, DaemonKey, QuotaLimits};

/// Fraction of a quota that is leased in a small fleet.
const LEASED_FRACTION: f64 = 0.75;

/// Number of daemons above which a smaller part is leased.
const MAX_DAEMONS_FULL_LEASES: f64 = 128.0;

/// Interval between the reports of a daemon in a small fleet. A share moves within three of them.
const MIN_REPORT_PERIOD: Duration = Duration::from_millis(300);

/// Number of daemons above which reports are less frequent.
const MAX_DAEMONS_FULL_RATE: f64 = 100.0;

/// Exponent with which the report period grows with the number of daemons. If 5,300 daemons all report on one account, its
/// coordinator receives and sends 16 KB/s.
const PERIOD_EXPONENT: f64 = 1.25;

/// Number of reports of a daemon in each period on accounts that reject requests, in a small fleet.
const URGENT_REPORTS_PER_PERIOD: u32 = 3;

/// Duration of a lease in report periods, so that several messages may be lost before a share is.
const LEASE_PERIODS: u32 = 4;

/// Time in which all daemons notice a change of the list of daemons. One that cannot know whether its list is so recent grants no
/// leases on its own authority.
pub const VIEW_DELAY: Duration = Duration::from_millis(1_300);

/// Fraction of the tolerance of a quota for the floors, each of which allows at least one request at once.
const FLOOR_TOLERANCE_FRACTION: f64 = 0.7;

/// Fraction of the fixed number of requests in the tolerance that the floors allow at once. The relative part of the tolerance
/// is left for lists of daemons that differ.
const ALLOWANCE_FRACTION: f64 = 0.6;

/// Number of daemons that is assumed after the start of a daemon, when others that start may not be listed yet.
const MIN_DAEMONS_AT_START: usize = 16;

/// A daemon that may use a part of the quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaDaemon {
    /// Identity of the daemon.
    pub key: DaemonKey,
    /// Whether the daemon is advertised to clients, so that it needs a floor.
    pub advertised: bool,
    /// Whether the daemon receives messages of other daemons.
    pub reachable: bool,
}

/// What a daemon may use of a quota without a lease.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Floor {
    /// Factor on the quota.
    pub share: f64,
    /// Number of requests at once in addition to the share of the burst, from the tolerance of the quota. Without it, a
    /// daemon that gets a few requests per second would reject those that happen to arrive together.
    pub allowance: f64,
}

/// The listed daemons and what follows from their number.
#[derive(Debug, Clone, Default)]
pub struct QuotaFleet {
    daemons: Vec<QuotaDaemon>,
    advertised: usize,
    is_starting: bool,
}

impl QuotaFleet {
    /// Creates a fleet of the listed daemons. `is_starting` tells whether the own daemon started so recently that others
    /// may not be listed yet.
    pub fn new(mut daemons: Vec<QuotaDaemon>, is_starting: bool) -> Self {
        daemons.sort_by_key(|d| d.key);
        let advertised = daemons.iter().filter(|d| d.advertised).count();
        Self { daemons, advertised, is_starting }
    }

    /// Whether a daemon is listed.
    pub fn contains(&self, key: DaemonKey) -> bool {
        self.daemons.binary_search_by_key(&key, |d| d.key).is_ok()
    }

    /// Keys of the listed daemons.
    pub fn keys(&self) -> impl Iterator<Item = DaemonKey> {
        self.daemons.iter().map(|d| d.key)
    }

    /// Number of listed daemons.
    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    /// Whether no daemon is listed.
    pub fn is_empty(&self) -> bool {
        self.daemons.is_empty()
    }

    /// The coordinator of an account. `None` if no daemon can be one, so that all of the quota is split into floors.
    pub fn coordinator(&self, account: AccountKey) -> Option<DaemonKey> {
        let candidates = self.daemons.iter().filter(|d| d.advertised && d.reachable);
        candidates.map(|d| d.key).max_by_key(|key| score(key.0, ObjectId(account.0)))
    }

    /// Fraction of each quota that is leased.
    pub fn leased_fraction(&self) -> f64 {
        if !self.daemons.iter().any(|d| d.advertised && d.reachable) {
            return 0.0;
        }
        LEASED_FRACTION * (MAX_DAEMONS_FULL_LEASES / self.advertised as f64).sqrt().min(1.0)
    }

    /// Interval between the reports of a daemon.
    pub fn report_period(&self) -> Duration {
        let excess = (self.daemons.len() as f64 / MAX_DAEMONS_FULL_RATE).max(1.0);
        MIN_REPORT_PERIOD.mul_f64(excess.powf(PERIOD_EXPONENT))
    }

    /// Interval between the reports of a daemon on an account that rejects requests.
    pub fn urgent_report_period(&self) -> Duration {
        let period = self.report_period();
        let is_small = (self.daemons.len() as f64) < 2.0 * MAX_DAEMONS_FULL_RATE;
        if is_small { period / URGENT_REPORTS_PER_PERIOD } else { period }
    }

    /// Duration of a lease.
    pub fn lease_duration(&self) -> Duration {
        self.report_period() * LEASE_PERIODS
    }

    /// Duration for which a new coordinator grants nothing: until the leases of its predecessor have expired, which may grant
    /// further ones until it notices the change.
    pub fn takeover_delay(&self) -> Duration {
        self.lease_duration() + VIEW_DELAY
    }

    /// The floor of a daemon. It is empty for a daemon that has none.
    ///
    /// Each floor allows at least one request at once. If the burst of the quota is too small for one at each daemon, only
    /// as many daemons have a floor as the tolerance allows.
    pub fn floor(
        &self,
        daemon: DaemonKey,
        account: AccountKey,
        quota: &Quota,
        limits: &QuotaLimits,
    ) -> Floor {
        let fraction = 1.0 - self.leased_fraction();
        let listed =
            if self.is_starting { self.advertised.max(MIN_DAEMONS_AT_START) } else { self.advertised.max(1) };
        let affordable = FLOOR_TOLERANCE_FRACTION * limits.tolerance(quota) + fraction * quota.burst;
        let allowance = ALLOWANCE_FRACTION * limits.slack;
        let found = self.daemons.binary_search_by_key(&daemon, |d| d.key);
        if !found.is_ok_and(|n| self.daemons[n].advertised) {
            return Floor::default();
        }
        let part_of = |floors: f64| Floor { share: fraction / floors, allowance: allowance / floors };
        if affordable >= listed as f64 {
            return part_of(listed as f64);
        }
        let floors = affordable as usize;
        let own = score(daemon.0, ObjectId(!account.0));
        let advertised = self.daemons.iter().filter(|d| d.advertised);
        let rank = advertised.filter(|d| score(d.key.0, ObjectId(!account.0)) > own).count();
        if rank < floors { part_of(floors as f64) } else { Floor::default() }
    }
}
