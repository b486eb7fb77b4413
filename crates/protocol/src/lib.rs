//! Messages, codecs and authentication.
//!
//! Between daemons, every message travels in an [`envelope`] that names its sender, its receiver and its place in the
//! sender's sequence, and is authenticated with a shared key. Towards callers, backend servers, operators and the
//! platform the types of [`border`] travel as JSON over HTTP; [`convert`] turns them into the types of the
//! decision logic and back, with every fault named.

pub mod clock;
pub mod convert;
pub mod envelope;
pub mod headers;
pub mod key;
pub mod replay;
pub mod stream;

#[rustfmt::skip]
pub mod border;
