//! A daemon that forwards whole requests to backend servers.
//!
//! The decisions are those of [`medlarstair_state::steering`]; this crate brings them requests, answers and the
//! platform's lists, and carries out what they decide. How callers, backend servers and the platform spell things is
//! the matter of a [`adapter::Adapter`], which an adapter supplies.
//!
//! The request path uses `hyper` on both sides. `actix-web` gives a handler no sign when its caller leaves while the
//! handler waits, so that abandoned work could not be cancelled, and `awc` passes on cut answers as whole ones.

pub mod adapter;
pub mod config;
pub mod core;
pub mod daemon;
pub mod directory;
pub mod eventlog;
pub mod forward;
pub mod ingress;
pub mod membership;
pub mod metrics;
pub mod pool;
pub mod probe;
pub mod sync;

pub use config::Config;
pub use daemon::run;
