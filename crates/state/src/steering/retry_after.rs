//! Spreads the retries of refused requests over time.
//!
//! Clients that are refused in a burst would all retry at the same moment if each were given the same delay. Each
//! refusal is given the next free retry time instead, spaced at the rate at which the service completes requests.

use std::time::Duration;

use crate::time::Timestamp;

/// Minimum delay of a retry after a refusal.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Retry times handed out to the clients of one service.
#[derive(Debug, Clone, Default)]
pub struct RetryAfterSchedule {
    /// The next free retry time.
    next: Timestamp,
}

impl RetryAfterSchedule {
    /// The retry delay for the next refused client: at least `capacity_delay`, after the retry times that were handed
    /// out before, and at most `max_delay`.
    pub fn next_delay(
        &mut self,
        now: Timestamp,
        capacity_delay: Duration,
        spacing: Duration,
        max_delay: Duration,
    ) -> Duration {
        let earliest = now + capacity_delay.max(MIN_RETRY_DELAY);
        let retry_at = self.next.max(earliest);
        if retry_at.since(now) > max_delay {
            // The schedule extends beyond the time that the client waits. Later retry times would be useless.
            return max_delay;
        }
        self.next = retry_at + spacing;
        retry_at.since(now)
    }
}
