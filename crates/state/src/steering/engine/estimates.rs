//! Estimates of the run time of requests and of the demand for slots.

use std::time::Duration;

use crate::steering::plan::Route;
use crate::time::Timestamp;

/// Assumed run time of a request in seconds, until one has been measured.
pub(super) const INITIAL_RUN_SECONDS: f64 = 0.2;

/// Assumed rate at which a daemon sends requests of one priority to a service, per second, until some have been sent.
const INITIAL_DISPATCHES_PER_SECOND: f64 = 20.0;

/// Assumed ratio of the work on a cold object to that on a warm one, until both have been measured.
const INITIAL_COLD_RATIO: f64 = 3.0;

/// Assumed work on a warm object, relative to the latency objective of its route, until it has been measured.
const INITIAL_WORK_RATIO: f64 = 0.5;

/// Weight of a new sample in a [`MovingAverage`].
const SAMPLE_WEIGHT: f64 = 0.1;

/// Time constant of the moving average of the demand of a priority.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Minimum age that is assumed for a demand average. An average over a shorter time is not significant.
const MIN_DEMAND_AGE: Duration = Duration::from_millis(300);

/// An exponentially weighted moving average with an initial estimate.
#[derive(Debug, Clone, Copy)]
pub(super) struct MovingAverage {
    pub(super) value: f64,
    samples: u32,
}

impl MovingAverage {
    pub(super) fn new(initial: f64) -> Self {
        Self { value: initial, samples: 0 }
    }

    /// Adds a sample.
    pub(super) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        self.value += (sample - self.value) * SAMPLE_WEIGHT;
    }

    /// Whether the average contains a sample and is not only the initial estimate.
    pub(super) fn is_measured(&self) -> bool {
        self.samples > 0
    }
}

/// Demand of the requests of one priority for slots, as an exponentially weighted moving average.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SlotDemand {
    /// Average number of slots in use at `updated_at`.
    slots: f64,
    started_at: Option<Timestamp>,
    updated_at: Timestamp,
    /// Latency objective of the last request.
    pub(super) latency_objective: Duration,
}

impl SlotDemand {
    /// Average number of slots in use. Too low until several time constants have passed since the first request.
    pub(super) fn slots(&self, now: Timestamp) -> f64 {
        self.slots * (-now.since(self.updated_at).as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Average number of slots in use, corrected for the short time since the first request.
    pub(super) fn slots_since_start(&self, now: Timestamp) -> f64 {
        let age =
            self.started_at.map_or(Duration::ZERO, |started_at| now.since(started_at)).max(MIN_DEMAND_AGE);
        self.slots(now) / (1.0 - (-age.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp())
    }

    /// Records a request that occupies a slot for `work` seconds.
    pub(super) fn add(&mut self, now: Timestamp, work: f64, latency_objective: Duration) {
        self.slots = self.slots(now) + work / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.started_at.get_or_insert(now);
        self.updated_at = now;
        self.latency_objective = latency_objective;
    }
}

/// Rate at which requests of one priority are sent to a service, as an exponentially weighted moving average.
///
/// It decreases while none is sent. Otherwise the expected wait of requests that are held back by more urgent ones
/// would be too short.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DispatchRate {
    /// Sends, each recorded as a request that occupies a slot for one second.
    sent: SlotDemand,
}

impl DispatchRate {
    /// Records a send.
    pub(super) fn add(&mut self, now: Timestamp) {
        self.sent.add(now, 1.0, Duration::ZERO);
    }

    /// Average number of sends per second.
    pub(super) fn per_second(&self, now: Timestamp) -> f64 {
        if self.sent.started_at.is_none() {
            return INITIAL_DISPATCHES_PER_SECOND;
        }
        self.sent.slots_since_start(now)
    }
}

/// Estimated work per request of one route, in seconds.
#[derive(Debug, Clone)]
pub(super) struct WorkEstimates {
    /// Work on a warm object.
    pub(super) warm: MovingAverage,
    /// Work on a cold object.
    pub(super) cold: MovingAverage,
    /// Longest timeout that a client of the route has set.
    pub(super) max_client_timeout: Duration,
}

impl WorkEstimates {
    pub(super) fn new(route: &Route) -> Self {
        let warm = MovingAverage::new(route.latency_objective.as_secs_f64() * INITIAL_WORK_RATIO);
        Self {
            warm,
            cold: MovingAverage::new(warm.value * INITIAL_COLD_RATIO),
            max_client_timeout: Duration::ZERO,
        }
    }

    /// Whether any request has been measured.
    pub(super) fn is_measured(&self) -> bool {
        self.warm.is_measured() || self.cold.is_measured()
    }

    /// Records the work of a request. Work on an object that was assumed to be cold is recorded only if it took
    /// markedly longer than on a warm one, because the object may have been warm.
    pub(super) fn record(&mut self, work: f64, warm: bool) {
        if warm {
            self.warm.add(work);
        } else if work > self.warm.value * 1.5 {
            self.cold.add(work);
        }
    }
}
