//! Reservations of memory by the tasks of a daemon.
//!
//! [`MemoryBudget`] decides who gets memory; this module delivers its decisions to the tasks.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error};
use medlarstair_state::steering::memory::{HolderId, HolderKind, MemoryBudget, Reservation};
use medlarstair_transport::clock::BootClock;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Timeout for the release of memory by evicted holders. A task is notified at once, so it is only reached if a task does
/// not run.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// The memory budget is exhausted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("memory budget exhausted")]
pub struct OutOfMemory;

/// Memory budget of a daemon.
#[derive(Debug)]
pub struct Memory {
    budget: RefCell<MemoryBudget>,
    evictions: RefCell<BTreeMap<HolderId, Rc<Notify>>>,
    released: Notify,
    clock: BootClock,
}

impl Memory {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64, clock: BootClock) -> Rc<Self> {
        Rc::new(Self {
            budget: RefCell::new(MemoryBudget::new(limit)),
            evictions: RefCell::default(),
            released: Notify::new(),
            clock,
        })
    }

    /// Registers a holder, which holds nothing yet.
    pub fn open(self: &Rc<Self>, kind: HolderKind) -> Holding {
        let id = self.budget.borrow_mut().open(self.clock.now(), kind);
        let evicted = Rc::new(Notify::new());
        self.evictions.borrow_mut().insert(id, Rc::clone(&evicted));
        Holding { memory: Rc::clone(self), id, evicted }
    }

    /// Number of bytes that are reserved.
    pub fn used(&self) -> u64 {
        self.budget.borrow().used()
    }

    /// Largest body in bytes that the budget can hold.
    pub fn max_body_bytes(&self) -> usize {
        usize::try_from(self.budget.borrow().max_reservation()).unwrap_or(usize::MAX)
    }

    fn notify_evicted(&self, id: HolderId) {
        if let Some(evicted) = self.evictions.borrow().get(&id) {
            evicted.notify_one();
        }
    }
}

/// Memory that a task has reserved. It is released on drop.
#[derive(Debug)]
pub struct Holding {
    memory: Rc<Memory>,
    id: HolderId,
    evicted: Rc<Notify>,
}

impl Holding {
    /// Reserves further `bytes`, waiting for the release of memory by evicted holders if necessary.
    ///
    /// # Errors
    ///
    /// [`OutOfMemory`] if the budget is exhausted and no other holder gives way, or this one has been evicted.
    pub async fn grow(&self, bytes: u64) -> Result<(), OutOfMemory> {
        loop {
            let released = self.memory.released.notified();
            let reservation =
                self.memory.budget.borrow_mut().reserve(self.memory.clock.now(), self.id, bytes);
            match reservation {
                Reservation::Granted => return Ok(()),
                Reservation::Refused => return Err(OutOfMemory),
                Reservation::Evict(victim) => self.memory.notify_evicted(victim),
                Reservation::Wait => {
                    timeout(RELEASE_TIMEOUT, released).await.map_err(|_| OutOfMemory)?;
                }
            }
        }
    }

    /// Records that bytes of the body have moved.
    pub fn record_progress(&self) {
        self.memory.budget.borrow_mut().record_progress(self.memory.clock.now(), self.id);
    }

    /// Changes what the memory is held for.
    pub fn set_kind(&self, kind: HolderKind) {
        self.memory.budget.borrow_mut().set_kind(self.memory.clock.now(), self.id, kind);
    }

    /// Completes when the holder must release its memory.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Notifies `notify`, instead of [`evicted`](Self::evicted), when the holder must release its memory.
    pub fn notify_on_eviction(&self, notify: Rc<Notify>) {
        self.memory.evictions.borrow_mut().insert(self.id, notify);
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.memory.evictions.borrow_mut().remove(&self.id);
        self.memory.budget.borrow_mut().close(self.id);
        self.memory.released.notify_waiters();
    }
}
