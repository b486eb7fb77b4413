//! Handover of an operation table on a planned stop.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::outcome::{RecordedAnswer, UnknownReason};
use super::table::{Entry, EntryState, OperationTable, entry_bytes, is_expired};
use super::token::{Minute, OperationKey};
use crate::id::{Fingerprint, Incarnation};
use crate::time::Timestamp;

/// An incarnation whose operations a table includes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerCoverage {
    /// The incarnation that is named as the owner of the operations.
    pub owner: Incarnation,
    /// Last minute in which it can have issued a token or a claim.
    pub last_issue: Minute,
}

/// One operation of an exported table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverEntry {
    /// Key of the operation.
    pub key: OperationKey,
    /// Fingerprint of its request.
    pub fingerprint: Fingerprint,
    /// The recorded answer. `None` if the outcome is not known.
    pub answer: Option<RecordedAnswer>,
}

impl HandoverEntry {
    /// Number of bytes that the entry contributes to the size of a table.
    pub(super) fn bytes(&self) -> usize {
        entry_bytes(&self.key) + self.answer.as_ref().map_or(0, RecordedAnswer::bytes)
    }
}

/// Identifies a part of an exported table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverPart {
    /// Number of the export at the daemon that exports, from 0. Parts of different exports cannot be combined.
    pub export: u32,
    /// Position of the part, from 0.
    pub index: u32,
    /// Number of parts of the export.
    pub count: u32,
}

/// An operation table, or a part of one, that a leaving daemon sends to its successor.
///
/// Only one incarnation of the successor may import it. A later boot has lost the record of the operations that the
/// earlier boot ran after the import, and must not import the table again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverTable {
    /// The incarnation that is leaving.
    pub owner: Incarnation,
    /// The only incarnation that may import the table.
    pub successor: Incarnation,
    /// The owner's current minute. The successor adopts it if its own clock is behind, since it must not run operations
    /// whose entries the owner has dropped.
    pub minute: Minute,
    /// The incarnations whose operations the successor owns after the import, starting with `owner`.
    pub covers: Vec<OwnerCoverage>,
    /// The part of the export that this table is.
    pub part: HandoverPart,
    /// The operations of this part, ordered by key.
    pub entries: Vec<HandoverEntry>,
}

impl HandoverTable {
    /// Splits the table into parts with up to `max_bytes` of entries each, counted like
    /// [`max_bytes`](super::OperationConfig::max_bytes) of a table. A larger entry gets a part of its own. Returns at
    /// least one part.
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

/// Result of a successful import.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ImportProgress {
    /// All parts have arrived. This daemon owns the operations from now on, and must acknowledge the handover.
    Complete,
    /// Other parts of the table are missing.
    Partial,
}

/// Why a table was not imported. The handover must not be acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum ImportError {
    /// The successor named in the table is another daemon or another boot of this daemon.
    #[display("the operation table is addressed to another incarnation")]
    OtherSuccessor,
    /// This daemon is stopping.
    #[display("this daemon is leaving and imports no operation tables")]
    Leaving,
    /// The entries would exceed the bounds of this daemon's table.
    #[display("the operation table exceeds the free capacity of this daemon's table")]
    Full,
}

impl OperationTable {
    /// Begins a planned stop. From now on new operations are refused as not run; resends are still answered or attached
    /// to the running attempt.
    pub fn begin_stop(&mut self) {
        self.owners.begin_stop();
    }

    /// Exports the table for `successor`. Running operations are exported with an unknown outcome.
    ///
    /// From now on this daemon begins no operation, even if the handover fails, because it cannot distinguish a lost
    /// table from a lost acknowledgement. Call it again with the same successor to retry the handover. Returns `None`
    /// if the table was already exported for another successor or if `successor` is this daemon.
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
        for (key, entry) in self.entries_by_minute.values().flatten() {
            let answer = match &entry.state {
                EntryState::Answered(answer) => Some(answer.clone()),
                EntryState::Running { .. } | EntryState::Unknown(_) => None,
            };
            entries.push(HandoverEntry { key: key.clone(), fingerprint: entry.fingerprint, answer });
        }
        let covers = self.owners.coverage(minute);
        let part = HandoverPart { export: self.exports, index: 0, count: 1 };
        self.exports += 1;
        Some(HandoverTable { owner, successor, minute, covers, part, entries })
    }

    /// Imports the table of a leaving daemon, or a part of it. The parts may arrive in any order; this daemon becomes
    /// the owner of the operations when all have arrived. A repeated import of a table or part has no effect.
    pub fn import(
        &mut self,
        now: Timestamp,
        mut table: HandoverTable,
    ) -> Result<ImportProgress, ImportError> {
        if table.successor != self.owners.me() {
            return Err(ImportError::OtherSuccessor);
        }
        if !self.owners.is_active() {
            return Err(ImportError::Leaving);
        }
        let minute = self.clock.observe(now, table.minute);
        self.expire(now);
        let mut new_entries = std::mem::take(&mut table.entries);
        new_entries.retain(|item| {
            !is_expired(item.key.issuer.issued, minute) && self.entry_mut(&item.key).is_none()
        });
        let bytes = new_entries.iter().map(HandoverEntry::bytes).sum();
        if !self.has_room(new_entries.len(), bytes) {
            return Err(ImportError::Full);
        }
        for item in new_entries {
            let bytes = item.bytes();
            let state = match item.answer {
                Some(answer) => EntryState::Answered(answer),
                None => EntryState::Unknown(UnknownReason::AttemptLost),
            };
            self.insert(item.key, Entry { fingerprint: item.fingerprint, state }, bytes);
        }
        Ok(if self.owners.record_import(&table) { ImportProgress::Complete } else { ImportProgress::Partial })
    }
}
