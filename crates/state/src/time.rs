//! Timestamps for the decision logic.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time in microseconds on the daemon's monotonic clock, which also advances while the machine is suspended.
///
/// Timestamps of different daemons are not comparable.
///
/// ```
/// use std::time::Duration;
/// use medlarstair_state::time::Timestamp;
/// let t = Timestamp::from_millis(5) + Duration::from_millis(2);
/// assert_eq!(t.since(Timestamp::from_millis(5)), Duration::from_millis(2));
/// assert_eq!(Timestamp::ZERO.since(t), Duration::ZERO);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates a timestamp `ms` milliseconds after the origin of the clock.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1000)
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
