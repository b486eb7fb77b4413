//! Actors, settings, logs and the timeline of a daemon.
//!
//! The [`engine`] owns the decision logic and is the only one to call it. The other parts bring it events (callers,
//! daemons, backend servers, the platform, time) and carry out its effects.

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
