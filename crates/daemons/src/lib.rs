//! The operator command line and the load generator, in a library so that tests can use them.

pub mod ctl;
pub mod load;
