//! Events: the inputs of the decision logic.

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
    /// The request may run at most once; the token names the daemon that owns it.
    Token(Token),
    /// The request may run at most once; its owner is the daemon that claims the caller's key.
    Key(CallerKey),
    /// The request may run at most once, but has neither token nor key. It is refused.
    Missing,
}

/// A request as it arrives at this daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IncomingRequest {
    /// Number assigned by this daemon.
    pub id: RequestId,
    /// Customer under whose contract the request runs.
    pub customer: Customer,
    /// Service that is called.
    pub service: Service,
    /// Priority of the request.
    pub rank: Rank,
    /// Remaining time at the arrival at this daemon.
    pub deadline: Duration,
    /// Whether and how it may be sent again.
    pub idempotency: Idempotency,
    /// Hash of the content, by which crash evidence identifies the request.
    pub fingerprint: Fingerprint,
    /// Size of the body in bytes.
    pub body_bytes: u32,
    /// Whether the caller states that it has sent the request before. Absent in older traces.
    #[serde(default)]
    pub resent: bool,
    /// Whether another daemon forwarded it here, as the owner or arbiter.
    pub forwarded: bool,
    /// Crash evidence that came with a forwarded request. Absent in older traces.
    #[serde(default)]
    pub evidence: Option<Evidence>,
}

/// Result of forwarding a request to its owner or arbiter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ForwardResult {
    /// The daemon answered, possibly with a refusal.
    Answered,
    /// There was no answer; the request may or may not have run.
    NoAnswer,
}

/// Result of claiming a caller's key in the key-value service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The key is claimed by this issuer, by this claim or an earlier one.
    Owned(Issuer),
    /// The key-value service could not be reached or did not answer in time.
    Unavailable,
}

/// One configuration entry with its parsed value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ParsedEntry {
    /// The entry as stored.
    pub entry: Entry,
    /// The parsed value; `None` if the entry is a deletion or its value could not be parsed.
    pub value: Option<ConfigValue>,
}

/// Source of configuration entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigSource {
    /// The key-value service. Entries from it are pushed to other daemons.
    Store,
    /// Another daemon.
    Peer,
}

/// The platform's list of VMs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformVms {
    /// Daemons whose VMs are in the list.
    pub nodes: BTreeSet<NodeId>,
    /// Backend servers whose VMs are marked as leaving.
    pub leaving: BTreeSet<Backend>,
}

/// One input of the decision logic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A request arrived.
    Request(IncomingRequest),
    /// An attempt at a backend server ended.
    AttemptEnded {
        /// The request of the attempt.
        request: RequestId,
        /// How the attempt ended.
        end: AttemptEnd,
        /// Whether the head of the response was received.
        head_received: bool,
        /// Size of the response in bytes.
        response_bytes: u32,
        /// The whole response, for requests that may not be repeated.
        answer: Option<RecordedAnswer>,
    },
    /// A forwarded request was answered, or its answer is no longer awaited.
    ForwardEnded {
        /// The request that was forwarded.
        request: RequestId,
        /// Whether there was an answer.
        end: ForwardResult,
    },
    /// The claim of a caller's key was completed or has failed.
    ClaimEnded {
        /// The request that waits for the claim.
        request: RequestId,
        /// Who owns the key, if known.
        end: ClaimResult,
    },
    /// A datagram from another daemon arrived.
    Message {
        /// The authenticated sender.
        from: Incarnation,
        /// Content of the datagram.
        message: PeerMessage,
    },
    /// Configuration entries arrived.
    Config {
        /// The entries with their parsed values.
        entries: Vec<ParsedEntry>,
        /// Where the entries come from.
        source: ConfigSource,
    },
    /// A backend server reported its load.
    Report {
        /// The backend server that sent the report.
        backend: Backend,
        /// Content of the report.
        report: LoadReport,
    },
    /// A new VM list of the platform arrived.
    Vms(PlatformVms),
    /// A part of the operation table of a stopping daemon arrived.
    HandoverReceived {
        /// The part, which also names the owner of the table.
        table: HandoverTable,
    },
    /// A successor acknowledged every part of the operation table.
    HandoverAcknowledged {
        /// The daemon that has taken over the operations.
        successor: NodeId,
    },
    /// Lets time-dependent work proceed. Sent every [`TICK_PERIOD`](crate::node::TICK_PERIOD).
    Tick,
    /// A planned stop was requested.
    Stop,
}
