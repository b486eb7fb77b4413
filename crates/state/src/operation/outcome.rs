//! Requests for operations and their results.

use serde::{Deserialize, Serialize};

use crate::id::{Customer, Fingerprint, Incarnation, NodeId, RequestId};

/// Recorded answer to an operation, which is replayed to resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header. Empty if omitted.
    pub content_type: Box<str>,
    /// The response body. Empty if omitted.
    pub body: Vec<u8>,
    /// Whether content type and body were omitted because together they exceed
    /// [`max_answer_bytes`](super::OperationConfig::max_answer_bytes).
    pub omitted: bool,
}

impl RecordedAnswer {
    /// Size of content type and body in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.content_type.len() + self.body.len()
    }

    /// Omits content type and body if together they exceed `max_bytes`.
    pub(super) fn bounded(mut self, max_bytes: usize) -> Self {
        if self.bytes() > max_bytes {
            return Self { status: self.status, content_type: "".into(), body: Vec::new(), omitted: true };
        }
        self.body.shrink_to_fit();
        self
    }
}

/// A request to run an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperationRequest {
    /// Id of the request at this daemon.
    pub id: RequestId,
    /// The customer that sent the request.
    pub customer: Customer,
    /// Fingerprint of the request, which distinguishes a resend from a different request with the same token.
    pub fingerprint: Fingerprint,
}

/// How to handle a request for an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome {
    /// Run the operation, then call [`finish`](super::OperationTable::finish).
    Run,
    /// The operation is running. Wait until [`finish`](super::OperationTable::finish) returns this request among those
    /// that joined.
    Join,
    /// The operation has run with this answer.
    Answer(RecordedAnswer),
    /// It is not known whether the operation ran. It must not be run.
    Unknown(UnknownReason),
    /// Another daemon must handle the request.
    NotOwner {
        /// The incarnation that is named as the owner of the operation.
        owner: Incarnation,
        /// The daemon to forward the request to: the owner's successor if one is known, otherwise the owner.
        forward_to: NodeId,
    },
    /// The operation is not run for this request.
    Refused(OperationRefusal),
}

/// Why the outcome of an operation is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownReason {
    /// The operation is past its retention.
    Expired,
    /// The attempt to run it ended without a complete response.
    AttemptLost,
    /// The owner of the operation was an earlier boot of this daemon, or had handed over to one, and the table is lost.
    OwnerEnded,
    /// This daemon has exported its table and does not know yet whether the successor has imported it.
    HandedOver,
}

/// Why an operation is not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperationRefusal {
    /// The table is full. Entries within their retention are never dropped, since their operations could then run
    /// again.
    TableFull,
    /// The token or key was used for a request with another fingerprint.
    NameInUse,
    /// This daemon is stopping.
    Leaving,
    /// The issue minute of the token is in the future.
    NotIssued,
}

/// Outcome of an attempt to run an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The operation ran with this complete answer.
    Answered(RecordedAnswer),
    /// The operation was certainly not run. A resend may run it.
    NotRun,
    /// The operation may have run.
    Unknown,
}
