//! How long requests take and how much slot time they ask for.

use std::time::Duration;

use crate::steering::plan::Route;
use crate::time::Timestamp;

/// Guess of the run of a request in seconds, until it has been measured.
pub(super) const RUN_GUESS: f64 = 0.2;

/// Guess of the requests of one priority that a daemon sends to a service a second, until some have been sent.
const RELEASES_GUESS: f64 = 20.0;

/// Work on a cold object relative to a warm one, until both have been measured.
const COLD_RATIO: f64 = 3.0;

/// Guess of the work on a warm object, relative to the objective of its route, until it has been measured.
const WORK_GUESS: f64 = 0.5;

/// Weight of a new sample in the mean times of a route.
const TIME_WEIGHT: f64 = 0.1;

/// Time over which the demand of an priority is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(3);

/// Time since the first request below which an average over it says nothing.
const DEMAND_AGE_MIN: Duration = Duration::from_millis(300);

/// An exponential average that starts with a guess.
#[derive(Debug, Clone, Copy)]
pub(super) struct Mean {
    pub(super) value: f64,
    samples: u32,
}

impl Mean {
    pub(super) fn new(guess: f64) -> Self {
        Self { value: guess, samples: 0 }
    }

    pub(super) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        self.value += (sample - self.value) * TIME_WEIGHT;
    }

    pub(super) fn is_measured(&self) -> bool {
        self.samples > 0
    }
}

/// Slot time that the requests of one priority ask for, as an exponential average.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    slots: f64,
    begun: Option<Timestamp>,
    updated: Timestamp,
    pub(super) latency_objective: Duration,
}

impl Demand {
    /// Slots that are needed on average.
    pub(super) fn slots(&self, now: Timestamp) -> f64 {
        self.slots * (-now.since(self.updated).as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    /// The same, with the time before the first request left out of the average.
    pub(super) fn slots_since_begin(&self, now: Timestamp) -> f64 {
        let age = self.begun.map_or(Duration::ZERO, |begun| now.since(begun)).max(DEMAND_AGE_MIN);
        self.slots(now) / (1.0 - (-age.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp())
    }

    /// A request that takes a slot for `work` seconds and has an objective.
    pub(super) fn add(&mut self, now: Timestamp, work: f64, latency_objective: Duration) {
        self.slots = self.slots(now) + work / DEMAND_WINDOW.as_secs_f64();
        self.begun.get_or_insert(now);
        self.updated = now;
        self.latency_objective = latency_objective;
    }
}

/// Requests of one priority that are sent to a service, as an exponential average. It falls while none is sent, so that the
/// wait of requests which more urgent ones keep back is not taken for short.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReleaseRate {
    sent: Demand,
}

impl ReleaseRate {
    /// A request is sent.
    pub(super) fn add(&mut self, now: Timestamp) {
        self.sent.add(now, 1.0, Duration::ZERO);
    }

    /// Requests a second.
    pub(super) fn per_second(&self, now: Timestamp) -> f64 {
        if self.sent.begun.is_none() {
            return RELEASES_GUESS;
        }
        self.sent.slots_since_begin(now)
    }
}

#[derive(Debug, Clone)]
pub(super) struct RouteTimes {
    pub(super) warm: Mean,
    pub(super) cold: Mean,
    pub(super) longest_deadline: Duration,
}

impl RouteTimes {
    pub(super) fn new(route: &Route) -> Self {
        let warm = Mean::new(route.latency_objective.as_secs_f64() * WORK_GUESS);
        Self { warm, cold: Mean::new(warm.value * COLD_RATIO), longest_deadline: Duration::ZERO }
    }

    /// Whether any request has been measured.
    pub(super) fn is_measured(&self) -> bool {
        self.warm.is_measured() || self.cold.is_measured()
    }

    pub(super) fn learn(&mut self, work: f64, warm: bool) {
        if warm {
            self.warm.add(work);
        } else if work > self.warm.value * 1.5 {
            self.cold.add(work);
        }
    }
}
