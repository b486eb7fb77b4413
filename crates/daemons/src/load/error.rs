//! Errors of the load tool.

use std::io;
use std::net::IpAddr;

use derive_more::{Display, Error, From};

/// Error of the load tool.
#[derive(Debug, Display, Error, From)]
pub enum LoadError {
    /// An address is not on the local machine, and the tool sends to no other.
    #[display("address {_0} is outside 127.0.0.0/8")]
    #[from(skip)]
    NotLoopback(#[error(not(source))] IpAddr),
    /// A trace, deployment or option is invalid, or a plot or thread failed.
    #[display("{_0}")]
    #[from(skip)]
    Invalid(#[error(not(source))] Box<str>),
    /// A file could not be accessed or a thread could not be started.
    #[display("{_0}")]
    Io(io::Error),
    /// A file does not contain the expected JSON.
    #[display("{_0}")]
    Json(serde_json::Error),
}

impl LoadError {
    /// Creates [`LoadError::Invalid`].
    pub fn invalid(message: impl Into<Box<str>>) -> Self {
        Self::Invalid(message.into())
    }
}
