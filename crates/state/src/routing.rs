//! Choice of a backend server. One instance per service.
//!
//! A backend server that leaves, according to a drain, its own report or the VM list, gets no new work, and
//! neither does one whose circuit is open: five consecutive connect failures open it for 1 s, doubled up to
//! 30 s with each failed trial; when the time is over, one trial request at a time is allowed.
//!
//! The own region is preferred; another region is used only if no server of the own one can take the request.
//! The server to avoid, normally that of the failed attempt, is the last resort. Among the rest the
//! [`Policy`] decides.
//!
//! Own observations go before reports. A report can take work away from a server but cannot grant any: the
//! number of requests is bounded by the slots that the caller passes in, a report that claims an idle server
//! leaves the cost of own work, latency and errors as it is, and a report older than 3 s counts as absent.
//! Draining is the exception: it lasts until a recent report of the server says otherwise.
//!
//! A server that is new to this daemon, has a new boot id or was unreachable is cold: one request at a time,
//! twice as many with each second in which requests succeed, until all slots are allowed.
//!
//! Errors are often fast, so a failing server has few requests in flight and would attract work. Therefore
//! the recent part of failed requests multiplies the cost, the latency of errors does not improve the mean,
//! and a server that fails while the majority does not gets one trial request per second. When most servers
//! fail, the requests are the probable cause and no server is held back.
//!
//! Each server that [`BackendSelector::select`] returns is followed by one call of [`BackendSelector::on_attempt_end`], with
//! [`AttemptEnd::Cancelled`] if the request was not sent after all.

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
use self::server::{FAILING, Server};
use crate::id::Backend;
use crate::model::{BackendSpec, DrainScope};
use crate::time::Timestamp;

/// Period after which the medians of the service are computed again.
const MEDIAN_PERIOD: Duration = Duration::from_millis(100);

/// Load that a backend server reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Changes when the server restarts.
    pub boot: u64,
    /// Requests that it runs.
    pub in_use: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// It wants no new work.
    pub draining: bool,
    /// Time since the report was made.
    pub age: Duration,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The server answered.
    Ran {
        /// Time from dispatch to the complete response.
        latency: Duration,
    },
    /// The server answered with an error of its own.
    ServerError {
        /// Time from dispatch to the complete response.
        latency: Duration,
    },
    /// The server refused the request because of its load.
    Shed,
    /// No connection was made.
    NotConnected,
    /// The connection broke after bytes were sent.
    Broken,
    /// No complete response came before the deadline.
    TimedOut,
    /// The caller gave up or the request was not sent.
    Cancelled,
}

/// A backend server that could get the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The server.
    pub backend: &'a Backend,
    /// Slots that this daemon may use now and does not use.
    pub free: u32,
    /// Slots that this daemon may use, those in use included.
    pub usable: u32,
    /// The server is in the daemon's own region.
    pub same_region: bool,
}

/// This daemon's view of the backend servers of one service.
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
    /// Median of the latencies in seconds.
    latency: f64,
    /// Median of the error parts.
    errors: f64,
    medians_at: Option<Timestamp>,
    choices: Vec<CandidateStats>,
}

impl BackendSelector {
    /// Creates a view without servers that takes the better of two choices.
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
    /// Creates a view without servers.
    pub fn with_policy(policy: P) -> Self {
        Self {
            servers: BTreeMap::new(),
            drains: BTreeSet::new(),
            leaving: BTreeSet::new(),
            policy,
            latency: 0.0,
            errors: 0.0,
            medians_at: None,
            choices: Vec::new(),
        }
    }

    /// Sets the servers of the service. One that is new or has a new address starts cold.
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
        self.mark_out();
    }

    /// Sets the drains in force.
    pub fn set_drains(&mut self, drains: &BTreeSet<DrainScope>) {
        self.drains.clone_from(drains);
        self.mark_out();
    }

    /// Sets the servers that the VM list shows as leaving.
    pub fn set_leaving(&mut self, vm_list: &BTreeSet<Backend>) {
        self.leaving.clone_from(vm_list);
        self.mark_out();
    }

    fn mark_out(&mut self) {
        for (name, server) in &mut self.servers {
            let spec = &server.spec;
            server.out = self.leaving.contains(name)
                || self.drains.iter().any(|drain| match drain {
                    DrainScope::Backend(backend) => backend == name,
                    DrainScope::Domain(domain) => *domain == spec.domain,
                    DrainScope::Region(region) => *region == spec.region,
                });
        }
    }

    /// Whether the server may get new work: it is known, does not leave, and its circuit is closed or due for
    /// a trial.
    pub fn accepts(&self, now: Timestamp, backend: &Backend) -> bool {
        self.servers.get(backend).is_some_and(|server| server.accepts(now))
    }

    /// Number of requests that this daemon may run on the server at a time because of slow start; `u32::MAX`
    /// for a warm server and 0 for one that gets no new work.
    pub fn slot_cap(&self, now: Timestamp, backend: &Backend) -> u32 {
        self.servers.get(backend).filter(|s| s.accepts(now)).map_or(0, Server::slot_cap)
    }

    /// Chooses a server for one request among `candidates`. `None` if no server can take it now.
    pub fn select<'a>(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        candidates: &[Candidate<'a>],
        avoid: Option<&Backend>,
    ) -> Option<&'a Backend> {
        if self.medians_at.is_none_or(|at| now.since(at) >= MEDIAN_PERIOD) {
            self.update_medians(now);
        }
        let mut choices = std::mem::take(&mut self.choices);
        choices.clear();
        let mut best = u8::MAX;
        for (index, candidate) in candidates.iter().enumerate() {
            let tier = 2 * u8::from(avoid == Some(candidate.backend)) + u8::from(!candidate.same_region);
            if tier > best {
                continue;
            }
            let Some(choice) = self.choice(now, index, candidate) else { continue };
            if tier < best {
                choices.clear();
                best = tier;
            }
            choices.push(choice);
        }
        let picked = if choices.is_empty() {
            None
        } else {
            let chosen = self.policy.choose(rng, &choices);
            Some(candidates[choices[chosen].index].backend)
        };
        self.choices = choices;
        if let Some(server) = picked.and_then(|name| self.servers.get_mut(name)) {
            server.on_select(now);
        }
        picked
    }

    /// The facts about a candidate; `None` if it cannot take the request.
    fn choice(&self, now: Timestamp, index: usize, candidate: &Candidate<'_>) -> Option<CandidateStats> {
        if candidate.free == 0 {
            return None;
        }
        let server = self.servers.get(candidate.backend)?;
        let in_flight = candidate.usable.saturating_sub(candidate.free);
        if !server.accepts(now) || in_flight >= server.slot_cap() {
            return None;
        }
        let errors = server.errors(now);
        if self.stands_out(errors) && server.tried_recently(now) {
            return None;
        }
        Some(CandidateStats {
            index,
            in_flight,
            usable: candidate.usable,
            reported: server.reported(now),
            latency: server.relative_latency(now, self.latency),
            errors,
        })
    }

    /// Whether a server with this part of errors fails while most servers do not.
    fn stands_out(&self, errors: f64) -> bool {
        P::EJECTS_OUTLIERS && errors > FAILING && self.errors < FAILING / 2.0
    }

    /// Records the end of an attempt.
    pub fn on_attempt_end(&mut self, now: Timestamp, backend: &Backend, end: &AttemptEnd) {
        let Some(server) = self.servers.get_mut(backend) else { return };
        server.on_attempt_end(now, end, self.latency);
        let errors = server.errors(now);
        if errors <= FAILING {
            return;
        }
        // With an old median all servers would stand out for a moment when they begin to fail together.
        self.update_medians(now);
        if self.stands_out(errors)
            && let Some(server) = self.servers.get_mut(backend)
        {
            server.slow_start = SlowStart::COLD;
        }
    }

    /// Records a load report. Reports may arrive late and out of order.
    pub fn on_report(&mut self, now: Timestamp, backend: &Backend, report: &LoadReport) {
        if let Some(server) = self.servers.get_mut(backend) {
            server.on_report(now, report);
        }
    }

    fn update_medians(&mut self, now: Timestamp) {
        self.medians_at = Some(now);
        self.latency = median(self.servers.values().filter_map(|s| s.latency).collect());
        self.errors = median(self.servers.values().map(|s| s.errors(now)).collect());
    }
}

/// The lower median; 0 for no values.
fn median(mut values: Vec<f64>) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let middle = (values.len() - 1) / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}
