//! Sockets, clocks, and clients for HTTP and the key-value service.
//!
//! This layer contains no policy: it reports how an attempt ended, and the decision logic determines what that means
//! for the request.

pub mod backend;
pub mod clock;
pub mod hop;
pub mod http1;
pub mod kv;
pub mod server_stream;
pub mod shared_stream;
pub mod stream;
