//! State that the tasks of a daemon share.
//!
//! All tasks run on one thread. A borrow never lives across an `await`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use medlarstair_state::steering::{Decision, QueueTicket, Steering};
use medlarstair_state::time::Timestamp;
use medlarstair_transport::clock::BootClock;
use tokio::sync::{Notify, oneshot};

use crate::adapter::Adapter;
use crate::config::Config;
use crate::eventlog::EventLog;
use crate::membership::Members;
use crate::metrics::Metrics;
use crate::pool::Pool;

/// How far a daemon is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It finishes what it has begun.
    Stopping,
}

/// Shared state of a daemon.
pub struct Core<A> {
    /// Settings.
    pub cfg: Config,
    /// Translation for the platform.
    pub adapter: A,
    /// Decisions.
    pub steering: RefCell<Steering>,
    /// Daemons of the deployment.
    pub members: RefCell<Members>,
    /// Connections to backend servers.
    pub pool: RefCell<Pool>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Events.
    pub events: EventLog,
    /// Told when the phase changes.
    pub stopping: Notify,
    clock: BootClock,
    phase: Cell<Phase>,
    last_answer: Cell<Option<Timestamp>>,
    active: Cell<usize>,
    waiters: RefCell<BTreeMap<QueueTicket, oneshot::Sender<Decision>>>,
}

impl<A: Adapter> Core<A> {
    /// The state of a daemon that has just started.
    pub fn new(cfg: Config, adapter: A, metrics: Metrics, events: EventLog) -> Rc<Self> {
        let steering = RefCell::new(Steering::new(cfg.steering()));
        Rc::new(Self {
            adapter,
            steering,
            members: RefCell::new(Members::new(&cfg)),
            pool: RefCell::new(Pool::default()),
            metrics,
            events,
            stopping: Notify::new(),
            clock: BootClock::start(),
            phase: Cell::new(Phase::Serving),
            last_answer: Cell::new(None),
            active: Cell::new(0),
            waiters: RefCell::new(BTreeMap::new()),
            cfg,
        })
    }

    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Begins the planned stop. Every request is answered by `last_answer`.
    pub fn stop(&self, last_answer: Timestamp) {
        self.phase.set(Phase::Stopping);
        self.last_answer.set(Some(last_answer));
        self.stopping.notify_waiters();
    }

    /// When a stopping daemon must have answered every request.
    pub fn last_answer(&self) -> Option<Timestamp> {
        self.last_answer.get()
    }

    /// Whether callers should use this daemon.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.steering.borrow().plan().is_some()
    }

    /// Connections of callers.
    pub fn active(&self) -> usize {
        self.active.get()
    }

    /// Counts a connection of a caller.
    pub fn connected(&self) {
        self.active.set(self.active.get() + 1);
    }

    /// A connection of a caller has ended.
    pub fn disconnected(&self) {
        self.active.set(self.active.get().saturating_sub(1));
    }

    /// Where the decision on a waiting request arrives.
    pub fn wait_for(&self, ticket: QueueTicket) -> oneshot::Receiver<Decision> {
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, tx);
        rx
    }

    /// Nobody waits for the decision any more.
    pub fn forget(&self, ticket: QueueTicket) {
        self.waiters.borrow_mut().remove(&ticket);
    }

    /// Tells waiting requests that can be sent, or no longer be served, what was decided.
    pub fn release(&self) {
        let ready = self.steering.borrow_mut().poll_queue(self.now());
        for (ticket, decision) in ready {
            let waiter = self.waiters.borrow_mut().remove(&ticket);
            // A request whose caller has just left withdraws by itself; its send is undone by its guard.
            if let Some(tx) = waiter {
                let _ = tx.send(decision);
            }
        }
    }
}
