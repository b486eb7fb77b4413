//! Load balancing over the backend servers of a service.
//!
//! Each service has its own [`BackendSelector`].
//!
//! # Availability
//!
//! A server that is being removed, according to a drain, its own load report or the VM list, gets no new work. The
//! same applies while its circuit breaker is open: five consecutive connect failures open the circuit for 1 s, and
//! each failed trial doubles this time up to 30 s. After that time, one trial request at a time is allowed.
//!
//! A server that is new to this daemon, has a new boot id or was unreachable goes through slow start: it gets one
//! request at a time, and the limit doubles with each second in which requests succeed, until all slots are allowed.
//!
//! # Order of preference
//!
//! Servers in the daemon's own region are preferred; those of other regions are used only if no server in the own
//! region can take the request. The server to avoid, normally the one of the failed attempt, is the last resort.
//! The [`Policy`] chooses among equally preferred servers.
//!
//! # Load reports
//!
//! The daemon's own observations take precedence over load reports. A report can divert work from a server but cannot
//! entitle it to any: the number of requests is bounded by the slots that the caller passes in, a report of an idle
//! server does not lower the cost that results from own requests, latency and errors, and a report older than 3 s is
//! ignored. Only the draining state outlasts this time: it holds until a recent report of the server ends it.
//!
//! # Outlier ejection
//!
//! Errors are often fast, so a failing server has few requests in flight and would attract work. Therefore the cost
//! is multiplied by a factor that grows with the recent error rate, error responses do not lower the mean latency, and
//! a server that fails while most servers do not gets only one trial request per second. If most servers fail, the
//! requests are the probable cause, and no server is ejected.
//!
//! # Use
//!
//! For each server returned by [`BackendSelector::select`], the caller must call [`BackendSelector::on_attempt_end`]
//! once, with [`AttemptEnd::Cancelled`] if the request was not sent.

mod circuit;
mod policy;
mod server;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use self::circuit::SlowStart;
pub use self::policy::{CandidateStats, LeastReportedLoad, Policy, Random, RoundRobin, TwoChoices};
use self::server::{FAILING_ERROR_RATE, Server};
use crate::id::Backend;
use crate::model::{BackendSpec, DrainScope};
use crate::time::Timestamp;

/// Interval at which the medians of a service are recomputed.
const MEDIAN_INTERVAL: Duration = Duration::from_millis(100);

/// Load report of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Changes when the server restarts.
    pub boot: u64,
    /// Number of requests that the server is running.
    pub in_use: u32,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether the server asks for no new work.
    pub draining: bool,
    /// Age of the report when it was received.
    pub age: Duration,
}

/// How an attempt to run a request on a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The server returned a complete response.
    Ran {
        /// Time from dispatch to the complete response.
        latency: Duration,
    },
    /// The server returned an error response that it caused itself.
    ServerError {
        /// Time from dispatch to the complete response.
        latency: Duration,
    },
    /// The server refused the request because of its load.
    Shed,
    /// No connection could be established.
    NotConnected,
    /// The connection was lost after request bytes had been sent.
    Broken,
    /// No complete response arrived before the deadline.
    TimedOut,
    /// The caller disconnected, or the request was not sent.
    Cancelled,
}

/// A backend server to which a request could be sent.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the server.
    pub backend: &'a Backend,
    /// Usable slots that are not in use by this daemon.
    pub free: u32,
    /// Slots that this daemon may use, including those in use.
    pub usable: u32,
    /// Whether the server is in the daemon's own region.
    pub same_region: bool,
}

/// Selects backend servers for the requests of one service, from what this daemon has observed.
///
/// ```
/// use medlarstair_state::id::Backend;
/// use medlarstair_state::model::{BackendSpec, Slots};
/// use medlarstair_state::routing::{Candidate, BackendSelector};
/// use medlarstair_state::time::Timestamp;
/// use rand::SeedableRng;
///
/// let name: Backend = "desk-1".parse().unwrap();
/// let spec = BackendSpec {
///     name: name.clone(),
///     region: "muscat".parse().unwrap(),
///     domain: "muscat-1".parse().unwrap(),
///     address: "127.0.0.1:9000".parse().unwrap(),
///     slots: Slots(3),
/// };
/// let now = Timestamp::from_millis(1000);
/// let mut routing = BackendSelector::new();
/// routing.set_backends(now, &[spec]);
/// assert!(routing.accepts(now, &name));
/// assert_eq!(routing.slot_cap(now, &name), 1);
///
/// let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
/// let candidate = Candidate { backend: &name, free: 3, usable: 3, same_region: true };
/// assert_eq!(routing.select(now, &mut rng, &[candidate], None), Some(&name));
/// ```
#[derive(Debug, Clone)]
pub struct BackendSelector<P = TwoChoices> {
    servers: BTreeMap<Backend, Server>,
    drains: BTreeSet<DrainScope>,
    leaving: BTreeSet<Backend>,
    policy: P,
    /// Median over the servers of the mean latency, in seconds.
    median_latency: f64,
    /// Median over the servers of the error rate, 0 to 1.
    median_error_rate: f64,
    medians_updated: Option<Timestamp>,
    /// Buffer that is reused between calls of `select`.
    stats_buffer: Vec<CandidateStats>,
}

impl BackendSelector {
    /// Creates a selector without servers that uses the policy [`TwoChoices`].
    pub fn new() -> Self {
        Self::with_policy(TwoChoices)
    }
}

impl Default for BackendSelector {
    fn default() -> Self {
        Self::new()
    }
}

impl<P: Policy> BackendSelector<P> {
    /// Creates a selector without servers that uses `policy`.
    pub fn with_policy(policy: P) -> Self {
        Self {
            servers: BTreeMap::new(),
            drains: BTreeSet::new(),
            leaving: BTreeSet::new(),
            policy,
            median_latency: 0.0,
            median_error_rate: 0.0,
            medians_updated: None,
            stats_buffer: Vec::new(),
        }
    }

    /// Sets the servers of the service. Servers that are new or have a new address begin with slow start.
    pub fn set_backends(&mut self, now: Timestamp, specs: &[BackendSpec]) {
        let mut known = std::mem::take(&mut self.servers);
        for spec in specs {
            let server = match known.remove(&spec.name) {
                Some(mut server) if server.spec.address == spec.address => {
                    server.spec = spec.clone();
                    server
                }
                _ => Server::new(now, spec.clone()),
            };
            self.servers.insert(spec.name.clone(), server);
        }
        self.update_out_of_service();
    }

    /// Sets the active drains.
    pub fn set_drains(&mut self, drains: &BTreeSet<DrainScope>) {
        self.drains.clone_from(drains);
        self.update_out_of_service();
    }

    /// Sets the servers that are about to be removed according to the VM list.
    pub fn set_leaving(&mut self, vm_list: &BTreeSet<Backend>) {
        self.leaving.clone_from(vm_list);
        self.update_out_of_service();
    }

    /// Recomputes which servers are out of service because of a drain or the VM list.
    fn update_out_of_service(&mut self) {
        for (name, server) in &mut self.servers {
            let spec = &server.spec;
            server.out_of_service = self.leaving.contains(name)
                || self.drains.iter().any(|drain| match drain {
                    DrainScope::Backend(backend) => backend == name,
                    DrainScope::Domain(domain) => *domain == spec.domain,
                    DrainScope::Region(region) => *region == spec.region,
                });
        }
    }

    /// Whether the server may get new work: it is known and not being removed, and its circuit is closed or due for a
    /// trial.
    pub fn accepts(&self, now: Timestamp, backend: &Backend) -> bool {
        self.servers.get(backend).is_some_and(|server| server.accepts(now))
    }

    /// Number of requests that this daemon may run on the server concurrently during slow start; `u32::MAX` after slow
    /// start and 0 for a server that gets no new work.
    pub fn slot_cap(&self, now: Timestamp, backend: &Backend) -> u32 {
        self.servers.get(backend).filter(|s| s.accepts(now)).map_or(0, Server::slot_cap)
    }

    /// Selects one of the `candidates` for a request. `None` if none of them can take it now.
    ///
    /// `avoid` is selected only if no other server can take the request.
    pub fn select<'a>(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        candidates: &[Candidate<'a>],
        avoid: Option<&Backend>,
    ) -> Option<&'a Backend> {
        if self.medians_updated.is_none_or(|updated| now.since(updated) >= MEDIAN_INTERVAL) {
            self.update_medians(now);
        }
        let mut stats = std::mem::take(&mut self.stats_buffer);
        stats.clear();
        let mut best_tier = u8::MAX;
        for (index, candidate) in candidates.iter().enumerate() {
            let tier = 2 * u8::from(avoid == Some(candidate.backend)) + u8::from(!candidate.same_region);
            if tier > best_tier {
                continue;
            }
            let Some(candidate_stats) = self.stats(now, index, candidate) else { continue };
            if tier < best_tier {
                stats.clear();
                best_tier = tier;
            }
            stats.push(candidate_stats);
        }
        let selected = if stats.is_empty() {
            None
        } else {
            let chosen = self.policy.choose(rng, &stats);
            Some(candidates[stats[chosen].index].backend)
        };
        self.stats_buffer = stats;
        if let Some(server) = selected.and_then(|name| self.servers.get_mut(name)) {
            server.on_select(now);
        }
        selected
    }

    /// Statistics of a candidate; `None` if it cannot take the request.
    fn stats(&self, now: Timestamp, index: usize, candidate: &Candidate<'_>) -> Option<CandidateStats> {
        if candidate.free == 0 {
            return None;
        }
        let server = self.servers.get(candidate.backend)?;
        let in_flight = candidate.usable.saturating_sub(candidate.free);
        if !server.accepts(now) || in_flight >= server.slot_cap() {
            return None;
        }
        let error_rate = server.error_rate(now);
        if self.is_outlier(error_rate) && server.selected_recently(now) {
            return None;
        }
        Some(CandidateStats {
            index,
            in_flight,
            usable: candidate.usable,
            reported_load: server.reported_load(now),
            relative_latency: server.relative_latency(now, self.median_latency),
            error_rate,
        })
    }

    /// Whether a server with this error rate fails while most servers do not.
    fn is_outlier(&self, error_rate: f64) -> bool {
        P::EJECTS_OUTLIERS
            && error_rate > FAILING_ERROR_RATE
            && self.median_error_rate < FAILING_ERROR_RATE / 2.0
    }

    /// Records the end of an attempt. Unknown servers are ignored.
    pub fn on_attempt_end(&mut self, now: Timestamp, backend: &Backend, end: &AttemptEnd) {
        let Some(server) = self.servers.get_mut(backend) else { return };
        server.on_attempt_end(now, end, self.median_latency);
        let error_rate = server.error_rate(now);
        if error_rate <= FAILING_ERROR_RATE {
            return;
        }
        // With an outdated median, all servers would count as outliers for a moment when they begin to fail together.
        self.update_medians(now);
        if self.is_outlier(error_rate)
            && let Some(server) = self.servers.get_mut(backend)
        {
            server.slow_start = SlowStart::INITIAL;
        }
    }

    /// Records a load report. Reports may arrive late and out of order.
    pub fn on_report(&mut self, now: Timestamp, backend: &Backend, report: &LoadReport) {
        if let Some(server) = self.servers.get_mut(backend) {
            server.on_report(now, report);
        }
    }

    fn update_medians(&mut self, now: Timestamp) {
        self.medians_updated = Some(now);
        self.median_latency = median(self.servers.values().filter_map(|s| s.mean_latency).collect());
        self.median_error_rate = median(self.servers.values().map(|s| s.error_rate(now)).collect());
    }
}

/// Returns the lower median, or 0 if there are no values.
fn median(mut values: Vec<f64>) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let middle = (values.len() - 1) / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}
