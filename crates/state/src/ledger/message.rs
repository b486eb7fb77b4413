//! Messages about loans, which daemons send to each other unchanged.
//!
//! The ledger does not check the sender. Its caller must have verified that a request and a return come from the daemon
//! of `id.borrower`, a grant and an audit from `lender`, and an audit answer from `borrower`.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::key::{LimitKey, Units};
use crate::id::{Incarnation, NodeId, Service};

/// Identifies a loan and the request for it. A boot of a borrower uses each sequence number once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{borrower}#{sequence}")]
pub struct LoanId {
    /// The incarnation that sent the request.
    pub borrower: Incarnation,
    /// Number of the request within that incarnation, from 0.
    pub sequence: u64,
}

/// Units of one limit that are part of a loan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanItem {
    /// The limit to which the units belong.
    pub key: LimitKey,
    /// Number of units of the limit that are lent.
    pub units: Units,
}

/// The limits of which a borrower requests units.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LoanTarget {
    /// Units of one limit.
    Limit(LimitKey),
    /// The slots of any backend servers of the service; the lender selects the servers.
    Service(Service),
}

/// Request for a loan, sent by the borrower to the lender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Id of the request and, once granted, of the loan.
    pub id: LoanId,
    /// The daemon that receives the request.
    pub lender: NodeId,
    /// The limit or service of which units are requested.
    pub want: LoanTarget,
    /// Maximum number of units that the borrower can use.
    pub units: Units,
    /// The loan that the grant replaces. `None` unless the request is a renewal.
    pub renews: Option<LoanId>,
}

/// Reply of the lender to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// Id of the request.
    pub id: LoanId,
    /// The incarnation that has reserved the units.
    pub lender: Incarnation,
    /// The units lent. Empty if the request is refused.
    pub items: Vec<LoanItem>,
}

/// Notice from the borrower to the lender that it does not use a loan and will not use it again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// Id of the returned loan or the withdrawn request.
    pub id: LoanId,
    /// Whether the borrower had accepted the loan. If so, every loan that it replaced is returned too. Otherwise the
    /// request is withdrawn, and the borrower keeps the loan that it would have replaced.
    pub accepted: bool,
}

/// Query of a daemon that has started: which loans from its earlier boots does the receiver hold?
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanAudit {
    /// The new incarnation of the lender.
    pub lender: Incarnation,
}

/// A loan that is listed in the answer to an audit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditedLoan {
    /// Id of the loan after its last renewal.
    pub id: LoanId,
    /// For each limit, the larger of the units lent and the units in use.
    pub items: Vec<LoanItem>,
}

/// Answer to an audit. From then on the borrower refuses grants from earlier boots of the lender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanAuditAnswer {
    /// The daemon that answers.
    pub borrower: NodeId,
    /// The incarnation that sent the audit.
    pub lender: Incarnation,
    /// Loans from earlier boots of the lender that the borrower holds.
    pub loans: Vec<AuditedLoan>,
}
