//! Bounded queues by rank with floors. One instance per service.
//!
//! # Order of service
//!
//! Ranks are served with strict priority. A rank that has work waiting and has got less than its floor of the
//! slot time goes first, so that a flood of a higher rank leaves it that part. Slot time is accounted in
//! slots and time, not in requests, and kept over a window of 1 s. Credit that is not used while work waits
//! is limited to one window; without waiting work no credit builds up, so an idle rank cannot save a burst.
//! Runs longer than the window make the floor exact only over several runs, because a running request is
//! never interrupted.
//!
//! Within a rank customers take turns, one request each.
//!
//! When urgent work arrives while lower ranks fill all slots, it waits for the next slot that becomes free
//! and for nothing else: the next call of [`AdmissionQueues::dequeue`] returns it unless a lower rank is below its
//! floor. While the urgent demand fits the slots, the part of slots that lower ranks took when nothing higher
//! waited does not count against the wait budget of the urgent request; only its deadline limits this wait.
//!
//! # Bounds
//!
//! Each queue is bounded by time. The estimated wait of a request is the work that is served before it, at
//! the mean run time per rank, divided by the slots that its rank can get: all slots less the floors of
//! waiting lower ranks and the measured load of higher ranks, or its own floor if that is more. A request
//! whose estimate exceeds the wait budget of its rank, or its deadline less its own run time, is refused at
//! once.
//!
//! The wait budget of urgent work is short, so that its latency stays low in its own flood. Random bursts
//! exceed it also while the demand fits the slots. Therefore a longer budget ([`URGENT_BURST_RUNS`]) applies
//! until the measured demand, refused requests included, comes close to the slots that urgent work can get.
//! The idea of two budgets is from Maurer, "Fail at Scale" (ACM Queue, 2015), which selects by the time since
//! the queue was last empty; demand is used here because a queue of few slots is often empty in a flood, too.
//!
//! With one slot a burst cannot be told from a flood in time. Some urgent requests are then refused although
//! the demand fits, and some wait longer than one run in a flood of about the capacity.
//!
//! A customer whose share of a full queue is smaller than that of another one still gets in: the newest
//! request of the customer that holds most is displaced, and [`AdmissionQueues::take_dropped`] returns it. Therefore the
//! refusals in a flood fall on its source.
//!
//! # Use
//!
//! Every ticket that `dequeue` returns is followed by exactly one call of [`AdmissionQueues::on_finished`] or
//! [`AdmissionQueues::requeue`]. `take_dropped` is called after each offer and with a period of a few milliseconds.

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
use self::queue::{Decaying, Key, RankQueue, Waiting};
use crate::id::{Rank, RequestId};
use crate::time::Timestamp;

/// The last start, so that `requeue` can undo it exactly.
#[derive(Debug, Clone)]
struct Start {
    request: RequestId,
    charge: Charge,
    clock_end: u64,
}

/// Queues of one service.
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
    /// Mean run time per rank.
    run: [Duration; 3],
    /// Slot seconds admitted recently per rank.
    admitted: [Decaying; 3],
    /// Slot seconds refused recently per rank. These callers return.
    refused: [Decaying; 3],
    /// Microseconds of waiting that count against the wait budget, per rank.
    clock: [f64; 3],
    last_start: Option<Start>,
    /// Tickets that left the queue without a start, until `take_dropped` hands them out.
    dropped: Vec<Ticket>,
    now: Timestamp,
}

impl AdmissionQueues {
    /// Creates empty queues. Floors that sum to more than 100 % are scaled down to 100 %.
    pub fn new(cfg: AdmissionConfig, now: Timestamp) -> Self {
        Self {
            wait_budget: cfg.wait_budget,
            urgent_burst: cfg.typical_run * URGENT_BURST_RUNS,
            queues: Default::default(),
            index: BTreeMap::new(),
            floors: Floors::new(cfg.floors, now),
            run: [cfg.typical_run; 3],
            admitted: Default::default(),
            refused: Default::default(),
            clock: [0.0; 3],
            last_start: None,
            dropped: Vec::new(),
            now,
        }
    }

    /// Queues or refuses a request. `slots` is the number of slots that this daemon may use for the service
    /// now, those in use included.
    pub fn enqueue(&mut self, now: Timestamp, ticket: Ticket, slots: u32) -> EnqueueOutcome {
        self.set_slots(now, slots);
        self.sweep(now);
        let i = ticket.rank.index();
        match self.check(now, &ticket) {
            Ok(()) => {}
            Err(reason) => {
                let retry_after = self.retry_after(now, ticket.rank, ticket.request);
                self.refused[i].add(now, self.run[i].as_secs_f64());
                return EnqueueOutcome::Refused { reason, retry_after };
            }
        }
        self.admitted[i].add(now, self.run[i].as_secs_f64());
        let waiting = self.waiting_entry(now, ticket);
        let (request, rank) = (waiting.ticket.request, waiting.ticket.rank);
        let key = self.queues[i].push(waiting);
        self.index.insert(request, (rank, key));
        EnqueueOutcome::Queued
    }

    /// Tells how many slots the daemon may use for the service, those in use included.
    pub fn set_slots(&mut self, now: Timestamp, slots: u32) {
        self.advance(now);
        self.floors.set_slots(slots);
    }

    /// Takes the request to start next. The caller has a free slot for it.
    pub fn dequeue(&mut self, now: Timestamp) -> Option<Ticket> {
        self.advance(now);
        self.sweep(now);
        let has_work = |rank: &Rank| !self.queues[rank.index()].is_empty();
        let mut ranks = Rank::ALL.into_iter().filter(has_work);
        let first = ranks.clone().next()?;
        let due = ranks.find(|rank| self.floors.due(*rank));
        let may_fill = first == Rank::Urgent || self.floors.due(first) || self.has_unreserved_slot(now);
        if due.is_none() && !may_fill {
            return None;
        }
        let rank = due.unwrap_or(first);
        let waiting = self.queues[rank.index()].pop(now)?;
        let request = waiting.ticket.request;
        self.index.remove(&request);
        let charge = self.floors.start(rank, self.run[rank.index()], rank == first);
        self.last_start = Some(Start { request, charge, clock_end: waiting.clock_end });
        Some(waiting.ticket)
    }

    /// Returns a ticket that `dequeue` gave out and that could not be started. It is the first of its rank
    /// again.
    pub fn requeue(&mut self, ticket: Ticket) {
        let rank = ticket.rank;
        let mut waiting = self.waiting_entry(self.now, ticket);
        let start = self.last_start.take().filter(|s| s.request == waiting.ticket.request);
        let charge = start.as_ref().map_or_else(|| self.floors.mean_charge(rank), |s| s.charge);
        self.floors.take_back(rank, charge);
        if let Some(start) = start {
            waiting.clock_end = start.clock_end;
        }
        let request = waiting.ticket.request;
        let key = self.queues[rank.index()].push_first(self.now, waiting);
        self.index.insert(request, (rank, key));
    }

    /// Takes the tickets that left the queue without a start: they waited past the deadline or the wait
    /// budget, or were displaced by a customer with a smaller part of the queue.
    pub fn take_dropped(&mut self, now: Timestamp) -> Vec<Ticket> {
        self.advance(now);
        self.sweep(now);
        std::mem::take(&mut self.dropped)
    }

    /// Takes out a waiting request whose caller went away. `None` if it does not wait.
    pub fn cancel(&mut self, request: RequestId) -> Option<Ticket> {
        let (rank, key) = self.index.remove(&request)?;
        self.queues[rank.index()].remove(key).map(|w| w.ticket)
    }

    /// Records the end of a started request, however it ended.
    pub fn on_finished(&mut self, now: Timestamp, rank: Rank, ran_for: Duration) {
        self.advance(now);
        self.floors.finish(rank, ran_for);
        let run = &mut self.run[rank.index()];
        *run = run.mul_f64(1.0 - RUN_WEIGHT) + ran_for.mul_f64(RUN_WEIGHT);
    }

    /// Number of waiting requests of a rank.
    pub fn waiting(&self, rank: Rank) -> usize {
        self.queues[rank.index()].len()
    }

    /// Mean run time of a rank.
    pub fn mean_run_time(&self, rank: Rank) -> Duration {
        self.run[rank.index()]
    }

    fn check(&mut self, now: Timestamp, ticket: &Ticket) -> Result<(), RefusalReason> {
        if self.index.contains_key(&ticket.request) {
            return Err(RefusalReason::Duplicate);
        }
        let i = ticket.rank.index();
        let run = self.run[i].as_secs_f64();
        let left = ticket.deadline.since(now).as_secs_f64();
        // One request of a rank may try although its deadline is shorter than the mean run. Otherwise a mean
        // that is too high could never be corrected.
        let trial = self.queues[i].is_empty() && self.floors.running(ticket.rank) == 0;
        if left <= 0.0 || (left < run && !trial) {
            return Err(RefusalReason::Deadline);
        }
        let budget = self.budget(now, ticket.rank).saturating_sub(now.since(ticket.queued_at)).as_secs_f64();
        let len = self.queues[i].len();
        let last = self.queue_wait(now, ticket.rank, len);
        let full = len >= MAX_WAITING || last + self.own_residual(ticket.rank) > budget;
        let late = |wait: f64| !trial && wait + self.residual(ticket.rank) + run > left;
        if !full && !late(last) {
            return Ok(());
        }
        let ahead = self.queues[i].ahead_of_next(&ticket.customer);
        let wait = self.queue_wait(now, ticket.rank, ahead);
        if late(wait) {
            return Err(RefusalReason::Deadline);
        }
        if !full {
            return Ok(());
        }
        if let Some((key, before)) = self.queues[i].displaceable(now, &ticket.customer) {
            let wait = self.queue_wait(now, ticket.rank, ahead.saturating_sub(usize::from(before)));
            if wait + self.own_residual(ticket.rank) <= budget {
                self.displace(ticket.rank, key);
                return Ok(());
            }
        }
        Err(match () {
            () if len >= MAX_WAITING => RefusalReason::QueueLength,
            () if self.queues[i].holds(&ticket.customer) => RefusalReason::CustomerShare,
            () => RefusalReason::WaitBudget,
        })
    }

    fn displace(&mut self, rank: Rank, key: Key) {
        if let Some(displaced) = self.queues[rank.index()].remove(key) {
            self.index.remove(&displaced.ticket.request);
            self.dropped.push(displaced.ticket);
        }
    }

    fn waiting_entry(&self, now: Timestamp, ticket: Ticket) -> Waiting {
        let i = ticket.rank.index();
        let budget = self.wait_budget[i].saturating_sub(now.since(ticket.queued_at));
        let clock_end = self.clock[i] as u64 + u64::try_from(budget.as_micros()).unwrap_or(u64::MAX / 2);
        // A request that cannot finish in time does not start, except as a trial (see `check`).
        let fits = ticket.deadline - self.run[i];
        let latest_start = if fits >= now { fits } else { ticket.deadline - Duration::from_micros(1) };
        Waiting { ticket, clock_end, latest_start }
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.now).as_micros() as f64;
        self.now = self.now.max(now);
        let filled = if self.urgent_fits(now) { self.floors.filled_below(Rank::Urgent) } else { 0.0 };
        for (clock, held) in self.clock.iter_mut().zip([filled, 0.0, 0.0]) {
            *clock += elapsed * (1.0 - held);
        }
        let waiting = [0, 1, 2].map(|i: usize| !self.queues[i].is_empty());
        self.floors.advance(now, waiting, self.run);
    }

    fn sweep(&mut self, now: Timestamp) {
        for rank in Rank::ALL {
            let i = rank.index();
            let extra = self.budget(now, rank) - self.wait_budget[i];
            let clock = (self.clock[i] as u64).saturating_sub(extra.as_micros() as u64);
            while let Some(waiting) = self.queues[i].pop_expired(now, clock) {
                self.index.remove(&waiting.ticket.request);
                self.dropped.push(waiting.ticket);
            }
        }
    }
}

impl AdmissionQueues {
    /// Takes changed settings over. Requests that wait keep their places, and run times stay as measured.
    pub fn reconfigure(&mut self, cfg: &AdmissionConfig) {
        self.wait_budget = cfg.wait_budget;
        self.urgent_burst = cfg.typical_run * URGENT_BURST_RUNS;
        self.floors.set_floors(cfg.floors);
    }
}
