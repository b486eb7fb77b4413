//! Bounds how fast the requests of a region's callers change the region that serves them.
//!
//! The bound compares two adjacent windows. A request may be sent to a region only if the parts by which regions have grown
//! since the window before stay within the bound together. All daemons of a region keep the bound on their own requests,
//! so the region as a whole keeps it while their loads stay alike.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::id::Region;
use crate::time::Timestamp;

/// Length of each of the two windows that are compared.
const WINDOW: Duration = Duration::from_secs(2);

/// Part of the bound that is used, since daemons see different parts of the load.
const USABLE: f64 = 0.8;

/// Requests in a window below which its parts say nothing.
const SAMPLE_MIN: usize = 8;

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

/// Recent requests by the region that served them.
#[derive(Debug, Clone, Default)]
pub struct RegionShiftLimiter {
    current: Window,
    before: Window,
    /// First request since the start or the last lull.
    begun: Option<Timestamp>,
}

impl RegionShiftLimiter {
    /// Moves requests between the windows as they age.
    pub fn advance(&mut self, now: Timestamp) {
        // After a start, the second window is compared with the whole first one, not with a part that has just begun.
        let since_begin = self.begun.map_or(Duration::ZERO, |begun| now.since(begun));
        let age = if since_begin < 2 * WINDOW { since_begin.saturating_sub(WINDOW) } else { WINDOW };
        if since_begin > WINDOW {
            while let Some((at, region)) = self.current.pop_older(now, age) {
                self.before.push(at, region);
            }
        }
        while self.before.pop_older(now, 2 * WINDOW).is_some() {}
        if self.before.sent.is_empty() && self.current.sent.is_empty() {
            self.begun = None;
        }
    }

    /// A request was sent to a region.
    pub fn sent(&mut self, now: Timestamp, region: &Region) {
        self.begun.get_or_insert(now);
        self.current.push(now, region.clone());
    }

    /// Whether one more request to `region` keeps the requests that have changed their region since the window before
    /// within `most` of all.
    pub fn allows(&self, region: &Region, most: f64) -> bool {
        if self.before.sent.len() < SAMPLE_MIN {
            return true;
        }
        // In a window that has just begun, single requests weigh too much; the window before stands in for the rest.
        let total = (self.current.sent.len() + 1).max(self.before.sent.len() / 2) as f64;
        let part_before = |r: &Region| self.before.count(r) / self.before.sent.len() as f64;
        let growth = |r: &Region, added: f64| (self.current.count(r) + added) / total - part_before(r);
        let own = growth(region, 1.0);
        if own <= 0.0 {
            return true;
        }
        let others = self.current.counts.keys().filter(|r| *r != region);
        own + others.map(|r| growth(r, 0.0).max(0.0)).sum::<f64>() <= most * USABLE
    }
}
