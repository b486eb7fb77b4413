//! Retry budget of a service.
//!
//! Every send of a request after the first one counts as a retry. The limit holds over all daemons: each may use the
//! ratio of its own requests plus an equal share of the fixed allowance.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Fraction of the limit that the daemons use, so that retries which a server receives in a later window than they were
/// sent in do not exceed it.
const USED_FRACTION: f64 = 0.6;

/// Limit on retries: `ratio` times the number of requests within `window`, plus `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries per window in addition to the ratio, for all daemons together.
    pub slack: f64,
}

/// Recent requests and retries of one service at this daemon.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl RetryBudget {
    /// Records the arrival of a request for the service.
    pub fn record_request(&mut self, now: Timestamp) {
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget. Returns `false` if none is left.
    pub fn try_take(&mut self, now: Timestamp, limits: &RetryLimits, daemons: usize) -> bool {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > limits.window) {
                times.pop_front();
            }
        }
        let slack = limits.slack / daemons.max(1) as f64;
        let max_retries = (limits.ratio * self.requests.len() as f64 + slack) * USED_FRACTION;
        if self.retries.len() as f64 + 1.0 > max_retries {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Removes requests that have left the window, so that memory stays bounded while there are no retries.
    pub fn expire(&mut self, now: Timestamp, limits: &RetryLimits) {
        while self.requests.front().is_some_and(|at| now.since(*at) > limits.window) {
            self.requests.pop_front();
        }
    }
}
