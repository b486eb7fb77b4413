//! Actors, HTTP handlers, settings, log and timeline of an entry daemon.
//!
//! The [`engine`] owns the decision logic and is the only component that calls it. The other components send it events
//! from callers, other daemons, backend servers, the platform and the timer, and perform its effects.

pub mod call;
pub mod claims;
pub mod daemon;
pub mod drain;
pub mod engine;
pub mod health;
pub mod http;
pub mod ini_reader;
pub mod log;
pub mod metrics;
pub mod ops;
pub mod peers;
pub mod settings;
pub mod snapshot;
pub mod streams;
pub mod timeline;
pub mod timer;
pub mod trace;
pub mod watcher;
