//! Circuit breaker and slow start of one backend server.

use std::time::Duration;

use crate::model::MAX_RUN_TIME;
use crate::time::Timestamp;

/// Consecutive connect failures that open the circuit.
pub(super) const FAILURES_TO_OPEN: u32 = 5;

/// First time for which the circuit stays open; doubled with each failed trial.
pub(super) const OPEN_FIRST: Duration = Duration::from_secs(1);

/// Longest time for which the circuit stays open.
pub(super) const OPEN_LONGEST: Duration = Duration::from_secs(30);

/// Time in which requests must succeed for the cap of a cold server to double.
pub(super) const WARM_STEP: Duration = Duration::from_secs(1);

/// Circuit breaker on connect failures.
#[derive(Debug, Clone, Copy)]
pub(super) enum Circuit {
    Closed {
        failures: u32,
    },
    /// Half open from `until` on: one trial request at a time.
    Open {
        until: Timestamp,
        span: Duration,
        trial: Option<Timestamp>,
    },
}

impl Circuit {
    pub(super) const CLOSED: Self = Self::Closed { failures: 0 };

    /// Whether a request may go to the server.
    pub(super) fn accepts(&self, now: Timestamp) -> bool {
        match *self {
            Self::Closed { .. } => true,
            // A trial without a result is over after the longest run of any request.
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

    /// A picked request was not sent, or its caller gave up.
    pub(super) fn on_neutral(&mut self) {
        if let Self::Open { trial, .. } = self {
            *trial = None;
        }
    }

    /// Returns whether this closed the circuit.
    pub(super) fn on_connected(&mut self) -> bool {
        match self {
            // An answer to a request from before the failures says nothing about the server now.
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
                    *self = Self::Open { until: now + OPEN_FIRST, span: OPEN_FIRST, trial: None };
                }
            }
            Self::Open { .. } => self.on_trial_failure(now),
        }
    }

    /// A timeout or a broken connection fails a trial but does not open a closed circuit.
    pub(super) fn on_trial_failure(&mut self, now: Timestamp) {
        if let Self::Open { until, span, trial } = self
            && trial.take().is_some()
        {
            *span = (*span * 2).min(OPEN_LONGEST);
            *until = now + *span;
        }
    }
}

/// Cap on concurrent work at a cold server.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlowStart {
    cap: u32,
    /// First success since the last change of the cap or failure.
    since: Option<Timestamp>,
}

impl SlowStart {
    pub(super) const COLD: Self = Self { cap: 1, since: None };

    /// `u32::MAX` when the server is warm.
    pub(super) fn cap(&self) -> u32 {
        self.cap
    }

    pub(super) fn on_success(&mut self, now: Timestamp, slots: u32) {
        let since = *self.since.get_or_insert(now);
        if self.cap == u32::MAX || now.since(since) < WARM_STEP {
            return;
        }
        let cap = self.cap * 2;
        *self = Self { cap: if cap >= slots { u32::MAX } else { cap }, since: Some(now) };
    }

    pub(super) fn on_failure(&mut self) {
        self.since = None;
    }
}
