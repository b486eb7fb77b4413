//! Simulated dependencies of medlarstair (stand-ins): the key-value service and VM list of the platform, backend
//! servers and network links. Process tests, the example and the experiments use them.
//!
//! Each stand-in runs on a [`Worker`] thread, listens on a fixed or system-chosen address and stops when its handle
//! is dropped. Faults are injected through the handle or over HTTP. The program `standin` has a subcommand for each
//! stand-in.
//!
//! ```
//! use medlarstair_standins::{KvService, Worker};
//! let worker = Worker::start()?;
//! let kv = KvService::start(&worker, "127.0.0.1:0".parse().unwrap())?;
//! kv.put("topology", "{}");
//! assert_eq!(kv.list("").entries.len(), 1);
//! # std::io::Result::Ok(())
//! ```

#![warn(missing_docs)]

mod backend;
mod deployment;
pub mod flat;
mod http;
mod kv;
mod relay;
pub mod settings;
pub mod values;
mod vms;
mod worker;

pub use backend::{BackendConfig, BackendFaults, BackendServer, BackendStats, Health, Run, RunEnd};
pub use deployment::{BackendPlan, Deployment, Endpoint, EntryPlan, RunningDeployment, ServicePlan};
pub use kv::{KvCalls, KvEntry, KvFaults, KvList, KvService, MAX_VALUE_BYTES};
pub use relay::{
    Front, LinkBandwidth, LinkChange, LinkDelay, LinkStatus, Place, PlaceNetwork, Relay, RelayConfig,
};
pub use vms::{Vm, VmKind, VmListFaults, VmListService, VmListing, VmState};
pub use worker::Worker;
