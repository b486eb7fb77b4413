//! State of one backend server as observed by this daemon.

use std::time::Duration;

use super::circuit::{Circuit, SlowStart};
use super::{AttemptEnd, LoadReport};
use crate::model::BackendSpec;
use crate::time::Timestamp;

/// Maximum age of a load report. Older reports are ignored.
pub(super) const REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// Error rate above which a server counts as failing.
pub(super) const FAILING_ERROR_RATE: f64 = 0.5;

/// Minimum time between trial requests to a failing server.
pub(super) const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time constant of the exponential decay of observed errors and latencies. Without decay, a recovered server would
/// get no requests and could never improve its statistics.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// Weight of a new value in the moving average of the latency.
const LATENCY_SMOOTHING: f64 = 1.0 / 8.0;

/// Weight of a new value in the moving average of the error rate.
const ERROR_SMOOTHING: f64 = 1.0 / 4.0;

#[derive(Debug, Clone)]
pub(super) struct Server {
    pub(super) spec: BackendSpec,
    /// Whether a drain or the VM list removes the server from service.
    pub(super) out_of_service: bool,
    draining: bool,
    boot: Option<u64>,
    /// Reported fraction of the slots in use, 0 to 1.
    reported_load: f64,
    reported_at: Option<Timestamp>,
    pub(super) circuit: Circuit,
    pub(super) slow_start: SlowStart,
    /// Moving average of the latency in seconds, of successful requests and slow errors. `None` before the first.
    pub(super) mean_latency: Option<f64>,
    latency_updated: Timestamp,
    /// Moving average of the error rate at `errors_updated`, 0 to 1.
    error_rate: f64,
    errors_updated: Timestamp,
    selected_at: Option<Timestamp>,
}

impl Server {
    pub(super) fn new(now: Timestamp, spec: BackendSpec) -> Self {
        Self {
            spec,
            out_of_service: false,
            draining: false,
            boot: None,
            reported_load: 0.0,
            reported_at: None,
            circuit: Circuit::CLOSED,
            slow_start: SlowStart::INITIAL,
            mean_latency: None,
            latency_updated: now,
            error_rate: 0.0,
            errors_updated: now,
            selected_at: None,
        }
    }

    pub(super) fn accepts(&self, now: Timestamp) -> bool {
        !self.out_of_service && !self.draining && self.circuit.accepts(now)
    }

    pub(super) fn slot_cap(&self) -> u32 {
        if self.circuit.is_open() { 1 } else { self.slow_start.cap() }
    }

    /// Reported fraction of the slots in use; `None` without a recent report.
    pub(super) fn reported_load(&self, now: Timestamp) -> Option<f64> {
        self.reported_at.filter(|at| now.since(*at) <= REPORT_MAX_AGE).map(|_| self.reported_load)
    }

    /// Recent fraction of failed requests, 0 to 1. Without new requests it approaches 0.
    pub(super) fn error_rate(&self, now: Timestamp) -> f64 {
        self.error_rate * decay(now, self.errors_updated)
    }

    /// Mean latency divided by the median of the service. Without new requests it approaches 1.
    pub(super) fn relative_latency(&self, now: Timestamp, median: f64) -> f64 {
        match self.mean_latency {
            Some(latency) if median > 0.0 => {
                1.0 + (latency / median - 1.0) * decay(now, self.latency_updated)
            }
            _ => 1.0,
        }
    }

    /// Whether the server was selected within the last [`TRIAL_INTERVAL`].
    pub(super) fn selected_recently(&self, now: Timestamp) -> bool {
        self.selected_at.is_some_and(|at| now.since(at) < TRIAL_INTERVAL)
    }

    pub(super) fn on_select(&mut self, now: Timestamp) {
        self.selected_at = Some(now);
        self.circuit.on_select(now);
    }

    fn record_outcome(&mut self, now: Timestamp, failed: bool) {
        let error_rate = self.error_rate(now) * (1.0 - ERROR_SMOOTHING);
        self.error_rate = error_rate + if failed { ERROR_SMOOTHING } else { 0.0 };
        self.errors_updated = self.errors_updated.max(now);
        if failed {
            self.slow_start.on_failure();
        }
    }

    /// Updates the mean latency. The update starts from the decayed value, because one request would otherwise restore
    /// most of an old latency.
    fn record_latency(&mut self, now: Timestamp, latency: Duration, median: f64) {
        let latency = latency.as_secs_f64();
        let mean = match self.mean_latency {
            Some(_) if median > 0.0 => median * self.relative_latency(now, median),
            known => known.unwrap_or(latency),
        };
        self.mean_latency = Some(mean + (latency - mean) * LATENCY_SMOOTHING);
        self.latency_updated = self.latency_updated.max(now);
    }

    /// Records the end of an attempt. `median` is the median latency of the service in seconds.
    pub(super) fn on_attempt_end(&mut self, now: Timestamp, end: &AttemptEnd, median: f64) {
        match end {
            AttemptEnd::Ran { .. } | AttemptEnd::ServerError { .. } | AttemptEnd::Shed => {
                if self.circuit.on_connected() {
                    // The server was unreachable, so it has probably restarted.
                    self.slow_start = SlowStart::INITIAL;
                }
            }
            AttemptEnd::NotConnected => self.circuit.on_connect_failure(now),
            AttemptEnd::Broken | AttemptEnd::TimedOut => self.circuit.on_trial_failure(now),
            AttemptEnd::Cancelled => {
                self.circuit.on_cancelled();
                return;
            }
        }
        self.record_outcome(now, !matches!(end, AttemptEnd::Ran { .. }));
        match *end {
            AttemptEnd::Ran { latency } => {
                self.record_latency(now, latency, median);
                self.slow_start.on_success(now, self.spec.slots.0);
            }
            // Errors are often faster than successful requests, so only slow ones are informative about the latency.
            AttemptEnd::ServerError { latency }
                if self.mean_latency.is_some_and(|l| latency.as_secs_f64() > l) =>
            {
                self.record_latency(now, latency, median);
            }
            _ => {}
        }
    }

    pub(super) fn on_report(&mut self, now: Timestamp, report: &LoadReport) {
        let measured_at = now - report.age;
        if self.reported_at.is_some_and(|at| measured_at < at) {
            return;
        }
        if self.boot.is_some_and(|boot| boot != report.boot) {
            self.slow_start = SlowStart::INITIAL;
            self.mean_latency = None;
            self.error_rate = 0.0;
        }
        self.boot = Some(report.boot);
        // Only a recent report can end the draining state set by an earlier one.
        self.draining = report.draining || (self.draining && report.age > REPORT_MAX_AGE);
        self.reported_load = match report.slots {
            0 => 1.0,
            slots => (f64::from(report.in_use) / f64::from(slots)).min(1.0),
        };
        self.reported_at = Some(measured_at);
    }
}

/// Weight, 0 to 1, of an observation made at `observed`.
fn decay(now: Timestamp, observed: Timestamp) -> f64 {
    (-now.since(observed).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}
