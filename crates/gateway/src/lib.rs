//! A reverse proxy daemon that buffers requests and forwards them to backend servers.
//!
//! Routing decisions are made by [`medlarstair_state::steering`]. This crate performs the I/O: it feeds the steering logic
//! with requests, responses and the entries of the platform's key-value service, and carries out its decisions. The formats
//! of headers, control requests and entries depend on the platform; an implementation of [`adapter::Adapter`] reads and
//! writes them.
//!
//! The request path uses `hyper` on both sides. `actix-web` does not tell a pending handler that its client has
//! disconnected, so abandoned work could not be cancelled, and `awc` returns truncated responses as complete ones.

pub mod accounts;
pub mod adapter;
pub mod body;
pub mod clients;
pub mod config;
pub mod connection_end;
pub mod control;
pub mod daemon;
pub mod eventlog;
pub mod forward;
pub mod ingress;
pub mod membership;
pub mod memory;
mod messages;
pub mod metrics;
pub mod notices;
pub mod own_entry;
pub mod peers;
pub mod pool;
pub mod probe;
pub mod quota;
pub mod registration;
mod send;
pub mod shared;
pub mod store_entries;
pub mod store_outage;
pub mod store_relay;
pub mod store_view;
pub mod store_watcher;
pub mod upload;

pub use config::Config;
pub use daemon::run;
