//! Spreads the return of refused requests.
//!
//! Callers that are refused in a burst would all come back at the same moment if each were told the same time. Each
//! refusal is given the next free turn at the rate at which the service finishes requests.

use std::time::Duration;

use crate::time::Timestamp;

/// Shortest time after which a caller is asked to return.
const RETURN_MIN: Duration = Duration::from_millis(50);

/// Turns of the callers of one service.
#[derive(Debug, Clone, Default)]
pub struct RetryAfterSchedule {
    next: Timestamp,
}

impl RetryAfterSchedule {
    /// The time after which the next refused caller may return: when `room` has passed and all turns before are taken, at
    /// most after `most`.
    pub fn turn(&mut self, now: Timestamp, room: Duration, spacing: Duration, most: Duration) -> Duration {
        let earliest = now + room.max(RETURN_MIN);
        let turn = self.next.max(earliest);
        if turn.since(now) > most {
            // The turns reach beyond the caller's patience, so later ones would be of no use to anyone.
            return most;
        }
        self.next = turn + spacing;
        turn.since(now)
    }
}
