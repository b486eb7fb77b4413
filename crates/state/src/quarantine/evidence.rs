//! Crash evidence and its merge operation.

use serde::{Deserialize, Serialize};

use super::CRASH_LIMIT;
use crate::id::{Fingerprint, Incarnation};

/// Maximum number of reporters that are kept per fingerprint.
///
/// Evidence must fit into a datagram of 1,200 bytes, and a report takes up to 55. A fingerprint with this many
/// reporters is far beyond [`CRASH_LIMIT`], whichever reports are dropped.
pub const MAX_REPORTERS: usize = 16;

/// Crashes of one fingerprint that one daemon has reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The daemon that observed the crashes, and its boot.
    pub reporter: Incarnation,
    /// Sequence numbers of the crashes that are not cleared, in ascending order. Only the latest [`CRASH_LIMIT`] are
    /// kept.
    pub crashes: Vec<u64>,
    /// Sequence number up to which crashes are cleared, inclusive. 0 if none are.
    pub cleared: u64,
}

impl CrashReport {
    /// Merges another report of the same reporter.
    fn merge(&mut self, other: &Self) -> MergeEffect {
        let cleared = self.cleared.max(other.cleared);
        let mut crashes: Vec<u64> = self.crashes.iter().chain(&other.crashes).copied().collect();
        crashes.retain(|crash| *crash > cleared);
        crashes.sort_unstable();
        crashes.dedup();
        let surplus = crashes.len().saturating_sub(CRASH_LIMIT);
        crashes.drain(..surplus);
        let crashes_added = crashes.iter().any(|crash| !self.crashes.contains(crash));
        let changed = crashes_added || cleared != self.cleared;
        (self.crashes, self.cleared) = (crashes, cleared);
        MergeEffect { changed, crashes_added }
    }
}

/// Effect of a merge.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MergeEffect {
    /// Whether the merge changed the state.
    pub(super) changed: bool,
    /// Whether it added crashes.
    pub(super) crashes_added: bool,
}

/// Everything that a daemon knows about a fingerprint, as sent to other daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// At most [`MAX_REPORTERS`] reports, ordered by reporter.
    pub reports: Vec<CrashReport>,
}

impl Evidence {
    /// Number of crashes that are not cleared. At most [`CRASH_LIMIT`] are counted per reporter.
    pub fn crashes(&self) -> usize {
        count_crashes(&self.reports)
    }

    /// Whether every known crash is cleared.
    pub fn is_cleared(&self) -> bool {
        self.crashes() == 0
    }
}

/// Number of crashes in all reports that are not cleared.
pub(super) fn count_crashes(reports: &[CrashReport]) -> usize {
    reports.iter().map(|report| report.crashes.len()).sum()
}

/// Merges `reports` into `known`, which is ordered by reporter.
pub(super) fn merge_report_sets(known: &mut Vec<CrashReport>, reports: &[CrashReport]) -> MergeEffect {
    let mut effect = MergeEffect::default();
    for report in reports {
        let position = known.binary_search_by_key(&report.reporter, |known| known.reporter);
        let position = position.unwrap_or_else(|position| {
            let empty = CrashReport { reporter: report.reporter, crashes: Vec::new(), cleared: 0 };
            known.insert(position, empty);
            position
        });
        let merged = known[position].merge(report);
        effect.changed |= merged.changed;
        effect.crashes_added |= merged.crashes_added;
    }
    while known.len() > MAX_REPORTERS {
        let cleared = known.iter().position(|report| report.crashes.is_empty());
        known.remove(cleared.unwrap_or(0));
    }
    effect
}
