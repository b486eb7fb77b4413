//! Bounds repeated sends of a service's requests.
//!
//! Every send beyond the first of a request counts. The bound holds over all daemons: each spends the ratio of its own
//! requests and an equal part of the fixed allowance.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Part of the bound that is spent, so that sends which arrive in another window do not exceed it.
const USABLE: f64 = 0.6;

/// Bound on repeats: `ratio` of the requests in `window` plus `slack` for all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Repeats per request.
    pub ratio: f64,
    /// Window.
    pub window: Duration,
    /// Repeats per window beside the ratio, over all daemons.
    pub slack: f64,
}

/// Requests and repeats of one service at this daemon.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

impl RetryBudget {
    /// A request for the service arrived.
    pub fn requested(&mut self, now: Timestamp) {
        self.requests.push_back(now);
    }

    /// Takes one repeat from the budget. `false` if none is left.
    pub fn take(&mut self, now: Timestamp, limits: &RetryLimits, daemons: usize) -> bool {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.since(*at) > limits.window) {
                times.pop_front();
            }
        }
        let slack = limits.slack / daemons.max(1) as f64;
        let most = (limits.ratio * self.requests.len() as f64 + slack) * USABLE;
        if self.repeats.len() as f64 + 1.0 > most {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Forgets requests that no longer count, so that memory stays bounded without repeats.
    pub fn expire(&mut self, now: Timestamp, limits: &RetryLimits) {
        while self.requests.front().is_some_and(|at| now.since(*at) > limits.window) {
            self.requests.pop_front();
        }
    }
}
