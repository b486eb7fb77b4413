//! Requests that crash backend servers.
//!
//! Crash evidence about a request is kept per [`Fingerprint`]. A fingerprint with evidence runs alone and only through
//! its arbiter, one daemon of the fleet; after [`CRASH_LIMIT`] crashes it is refused for [`REFUSAL_PERIOD`]. Once that time
//! is over it may run alone again, and a single further crash refuses it again.
//!
//! Daemons exchange [`Evidence`] by messages that are lost, repeated and reordered. Each crash is identified by its
//! reporter and a sequence number, and a success records per reporter up to which number crashes are cleared. Two
//! states merge by the union of the crashes and the maximum of the cleared numbers, which is idempotent, commutative
//! and associative. A success clears exactly the crashes that were known when its request was started: stale evidence
//! cannot undo it, and it does not clear evidence that arrived while the request ran.

mod evidence;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rapidhash::v3::rapidhash_v3;

use self::evidence::{Change, count_crashes, join_reports};
pub use self::evidence::{CrashReport, Evidence, MAX_REPORTERS};
use crate::id::{Fingerprint, Incarnation, NodeId};
use crate::model::Fleet;
use crate::time::Timestamp;

/// Crashes over the fleet after which a fingerprint is refused.
pub const CRASH_LIMIT: usize = 3;

/// Time for which a fingerprint is refused after the crash that reached the limit, and after each later one.
pub const REFUSAL_PERIOD: Duration = Duration::from_secs(600);

/// Time for which evidence is kept after its last change. It is longer than [`REFUSAL_PERIOD`], so that a request that is
/// resent when the refusal ends gets one trial instead of [`CRASH_LIMIT`].
pub const EVIDENCE_RETENTION: Duration = Duration::from_secs(1200);

/// Most fingerprints with evidence that a daemon keeps.
pub const MAX_FINGERPRINTS: usize = 4_096;

/// Whether and how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// There is no evidence against it.
    Clear,
    /// It runs through the arbiter only, alone on an idle backend server.
    RunAlone {
        /// The daemon that runs it.
        arbiter: NodeId,
    },
    /// It is refused as not run.
    Refused {
        /// When it may be tried again.
        until: Timestamp,
    },
}

/// The evidence that was known when a request was started. A success clears this evidence and no other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvidenceSnapshot {
    fingerprint: Fingerprint,
    clears: Vec<CrashReport>,
}

#[derive(Debug, Clone, Default)]
struct Entry {
    reports: Vec<CrashReport>,
    changed: Timestamp,
    refused_until: Option<Timestamp>,
}

impl Entry {
    fn join(&mut self, now: Timestamp, reports: &[CrashReport]) -> Change {
        let change = join_reports(&mut self.reports, reports);
        if change.any {
            self.changed = now;
        }
        if count_crashes(&self.reports) < CRASH_LIMIT {
            self.refused_until = None;
        } else if change.crashed {
            self.refused_until = Some(now + REFUSAL_PERIOD);
        }
        change
    }

    /// Entries with the lowest value are dropped first when memory is short.
    fn worth(&self, fingerprint: Fingerprint) -> Worth {
        let crashes = count_crashes(&self.reports).min(CRASH_LIMIT);
        Worth { crashes, changed: self.changed, fingerprint }
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        self.changed + EVIDENCE_RETENTION <= now
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Worth {
    crashes: usize,
    changed: Timestamp,
    fingerprint: Fingerprint,
}

/// Crash evidence by fingerprint.
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
    /// Sequence number of this daemon's latest report, over all fingerprints. It goes up even when evidence is
    /// dropped in between, so a new crash is never taken for one that other daemons know already.
    sequence: u64,
    entries: BTreeMap<Fingerprint, Entry>,
    by_worth: BTreeSet<Worth>,
    alone: BTreeSet<Fingerprint>,
}

impl Quarantine {
    /// No evidence, with room for [`MAX_FINGERPRINTS`].
    pub fn new(me: Incarnation) -> Self {
        Self::with_max_fingerprints(me, MAX_FINGERPRINTS)
    }

    /// No evidence, with room for `max_fingerprints`.
    pub fn with_max_fingerprints(me: Incarnation, max_fingerprints: usize) -> Self {
        Self {
            me,
            fleet: vec![me.node],
            max_fingerprints,
            sequence: 0,
            entries: BTreeMap::new(),
            by_worth: BTreeSet::new(),
            alone: BTreeSet::new(),
        }
    }

    /// Sets the daemons among which arbiters are chosen. Without members, this daemon is the arbiter.
    pub fn set_fleet(&mut self, fleet: &Fleet) {
        self.fleet = fleet.members.iter().map(|member| member.node).collect();
        if self.fleet.is_empty() {
            self.fleet.push(self.me.node);
        }
    }

    /// Decides whether and how a request may run.
    pub fn check(&mut self, now: Timestamp, f: Fingerprint) -> QuarantineDecision {
        match self.live(now, f) {
            Some(Entry { refused_until: Some(until), .. }) if now < *until => {
                QuarantineDecision::Refused { until: *until }
            }
            Some(entry) if count_crashes(&entry.reports) > 0 => {
                QuarantineDecision::RunAlone { arbiter: self.arbiter(f) }
            }
            _ => QuarantineDecision::Clear,
        }
    }

    /// Notes what is known about a request just before it is started. Keep the result until the request ends.
    pub fn snapshot(&self, now: Timestamp, f: Fingerprint) -> EvidenceSnapshot {
        let reports = self.live(now, f).map_or(&[][..], |entry| &entry.reports);
        let mut clears = Vec::new();
        for CrashReport { reporter, crashes, .. } in reports {
            if let Some(&cleared) = crashes.last() {
                clears.push(CrashReport { reporter: *reporter, crashes: Vec::new(), cleared });
            }
        }
        EvidenceSnapshot { fingerprint: f, clears }
    }

    /// Like [`snapshot`](Self::snapshot) for a request that runs alone, at the arbiter. `None` if another copy runs, or if
    /// the request is refused by now: each copy waits for the end of the one before, so that copies that are sent
    /// together do not crash a backend server each. After `Some`, call [`finish_alone`](Self::finish_alone) when the
    /// request has ended in any way, after its crash or success was reported.
    pub fn start_alone(&mut self, now: Timestamp, f: Fingerprint) -> Option<EvidenceSnapshot> {
        let refused = matches!(self.check(now, f), QuarantineDecision::Refused { .. });
        if refused || !self.alone.insert(f) {
            return None;
        }
        Some(self.snapshot(now, f))
    }

    /// A request that ran alone has ended.
    pub fn finish_alone(&mut self, f: Fingerprint) {
        self.alone.remove(&f);
    }

    /// Notes that a backend server crashed while it ran the request. Returns the evidence to send to every daemon.
    pub fn on_crash(&mut self, now: Timestamp, f: Fingerprint) -> Evidence {
        self.sequence += 1;
        let report = CrashReport { reporter: self.me, crashes: vec![self.sequence], cleared: 0 };
        self.absorb(now, f, &[report]).1
    }

    /// Notes that the request succeeded. Returns the evidence to send to every daemon if anything was cleared.
    pub fn on_success(&mut self, now: Timestamp, start: &EvidenceSnapshot) -> Option<Evidence> {
        if start.clears.is_empty() {
            return None;
        }
        let (change, evidence) = self.absorb(now, start.fingerprint, &start.clears);
        change.any.then_some(evidence)
    }

    /// Takes the evidence of another daemon into account.
    pub fn merge(&mut self, now: Timestamp, evidence: &Evidence) {
        self.absorb(now, evidence.fingerprint, &evidence.reports);
    }

    /// What is known about a request, to send with it to its arbiter, which may have missed earlier messages.
    pub fn evidence(&self, now: Timestamp, f: Fingerprint) -> Option<Evidence> {
        let reports = self.live(now, f)?.reports.clone();
        Some(Evidence { fingerprint: f, reports })
    }

    /// Drops evidence that is past its retention.
    pub fn expire(&mut self, now: Timestamp) {
        let by_worth = &mut self.by_worth;
        self.entries.retain(|f, entry| {
            let expired = entry.is_expired(now);
            if expired {
                by_worth.remove(&entry.worth(*f));
            }
            !expired
        });
    }

    /// Number of fingerprints with evidence, cleared ones included.
    pub fn fingerprint_count(&self) -> usize {
        self.entries.len()
    }

    fn live(&self, now: Timestamp, f: Fingerprint) -> Option<&Entry> {
        self.entries.get(&f).filter(|entry| !entry.is_expired(now))
    }

    fn absorb(&mut self, now: Timestamp, f: Fingerprint, reports: &[CrashReport]) -> (Change, Evidence) {
        let mut entry = self.entries.remove(&f).unwrap_or_default();
        self.by_worth.remove(&entry.worth(f));
        if entry.is_expired(now) {
            entry = Entry::default();
        }
        let change = entry.join(now, reports);
        let evidence = Evidence { fingerprint: f, reports: entry.reports.clone() };
        self.by_worth.insert(entry.worth(f));
        self.entries.insert(f, entry);
        while self.entries.len() > self.max_fingerprints {
            let weakest = self.by_worth.pop_first().expect("every entry is listed by worth");
            self.entries.remove(&weakest.fingerprint);
        }
        (change, evidence)
    }

    /// The daemon that runs a suspected request: the one with the highest rendezvous hash.
    fn arbiter(&self, f: Fingerprint) -> NodeId {
        let weight = |node: &NodeId| {
            let mut buf = [0; 12];
            buf[..8].copy_from_slice(&f.0.to_le_bytes());
            buf[8..].copy_from_slice(&node.0.to_le_bytes());
            (rapidhash_v3(&buf), *node)
        };
        self.fleet.iter().copied().max_by_key(weight).expect("the fleet has a member")
    }
}
