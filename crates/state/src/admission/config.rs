//! Settings, tickets and results of the admission queues.

use std::time::Duration;

use derive_more::{Display, Error};

use crate::id::{Customer, Rank, RequestId};
use crate::model::{Percent, ServiceSpec};
use crate::time::Timestamp;

/// Maximum length of the queue of one rank. Normally the wait budget refuses requests earlier; this limit bounds the
/// memory use when run times are very short.
pub const MAX_QUEUE_LENGTH: usize = 4096;

/// Wait budget of standard work: the maximum time that a request spends in the queue.
pub const STANDARD_WAIT_BUDGET: Duration = Duration::from_secs(1);

/// Wait budget of bulk work: the maximum time that a request spends in the queue.
pub const BULK_WAIT_BUDGET: Duration = Duration::from_secs(3);

/// Wait budget of urgent work while its demand fits the slots, in multiples of the typical run time. It absorbs random
/// bursts.
pub const URGENT_BURST_BUDGET_RUNS: u32 = 8;

/// Safety margin below the capacity, in standard deviations of the measured demand. Urgent demand within the margin
/// counts as an overload.
///
/// With one slot, 1.0 leaves no margin for the latency at a demand of exactly the capacity, and with 2.0 random bursts
/// at a load of 30 % cause 0.2 % of the urgent requests to be refused.
pub const OVERLOAD_MARGIN_STD_DEVIATIONS: f64 = 1.5;

/// Lower limit of the computed retry-after time of a refused request, before jitter.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Upper limit of the retry-after time of a refused request, including jitter.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Weight of a new run time, 0 to 1, in the exponentially weighted moving average (EWMA).
pub(super) const RUN_TIME_EWMA_WEIGHT: f64 = 1.0 / 8.0;

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Id of the request, unique among the waiting requests of the service.
    pub request: RequestId,
    /// Customer whose contract the request uses.
    pub customer: Customer,
    /// Priority class of the request.
    pub rank: Rank,
    /// Time by which the response must be complete.
    pub deadline: Timestamp,
    /// Time of arrival, at which the wait budget starts to run.
    pub queued_at: Timestamp,
}

/// Why a request was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum RefusalReason {
    /// The estimated wait exceeds the wait budget of the rank.
    #[display("wait-budget")]
    WaitBudget,
    /// The request would not finish by its deadline.
    #[display("deadline")]
    Deadline,
    /// The queue is full and the customer already has its fair share of it.
    #[display("customer-share")]
    CustomerShare,
    /// The queue has reached [`MAX_QUEUE_LENGTH`] entries.
    #[display("queue-length")]
    QueueLength,
    /// A request with the same id is already waiting.
    #[display("duplicate")]
    Duplicate,
}

/// Result of [`AdmissionQueues::enqueue`](super::AdmissionQueues::enqueue).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// The request is waiting; one of `dequeue`, `take_dropped` and `cancel` will return it.
    Queued,
    /// The request was not accepted and has not run.
    Refused {
        /// Check that the request failed.
        reason: RefusalReason,
        /// Backoff that the caller is asked to observe before it retries.
        retry_after: Duration,
    },
}

/// The floors of a service add up to more than 100 %.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the floors sum to {sum} %; at most 100 % can be kept")]
pub struct FloorsError {
    sum: u32,
}

/// Settings of the queues of one service, indexed by [`Rank::index`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Guaranteed share of slot time for each rank while it has requests waiting.
    pub floors: [Percent; 3],
    /// Wait budget of each rank: the maximum time that a request spends in the queue. For urgent work it applies only
    /// while urgent demand exceeds the slots; see [`URGENT_BURST_BUDGET_RUNS`].
    pub wait_budget: [Duration; 3],
    /// Assumed run time until run times have been measured.
    pub typical_run: Duration,
}

impl AdmissionConfig {
    /// Returns the settings for a service.
    ///
    /// The wait budget of urgent work is one typical run, so that its latency stays within twice the unloaded latency
    /// even when urgent work itself overloads the service.
    ///
    /// ```
    /// use std::time::Duration;
    /// use medlarstair_state::admission::AdmissionConfig;
    /// use medlarstair_state::model::{Percent, ServiceSpec};
    ///
    /// let spec = ServiceSpec {
    ///     name: "desk".parse().unwrap(),
    ///     standard_floor: Percent(10),
    ///     bulk_floor: Percent(5),
    ///     typical_run: Duration::from_millis(40),
    ///     backends: Vec::new(),
    /// };
    /// let cfg = AdmissionConfig::for_service(&spec);
    /// assert_eq!(cfg.wait_budget[0], Duration::from_millis(40));
    /// assert!(cfg.check().is_ok());
    /// ```
    pub fn for_service(spec: &ServiceSpec) -> Self {
        Self {
            floors: [Percent(0), spec.standard_floor, spec.bulk_floor],
            wait_budget: [spec.typical_run, STANDARD_WAIT_BUDGET, BULK_WAIT_BUDGET],
            typical_run: spec.typical_run,
        }
    }

    /// Checks that the floors can be guaranteed.
    ///
    /// # Errors
    ///
    /// The floors add up to more than 100 %.
    pub fn check(&self) -> Result<(), FloorsError> {
        let sum = self.floors.iter().map(|p| u32::from(p.0)).sum();
        if sum > 100 { Err(FloorsError { sum }) } else { Ok(()) }
    }
}
