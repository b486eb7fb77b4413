//! Handover of an operation table on a planned stop.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::outcome::{RecordedAnswer, UnknownReason};
use super::table::{Entry, OperationTable, State, entry_bytes, is_expired};
use super::token::{Minute, OperationKey};
use crate::id::{Fingerprint, Incarnation};
use crate::time::Timestamp;

/// An incarnation whose operations a table covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerCoverage {
    /// The incarnation.
    pub owner: Incarnation,
    /// Last minute in which it can have issued a token or a claim.
    pub last_issue: Minute,
}

/// One operation of a table that is handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverEntry {
    /// The operation.
    pub key: OperationKey,
    /// Fingerprint of its request.
    pub fingerprint: Fingerprint,
    /// The recorded answer; `None` when the outcome is not known.
    pub answer: Option<RecordedAnswer>,
}

impl HandoverEntry {
    /// Bytes by which it counts towards the bound of a table.
    pub(super) fn bytes(&self) -> usize {
        entry_bytes(&self.key) + self.answer.as_ref().map_or(0, RecordedAnswer::bytes)
    }
}

/// Which part of an export a table is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverPart {
    /// Number of the export at its owner. Parts of different exports do not complete each other.
    pub export: u32,
    /// Position among the parts, from 0.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
}

/// The table, or a part of it, that a leaving daemon sends to its successor.
///
/// It is valid for one incarnation of the successor only. A later boot has forgotten what the earlier one ran after
/// the import, so it must not import the table again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverTable {
    /// The daemon that leaves.
    pub owner: Incarnation,
    /// The only incarnation that may import the table.
    pub successor: Incarnation,
    /// The owner's current minute. The successor's clock may be behind it, and it must not run operations that the
    /// owner has forgotten.
    pub minute: Minute,
    /// The incarnations that the successor answers for from now on, the owner first.
    pub covers: Vec<OwnerCoverage>,
    /// Which part this is.
    pub part: HandoverPart,
    /// The operations, ordered by key.
    pub entries: Vec<HandoverEntry>,
}

impl HandoverTable {
    /// Splits the table into parts whose entries take up to `max_bytes` each, by the same count of bytes that bounds
    /// the table; a larger entry gets a part of its own. The result has at least one part.
    pub fn split(self, max_bytes: usize) -> Vec<Self> {
        let Self { owner, successor, minute, covers, part, entries } = self;
        let mut groups = vec![Vec::new()];
        let mut bytes = 0;
        for entry in entries {
            bytes += entry.bytes();
            if bytes > max_bytes && groups.last().is_some_and(|group| !group.is_empty()) {
                bytes = entry.bytes();
                groups.push(Vec::new());
            }
            groups.last_mut().expect("there is at least one group").push(entry);
        }
        let count = u32::try_from(groups.len()).expect("a table has fewer than 2^32 entries");
        let mut parts = Vec::with_capacity(groups.len());
        for (index, entries) in (0..).zip(groups) {
            let part = HandoverPart { index, count, ..part };
            parts.push(Self { owner, successor, minute, covers: covers.clone(), part, entries });
        }
        parts
    }
}

/// Result of an import without error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ImportProgress {
    /// This daemon now answers for the owner. The owner gets an acknowledgement.
    Complete,
    /// Parts of the table are missing.
    Partial,
}

/// A table was not imported. The owner must not receive an acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum ImportError {
    /// The table is for another daemon or for an earlier boot of this one.
    #[display("the operation table is for another incarnation")]
    OtherSuccessor,
    /// This daemon is stopping itself.
    #[display("a daemon that is leaving takes over no operations")]
    Leaving,
    /// The entries do not fit.
    #[display("the operation table does not fit")]
    Full,
}

impl OperationTable {
    /// Begins a planned stop: resends are answered and joined as before, new operations are refused as not run.
    pub fn begin_stop(&mut self) {
        self.owners.stop();
    }

    /// The table for `successor`. From now on this daemon begins no operation, whether the handover succeeds or not,
    /// because it cannot tell a lost table from a lost acknowledgement.
    ///
    /// A later call for the same successor returns the table again, for a repeated attempt to send it. `None` means
    /// that the table was exported for another successor, or that `successor` is this daemon. Running operations are
    /// exported as unknown.
    pub fn export(
        &mut self,
        now: Timestamp,
        minute: Minute,
        successor: Incarnation,
    ) -> Option<HandoverTable> {
        let owner = self.owners.me();
        if successor.node == owner.node || !self.owners.hand_over(successor) {
            return None;
        }
        let minute = self.clock.observe(now, minute);
        self.expire(now);
        let mut entries = Vec::with_capacity(self.entries);
        for (key, entry) in self.minutes.values().flatten() {
            let answer = match &entry.state {
                State::Answered(answer) => Some(answer.clone()),
                State::Running { .. } | State::Unknown(_) => None,
            };
            entries.push(HandoverEntry { key: key.clone(), fingerprint: entry.fingerprint, answer });
        }
        let covers = self.owners.coverage(minute);
        let part = HandoverPart { export: self.exports, index: 0, count: 1 };
        self.exports += 1;
        Some(HandoverTable { owner, successor, minute, covers, part, entries })
    }

    /// Takes over the operations of a leaving daemon once all parts of its table have arrived, in any order. A second
    /// import of the same table or part changes nothing.
    pub fn import(
        &mut self,
        now: Timestamp,
        mut table: HandoverTable,
    ) -> Result<ImportProgress, ImportError> {
        if table.successor != self.owners.me() {
            return Err(ImportError::OtherSuccessor);
        }
        if !self.owners.is_open() {
            return Err(ImportError::Leaving);
        }
        let minute = self.clock.observe(now, table.minute);
        self.expire(now);
        let mut fresh = std::mem::take(&mut table.entries);
        fresh.retain(|item| {
            !is_expired(item.key.issuer.issued, minute) && self.entry_mut(&item.key).is_none()
        });
        let bytes = fresh.iter().map(HandoverEntry::bytes).sum();
        if !self.fits(fresh.len(), bytes) {
            return Err(ImportError::Full);
        }
        for item in fresh {
            let bytes = item.bytes();
            let state = match item.answer {
                Some(answer) => State::Answered(answer),
                None => State::Unknown(UnknownReason::AttemptLost),
            };
            self.insert(item.key, Entry { fingerprint: item.fingerprint, state }, bytes);
        }
        Ok(if self.owners.cover(&table) { ImportProgress::Complete } else { ImportProgress::Partial })
    }
}
