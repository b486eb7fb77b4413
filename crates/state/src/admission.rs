//! Admission control: bounded priority queues with guaranteed minimum shares.
//!
//! Each service has its own [`AdmissionQueues`] with one queue per rank.
//!
//! # Scheduling
//!
//! Ranks are served with strict priority, with one exception: a rank that has waiting requests and has received less
//! than its floor, its guaranteed share of slot time, is served first. An overload of a higher rank therefore leaves
//! the floors to the lower ranks. Floors are accounted in slot time, not in numbers of requests, over a window of 1 s.
//! The unused credit of a rank with waiting requests is limited to one window. Without waiting requests no credit
//! accrues, so an idle rank cannot save up for a burst. If requests run longer than the window, a floor is exact only
//! over several runs, because running requests are never interrupted.
//!
//! Within a rank, customers are served round-robin, one request each.
//!
//! If urgent work arrives while lower ranks use all slots, it waits only for the next slot that becomes free: the next
//! call of [`AdmissionQueues::dequeue`] returns it unless a lower rank is below its floor. While the urgent demand
//! fits the slots, this wait is not charged in full to the wait budget of the urgent request: the fraction of slots
//! that lower ranks took while no higher rank was waiting is deducted, so that only the deadline limits that part.
//!
//! # Bounds
//!
//! Each queue is bounded by waiting time. The estimated wait of a request is the work that is served before it, at the
//! mean run time of each rank, divided by the slots available to its rank: all slots less the floors of waiting lower
//! ranks and the measured load of higher ranks, or its own floor if that is more. A request is refused at once if the
//! estimate exceeds the wait budget of its rank, or if the request would not finish by its deadline.
//!
//! The wait budget of urgent work is short, so that its latency stays low when urgent work itself overloads the
//! service. Random bursts exceed this budget even if the demand fits the slots. Therefore a longer budget
//! ([`URGENT_BURST_RUNS`]) applies until the measured demand, including refused requests, comes close to the slots
//! available to urgent work. Two budgets are also used by Maurer, "Fail at Scale" (ACM Queue, 2015), which chooses by
//! the time since the queue was last empty. Demand is used here because the queue of a service with few slots is often
//! empty even during an overload.
//!
//! With one slot, a burst cannot be distinguished from an overload in time. Some urgent requests are then refused
//! although the demand fits, and in an overload close to the capacity some wait longer than one run.
//!
//! A customer with a smaller share of a full queue than another one is still admitted: the newest request of the
//! customer with the largest share is displaced and returned by [`AdmissionQueues::take_dropped`]. Refusals in an
//! overload therefore affect the customer that causes it.
//!
//! # Use
//!
//! For each ticket returned by `dequeue`, the caller must call [`AdmissionQueues::on_finished`] or
//! [`AdmissionQueues::requeue`] exactly once. It must call `take_dropped` after each `enqueue` and every few
//! milliseconds.

mod config;
mod estimate;
mod floors;
mod queue;

use std::collections::BTreeMap;
use std::time::Duration;

use self::config::RUN_WEIGHT;
pub use self::config::{
    AdmissionConfig, BULK_WAIT_BUDGET, EnqueueOutcome, FloorsError, MAX_RETRY_AFTER, MAX_WAITING,
    MIN_RETRY_AFTER, OVERLOAD_DEVIATIONS, RefusalReason, STANDARD_WAIT_BUDGET, Ticket, URGENT_BURST_RUNS,
};
use self::floors::{Charge, Floors};
use self::queue::{DecayingSum, Key, QueueEntry, RankQueue};
use crate::id::{Rank, RequestId};
use crate::time::Timestamp;

/// The most recent start, kept so that `requeue` can revert it exactly.
#[derive(Debug, Clone)]
struct LastStart {
    request: RequestId,
    charge: Charge,
    wait_clock_limit: u64,
}

/// Admission queues of one service.
///
/// ```
/// use std::time::Duration;
/// use medlarstair_state::admission::{AdmissionQueues, AdmissionConfig, EnqueueOutcome, Ticket};
/// use medlarstair_state::id::{Rank, RequestId};
/// use medlarstair_state::model::Percent;
/// use medlarstair_state::time::Timestamp;
///
/// let run = Duration::from_millis(40);
/// let cfg = AdmissionConfig {
///     floors: [Percent(0), Percent(10), Percent(5)],
///     wait_budget: [run, Duration::from_secs(1), Duration::from_secs(3)],
///     typical_run: run,
/// };
/// let now = Timestamp::from_millis(1000);
/// let mut queues = AdmissionQueues::new(cfg, now);
/// let ticket = Ticket {
///     request: RequestId(1),
///     customer: "nizwa-tools".parse().unwrap(),
///     rank: Rank::Urgent,
///     deadline: now + Duration::from_millis(500),
///     queued_at: now,
/// };
/// assert_eq!(queues.enqueue(now, ticket.clone(), 3), EnqueueOutcome::Queued);
/// assert_eq!(queues.dequeue(now), Some(ticket));
/// queues.on_finished(now + run, Rank::Urgent, run);
/// assert_eq!(queues.dequeue(now + run), None);
/// ```
#[derive(Debug, Clone)]
pub struct AdmissionQueues {
    wait_budget: [Duration; 3],
    urgent_burst: Duration,
    queues: [RankQueue; 3],
    index: BTreeMap<RequestId, (Rank, Key)>,
    floors: Floors,
    /// Moving average of the run time per rank.
    run_time: [Duration; 3],
    /// Recently admitted demand per rank, in slot seconds.
    admitted: [DecayingSum; 3],
    /// Recently refused demand per rank, in slot seconds. The callers are expected to retry.
    refused: [DecayingSum; 3],
    /// Clock per rank that measures the time charged to wait budgets, in microseconds.
    wait_clock: [f64; 3],
    last_start: Option<LastStart>,
    /// Tickets removed from a queue without a start, until `take_dropped` returns them.
    dropped: Vec<Ticket>,
    now: Timestamp,
}

impl AdmissionQueues {
    /// Creates empty queues. Floors that add up to more than 100 % are scaled down to 100 %.
    pub fn new(cfg: AdmissionConfig, now: Timestamp) -> Self {
        Self {
            wait_budget: cfg.wait_budget,
            urgent_burst: cfg.typical_run * URGENT_BURST_RUNS,
            queues: Default::default(),
            index: BTreeMap::new(),
            floors: Floors::new(cfg.floors, now),
            run_time: [cfg.typical_run; 3],
            admitted: Default::default(),
            refused: Default::default(),
            wait_clock: [0.0; 3],
            last_start: None,
            dropped: Vec::new(),
            now,
        }
    }

    /// Enqueues or refuses a request. `slots` is the number of slots that this daemon may use for the service now,
    /// including those in use.
    pub fn enqueue(&mut self, now: Timestamp, ticket: Ticket, slots: u32) -> EnqueueOutcome {
        self.set_slots(now, slots);
        self.drop_expired(now);
        let i = ticket.rank.index();
        match self.check_admission(now, &ticket) {
            Ok(()) => {}
            Err(reason) => {
                let retry_after = self.retry_after(now, ticket.rank, ticket.request);
                self.refused[i].add(now, self.run_time[i].as_secs_f64());
                return EnqueueOutcome::Refused { reason, retry_after };
            }
        }
        self.admitted[i].add(now, self.run_time[i].as_secs_f64());
        let waiting = self.queue_entry(now, ticket);
        let (request, rank) = (waiting.ticket.request, waiting.ticket.rank);
        let key = self.queues[i].push(waiting);
        self.index.insert(request, (rank, key));
        EnqueueOutcome::Queued
    }

    /// Sets the number of slots that this daemon may use for the service, including those in use.
    pub fn set_slots(&mut self, now: Timestamp, slots: u32) {
        self.advance(now);
        self.floors.set_slots(slots);
    }

    /// Removes and returns the request to start next. The caller must have a free slot for it.
    ///
    /// `None` if no request is waiting or the free slots are reserved for urgent work.
    pub fn dequeue(&mut self, now: Timestamp) -> Option<Ticket> {
        self.advance(now);
        self.drop_expired(now);
        let has_work = |rank: &Rank| !self.queues[rank.index()].is_empty();
        let mut ranks = Rank::ALL.into_iter().filter(has_work);
        let first = ranks.clone().next()?;
        let below_floor = ranks.find(|rank| self.floors.is_below_floor(*rank));
        let may_start_first =
            first == Rank::Urgent || self.floors.is_below_floor(first) || self.has_unreserved_slot(now);
        if below_floor.is_none() && !may_start_first {
            return None;
        }
        let rank = below_floor.unwrap_or(first);
        let waiting = self.queues[rank.index()].pop(now)?;
        let request = waiting.ticket.request;
        self.index.remove(&request);
        let charge = self.floors.start(rank, self.run_time[rank.index()], rank == first);
        self.last_start = Some(LastStart { request, charge, wait_clock_limit: waiting.wait_clock_limit });
        Some(waiting.ticket)
    }

    /// Puts back a ticket that `dequeue` returned and that could not be started, at the front of its rank's queue.
    pub fn requeue(&mut self, ticket: Ticket) {
        let rank = ticket.rank;
        let mut waiting = self.queue_entry(self.now, ticket);
        let start = self.last_start.take().filter(|s| s.request == waiting.ticket.request);
        let charge = start.as_ref().map_or_else(|| self.floors.mean_charge(rank), |s| s.charge);
        self.floors.refund(rank, charge);
        if let Some(start) = start {
            waiting.wait_clock_limit = start.wait_clock_limit;
        }
        let request = waiting.ticket.request;
        let key = self.queues[rank.index()].push_front(self.now, waiting);
        self.index.insert(request, (rank, key));
    }

    /// Returns the tickets that were removed from the queues without a start: they exceeded the deadline or the wait
    /// budget, or were displaced by a customer with a smaller share of the queue. Each is returned once.
    pub fn take_dropped(&mut self, now: Timestamp) -> Vec<Ticket> {
        self.advance(now);
        self.drop_expired(now);
        std::mem::take(&mut self.dropped)
    }

    /// Removes a waiting request whose caller has disconnected. `None` if the request is not waiting.
    pub fn cancel(&mut self, request: RequestId) -> Option<Ticket> {
        let (rank, key) = self.index.remove(&request)?;
        self.queues[rank.index()].remove(key).map(|w| w.ticket)
    }

    /// Records the end of a started request, whether it succeeded or not.
    pub fn on_finished(&mut self, now: Timestamp, rank: Rank, ran_for: Duration) {
        self.advance(now);
        self.floors.finish(rank, ran_for);
        let run = &mut self.run_time[rank.index()];
        *run = run.mul_f64(1.0 - RUN_WEIGHT) + ran_for.mul_f64(RUN_WEIGHT);
    }

    /// Number of requests that are waiting in the queue of `rank`.
    pub fn waiting(&self, rank: Rank) -> usize {
        self.queues[rank.index()].len()
    }

    /// Moving average of the run time of requests of `rank`.
    pub fn mean_run_time(&self, rank: Rank) -> Duration {
        self.run_time[rank.index()]
    }

    /// Decides whether a request is admitted. Displaces another request if this makes room.
    fn check_admission(&mut self, now: Timestamp, ticket: &Ticket) -> Result<(), RefusalReason> {
        if self.index.contains_key(&ticket.request) {
            return Err(RefusalReason::Duplicate);
        }
        let i = ticket.rank.index();
        let run = self.run_time[i].as_secs_f64();
        let time_left = ticket.deadline.since(now).as_secs_f64();
        // One request of a rank is admitted as a trial although its deadline is shorter than the mean run time.
        // Otherwise a mean that is too high would never be corrected.
        let trial = self.queues[i].is_empty() && self.floors.running(ticket.rank) == 0;
        if time_left <= 0.0 || (time_left < run && !trial) {
            return Err(RefusalReason::Deadline);
        }
        let budget = self
            .current_wait_budget(now, ticket.rank)
            .saturating_sub(now.since(ticket.queued_at))
            .as_secs_f64();
        let len = self.queues[i].len();
        let wait_at_end = self.queue_wait(now, ticket.rank, len);
        let full = len >= MAX_WAITING || wait_at_end + self.own_residual(ticket.rank) > budget;
        let misses_deadline = |wait: f64| !trial && wait + self.residual(ticket.rank) + run > time_left;
        if !full && !misses_deadline(wait_at_end) {
            return Ok(());
        }
        let ahead = self.queues[i].ahead_of_next(&ticket.customer);
        let wait = self.queue_wait(now, ticket.rank, ahead);
        if misses_deadline(wait) {
            return Err(RefusalReason::Deadline);
        }
        if !full {
            return Ok(());
        }
        if let Some((key, is_ahead)) = self.queues[i].displaceable(now, &ticket.customer) {
            let wait = self.queue_wait(now, ticket.rank, ahead.saturating_sub(usize::from(is_ahead)));
            if wait + self.own_residual(ticket.rank) <= budget {
                self.displace(ticket.rank, key);
                return Ok(());
            }
        }
        Err(match () {
            () if len >= MAX_WAITING => RefusalReason::QueueLength,
            () if self.queues[i].has_requests_of(&ticket.customer) => RefusalReason::CustomerShare,
            () => RefusalReason::WaitBudget,
        })
    }

    fn displace(&mut self, rank: Rank, key: Key) {
        if let Some(displaced) = self.queues[rank.index()].remove(key) {
            self.index.remove(&displaced.ticket.request);
            self.dropped.push(displaced.ticket);
        }
    }

    fn queue_entry(&self, now: Timestamp, ticket: Ticket) -> QueueEntry {
        let i = ticket.rank.index();
        let budget = self.wait_budget[i].saturating_sub(now.since(ticket.queued_at));
        let wait_clock_limit =
            self.wait_clock[i] as u64 + u64::try_from(budget.as_micros()).unwrap_or(u64::MAX / 2);
        // A request that cannot finish in time is not started, except as a trial (see `check_admission`).
        let last_useful_start = ticket.deadline - self.run_time[i];
        let latest_start = if last_useful_start >= now {
            last_useful_start
        } else {
            ticket.deadline - Duration::from_micros(1)
        };
        QueueEntry { ticket, wait_clock_limit, latest_start }
    }

    /// Advances the wait clocks and the floor accounts to `now`.
    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.now).as_micros() as f64;
        self.now = self.now.max(now);
        let uncharged =
            if self.urgent_demand_fits(now) { self.floors.uncontested_below(Rank::Urgent) } else { 0.0 };
        for (clock, uncharged) in self.wait_clock.iter_mut().zip([uncharged, 0.0, 0.0]) {
            *clock += elapsed * (1.0 - uncharged);
        }
        let waiting = [0, 1, 2].map(|i: usize| !self.queues[i].is_empty());
        self.floors.advance(now, waiting, self.run_time);
    }

    /// Moves the requests that may no longer start from the queues to `dropped`.
    fn drop_expired(&mut self, now: Timestamp) {
        for rank in Rank::ALL {
            let i = rank.index();
            let burst_allowance = self.current_wait_budget(now, rank) - self.wait_budget[i];
            let clock = (self.wait_clock[i] as u64).saturating_sub(burst_allowance.as_micros() as u64);
            while let Some(waiting) = self.queues[i].pop_expired(now, clock) {
                self.index.remove(&waiting.ticket.request);
                self.dropped.push(waiting.ticket);
            }
        }
    }
}

impl AdmissionQueues {
    /// Applies changed settings. Waiting requests keep their positions, and measured run times are kept.
    pub fn reconfigure(&mut self, cfg: &AdmissionConfig) {
        self.wait_budget = cfg.wait_budget;
        self.urgent_burst = cfg.typical_run * URGENT_BURST_RUNS;
        self.floors.set_floors(cfg.floors);
    }
}
