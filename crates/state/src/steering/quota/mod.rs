//! Quotas of client accounts, held over all daemons.
//!
//! Each daemon may use a share of each quota: a fixed floor, and a lease that the coordinator of the account grants for a
//! short time. The coordinator is the same daemon for all, chosen by rendezvous hashing. The floors and the outstanding
//! leases of an account never add up to more than the whole quota, so the quota holds although no daemon asks another one
//! while it handles a request.
//!
//! - [`bucket`]: counts the requests of one account at this daemon against its share.
//! - [`fleet`]: the daemons that share a quota, their floors, and the coordinator of each account.
//! - [`holder`]: demand, share and lease of one account at this daemon.
//! - [`coordinator`]: divides the part of a quota that is leased.
//! - [`message`]: reports of demand and the grants that answer them.
//! - [`engine`]: combines the above; the only entry point for a daemon.

use std::time::Duration;

use derive_more::Display;
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use crate::steering::accounts::{AccountName, Quota};

pub mod bucket;
pub mod coordinator;
pub mod engine;
pub mod fleet;
pub mod holder;
pub mod message;

pub use engine::{Exceeded, Ignored, Outgoing, Quotas};
pub use fleet::QuotaDaemon;
pub use message::{Datagram, Grant, Report};

/// Identifies a daemon in messages, as a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct DaemonKey(pub u64);

impl DaemonKey {
    /// The key of a daemon with this name.
    pub fn from_name(name: &str) -> Self {
        Self(rapidhash_v3(name.as_bytes()))
    }
}

/// Identifies an account in messages, as a hash of its name. It is the same in all configuration versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct AccountKey(pub u64);

impl AccountKey {
    /// The key of an account with this name.
    pub fn from_name(name: &AccountName) -> Self {
        Self(rapidhash_v3(name.as_str().as_bytes()))
    }
}

/// Fraction of a quota, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Display, Serialize, Deserialize)]
pub struct Share(pub f32);

impl Share {
    /// The share as a factor.
    pub fn factor(self) -> f64 {
        f64::from(self.0)
    }
}

/// Tolerance with which quotas must hold.
///
/// In any window, at most `(rate * window + burst) * (1 + overrun) + slack` requests of an account may run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimits {
    /// Length of the window.
    pub window: Duration,
    /// Fraction by which the requests in a window may exceed the quota.
    pub overrun: f64,
    /// Number of requests by which they may exceed it in addition.
    pub slack: f64,
}

impl Default for QuotaLimits {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overrun: 0.1, slack: 20.0 }
    }
}

impl QuotaLimits {
    /// Number of requests in a window by which a quota may be exceeded.
    ///
    /// ```
    /// use medlarstair_state::steering::accounts::{Quota, RequestRate};
    /// use medlarstair_state::steering::quota::QuotaLimits;
    /// let quota = Quota { rate: RequestRate(10.0), burst: 50.0 };
    /// assert_eq!(QuotaLimits::default().tolerance(&quota), 30.0);
    /// ```
    pub fn tolerance(&self, quota: &Quota) -> f64 {
        self.overrun * (quota.rate.0 * self.window.as_secs_f64() + quota.burst) + self.slack
    }
}
