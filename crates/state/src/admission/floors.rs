//! Slot time accounts per rank, which implement the floors.

use std::time::Duration;

use crate::id::Rank;
use crate::model::Percent;
use crate::time::Timestamp;

/// Window over which a floor is guaranteed. Unused credit is limited to the floor's slot time in one window, and so is
/// debt unless one run takes longer.
pub(super) const FLOOR_WINDOW: Duration = Duration::from_secs(1);

/// Use of one slot, in hundredths of a microsecond, so that percentages of slot time are exact integers.
type SlotTime = i64;

/// Use of one slot for `span`.
fn to_slot_time(span: Duration) -> SlotTime {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX / 200) * 100
}

#[derive(Debug, Clone, Copy, Default)]
struct Account {
    /// Guaranteed share of slot time in percent.
    floor: i64,
    /// Slot time that the rank is still entitled to; negative if it has used more than its floor.
    balance: SlotTime,
    /// Estimated slot time charged for the running requests.
    charged: SlotTime,
    /// Number of running requests.
    running: u32,
    /// Number of running requests that started while no higher rank was waiting.
    uncontested: u32,
}

/// Slot time charged to a rank when a request starts. A refund reverses exactly these values.
#[derive(Debug, Clone, Copy)]
pub(super) struct Charge {
    /// Estimated slot time of the request.
    amount: SlotTime,
    /// Fraction of the amount that was deducted from the balance.
    deducted: SlotTime,
    /// Whether the request started while no higher rank was waiting.
    uncontested: bool,
}

/// Slot time accounts of the three ranks.
///
/// The mean run time of its rank is charged when a request starts, because several slots may become free at the same
/// time. When the request ends, the charge is corrected to the measured time.
///
/// An uncontested start, one while no higher rank is waiting, uses credit but creates no debt. The rank took slots that
/// no higher rank needed, and a debt for them would deprive it of its floor at the beginning of an overload.
#[derive(Debug, Clone)]
pub(super) struct Floors {
    accounts: [Account; 3],
    /// Number of slots that this daemon may use for the service, including those in use.
    slots: u32,
    /// Time up to which the floors have been credited.
    updated: Timestamp,
}

impl Floors {
    pub(super) fn new(floors: [Percent; 3], now: Timestamp) -> Self {
        let mut this = Self { accounts: Default::default(), slots: 0, updated: now };
        this.set_floors(floors);
        this
    }

    /// Sets the floors. If they add up to more than 100 %, they are scaled down.
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

    /// Credits the floors for the time since the last call. `waiting` tells which ranks had requests waiting during
    /// that time, and `run` is the mean run time per rank.
    pub(super) fn advance(&mut self, now: Timestamp, waiting: [bool; 3], run: [Duration; 3]) {
        let elapsed = to_slot_time(now.since(self.updated).min(FLOOR_WINDOW)) / 100;
        self.updated = self.updated.max(now);
        let slots = i64::from(self.slots);
        for rank in Rank::ALL {
            let i = rank.index();
            let account = &mut self.accounts[i];
            let window = account.floor * slots * to_slot_time(FLOOR_WINDOW) / 100;
            // The debt may reach one run even if that exceeds the window. Otherwise a rank with long runs on few slots
            // would get far more than its floor.
            let min_balance = -window.max(to_slot_time(run[i]));
            let max_balance = if waiting[i] { window } else { 0 };
            account.balance =
                (account.balance + account.floor * slots * elapsed).clamp(min_balance, max_balance);
        }
    }

    /// Whether the rank has received less than its floor.
    pub(super) fn is_below_floor(&self, rank: Rank) -> bool {
        self.accounts[rank.index()].balance > 0
    }

    /// Slot time in seconds that the rank has used beyond its floor.
    pub(super) fn debt_seconds(&self, rank: Rank) -> f64 {
        (-self.accounts[rank.index()].balance).max(0) as f64 / 1e8
    }

    /// Floor of the rank as a fraction, 0 to 1.
    pub(super) fn floor_fraction(&self, rank: Rank) -> f64 {
        self.accounts[rank.index()].floor as f64 / 100.0
    }

    pub(super) fn running(&self, rank: Rank) -> u32 {
        self.accounts[rank.index()].running
    }

    pub(super) fn running_total(&self) -> u32 {
        self.accounts.iter().map(|a| a.running).sum()
    }

    /// Mean of the estimated run times of the running requests, in seconds; `None` if no request is running.
    pub(super) fn mean_estimated_run_time(&self) -> Option<f64> {
        let charged: SlotTime = self.accounts.iter().map(|a| a.charged).sum();
        let running = self.running_total();
        (running > 0).then(|| charged as f64 / 1e8 / f64::from(running))
    }

    /// Fraction of the slots, 0 to 1, that ranks below `rank` use with uncontested starts.
    pub(super) fn uncontested_fraction_below(&self, rank: Rank) -> f64 {
        let uncontested: u32 = self.accounts[rank.index() + 1..].iter().map(|a| a.uncontested).sum();
        (f64::from(uncontested) / f64::from(self.slots.max(1))).min(1.0)
    }

    /// Charges a started request with the estimated run time `run`.
    pub(super) fn start(&mut self, rank: Rank, run: Duration, uncontested: bool) -> Charge {
        let account = &mut self.accounts[rank.index()];
        let amount = to_slot_time(run);
        let deducted = if uncontested { amount.min(account.balance.max(0)) } else { amount };
        account.balance -= deducted;
        account.charged += amount;
        account.running += 1;
        account.uncontested += u32::from(uncontested);
        Charge { amount, deducted, uncontested }
    }

    /// Reverts the charge of a running request, which then no longer counts as running.
    pub(super) fn refund(&mut self, rank: Rank, charge: Charge) {
        let account = &mut self.accounts[rank.index()];
        account.balance += charge.deducted;
        account.charged -= charge.amount;
        account.running = account.running.saturating_sub(1);
        account.uncontested = account.uncontested.saturating_sub(u32::from(charge.uncontested));
    }

    /// Mean charge of the running requests of the rank, for a request whose own charge is no longer known. Uncontested
    /// starts are assumed to be the older ones, because they precede the arrival of work of a higher rank.
    pub(super) fn mean_charge(&self, rank: Rank) -> Charge {
        let account = &self.accounts[rank.index()];
        let amount = account.charged / i64::from(account.running.max(1));
        let uncontested = account.uncontested > 0;
        Charge { amount, deducted: if uncontested { 0 } else { amount }, uncontested }
    }

    /// Records the end of a request and corrects its charge to the measured run time.
    pub(super) fn finish(&mut self, rank: Rank, ran_for: Duration) {
        let charge = self.mean_charge(rank);
        self.refund(rank, charge);
        if !charge.uncontested {
            self.accounts[rank.index()].balance -= to_slot_time(ran_for);
        }
    }
}
