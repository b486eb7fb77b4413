//! Decision logic of medlarstair.
//!
//! Nothing in this crate performs I/O, reads a clock or starts a thread. Every decision is a function of the
//! events and timestamps that are passed in, so that the daemon, the replay command and the tests run the same
//! code and get the same result.

#![warn(missing_docs)]

pub mod admission;
pub mod blocks;
pub mod bucket;
pub mod config;
pub mod id;
pub mod ledger;
pub mod membership;
pub mod model;
pub mod node;
pub mod operation;
pub mod quarantine;
pub mod ranked;
pub mod routing;
pub mod status;
pub mod steering;
pub mod time;
