//! Steering of proxied requests to backend servers.
//!
//! A daemon that forwards whole requests decides here, for each one, whether it is sent, waits or is refused, and which
//! backend server gets it. The parts are separate because each answers one load pattern:
//!
//! - [`plan`]: routes, services and limits of one configuration version.
//! - [`server`]: what is believed of a backend server: entry, load, pace, failures, warm-up.
//! - [`affinity`]: which server holds the state of an object, so that repeated work stays warm.
//! - [`round_robin`]: weighted distribution of a route over services without random error.
//! - [`region_shift`]: bounds how fast requests change the region that serves them.
//! - [`warmup`]: bounds the requests per second to a cold server over all daemons.
//! - [`retries`]: bounds repeated sends, so that retries cannot amplify an overload.
//! - [`retry_after`]: spreads the return of refused requests over time.
//! - [`capacity`]: which daemons callers are told to use, so that small VMs do not delay them.
//! - [`poison`]: stops requests that crash the servers which run them.
//! - [`engine`]: composes the above; the only entry point of a daemon.

pub mod affinity;
pub mod capacity;
pub mod engine;
pub mod plan;
pub mod poison;
pub mod region_shift;
pub mod retries;
pub mod retry_after;
pub mod round_robin;
pub mod server;
pub mod warmup;

pub use engine::{
    Call, Decision, QueueTicket, Refusal, SelectedBackend, SendOutcome, Steering, SteeringConfig,
};
pub use plan::{ClientLimits, Plan, Route, ServiceSpec};
pub use server::{BackendEntry, LoadReport};
