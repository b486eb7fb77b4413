//! Modules of the command line of medlarstair, in a library so that tests reach them.

pub mod ctl;
pub mod load;
