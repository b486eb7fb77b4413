//! Operations that may not be repeated.
