//! Messages between daemons that travel as datagrams.

use serde::{Deserialize, Serialize};

use crate::config::Entry;
use crate::id::{Incarnation, NodeId};
use crate::ledger::{LoanAudit, LoanAuditAnswer, LoanGrant, LoanRequest, LoanReturn};
use crate::membership::Gossip;
use crate::quarantine::Evidence;

/// A datagram to another daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Liveness and configuration digests.
    Heartbeat(Gossip),
    /// Changed configuration entries.
    ConfigPush(Vec<Entry>),
    /// A daemon asks for a loan.
    LoanRequest(LoanRequest),
    /// A daemon grants a loan.
    LoanGrant(LoanGrant),
    /// A daemon returns a loan.
    LoanReturn(LoanReturn),
    /// A daemon that has just started asks what is held of its shares.
    LoanAudit(LoanAudit),
    /// What is held of the shares of a daemon.
    LoanAuditAnswer(LoanAuditAnswer),
    /// Crash evidence.
    Evidence(Evidence),
    /// A daemon has stopped; another answers for its operations.
    Leaving {
        /// Whose operations: the sender's own, and those that it had taken over.
        owners: Vec<Incarnation>,
        /// Who answers for them.
        successor: NodeId,
    },
}
