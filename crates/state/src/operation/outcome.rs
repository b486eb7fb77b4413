//! Requests for operations and what becomes of them.

use serde::{Deserialize, Serialize};

use crate::id::{Customer, Fingerprint, Incarnation, NodeId, RequestId};

/// Answer to an operation, kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: Box<str>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether content type and body were too large to be kept. They are empty then.
    pub omitted: bool,
}

impl RecordedAnswer {
    pub(super) fn bytes(&self) -> usize {
        self.content_type.len() + self.body.len()
    }

    pub(super) fn bounded(mut self, max_bytes: usize) -> Self {
        if self.bytes() > max_bytes {
            return Self { status: self.status, content_type: "".into(), body: Vec::new(), omitted: true };
        }
        self.body.shrink_to_fit();
        self
    }
}

/// The request that asks for an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperationRequest {
    /// Its number at this daemon.
    pub id: RequestId,
    /// The customer that sent it.
    pub customer: Customer,
    /// Its fingerprint, which tells a resend from another request with the same token.
    pub fingerprint: Fingerprint,
}

/// What to do with a request for an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome {
    /// Run it, then call [`finish`](super::OperationTable::finish).
    Run,
    /// It is running; [`finish`](super::OperationTable::finish) names this request among those that joined.
    Join,
    /// It has run; this is its answer.
    Answer(RecordedAnswer),
    /// Whether it ran is not known. It must not be run.
    Unknown(UnknownReason),
    /// Another daemon decides.
    NotOwner {
        /// The incarnation that owns or owned it.
        owner: Incarnation,
        /// Where to forward it: the successor if one is known, otherwise the owner.
        forward_to: NodeId,
    },
    /// This request was not run.
    Refused(OperationRefusal),
}

/// Why the outcome of an operation is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownReason {
    /// It is past its retention.
    Expired,
    /// Its attempt ended without a complete response.
    AttemptLost,
    /// Its owner has ended and its table is lost.
    OwnerEnded,
    /// This daemon has handed over its table and does not know yet whether the successor took it.
    HandedOver,
}

/// Why an operation was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperationRefusal {
    /// The table is full. Entries within their retention are never dropped, since they could run again then.
    TableFull,
    /// The token or key names another request.
    NameInUse,
    /// This daemon is stopping.
    Leaving,
    /// The token's minute has not come yet.
    NotIssued,
}

/// How the attempt to run an operation ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It ran and this is the complete answer.
    Answered(RecordedAnswer),
    /// It was certainly not run. A resend may run.
    NotRun,
    /// It may have run.
    Unknown,
}
