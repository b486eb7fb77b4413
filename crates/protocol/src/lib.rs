//! Protocol messages, their encoding and their authentication.
//!
//! Messages between daemons are sent in an [`envelope`] that contains sender, receiver and sequence number and is
//! authenticated with a shared key. The external API, used by callers, backend servers, operators and the platform,
//! consists of the types of [`border`], encoded as JSON over HTTP. [`convert`] converts and validates configuration
//! values for the decision logic.

pub mod clock;
pub mod convert;
pub mod envelope;
pub mod headers;
pub mod key;
pub mod replay;
pub mod stream;

#[rustfmt::skip]
pub mod border;
