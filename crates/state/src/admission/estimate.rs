//! Estimates of waiting times and of the capacity available to each rank.

use std::time::Duration;

use rapidhash::v3::rapidhash_v3;

use super::{AdmissionQueues, MAX_RETRY_AFTER, MIN_RETRY_AFTER, OVERLOAD_DEVIATIONS};
use crate::id::{Rank, RequestId};
use crate::time::Timestamp;

impl AdmissionQueues {
    /// Estimated wait of a request that is added at the end of its rank's queue. Does not include the time until the
    /// next slot becomes free.
    pub fn wait_estimate(&self, now: Timestamp, rank: Rank) -> Duration {
        duration(self.queue_wait(now, rank, self.waiting(rank)))
    }

    /// Time after which the caller of a refused or expired request should retry.
    ///
    /// It grows with the waiting work and with the work refused within about the last second, because those callers
    /// retry as well. The hash of the request id spreads it over 50 % to 150 % of the computed value.
    pub fn retry_after(&self, now: Timestamp, rank: Rank, request: RequestId) -> Duration {
        let refused = self.refused[rank.index()].get(now) / self.available_slots(now, rank);
        let base = self.queue_wait(now, rank, self.waiting(rank)) + refused;
        let hash = rapidhash_v3(&request.0.to_le_bytes());
        let spread = 0.5 + (hash >> 32) as f64 / f64::from(u32::MAX);
        // The limit is applied before the spread. Otherwise all callers would retry at the same time after a long
        // backlog.
        let limit = MAX_RETRY_AFTER.as_secs_f64() / 1.5;
        duration(base.clamp(MIN_RETRY_AFTER.as_secs_f64(), limit) * spread)
    }

    /// Slots available to the rank: those left by strict priority, or its floor if that is more.
    fn available_slots(&self, now: Timestamp, rank: Rank) -> f64 {
        let floor = f64::from(self.floors.slots().max(1)) * self.floors.fraction(rank);
        self.priority_slots(now, rank).max(floor).max(0.01)
    }

    /// Slots that strict priority leaves to the rank: all slots less the floors of waiting lower ranks and the load of
    /// higher ranks. Negative if these exceed the slots.
    fn priority_slots(&self, now: Timestamp, rank: Rank) -> f64 {
        let (higher, lower) = Rank::ALL.split_at(rank.index());
        let waiting = |r: &&Rank| !self.queues[r.index()].is_empty();
        let floors: f64 = lower[1..].iter().filter(waiting).map(|r| self.floors.fraction(*r)).sum();
        let load: f64 = higher.iter().map(|r| self.admitted[r.index()].get(now)).sum();
        f64::from(self.floors.slots().max(1)) * (1.0 - floors) - load
    }

    /// Whether the demand of urgent work fits the slots available to it.
    ///
    /// Near the capacity, the measured demand of Poisson arrivals has a standard deviation of `sqrt(run / (2 slots))`
    /// of the capacity. The margin prevents an overload from being treated as demand that fits.
    pub(super) fn urgent_demand_fits(&self, now: Timestamp) -> bool {
        let slots = f64::from(self.floors.slots().max(1));
        let deviation = (self.run_time[0].as_secs_f64() / (2.0 * slots)).sqrt();
        let demand = self.admitted[0].get(now) + self.refused[0].get(now);
        demand < (1.0 - OVERLOAD_DEVIATIONS * deviation) * self.priority_slots(now, Rank::Urgent)
    }

    /// Wait budget of the rank at the current demand.
    pub(super) fn current_wait_budget(&self, now: Timestamp, rank: Rank) -> Duration {
        let budget = self.wait_budget[rank.index()];
        if rank == Rank::Urgent && self.urgent_demand_fits(now) {
            budget.max(self.urgent_burst)
        } else {
            budget
        }
    }

    /// Whether more slots are free than are reserved for urgent requests that may arrive.
    ///
    /// Running requests are not interrupted, so urgent work would have to wait for the end of a run if lower ranks used
    /// all slots. Slots for the mean urgent demand plus one standard deviation (of Poisson arrivals), but at most half
    /// of all slots, are therefore kept free. With five or more slots, this keeps the p99 latency of urgent work within
    /// two runs as long as requests of lower ranks run no longer than urgent ones. The latency is higher with three slots
    /// (2.1 runs) or if lower ranks run three times as long (2.8 runs with nine slots).
    pub(super) fn has_unreserved_slot(&self, now: Timestamp) -> bool {
        let demand = self.admitted[Rank::Urgent.index()].get(now);
        let reserved = (demand + demand.sqrt()).round() as u32;
        let reserved = reserved.min(self.floors.slots() / 2);
        self.free_slots() > reserved.saturating_sub(self.floors.running(Rank::Urgent))
    }

    fn free_slots(&self) -> u32 {
        self.floors.slots().saturating_sub(self.floors.running_total())
    }

    /// Estimated time in seconds until all work has started that is served before a request of `rank` with `ahead`
    /// requests of the same rank ahead of it.
    pub(super) fn queue_wait(&self, now: Timestamp, rank: Rank, ahead: usize) -> f64 {
        let i = rank.index();
        let own = ahead as f64 * self.run_time[i].as_secs_f64();
        let mut work = own;
        let mut count = ahead;
        for r in 0..i {
            work += self.queues[r].len() as f64 * self.run_time[r].as_secs_f64();
            count += self.queues[r].len();
        }
        let free = self.free_slots() as usize;
        if count < free || count == 0 {
            return 0.0;
        }
        let waiting_fraction = (count - free) as f64 / count as f64;
        let slots = self.priority_slots(now, rank);
        let by_priority = if slots > 0.0 { work * waiting_fraction / slots } else { f64::INFINITY };
        let floor = f64::from(self.floors.slots().max(1)) * self.floors.fraction(rank);
        let by_floor = if floor > 0.0 { (own + self.floors.debt(rank)) / floor } else { f64::INFINITY };
        by_priority.min(by_floor)
    }

    /// Mean time in seconds until the next slot becomes free if requests of this rank use all slots. At most
    /// [`residual`](Self::residual).
    pub(super) fn own_residual(&self, rank: Rank) -> f64 {
        self.residual(rank).min(self.time_to_free_slot(self.run_time[rank.index()].as_secs_f64()))
    }

    /// Mean time in seconds until the next slot becomes free, given the requests that are running.
    pub(super) fn residual(&self, rank: Rank) -> f64 {
        let run = self.floors.running_mean().unwrap_or(self.run_time[rank.index()].as_secs_f64());
        self.time_to_free_slot(run)
    }

    /// If runs start independently, the first of `n` slots becomes free after 1/(n+1) of a run on average.
    fn time_to_free_slot(&self, run: f64) -> f64 {
        let slots = self.floors.slots();
        if slots == 0 || self.free_slots() > 0 { 0.0 } else { run / f64::from(slots + 1) }
    }
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
