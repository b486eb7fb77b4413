//! What the decision logic is told.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::Entry;
use crate::id::{Backend, Customer, Fingerprint, Incarnation, NodeId, Rank, RequestId, Service};
use crate::model::ConfigValue;
use crate::node::message::PeerMessage;
use crate::operation::{CallerKey, HandoverTable, Issuer, RecordedAnswer, Token};
use crate::quarantine::Evidence;
use crate::routing::{AttemptEnd, LoadReport};

/// Whether and how a request may be sent again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Idempotency {
    /// The request may run more than once.
    Repeatable,
    /// It may run once; the token names its owner.
    Token(Token),
    /// It may run once; the caller brings only its own key.
    Key(CallerKey),
    /// It may run once and has neither token nor key.
    Missing,
}

/// A request as it arrives at this daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IncomingRequest {
    /// Number given by this daemon.
    pub id: RequestId,
    /// The customer.
    pub customer: Customer,
    /// The service.
    pub service: Service,
    /// The rank.
    pub rank: Rank,
    /// Remaining time.
    pub deadline: Duration,
    /// Whether and how it may be sent again.
    pub idempotency: Idempotency,
    /// Hash of its content.
    pub fingerprint: Fingerprint,
    /// Size of the body in bytes.
    pub body_bytes: u32,
    /// Whether the caller says that it has sent the request before. Absent in older traces.
    #[serde(default)]
    pub resent: bool,
    /// Whether another daemon sent it here as the owner or arbiter.
    pub forwarded: bool,
    /// Crash evidence that came with a forwarded request. Absent in older traces.
    #[serde(default)]
    pub evidence: Option<Evidence>,
}

/// How an attempt to forward a request to its owner ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ForwardResult {
    /// The owner answered, whatever its answer says.
    Answered,
    /// No answer came; the owner may or may not have run the request.
    NoAnswer,
}

/// How a claim of a caller's key in the key-value service ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The key is claimed by this issuer, now or since earlier.
    Owned(Issuer),
    /// The service could not be asked or did not answer in time.
    Unavailable,
}

/// One configuration entry with its parsed value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ParsedEntry {
    /// The entry.
    pub entry: Entry,
    /// Its value; `None` if it was deleted or could not be parsed.
    pub value: Option<ConfigValue>,
}

/// Where configuration entries come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigSource {
    /// The key-value service.
    Store,
    /// Another daemon.
    Peer,
}

/// The platform's list of VMs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformVms {
    /// Daemons that are listed.
    pub nodes: BTreeSet<NodeId>,
    /// Backend servers that are listed as leaving.
    pub leaving: BTreeSet<Backend>,
}

/// One input of the decision logic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A request arrived.
    Request(IncomingRequest),
    /// An attempt at a backend server ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// How it ended.
        end: AttemptEnd,
        /// Whether the backend server had begun to answer.
        head_received: bool,
        /// Size of the answer in bytes.
        response_bytes: u32,
        /// The whole answer, for requests that may not be repeated.
        answer: Option<RecordedAnswer>,
    },
    /// A forwarded request ended.
    ForwardEnded {
        /// The request.
        request: RequestId,
        /// How.
        end: ForwardResult,
    },
    /// A claim ended.
    ClaimEnded {
        /// The request.
        request: RequestId,
        /// How.
        end: ClaimResult,
    },
    /// A message of another daemon arrived.
    Message {
        /// The sender.
        from: Incarnation,
        /// The message.
        message: PeerMessage,
    },
    /// Configuration entries arrived.
    Config {
        /// The entries.
        entries: Vec<ParsedEntry>,
        /// Where from.
        source: ConfigSource,
    },
    /// A backend server reported its load.
    Report {
        /// The backend server.
        backend: Backend,
        /// The report.
        report: LoadReport,
    },
    /// The platform listed its VMs.
    Vms(PlatformVms),
    /// A part of the operation table of a daemon that stops arrived.
    HandoverReceived {
        /// The part.
        table: HandoverTable,
    },
    /// A successor acknowledged the whole operation table.
    HandoverAcknowledged {
        /// The successor.
        successor: NodeId,
    },
    /// Time has passed. Sent every [`TICK_PERIOD`](crate::node::TICK_PERIOD).
    Tick,
    /// An operator asked for a planned stop.
    Stop,
}
