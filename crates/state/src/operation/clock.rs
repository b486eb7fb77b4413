//! A count of minutes that never goes back.

use std::time::Duration;

use super::token::Minute;
use crate::time::Timestamp;

const MINUTE: Duration = Duration::from_secs(60);

/// The highest minute that is known to have begun.
///
/// It follows the wall clock forwards. When the wall clock is set back or no minute is reported, it advances with the
/// daemon's own clock, so that entries still expire.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MinuteClock {
    latest: Option<Latest>,
}

#[derive(Debug, Clone, Copy)]
struct Latest {
    minute: Minute,
    since: Timestamp,
}

impl MinuteClock {
    /// Takes the wall clock's minute into account and returns the current one.
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

    /// Advances by the whole minutes that have passed on the daemon's own clock.
    pub(super) fn advance(&mut self, now: Timestamp) {
        let Some(latest) = &mut self.latest else {
            return;
        };
        let passed = u32::try_from(now.since(latest.since).as_secs() / MINUTE.as_secs()).unwrap_or(u32::MAX);
        latest.minute = latest.minute.saturating_add(passed);
        latest.since = latest.since + MINUTE * passed;
    }

    /// The current minute; `None` before the first was observed.
    pub(super) fn current(&self) -> Option<Minute> {
        self.latest.map(|latest| latest.minute)
    }
}
