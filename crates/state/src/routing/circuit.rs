//! Circuit breaker and slow start of one backend server.

use std::time::Duration;

use crate::model::MAX_RUN_TIME;
use crate::time::Timestamp;

/// Consecutive connect failures that open the circuit.
pub(super) const FAILURES_TO_OPEN: u32 = 5;

/// Time for which the circuit first stays open. Each failed trial doubles it.
pub(super) const INITIAL_OPEN_TIME: Duration = Duration::from_secs(1);

/// Maximum time for which the circuit stays open.
pub(super) const MAX_OPEN_TIME: Duration = Duration::from_secs(30);

/// Time in which requests must succeed before the slow-start cap doubles.
pub(super) const SLOW_START_STEP: Duration = Duration::from_secs(1);

/// Circuit breaker on connect failures.
#[derive(Debug, Clone, Copy)]
pub(super) enum Circuit {
    Closed {
        failures: u32,
    },
    /// Open before `until`; half open from then on, with one trial request at a time.
    Open {
        until: Timestamp,
        open_time: Duration,
        /// Start of the trial request in progress.
        trial: Option<Timestamp>,
    },
}

impl Circuit {
    pub(super) const CLOSED: Self = Self::Closed { failures: 0 };

    /// Whether a request may go to the server.
    pub(super) fn accepts(&self, now: Timestamp) -> bool {
        match *self {
            Self::Closed { .. } => true,
            // A trial whose end was never recorded is over after the maximum run time of a request.
            Self::Open { until, trial, .. } => {
                now >= until && trial.is_none_or(|t| now.since(t) > MAX_RUN_TIME)
            }
        }
    }

    pub(super) fn is_open(&self) -> bool {
        matches!(self, Self::Open { .. })
    }

    pub(super) fn on_select(&mut self, now: Timestamp) {
        if let Self::Open { trial, .. } = self {
            *trial = Some(now);
        }
    }

    /// Records an attempt that says nothing about the server: it was not sent, or the caller disconnected.
    pub(super) fn on_cancelled(&mut self) {
        if let Self::Open { trial, .. } = self {
            *trial = None;
        }
    }

    /// Records that the server responded. Returns whether this closed the circuit.
    pub(super) fn on_connected(&mut self) -> bool {
        match self {
            // A response to a request from before the circuit opened does not show that the server is reachable now.
            Self::Open { trial: None, .. } => false,
            Self::Open { .. } => {
                *self = Self::CLOSED;
                true
            }
            Self::Closed { failures } => {
                *failures = 0;
                false
            }
        }
    }

    pub(super) fn on_connect_failure(&mut self, now: Timestamp) {
        match self {
            Self::Closed { failures } => {
                *failures += 1;
                if *failures >= FAILURES_TO_OPEN {
                    *self = Self::Open {
                        until: now + INITIAL_OPEN_TIME,
                        open_time: INITIAL_OPEN_TIME,
                        trial: None,
                    };
                }
            }
            Self::Open { .. } => self.on_trial_failure(now),
        }
    }

    /// Records a timeout or a lost connection, which fails a trial but does not open a closed circuit.
    pub(super) fn on_trial_failure(&mut self, now: Timestamp) {
        if let Self::Open { until, open_time, trial } = self
            && trial.take().is_some()
        {
            *open_time = (*open_time * 2).min(MAX_OPEN_TIME);
            *until = now + *open_time;
        }
    }
}

/// Limit on concurrent requests to a server that has just started or become reachable.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlowStart {
    cap: u32,
    /// First success since the last failure or change of the cap.
    first_success: Option<Timestamp>,
}

impl SlowStart {
    pub(super) const INITIAL: Self = Self { cap: 1, first_success: None };

    /// Maximum number of concurrent requests; `u32::MAX` when slow start is complete.
    pub(super) fn cap(&self) -> u32 {
        self.cap
    }

    pub(super) fn on_success(&mut self, now: Timestamp, slots: u32) {
        let first_success = *self.first_success.get_or_insert(now);
        if self.cap == u32::MAX || now.since(first_success) < SLOW_START_STEP {
            return;
        }
        let cap = self.cap * 2;
        *self = Self { cap: if cap >= slots { u32::MAX } else { cap }, first_success: Some(now) };
    }

    pub(super) fn on_failure(&mut self) {
        self.first_success = None;
    }
}
