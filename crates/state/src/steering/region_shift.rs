//! Limits how fast the traffic of a region's clients moves between the regions that serve it.
//!
//! The limit applies to two adjacent windows. A request may be sent to a region only if the shares of all regions that
//! grew since the previous window have grown by no more than the limit in total. Each daemon of a region applies the
//! limit to its own requests, so the region as a whole meets it while the loads of the daemons stay alike.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::id::Region;
use crate::time::Timestamp;

/// Length of each of the two windows that are compared.
const WINDOW: Duration = Duration::from_secs(2);

/// Fraction of the limit that is used, because the daemons of a region see different parts of its load.
const USED_FRACTION: f64 = 0.8;

/// Minimum number of requests in the previous window for its shares to be significant.
const MIN_SAMPLES: usize = 8;

/// Requests that were sent within one window, with their number per region.
#[derive(Debug, Clone, Default)]
struct Window {
    sent: VecDeque<(Timestamp, Region)>,
    counts: BTreeMap<Region, usize>,
}

impl Window {
    fn push(&mut self, at: Timestamp, region: Region) {
        *self.counts.entry(region.clone()).or_default() += 1;
        self.sent.push_back((at, region));
    }

    /// Removes and returns the oldest request if it is older than `age`.
    fn pop_older(&mut self, now: Timestamp, age: Duration) -> Option<(Timestamp, Region)> {
        if now.since(self.sent.front()?.0) <= age {
            return None;
        }
        let (at, region) = self.sent.pop_front()?;
        if let Some(count) = self.counts.get_mut(&region) {
            *count -= 1;
        }
        Some((at, region))
    }

    fn count(&self, region: &Region) -> f64 {
        self.counts.get(region).copied().unwrap_or(0) as f64
    }
}

/// Recent requests of this daemon, by the region to which they were sent.
#[derive(Debug, Clone, Default)]
pub struct RegionShiftLimiter {
    current: Window,
    previous: Window,
    /// Time of the first request since the daemon was started or both windows were last empty.
    started_at: Option<Timestamp>,
}

impl RegionShiftLimiter {
    /// Moves requests from the current to the previous window as they age, and drops those that have left both.
    pub fn advance(&mut self, now: Timestamp) {
        // After a start, the second window is compared with the whole first one. Its first part alone is not typical,
        // because all servers were idle.
        let since_start = self.started_at.map_or(Duration::ZERO, |started_at| now.since(started_at));
        let age = if since_start < 2 * WINDOW { since_start.saturating_sub(WINDOW) } else { WINDOW };
        if since_start > WINDOW {
            while let Some((at, region)) = self.current.pop_older(now, age) {
                self.previous.push(at, region);
            }
        }
        while self.previous.pop_older(now, 2 * WINDOW).is_some() {}
        if self.previous.sent.is_empty() && self.current.sent.is_empty() {
            self.started_at = None;
        }
    }

    /// Records a request that is sent to `region`.
    pub fn record_send(&mut self, now: Timestamp, region: &Region) {
        self.started_at.get_or_insert(now);
        self.current.push(now, region.clone());
    }

    /// Whether another request may be sent to `region`: the traffic that has moved between regions since the previous
    /// window then stays within the fraction `max_shift` of all.
    pub fn allows(&self, region: &Region, max_shift: f64) -> bool {
        if self.previous.sent.len() < MIN_SAMPLES {
            return true;
        }
        // Shortly after a window starts, a single request would be a large share of it. At least half the size of the
        // previous window is therefore assumed.
        let total = (self.current.sent.len() + 1).max(self.previous.sent.len() / 2) as f64;
        let previous_share = |r: &Region| self.previous.count(r) / self.previous.sent.len() as f64;
        let growth =
            |r: &Region, additional: f64| (self.current.count(r) + additional) / total - previous_share(r);
        let region_growth = growth(region, 1.0);
        if region_growth <= 0.0 {
            return true;
        }
        let others = self.current.counts.keys().filter(|r| *r != region);
        region_growth + others.map(|r| growth(r, 0.0).max(0.0)).sum::<f64>() <= max_shift * USED_FRACTION
    }
}
