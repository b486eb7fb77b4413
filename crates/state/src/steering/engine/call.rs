//! Requests, decisions on them and how their sends end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;

use crate::id::{Backend, Service};
use crate::steering::affinity::ObjectId;
use crate::steering::plan::{Priority, Route};
use crate::steering::poison::Fingerprint;
use crate::time::Timestamp;

/// A request to be placed.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its route.
    pub route: Rc<Route>,
    /// The service that the route's weights chose.
    pub service: Service,
    /// The object that it concerns.
    pub object: ObjectId,
    /// What makes it the same as another.
    pub fingerprint: Fingerprint,
    /// When it arrived.
    pub arrived_at: Timestamp,
    /// When its caller or its route gives up.
    pub deadline: Timestamp,
    /// Whether the caller has been refused before.
    pub previously_refused: bool,
    /// Servers to which it was sent.
    pub tried_backends: Vec<Backend>,
}

/// A server that gets a request.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectedBackend {
    /// The server.
    pub backend: Backend,
    /// Its address.
    pub address: SocketAddr,
    /// Time until the answer, as expected.
    pub expected_latency: Duration,
    /// Whether the server was taken to be warm for the object.
    pub warm: bool,
    /// Believed load at the server, this request not included.
    pub occupancy: f64,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// No configuration is known.
    #[display("no-plan")]
    NoPlan,
    /// No server of the service is usable.
    #[display("no-server")]
    NoServer,
    /// It would be answered too late.
    #[display("overload")]
    Overload,
    /// The bound on repeated sends is reached.
    #[display("retry-budget")]
    RetryBudget,
    /// It was sent as often as its route allows.
    #[display("attempts")]
    Attempts,
    /// It crashes the servers that run it.
    #[display("poison")]
    Poison,
}

/// A refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// Place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueTicket {
    pub(super) priority: Priority,
    pub(super) number: u64,
}

/// What happens with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// It is sent.
    Send(SelectedBackend),
    /// It waits; [`Steering::poll_queue`](super::Steering::poll_queue) tells when it is sent.
    Wait(QueueTicket),
    /// It is refused and has not run.
    Refuse(Refusal),
}

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SendOutcome {
    /// The server answered.
    Answered {
        /// Whether it succeeded.
        ok: bool,
        /// Time from the send to the answer.
        took: Duration,
    },
    /// The server did not run it.
    Shed,
    /// Another server has the address.
    Misdirected,
    /// No connection could be opened.
    NotConnected,
    /// The connection broke without an answer.
    ConnectionLost,
    /// The answer was damaged or belonged to another request.
    InvalidResponse,
    /// No answer came in time.
    TimedOut,
    /// The caller left.
    Cancelled,
}
