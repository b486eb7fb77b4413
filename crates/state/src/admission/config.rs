//! Settings, tickets and results of the queues.

use std::time::Duration;

use derive_more::{Display, Error};

use crate::id::{Customer, Rank, RequestId};
use crate::model::{Percent, ServiceSpec};
use crate::time::Timestamp;

/// Largest number of waiting requests per rank. The time bound is normally reached first; this one limits
/// memory when run times are very short.
pub const MAX_WAITING: usize = 4096;

/// Wait budget of standard work.
pub const STANDARD_WAIT_BUDGET: Duration = Duration::from_secs(1);

/// Wait budget of bulk work.
pub const BULK_WAIT_BUDGET: Duration = Duration::from_secs(3);

/// Wait budget of urgent work, in typical runs, while its demand fits the slots.
pub const URGENT_BURST_RUNS: u32 = 8;

/// Distance below the capacity, in standard deviations of the measured demand, at which urgent demand counts
/// as a flood.
///
/// With one slot, 1.0 leaves no margin for the latency in a flood of exactly the capacity, and with 2.0
/// random bursts of a load of 30 % cost 0.2 % of the urgent requests.
pub const OVERLOAD_DEVIATIONS: f64 = 1.5;

/// Shortest time after which a refused caller is asked to return.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest time after which a refused caller is asked to return.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Weight of a new run time in the mean.
pub(super) const RUN_WEIGHT: f64 = 1.0 / 8.0;

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The request.
    pub request: RequestId,
    /// Who pays for it.
    pub customer: Customer,
    /// Its rank.
    pub rank: Rank,
    /// When its answer must be complete.
    pub deadline: Timestamp,
    /// When it arrived.
    pub queued_at: Timestamp,
}

/// Why a request was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum RefusalReason {
    /// The estimated wait exceeds the wait budget of the rank.
    #[display("wait-budget")]
    WaitBudget,
    /// The estimated wait and the run do not fit before the deadline.
    #[display("deadline")]
    Deadline,
    /// The queue is full and the customer holds its fair part of it.
    #[display("customer-share")]
    CustomerShare,
    /// The queue has reached its largest number of entries.
    #[display("queue-length")]
    QueueLength,
    /// A request with this id is waiting already.
    #[display("duplicate")]
    Duplicate,
}

/// Result of [`AdmissionQueues::enqueue`](super::AdmissionQueues::enqueue).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// The request waits; `dequeue`, `take_dropped` or `cancel` returns it once.
    Queued,
    /// The request was not accepted and has not run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When the caller should try again.
        retry_after: Duration,
    },
}

/// The floors of a service sum to more than 100 %.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the floors sum to {sum} %; at most 100 % can be kept")]
pub struct FloorsError {
    sum: u32,
}

/// Settings of the queues of one service, indexed by [`Rank::index`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Part of the slot time that each rank keeps while it has work waiting.
    pub floors: [Percent; 3],
    /// Longest time that each rank waits.
    pub wait_budget: [Duration; 3],
    /// Run time assumed until it has been measured.
    pub typical_run: Duration,
}

impl AdmissionConfig {
    /// Default settings for a service.
    ///
    /// The budget of urgent work is one run, so that its latency in its own flood stays within twice the
    /// unloaded latency.
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

    /// Checks that the floors can be kept.
    ///
    /// # Errors
    ///
    /// The floors sum to more than 100 %.
    pub fn check(&self) -> Result<(), FloorsError> {
        let sum = self.floors.iter().map(|p| u32::from(p.0)).sum();
        if sum > 100 { Err(FloorsError { sum }) } else { Ok(()) }
    }
}
