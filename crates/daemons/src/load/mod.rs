//! Open-loop load tool.
//!
//! A [`trace`] lists requests with their intended send times. The main thread ([`pace`]) hands each request to a worker
//! ([`caller`]) at that time, independently of earlier requests. Latency is measured from the intended send time, so a
//! stall of the system appears in the latency of every request that it delays. Meanwhile [`monitor`] samples the load
//! of the backend servers. Afterwards [`audit`] checks the outcomes against their run logs, and [`report`] and [`plot`]
//! produce the results.

pub mod audit;
pub mod caller;
pub mod directory;
pub mod error;
pub mod monitor;
pub mod outcome;
pub mod pace;
pub mod plot;
pub mod policy;
pub mod report;
pub mod run;
pub mod summary;
pub mod table;
pub mod trace;
