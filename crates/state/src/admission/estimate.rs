//! Estimates of waiting times.

use std::time::Duration;

use rapidhash::v3::rapidhash_v3;

use super::{AdmissionQueues, MAX_RETRY_AFTER, MIN_RETRY_AFTER, OVERLOAD_DEVIATIONS};
use crate::id::{Rank, RequestId};
use crate::time::Timestamp;

impl AdmissionQueues {
    /// Estimated wait of a request that would be the last of its rank, up to the slot that becomes free next.
    pub fn wait_estimate(&self, now: Timestamp, rank: Rank) -> Duration {
        duration(self.queue_wait(now, rank, self.waiting(rank)))
    }

    /// When a caller whose request was refused or has expired should try again.
    ///
    /// The time grows with the work that waits and that was refused within about the last second, since those
    /// callers return as well. The hash of the request id spreads it over 50 % to 150 %.
    pub fn retry_after(&self, now: Timestamp, rank: Rank, request: RequestId) -> Duration {
        let refused = self.refused[rank.index()].get(now) / self.rate(now, rank);
        let base = self.queue_wait(now, rank, self.waiting(rank)) + refused;
        let hash = rapidhash_v3(&request.0.to_le_bytes());
        let spread = 0.5 + (hash >> 32) as f64 / f64::from(u32::MAX);
        // The limit applies before the spread. Otherwise all callers of a long backlog would return together.
        let limit = MAX_RETRY_AFTER.as_secs_f64() / 1.5;
        duration(base.clamp(MIN_RETRY_AFTER.as_secs_f64(), limit) * spread)
    }

    /// Slots that the rank can get: the part of strict priority, or its floor if that is more.
    fn rate(&self, now: Timestamp, rank: Rank) -> f64 {
        let floor = f64::from(self.floors.slots().max(1)) * self.floors.part(rank);
        self.priority_rate(now, rank).max(floor).max(0.01)
    }

    fn priority_rate(&self, now: Timestamp, rank: Rank) -> f64 {
        let (higher, lower) = Rank::ALL.split_at(rank.index());
        let waiting = |r: &&Rank| !self.queues[r.index()].is_empty();
        let floors: f64 = lower[1..].iter().filter(waiting).map(|r| self.floors.part(*r)).sum();
        let load: f64 = higher.iter().map(|r| self.admitted[r.index()].get(now)).sum();
        f64::from(self.floors.slots().max(1)) * (1.0 - floors) - load
    }

    /// Whether the demand of urgent work fits the slots that it can get.
    ///
    /// The measured demand of Poisson arrivals deviates by `sqrt(run / (2 slots))` of the capacity when it is
    /// near it; the margin keeps a flood from counting as fitting.
    pub(super) fn urgent_fits(&self, now: Timestamp) -> bool {
        let slots = f64::from(self.floors.slots().max(1));
        let deviation = (self.run[0].as_secs_f64() / (2.0 * slots)).sqrt();
        let demand = self.admitted[0].get(now) + self.refused[0].get(now);
        demand < (1.0 - OVERLOAD_DEVIATIONS * deviation) * self.priority_rate(now, Rank::Urgent)
    }

    /// Wait budget of the rank at the present demand.
    pub(super) fn budget(&self, now: Timestamp, rank: Rank) -> Duration {
        let budget = self.wait_budget[rank.index()];
        if rank == Rank::Urgent && self.urgent_fits(now) { budget.max(self.urgent_burst) } else { budget }
    }

    /// Whether a slot is free beyond those kept for urgent work that may arrive.
    ///
    /// Runs are not interrupted, so when lower ranks fill all slots, urgent work waits for the end of a run. Slots for its
    /// mean demand and one standard deviation (of Poisson arrivals) are therefore kept free, at most half of all. This keeps the p99 latency of urgent work within
    /// two runs from five slots on, while the runs of lower ranks are no longer; it is exceeded with three slots
    /// (2.1 runs) or when lower ranks run three times as long (2.8 runs with nine slots).
    pub(super) fn has_unreserved_slot(&self, now: Timestamp) -> bool {
        let demand = self.admitted[Rank::Urgent.index()].get(now);
        let wanted = (demand + demand.sqrt()).round() as u32;
        let wanted = wanted.min(self.floors.slots() / 2);
        self.free() > wanted.saturating_sub(self.floors.running(Rank::Urgent))
    }

    fn free(&self) -> u32 {
        self.floors.slots().saturating_sub(self.floors.running_total())
    }

    /// Seconds until the work before a request of `rank` with `ahead` requests of its rank before it has
    /// started.
    pub(super) fn queue_wait(&self, now: Timestamp, rank: Rank, ahead: usize) -> f64 {
        let i = rank.index();
        let own = ahead as f64 * self.run[i].as_secs_f64();
        let mut work = own;
        let mut count = ahead;
        for r in 0..i {
            work += self.queues[r].len() as f64 * self.run[r].as_secs_f64();
            count += self.queues[r].len();
        }
        let free = self.free() as usize;
        if count < free || count == 0 {
            return 0.0;
        }
        let behind_free = (count - free) as f64 / count as f64;
        let rate = self.priority_rate(now, rank);
        let by_priority = if rate > 0.0 { work * behind_free / rate } else { f64::INFINITY };
        let floor = f64::from(self.floors.slots().max(1)) * self.floors.part(rank);
        let by_floor = if floor > 0.0 { (own + self.floors.debt(rank)) / floor } else { f64::INFINITY };
        by_priority.min(by_floor)
    }

    /// Mean time until the next slot becomes free if requests of this rank hold all of them.
    pub(super) fn own_residual(&self, rank: Rank) -> f64 {
        self.residual(rank).min(self.next_slot(self.run[rank.index()].as_secs_f64()))
    }

    /// Mean time until the next slot becomes free with the requests that run now.
    pub(super) fn residual(&self, rank: Rank) -> f64 {
        let run = self.floors.running_mean().unwrap_or(self.run[rank.index()].as_secs_f64());
        self.next_slot(run)
    }

    /// Runs that started independently leave the first of `n` slots after 1/(n+1) of a run on average.
    fn next_slot(&self, run: f64) -> f64 {
        let slots = self.floors.slots();
        if slots == 0 || self.free() > 0 { 0.0 } else { run / f64::from(slots + 1) }
    }
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
