//! Sends requests at their intended times.

use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// A run is spoilt when the p99 of its lateness is above this time: the tool was then too slow for the trace.
pub const LATENESS_LIMIT: Duration = Duration::from_millis(5);

/// Calls `send` with the number of each request at `start` plus its intended time (µs). A time that has passed is sent
/// at once, and later times do not move. Stops early when `send` returns false.
pub fn pace(start: Instant, times_us: impl Iterator<Item = u64>, mut send: impl FnMut(usize) -> bool) {
    for (i, at_us) in times_us.enumerate() {
        let at = start + Duration::from_micros(at_us);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        if !send(i) {
            return;
        }
    }
}

/// A histogram of times in µs up to a minute, with three significant digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

/// Time between the intended and the actual start of requests in µs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lateness {
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Highest.
    pub max_us: u64,
    /// Whether the run is spoilt because the tool was late.
    pub spoilt: bool,
}

impl Lateness {
    /// Summarizes lateness of single requests.
    ///
    /// ```
    /// use medlarstair_daemons::load::pace::Lateness;
    ///
    /// assert!(!Lateness::of([100, 200, 300]).spoilt);
    /// assert!(Lateness::of([100, 200, 6_000]).spoilt);
    /// ```
    pub fn of(late_us: impl IntoIterator<Item = u64>) -> Self {
        let mut hist = histogram();
        for us in late_us {
            hist.saturating_record(us);
        }
        let p99_us = hist.value_at_quantile(0.99);
        Self {
            p50_us: hist.value_at_quantile(0.5),
            p99_us,
            max_us: hist.max(),
            spoilt: u128::from(p99_us) > LATENESS_LIMIT.as_micros(),
        }
    }
}
