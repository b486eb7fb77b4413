//! What the decision logic asks for.

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

/// What is known about a request that has no answer of a backend server.
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
    /// The service has no backend servers.
    NoService,
    /// The contract's rate is used up.
    RateLimit,
    /// The request could not start in time.
    Overloaded,
    /// The deadline passed before the request started.
    DeadlineBeforeStart,
    /// The deadline passed while the request ran.
    DeadlineWhileRunning,
    /// A request that may not be repeated needs a token or a key.
    TokenRequired,
    /// The token was used for another request.
    TokenConflict,
    /// The key-value service does not answer, so the key cannot be claimed.
    ClaimUnavailable,
    /// The budget of calls to the key-value service is used up.
    ClaimBudget,
    /// The operation table is full.
    OperationsFull,
    /// The daemon that owns the operation cannot be reached.
    OwnerUnreachable,
    /// The daemon that owned the operation has restarted.
    OwnerRestarted,
    /// The token is older than the operation table keeps entries.
    TokenExpired,
    /// The same operation has run with an unknown outcome.
    EarlierAttemptUnknown,
    /// The backend server broke the connection.
    ConnectionBroken,
    /// No backend server could be reached.
    NotConnected,
    /// The backend servers refused the request.
    Shed,
    /// The request has crashed backend servers.
    Quarantined,
    /// The request is suspected of crashes, and its arbiter cannot be reached.
    ArbiterUnreachable,
    /// This daemon is stopping.
    Stopping,
}

/// An answer that is not the backend server's own.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// What is known.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When to try again.
    pub retry_after: Option<Duration>,
}

/// An attempt to start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The backend server.
    pub backend: Backend,
    /// Its address.
    pub address: SocketAddr,
    /// Time after which the attempt must be cancelled.
    pub budget: Duration,
}

/// One output of the decision logic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Start an attempt.
    Dispatch(Dispatch),
    /// Pass the backend server's answer on to the caller.
    Deliver {
        /// The request.
        request: RequestId,
    },
    /// Answer with a refusal.
    Refuse {
        /// The request.
        request: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Answer with a recorded answer.
    Replay {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: RecordedAnswer,
    },
    /// Send the request to another daemon and pass its answer on.
    Forward {
        /// The request.
        request: RequestId,
        /// The daemon.
        to: NodeId,
        /// Time after which no answer is awaited.
        budget: Duration,
        /// Crash evidence to send along, since the daemon may have missed it.
        evidence: Option<Evidence>,
    },
    /// Claim the caller's key in the key-value service.
    Claim {
        /// The request.
        request: RequestId,
        /// The customer.
        customer: Customer,
        /// The key.
        key: CallerKey,
        /// The value to claim it with.
        issuer: Issuer,
    },
    /// Send a datagram.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// Fetch the configuration entries that a daemon holds and this one does not.
    FetchConfig {
        /// The daemon.
        from: NodeId,
    },
    /// Hand the operation table over.
    Handover {
        /// The successor.
        to: NodeId,
        /// The table in parts. The handover is acknowledged when every part is.
        parts: Vec<HandoverTable>,
    },
    /// Write a changed fleet to the key-value service if it still has the expected revision.
    ProposeFleet {
        /// The fleet.
        fleet: Fleet,
        /// The expected revision.
        expect: Revision,
    },
    /// Acknowledge the part of an operation table that was just received.
    AcceptHandover,
    /// Start or stop watching the key-value service.
    Watch(bool),
    /// Record a numbered event.
    Notice(Notice),
    /// All work is done; end the process.
    Exit,
}
