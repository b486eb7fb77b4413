//! Messages between daemons that travel as frames over TCP.

use medlarstair_state::config::{Entry, KeyRevision};
use medlarstair_state::id::{Customer, Fingerprint, Rank, Service};
use medlarstair_state::node::{Idempotency, Refusal};
use medlarstair_state::operation::{HandoverTable, RecordedAnswer};
use medlarstair_state::quarantine::Evidence;
use serde::{Deserialize, Serialize};

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedHeader {
    /// Its name.
    pub name: Box<str>,
    /// Its value.
    pub value: Vec<u8>,
}

/// A request that its owner or arbiter is to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The customer.
    pub customer: Customer,
    /// The service.
    pub service: Service,
    /// The rank.
    pub rank: Rank,
    /// Remaining time in milliseconds.
    pub deadline_ms: u32,
    /// Whether and how it may be sent again.
    pub idempotency: Idempotency,
    /// Whether the caller says that it has sent the request before.
    pub resent: bool,
    /// Hash of its content.
    pub fingerprint: Fingerprint,
    /// Crash evidence against the request.
    pub evidence: Option<Evidence>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query at the backend server.
    pub path: Box<str>,
    /// End-to-end headers.
    pub headers: Vec<ForwardedHeader>,
    /// Body.
    pub body: Vec<u8>,
}

/// Answer to a forwarded request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ForwardedResponse {
    /// The backend server's answer.
    Backend {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<ForwardedHeader>,
        /// Body.
        body: Vec<u8>,
    },
    /// An answer recorded earlier.
    Recorded(RecordedAnswer),
    /// No answer of a backend server.
    Refused(Refusal),
}

/// A request over a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StreamRequest {
    /// Asks for the configuration entries that are newer than these.
    ConfigFetch(Vec<KeyRevision>),
    /// Asks the owner of an operation, or the arbiter of a suspected request, to run it.
    Forward(Box<ForwardedRequest>),
    /// Hands an operation table over.
    Handover(HandoverTable),
}

/// Answer over a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StreamResponse {
    /// Configuration entries.
    ConfigEntries(Vec<Entry>),
    /// Answer to a forwarded request.
    Forwarded(ForwardedResponse),
    /// The table was taken over.
    HandoverAck,
    /// The request cannot be carried out.
    Refused,
}
