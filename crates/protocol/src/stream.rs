//! Requests and responses between daemons, sent as frames over TCP.

use medlarstair_state::config::{Entry, KeyRevision};
use medlarstair_state::id::{Customer, Fingerprint, Rank, Service};
use medlarstair_state::node::{Idempotency, Refusal};
use medlarstair_state::operation::{HandoverTable, RecordedAnswer};
use medlarstair_state::quarantine::Evidence;
use serde::{Deserialize, Serialize};

/// HTTP header of a forwarded request or response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedHeader {
    /// Name in lower case.
    pub name: Box<str>,
    /// Value, not necessarily UTF-8.
    pub value: Vec<u8>,
}

/// Client request that is forwarded to the owner of its operation, or to the arbiter of a suspected request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Customer on whose behalf the request is made.
    pub customer: Customer,
    /// Service that is to run the request.
    pub service: Service,
    /// Scheduling rank, set by the client.
    pub rank: Rank,
    /// Remaining time until the deadline when the request is forwarded, in milliseconds.
    pub deadline_ms: u32,
    /// Whether the request may be repeated, or how repetitions are detected.
    pub idempotency: Idempotency,
    /// Set by the client if it has sent the request before.
    pub resent: bool,
    /// Hash of customer, service, method, path and body.
    pub fingerprint: Fingerprint,
    /// Evidence that the request crashes backend servers; `None` if there is none.
    pub evidence: Option<Evidence>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query for the backend server, starting with a slash.
    pub path: Box<str>,
    /// End-to-end headers of the client's request.
    pub headers: Vec<ForwardedHeader>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Response to a [`ForwardedRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ForwardedResponse {
    /// Response of a backend server.
    Backend {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<ForwardedHeader>,
        /// Complete body.
        body: Vec<u8>,
    },
    /// Recorded response of an earlier run of the operation.
    Recorded(RecordedAnswer),
    /// The request was refused; there is no backend response.
    Refused(Refusal),
}

/// Request of one daemon to another over TCP.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StreamRequest {
    /// Queries the configuration entries that the sender lacks, given a summary of those that it holds.
    ConfigFetch(Vec<KeyRevision>),
    /// Forwards a request to the owner of its operation or to the arbiter of a suspected request.
    Forward(Box<ForwardedRequest>),
    /// Hands over a part of the sender's operation table before it shuts down.
    Handover(HandoverTable),
}

/// Response to a [`StreamRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StreamResponse {
    /// Configuration entries that the other daemon lacks.
    ConfigEntries(Vec<Entry>),
    /// Response to a forwarded request.
    Forwarded(ForwardedResponse),
    /// The operation table was accepted.
    HandoverAck,
    /// The request was refused.
    Refused,
}
