//! Settings, tickets and results of the admission queues.

use std::time::Duration;

use derive_more::{Display, Error};

use crate::id::{Customer, Rank, RequestId};
use crate::model::{Percent, ServiceSpec};
use crate::time::Timestamp;

/// Maximum number of waiting requests per rank. The bound on waiting time is normally reached first; this bound limits
/// memory use when run times are very short.
pub const MAX_WAITING: usize = 4096;

/// Maximum waiting time of standard work.
pub const STANDARD_WAIT_BUDGET: Duration = Duration::from_secs(1);

/// Maximum waiting time of bulk work.
pub const BULK_WAIT_BUDGET: Duration = Duration::from_secs(3);

/// Maximum waiting time of urgent work while its demand fits the slots, in multiples of the typical run time.
pub const URGENT_BURST_RUNS: u32 = 8;

/// Distance from the capacity, in standard deviations of the measured demand, from which urgent demand counts as an
/// overload.
///
/// With one slot, 1.0 leaves no margin for the latency at a demand of exactly the capacity, and with 2.0 random bursts
/// at a load of 30 % cause 0.2 % of the urgent requests to be refused.
pub const OVERLOAD_DEVIATIONS: f64 = 1.5;

/// Shortest time after which a refused caller is asked to retry.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest time after which a refused caller is asked to retry.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Weight of a new run time in the moving average.
pub(super) const RUN_WEIGHT: f64 = 1.0 / 8.0;

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Id of the request.
    pub request: RequestId,
    /// Customer whose contract the request uses.
    pub customer: Customer,
    /// Priority class of the request.
    pub rank: Rank,
    /// Time by which the response must be complete.
    pub deadline: Timestamp,
    /// Time of arrival, from which the wait budget counts.
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
    /// The queue has reached [`MAX_WAITING`] entries.
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
        /// Why it was refused.
        reason: RefusalReason,
        /// Time after which the caller should retry.
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
    /// Maximum waiting time of each rank.
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
