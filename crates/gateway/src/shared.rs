//! State shared by the tasks of a daemon.
//!
//! All tasks run on one thread. No `RefCell` borrow is held across an `await`.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use medlarstair_state::steering::quota::{DaemonKey, Quotas};
use medlarstair_state::steering::vm::ResourceLimits;
use medlarstair_state::steering::{Decision, QueueTicket, Steering};
use medlarstair_state::time::Timestamp;
use medlarstair_transport::clock::{BootClock, wall_ms};
use tokio::sync::{Notify, oneshot};
use tokio::time::sleep;

use crate::adapter::Adapter;
use crate::clients::Clients;
use crate::config::Config;
use crate::eventlog::EventLog;
use crate::membership::Members;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::own_entry::OwnEntry;
use crate::peers::PeerSocket;
use crate::pool::Pool;
use crate::store_outage::StoreOutage;
use crate::store_relay::StoreRelay;

/// Phase in the lifetime of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The daemon accepts new requests.
    Serving,
    /// A graceful shutdown has begun; the daemon completes the requests that it has accepted.
    Stopping,
}

/// Schedule of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// End of the acceptance of connections and requests.
    pub accept_until: Timestamp,
    /// End of the sends to servers, which might still be at work on a later request when the process exits. Later than
    /// `accept_until`, so that clients whose requests are refused do not connect while the listener closes.
    pub send_until: Timestamp,
    /// Deadline for all responses. From then on the kernel gets room for what is left of them.
    pub response_deadline: Timestamp,
    /// End of the connections, just before the process exits.
    pub close_at: Timestamp,
}

/// State shared by the tasks of a daemon.
pub struct Shared<A> {
    /// Settings as they were read at start. A reload passes new steering settings to `steering` and leaves these unchanged.
    pub cfg: Config,
    /// Translates between the platform's formats and the types of this crate.
    pub adapter: A,
    /// Routing logic, which holds the configuration and the state of the backend servers.
    pub steering: RefCell<Steering>,
    /// Quotas of the client accounts.
    pub quotas: RefCell<Quotas>,
    /// Socket for messages of other daemons. Empty if the settings have no address for it.
    pub peer_socket: OnceCell<PeerSocket>,
    /// Daemons of the deployment that are known to run.
    pub members: RefCell<Members>,
    /// Idle connections to backend servers.
    pub pool: RefCell<Pool>,
    /// Open connections of clients.
    pub clients: Rc<Clients>,
    /// Open connections for readiness checks, look-ups and metrics.
    pub control_clients: Rc<Clients>,
    /// Memory budget for bodies of requests and responses.
    pub memory: Rc<Memory>,
    /// Outages of the key-value service that this daemon has observed.
    pub store_outage: RefCell<StoreOutage>,
    /// Announcements of the daemon that watches the key-value service for this one.
    pub store_relay: RefCell<StoreRelay>,
    /// Metrics that the daemon exports.
    pub metrics: Metrics,
    /// Rate-limited event log.
    pub events: EventLog,
    /// Notified when a graceful shutdown begins.
    pub shutdown_started: Notify,
    /// What is known of the own entry in the key-value service.
    pub own_entry: RefCell<OwnEntry>,
    /// Notified when the own entry must be written again.
    pub registration_due: Notify,
    clock: BootClock,
    shutdown: Cell<Option<Shutdown>>,
    open_connections: Cell<usize>,
    waiters: RefCell<BTreeMap<QueueTicket, oneshot::Sender<Decision>>>,
}

impl<A: Adapter> Shared<A> {
    /// Creates the state of a daemon that is starting.
    pub fn new(cfg: Config, adapter: A, metrics: Metrics, events: EventLog) -> Rc<Self> {
        let steering = RefCell::new(Steering::new(cfg.steering()));
        let limits = ResourceLimits::of_vm(cfg.vm);
        let clock = BootClock::start();
        let quotas = Quotas::new(DaemonKey::from_name(&cfg.name), cfg.quota_limits, clock.now(), wall_ms());
        Rc::new(Self {
            adapter,
            steering,
            quotas: RefCell::new(quotas),
            peer_socket: OnceCell::new(),
            members: RefCell::new(Members::new(&cfg)),
            pool: RefCell::new(Pool::new(limits.idle_connections)),
            clients: Clients::new(limits.client_connections, clock),
            control_clients: Clients::new(limits.control_connections, clock),
            memory: Memory::new(limits.body_bytes, clock),
            store_outage: RefCell::default(),
            store_relay: RefCell::default(),
            metrics,
            events,
            shutdown_started: Notify::new(),
            own_entry: RefCell::default(),
            registration_due: Notify::new(),
            clock,
            shutdown: Cell::new(None),
            open_connections: Cell::new(0),
            waiters: RefCell::new(BTreeMap::new()),
            cfg,
        })
    }

    /// Current time on the monotonic clock of the daemon, which starts at zero.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Current phase in the lifetime of the daemon.
    pub fn phase(&self) -> Phase {
        if self.shutdown.get().is_some() { Phase::Stopping } else { Phase::Serving }
    }

    /// Begins a graceful shutdown.
    pub fn begin_shutdown(&self, shutdown: Shutdown) {
        self.shutdown.set(Some(shutdown));
        self.shutdown_started.notify_waiters();
    }

    /// Schedule of the graceful shutdown. `None` unless it has begun.
    pub fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown.get()
    }

    /// Completes when a graceful shutdown reaches the time that `choose` takes from its schedule.
    pub async fn shutdown_reaches(&self, choose: impl Fn(&Shutdown) -> Timestamp) {
        // Created before the check, so that a shutdown that begins after it is not missed.
        let started = self.shutdown_started.notified();
        if self.shutdown().is_none() {
            started.await;
        }
        if let Some(shutdown) = self.shutdown() {
            sleep(choose(&shutdown).since(self.now())).await;
        }
    }

    /// Whether clients should use this daemon: it has a configuration and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.steering.borrow().plan().is_some()
    }

    /// Whether another daemon may watch the key-value service for this one: it is the relay, and no call of this daemon has
    /// failed since the last response.
    pub fn may_follow_relay(&self) -> bool {
        !self.members.borrow().is_relay() && !self.store_outage.borrow().is_ongoing()
    }

    /// Whether another daemon watches the key-value service for this one, and has been heard recently.
    pub fn follows_relay(&self) -> bool {
        self.may_follow_relay() && self.store_relay.borrow().is_heard(self.now())
    }

    /// Number of open client connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Records that a client connection was opened.
    pub fn connection_opened(&self) {
        self.open_connections.set(self.open_connections.get() + 1);
    }

    /// Records that a client connection was closed.
    pub fn connection_closed(&self) {
        self.open_connections.set(self.open_connections.get().saturating_sub(1));
    }

    /// Writes the resources in use to the metrics.
    pub fn record_held(&self) {
        let set = |resource, value| self.metrics.held.with_label_values(&[resource]).set(value);
        set("body-bytes", self.memory.used() as i64);
        set("connections", self.clients.len() as i64);
    }

    /// Registers a queued request and returns the channel on which its decision is delivered.
    pub fn add_waiter(&self, ticket: QueueTicket) -> oneshot::Receiver<Decision> {
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, tx);
        rx
    }

    /// Unregisters a queued request; its decision is no longer awaited.
    pub fn remove_waiter(&self, ticket: QueueTicket) {
        self.waiters.borrow_mut().remove(&ticket);
    }

    /// Delivers the decisions on queued requests that can now be sent or must be refused.
    pub fn deliver_decisions(&self) {
        let ready = self.steering.borrow_mut().poll_queue(self.now());
        for (ticket, decision) in ready {
            let waiter = self.waiters.borrow_mut().remove(&ticket);
            // If the client has just disconnected, the guard of the queued request withdraws it and reports the send as
            // cancelled.
            if let Some(tx) = waiter {
                let _ = tx.send(decision);
            }
        }
    }
}
