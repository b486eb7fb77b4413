//! Outages of the key-value service, and the deletions that may result from them.
//!
//! During an outage, the entries of running servers may expire. Whether a deletion dates from the outage is decided by its
//! revision: the first complete response after the outage has the revision of the service at that time, and what is deleted
//! later is in effect at once, because a server that leaves without notice must receive no new requests.

use std::time::Duration;

use medlarstair_state::id::Revision;
use medlarstair_state::time::Timestamp;
use serde::{Deserialize, Serialize};

/// Duration of an outage below which no entry expires, because the service waits for several missed renewals. A call that was
/// cut off and repeated is thus no outage.
const MIN_OUTAGE: Duration = Duration::from_millis(2_000);

/// Period after an outage in which entries still expire, because their servers could not renew them during the outage.
const EXPIRY_WINDOW: Duration = Duration::from_millis(300);

/// Grace period after an outage in which a running server restores its entry.
pub const ENTRY_RESTORE_GRACE_PERIOD: Duration = Duration::from_millis(2_200);

/// Availability of the service, as this daemon has observed it.
#[derive(Debug, Clone, Copy, Default)]
enum State {
    /// No call has failed since the start.
    #[default]
    Available,
    /// Calls have been failing since the last response, at this time.
    Unavailable { since: Timestamp },
    /// An outage ended at the time `at`, when the service had this revision.
    Recovered { at: Timestamp, revision: Revision, lasted: Duration },
}

/// An outage that has ended recently, as one daemon reports it to others. Times are relative, since clocks differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageReport {
    /// Time since the end of the outage.
    pub ended_ago: Duration,
    /// Duration of the outage.
    pub lasted: Duration,
    /// Revision of the service at the end of the outage.
    pub revision: Revision,
}

/// The current or last outage of the key-value service.
///
/// ```
/// use std::time::Duration;
/// use medlarstair_gateway::store_outage::StoreOutage;
/// use medlarstair_state::id::Revision;
/// use medlarstair_state::time::Timestamp;
/// let (before, recovered) = (Timestamp::from_millis(1_000), Timestamp::from_millis(9_000));
/// let mut outage = StoreOutage::default();
/// outage.record_success(before, Revision(40));
/// outage.record_failure();
/// outage.record_success(recovered, Revision(70));
/// // A deletion during the outage is deferred, a later one is not.
/// assert!(outage.removal_time(recovered, Revision(69)) > recovered);
/// let later = recovered + Duration::from_secs(1);
/// assert_eq!(outage.removal_time(later, Revision(71)), later);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreOutage {
    state: State,
    /// Time of the last response before any failure.
    last_response: Timestamp,
}

impl StoreOutage {
    /// Records that a call failed, which begins or continues an outage.
    pub fn record_failure(&mut self) {
        if !self.is_ongoing() {
            self.state = State::Unavailable { since: self.last_response };
        }
    }

    /// Records a response at the time `at` that does not tell the revision of the service, to this daemon or to its relay. It
    /// does not end an outage.
    pub fn record_response(&mut self, at: Timestamp) {
        if !self.is_ongoing() {
            self.last_response = self.last_response.max(at);
        }
    }

    /// Time of the last response before any failure.
    pub fn last_response(&self) -> Timestamp {
        self.last_response
    }

    /// Records a response with all changes up to `revision`, which ends an outage.
    pub fn record_success(&mut self, now: Timestamp, revision: Revision) {
        self.last_response = now;
        if let State::Unavailable { since } = self.state {
            self.state = State::Recovered { at: now, revision, lasted: now.since(since) };
        }
    }

    /// Records the first response after a restoration of the service from an older copy. The leases of running servers may
    /// have been lost with it, as in an outage.
    pub fn record_restoration(&mut self, now: Timestamp, revision: Revision) {
        self.last_response = now;
        self.state = State::Recovered { at: now, revision, lasted: MIN_OUTAGE };
    }

    /// The last outage, if entries that expired in it may still be restored.
    pub fn recent(&self, now: Timestamp) -> Option<OutageReport> {
        let State::Recovered { at, revision, lasted } = self.state else {
            return None;
        };
        let ended_ago = now.since(at);
        let is_recent = lasted >= MIN_OUTAGE && ended_ago < ENTRY_RESTORE_GRACE_PERIOD;
        is_recent.then_some(OutageReport { ended_ago, lasted, revision })
    }

    /// Records an outage that another daemon has observed, unless this one observes or has observed one itself.
    pub fn record_report(&mut self, now: Timestamp, report: OutageReport) {
        if self.is_ongoing() || self.recent(now).is_some() {
            return;
        }
        let OutageReport { ended_ago, lasted, revision } = report;
        self.state = State::Recovered { at: now - ended_ago, revision, lasted };
    }

    /// Whether calls have failed without a complete response since.
    pub fn is_ongoing(&self) -> bool {
        matches!(self.state, State::Unavailable { .. })
    }

    /// Time at which a server is removed whose entry was deleted at the given revision, unless the entry is restored. This
    /// is `now` if the deletion is not a result of an outage.
    pub fn removal_time(&self, now: Timestamp, deleted: Revision) -> Timestamp {
        match self.state {
            State::Unavailable { since } if now.since(since) >= MIN_OUTAGE => {
                now + ENTRY_RESTORE_GRACE_PERIOD
            }
            State::Recovered { at, revision, lasted }
                if lasted >= MIN_OUTAGE && (deleted <= revision || now.since(at) < EXPIRY_WINDOW) =>
            {
                now.max(at + ENTRY_RESTORE_GRACE_PERIOD)
            }
            _ => now,
        }
    }
}
