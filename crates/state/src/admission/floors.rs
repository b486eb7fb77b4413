//! Account of slot time per rank, from which the floors follow.

use std::time::Duration;

use crate::id::Rank;
use crate::model::Percent;
use crate::time::Timestamp;

/// Span over which a floor is kept. Unused credit and old use are forgotten after this time.
pub(super) const FLOOR_WINDOW: Duration = Duration::from_secs(1);

/// Hundredths of a microsecond on one slot, so that a percentage of slot time is exact in integers.
type SlotTime = i64;

fn slot_time(span: Duration) -> SlotTime {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX / 200) * 100
}

#[derive(Debug, Clone, Copy, Default)]
struct Account {
    floor: i64,
    /// Slot time that the rank may still claim; negative after it has used more than its floor.
    balance: SlotTime,
    /// Estimated slot time charged for the running requests.
    charged: SlotTime,
    running: u32,
    /// Running requests that started while no higher rank was waiting.
    fillers: u32,
}

/// What a start charged, so that it can be taken back exactly.
#[derive(Debug, Clone, Copy)]
pub(super) struct Charge {
    amount: SlotTime,
    /// Part of the amount that was taken from the balance.
    paid: SlotTime,
    filler: bool,
}

/// Slot time accounts of the three ranks.
///
/// A start is charged with the mean run time of its rank at once, because several slots may become free at
/// the same instant; the end of the run corrects the charge to the measured time. A start while no higher
/// rank waits uses up credit but makes no debt: the rank took slots that nobody else wanted, and a debt for
/// them would leave it without its floor at the beginning of a flood.
#[derive(Debug, Clone)]
pub(super) struct Floors {
    accounts: [Account; 3],
    slots: u32,
    at: Timestamp,
}

impl Floors {
    pub(super) fn new(floors: [Percent; 3], now: Timestamp) -> Self {
        let mut this = Self { accounts: Default::default(), slots: 0, at: now };
        this.set_floors(floors);
        this
    }

    /// Sets the floors, scaled down if they sum to more than 100 %.
    pub(super) fn set_floors(&mut self, floors: [Percent; 3]) {
        let sum: i64 = floors.iter().map(|p| i64::from(p.0)).sum();
        for (account, floor) in self.accounts.iter_mut().zip(floors) {
            account.floor = i64::from(floor.0) * 100 / sum.max(100);
        }
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Credits the time since the last call. `waiting` says which ranks had work waiting during it.
    pub(super) fn advance(&mut self, now: Timestamp, waiting: [bool; 3], run: [Duration; 3]) {
        let elapsed = slot_time(now.since(self.at).min(FLOOR_WINDOW)) / 100;
        self.at = self.at.max(now);
        let slots = i64::from(self.slots);
        for rank in Rank::ALL {
            let i = rank.index();
            let account = &mut self.accounts[i];
            let window = account.floor * slots * slot_time(FLOOR_WINDOW) / 100;
            // A debt of one run stays payable even when it exceeds the window. Otherwise a rank of long runs
            // on few slots would get far more than its floor.
            let lowest = -window.max(slot_time(run[i]));
            let highest = if waiting[i] { window } else { 0 };
            account.balance = (account.balance + account.floor * slots * elapsed).clamp(lowest, highest);
        }
    }

    /// Whether the rank has got less than its floor.
    pub(super) fn due(&self, rank: Rank) -> bool {
        self.accounts[rank.index()].balance > 0
    }

    /// Slot seconds that the rank has used beyond its floor.
    pub(super) fn debt(&self, rank: Rank) -> f64 {
        (-self.accounts[rank.index()].balance).max(0) as f64 / 1e8
    }

    /// Floor as a part of 1.
    pub(super) fn part(&self, rank: Rank) -> f64 {
        self.accounts[rank.index()].floor as f64 / 100.0
    }

    pub(super) fn running(&self, rank: Rank) -> u32 {
        self.accounts[rank.index()].running
    }

    pub(super) fn running_total(&self) -> u32 {
        self.accounts.iter().map(|a| a.running).sum()
    }

    /// Mean estimated run time of the running requests in seconds; `None` if nothing runs.
    pub(super) fn running_mean(&self) -> Option<f64> {
        let charged: SlotTime = self.accounts.iter().map(|a| a.charged).sum();
        let running = self.running_total();
        (running > 0).then(|| charged as f64 / 1e8 / f64::from(running))
    }

    /// Part of the slots that ranks below `rank` took while neither it nor a rank above them was waiting.
    pub(super) fn filled_below(&self, rank: Rank) -> f64 {
        let fillers: u32 = self.accounts[rank.index() + 1..].iter().map(|a| a.fillers).sum();
        (f64::from(fillers) / f64::from(self.slots.max(1))).min(1.0)
    }

    pub(super) fn start(&mut self, rank: Rank, run: Duration, filler: bool) -> Charge {
        let account = &mut self.accounts[rank.index()];
        let amount = slot_time(run);
        let paid = if filler { amount.min(account.balance.max(0)) } else { amount };
        account.balance -= paid;
        account.charged += amount;
        account.running += 1;
        account.fillers += u32::from(filler);
        Charge { amount, paid, filler }
    }

    pub(super) fn take_back(&mut self, rank: Rank, charge: Charge) {
        let account = &mut self.accounts[rank.index()];
        account.balance += charge.paid;
        account.charged -= charge.amount;
        account.running = account.running.saturating_sub(1);
        account.fillers = account.fillers.saturating_sub(u32::from(charge.filler));
    }

    /// Charge of one running request of the rank, for a request whose own charge is no longer known. Fillers
    /// count as the older ones, since they started before the higher rank had work waiting.
    pub(super) fn mean_charge(&self, rank: Rank) -> Charge {
        let account = &self.accounts[rank.index()];
        let amount = account.charged / i64::from(account.running.max(1));
        let filler = account.fillers > 0;
        Charge { amount, paid: if filler { 0 } else { amount }, filler }
    }

    pub(super) fn finish(&mut self, rank: Rank, ran_for: Duration) {
        let charge = self.mean_charge(rank);
        self.take_back(rank, charge);
        if !charge.filler {
            self.accounts[rank.index()].balance -= slot_time(ran_for);
        }
    }
}
