//! What a daemon knows of its own entry in the key-value service.
//!
//! A write whose response is lost may be carried out seconds later. Each write of the entry therefore has a condition, so that a
//! late one does not replace a newer one. The entry can still end while its lease is renewed, for example if another process
//! has written it under a lease of its own, so the watch of the service is compared with the writes of this daemon.

use medlarstair_transport::kv::Precondition;

use crate::store_relay::Position;

/// The own entry as it was last written and last seen.
///
/// ```
/// use medlarstair_gateway::own_entry::OwnEntry;
/// use medlarstair_gateway::store_relay::Position;
/// use medlarstair_state::id::{Era, Revision};
/// use medlarstair_transport::kv::Precondition;
/// let at = |revision| Position { era: Era(0), revision: Revision(revision) };
/// let mut entry = OwnEntry::default();
/// assert_eq!(entry.begin_write(), Precondition::Absent);
/// entry.record_written(at(5));
/// entry.finish_write();
/// entry.record_seen(at(5), true);
/// assert!(!entry.is_lost());
/// entry.record_seen(at(9), false);
/// assert!(entry.is_lost());
/// assert_eq!(entry.begin_write(), Precondition::Absent);
/// ```
#[derive(Debug)]
pub struct OwnEntry {
    /// Position of the last write of this daemon that was confirmed.
    written: Option<Position>,
    /// Newest position of the key that is known, from a write or from the watch.
    newest: Position,
    /// Condition of the next write: that the key is as it was last known.
    condition: Precondition,
    is_writing: bool,
}

impl Default for OwnEntry {
    fn default() -> Self {
        Self {
            written: None,
            newest: Position::default(),
            condition: Precondition::Absent,
            is_writing: false,
        }
    }
}

impl OwnEntry {
    /// Begins a write, and returns its condition.
    pub fn begin_write(&mut self) -> Precondition {
        self.is_writing = true;
        self.condition
    }

    /// Records that no write is in progress any more. One without a response may still be carried out.
    pub fn finish_write(&mut self) {
        self.is_writing = false;
    }

    /// Records that a write was carried out at a position.
    pub fn record_written(&mut self, position: Position) {
        self.written = Some(position);
        if position > self.newest {
            self.newest = position;
            self.condition = Precondition::Revision(position.revision);
        }
    }

    /// Records that the condition of a write did not hold. `current` is the present position of the key, whose revision is zero
    /// if there is none. The next write has the condition that this is still so.
    pub fn record_conflict(&mut self, current: Position) {
        self.newest = self.newest.max(current);
        self.condition = condition(current, current.revision.0 > 0);
    }

    /// Records the state of the key as the watch or a listing of the service reports it. Returns whether the entry must be
    /// written again. While a write is in progress, it does not; [`is_lost`](Self::is_lost) tells afterwards.
    pub fn record_seen(&mut self, position: Position, exists: bool) -> bool {
        if position <= self.newest {
            return false;
        }
        self.newest = position;
        self.condition = condition(position, exists);
        !self.is_writing && self.is_lost()
    }

    /// Whether the key was written or deleted after the last write of this daemon.
    pub fn is_lost(&self) -> bool {
        self.written.is_some_and(|written| self.newest > written)
    }
}

fn condition(position: Position, exists: bool) -> Precondition {
    if exists { Precondition::Revision(position.revision) } else { Precondition::Absent }
}
