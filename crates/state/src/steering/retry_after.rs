//! Spreads the retries of refused requests over time.
//!
//! Clients that are refused in a burst would all retry at the same moment if each were given the same delay. Each
//! refusal is given the next free retry time instead, spaced at the rate at which the service completes requests. A
//! client that returns before its retry time is given a longer delay each time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::steering::poison::Fingerprint;
use crate::time::Timestamp;

/// Minimum delay of a retry after a refusal.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Fraction of the maximum delay over which retries are spread when the schedule extends beyond it.
const SPREAD_FRACTION: f64 = 0.2;

/// Fraction of a delay after which a return counts as on time. Clients measure time differently.
const ON_TIME_FRACTION: f64 = 0.8;

/// Factor on the delay for each early return.
const EARLY_RETURN_FACTOR: u32 = 2;

/// Maximum number of early returns that lengthen the delay.
const MAX_EARLY_RETURNS: u32 = 4;

/// Number of refused clients that are remembered. Older ones count as having returned on time.
const MAX_REMEMBERED: usize = 1_024;

/// Retry times handed out to the clients of one service.
#[derive(Debug, Clone, Default)]
pub struct RetryAfterSchedule {
    /// The next free retry time.
    next: Timestamp,
    /// Position in the sequence that spreads retries when the schedule is full.
    spread: f64,
    early_returns: EarlyReturns,
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
            return self.spread_delay(max_delay);
        }
        self.next = retry_at + spacing;
        retry_at.since(now)
    }

    /// As [`next_delay`](Self::next_delay), and longer for a client that has returned too early. `is_return` tells
    /// whether the client has been refused before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use medlarstair_state::steering::poison::Fingerprint;
    /// use medlarstair_state::steering::retry_after::RetryAfterSchedule;
    /// use medlarstair_state::time::Timestamp;
    /// let mut schedule = RetryAfterSchedule::default();
    /// let mut refuse = |ms, is_return| {
    ///     let (delay, max_delay) = (Duration::from_millis(100), Duration::from_secs(1));
    ///     let now = Timestamp::from_millis(ms);
    ///     schedule.delay_for(now, Fingerprint(7), is_return, delay, Duration::ZERO, max_delay)
    /// };
    /// assert_eq!(refuse(0, false), Duration::from_millis(100));
    /// assert_eq!(refuse(30, true), Duration::from_millis(200));
    /// ```
    pub fn delay_for(
        &mut self,
        now: Timestamp,
        client: Fingerprint,
        is_return: bool,
        capacity_delay: Duration,
        spacing: Duration,
        max_delay: Duration,
    ) -> Duration {
        let early_returns = if is_return { self.early_returns.count(now, client) } else { 0 };
        let delay = self.next_delay(now, capacity_delay, spacing, max_delay);
        let delay = (delay * EARLY_RETURN_FACTOR.pow(early_returns)).min(max_delay);
        self.early_returns.record(now, client, early_returns, delay);
        delay
    }

    /// A delay in the last part of `max_delay`. Successive delays are far apart from each other.
    fn spread_delay(&mut self, max_delay: Duration) -> Duration {
        // Multiples of the golden ratio, modulo 1, are evenly distributed for any number of clients.
        self.spread = (self.spread + 0.618_033_988_749_895).fract();
        max_delay.mul_f64(1.0 - SPREAD_FRACTION * self.spread)
    }
}

/// A refusal of one client.
#[derive(Debug, Clone, Copy)]
struct Refused {
    /// Earliest time of a return that counts as on time.
    on_time_from: Timestamp,
    early_returns: u32,
}

/// Clients that were refused lately, with the number of their early returns. Memory is bounded.
#[derive(Debug, Clone, Default)]
struct EarlyReturns {
    refused: BTreeMap<Fingerprint, Refused>,
    /// Clients in the order in which they were first refused.
    order: VecDeque<Fingerprint>,
}

impl EarlyReturns {
    /// Number of early returns of a client that returns now, including this one.
    fn count(&self, now: Timestamp, client: Fingerprint) -> u32 {
        match self.refused.get(&client) {
            Some(refused) if now < refused.on_time_from => (refused.early_returns + 1).min(MAX_EARLY_RETURNS),
            _ => 0,
        }
    }

    fn record(&mut self, now: Timestamp, client: Fingerprint, early_returns: u32, delay: Duration) {
        let on_time_from = now + delay.mul_f64(ON_TIME_FRACTION);
        if self.refused.insert(client, Refused { on_time_from, early_returns }).is_some() {
            return;
        }
        self.order.push_back(client);
        if self.order.len() <= MAX_REMEMBERED {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.refused.remove(&oldest);
        }
    }
}
