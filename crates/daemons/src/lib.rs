//! The logic of the command line of medlarstair, in a library so that tests reach it.

pub mod ctl;
pub mod load;
