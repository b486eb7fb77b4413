//! List of live and leaving VMs: `GET /vms` shows it with a lag, `POST /vms` sets it, and `POST /faults`
//! ([`VmListFaults`]) sets the lag.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::http::{Handler, Limits, Reply, Request, Response, serve};
use crate::worker::{Task, Worker, bind};

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmKind {
    /// Runs an entry daemon.
    Entry,
    /// Runs a backend server.
    Backend,
}

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to be stopped.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// What it is for.
    pub kind: VmKind,
    /// Whether it stays.
    pub state: VmState,
}

/// Body of `GET /vms` and `POST /vms`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// All VMs.
    pub vms: Vec<Vm>,
}

/// Faults of the list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListFaults {
    /// Time in ms until a list that was set is shown; applies to lists that were set before as well.
    pub lag_ms: u64,
}

/// A running VM list; dropping it stops it.
#[derive(Debug)]
pub struct VmListService {
    address: SocketAddr,
    server: Arc<Server>,
    _task: Task,
}

impl VmListService {
    /// Starts with a list that is shown at once and without a lag for later ones.
    pub fn start(worker: &Arc<Worker>, address: SocketAddr, first: VmListing) -> io::Result<Self> {
        let (listener, address) = bind(address)?;
        let server =
            Arc::new(Server(Mutex::new(State { faults: VmListFaults::default(), first, later: Vec::new() })));
        let task = worker.spawn(serve(listener, Arc::clone(&server), Limits::default()));
        Ok(Self { address, server, _task: task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the list that is shown once the lag has passed.
    pub fn set(&self, list: VmListing) {
        self.server.lock().later.push((Instant::now(), list));
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: VmListFaults) {
        self.server.lock().faults = faults;
    }

    /// The list as it is set, without the lag.
    pub fn current(&self) -> VmListing {
        let state = self.server.lock();
        state.later.last().map_or(&state.first, |(_, list)| list).clone()
    }
}

#[derive(Debug)]
struct Server(Mutex<State>);

#[derive(Debug)]
struct State {
    faults: VmListFaults,
    first: VmListing,
    later: Vec<(Instant, VmListing)>,
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

impl Handler for Server {
    async fn handle(&self, req: Request) -> Reply {
        let mut state = self.lock();
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/vms") => {
                let lag = Duration::from_millis(state.faults.lag_ms);
                let shown = state.later.iter().rev().find(|(set, _)| set.elapsed() >= lag);
                Response::json(200, shown.map_or(&state.first, |(_, list)| list)).into()
            }
            ("POST", "/vms") => req.apply(|list| state.later.push((Instant::now(), list))),
            ("POST", "/faults") => req.apply(|faults| state.faults = faults),
            _ => Response::error(404, "no such resource").into(),
        }
    }
}
