//! Configuration entries by revision.
//!
//! Every daemon holds one [`ConfigMap`]. Entries reach it from the watch on the key-value service, from pushes and
//! from fetches between daemons, in any order and any number of times. The highest revision of each key wins,
//! whatever its source, so a daemon never goes back to an older value, not even when the service itself returns
//! one after it was restored from a backup. A deletion is an entry without a value; it is kept, since forgetting
//! it would let a stale offer bring the deleted value back.

use std::borrow::Borrow;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Bound;

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use crate::id::Revision;

/// One key of the configuration at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key, for example `contract/acme`.
    pub key: Box<str>,
    /// Revision of the key's last modification.
    pub revision: Revision,
    /// The value in JSON; `None` when the key is deleted.
    pub value: Option<Box<str>>,
}

/// A key and the revision at which a daemon holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRevision {
    /// The key.
    pub key: Box<str>,
    /// Its revision.
    pub revision: Revision,
}

/// Short description of a [`ConfigMap`]. Two maps with equal digests hold the same keys at the same revisions,
/// except with the probability of a collision of a 64-bit hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Number of keys, deleted ones included.
    pub entries: u32,
    /// Highest revision.
    pub highest: Revision,
    /// XOR of the hashes of each key and its revision, so that the order of arrival does not matter.
    pub hash: u64,
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}:{:016x}", self.entries, self.highest, self.hash)
    }
}

/// How an offered entry compares with the one that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It is newer and has been taken.
    Newer,
    /// Its revision is held already.
    Same,
    /// It is older than the one held and has been ignored.
    Older,
}

/// An entry ordered by its key alone.
#[derive(Debug, Clone)]
struct ByKey {
    entry: Entry,
    /// The entry has a value that is not kept here; see [`ConfigMap::discard_value`].
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

/// The newest known entry of each key.
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
    /// An empty map.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes `entry` if it is newer than the one held for its key.
    ///
    /// Two values at one revision cannot come from a correct service. The first is kept, the offer counts as
    /// [`MergeOutcome::Same`], and [`conflicts`](Self::conflicts) goes up.
    pub fn merge(&mut self, entry: Entry) -> MergeOutcome {
        if let Some(held) = self.get(&entry.key) {
            match entry.revision.cmp(&held.revision) {
                Ordering::Less => return MergeOutcome::Older,
                Ordering::Equal => {
                    if !self.is_value_discarded(&entry.key) && entry.value != held.value {
                        self.conflicts += 1;
                    }
                    return MergeOutcome::Same;
                }
                Ordering::Greater => self.hash ^= entry_hash(held),
            }
        }
        self.hash ^= entry_hash(&entry);
        self.highest = self.highest.max(entry.revision.0);
        self.entries.replace(ByKey { entry, value_discarded: false });
        MergeOutcome::Newer
    }

    /// Drops the text of a value that its owner keeps in another form; key, revision and digest stay. The entry then
    /// has an empty value until a newer one is offered. Nothing happens for a key that is unknown or deleted.
    pub fn discard_value(&mut self, key: &str) {
        let Some(mut held) = self.entries.take(key) else {
            return;
        };
        if held.entry.value.is_some() {
            held.entry.value = Some(Box::default());
            held.value_discarded = true;
        }
        self.entries.insert(held);
    }

    /// Whether the text of the value of `key` was dropped by [`discard_value`](Self::discard_value).
    pub fn is_value_discarded(&self, key: &str) -> bool {
        self.entries.get(key).is_some_and(|held| held.value_discarded)
    }

    /// The entry of `key`, also when it records a deletion.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key).map(|held| &held.entry)
    }

    /// The digest that heartbeats carry.
    pub fn digest(&self) -> Digest {
        let entries = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        Digest { entries, highest: Revision(self.highest), hash: self.hash }
    }

    /// Entries modified after `revision`, the oldest first.
    ///
    /// A daemon can lack an entry that is older than its highest revision, so a difference between two daemons is
    /// found with [`missing_from`](Self::missing_from), not with this.
    pub fn entries_after(&self, revision: Revision) -> Vec<Entry> {
        let mut newer: Vec<Entry> = self.iter().filter(|entry| entry.revision > revision).cloned().collect();
        newer.sort_by_key(|entry| entry.revision);
        newer
    }

    /// Every key with its revision, ordered by key.
    pub fn summary(&self) -> Vec<KeyRevision> {
        self.iter().map(|entry| KeyRevision { key: entry.key.clone(), revision: entry.revision }).collect()
    }

    /// Entries that a daemon with this `summary` lacks or holds at an older revision, ordered by key.
    pub fn missing_from(&self, summary: &[KeyRevision]) -> Vec<Entry> {
        let mut held: Vec<(&str, Revision)> =
            summary.iter().map(|item| (&*item.key, item.revision)).collect();
        // A summary is ordered already unless its sender is faulty; sorting it again takes linear time then.
        held.sort_unstable();
        let mut held = held.into_iter().peekable();
        let mut missing = Vec::new();
        for entry in self.iter() {
            let mut known = None;
            while let Some((key, revision)) = held.next_if(|(key, _)| *key <= &*entry.key) {
                known = (key == &*entry.key).then_some(revision);
            }
            if known < Some(entry.revision) {
                missing.push(entry.clone());
            }
        }
        missing
    }

    /// Entries whose keys begin with `prefix`, ordered by key, deletions included.
    pub fn with_prefix(&self, prefix: &str) -> impl Iterator<Item = &Entry> {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        self.entries
            .range::<str, _>(from)
            .map(|held| &held.entry)
            .take_while(move |entry| entry.key.starts_with(prefix))
    }

    /// Every entry, ordered by key, deletions included.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().map(|held| &held.entry)
    }

    /// Number of offers that had a different value at the revision held.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }
}

/// Hash of key and revision. Daemons of different builds compare it, so the function is one with a fixed
/// specification instead of the hasher of the standard library.
fn entry_hash(entry: &Entry) -> u64 {
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&rapidhash_v3(entry.key.as_bytes()).to_le_bytes());
    buf[8..].copy_from_slice(&entry.revision.0.to_le_bytes());
    rapidhash_v3(&buf)
}
