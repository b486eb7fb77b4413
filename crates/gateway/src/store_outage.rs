//! Outages of the key-value service, and the deletions that may result from them.
//!
//! During an outage, the entries of running servers may expire. Whether a deletion dates from the outage is decided by its
//! revision: the first complete response after the outage has the revision of the service at that time, and what is deleted
//! later is in effect at once, because a server that leaves without notice must receive no new requests.
//!
//! An outage of the service is a period in which no daemon got a response, as far as this one knows. Calls of a single daemon
//! may fail while the service is available to the servers, whose entries then do not expire.

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

/// An outage that has ended.
#[derive(Debug, Clone, Copy)]
struct EndedOutage {
    at: Timestamp,
    /// Revision of the service at the end.
    revision: Revision,
    lasted: Duration,
}

/// A period in which no daemon is known to have got a response.
#[derive(Debug, Clone, Copy)]
struct Silence {
    since: Timestamp,
    until: Timestamp,
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
    /// Whether a call of this daemon has failed since its last complete response.
    is_failing: bool,
    /// Time of the last response to this daemon.
    own_response: Timestamp,
    /// Time of the last response to any daemon of which this one knows.
    known_response: Timestamp,
    /// Longest period without a known response since calls have been failing.
    silence: Duration,
    /// Last period without a known response in which entries may have expired, whether calls failed or hung.
    last_silence: Option<Silence>,
    ended: Option<EndedOutage>,
}

impl StoreOutage {
    /// Records that a call failed, which begins or continues an outage.
    pub fn record_failure(&mut self) {
        if !self.is_failing {
            self.is_failing = true;
            self.silence = Duration::ZERO;
        }
    }

    /// Records a response to this daemon at the time `at` that does not tell the revision of the service. It does not end an
    /// outage.
    pub fn record_response(&mut self, at: Timestamp) {
        self.own_response = self.own_response.max(at);
        self.record_relayed_response(at);
    }

    /// Records that another daemon got a response at the time `at`. The service was available then, although calls of this one
    /// may fail.
    pub fn record_relayed_response(&mut self, at: Timestamp) {
        let silence = at.since(self.known_response);
        if self.is_failing {
            self.silence = self.silence.max(silence);
        }
        if silence >= MIN_OUTAGE {
            self.last_silence = Some(Silence { since: self.known_response, until: at });
        }
        self.known_response = self.known_response.max(at);
    }

    /// Time of the last response to this daemon.
    pub fn last_response(&self) -> Timestamp {
        self.own_response
    }

    /// Records a response with all changes up to `revision`, which ends an outage.
    pub fn record_success(&mut self, now: Timestamp, revision: Revision) {
        self.record_response(now);
        if self.is_failing && self.silence >= MIN_OUTAGE {
            self.ended = Some(EndedOutage { at: now, revision, lasted: self.silence });
        }
        self.is_failing = false;
    }

    /// Records the first response after a restoration of the service from an older copy. The leases of running servers may
    /// have been lost with it, as in an outage.
    pub fn record_restoration(&mut self, now: Timestamp, revision: Revision) {
        self.record_response(now);
        self.is_failing = false;
        self.ended = Some(EndedOutage { at: now, revision, lasted: MIN_OUTAGE });
    }

    /// The last outage, if entries that expired in it may still be restored.
    pub fn recent(&self, now: Timestamp) -> Option<OutageReport> {
        let EndedOutage { at, revision, lasted } = self.ended?;
        let ended_ago = now.since(at);
        (ended_ago < ENTRY_RESTORE_GRACE_PERIOD).then_some(OutageReport { ended_ago, lasted, revision })
    }

    /// Records an outage that another daemon has observed, unless this one knows of a recent one. Only the time in which no
    /// daemon is known to have got a response counts: the other one may have been cut off alone.
    pub fn record_report(&mut self, now: Timestamp, report: OutageReport) {
        if self.recent(now).is_some() {
            return;
        }
        let at = now - report.ended_ago;
        let began = at - report.lasted;
        // This daemon may have got a response at the end of the outage, before the other one did.
        let silences = [self.last_silence, Some(Silence { since: self.known_response, until: at })];
        let shared = silences.into_iter().flatten().map(|s| s.until.min(at).since(s.since.max(began)));
        let lasted = shared.max().unwrap_or_default();
        if lasted < MIN_OUTAGE {
            return;
        }
        self.ended = Some(EndedOutage { at, revision: report.revision, lasted });
        self.known_response = self.known_response.max(at);
        self.silence = Duration::ZERO;
    }

    /// Whether calls of this daemon have failed since its last complete response.
    pub fn is_ongoing(&self) -> bool {
        self.is_failing
    }

    /// Time at which a server is removed whose entry was deleted at the given revision, unless the entry is restored. This
    /// is `now` if the deletion is not a result of an outage.
    pub fn removal_time(&self, now: Timestamp, deleted: Revision) -> Timestamp {
        if self.is_failing && self.silence.max(now.since(self.known_response)) >= MIN_OUTAGE {
            return now + ENTRY_RESTORE_GRACE_PERIOD;
        }
        let Some(EndedOutage { at, revision, .. }) = self.ended else { return now };
        let may_be_expired = deleted <= revision || now.since(at) < EXPIRY_WINDOW;
        if may_be_expired { now.max(at + ENTRY_RESTORE_GRACE_PERIOD) } else { now }
    }
}
