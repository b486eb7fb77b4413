//! Why a load run cannot be carried out.

use std::io;
use std::net::IpAddr;

use derive_more::{Display, Error, From};

/// Why a load run cannot be carried out.
#[derive(Debug, Display, Error, From)]
pub enum LoadError {
    /// The tool sends to the local machine only.
    #[display("{_0} is outside 127.0.0.0/8")]
    #[from(skip)]
    NotLoopback(#[error(not(source))] IpAddr),
    /// The trace or the deployment is not usable.
    #[display("{_0}")]
    #[from(skip)]
    Invalid(#[error(not(source))] Box<str>),
    /// A file or thread could not be used.
    #[display("{_0}")]
    Io(io::Error),
    /// A file does not hold the expected JSON.
    #[display("{_0}")]
    Json(serde_json::Error),
}

impl LoadError {
    /// An unusable trace, deployment or option.
    pub fn invalid(message: impl Into<Box<str>>) -> Self {
        Self::Invalid(message.into())
    }
}
