//! The decision logic of one daemon.
