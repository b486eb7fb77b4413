//! Paces requests by their intended send times and measures the delays that the tool adds.

use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Limit of the 99th percentile of the lateness. Above it the tool was too slow for the trace and the run is invalid.
pub const MAX_P99_LATENESS: Duration = Duration::from_millis(5);

/// Calls `send` with the index of each request at `start` plus its intended send time in µs. An overdue request is sent
/// at once, without delaying later ones. Stops when `send` returns false.
pub fn pace(start: Instant, times_us: impl Iterator<Item = u64>, mut send: impl FnMut(usize) -> bool) {
    for (i, at_us) in times_us.enumerate() {
        let at = start + Duration::from_micros(at_us);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        if !send(i) {
            return;
        }
    }
}

/// Creates a histogram of times in µs, up to one minute with three significant digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

/// Delays in µs from the intended send times to the start of the sending tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lateness {
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
    /// Whether `p99_us` exceeds [`MAX_P99_LATENESS`], which makes the run invalid.
    pub spoilt: bool,
}

impl Lateness {
    /// Summarizes the delays of single requests, in µs.
    ///
    /// ```
    /// use medlarstair_daemons::load::pace::Lateness;
    ///
    /// assert!(!Lateness::from_samples([100, 200, 300]).spoilt);
    /// assert!(Lateness::from_samples([100, 200, 6_000]).spoilt);
    /// ```
    pub fn from_samples(lateness_us: impl IntoIterator<Item = u64>) -> Self {
        let mut hist = histogram();
        for us in lateness_us {
            hist.saturating_record(us);
        }
        let p99_us = hist.value_at_quantile(0.99);
        Self {
            p50_us: hist.value_at_quantile(0.5),
            p99_us,
            max_us: hist.max(),
            spoilt: u128::from(p99_us) > MAX_P99_LATENESS.as_micros(),
        }
    }
}
