//! A monotonic count of minutes.

use std::time::Duration;

use super::token::Minute;
use crate::time::Timestamp;

/// Length of a minute.
const MINUTE: Duration = Duration::from_secs(60);

/// The latest minute that is known to have begun.
///
/// It follows the wall clock when that advances. If the wall clock is set back or not reported, it advances with the
/// daemon's monotonic clock, so that entries still expire.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MinuteClock {
    latest: Option<Latest>,
}

/// The current minute, and the time on the monotonic clock at which it began or was first observed.
#[derive(Debug, Clone, Copy)]
struct Latest {
    minute: Minute,
    since: Timestamp,
}

impl MinuteClock {
    /// Updates the count with the wall clock's `minute` and returns the current minute.
    pub(super) fn observe(&mut self, now: Timestamp, minute: Minute) -> Minute {
        self.advance(now);
        match self.latest {
            Some(latest) if latest.minute >= minute => latest.minute,
            _ => {
                self.latest = Some(Latest { minute, since: now });
                minute
            }
        }
    }

    /// Advances the count by the whole minutes that have passed on the daemon's monotonic clock.
    pub(super) fn advance(&mut self, now: Timestamp) {
        let Some(latest) = &mut self.latest else {
            return;
        };
        let passed = u32::try_from(now.since(latest.since).as_secs() / MINUTE.as_secs()).unwrap_or(u32::MAX);
        latest.minute = latest.minute.saturating_add(passed);
        latest.since = latest.since + MINUTE * passed;
    }

    /// The current minute. `None` before the first call of [`MinuteClock::observe`].
    pub(super) fn current(&self) -> Option<Minute> {
        self.latest.map(|latest| latest.minute)
    }
}
