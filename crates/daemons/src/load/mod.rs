//! Open-loop load tool.
//!
//! A [`trace`] lists requests with the times when they are to be sent. The [`pace`] thread hands each one to a worker
//! of [`caller`] at its time, whatever happened to earlier requests, and latency counts from the intended time, so a
//! stall of the system shows in the latency of every request that it delays. [`monitor`] watches the backend servers
//! meanwhile, [`audit`] compares answers with their run logs, and [`report`] and [`plot`] write the results.

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
