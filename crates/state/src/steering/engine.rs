//! Combines the parts of the load balancing logic.
//!
//! The daemon reports arriving requests, outcomes of sends and entries of the platform, and the engine decides where
//! each request is sent. A request that cannot be served in time is refused immediately, with the time after which
//! capacity is expected. Only requests that are expected to be served in time are queued, and the most urgent ones
//! leave the queue first.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

mod call;
mod estimates;
mod fleet;
mod queue;
mod selection;
mod waiting;

pub use call::{Call, Decision, QueueTicket, Reason, Refusal, SelectedBackend, SendOutcome};
use estimates::{DispatchRate, INITIAL_RUN_SECONDS, MovingAverage, SlotDemand, WorkEstimates};
use fleet::Fleet;
use waiting::WaitingRequests;

use crate::id::{Backend, Domain, Region, Service};
use crate::steering::admission::{AnsweredShares, ValueThreshold};
use crate::steering::affinity::{ObjectId, server_hash};
use crate::steering::departures::Departures;
use crate::steering::home_demand::HomeDemand;
use crate::steering::plan::{Plan, PlanVersion, Priority, Route};
use crate::steering::poison::{Crash, Fingerprint, PoisonList};
use crate::steering::region_shift::RegionShiftLimiter;
use crate::steering::retries::{RetryBudget, RetryLimits};
use crate::steering::retry_after::RetryAfterSchedule;
use crate::steering::round_robin::WeightedRoundRobin;
use crate::steering::server::{BackendEntry, LoadReport, Server};
use crate::time::Timestamp;

/// Retention of an object after its last request. Until it has passed, the object counts as in use.
const OBJECT_RETENTION: Duration = Duration::from_secs(20);

/// Duration of the suspension of the limit on region shifts after a loss of servers or a change of an evacuation.
const SHIFT_LIMIT_SUSPENSION: Duration = Duration::from_secs(4);

/// Window in which lost servers are counted together.
const LOSS_WINDOW: Duration = Duration::from_secs(2);

/// Fraction of the servers of a region whose loss suspends the limit on region shifts. A smaller loss can be
/// compensated within the limit.
const LOSS_FRACTION: f64 = 0.05;

/// Minimum retention of a higher number of daemons in the region, because a daemon that is no longer
/// listed may still send requests.
const DAEMON_COUNT_RETENTION: Duration = Duration::from_secs(60);

/// Minimum timeout of a first attempt, as a fraction of the longest client timeout of the route. A client with a
/// shorter timeout is assumed to retry after a refusal.
const FIRST_ATTEMPT_TIMEOUT_FRACTION: f64 = 0.97;

/// Timeout of a request for which neither the client nor the route sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Latency factor that is recorded for a request that timed out.
const TIMEOUT_LATENCY_FACTOR: f64 = 2.0;

/// Location of the daemon and the limits that it applies.
#[derive(Debug, Clone)]
pub struct SteeringConfig {
    /// Region of the daemon and its clients.
    pub region: Region,
    /// Failure domain of the daemon.
    pub domain: Domain,
    /// Maximum fraction of the traffic that may move between regions from one window to the next.
    pub max_shift: f64,
    /// Limits of the retry budget.
    pub retries: RetryLimits,
    /// Factor by which the request rate of a cold server may exceed the cold rate of its service.
    pub cold_overrun: f64,
    /// Requests per second that a cold server may receive in addition.
    pub cold_slack: f64,
    /// Assumed network round-trip times.
    pub round_trips: RoundTrips,
}

/// Network round-trip times to backend servers, by distance.
#[derive(Debug, Clone, Copy)]
pub struct RoundTrips {
    /// Round trip within the failure domain of the daemon.
    pub same_domain: Duration,
    /// Round trip to another failure domain of the region.
    pub same_region: Duration,
    /// Round trip to another region.
    pub other_region: Duration,
}

impl Default for RoundTrips {
    fn default() -> Self {
        Self {
            same_domain: Duration::from_micros(400),
            same_region: Duration::from_millis(2),
            other_region: Duration::from_millis(40),
        }
    }
}

/// Numbers of daemons in the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonCounts {
    /// Number of all running daemons.
    pub total: usize,
    /// Number of daemons that share the load of the region's clients, including this one. A daemon that is not
    /// advertised to clients counts all daemons of its region, which makes its part of each limit as small as possible.
    pub sharing_load: usize,
}

/// Load, queue and retry state of one service at this daemon.
#[derive(Debug, Clone)]
struct ServiceState {
    /// Moving average of the run time of a request, in seconds.
    run_time: MovingAverage,
    retry_budget: RetryBudget,
    retry_schedule: RetryAfterSchedule,
    queue: WaitingRequests,
    value_threshold: ValueThreshold,
    answered_shares: AnsweredShares,
    /// Time of the latest request for each object in use.
    objects: BTreeMap<ObjectId, Timestamp>,
    demand: BTreeMap<Priority, SlotDemand>,
    /// The share of the demand that is for routes with large responses.
    large_response_demand: SlotDemand,
    home_demand: HomeDemand,
    dispatch_rates: BTreeMap<Priority, DispatchRate>,
}

impl ServiceState {
    /// Average number of slots that the requests of this daemon use.
    fn slots_in_use(&self, now: Timestamp) -> f64 {
        self.demand.values().map(|demand| demand.slots_since_start(now)).sum()
    }

    /// Fraction of the slots in use that requests of routes with large responses use.
    fn large_response_fraction(&self, now: Timestamp) -> f64 {
        let total: f64 = self.demand.values().map(|demand| demand.slots(now)).sum();
        if total <= 0.0 {
            return 0.0;
        }
        (self.large_response_demand.slots(now) / total).min(1.0)
    }

    /// The shortest latency objective of its requests, in seconds.
    fn min_latency_objective(&self) -> f64 {
        let objectives = self.demand.values().map(|demand| demand.latency_objective.as_secs_f64());
        objectives.fold(f64::INFINITY, f64::min).max(0.001)
    }
}

/// The load balancer of a daemon that forwards requests.
#[derive(Debug)]
pub struct Steering {
    cfg: SteeringConfig,
    plan: Option<Rc<Plan>>,
    fleet: Fleet,
    departures: Departures,
    evacuated: BTreeSet<Domain>,
    services: BTreeMap<Service, ServiceState>,
    work_estimates: BTreeMap<Box<str>, WorkEstimates>,
    round_robins: BTreeMap<Box<str>, WeightedRoundRobin>,
    shift_limiter: RegionShiftLimiter,
    shift_limit_suspended_until: Timestamp,
    /// Time and region of the servers that were lost within [`LOSS_WINDOW`].
    losses: Vec<(Timestamp, Region)>,
    poison: PoisonList,
    daemons: usize,
    /// Current number of daemons that share the load of the region's clients.
    sharing_load: usize,
    /// The highest value of `sharing_load` within [`DAEMON_COUNT_RETENTION`].
    max_sharing_load: usize,
    /// Time at which `max_sharing_load` was last confirmed.
    max_sharing_load_at: Timestamp,
    next_ticket: u64,
    /// Servers that may have capacity for a queued request since the queue was last checked.
    changed_servers: BTreeSet<Backend>,
    /// Whether to check all queued requests, not only those that wait for a changed server.
    recheck_all: bool,
}

impl Steering {
    /// Creates the load balancer of a daemon without a configuration.
    pub fn new(cfg: SteeringConfig) -> Self {
        Self {
            cfg,
            plan: None,
            fleet: Fleet::default(),
            departures: Departures::default(),
            evacuated: BTreeSet::new(),
            services: BTreeMap::new(),
            work_estimates: BTreeMap::new(),
            round_robins: BTreeMap::new(),
            shift_limiter: RegionShiftLimiter::default(),
            shift_limit_suspended_until: Timestamp::ZERO,
            losses: Vec::new(),
            poison: PoisonList::default(),
            daemons: 1,
            sharing_load: 1,
            max_sharing_load: 1,
            max_sharing_load_at: Timestamp::ZERO,
            next_ticket: 0,
            changed_servers: BTreeSet::new(),
            recheck_all: false,
        }
    }

    /// The current routing configuration. `None` before the first one.
    pub fn plan(&self) -> Option<&Rc<Plan>> {
        self.plan.as_ref()
    }

    /// Version of the current routing configuration. `None` before the first one.
    pub fn version(&self) -> Option<PlanVersion> {
        self.plan.as_ref().map(|p| p.version)
    }

    /// Applies a routing configuration if it is newer than the current one. Returns whether it was applied.
    pub fn apply_plan(&mut self, plan: Plan) -> bool {
        if self.version().is_some_and(|v| v >= plan.version) {
            return false;
        }
        let names: BTreeSet<&str> = plan.routes().iter().map(|r| &*r.name).collect();
        self.work_estimates.retain(|name, _| names.contains(&**name));
        self.round_robins.retain(|name, _| names.contains(&**name));
        self.plan = Some(Rc::new(plan));
        true
    }

    /// Sets the numbers of daemons.
    ///
    /// A lower number in the region takes effect only after `DAEMON_COUNT_RETENTION`, because a daemon that is no
    /// longer listed may still send requests. Before the first request it takes effect immediately.
    pub fn set_daemons(&mut self, now: Timestamp, daemons: DaemonCounts) {
        self.daemons = daemons.total.max(1);
        self.sharing_load = daemons.sharing_load.max(1);
        let is_stale =
            self.services.is_empty() || now.since(self.max_sharing_load_at) > DAEMON_COUNT_RETENTION;
        if self.sharing_load >= self.max_sharing_load || is_stale {
            self.max_sharing_load = self.sharing_load;
            self.max_sharing_load_at = now;
        }
    }

    /// Adds a server or applies its newer entry. Returns whether the entry was applied; one that was written late is not.
    pub fn apply_server(&mut self, entry: BackendEntry, now: Timestamp) -> bool {
        let id = entry.id.clone();
        let is_outdated = match self.fleet.get(&id) {
            Some(server) => server.is_outdated(&entry, now),
            None => self.departures.is_outdated(now, &entry),
        };
        if is_outdated {
            return false;
        }
        match self.fleet.get_mut(&id) {
            Some(old) if old.entry.service == entry.service => {
                old.update(entry, now);
                return true;
            }
            Some(_) => self.remove_server(&id, now),
            None => {}
        }
        let mut server = Server::new(entry, now);
        self.departures.restore(&mut server);
        self.fleet.insert(server);
        true
    }

    /// Whether the entry of a server that was withdrawn has certainly been written after the withdrawal.
    pub fn supersedes_departure(&self, entry: &BackendEntry) -> bool {
        self.departures.is_superseded_by(entry)
    }

    /// Whether an entry in an older copy of the key-value service may be applied: it is not older than the known entry of its
    /// server, and ends the departure of a server only if it is newer.
    pub fn accepts_copy(&self, entry: &BackendEntry) -> bool {
        let Some(known) = self.fleet.get(&entry.id) else {
            return true;
        };
        let version = &known.entry.version;
        let ends_departure = (known.entry.draining || known.is_leaving()) && !entry.draining;
        if ends_departure { version.is_before(&entry.version) } else { !entry.version.is_before(version) }
    }

    /// Records that a server announced in a response that it leaves. It receives no further requests until it restarts.
    /// Returns whether that was not known.
    pub fn mark_leaving(&mut self, id: &Backend) -> bool {
        self.fleet.get_mut(id).is_some_and(Server::mark_leaving)
    }

    /// Records that a server asked to receive nothing for some time. Returns whether it was not paused.
    pub fn pause_server(&mut self, now: Timestamp, id: &Backend, duration: Duration) -> bool {
        self.fleet.get_mut(id).is_some_and(|server| server.pause(now, duration))
    }

    /// Ends the pauses whose time has passed. Returns their servers.
    pub fn end_pauses(&mut self, now: Timestamp) -> Vec<Backend> {
        let ended = self.fleet.iter_mut().filter_map(|s| s.end_pause(now).then(|| s.entry.id.clone()));
        ended.collect()
    }

    /// Removes a server that is no longer listed.
    pub fn remove_server(&mut self, id: &Backend, now: Timestamp) {
        let Some(server) = self.fleet.remove(id) else {
            return;
        };
        self.departures.record(now, &server);
        if !server.entry.draining && !server.is_leaving() {
            self.record_loss(now, server.entry.region);
        }
    }

    /// The estimated state of a server.
    pub fn server(&self, id: &Backend) -> Option<&Server> {
        self.fleet.get(id)
    }

    /// All listed servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.fleet.iter()
    }

    /// Starts or ends the evacuation of a failure domain, during which its servers receive no requests. They may be
    /// cold afterwards.
    pub fn set_evacuated(&mut self, domain: &Domain, active: bool, now: Timestamp) {
        let changed =
            if active { self.evacuated.insert(domain.clone()) } else { self.evacuated.remove(domain) };
        if !changed {
            return;
        }
        self.suspend_shift_limit(now);
        for server in self.fleet.iter_mut().filter(|s| s.entry.domain == *domain) {
            server.mark_unverified();
        }
    }

    /// Failure domains under evacuation.
    pub fn evacuated(&self) -> &BTreeSet<Domain> {
        &self.evacuated
    }

    /// Whether the limit on region shifts applies. It is suspended after the loss of servers or an evacuation.
    pub fn is_region_shift_limited(&self, now: Timestamp) -> bool {
        now >= self.shift_limit_suspended_until
    }

    /// Records a server that was lost or cannot be reached. Suspends the limit on region shifts if its region has lost
    /// many servers.
    fn record_loss(&mut self, now: Timestamp, region: Region) {
        self.losses.retain(|(at, _)| now.since(*at) < LOSS_WINDOW);
        self.losses.push((now, region.clone()));
        let lost = self.losses.iter().filter(|(_, r)| *r == region).count();
        let listed = self.fleet.iter().filter(|s| s.entry.region == region).count();
        if lost as f64 >= listed as f64 * LOSS_FRACTION {
            self.suspend_shift_limit(now);
        }
    }

    /// Suspends the limit on region shifts for [`SHIFT_LIMIT_SUSPENSION`].
    fn suspend_shift_limit(&mut self, now: Timestamp) {
        self.shift_limit_suspended_until = now + SHIFT_LIMIT_SUSPENSION;
    }

    /// Starts the handling of a request. `client_timeout` is the timeout of the client, if it has set one.
    ///
    /// Returns `None` if no destination of the route has a positive weight.
    pub fn start_request(
        &mut self,
        now: Timestamp,
        route: &Rc<Route>,
        object: ObjectId,
        fingerprint: Fingerprint,
        client_timeout: Option<Duration>,
    ) -> Option<Call> {
        let round_robin = self.round_robins.entry(route.name.clone()).or_default();
        let service = round_robin.next(&route.destinations)?.clone();
        let estimates =
            self.work_estimates.entry(route.name.clone()).or_insert_with(|| WorkEstimates::new(route));
        let timeout = client_timeout.unwrap_or(estimates.max_client_timeout);
        estimates.max_client_timeout = estimates.max_client_timeout.max(timeout);
        // A client that retries has less time left than the other clients of the route.
        let previously_refused = timeout.as_secs_f64()
            < FIRST_ATTEMPT_TIMEOUT_FRACTION * estimates.max_client_timeout.as_secs_f64();
        let limit = match (client_timeout, route.timeout) {
            (Some(client), Some(route)) => client.min(route),
            (Some(client), None) => client,
            (None, Some(route)) => route,
            (None, None) => DEFAULT_TIMEOUT,
        };
        let elapsed_before = estimates.max_client_timeout.saturating_sub(timeout);
        let work = estimates.warm.value;
        let state = self.service_state(&service);
        if !previously_refused {
            state.answered_shares.record_arrival(now, route.priority);
        }
        state.retry_budget.record_request(now);
        state.demand.entry(route.priority).or_default().add(now, work, route.latency_objective);
        if route.large_responses {
            state.large_response_demand.add(now, work, route.latency_objective);
        }
        if route.affinity {
            state.objects.insert(object, now);
        }
        Some(Call {
            route: Rc::clone(route),
            service,
            object,
            fingerprint,
            arrived_at: now,
            deadline: now + limit,
            previously_refused,
            elapsed_before,
            tried_backends: Vec::new(),
        })
    }

    /// Returns the state of a service, which is created if it does not exist.
    fn service_state(&mut self, service: &Service) -> &mut ServiceState {
        self.services.entry(service.clone()).or_insert_with(|| ServiceState {
            run_time: MovingAverage::new(INITIAL_RUN_SECONDS),
            retry_budget: RetryBudget::default(),
            retry_schedule: RetryAfterSchedule::default(),
            queue: WaitingRequests::default(),
            value_threshold: ValueThreshold::default(),
            answered_shares: AnsweredShares::default(),
            objects: BTreeMap::new(),
            demand: BTreeMap::new(),
            large_response_demand: SlotDemand::default(),
            home_demand: HomeDemand::default(),
            dispatch_rates: BTreeMap::new(),
        })
    }

    /// Records a load report of a server.
    pub fn record_load(&mut self, now: Timestamp, id: &Backend, load: LoadReport) {
        let Some(server) = self.fleet.get_mut(id) else {
            return;
        };
        server.record_load(now, load);
        let (service, slots) = (server.entry.service.clone(), f64::from(load.slots.max(1)));
        let state = self.service_state(&service);
        let wait = f64::from(load.waiting) * state.run_time.value / slots;
        state.value_threshold.record_wait(wait / state.min_latency_objective());
    }

    /// Records the outcome of a send.
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        call: &Call,
        selected: &SelectedBackend,
        outcome: SendOutcome,
    ) {
        let round_trip = self.fleet.get(&selected.backend).map(|s| self.round_trip(s)).unwrap_or_default();
        if let SendOutcome::Answered { ok: true, took } = outcome {
            self.record_work(now, call, selected, took.saturating_sub(round_trip));
            let state = self.service_state(&call.service);
            state.answered_shares.record_answer(now, call.route.priority);
        }
        match outcome {
            SendOutcome::Answered { .. } => self.poison.record_response(call.fingerprint),
            SendOutcome::ConnectionLost => {
                let crash = Crash { fingerprint: call.fingerprint, server: server_hash(&selected.backend) };
                self.poison.record_crash(now, crash);
            }
            _ => {}
        }
        let expected = selected.expected_latency.as_secs_f64();
        let Some(server) = self.fleet.get_mut(&selected.backend) else {
            return;
        };
        server.record_end();
        self.changed_servers.insert(selected.backend.clone());
        match outcome {
            SendOutcome::Answered { ok, took } => {
                let ratio = ok.then(|| took.as_secs_f64() / expected.max(0.001));
                server.record_response(now, ratio, ok);
            }
            SendOutcome::Shed => server.record_response(now, None, false),
            SendOutcome::Misdirected => server.mark_misdirected(),
            SendOutcome::InvalidResponse => server.record_response(now, None, false),
            SendOutcome::TimedOut => {
                server.record_response(now, Some(TIMEOUT_LATENCY_FACTOR), false);
            }
            SendOutcome::NotConnected | SendOutcome::ConnectionLost => {
                if server.record_connection_failure(now) {
                    let region = server.entry.region.clone();
                    self.record_loss(now, region);
                }
            }
            SendOutcome::Paused | SendOutcome::Cancelled => {}
        }
    }

    /// Records the work of a request: the time until its response, without the network round trip. Responses of full or
    /// cold servers do not count for the work estimates of the route.
    fn record_work(&mut self, now: Timestamp, call: &Call, selected: &SelectedBackend, work: Duration) {
        let work = work.as_secs_f64();
        let (slots, is_cold) = self
            .fleet
            .get(&selected.backend)
            .map_or((0.0, true), |s| (f64::from(s.entry.slots), s.is_cold(now)));
        self.service_state(&call.service).run_time.add(work);
        if selected.occupancy + 1.0 > slots || is_cold {
            return;
        }
        if let Some(estimates) = self.work_estimates.get_mut(&call.route.name) {
            estimates.record(work, selected.warm || !call.route.affinity);
        }
    }

    /// Servers whose health check is due. The checks are recorded as in progress.
    pub fn start_due_probes(&mut self, now: Timestamp) -> Vec<BackendEntry> {
        let mut due = Vec::new();
        for server in self.fleet.iter_mut() {
            if !self.evacuated.contains(&server.entry.domain) && server.start_probe_if_due(now) {
                due.push(server.entry.clone());
            }
        }
        due
    }

    /// Records that another server answered at the address of this one.
    pub fn mark_misdirected(&mut self, id: &Backend) {
        if let Some(server) = self.fleet.get_mut(id) {
            server.mark_misdirected();
        }
    }

    /// Replaces the location and the limits. State is kept.
    pub fn reconfigure(&mut self, cfg: SteeringConfig) {
        self.cfg = cfg;
    }

    /// Records the end of a health check. `cold_left` is the remaining warm-up time that the server reported, `None`
    /// if the check failed.
    pub fn record_probe(&mut self, now: Timestamp, id: &Backend, cold_left: Option<Duration>) {
        if let Some(server) = self.fleet.get_mut(id) {
            server.record_probe(now, cold_left);
        }
    }

    /// The latest crashes that this daemon observed, to be reported to the other daemons.
    pub fn recent_crashes(&self, now: Timestamp) -> Vec<Crash> {
        self.poison.recent_crashes(now)
    }

    /// Records crashes that another daemon reports.
    pub fn record_remote_crashes(&mut self, now: Timestamp, crashes: &[Crash]) {
        self.poison.record_remote_crashes(now, crashes);
    }

    /// Removes outdated state, and makes the next [`poll_queue`](Self::poll_queue) check all queued requests. Call
    /// periodically.
    pub fn tick(&mut self, now: Timestamp) {
        self.recheck_all = true;
        self.departures.expire(now);
        let limits = self.cfg.retries;
        for state in self.services.values_mut() {
            state.retry_budget.expire(now, &limits);
            state.objects.retain(|_, at| now.since(*at) < OBJECT_RETENTION);
            state.home_demand.update(now, state.slots_in_use(now));
            state.value_threshold.update(now);
        }
    }
}
