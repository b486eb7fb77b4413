//! Crash evidence and how it merges.

use serde::{Deserialize, Serialize};

use super::CRASH_LIMIT;
use crate::id::{Fingerprint, Incarnation};

/// Most reporters kept per fingerprint. Evidence must fit a datagram of 1,200 bytes, and a report takes up to 55. A
/// fingerprint that this many daemons report is far beyond the limit, whichever reports are dropped.
pub const MAX_REPORTERS: usize = 16;

/// What one daemon has reported about a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The daemon that saw the crashes.
    pub reporter: Incarnation,
    /// Sequence numbers of the latest crashes that are not cleared, ascending, at most [`CRASH_LIMIT`].
    pub crashes: Vec<u64>,
    /// Crashes up to this sequence number are cleared.
    pub cleared: u64,
}

impl CrashReport {
    fn join(&mut self, other: &Self) -> Change {
        let cleared = self.cleared.max(other.cleared);
        let mut crashes: Vec<u64> = self.crashes.iter().chain(&other.crashes).copied().collect();
        crashes.retain(|crash| *crash > cleared);
        crashes.sort_unstable();
        crashes.dedup();
        let surplus = crashes.len().saturating_sub(CRASH_LIMIT);
        crashes.drain(..surplus);
        let crashed = crashes.iter().any(|crash| !self.crashes.contains(crash));
        let any = crashed || cleared != self.cleared;
        (self.crashes, self.cleared) = (crashes, cleared);
        Change { any, crashed }
    }
}

/// Effect of a merge.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Change {
    /// Something was not known before.
    pub(super) any: bool,
    /// Crashes were added.
    pub(super) crashed: bool,
}

/// What a daemon knows about a fingerprint, in the form that it sends to the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Reports, ordered by reporter.
    pub reports: Vec<CrashReport>,
}

impl Evidence {
    /// Number of crashes that are not cleared, counted up to [`CRASH_LIMIT`] per reporter.
    pub fn crashes(&self) -> usize {
        count_crashes(&self.reports)
    }

    /// Whether every known crash is cleared.
    pub fn is_cleared(&self) -> bool {
        self.crashes() == 0
    }
}

pub(super) fn count_crashes(reports: &[CrashReport]) -> usize {
    reports.iter().map(|report| report.crashes.len()).sum()
}

/// Merges `reports` into `held`, which is ordered by reporter.
pub(super) fn join_reports(held: &mut Vec<CrashReport>, reports: &[CrashReport]) -> Change {
    let mut change = Change::default();
    for report in reports {
        let position = held.binary_search_by_key(&report.reporter, |held| held.reporter);
        let position = position.unwrap_or_else(|position| {
            let empty = CrashReport { reporter: report.reporter, crashes: Vec::new(), cleared: 0 };
            held.insert(position, empty);
            position
        });
        let joined = held[position].join(report);
        change.any |= joined.any;
        change.crashed |= joined.crashed;
    }
    while held.len() > MAX_REPORTERS {
        let cleared = held.iter().position(|report| report.crashes.is_empty());
        held.remove(cleared.unwrap_or(0));
    }
    change
}
