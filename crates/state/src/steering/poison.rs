//! Refuses requests that crash the servers which run them.
//!
//! A request is suspected if the connection to its server is lost before a response. The crash of one server fails all
//! requests that it is running, so the number of distinct servers is counted. It includes servers reported by other
//! daemons, because a client may send its request to any daemon. After a few servers, further copies of the
//! request are refused without being run. A response clears the request.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Timestamp;

/// Number of servers, over all daemons, that must have crashed during a request for it to be refused.
const CRASHED_SERVER_THRESHOLD: usize = 3;

/// Retention of a crash. Older crashes do not count.
const CRASH_RETENTION: Duration = Duration::from_secs(120);

/// Maximum number of fingerprints with recorded crashes.
const MAX_FINGERPRINTS: usize = 4_096;

/// Maximum number of crashes that a daemon reports to the others. The latest ones are reported.
const MAX_REPORTED_CRASHES: usize = 64;

/// Hash of the parts that identify a request: method, host, path, body and, if the client names one, the object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// A request during which the connection to a server was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Hash of the server's identity.
    pub server: u64,
}

#[derive(Debug, Clone, Copy)]
struct CrashRecord {
    server: u64,
    at: Timestamp,
    /// Whether this daemon observed the crash. Otherwise another daemon reported it.
    is_local: bool,
}

/// Recent crashes, by request.
#[derive(Debug, Clone, Default)]
pub struct PoisonList {
    records: BTreeMap<Fingerprint, Vec<CrashRecord>>,
}

impl PoisonList {
    /// Whether the request must be refused.
    pub fn refuses(&self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let Some(crashes) = self.records.get(&fingerprint) else {
            return false;
        };
        crashes.iter().filter(|c| is_recent(now, c)).count() >= CRASHED_SERVER_THRESHOLD
    }

    /// Records that the connection to a server was lost while it ran a request of this daemon.
    pub fn record_crash(&mut self, now: Timestamp, crash: Crash) {
        self.add(now, crash, true);
    }

    /// Records crashes that another daemon reports.
    pub fn record_remote_crashes(&mut self, now: Timestamp, crashes: &[Crash]) {
        for crash in crashes {
            self.add(now, *crash, false);
        }
    }

    /// The latest crashes that this daemon observed, latest first, to be reported to the other daemons.
    pub fn recent_crashes(&self, now: Timestamp) -> Vec<Crash> {
        let mut local: Vec<(Timestamp, Crash)> = Vec::new();
        for (fingerprint, crashes) in &self.records {
            let recent = crashes.iter().filter(|c| c.is_local && is_recent(now, c));
            local.extend(recent.map(|c| (c.at, Crash { fingerprint: *fingerprint, server: c.server })));
        }
        local.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        local.into_iter().take(MAX_REPORTED_CRASHES).map(|(_, crash)| crash).collect()
    }

    /// Clears a request that was answered.
    pub fn record_response(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    /// Adds a crash unless one of the same server is known. If there are too many fingerprints, evicts a new one first.
    fn add(&mut self, now: Timestamp, crash: Crash, is_local: bool) {
        if self.records.len() >= MAX_FINGERPRINTS && !self.records.contains_key(&crash.fingerprint) {
            self.evict(now);
        }
        let crashes = self.records.entry(crash.fingerprint).or_default();
        crashes.retain(|c| is_recent(now, c));
        if !crashes.iter().any(|c| c.server == crash.server) {
            crashes.push(CrashRecord { server: crash.server, at: now, is_local });
        }
    }

    /// Removes fingerprints without recent crashes or, if there are none, the one with the fewest crashed servers and, among
    /// these, the oldest crash. Many distinct requests therefore do not displace a request that is refused.
    fn evict(&mut self, now: Timestamp) {
        self.records.retain(|_, crashes| crashes.iter().any(|c| is_recent(now, c)));
        if self.records.len() < MAX_FINGERPRINTS {
            return;
        }
        let rank = |crashes: &[CrashRecord]| (crashes.len(), crashes.iter().map(|c| c.at).max());
        let evicted = self.records.iter().min_by_key(|(_, crashes)| rank(crashes)).map(|(f, _)| *f);
        if let Some(evicted) = evicted {
            self.records.remove(&evicted);
        }
    }
}

fn is_recent(now: Timestamp, record: &CrashRecord) -> bool {
    now.since(record.at) < CRASH_RETENTION
}
