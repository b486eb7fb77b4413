//! Which daemon watches the key-value service on behalf of others.
//!
//! In each failure domain one daemon, the relay, watches the service and announces what it receives to the others, with its
//! revision. A daemon that lacks a change fetches it, and one whose relay has had no response lately watches by itself. The relays
//! of a region also announce to each other, so that a relay learns of a change even if the response to its watch is lost.

use std::time::Duration;

use medlarstair_state::config::Entry;
use medlarstair_state::id::{Era, Revision};
use medlarstair_state::time::Timestamp;
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use crate::store_outage::OutageReport;

/// Interval between announcements of a relay that has received no change.
pub const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(500);

/// Age of a relay's last response from the service from which a daemon watches by itself. A relay renews its lease every 0.9 s and
/// announces the response at once. A watch that then returns at once stays within the smallest time for a change (2 s), also if
/// the relay was cut off right after its last response.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(1_250);

/// Place in the history of the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Era of the service.
    pub era: Era,
    /// Revision within the era.
    pub revision: Revision,
}

/// Message of a relay to the daemons that follow it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Newest position that the relay knows.
    pub position: Position,
    /// Revision after which `changes` begin. They are all changes up to `position`.
    pub after: Revision,
    /// Changes, in the order of their revisions.
    pub changes: Vec<Entry>,
    /// Time since the service last responded to the relay itself, in milliseconds.
    pub response_age_ms: u32,
    /// Outage of the service that the relay has observed and that ended recently.
    pub outage: Option<OutageReport>,
}

impl Announcement {
    /// Time at which the service last responded to the relay, given the time at which the announcement was received.
    pub fn response_at(&self, now: Timestamp) -> Timestamp {
        now - Duration::from_millis(self.response_age_ms.into())
    }

    /// An announcement without changes. [`StoreWatcher`](crate::store_watcher::StoreWatcher) sets the age of the response and
    /// the outage when it is sent.
    pub fn new(position: Position, after: Revision) -> Self {
        Self { position, after, changes: Vec::new(), response_age_ms: 0, outage: None }
    }
}

/// How a daemon gets the next change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// It watches the service.
    Watch,
    /// It asks the service at once for the changes that were announced.
    Fetch,
    /// It waits for an announcement until this time.
    Wait(Timestamp),
}

/// What a daemon does with an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// It applies the changes.
    Apply,
    /// It fetches the changes from the service.
    Fetch,
    /// It has all changes.
    Ignore,
}

/// Announcements that a daemon has received.
///
/// ```
/// use medlarstair_gateway::store_relay::{Announcement, Position, Reaction, Source, StoreRelay};
/// use medlarstair_state::id::{Era, Revision};
/// use medlarstair_state::time::Timestamp;
/// let now = Timestamp::from_millis(1_000);
/// let at = |revision| Position { era: Era(1), revision: Revision(revision) };
/// let mut relay = StoreRelay::default();
/// assert_eq!(relay.source(now, true, at(5)), Source::Watch);
/// let idle = Announcement { position: at(5), after: Revision(5), changes: vec![], response_age_ms: 0, outage: None };
/// assert_eq!(relay.receive(now, true, &idle, at(5)), Reaction::Ignore);
/// assert!(matches!(relay.source(now, true, at(5)), Source::Wait(_)));
/// let missed = Announcement { position: at(7), after: Revision(7), ..idle };
/// assert_eq!(relay.receive(now, true, &missed, at(5)), Reaction::Fetch);
/// assert_eq!(relay.source(now, true, at(5)), Source::Fetch);
/// ```
#[derive(Debug, Default)]
pub struct StoreRelay {
    /// Time at which the service last responded to the own failure domain's relay, as announced. If two daemons announce, the
    /// later response counts.
    responded: Option<Timestamp>,
    /// Newest position that was announced.
    newest: Position,
}

impl StoreRelay {
    /// Chooses how a daemon that has applied all changes up to `applied` gets the next one. `may_follow` tells whether another
    /// daemon is the relay, and this one has no trouble with the service.
    pub fn source(&self, now: Timestamp, may_follow: bool, applied: Position) -> Source {
        if self.newest > applied {
            return Source::Fetch;
        }
        match self.responded.map(|at| at + MAX_RESPONSE_AGE) {
            Some(until) if may_follow && now < until => Source::Wait(until),
            _ => Source::Watch,
        }
    }

    /// Whether the relay is known to have had a response recently.
    pub fn is_heard(&self, now: Timestamp) -> bool {
        self.responded.is_some_and(|at| now.since(at) < MAX_RESPONSE_AGE)
    }

    /// Receives an announcement from a relay of the own failure domain or, if `own_domain` is false, of another one. `applied` is
    /// the default position until the service has been listed.
    pub fn receive(
        &mut self,
        now: Timestamp,
        own_domain: bool,
        announcement: &Announcement,
        applied: Position,
    ) -> Reaction {
        let position = announcement.position;
        if position.era < applied.era {
            return Reaction::Ignore;
        }
        if own_domain {
            self.responded = self.responded.max(Some(announcement.response_at(now)));
        }
        if position <= applied {
            return Reaction::Ignore;
        }
        let is_listed = applied != Position::default();
        let is_complete = is_listed && position.era == applied.era && announcement.after <= applied.revision;
        if is_complete && !announcement.changes.is_empty() {
            return Reaction::Apply;
        }
        self.newest = self.newest.max(position);
        Reaction::Fetch
    }

    /// Records that all changes up to `applied` were fetched. An announced position that the service does not have is
    /// forgotten.
    pub fn record_fetched(&mut self, applied: Position) {
        self.newest = applied;
    }

    /// Newest position that is known, given the applied one.
    pub fn newest(&self, applied: Position) -> Position {
        self.newest.max(applied)
    }
}

/// Chooses the relay among the names of the daemons of a failure domain. All daemons with the same list choose the same.
///
/// ```
/// use medlarstair_gateway::store_relay::choose_relay;
/// assert_eq!(choose_relay(["a", "b", "c"].into_iter()), choose_relay(["c", "a", "b"].into_iter()));
/// ```
pub fn choose_relay<'a>(names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names.max_by_key(|name| (rapidhash_v3(name.as_bytes()), *name))
}

/// Splits changes into announcements whose entries have at most `max_bytes` together. A revision with a change that does not fit,
/// and what follows, are left out, so that the others fetch them.
///
/// ```
/// use medlarstair_gateway::store_relay::{Position, split};
/// use medlarstair_state::config::Entry;
/// use medlarstair_state::id::{Era, Revision};
/// let entry = |revision, size| Entry {
///     key: "k".into(),
///     revision: Revision(revision),
///     value: Some("x".repeat(size).into()),
/// };
/// let end = Position { era: Era(0), revision: Revision(9) };
/// let parts = split(Revision(4), end, vec![entry(6, 600), entry(5, 600), entry(9, 5_000)], 1_000);
/// let ranges: Vec<_> = parts.iter().map(|p| (p.after.0, p.position.revision.0, p.changes.len())).collect();
/// assert_eq!(ranges, [(4, 5, 1), (5, 6, 1), (9, 9, 0)]);
/// ```
pub fn split(after: Revision, end: Position, mut changes: Vec<Entry>, max_bytes: usize) -> Vec<Announcement> {
    changes.sort_by_key(|entry| entry.revision);
    let mut parts = Vec::new();
    let mut part = Announcement::new(end, after);
    let mut bytes = 0;
    for entry in changes {
        let size = encoded_size(&entry);
        if size > max_bytes {
            // The others take a part as complete up to its last revision.
            part.changes.retain(|e| e.revision < entry.revision);
            finish_part(&mut parts, part);
            return finish_with_gap(parts, end);
        }
        let last = part.changes.last().map(|e| e.revision);
        if let Some(last) = last.filter(|last| bytes + size > max_bytes && *last < entry.revision) {
            let next = Announcement::new(end, last);
            finish_part(&mut parts, std::mem::replace(&mut part, next));
            bytes = 0;
        }
        bytes += size;
        part.changes.push(entry);
    }
    parts.push(part);
    parts
}

/// Appends a part that ends with its last change.
fn finish_part(parts: &mut Vec<Announcement>, mut part: Announcement) {
    if let Some(last) = part.changes.last() {
        part.position.revision = last.revision;
        parts.push(part);
    }
}

/// Appends an announcement without changes, so that the others fetch what is missing.
fn finish_with_gap(mut parts: Vec<Announcement>, end: Position) -> Vec<Announcement> {
    parts.push(Announcement::new(end, end.revision));
    parts
}

/// Upper bound of the size of an entry in a message, in bytes: two lengths, an option and a revision besides the text.
fn encoded_size(entry: &Entry) -> usize {
    const OVERHEAD: usize = 24;
    entry.key.len() + entry.value.as_deref().map_or(0, str::len) + OVERHEAD
}
