//! Messages between daemons that are sent as datagrams.

use serde::{Deserialize, Serialize};

use crate::config::Entry;
use crate::id::{Incarnation, NodeId};
use crate::ledger::{LoanAudit, LoanAuditAnswer, LoanGrant, LoanRequest, LoanReturn};
use crate::membership::Gossip;
use crate::quarantine::Evidence;

/// A datagram to another daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Gossip about liveness and configuration digests.
    Heartbeat(Gossip),
    /// Changed configuration entries.
    ConfigPush(Vec<Entry>),
    /// Requests a loan from the receiver.
    LoanRequest(LoanRequest),
    /// Answers a loan request, possibly with nothing lent.
    LoanGrant(LoanGrant),
    /// Returns a loan to the receiver.
    LoanReturn(LoanReturn),
    /// Sent by a daemon that has just started, to learn which loans of its shares the receiver still holds.
    LoanAudit(LoanAudit),
    /// Answers an audit with the loans that the sender still holds.
    LoanAuditAnswer(LoanAuditAnswer),
    /// Evidence about a request that may crash backend servers.
    Evidence(Evidence),
    /// Announces that the sender stops and that another daemon has taken over its operations.
    Leaving {
        /// Owners of the operations: the sender, which must come first, and those that it had taken over before.
        owners: Vec<Incarnation>,
        /// The daemon that has taken over the operations.
        successor: NodeId,
    },
}
