//! Demand, share and lease of one account at this daemon.

use std::time::Duration;

use crate::steering::accounts::Quota;
use crate::steering::quota::bucket::QuotaBucket;
use crate::steering::quota::fleet::Floor;
use crate::steering::quota::message::{Demand, Sequence};
use crate::steering::quota::{AccountKey, DaemonKey, Share};
use crate::steering::retry_after::RetryAfterSchedule;
use crate::time::Timestamp;

/// Time constant of the moving average of the demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(400);

/// Time constant of the average by which the end of a large demand is noticed.
const RECENT_TIME_CONSTANT: Duration = Duration::from_millis(150);

/// Demand relative to the recent average, and demand in requests per second in addition, that is still plausible. The recent
/// average of a small demand varies too much to be used.
const MAX_OVER_RECENT: (f64, f64) = (2.0, 20.0);

/// Reduction of a lease, as a factor on the quota, that is confirmed at once, so that another daemon can get the share.
const MIN_CONFIRMED_REDUCTION: f64 = 0.05;

/// Demand, as a fraction of the rate of the floor, up to which a daemon needs no lease.
const MAX_FLOOR_USE: f64 = 0.7;

/// Demand in requests per second below which an account counts as unused.
const MIN_DEMAND: f64 = 0.02;

/// Time without a request after which an account is idle. The bucket of a small floor is full again by then.
const IDLE_TIME: Duration = Duration::from_secs(120);

/// Longest `Retry-After` delay of a request over the quota.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Rate that is assumed for the `Retry-After` delay while the daemon has no share, in requests per second.
const MIN_RETRY_RATE: f64 = 2.0;

/// A share that a coordinator leased.
#[derive(Debug, Clone, Copy)]
struct Lease {
    coordinator: DaemonKey,
    sequence: Sequence,
    share: Share,
    expires_at: Timestamp,
}

/// One account at this daemon.
#[derive(Debug, Clone)]
pub struct Holder {
    quota: Quota,
    floor: Floor,
    lease: Option<Lease>,
    bucket: QuotaBucket,
    retry_schedule: RetryAfterSchedule,
    demand: f64,
    recent_demand: f64,
    demand_at: Timestamp,
    /// Whether a request has been rejected since the last report.
    has_rejected: bool,
    /// Whether the coordinator does not know yet that a smaller lease is in effect.
    is_unconfirmed: bool,
}

impl Holder {
    /// Creates an account without a lease, whose bucket was empty at `since`.
    pub fn new(quota: Quota, floor: Floor, since: Timestamp) -> Self {
        Self {
            quota,
            floor,
            lease: None,
            bucket: QuotaBucket::new(since),
            retry_schedule: RetryAfterSchedule::default(),
            demand: 0.0,
            recent_demand: 0.0,
            demand_at: since,
            has_rejected: false,
            is_unconfirmed: false,
        }
    }

    /// Changes the quota or the floor.
    pub fn configure(&mut self, now: Timestamp, quota: Quota, floor: Floor) {
        self.fill(now);
        self.quota = quota;
        self.floor = floor;
        self.fill(now);
    }

    /// Counts a request that arrives.
    ///
    /// # Errors
    ///
    /// The `Retry-After` delay if the share is used up.
    pub fn admit(&mut self, now: Timestamp) -> Result<(), Duration> {
        let elapsed = now.since(self.demand_at);
        self.demand = add_request(self.demand, elapsed, DEMAND_TIME_CONSTANT);
        self.recent_demand = add_request(self.recent_demand, elapsed, RECENT_TIME_CONSTANT);
        self.demand_at = now;
        self.fill(now);
        if self.bucket.take_arrival() {
            return Ok(());
        }
        Err(self.reject(now))
    }

    /// Counts an admitted request that is sent.
    ///
    /// # Errors
    ///
    /// The `Retry-After` delay if the share is used up.
    pub fn send(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.fill(now);
        if self.bucket.take_send() {
            return Ok(());
        }
        Err(self.reject(now))
    }

    /// Returns the unit of an admitted request that has not run.
    pub fn refund_arrival(&mut self, now: Timestamp) {
        self.bucket.refund_arrival();
        self.fill(now);
    }

    /// Returns the unit of a send that has not run.
    pub fn refund_send(&mut self, now: Timestamp) {
        self.bucket.refund_send();
        self.fill(now);
    }

    fn reject(&mut self, now: Timestamp) -> Duration {
        self.has_rejected = true;
        let rate = (self.share(now) * self.quota.rate.0).max(MIN_RETRY_RATE);
        let capacity_delay = Duration::from_secs_f64(self.bucket.missing() / rate);
        let spacing = Duration::from_secs_f64(1.0 / rate);
        self.retry_schedule.next_delay(now, capacity_delay, spacing, MAX_RETRY_DELAY)
    }

    /// Adds the tokens that were earned until `now`. A lease that expired counts until it did.
    fn fill(&mut self, now: Timestamp) {
        if let Some(lease) = self.lease
            && lease.expires_at <= now
        {
            self.fill_at(lease.expires_at, self.floor.share + lease.share.factor());
            self.lease = None;
        }
        self.fill_at(now, self.share(now));
    }

    fn fill_at(&mut self, now: Timestamp, share: f64) {
        let burst = share * self.quota.burst + self.floor.allowance;
        let capacity = if share > 0.0 { burst.max(1.0) } else { 0.0 };
        self.bucket.fill(now, share * self.quota.rate.0, capacity);
    }

    /// The share of the quota that this daemon may use, as a factor.
    pub fn share(&self, now: Timestamp) -> f64 {
        self.floor.share + self.lease.filter(|l| l.expires_at > now).map_or(0.0, |l| l.share.factor())
    }

    /// Applies a leased share unless a later grant of the same coordinator is in effect. Returns whether it is so much smaller
    /// than before that the coordinator should know at once.
    pub fn lease(
        &mut self,
        now: Timestamp,
        coordinator: DaemonKey,
        sequence: Sequence,
        share: Share,
        expires_at: Timestamp,
    ) -> bool {
        self.fill(now);
        let is_old = self.lease.is_some_and(|l| l.coordinator == coordinator && l.sequence >= sequence);
        if is_old || expires_at <= now {
            return false;
        }
        let reduction = self.lease.map_or(0.0, |l| l.share.factor() - share.factor());
        self.is_unconfirmed |= reduction > 0.0;
        self.lease = Some(Lease { coordinator, sequence, share, expires_at });
        self.fill(now);
        reduction >= MIN_CONFIRMED_REDUCTION
    }

    /// Requests that arrive, per second.
    pub fn demand_at(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.demand_at);
        let recent = decayed(self.recent_demand, elapsed, RECENT_TIME_CONSTANT);
        let (factor, extra) = MAX_OVER_RECENT;
        decayed(self.demand, elapsed, DEMAND_TIME_CONSTANT).min(recent * factor + extra)
    }

    /// Whether the coordinator must know the demand: the floor does not suffice, or there is a lease to renew or return.
    pub fn needs_report(&self, now: Timestamp) -> bool {
        let demand = self.demand_at(now);
        let fits_floor = demand < MIN_DEMAND || demand < MAX_FLOOR_USE * self.floor.share * self.quota.rate.0;
        !fits_floor || self.has_rejected || self.is_unconfirmed || self.lease.is_some_and(|l| l.share.0 > 0.0)
    }

    /// Whether a request has been rejected since the last report.
    pub fn has_rejected(&self) -> bool {
        self.has_rejected
    }

    /// The demand to report to a coordinator.
    pub fn report(&mut self, now: Timestamp, account: AccountKey, coordinator: DaemonKey) -> Demand {
        self.fill(now);
        self.has_rejected = false;
        self.is_unconfirmed = false;
        let demand = self.demand_at(now);
        let per_second = if demand < MIN_DEMAND { 0.0 } else { demand as f32 };
        let held = self.lease.filter(|l| l.coordinator == coordinator);
        Demand { account, per_second, held: held.map(|l| l.sequence).unwrap_or_default() }
    }

    /// Whether the account has no demand and no lease, so that a new bucket would be as full.
    pub fn is_idle(&self, now: Timestamp) -> bool {
        self.lease.is_none() && now.since(self.demand_at) > IDLE_TIME
    }
}

/// A moving average after `elapsed` without a request.
fn decayed(average: f64, elapsed: Duration, time_constant: Duration) -> f64 {
    average * (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// A moving average of requests per second after `elapsed` and one request.
fn add_request(average: f64, elapsed: Duration, time_constant: Duration) -> f64 {
    decayed(average, elapsed, time_constant) + 1.0 / time_constant.as_secs_f64()
}
