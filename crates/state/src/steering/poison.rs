//! Stops requests that crash the servers which run them.
//!
//! A request whose server's connection breaks before any answer is suspected. Its fingerprint is counted; after a few
//! crashes further copies are refused, which is true: they are not run. A success clears the fingerprint.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Timestamp;

/// Crashes at this daemon after which a request is refused. Several daemons may each see some.
const CRASHES_MAX: u32 = 2;

/// Time for which a crash counts.
const MEMORY: Duration = Duration::from_secs(120);

/// Fingerprints that are remembered.
const FINGERPRINTS_MAX: usize = 4_096;

/// Hash of what makes two requests the same: caller, method, path and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

#[derive(Debug, Clone, Copy)]
struct Record {
    crashes: u32,
    last: Timestamp,
}

/// Crash counts by fingerprint.
#[derive(Debug, Clone, Default)]
pub struct PoisonList {
    records: BTreeMap<Fingerprint, Record>,
}

impl PoisonList {
    /// Whether the request is refused.
    pub fn refuses(&self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|r| r.crashes >= CRASHES_MAX && now.since(r.last) < MEMORY)
    }

    /// A server's connection broke while it ran the request.
    pub fn crashed(&mut self, now: Timestamp, fingerprint: Fingerprint) -> u32 {
        if self.records.len() >= FINGERPRINTS_MAX {
            self.records.retain(|_, r| now.since(r.last) < MEMORY);
        }
        if self.records.len() >= FINGERPRINTS_MAX {
            self.records.pop_first();
        }
        let record = self.records.entry(fingerprint).or_insert(Record { crashes: 0, last: now });
        record.crashes += 1;
        record.last = now;
        record.crashes
    }

    /// The request was answered.
    pub fn answered(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }
}
