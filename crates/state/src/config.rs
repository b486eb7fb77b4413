//! Replicated map of configuration entries, ordered by revision.
//!
//! Every daemon has one [`ConfigMap`]. It receives entries from the watch on the key-value service and from pushes and
//! fetches between daemons, in any order and any number of times. The highest revision of each key wins, whatever
//! its source, so a daemon never reverts to an older value, not even if the service returns one after a restore from
//! a backup. A deletion is stored as an entry without a value (a tombstone), because without it a stale entry could
//! restore the deleted value.

use std::borrow::Borrow;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Bound;

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use crate::id::Revision;

/// A configuration key and its value at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key, for example `contract/acme`.
    pub key: Box<str>,
    /// Revision at which the key was last modified.
    pub revision: Revision,
    /// The value in JSON; `None` if the key was deleted.
    pub value: Option<Box<str>>,
}

/// A key and the revision of its entry in a daemon's map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRevision {
    /// The key.
    pub key: Box<str>,
    /// Revision of the entry.
    pub revision: Revision,
}

/// Summary of a [`ConfigMap`] of constant size. Two maps with equal digests contain the same keys at the same
/// revisions, barring a collision of the 64-bit hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Number of keys, including deleted ones.
    pub entries: u32,
    /// Highest revision of any entry; 0 for an empty map.
    pub highest: Revision,
    /// XOR of one hash per key and revision, which does not depend on the order in which entries were merged.
    pub hash: u64,
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}:{:016x}", self.entries, self.highest, self.hash)
    }
}

/// Result of [`ConfigMap::merge`]: how the received entry compares with the stored one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The received entry is newer and has been stored.
    Newer,
    /// The stored entry has the same revision and has been kept.
    Same,
    /// The received entry is older and has been ignored.
    Older,
}

/// An entry that is compared by its key only.
#[derive(Debug, Clone)]
struct ByKey {
    entry: Entry,
    /// The entry has a value whose text is not stored here; see [`ConfigMap::discard_value`].
    value_discarded: bool,
}

impl PartialEq for ByKey {
    fn eq(&self, other: &Self) -> bool {
        self.entry.key == other.entry.key
    }
}

impl Eq for ByKey {}

impl PartialOrd for ByKey {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ByKey {
    fn cmp(&self, other: &Self) -> Ordering {
        self.entry.key.cmp(&other.entry.key)
    }
}

impl Borrow<str> for ByKey {
    fn borrow(&self) -> &str {
        &self.entry.key
    }
}

/// The newest entry received for each key.
///
/// ```
/// use medlarstair_state::config::{ConfigMap, Entry, MergeOutcome};
/// use medlarstair_state::id::Revision;
///
/// let entry = |revision, value| Entry { key: "topology".into(), revision: Revision(revision), value };
/// let mut map = ConfigMap::default();
/// assert_eq!(map.merge(entry(7, Some("{}".into()))), MergeOutcome::Newer);
/// assert_eq!(map.merge(entry(9, None)), MergeOutcome::Newer);
/// assert_eq!(map.merge(entry(7, Some("{}".into()))), MergeOutcome::Older);
/// assert!(map.get("topology").unwrap().value.is_none());
/// ```
#[derive(Debug, Clone, Default)]
pub struct ConfigMap {
    entries: BTreeSet<ByKey>,
    highest: u64,
    hash: u64,
    conflicts: u64,
}

impl ConfigMap {
    /// Creates an empty map.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores `entry` if it is newer than the stored entry of the same key.
    ///
    /// A correct service never returns two values for one revision. If it happens, the first value is kept, the result
    /// is [`MergeOutcome::Same`], and [`conflicts`](Self::conflicts) is incremented.
    pub fn merge(&mut self, entry: Entry) -> MergeOutcome {
        if let Some(current) = self.get(&entry.key) {
            match entry.revision.cmp(&current.revision) {
                Ordering::Less => return MergeOutcome::Older,
                Ordering::Equal => {
                    if !self.is_value_discarded(&entry.key) && entry.value != current.value {
                        self.conflicts += 1;
                    }
                    return MergeOutcome::Same;
                }
                Ordering::Greater => self.hash ^= entry_hash(current),
            }
        }
        self.hash ^= entry_hash(&entry);
        self.highest = self.highest.max(entry.revision.0);
        self.entries.replace(ByKey { entry, value_discarded: false });
        MergeOutcome::Newer
    }

    /// Discards the text of a value that the caller stores in another form.
    ///
    /// Key, revision and digest do not change. The value is empty until a newer entry is merged. Does nothing if the
    /// key is unknown or deleted.
    pub fn discard_value(&mut self, key: &str) {
        let Some(mut stored) = self.entries.take(key) else {
            return;
        };
        if stored.entry.value.is_some() {
            stored.entry.value = Some(Box::default());
            stored.value_discarded = true;
        }
        self.entries.insert(stored);
    }

    /// Whether the value of `key` was discarded by [`discard_value`](Self::discard_value).
    pub fn is_value_discarded(&self, key: &str) -> bool {
        self.entries.get(key).is_some_and(|stored| stored.value_discarded)
    }

    /// Returns the entry of `key`, which may be a tombstone. `None` if the key is unknown.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key).map(|stored| &stored.entry)
    }

    /// Digest of all entries, which is sent in heartbeats.
    pub fn digest(&self) -> Digest {
        let entries = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        Digest { entries, highest: Revision(self.highest), hash: self.hash }
    }

    /// Returns the entries modified after `revision`, oldest first.
    ///
    /// This is not sufficient to synchronise two daemons, because a daemon can lack an entry that is older than its
    /// highest revision. Use [`missing_from`](Self::missing_from) for that.
    pub fn entries_after(&self, revision: Revision) -> Vec<Entry> {
        let mut newer: Vec<Entry> = self.iter().filter(|entry| entry.revision > revision).cloned().collect();
        newer.sort_by_key(|entry| entry.revision);
        newer
    }

    /// Returns all keys and their revisions, sorted by key.
    pub fn summary(&self) -> Vec<KeyRevision> {
        self.iter().map(|entry| KeyRevision { key: entry.key.clone(), revision: entry.revision }).collect()
    }

    /// Returns the entries that a daemon with this `summary` lacks or has at an older revision, sorted by key.
    pub fn missing_from(&self, summary: &[KeyRevision]) -> Vec<Entry> {
        let mut theirs: Vec<(&str, Revision)> =
            summary.iter().map(|item| (&*item.key, item.revision)).collect();
        // A correct sender sends a sorted summary; for sorted input this takes linear time.
        theirs.sort_unstable();
        let mut theirs = theirs.into_iter().peekable();
        let mut missing = Vec::new();
        for entry in self.iter() {
            let mut known = None;
            while let Some((key, revision)) = theirs.next_if(|(key, _)| *key <= &*entry.key) {
                known = (key == &*entry.key).then_some(revision);
            }
            if known < Some(entry.revision) {
                missing.push(entry.clone());
            }
        }
        missing
    }

    /// Iterates over the entries whose keys begin with `prefix`, sorted by key and including tombstones.
    pub fn with_prefix(&self, prefix: &str) -> impl Iterator<Item = &Entry> {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        self.entries
            .range::<str, _>(from)
            .map(|stored| &stored.entry)
            .take_while(move |entry| entry.key.starts_with(prefix))
    }

    /// Iterates over all entries, sorted by key and including tombstones.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().map(|stored| &stored.entry)
    }

    /// Number of merged entries whose value differed from the stored value at the same revision.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }
}

/// Hash of key and revision. Daemons of different builds compare it, so it uses a function with a fixed specification
/// instead of the standard library's hasher.
fn entry_hash(entry: &Entry) -> u64 {
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&rapidhash_v3(entry.key.as_bytes()).to_le_bytes());
    buf[8..].copy_from_slice(&entry.revision.0.to_le_bytes());
    rapidhash_v3(&buf)
}
