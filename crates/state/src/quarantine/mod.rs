//! Isolation and refusal of requests that crash backend servers.
//!
//! Crash evidence is kept per request [`Fingerprint`]. A request with crash evidence runs only through its arbiter, one
//! daemon of the fleet, and alone on a backend server. After [`CRASH_LIMIT`] crashes it is refused for
//! [`REFUSAL_PERIOD`]. It may then run alone again, and a single further crash refuses it again.
//!
//! Daemons exchange [`Evidence`] in messages that may be lost, duplicated and reordered, so the evidence is a
//! state-based CRDT. Each crash is identified by its reporter and a sequence number, and a success records for each
//! reporter the sequence number up to which crashes are cleared. Two states merge by the union of the crashes and the
//! maximum of the cleared numbers, which is idempotent, commutative and associative. A success clears exactly the
//! crashes that were known when its request was started: outdated evidence cannot undo it, and it does not clear
//! evidence that arrived while the request ran.

mod evidence;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rapidhash::v3::rapidhash_v3;

pub use self::evidence::{CrashReport, Evidence, MAX_REPORTERS};
use self::evidence::{MergeEffect, count_crashes, merge_report_sets};
use crate::id::{Fingerprint, Incarnation, NodeId};
use crate::model::Fleet;
use crate::time::Timestamp;

/// Number of crashes, over the whole fleet, after which a fingerprint is refused.
pub const CRASH_LIMIT: usize = 3;

/// Period for which a fingerprint is refused after the crash that reaches [`CRASH_LIMIT`] and after each later crash.
pub const REFUSAL_PERIOD: Duration = Duration::from_secs(600);

/// Retention of evidence after its last change. It is longer than [`REFUSAL_PERIOD`], so that a request that
/// is resent after the refusal gets one attempt instead of [`CRASH_LIMIT`].
pub const EVIDENCE_RETENTION: Duration = Duration::from_secs(1200);

/// Default maximum number of fingerprints for which a daemon keeps evidence.
pub const MAX_FINGERPRINTS: usize = 4_096;

/// Whether and where a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// The request runs without restriction: there is no crash evidence that is not cleared.
    Clear,
    /// The request runs only through the arbiter, alone on an idle backend server.
    RunAlone {
        /// The daemon through which it runs.
        arbiter: NodeId,
    },
    /// The request must not run.
    Refused {
        /// Time at which the refusal ends.
        until: Timestamp,
    },
}

/// The evidence that was known when a request was started, which is the evidence that its success clears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvidenceSnapshot {
    fingerprint: Fingerprint,
    /// For each reporter, the sequence number up to which a success clears crashes.
    clears: Vec<CrashReport>,
}

/// Evidence about one fingerprint.
#[derive(Debug, Clone, Default)]
struct Entry {
    reports: Vec<CrashReport>,
    /// Time of the last change of `reports`.
    changed: Timestamp,
    /// Time at which the refusal ends. `None` if the crash limit is not reached.
    refused_until: Option<Timestamp>,
}

impl Entry {
    /// Merges reports and updates the refusal.
    fn merge(&mut self, now: Timestamp, reports: &[CrashReport]) -> MergeEffect {
        let effect = merge_report_sets(&mut self.reports, reports);
        if effect.changed {
            self.changed = now;
        }
        if count_crashes(&self.reports) < CRASH_LIMIT {
            self.refused_until = None;
        } else if effect.crashes_added {
            self.refused_until = Some(now + REFUSAL_PERIOD);
        }
        effect
    }

    /// Entries with the lowest priority are evicted first when there are too many.
    fn eviction_priority(&self, fingerprint: Fingerprint) -> EvictionPriority {
        let crashes = count_crashes(&self.reports).min(CRASH_LIMIT);
        EvictionPriority { crashes, changed: self.changed, fingerprint }
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        self.changed + EVIDENCE_RETENTION <= now
    }
}

/// Order of eviction: the fewest crashes first, then the oldest change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionPriority {
    crashes: usize,
    changed: Timestamp,
    fingerprint: Fingerprint,
}

/// Crash evidence of one daemon, by fingerprint.
///
/// ```
/// use medlarstair_state::id::{Boot, Fingerprint, Incarnation, NodeId};
/// use medlarstair_state::quarantine::{Quarantine, QuarantineDecision};
/// use medlarstair_state::time::Timestamp;
///
/// let (now, request) = (Timestamp::ZERO, Fingerprint(7));
/// let mut quarantine = Quarantine::new(Incarnation { node: NodeId(1), boot: Boot(1) });
/// assert_eq!(quarantine.check(now, request), QuarantineDecision::Clear);
/// quarantine.on_crash(now, request);
/// assert_eq!(quarantine.check(now, request), QuarantineDecision::RunAlone { arbiter: NodeId(1) });
/// let start = quarantine.start_alone(now, request).unwrap();
/// quarantine.on_success(now, &start);
/// quarantine.finish_alone(request);
/// assert_eq!(quarantine.check(now, request), QuarantineDecision::Clear);
/// ```
#[derive(Debug, Clone)]
pub struct Quarantine {
    me: Incarnation,
    fleet: Vec<NodeId>,
    max_fingerprints: usize,
    /// Sequence number of this daemon's latest crash report, over all fingerprints. It is not reset when evidence is
    /// dropped, so that other daemons cannot mistake a new crash for one that they know.
    sequence: u64,
    entries: BTreeMap<Fingerprint, Entry>,
    by_eviction_priority: BTreeSet<EvictionPriority>,
    /// Fingerprints of the requests that run alone.
    running_alone: BTreeSet<Fingerprint>,
}

impl Quarantine {
    /// Creates an empty quarantine with room for [`MAX_FINGERPRINTS`].
    pub fn new(me: Incarnation) -> Self {
        Self::with_max_fingerprints(me, MAX_FINGERPRINTS)
    }

    /// Creates an empty quarantine with room for `max_fingerprints`.
    pub fn with_max_fingerprints(me: Incarnation, max_fingerprints: usize) -> Self {
        Self {
            me,
            fleet: vec![me.node],
            max_fingerprints,
            sequence: 0,
            entries: BTreeMap::new(),
            by_eviction_priority: BTreeSet::new(),
            running_alone: BTreeSet::new(),
        }
    }

    /// Sets the daemons from which arbiters are selected. If the fleet has no members, this daemon is every request's
    /// arbiter.
    pub fn set_fleet(&mut self, fleet: &Fleet) {
        self.fleet = fleet.members.iter().map(|member| member.node).collect();
        if self.fleet.is_empty() {
            self.fleet.push(self.me.node);
        }
    }

    /// Decides whether and where a request may run.
    pub fn check(&mut self, now: Timestamp, fingerprint: Fingerprint) -> QuarantineDecision {
        match self.unexpired(now, fingerprint) {
            Some(Entry { refused_until: Some(until), .. }) if now < *until => {
                QuarantineDecision::Refused { until: *until }
            }
            Some(entry) if count_crashes(&entry.reports) > 0 => {
                QuarantineDecision::RunAlone { arbiter: self.arbiter(fingerprint) }
            }
            _ => QuarantineDecision::Clear,
        }
    }

    /// Records the evidence that is known about a request. Call it just before the request is started, and pass the
    /// result to [`on_success`](Self::on_success) if the request succeeds.
    pub fn snapshot(&self, now: Timestamp, fingerprint: Fingerprint) -> EvidenceSnapshot {
        let reports = self.unexpired(now, fingerprint).map_or(&[][..], |entry| &entry.reports);
        let mut clears = Vec::new();
        for CrashReport { reporter, crashes, .. } in reports {
            if let Some(&cleared) = crashes.last() {
                clears.push(CrashReport { reporter: *reporter, crashes: Vec::new(), cleared });
            }
        }
        EvidenceSnapshot { fingerprint, clears }
    }

    /// Like [`snapshot`](Self::snapshot), for a request that the arbiter runs alone.
    ///
    /// Returns `None` if another copy of the request is running or the request is refused. Copies run one after the
    /// other, so that several copies sent at the same time do not crash one backend server each. After `Some`, call
    /// [`finish_alone`](Self::finish_alone) when the request has ended in any way, but not before its crash or success
    /// has been reported.
    pub fn start_alone(&mut self, now: Timestamp, fingerprint: Fingerprint) -> Option<EvidenceSnapshot> {
        let refused = matches!(self.check(now, fingerprint), QuarantineDecision::Refused { .. });
        if refused || !self.running_alone.insert(fingerprint) {
            return None;
        }
        Some(self.snapshot(now, fingerprint))
    }

    /// Records the end of a request that ran alone.
    pub fn finish_alone(&mut self, fingerprint: Fingerprint) {
        self.running_alone.remove(&fingerprint);
    }

    /// Records that a backend server crashed while it ran the request. Returns the evidence to send to every daemon.
    pub fn on_crash(&mut self, now: Timestamp, fingerprint: Fingerprint) -> Evidence {
        self.sequence += 1;
        let report = CrashReport { reporter: self.me, crashes: vec![self.sequence], cleared: 0 };
        self.merge_reports(now, fingerprint, &[report]).1
    }

    /// Records that the request succeeded. Returns the evidence to send to every daemon, or `None` if nothing was
    /// cleared.
    pub fn on_success(&mut self, now: Timestamp, snapshot: &EvidenceSnapshot) -> Option<Evidence> {
        if snapshot.clears.is_empty() {
            return None;
        }
        let (effect, evidence) = self.merge_reports(now, snapshot.fingerprint, &snapshot.clears);
        effect.changed.then_some(evidence)
    }

    /// Merges the evidence of another daemon.
    pub fn merge(&mut self, now: Timestamp, evidence: &Evidence) {
        self.merge_reports(now, evidence.fingerprint, &evidence.reports);
    }

    /// The evidence about a request; `None` if there is none. It is sent along with the request to the arbiter, which
    /// may have missed earlier messages.
    pub fn evidence(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<Evidence> {
        let reports = self.unexpired(now, fingerprint)?.reports.clone();
        Some(Evidence { fingerprint, reports })
    }

    /// Drops evidence that is older than [`EVIDENCE_RETENTION`].
    pub fn expire(&mut self, now: Timestamp) {
        let by_eviction_priority = &mut self.by_eviction_priority;
        self.entries.retain(|fingerprint, entry| {
            let expired = entry.is_expired(now);
            if expired {
                by_eviction_priority.remove(&entry.eviction_priority(*fingerprint));
            }
            !expired
        });
    }

    /// Number of fingerprints with evidence, cleared ones included.
    pub fn fingerprint_count(&self) -> usize {
        self.entries.len()
    }

    /// The evidence about a fingerprint, unless its retention has passed.
    fn unexpired(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<&Entry> {
        self.entries.get(&fingerprint).filter(|entry| !entry.is_expired(now))
    }

    /// Merges reports into the evidence about a fingerprint, and returns the effect and the merged evidence. Evicts the
    /// entries with the lowest priority if there are too many.
    fn merge_reports(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        reports: &[CrashReport],
    ) -> (MergeEffect, Evidence) {
        let mut entry = self.entries.remove(&fingerprint).unwrap_or_default();
        self.by_eviction_priority.remove(&entry.eviction_priority(fingerprint));
        if entry.is_expired(now) {
            entry = Entry::default();
        }
        let effect = entry.merge(now, reports);
        let evidence = Evidence { fingerprint, reports: entry.reports.clone() };
        self.by_eviction_priority.insert(entry.eviction_priority(fingerprint));
        self.entries.insert(fingerprint, entry);
        while self.entries.len() > self.max_fingerprints {
            let evicted =
                self.by_eviction_priority.pop_first().expect("every entry has an eviction priority");
            self.entries.remove(&evicted.fingerprint);
        }
        (effect, evidence)
    }

    /// The daemon through which a request with crash evidence runs: the one with the highest rendezvous hash.
    fn arbiter(&self, fingerprint: Fingerprint) -> NodeId {
        let weight = |node: &NodeId| {
            let mut buf = [0; 12];
            buf[..8].copy_from_slice(&fingerprint.0.to_le_bytes());
            buf[8..].copy_from_slice(&node.0.to_le_bytes());
            (rapidhash_v3(&buf), *node)
        };
        self.fleet.iter().copied().max_by_key(weight).expect("the fleet has a member")
    }
}
