//! Bounds how fast the requests of a region's callers change the region that serves them.
//!
//! The bound compares two adjacent windows. A request may be sent to a region only if the region's part of the current
//! window stays within the bound of its part of the window before. All daemons of a region keep the bound on their own
//! requests, so the region as a whole keeps it while their loads stay alike.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::id::Region;
use crate::time::Timestamp;

/// Length of each of the two windows that are compared.
const WINDOW: Duration = Duration::from_secs(2);

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
pub struct ShiftGuard {
    current: Window,
    before: Window,
}

impl ShiftGuard {
    /// Moves requests between the windows as they age.
    pub fn advance(&mut self, now: Timestamp) {
        while let Some((at, region)) = self.current.pop_older(now, WINDOW) {
            self.before.push(at, region);
        }
        while self.before.pop_older(now, 2 * WINDOW).is_some() {}
    }

    /// A request was sent to a region.
    pub fn sent(&mut self, now: Timestamp, region: &Region) {
        self.current.push(now, region.clone());
    }

    /// Whether one more request to `region` keeps its part within `most` of its part before.
    pub fn allows(&self, region: &Region, most: f64) -> bool {
        let before_total = self.before.sent.len();
        if before_total < SAMPLE_MIN {
            return true;
        }
        let part_before = self.before.count(region) / before_total as f64;
        // In a window that has just begun, single requests weigh too much; the window before stands in for the rest.
        let total = (self.current.sent.len() + 1).max(before_total / 2) as f64;
        (self.current.count(region) + 1.0) / total <= part_before + most
    }
}
