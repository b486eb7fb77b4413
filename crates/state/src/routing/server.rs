//! What this daemon knows about one backend server.

use std::time::Duration;

use super::circuit::{Circuit, SlowStart};
use super::{AttemptEnd, LoadReport};
use crate::model::BackendSpec;
use crate::time::Timestamp;

/// Load reports older than this count as absent.
pub(super) const REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// Part of failed requests above which a server counts as failing.
pub(super) const FAILING: f64 = 0.5;

/// Time between trial requests to a failing server.
pub(super) const TRIAL_SPACING: Duration = Duration::from_secs(1);

/// Time constant after which errors and unusual latencies are forgotten, so that a recovered server gets
/// requests again.
const MEMORY: Duration = Duration::from_secs(5);

const LATENCY_WEIGHT: f64 = 1.0 / 8.0;
const ERROR_WEIGHT: f64 = 1.0 / 4.0;

#[derive(Debug, Clone)]
pub(super) struct Server {
    pub(super) spec: BackendSpec,
    /// A drain or the VM list takes the server out of service.
    pub(super) out: bool,
    draining: bool,
    boot: Option<u64>,
    /// Reported part of the slots in use.
    reported: f64,
    reported_at: Option<Timestamp>,
    pub(super) circuit: Circuit,
    pub(super) slow_start: SlowStart,
    /// Mean latency of successful requests in seconds.
    pub(super) latency: Option<f64>,
    latency_at: Timestamp,
    errors: f64,
    errors_at: Timestamp,
    picked_at: Option<Timestamp>,
}

impl Server {
    pub(super) fn new(now: Timestamp, spec: BackendSpec) -> Self {
        Self {
            spec,
            out: false,
            draining: false,
            boot: None,
            reported: 0.0,
            reported_at: None,
            circuit: Circuit::CLOSED,
            slow_start: SlowStart::COLD,
            latency: None,
            latency_at: now,
            errors: 0.0,
            errors_at: now,
            picked_at: None,
        }
    }

    pub(super) fn accepts(&self, now: Timestamp) -> bool {
        !self.out && !self.draining && self.circuit.accepts(now)
    }

    pub(super) fn slot_cap(&self) -> u32 {
        if self.circuit.is_open() { 1 } else { self.slow_start.cap() }
    }

    pub(super) fn reported(&self, now: Timestamp) -> Option<f64> {
        self.reported_at.filter(|at| now.since(*at) <= REPORT_MAX_AGE).map(|_| self.reported)
    }

    pub(super) fn errors(&self, now: Timestamp) -> f64 {
        self.errors * remembered(now, self.errors_at)
    }

    /// Latency relative to the median of the service. Without new requests it approaches 1.
    pub(super) fn relative_latency(&self, now: Timestamp, median: f64) -> f64 {
        match self.latency {
            Some(latency) if median > 0.0 => {
                1.0 + (latency / median - 1.0) * remembered(now, self.latency_at)
            }
            _ => 1.0,
        }
    }

    /// Whether a failing server has had its trial request recently.
    pub(super) fn tried_recently(&self, now: Timestamp) -> bool {
        self.picked_at.is_some_and(|at| now.since(at) < TRIAL_SPACING)
    }

    pub(super) fn on_select(&mut self, now: Timestamp) {
        self.picked_at = Some(now);
        self.circuit.on_select(now);
    }

    fn record(&mut self, now: Timestamp, failed: bool) {
        let errors = self.errors(now) * (1.0 - ERROR_WEIGHT);
        self.errors = errors + if failed { ERROR_WEIGHT } else { 0.0 };
        self.errors_at = self.errors_at.max(now);
        if failed {
            self.slow_start.on_failure();
        }
    }

    /// The mean starts from the value that the forgetting has left, so that one request does not bring back
    /// an old latency.
    fn record_latency(&mut self, now: Timestamp, latency: Duration, median: f64) {
        let latency = latency.as_secs_f64();
        let mean = match self.latency {
            Some(_) if median > 0.0 => median * self.relative_latency(now, median),
            known => known.unwrap_or(latency),
        };
        self.latency = Some(mean + (latency - mean) * LATENCY_WEIGHT);
        self.latency_at = self.latency_at.max(now);
    }

    /// `median` is the median latency of the service in seconds.
    pub(super) fn on_attempt_end(&mut self, now: Timestamp, end: &AttemptEnd, median: f64) {
        match end {
            AttemptEnd::Ran { .. } | AttemptEnd::ServerError { .. } | AttemptEnd::Shed => {
                if self.circuit.on_connected() {
                    // The server was unreachable and has probably restarted.
                    self.slow_start = SlowStart::COLD;
                }
            }
            AttemptEnd::NotConnected => self.circuit.on_connect_failure(now),
            AttemptEnd::Broken | AttemptEnd::TimedOut => self.circuit.on_trial_failure(now),
            AttemptEnd::Cancelled => {
                self.circuit.on_neutral();
                return;
            }
        }
        self.record(now, !matches!(end, AttemptEnd::Ran { .. }));
        match *end {
            AttemptEnd::Ran { latency } => {
                self.record_latency(now, latency, median);
                self.slow_start.on_success(now, self.spec.slots.0);
            }
            // An error is often faster than the work it replaces. Only a slow one tells something about
            // latency.
            AttemptEnd::ServerError { latency }
                if self.latency.is_some_and(|l| latency.as_secs_f64() > l) =>
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
            self.slow_start = SlowStart::COLD;
            self.latency = None;
            self.errors = 0.0;
        }
        self.boot = Some(report.boot);
        // Only a recent report can end a drain that an earlier one announced.
        self.draining = report.draining || (self.draining && report.age > REPORT_MAX_AGE);
        self.reported = match report.slots {
            0 => 1.0,
            slots => (f64::from(report.in_use) / f64::from(slots)).min(1.0),
        };
        self.reported_at = Some(measured_at);
    }
}

/// Part of an observation from `then` that still counts.
fn remembered(now: Timestamp, then: Timestamp) -> f64 {
    (-now.since(then).as_secs_f64() / MEMORY.as_secs_f64()).exp()
}
