//! VM list of the simulated platform. `POST /vms` sets the list, `GET /vms` returns it with a lag, and `POST /faults`
//! ([`VmListFaults`]) sets the lag.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::http::{Handler, Limits, Reply, Request, Response, serve};
use crate::worker::{Task, Worker, bind};

/// Role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmKind {
    /// The VM runs an entry daemon.
    Entry,
    /// The VM runs a backend server.
    Backend,
}

/// Lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The platform is about to stop the VM.
    Leaving,
}

/// Entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM, unique in the list.
    pub name: String,
    /// Role of the VM.
    pub kind: VmKind,
    /// Lifecycle state.
    pub state: VmState,
}

/// Body of `GET /vms` and `POST /vms`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// All VMs.
    pub vms: Vec<Vm>,
}

/// Injected faults of the VM list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListFaults {
    /// Time in ms until a new list is visible. A change of the lag also applies to lists that were set before it.
    pub lag_ms: u64,
}

/// Handle of a running VM list server. Dropping it stops the server.
#[derive(Debug)]
pub struct VmListService {
    address: SocketAddr,
    server: Arc<Server>,
    _task: Task,
}

impl VmListService {
    /// Starts a server with a list that is visible at once. Later lists have no lag until one is set.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub fn start(worker: &Arc<Worker>, address: SocketAddr, initial: VmListing) -> io::Result<Self> {
        let (listener, address) = bind(address)?;
        let server = Arc::new(Server(Mutex::new(State {
            faults: VmListFaults::default(),
            initial,
            updates: Vec::new(),
        })));
        let task = worker.spawn(serve(listener, Arc::clone(&server), Limits::default()));
        Ok(Self { address, server, _task: task })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the list, which is visible after the lag.
    pub fn set(&self, list: VmListing) {
        self.server.lock().updates.push((Instant::now(), list));
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: VmListFaults) {
        self.server.lock().faults = faults;
    }

    /// Returns the list that was set last, regardless of the lag.
    pub fn current(&self) -> VmListing {
        let state = self.server.lock();
        state.updates.last().map_or(&state.initial, |(_, list)| list).clone()
    }
}

#[derive(Debug)]
struct Server(Mutex<State>);

#[derive(Debug)]
struct State {
    faults: VmListFaults,
    initial: VmListing,
    /// Later lists with the time when each was set.
    updates: Vec<(Instant, VmListing)>,
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no thread panics while it holds the lock")
    }
}

impl Handler for Server {
    async fn handle(&self, req: Request) -> Reply {
        let mut state = self.lock();
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/vms") => {
                let lag = Duration::from_millis(state.faults.lag_ms);
                let visible = state.updates.iter().rev().find(|(set_at, _)| set_at.elapsed() >= lag);
                Response::json(200, visible.map_or(&state.initial, |(_, list)| list)).into()
            }
            ("POST", "/vms") => req.apply(|list| state.updates.push((Instant::now(), list))),
            ("POST", "/faults") => req.apply(|faults| state.faults = faults),
            _ => Response::error(404, "no such resource").into(),
        }
    }
}
