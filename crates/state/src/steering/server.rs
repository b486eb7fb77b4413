//! The estimated state of one backend server, as seen by one daemon.
//!
//! Load reports lag: the load in a response is as old as the response, and other daemons send requests in the meantime.
//! The estimate therefore counts the requests of this daemon exactly, and lets the reported load of the other daemons
//! decay towards its mean.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;

use crate::id::{Backend, Domain, Region, Service};
use crate::steering::affinity::{ObjectId, WarmSet, score, server_hash};
use crate::steering::departures::{EntryVersion, is_late_write};
use crate::steering::warmup::WarmupWindow;
use crate::time::Timestamp;

/// Half-life of the weight of a load report.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(200);

/// Weight of a new report in the moving average of the load from other daemons.
const LOAD_MEAN_WEIGHT: f64 = 0.15;

/// Weight of a new response in the latency factor and the failure rate.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Half-life of a deviating latency factor or failure rate without new responses, so that the server is tried again.
const PENALTY_HALF_LIFE: Duration = Duration::from_secs(2);

/// Minimum and maximum of the latency factor.
const LATENCY_FACTOR_RANGE: (f64, f64) = (0.7, 8.0);

/// Backoff after the first connection failure. Doubled with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(300);

/// Maximum backoff after connection failures.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Longest pause that a server can ask for. A longer one is cut to it.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);

/// Maximum fraction of a pause, and maximum time, by which a daemon returns later than asked for, so that the daemons that
/// were told at the same time do not return together.
const PAUSE_SPREAD: (f64, Duration) = (0.1, Duration::from_millis(500));

/// Period after a pause in which a daemon has at most one request at the server, so that the end of a pause is no burst.
const RESUME_WINDOW: Duration = Duration::from_secs(1);

/// Maximum ratio that is accepted in a [`Slowdown`].
const MAX_SLOWDOWN: f64 = 1_000.0;

/// A backend server as listed by the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendEntry {
    /// Identity of the server.
    pub id: Backend,
    /// Service that it belongs to.
    pub service: Service,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: Domain,
    /// Region of the failure domain.
    pub region: Region,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether it is being removed and must not receive new requests.
    pub draining: bool,
    /// Remaining warm-up time. Zero if the server is warm.
    pub cold_left: Duration,
    /// Position of the entry among those of the server, which may restart under the same identity.
    pub version: EntryVersion,
}

/// Duration of work on the machine of a server at one moment, as a ratio to the usual duration.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
pub struct Slowdown(f64);

impl Slowdown {
    /// Returns `None` unless `ratio` is a positive number of at most 1,000. Other ratios are invalid reports.
    ///
    /// ```
    /// use medlarstair_state::steering::Slowdown;
    /// assert_eq!(Slowdown::from_ratio(1.5).unwrap().to_string(), "1.5");
    /// assert_eq!(Slowdown::from_ratio(0.0), None);
    /// ```
    pub fn from_ratio(ratio: f64) -> Option<Self> {
        (ratio > 0.0 && ratio <= MAX_SLOWDOWN).then_some(Self(ratio))
    }
}

/// Load reported by a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Number of requests that the server is running.
    pub running: u32,
    /// Number of requests that are queued at the server.
    pub waiting: u32,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Duration of work on its machine. `None` if not reported.
    pub slowdown: Option<Slowdown>,
}

/// Exponential decay: the fraction of a value that remains after `age`.
fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

/// The estimated state of one backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// The entry from the platform.
    pub entry: BackendEntry,
    /// Objects for which it is assumed to be warm.
    pub warm: WarmSet,
    /// Recent requests from this daemon, for the rate limit of a cold server.
    pub warmup: WarmupWindow,
    hash: u64,
    /// Number of requests from this daemon.
    in_flight: u32,
    /// Number of requests from other daemons at the last load report.
    other_load: f64,
    /// Moving average of `other_load`.
    mean_other_load: f64,
    reported_at: Timestamp,
    /// Latency factor at the time of the last sample.
    latency_factor: f64,
    /// Failure rate at the time of the last sample.
    failure_rate: f64,
    last_sample_at: Timestamp,
    /// Time at which the server becomes warm.
    cold_until: Timestamp,
    /// Whether its warm-up state is known. Unset by connection failures and `mark_unverified`, set by a
    /// successful health check.
    verified: bool,
    probe_in_progress: bool,
    /// Number of connection failures since the last success.
    consecutive_failures: u32,
    backoff_until: Timestamp,
    /// Whether another server was found at its address.
    misdirected: bool,
    /// Whether it announced in a response that it leaves. This holds until it restarts, whatever its entry says.
    leaving: bool,
    /// Time at which the entry was applied.
    listed_at: Timestamp,
    /// End of the pause that the server asked for. `None` if it asked for none since the last one ended.
    paused_until: Option<Timestamp>,
    /// Time at which the last pause ended.
    resumed_at: Option<Timestamp>,
}

impl Server {
    /// The initial state of a server that was just listed.
    pub fn new(entry: BackendEntry, now: Timestamp) -> Self {
        let (hash, cold_until) = (server_hash(&entry.id), now + entry.cold_left);
        Self {
            entry,
            warm: WarmSet::default(),
            warmup: WarmupWindow::default(),
            hash,
            in_flight: 0,
            other_load: 0.0,
            mean_other_load: 0.0,
            reported_at: now,
            latency_factor: 1.0,
            failure_rate: 0.0,
            last_sample_at: now,
            cold_until,
            verified: true,
            probe_in_progress: false,
            consecutive_failures: 0,
            backoff_until: now,
            misdirected: false,
            leaving: false,
            listed_at: now,
            paused_until: None,
            resumed_at: None,
        }
    }

    /// Applies a newer entry. Returns whether the server was restarted. If so, all state except the number of requests
    /// in flight is reset.
    pub fn update(&mut self, entry: BackendEntry, now: Timestamp) -> bool {
        let restarted =
            !self.entry.version.is_same_process(&entry.version) || entry.address != self.entry.address;
        if restarted {
            let in_flight = self.in_flight;
            *self = Self { in_flight, ..Self::new(entry, now) };
            return true;
        }
        if !entry.cold_left.is_zero() {
            self.cold_until = now + entry.cold_left;
            self.warm.clear();
        }
        self.entry = entry;
        self.listed_at = now;
        false
    }

    /// Whether an entry is older than the current one and was written late.
    pub fn is_outdated(&self, entry: &BackendEntry, now: Timestamp) -> bool {
        is_late_write(now, entry, &self.entry.version, self.listed_at)
    }

    /// Begins a pause, or extends it. Returns whether the server was not paused.
    ///
    /// A pause changes neither the objects of the server nor what is known of its health.
    pub fn pause(&mut self, now: Timestamp, duration: Duration) -> bool {
        let duration = duration.min(MAX_PAUSE);
        let unit = score(self.hash, ObjectId(now.0)) as f64 / u64::MAX as f64;
        let spread = duration.mul_f64(PAUSE_SPREAD.0).min(PAUSE_SPREAD.1).mul_f64(unit);
        let was_paused = self.is_paused(now);
        self.paused_until = self.paused_until.max(Some(now + duration + spread));
        !was_paused
    }

    /// Restores the end of a pause from before the removal of the entry.
    pub fn restore_pause(&mut self, until: Option<Timestamp>) {
        self.paused_until = until;
    }

    /// Whether the server is paused.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// End of the last pause. `None` if it was recorded by [`end_pause`](Self::end_pause).
    pub fn paused_until(&self) -> Option<Timestamp> {
        self.paused_until
    }

    /// Ends a pause whose time has passed. Returns whether it did.
    pub fn end_pause(&mut self, now: Timestamp) -> bool {
        let Some(until) = self.paused_until.take_if(|until| now >= *until) else {
            return false;
        };
        self.resumed_at = Some(until);
        true
    }

    /// Whether a pause has just ended and the server has a request of this daemon already.
    pub fn is_resuming_with_request(&self, now: Timestamp) -> bool {
        let resumed_at = self.paused_until.or(self.resumed_at);
        self.in_flight > 0 && resumed_at.is_some_and(|at| now.since(at) < RESUME_WINDOW)
    }

    /// Records that the server announced that it leaves. Returns whether that was not known.
    pub fn mark_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Whether the server has announced in a response that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Hash of the identity, for rendezvous scores.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Number of requests from this daemon that have been sent and have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether requests may be sent to the server, regardless of its load and warm-up.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        !self.entry.draining
            && !self.leaving
            && !self.misdirected
            && now >= self.backoff_until
            && !self.is_paused(now)
    }

    /// Whether the server is cold or may be, so that the rate limit of cold servers applies.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until || !self.verified
    }

    /// Estimated number of requests at the server, including queued ones.
    pub fn occupancy(&self, now: Timestamp) -> f64 {
        let report_weight = decay(now.since(self.reported_at), REPORT_HALF_LIFE);
        f64::from(self.in_flight)
            + self.other_load * report_weight
            + self.mean_other_load * (1.0 - report_weight)
    }

    /// Ratio of its response times to the expected ones. Larger values are slower.
    pub fn latency_factor(&self, now: Timestamp) -> f64 {
        1.0 + (self.latency_factor - 1.0) * self.penalty_weight(now)
    }

    /// Fraction of its recent responses that were failures.
    pub fn failure_rate(&self, now: Timestamp) -> f64 {
        self.failure_rate * self.penalty_weight(now)
    }

    /// Weight of the last latency factor and failure rate, which decreases without new responses.
    fn penalty_weight(&self, now: Timestamp) -> f64 {
        decay(now.since(self.last_sample_at), PENALTY_HALF_LIFE)
    }

    /// Records a request that is sent to the server.
    pub fn record_send(&mut self, now: Timestamp) {
        self.in_flight += 1;
        self.warmup.record_send(now);
    }

    /// Records the end of a request, whatever its outcome.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a load report.
    pub fn record_load(&mut self, now: Timestamp, load: LoadReport) {
        let total = f64::from(load.running) + f64::from(load.waiting);
        self.other_load = (total - f64::from(self.in_flight)).max(0.0);
        self.mean_other_load += (self.other_load - self.mean_other_load) * LOAD_MEAN_WEIGHT;
        self.reported_at = now;
    }

    /// Records a response. `ratio` is the ratio of its time to the expected one, `None` if the time is not meaningful.
    pub fn record_response(&mut self, now: Timestamp, ratio: Option<f64>, ok: bool) {
        let (latency_factor, failure_rate) = (self.latency_factor(now), self.failure_rate(now));
        let ratio = ratio.unwrap_or(latency_factor).clamp(LATENCY_FACTOR_RANGE.0, LATENCY_FACTOR_RANGE.1);
        // A geometric mean, because a single request with exceptionally long work says little about its server.
        self.latency_factor = latency_factor * (ratio / latency_factor).powf(SAMPLE_WEIGHT);
        self.failure_rate = failure_rate + (f64::from(u8::from(!ok)) - failure_rate) * SAMPLE_WEIGHT;
        self.last_sample_at = now;
        self.consecutive_failures = 0;
    }

    /// Records a connection that could not be opened or was lost. Returns whether this is the first failure after a
    /// success.
    pub fn record_connection_failure(&mut self, now: Timestamp) -> bool {
        self.consecutive_failures += 1;
        let backoff = MIN_BACKOFF * (1 << (self.consecutive_failures - 1).min(4));
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.verified = false;
        self.consecutive_failures == 1
    }

    /// Records that another server answered at its address.
    pub fn mark_misdirected(&mut self) {
        self.misdirected = true;
    }

    /// Records that the server may have become cold, so that a health check must confirm its state.
    pub fn mark_unverified(&mut self) {
        self.verified = false;
    }

    /// Whether a health check is due. If so, it is recorded as in progress.
    pub fn start_probe_if_due(&mut self, now: Timestamp) -> bool {
        let due = !self.verified
            && !self.probe_in_progress
            && now >= self.backoff_until
            && !self.entry.draining
            && !self.leaving
            && !self.is_paused(now);
        self.probe_in_progress |= due;
        due
    }

    /// Records the end of a health check. `cold_left` is the remaining warm-up time that the server reported, `None`
    /// if the check failed.
    pub fn record_probe(&mut self, now: Timestamp, cold_left: Option<Duration>) {
        self.probe_in_progress = false;
        let Some(cold_left) = cold_left else {
            self.record_connection_failure(now);
            return;
        };
        self.verified = true;
        self.consecutive_failures = 0;
        self.backoff_until = now;
        if !cold_left.is_zero() {
            self.cold_until = now + cold_left;
            self.warm.clear();
        }
    }
}
