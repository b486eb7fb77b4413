//! What a daemon believes of one backend server.
//!
//! Reports lag: the load that an answer carries is as old as the answer, and other daemons send meanwhile. The estimate
//! counts the daemon's own requests exactly and lets the reported load of the others decay towards its mean.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{Backend, Domain, Region, Service};
use crate::steering::affinity::{WarmSet, server_hash};
use crate::steering::warmup::WarmupWindow;
use crate::time::Timestamp;

/// Time after which a reported load has half its weight.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(200);

/// Weight of a new report in the mean load of the other daemons.
const MEAN_WEIGHT: f64 = 0.15;

/// Weight of a new answer in the pace and in the failure rate.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Time after which a bad pace or failure rate is half forgotten, so that the server is tried again.
const BLAME_HALF_LIFE: Duration = Duration::from_secs(2);

/// Bounds of the pace.
const PACE_RANGE: (f64, f64) = (0.7, 8.0);

/// First pause after a failed connection; doubled with each further one.
const PAUSE_MIN: Duration = Duration::from_millis(300);

/// Longest pause after failed connections.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendEntry {
    /// Identity of this start of the server.
    pub id: Backend,
    /// Service.
    pub service: Service,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    /// Region of the failure domain.
    pub region: Region,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to leave and must get no new requests.
    pub draining: bool,
    /// Time for which it stays cold.
    pub cold_left: Duration,
    /// Start of the server in milliseconds since 1970, if known. The same identity may start again.
    pub started_at_ms: Option<u64>,
}

/// Load that a server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run.
    pub slots: u32,
}

/// Part of a value that is left after `age` if half of it is left after `half_life`.
fn remaining(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

/// What one daemon believes of one server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its entry.
    pub entry: BackendEntry,
    /// Objects for which it is warm.
    pub warm: WarmSet,
    /// Recent requests, for the bound of a cold server.
    pub warmup: WarmupWindow,
    hash: u64,
    own: u32,
    others: f64,
    others_mean: f64,
    reported: Timestamp,
    pace: f64,
    failing: f64,
    blamed: Timestamp,
    cold_until: Timestamp,
    verified: bool,
    probing: bool,
    failures: u32,
    paused_until: Timestamp,
    misdirected: bool,
}

impl Server {
    /// A server that was just listed.
    pub fn new(entry: BackendEntry, now: Timestamp) -> Self {
        let (hash, cold_until) = (server_hash(&entry.id), now + entry.cold_left);
        Self {
            entry,
            warm: WarmSet::default(),
            warmup: WarmupWindow::default(),
            hash,
            own: 0,
            others: 0.0,
            others_mean: 0.0,
            reported: now,
            pace: 1.0,
            failing: 0.0,
            blamed: now,
            cold_until,
            verified: true,
            probing: false,
            failures: 0,
            paused_until: now,
            misdirected: false,
        }
    }

    /// Takes a newer entry. Returns whether the server was started again.
    pub fn update(&mut self, entry: BackendEntry, now: Timestamp) -> bool {
        let restarted =
            entry.started_at_ms != self.entry.started_at_ms || entry.address != self.entry.address;
        if restarted {
            let own = self.own;
            *self = Self { own, ..Self::new(entry, now) };
            return true;
        }
        if !entry.cold_left.is_zero() {
            self.cold_until = now + entry.cold_left;
            self.warm.clear();
        }
        self.entry = entry;
        false
    }

    /// Hash for rendezvous scores.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Requests of this daemon that it handles now.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Whether a request may be sent, apart from load and warm-up.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        !self.entry.draining && !self.misdirected && now >= self.paused_until
    }

    /// Whether the bound of cold servers applies: it is cold, or may be.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until || !self.verified
    }

    /// Requests that it is believed to have, waiting ones included.
    pub fn occupancy(&self, now: Timestamp) -> f64 {
        let kept = remaining(now.since(self.reported), REPORT_HALF_LIFE);
        f64::from(self.own) + self.others * kept + self.others_mean * (1.0 - kept)
    }

    /// Time of its work relative to the other servers.
    pub fn pace(&self, now: Timestamp) -> f64 {
        1.0 + (self.pace - 1.0) * self.blame(now)
    }

    /// Part of its recent answers that failed.
    pub fn failing(&self, now: Timestamp) -> f64 {
        self.failing * self.blame(now)
    }

    fn blame(&self, now: Timestamp) -> f64 {
        remaining(now.since(self.blamed), BLAME_HALF_LIFE)
    }

    /// A request is sent to it.
    pub fn sent(&mut self, now: Timestamp) {
        self.own += 1;
        self.warmup.sent(now);
    }

    /// A request that was sent has ended.
    pub fn ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// It reported its load.
    pub fn report(&mut self, now: Timestamp, load: LoadReport) {
        let all = f64::from(load.running + load.waiting);
        self.others = (all - f64::from(self.own)).max(0.0);
        self.others_mean += (self.others - self.others_mean) * MEAN_WEIGHT;
        self.reported = now;
    }

    /// It answered, `ratio` times as late as expected.
    pub fn answered(&mut self, now: Timestamp, ratio: Option<f64>, ok: bool) {
        let (pace, failing) = (self.pace(now), self.failing(now));
        let ratio = ratio.unwrap_or(pace).clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.pace = pace + (ratio - pace) * SAMPLE_WEIGHT;
        self.failing = failing + (f64::from(u8::from(!ok)) - failing) * SAMPLE_WEIGHT;
        self.blamed = now;
        self.failures = 0;
    }

    /// A connection could not be opened, or broke. Returns whether this is the first failure after a success.
    pub fn failed(&mut self, now: Timestamp) -> bool {
        self.failures += 1;
        let pause = PAUSE_MIN * (1 << (self.failures - 1).min(4));
        self.paused_until = now + pause.min(PAUSE_MAX);
        self.verified = false;
        self.failures == 1
    }

    /// Another server answered at its address.
    pub fn misdirected(&mut self) {
        self.misdirected = true;
    }

    /// It may have become cold without notice.
    pub fn mark_unverified(&mut self) {
        self.verified = false;
    }

    /// Whether a health check is due. The check is then taken to be under way.
    pub fn take_probe(&mut self, now: Timestamp) -> bool {
        let due = !self.verified && !self.probing && now >= self.paused_until && !self.entry.draining;
        self.probing |= due;
        due
    }

    /// A health check ended; `cold_left` is what it told, `None` without a good answer.
    pub fn probed(&mut self, now: Timestamp, cold_left: Option<Duration>) {
        self.probing = false;
        let Some(cold_left) = cold_left else {
            self.failed(now);
            return;
        };
        self.verified = true;
        self.failures = 0;
        self.paused_until = now;
        if !cold_left.is_zero() {
            self.cold_until = now + cold_left;
            self.warm.clear();
        }
    }
}
