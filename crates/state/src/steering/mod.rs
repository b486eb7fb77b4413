//! Load balancing of proxied requests over backend servers.
//!
//! For each request, a daemon decides here whether it is sent, queued or refused, and to which backend server it is
//! sent. The parts are separate modules because each of them handles one load pattern:
//!
//! - [`plan`]: routes, services and limits of one configuration version.
//! - [`accounts`]: client accounts, their API keys, priorities, home regions and quotas.
//! - [`departures`]: servers that leave, and entries that are written late.
//! - [`server`]: the estimated state of a backend server: entry, load, latency factor, failure rate, warm-up.
//! - [`affinity`]: which server holds the state of an object, so that repeated work finds it cached.
//! - [`round_robin`]: weighted distribution of the requests of a route over services, without sampling error.
//! - [`home_demand`]: the demand by which objects are assigned to regions, steady while the load varies.
//! - [`quota`]: holds the quotas of accounts over all daemons.
//! - [`region_shift`]: limits how fast traffic moves between regions.
//! - [`warmup`]: limits the request rate to a cold server, over all daemons.
//! - [`retries`]: limits retries, so that they cannot amplify an overload.
//! - [`admission`]: which requests are started, queued or rejected while slots are scarce.
//! - [`retry_after`]: spreads the retries of refused requests over time.
//! - [`capacity`]: which daemons are advertised to clients, so that small VMs do not delay them.
//! - [`poison`]: refuses requests that crash the servers which run them.
//! - [`engine`]: combines the above; the only entry point for a daemon.
//!
//! Three modules limit what untrusted clients and faulty servers take from a daemon, independently of the routing:
//!
//! - [`vm`]: limits that follow from the memory and file descriptors of the VM.
//! - [`memory`]: reserves memory for bodies, and evicts those that make the least progress.
//! - [`clients`]: which client connections are accepted and closed.

pub mod accounts;
pub mod admission;
pub mod affinity;
pub mod capacity;
pub mod clients;
pub mod departures;
pub mod engine;
pub mod home_demand;
pub mod memory;
pub mod plan;
pub mod poison;
pub mod quota;
pub mod region_shift;
pub mod retries;
pub mod retry_after;
pub mod round_robin;
pub mod server;
pub mod vm;
pub mod warmup;

pub use engine::{
    Call, Decision, QueueTicket, Refusal, SelectedBackend, SendOutcome, Steering, SteeringConfig,
};
pub use plan::{ClientLimits, Plan, Route, ServiceSpec};
pub use server::{BackendEntry, LoadReport, Slowdown};
