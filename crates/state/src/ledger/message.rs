//! Messages about loans. The coordination layer sends them as they are.
//!
//! The receiver must have authenticated the sender: a request and a return come from the daemon of `id.borrower`, a
//! grant and an audit from `lender`, an audit answer from `borrower`.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::key::{LimitKey, Units};
use crate::id::{Incarnation, NodeId, Service};

/// Names one loan. A borrower never uses a sequence number twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{borrower}#{sequence}")]
pub struct LoanId {
    /// The boot of the daemon that asked.
    pub borrower: Incarnation,
    /// Counts the requests of that boot.
    pub sequence: u64,
}

/// Units of one limit in a loan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanItem {
    /// The limit.
    pub key: LimitKey,
    /// How many units of it.
    pub units: Units,
}

/// What a borrower asks for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LoanTarget {
    /// Units of one limit.
    Limit(LimitKey),
    /// Slots of any backend servers of the service; the lender picks them.
    Service(Service),
}

/// Asks a lender for a loan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Names the loan if it is granted.
    pub id: LoanId,
    /// Who is asked.
    pub lender: NodeId,
    /// What is asked for.
    pub want: LoanTarget,
    /// How many units.
    pub units: Units,
    /// The loan that a grant replaces. Absent in a first request.
    pub renews: Option<LoanId>,
}

/// Answers a request. Without items, nothing is lent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// The loan that was asked for.
    pub id: LoanId,
    /// The boot of the lender that reserves the units.
    pub lender: Incarnation,
    /// What is lent.
    pub items: Vec<LoanItem>,
}

/// Tells the lender that the borrower does not use a loan any more and will not use it again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// The loan.
    pub id: LoanId,
    /// Whether the borrower had accepted the loan; then every loan that it replaced is returned too. Otherwise the
    /// request is withdrawn, and a loan that it would have replaced stays with the borrower.
    pub accepted: bool,
}

/// Sent by a daemon that has started: asks which loans of its earlier boots the receiver holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanAudit {
    /// The daemon that has started.
    pub lender: Incarnation,
}

/// A loan in the answer to an audit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditedLoan {
    /// The loan, under its latest id.
    pub id: LoanId,
    /// For each limit, the units lent or the units in use, whichever is more.
    pub items: Vec<LoanItem>,
}

/// Answers an audit. The borrower refuses grants of earlier boots of the lender from then on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanAuditAnswer {
    /// Who answers.
    pub borrower: NodeId,
    /// The boot that asked.
    pub lender: Incarnation,
    /// Loans of earlier boots of the lender that the borrower holds.
    pub loans: Vec<AuditedLoan>,
}
