//! Effects: the outputs of the decision logic.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::{Backend, Customer, NodeId, RequestId, Revision};
use crate::model::Fleet;
use crate::node::message::PeerMessage;
use crate::node::notice::Notice;
use crate::operation::{CallerKey, HandoverTable, Issuer, RecordedAnswer};
use crate::quarantine::Evidence;

/// Whether a refused request may have run on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Outcome {
    /// It was not run.
    #[display("not-run")]
    NotRun,
    /// It may or may not have run.
    #[display("unknown")]
    Unknown,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is not valid.
    Malformed,
    /// The customer has no contract for the service.
    NoContract,
    /// The service is not configured.
    NoService,
    /// The contract's rate is exhausted.
    RateLimit,
    /// The queue was full, or the estimated wait exceeded the wait budget or the deadline of the request.
    Overloaded,
    /// The deadline passed before the request started.
    DeadlineBeforeStart,
    /// The deadline passed while the request, or the one that it had joined, was running.
    DeadlineWhileRunning,
    /// A request that may not be repeated has neither a token nor a key.
    TokenRequired,
    /// The token or key has already been used for a different request.
    TokenConflict,
    /// The caller's key cannot be claimed, because the key-value service does not answer.
    ClaimUnavailable,
    /// The rate limit of this daemon on claims in the key-value service is exhausted.
    ClaimBudget,
    /// The operation table is full.
    OperationsFull,
    /// The daemon that owns the operation cannot be reached.
    OwnerUnreachable,
    /// The daemon that owned the operation has restarted.
    OwnerRestarted,
    /// The token is older than the retention of the operation table.
    TokenExpired,
    /// An earlier attempt of the same operation ended with an unknown outcome.
    EarlierAttemptUnknown,
    /// The connection to the backend server broke while the request was running.
    ConnectionBroken,
    /// No backend server could be reached.
    NotConnected,
    /// The backend servers shed the request before running it.
    Shed,
    /// The request has repeatedly crashed backend servers.
    Quarantined,
    /// The request is suspected of crashing backend servers, and the daemon that arbitrates it cannot be reached.
    ArbiterUnreachable,
    /// A planned stop of this daemon is in progress.
    Stopping,
}

/// An answer that the daemon gives in place of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Why the request was refused.
    pub reason: Reason,
    /// `Retry-After` delay for the caller. `None` if no delay is recommended.
    pub retry_after: Option<Duration>,
}

/// An attempt that is to be started on a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request to send.
    pub request: RequestId,
    /// The backend server that runs it.
    pub backend: Backend,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Timeout of the attempt, after which it must be cancelled: the time left until the deadline, or less if a
    /// borrowed slot expires earlier.
    pub budget: Duration,
}

/// One output of the decision logic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Start an attempt.
    Dispatch(Dispatch),
    /// Pass the response of the backend server or of the forwarded request on to the caller.
    Deliver {
        /// The request that is answered.
        request: RequestId,
    },
    /// Answer the caller with a refusal.
    Refuse {
        /// The request that is answered.
        request: RequestId,
        /// Content of the answer.
        refusal: Refusal,
    },
    /// Answer the caller with the recorded answer of an operation.
    Replay {
        /// The request that is answered.
        request: RequestId,
        /// The answer as it was recorded.
        answer: RecordedAnswer,
    },
    /// Forward the request to another daemon, whose answer comes back as an event.
    Forward {
        /// The request to forward.
        request: RequestId,
        /// The daemon that owns the operation or arbitrates the request.
        to: NodeId,
        /// Timeout of the answer: the time left until the deadline of the request.
        budget: Duration,
        /// Crash evidence to send along, since the daemon may have missed it. `None` if nothing is known.
        evidence: Option<Evidence>,
    },
    /// Claim the caller's key in the key-value service.
    Claim {
        /// The request that waits for the claim.
        request: RequestId,
        /// The customer, for whom the key is unique.
        customer: Customer,
        /// The key to claim.
        key: CallerKey,
        /// The value to write if the key is not claimed yet.
        issuer: Issuer,
    },
    /// Send a datagram to another daemon.
    Send {
        /// The receiver.
        to: NodeId,
        /// Content of the datagram.
        message: PeerMessage,
    },
    /// Fetch the configuration entries that are newer at another daemon.
    FetchConfig {
        /// The daemon to fetch from.
        from: NodeId,
    },
    /// Hand over the operation table to a successor.
    Handover {
        /// The successor.
        to: NodeId,
        /// The table in parts. The handover is acknowledged once every part is.
        parts: Vec<HandoverTable>,
    },
    /// Write a changed fleet value to the key-value service if the key still has the expected revision.
    ProposeFleet {
        /// The new fleet value.
        fleet: Fleet,
        /// Revision of the value that it replaces.
        expect: Revision,
    },
    /// Acknowledge the part of an operation table that was received with the current event.
    AcceptHandover,
    /// Start (true) or stop (false) watching the key-value service.
    Watch(bool),
    /// Record a numbered event in the log and the timeline.
    Notice(Notice),
    /// Exit the process, since the planned stop is complete.
    Exit,
}
