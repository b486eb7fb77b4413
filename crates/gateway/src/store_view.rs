//! What this daemon knows of the entries in the key-value service, across restorations of the service from an older copy.
//!
//! A restoration begins a new era. Revisions of different eras are not comparable, so the first listing of an era is accepted
//! as a whole, with two exceptions. A key that this daemon knows to be withdrawn is withheld until it is written again, because
//! the copy may date from before the withdrawal. The revision of the copy is not known, so an entry that was written between
//! the restoration and the listing is withheld as well, unless the caller sees from its contents that it is new. A key that is missing is kept for a grace period, because the copy may date
//! from before it was written and its owner writes it again.

use std::collections::{BTreeMap, BTreeSet};

use medlarstair_state::config::Entry;
use medlarstair_state::id::{Era, Revision};
use medlarstair_state::steering::departures::WITHDRAWAL_RETENTION;
use medlarstair_state::time::Timestamp;

/// Maximum number of retained withdrawals. The oldest one is dropped first.
const MAX_WITHDRAWALS: usize = 8_192;

/// Whether an entry of the service is to be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The entry is new.
    Apply,
    /// The entry comes from a copy of the service, and may be older than what this daemon knows of its key.
    Copied,
    /// A newer revision of the key is known.
    Outdated,
    /// This daemon knows that the key of the entry was withdrawn, and the entry may come from an older copy of the service.
    Withheld,
}

/// Difference between a listing and what was known before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListingChange {
    /// Whether this is the first listing after a restoration.
    pub is_restored: bool,
    /// Known keys that are missing from the listing, without those whose deletion is deferred already.
    pub missing: Vec<Box<str>>,
}

/// Entries of the service as this daemon last knew them.
///
/// ```
/// use std::time::Duration;
/// use medlarstair_gateway::store_view::{StoreView, Verdict};
/// use medlarstair_state::config::Entry;
/// use medlarstair_state::id::{Era, Revision};
/// use medlarstair_state::time::Timestamp;
/// let now = Timestamp::from_millis(1_000);
/// let entry = |revision, value: Option<&str>| Entry {
///     key: "servers/a".into(),
///     revision: Revision(revision),
///     value: value.map(Into::into),
/// };
/// let mut view = StoreView::default();
/// view.begin_listing(Era(1), Revision(9), [].into());
/// assert_eq!(view.record(now, &entry(9, Some("on"))), Verdict::Apply);
/// assert_eq!(view.record(now, &entry(12, None)), Verdict::Apply);
/// view.record_withdrawal(now, "servers/a");
/// // The copy dates from before the deletion.
/// view.begin_listing(Era(2), Revision(10), ["servers/a"].into());
/// assert_eq!(view.record(now, &entry(9, Some("on"))), Verdict::Withheld);
/// assert_eq!(view.record(now, &entry(11, Some("on"))), Verdict::Apply);
/// ```
#[derive(Debug, Default)]
pub struct StoreView {
    era: Era,
    /// Whether there has been a listing.
    is_listed: bool,
    /// Revision of the first listing of the era. `None` in the first era that this daemon knows.
    restored_at: Option<Revision>,
    /// Revision of each key that exists, in the era.
    revisions: BTreeMap<Box<str>, Revision>,
    /// Time of the withdrawal of each key that was withdrawn recently.
    withdrawals: BTreeMap<Box<str>, Timestamp>,
    /// Keys that are missing from the first listing of the era, with the time at which they count as deleted.
    missing: BTreeMap<Box<str>, Timestamp>,
}

impl StoreView {
    /// Era to which the known revisions belong.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Begins a listing of all keys, of which `present` exist.
    ///
    /// After a restoration the caller defers the deletion of each missing key with
    /// [`defer_deletion`](Self::defer_deletion), otherwise it passes the deletion to [`record`](Self::record).
    pub fn begin_listing(&mut self, era: Era, revision: Revision, present: BTreeSet<&str>) -> ListingChange {
        let is_restored = era > self.era && self.is_listed;
        (self.era, self.is_listed) = (era, true);
        if is_restored {
            self.restored_at = Some(revision);
            self.revisions.values_mut().for_each(|known| *known = Revision(0));
        }
        let known = self.revisions.keys().filter(|key| !present.contains(&***key));
        let missing = known.filter(|key| !self.missing.contains_key(*key)).cloned().collect();
        ListingChange { is_restored, missing }
    }

    /// Lets a key that is missing from the first listing of an era count as deleted at the time `at`, unless it is written
    /// before.
    pub fn defer_deletion(&mut self, key: &str, at: Timestamp) {
        self.missing.entry(key.into()).or_insert(at);
    }

    /// Removes and returns the keys whose deferred deletion is due, as deletions at the revision of the era's first listing.
    pub fn take_due_deletions(&mut self, now: Timestamp) -> Vec<Entry> {
        let revision = self.restored_at.unwrap_or_default();
        let due = self.missing.extract_if(.., |_, at| now >= *at);
        due.map(|(key, _)| Entry { key, revision, value: None }).collect()
    }

    /// Decides about an entry of the service, and records its revision unless it is withheld or outdated.
    pub fn record(&mut self, now: Timestamp, entry: &Entry) -> Verdict {
        if self.revisions.get(&entry.key).is_some_and(|known| entry.revision < *known) {
            return Verdict::Outdated;
        }
        if entry.value.is_none() {
            self.revisions.remove(&entry.key);
            self.missing.remove(&entry.key);
            return Verdict::Apply;
        }
        let is_copied = self.restored_at.is_some_and(|restored| entry.revision <= restored);
        if is_copied && self.is_withdrawn(now, &entry.key) {
            return Verdict::Withheld;
        }
        self.accept(entry);
        if is_copied { Verdict::Copied } else { Verdict::Apply }
    }

    /// Records that an entry with a value is in effect, also if it was withheld before.
    pub fn accept(&mut self, entry: &Entry) {
        self.revisions.insert(entry.key.clone(), entry.revision);
        self.missing.remove(&entry.key);
        self.withdrawals.remove(&entry.key);
    }

    /// Records that the key of a deleted entry is out of use.
    pub fn record_withdrawal(&mut self, now: Timestamp, key: &str) {
        if self.withdrawals.len() >= MAX_WITHDRAWALS {
            self.drop_oldest_withdrawals(now);
        }
        self.withdrawals.insert(key.into(), now);
    }

    /// Drops the expired withdrawals, or the oldest one if there are none.
    fn drop_oldest_withdrawals(&mut self, now: Timestamp) {
        self.withdrawals.retain(|_, at| now.since(*at) < WITHDRAWAL_RETENTION);
        if self.withdrawals.len() < MAX_WITHDRAWALS {
            return;
        }
        let oldest = self.withdrawals.iter().min_by_key(|(_, at)| **at).map(|(key, _)| key.clone());
        if let Some(oldest) = oldest {
            self.withdrawals.remove(&oldest);
        }
    }

    fn is_withdrawn(&self, now: Timestamp, key: &str) -> bool {
        self.withdrawals.get(key).is_some_and(|at| now.since(*at) < WITHDRAWAL_RETENTION)
    }
}
