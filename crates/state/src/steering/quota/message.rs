//! Messages between daemons about quotas.
//!
//! Messages may be lost, duplicated and delivered out of order. Each report states all that the coordinator needs to know, and
//! each grant answers one report, so a lost one is repaired by the next. Messages with a smaller sequence number than an
//! earlier one of their sender are ignored.

use serde::{Deserialize, Serialize};

use crate::steering::quota::{AccountKey, DaemonKey, Share};

/// Maximum number of accounts in a message, so that it fits into a datagram of 1,200 bytes: at most 25 bytes for each, and
/// 45 bytes in addition.
pub const MAX_ACCOUNTS_PER_MESSAGE: usize = 45;

/// Number of a message, increasing for each sender also over its restarts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Sequence(pub u64);

/// Demand for one account at a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The account.
    pub account: AccountKey,
    /// Requests that arrived, per second.
    pub per_second: f32,
    /// Grant in effect. It confirms that earlier ones are no longer used. Zero if there is none.
    pub held: Sequence,
}

/// Report of a daemon to the coordinator of some accounts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The reporting daemon.
    pub from: DaemonKey,
    /// Number of this report.
    pub sequence: Sequence,
    /// Accounts for which the daemon has a demand or a lease.
    pub demands: Vec<Demand>,
}

/// Lease of a share of one quota.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LeasedShare {
    /// The account.
    pub account: AccountKey,
    /// The share, in addition to the floor. It replaces that of earlier grants.
    pub share: Share,
}

/// Answer of a coordinator to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The coordinator.
    pub from: DaemonKey,
    /// Number of this grant.
    pub sequence: Sequence,
    /// The report that this grant answers.
    pub report: Sequence,
    /// Duration of the leases in milliseconds, from the time at which the report was sent.
    pub lease_ms: u32,
    /// Leased shares.
    pub shares: Vec<LeasedShare>,
}

/// Content of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Report to a coordinator.
    Report(Report),
    /// Grant of a coordinator.
    Grant(Grant),
}

impl Datagram {
    /// The daemon that sent the message, as the message says.
    pub fn sender(&self) -> DaemonKey {
        match self {
            Self::Report(report) => report.from,
            Self::Grant(grant) => grant.from,
        }
    }
}
