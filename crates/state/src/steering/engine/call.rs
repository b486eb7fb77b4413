//! Requests, the decisions about them and the outcomes of their sends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;

use crate::id::{Backend, Service};
use crate::steering::affinity::ObjectId;
use crate::steering::plan::{Priority, Route};
use crate::steering::poison::Fingerprint;
use crate::time::Timestamp;

/// A proxied request that is being handled.
#[derive(Debug, Clone)]
pub struct Call {
    /// Route of the request.
    pub route: Rc<Route>,
    /// The service selected by the weights of the route.
    pub service: Service,
    /// The object for which the request has affinity.
    pub object: ObjectId,
    /// Fingerprint by which further copies of the request are recognized.
    pub fingerprint: Fingerprint,
    /// Time of arrival at this daemon.
    pub arrived_at: Timestamp,
    /// Deadline of the response, by the timeout of the client or of the route, whichever is shorter.
    pub deadline: Timestamp,
    /// Whether the client is retrying after a refusal. Estimated from its timeout.
    pub previously_refused: bool,
    /// Time between the first attempt of the client and the arrival of this one. Estimated from its timeout.
    pub elapsed_before: Duration,
    /// Backend servers to which the request has been sent.
    pub tried_backends: Vec<Backend>,
}

/// The backend server selected for a send, with the estimates at the time of the selection.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectedBackend {
    /// Identity of the server.
    pub backend: Backend,
    /// Address of the server.
    pub address: SocketAddr,
    /// Expected time until the response.
    pub expected_latency: Duration,
    /// Whether the server was assumed to be warm for the object.
    pub warm: bool,
    /// Estimated number of requests at the server, without this one.
    pub occupancy: f64,
}

/// Reason for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// No configuration has been received.
    #[display("no-plan")]
    NoPlan,
    /// No server of the service can be used.
    #[display("no-server")]
    NoServer,
    /// The expected response would miss the deadline or the latency objective.
    #[display("overload")]
    Overload,
    /// The retry budget of the service is exhausted.
    #[display("retry-budget")]
    RetryBudget,
    /// The request was sent to the maximum number of servers of its route.
    #[display("attempts")]
    Attempts,
    /// The request crashes the servers that run it.
    #[display("poison")]
    Poison,
    /// All servers of the service that could be used have asked for a pause.
    #[display("paused")]
    Paused,
    /// The API key of the request was removed while the request was handled.
    #[display("revoked")]
    Revoked,
    /// The API key of the request was given to another account while the request was handled.
    #[display("key-moved")]
    KeyMoved,
    /// The account and the route have no home region in common.
    #[display("no-region")]
    NoRegion,
    /// The quota of the account is used up.
    #[display("quota")]
    Quota,
    /// The daemon is stopping and could not complete the request.
    #[display("stopping")]
    Stopping,
}

/// A refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// `Retry-After` delay for the client.
    pub retry_after: Duration,
}

/// Position in the queue: by priority, then by arrival in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueTicket {
    pub(super) priority: Priority,
    pub(super) number: u64,
}

/// Decision about a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The request is sent to this server.
    Send(SelectedBackend),
    /// The request is queued. [`Steering::poll_queue`](super::Steering::poll_queue) returns the final decision.
    Wait(QueueTicket),
    /// The request is refused.
    Refuse(Refusal),
}

/// Outcome of a send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SendOutcome {
    /// The server responded.
    Answered {
        /// Whether the response is not a server error.
        ok: bool,
        /// Latency of the response.
        took: Duration,
    },
    /// The server refused the request without running it.
    Shed,
    /// The server refused the request without running it, and asked for a pause.
    Paused,
    /// Another server responded at the address.
    Misdirected,
    /// No connection could be opened.
    NotConnected,
    /// The connection was lost before a response.
    ConnectionLost,
    /// The response was truncated, malformed or belonged to another request.
    InvalidResponse,
    /// No response arrived in time.
    TimedOut,
    /// The client disconnected.
    Cancelled,
}
