//! Admission control: which requests are started, queued or rejected while slots are scarce.
//!
//! A slot is given to the requests with the highest value per second of slot time. The value of a request follows from
//! its priority, and a response after the latency objective is worth a fifth of one on time. Requests below a threshold
//! are rejected. The threshold rises while requests wait at the servers for longer than the objectives allow, and falls
//! otherwise, so that daemons that see only their own requests shed about the same ones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::steering::plan::Priority;
use crate::time::Timestamp;

/// Value of a response after the latency objective, relative to one on time.
const LATE_VALUE: f64 = 0.2;

/// Ratio of the values of two adjacent priorities.
const PRIORITY_VALUE_RATIO: f64 = 0.5;

/// Safety factor on the expected latency when it is compared with the deadline: the work of a request that misses its
/// deadline is wasted.
const LATENCY_SAFETY_FACTOR: f64 = 1.15;

/// Maximum expected latency of a request that has to wait, relative to the time until its latency objective. More than 1,
/// because work varies: many requests end well before their expected latency.
const MAX_LATENCY_FRACTION: f64 = 1.6;

/// Maximum expected latency of a request that waits for a server without capacity, relative to the time until its latency
/// objective.
const SAFE_LATENCY_FRACTION: f64 = 0.9;

/// Maximum time that a request is held in the queue of the daemon, as a fraction of its latency objective.
pub const MAX_HOLD_FRACTION: f64 = 0.125;

/// Wait at the servers that the threshold aims at, as a fraction of the latency objective. It leaves time for the work on a
/// warm object, which takes about half of the objective.
const TARGET_WAIT_FRACTION: f64 = 0.25;

/// Wait at the servers up to which there is room for late requests, as a fraction of the latency objective.
const LIGHT_WAIT_FRACTION: f64 = 0.1;

/// Weight of a load report in the average wait.
const WAIT_SAMPLE_WEIGHT: f64 = 0.05;

/// Time without load reports after which the wait counts as zero. Otherwise a threshold that rejects all requests would
/// never fall, because only responses carry reports.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Period in which the threshold passes through the range of the values while the wait is far from its target. It oscillates
/// if it moves faster than the objectives and the load reports let its effect be seen.
const THRESHOLD_RANGE_TIME: Duration = Duration::from_secs(16);

/// Weight of a request in the range of the values per slot-second that the threshold can take.
const RANGE_WEIGHT: f64 = 0.005;

/// Time constant of the counts of arrived and answered requests.
const SHARE_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Minimum answered share of a request type relative to that of all requests. It is kept above the quarter that the
/// types are entitled to, because the shares of the other daemons are unknown.
const MIN_RELATIVE_SHARE: f64 = 0.4;

/// Number of arrivals of a request type from which its answered share is significant.
const MIN_ARRIVALS: f64 = 5.0;

/// What is known about a request when a decision about it is due.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// Priority of the request.
    pub priority: Priority,
    /// Latency objective of its route.
    pub objective: Duration,
    /// Time since the first attempt of the client.
    pub elapsed: Duration,
    /// Duration for which this daemon has held the request.
    pub held: Duration,
    /// Remaining time until the deadline.
    pub remaining: Duration,
}

/// Estimates for a request on the server that was selected for it. Times are in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    /// Expected time until the response, with `wait`.
    pub latency: f64,
    /// Expected time until the request starts.
    pub wait: f64,
    /// Expected slot time.
    pub work: f64,
    /// Whether the server has a free slot, or room in its queue.
    pub has_capacity: bool,
    /// Whether the work of the route has been measured. Rejections by an initial estimate would never correct it.
    pub is_measured: bool,
}

/// Decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent now.
    Start,
    /// It is held until its server has capacity.
    Queue,
    /// It is rejected: a response would miss the deadline, or the objective after a wait.
    RejectLate,
    /// It is rejected: other requests make better use of the slots.
    RejectLowValue,
}

impl Offer {
    /// Whether a response after `latency` seconds would be in time for the deadline.
    pub fn meets_deadline(&self, latency: f64) -> bool {
        latency * LATENCY_SAFETY_FACTOR < self.remaining.as_secs_f64()
    }

    /// Time in seconds until the latency objective has passed. Zero if it has.
    fn objective_left(&self) -> f64 {
        self.objective.saturating_sub(self.elapsed).as_secs_f64()
    }

    /// Whether a response whose expected latency is `latency` seconds has a good chance to meet the latency objective.
    pub fn meets_objective(&self, latency: f64) -> bool {
        latency <= self.objective_left() * MAX_LATENCY_FRACTION
    }

    /// Whether a response whose expected latency is `latency` seconds meets the latency objective with a margin.
    fn is_clearly_on_time(&self, latency: f64) -> bool {
        latency <= self.objective_left() * SAFE_LATENCY_FRACTION
    }

    /// Duration for which the request may still be held in the queue of the daemon.
    pub fn remaining_hold(&self) -> Duration {
        self.objective.mul_f64(MAX_HOLD_FRACTION).saturating_sub(self.held)
    }

    /// Expected value per second of slot time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use medlarstair_state::steering::admission::{Estimate, Offer};
    /// use medlarstair_state::steering::plan::Priority;
    /// let offer = Offer {
    ///     priority: Priority(0),
    ///     objective: Duration::from_millis(500),
    ///     elapsed: Duration::ZERO,
    ///     held: Duration::ZERO,
    ///     remaining: Duration::from_secs(2),
    /// };
    /// let warm = Estimate { latency: 0.25, wait: 0.0, work: 0.25, has_capacity: true, is_measured: true };
    /// let cold = Estimate { latency: 1.0, work: 1.0, ..warm };
    /// assert_eq!(offer.value_per_slot_second(&warm), 4.0);
    /// assert!(offer.value_per_slot_second(&cold) < 0.3);
    /// ```
    pub fn value_per_slot_second(&self, estimate: &Estimate) -> f64 {
        let latency = estimate.latency.max(0.001);
        // Half of the responses are on time if the expected latency equals the time left.
        let on_time = (self.objective_left() / latency - 0.5).clamp(0.0, 1.0);
        let value = PRIORITY_VALUE_RATIO.powi(i32::from(self.priority.0));
        value * (on_time + LATE_VALUE * (1.0 - on_time)) / estimate.work.max(0.001)
    }

    /// Decides about the request at a threshold on the value per second of slot time.
    pub fn decide(&self, estimate: &Estimate, threshold: f64) -> Verdict {
        if estimate.is_measured && !self.meets_deadline(estimate.latency) {
            return Verdict::RejectLate;
        }
        if estimate.is_measured && self.value_per_slot_second(estimate) < threshold {
            return Verdict::RejectLowValue;
        }
        if estimate.has_capacity && estimate.wait <= 0.0 {
            return Verdict::Start;
        }
        if threshold <= 0.0 {
            return self.decide_without_overload(estimate);
        }
        if !self.meets_objective(estimate.latency) {
            return Verdict::RejectLate;
        }
        if estimate.has_capacity {
            return Verdict::Start;
        }
        let can_wait = self.is_clearly_on_time(estimate.latency);
        let hold = self.remaining_hold().as_secs_f64();
        if hold > 0.0 && (can_wait || estimate.wait <= hold) {
            return Verdict::Queue;
        }
        // A request that was held as long as it may be is served at its turn in the queue of the server, unless its wait
        // was expected to have ended already: then the estimate is too low.
        if can_wait && self.is_wait_plausible(estimate) { Verdict::Start } else { Verdict::RejectLate }
    }

    /// Decides about a request that has to wait while nothing must be shed. A late response is then worth more than none, and
    /// the wait at a server is short.
    fn decide_without_overload(&self, estimate: &Estimate) -> Verdict {
        if estimate.has_capacity {
            return Verdict::Start;
        }
        if !self.remaining_hold().is_zero() {
            return Verdict::Queue;
        }
        if self.is_wait_plausible(estimate) { Verdict::Start } else { Verdict::RejectLate }
    }

    /// Whether the wait may still end when it was expected to. After that time the estimate is known to be too low.
    fn is_wait_plausible(&self, estimate: &Estimate) -> bool {
        estimate.wait > self.held.as_secs_f64()
    }
}

/// The value per second of slot time below which requests for one service are rejected.
#[derive(Debug, Clone, Copy, Default)]
pub struct ValueThreshold {
    /// Average wait at the servers, as a fraction of the latency objective.
    wait_fraction: f64,
    /// Position of the threshold in the range of the values, from 0, at which it rejects nothing, to 1.
    position: f64,
    /// Natural logarithms of the lowest and the highest value per slot-second of recent requests.
    ln_range: Option<(f64, f64)>,
    updated_at: Timestamp,
    /// Time since the last load report, up to the last update.
    silence: Duration,
}

impl ValueThreshold {
    /// The current threshold. Zero if nothing must be shed; the smallest positive number if only late requests must be.
    pub fn get(&self) -> f64 {
        match self.ln_range {
            Some((low, high)) if self.position > 0.0 => (low + (high - low) * self.position).exp(),
            _ if self.wait_fraction > LIGHT_WAIT_FRACTION => f64::MIN_POSITIVE,
            _ => 0.0,
        }
    }

    /// Records the value per slot-second of a request.
    pub fn record_offer(&mut self, value: f64) {
        let ln = value.max(f64::MIN_POSITIVE).ln();
        let (low, high) = self.ln_range.get_or_insert((ln, ln));
        *low = if ln < *low { ln } else { *low + (ln - *low) * RANGE_WEIGHT };
        *high = if ln > *high { ln } else { *high + (ln - *high) * RANGE_WEIGHT };
    }

    /// Records the wait of a new request at a server, as a fraction of the latency objective.
    pub fn record_wait(&mut self, fraction: f64) {
        self.wait_fraction += (fraction - self.wait_fraction) * WAIT_SAMPLE_WEIGHT;
        self.silence = Duration::ZERO;
    }

    /// Moves the threshold. Call periodically.
    pub fn update(&mut self, now: Timestamp) {
        let elapsed = now.since(std::mem::replace(&mut self.updated_at, now));
        self.silence += elapsed;
        if self.silence > REPORT_LIFETIME {
            self.wait_fraction = 0.0;
        }
        let error = (self.wait_fraction / TARGET_WAIT_FRACTION - 1.0).clamp(-1.0, 1.0);
        let step = error * elapsed.as_secs_f64() / THRESHOLD_RANGE_TIME.as_secs_f64();
        self.position = (self.position + step).clamp(0.0, 1.0);
    }

    /// Expected time until the threshold has fallen to a value per slot-second.
    pub fn time_until(&self, value: f64) -> Duration {
        let Some((low, high)) = self.ln_range.filter(|(low, high)| high > low) else {
            return Duration::ZERO;
        };
        let position = (value.max(f64::MIN_POSITIVE).ln() - low) / (high - low);
        THRESHOLD_RANGE_TIME.mul_f64((self.position - position).clamp(0.0, 1.0))
    }
}

/// Decaying counts of the requests of one type.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    arrived: f64,
    answered: f64,
    updated_at: Timestamp,
}

impl Counts {
    fn advance(&mut self, now: Timestamp) {
        *self = self.at(now);
    }

    /// The counts as they have decayed until `now`.
    fn at(self, now: Timestamp) -> Self {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let weight = (-elapsed / SHARE_TIME_CONSTANT.as_secs_f64()).exp();
        Self { arrived: self.arrived * weight, answered: self.answered * weight, updated_at: now }
    }

    /// Fraction of the requests that were answered. 1 if too few have arrived.
    fn share(&self) -> f64 {
        if self.arrived < MIN_ARRIVALS { 1.0 } else { (self.answered / self.arrived).min(1.0) }
    }
}

/// Answered shares of the request types of one service. A type is identified by its priority.
#[derive(Debug, Clone, Default)]
pub struct AnsweredShares {
    types: BTreeMap<Priority, Counts>,
}

impl AnsweredShares {
    /// Records the first attempt of a request.
    pub fn record_arrival(&mut self, now: Timestamp, priority: Priority) {
        let counts = self.types.entry(priority).or_default();
        counts.advance(now);
        counts.arrived += 1.0;
    }

    /// Records a response.
    pub fn record_answer(&mut self, now: Timestamp, priority: Priority) {
        let counts = self.types.entry(priority).or_default();
        counts.advance(now);
        counts.answered += 1.0;
    }

    /// Factor on the threshold for a request type: below 1 for one that is answered much less often than all, above 1
    /// for one that is answered more often than a more urgent one.
    pub fn threshold_factor(&self, now: Timestamp, priority: Priority) -> f64 {
        // A type that no longer sends requests must not keep its share.
        let types: BTreeMap<Priority, Counts> = self.types.iter().map(|(p, c)| (*p, c.at(now))).collect();
        let Some(counts) = types.get(&priority) else {
            return 1.0;
        };
        let (arrived, answered) =
            types.values().fold((0.0, 0.0), |(a, b), c| (a + c.arrived, b + c.answered));
        let overall = if arrived < MIN_ARRIVALS { 1.0 } else { (answered / arrived).min(1.0) };
        let share = counts.share();
        let entitled = (share / (overall * MIN_RELATIVE_SHARE).max(0.001)).min(1.0).powi(2);
        let more_urgent = types.range(..priority).map(|(_, c)| c.share()).fold(1.0, f64::min);
        entitled * (share / more_urgent.max(0.01)).max(1.0).powi(4)
    }
}
