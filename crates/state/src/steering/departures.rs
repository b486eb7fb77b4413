//! Which entry of a backend server is the newer one, and what servers without an entry have announced.
//!
//! A write to the key-value service may be carried out seconds late, so that an older entry of a server replaces a newer one
//! or appears after its deletion. A server that leaves would then be used again. Entries are therefore compared by the start
//! time and the sequence number that the server gives them, and what a server has announced is remembered for some time
//! after its entry is gone.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::Backend;
use crate::steering::server::{BackendEntry, Server};
use crate::time::Timestamp;

/// Maximum delay of a late write. An entry that looks older after it is that of a server whose clock was set back.
const LATE_WRITE_WINDOW: Duration = Duration::from_secs(15);

/// Retention of what is known of a server whose entry is gone: longer than an outage of the key-value service, with a
/// restoration, and the age of the copy together. The key of a withdrawn entry is withheld for as long.
pub const WITHDRAWAL_RETENTION: Duration = Duration::from_secs(300);

/// Position of an entry among those of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryVersion {
    /// Start time of the server in milliseconds since the Unix epoch.
    pub started_at_ms: Option<u64>,
    /// Sequence number of the entry since the start.
    pub sequence: Option<u64>,
}

impl EntryVersion {
    /// Returns whether both entries are known to be of the same process of the server.
    ///
    /// Without start times, a lower sequence number shows a restart, because the numbers begin anew.
    pub fn is_same_process(&self, newer: &Self) -> bool {
        match (self.started_at_ms, newer.started_at_ms) {
            (Some(known), Some(newer)) => known == newer,
            _ => newer.sequence >= self.sequence,
        }
    }

    /// Returns whether this entry was written before the other one. `false` if that is not known.
    ///
    /// ```
    /// use medlarstair_state::steering::departures::EntryVersion;
    /// let version = |started_at_ms, sequence| EntryVersion { started_at_ms, sequence };
    /// assert!(version(Some(1), Some(9)).is_before(&version(Some(2), Some(0))));
    /// assert!(version(Some(2), Some(3)).is_before(&version(Some(2), Some(4))));
    /// assert!(!version(None, Some(3)).is_before(&version(None, Some(4))));
    /// ```
    pub fn is_before(&self, other: &Self) -> bool {
        match (self.started_at_ms, other.started_at_ms) {
            (Some(this), Some(other)) if this != other => this < other,
            (Some(_), Some(_)) => self.sequence.zip(other.sequence).is_some_and(|(this, other)| this < other),
            _ => false,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Departure {
    version: EntryVersion,
    leaving: bool,
    /// End of the pause that was in effect. `None` without one.
    paused_until: Option<Timestamp>,
    at: Timestamp,
}

/// Servers whose entries have been deleted.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    departures: BTreeMap<Backend, Departure>,
}

impl Departures {
    /// Records a server whose entry was deleted.
    pub fn record(&mut self, now: Timestamp, server: &Server) {
        let leaving = server.is_leaving() || server.entry.draining;
        let version = server.entry.version;
        let departure = Departure { version, leaving, paused_until: server.paused_until(), at: now };
        self.departures.insert(server.entry.id.clone(), departure);
    }

    /// Returns whether the entry of a server without a current entry was written before the last one.
    pub fn is_outdated(&self, now: Timestamp, entry: &BackendEntry) -> bool {
        self.departures.get(&entry.id).is_some_and(|d| is_late_write(now, entry, &d.version, d.at))
    }

    /// Returns whether the entry of a server without a current entry was certainly written after the last one.
    pub fn is_superseded_by(&self, entry: &BackendEntry) -> bool {
        self.departures.get(&entry.id).is_some_and(|d| d.version.is_before(&entry.version))
    }

    /// Lets a server that is listed again keep what it announced before, unless it has restarted.
    pub fn restore(&self, server: &mut Server) {
        let departure = self.departures.get(&server.entry.id);
        let Some(departure) = departure.filter(|d| d.version.is_same_process(&server.entry.version)) else {
            return;
        };
        if departure.leaving {
            server.mark_leaving();
        }
        server.restore_pause(departure.paused_until);
    }

    /// Removes outdated records.
    pub fn expire(&mut self, now: Timestamp) {
        self.departures.retain(|_, d| now.since(d.at) < WITHDRAWAL_RETENTION);
    }
}

/// Returns whether an entry is a late write: it is older than the known one, which was in effect until recently.
pub fn is_late_write(
    now: Timestamp,
    entry: &BackendEntry,
    known: &EntryVersion,
    known_at: Timestamp,
) -> bool {
    entry.version.is_before(known) && now.since(known_at) < LATE_WRITE_WINDOW
}
