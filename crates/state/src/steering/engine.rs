//! Composes the parts of the steering logic.
//!
//! The daemon tells what arrives, what answers and what the platform lists; the engine says where each request goes. A
//! request that cannot be served in time is refused at once, with a time at which there will be room. Only requests
//! that are expected to be served wait, and the most urgent ones leave the queue first.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

mod call;
mod choose;
mod fleet;
mod queue;
mod times;

pub use call::{Call, Decision, QueueTicket, Reason, Refusal, SelectedBackend, SendOutcome};
use fleet::Fleet;
use queue::Waiting;
use times::{Demand, Mean, RUN_GUESS, ReleaseRate, RouteTimes};

use crate::id::{Backend, Domain, Region, Service};
use crate::steering::affinity::{ObjectId, server_hash};
use crate::steering::plan::{Plan, PlanVersion, Priority, Route};
use crate::steering::poison::{Crash, Fingerprint, PoisonList};
use crate::steering::region_shift::RegionShiftLimiter;
use crate::steering::retries::{RetryBudget, RetryLimits};
use crate::steering::retry_after::RetryAfterSchedule;
use crate::steering::round_robin::WeightedRoundRobin;
use crate::steering::server::{BackendEntry, LoadReport, Server};
use crate::time::Timestamp;

/// Time after which an object is no longer counted as in use.
const OBJECT_MEMORY: Duration = Duration::from_secs(20);

/// Time for which the bound on shifts is lifted after a loss of servers was seen.
const SHIFT_LIFTED: Duration = Duration::from_secs(4);

/// Time within which lost servers count together.
const LOSS_WINDOW: Duration = Duration::from_secs(2);

/// Part of a region's servers whose loss lifts the bound on shifts. Less is made up for within the bound.
const LOSS_PART: f64 = 0.05;

/// Shortest time for which the number of daemons in a region is remembered, since one that was lost may still send.
const DAEMONS_MEMORY: Duration = Duration::from_secs(60);

/// Part of the longest time that callers of a route give, below which a caller is taken to come back.
const FRESH_PART: f64 = 0.97;

/// Time for which a request is handled if neither its caller nor its route sets one.
const PATIENCE_DEFAULT: Duration = Duration::from_secs(60);

/// Pace of a server that did not answer in time, relative to what was expected of it.
const SILENT_PACE: f64 = 2.0;

/// What a daemon knows of itself and the bounds that it keeps.
#[derive(Debug, Clone)]
pub struct SteeringConfig {
    /// Region of the daemon and its callers.
    pub region: Region,
    /// Failure domain of the daemon.
    pub domain: Domain,
    /// Largest change of a region's part from one window to the next.
    pub max_shift: f64,
    /// Bound on repeated sends.
    pub retries: RetryLimits,
    /// Factor on the rate of a cold server.
    pub cold_overrun: f64,
    /// Requests per second to a cold server beyond its rate.
    pub cold_slack: f64,
    /// Round trip to the own failure domain, the own region and other regions, until measured.
    pub round_trips: RoundTrips,
}

/// Round trips by distance.
#[derive(Debug, Clone, Copy)]
pub struct RoundTrips {
    /// Within the failure domain.
    pub same_domain: Duration,
    /// To another failure domain of the region.
    pub same_region: Duration,
    /// To another region.
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

/// Daemons of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonCounts {
    /// All that live.
    pub total: usize,
    /// Those that share the load of the region's callers, the own one included. A daemon that callers are not told of
    /// counts all of its region, so that its part of each bound is the smallest.
    pub sharing_load: usize,
}

#[derive(Debug, Clone)]
struct ServiceState {
    run: Mean,
    budget: RetryBudget,
    returns: RetryAfterSchedule,
    waiting: BTreeMap<QueueTicket, Waiting>,
    objects: BTreeMap<ObjectId, Timestamp>,
    demand: BTreeMap<Priority, Demand>,
    releases: BTreeMap<Priority, ReleaseRate>,
}

/// The decision state of a daemon that forwards requests.
#[derive(Debug)]
pub struct Steering {
    cfg: SteeringConfig,
    plan: Option<Rc<Plan>>,
    fleet: Fleet,
    evacuated: BTreeSet<Domain>,
    services: BTreeMap<Service, ServiceState>,
    times: BTreeMap<Box<str>, RouteTimes>,
    round_robins: BTreeMap<Box<str>, WeightedRoundRobin>,
    shift: RegionShiftLimiter,
    shift_lifted: Timestamp,
    losses: Vec<(Timestamp, Region)>,
    poison: PoisonList,
    daemons: usize,
    /// Daemons that share the load of the region's callers now.
    sharing: usize,
    /// The same, the highest number of late.
    sharing_most: usize,
    sharing_at: Timestamp,
    next_ticket: u64,
    /// Servers that may have room for a waiting request since the queue was last looked through.
    changed: BTreeSet<Backend>,
    /// Whether all waiting requests are looked at again, not only those that wait for a server that changed.
    recheck_all: bool,
}

impl Steering {
    /// A daemon without a plan.
    pub fn new(cfg: SteeringConfig) -> Self {
        Self {
            cfg,
            plan: None,
            fleet: Fleet::default(),
            evacuated: BTreeSet::new(),
            services: BTreeMap::new(),
            times: BTreeMap::new(),
            round_robins: BTreeMap::new(),
            shift: RegionShiftLimiter::default(),
            shift_lifted: Timestamp::ZERO,
            losses: Vec::new(),
            poison: PoisonList::default(),
            daemons: 1,
            sharing: 1,
            sharing_most: 1,
            sharing_at: Timestamp::ZERO,
            next_ticket: 0,
            changed: BTreeSet::new(),
            recheck_all: false,
        }
    }

    /// The plan in force.
    pub fn plan(&self) -> Option<&Rc<Plan>> {
        self.plan.as_ref()
    }

    /// Version of the plan in force.
    pub fn version(&self) -> Option<PlanVersion> {
        self.plan.as_ref().map(|p| p.version)
    }

    /// Takes a plan if it is newer than the one in force. Returns whether it was taken.
    pub fn apply_plan(&mut self, plan: Plan) -> bool {
        if self.version().is_some_and(|v| v >= plan.version) {
            return false;
        }
        let names: BTreeSet<&str> = plan.routes().iter().map(|r| &*r.name).collect();
        self.times.retain(|name, _| names.contains(&**name));
        self.round_robins.retain(|name, _| names.contains(&**name));
        self.plan = Some(Rc::new(plan));
        true
    }

    /// Sets how many daemons there are. A lower number in the region counts only after a while, since a daemon that is not
    /// seen any more may still send; before the first request nobody has sent anything.
    pub fn set_daemons(&mut self, now: Timestamp, daemons: DaemonCounts) {
        self.daemons = daemons.total.max(1);
        self.sharing = daemons.sharing_load.max(1);
        let is_stale = self.services.is_empty() || now.since(self.sharing_at) > DAEMONS_MEMORY;
        if self.sharing >= self.sharing_most || is_stale {
            self.sharing_most = self.sharing;
            self.sharing_at = now;
        }
    }

    /// Takes the entry of a server.
    pub fn apply_server(&mut self, entry: BackendEntry, now: Timestamp) {
        let id = entry.id.clone();
        match self.fleet.get_mut(&id) {
            Some(old) if old.entry.service == entry.service => {
                old.update(entry, now);
                return;
            }
            Some(_) => self.remove_server(&id, now),
            None => {}
        }
        self.fleet.insert(Server::new(entry, now));
    }

    /// A server is gone.
    pub fn remove_server(&mut self, id: &Backend, now: Timestamp) {
        let Some(server) = self.fleet.remove(id) else {
            return;
        };
        if !server.entry.draining {
            self.note_loss(now, server.entry.region);
        }
    }

    /// What is believed of a server.
    pub fn server(&self, id: &Backend) -> Option<&Server> {
        self.fleet.get(id)
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.fleet.iter()
    }

    /// Starts or ends the evacuation of a failure domain. Its servers may be cold afterwards.
    pub fn set_evacuated(&mut self, domain: &Domain, active: bool, now: Timestamp) {
        let changed =
            if active { self.evacuated.insert(domain.clone()) } else { self.evacuated.remove(domain) };
        if !changed {
            return;
        }
        self.lift_shift(now);
        for server in self.fleet.iter_mut().filter(|s| s.entry.domain == *domain) {
            server.mark_unverified();
        }
    }

    /// Failure domains that are evacuated.
    pub fn evacuated(&self) -> &BTreeSet<Domain> {
        &self.evacuated
    }

    /// Whether the bound on shifts between regions holds.
    pub fn is_region_shift_limited(&self, now: Timestamp) -> bool {
        now >= self.shift_lifted
    }

    /// A server was lost or cannot be reached. The bound on shifts is lifted if its region has lost many.
    fn note_loss(&mut self, now: Timestamp, region: Region) {
        self.losses.retain(|(at, _)| now.since(*at) < LOSS_WINDOW);
        self.losses.push((now, region.clone()));
        let lost = self.losses.iter().filter(|(_, r)| *r == region).count();
        let listed = self.fleet.iter().filter(|s| s.entry.region == region).count();
        if lost as f64 >= listed as f64 * LOSS_PART {
            self.lift_shift(now);
        }
    }

    fn lift_shift(&mut self, now: Timestamp) {
        self.shift_lifted = now + SHIFT_LIFTED;
    }

    /// Begins the handling of a request whose caller waits until `deadline`.
    ///
    /// `None` if the route has no destination with a weight.
    pub fn start_request(
        &mut self,
        now: Timestamp,
        route: &Rc<Route>,
        object: ObjectId,
        fingerprint: Fingerprint,
        patience: Option<Duration>,
    ) -> Option<Call> {
        let round_robin = self.round_robins.entry(route.name.clone()).or_default();
        let service = round_robin.next(&route.destinations)?.clone();
        let times = self.times.entry(route.name.clone()).or_insert_with(|| RouteTimes::new(route));
        let given = patience.unwrap_or(times.longest_deadline);
        times.longest_deadline = times.longest_deadline.max(given);
        // A caller that comes back has less time left than the others of its route.
        let previously_refused = given.as_secs_f64() < FRESH_PART * times.longest_deadline.as_secs_f64();
        let limit = match (patience, route.timeout) {
            (Some(p), Some(t)) => p.min(t),
            (Some(p), None) => p,
            (None, Some(t)) => t,
            (None, None) => PATIENCE_DEFAULT,
        };
        let work = times.warm.value;
        let state = self.service_state(&service);
        state.budget.requested(now);
        state.demand.entry(route.priority).or_default().add(now, work, route.latency_objective);
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
            tried_backends: Vec::new(),
        })
    }

    fn service_state(&mut self, service: &Service) -> &mut ServiceState {
        self.services.entry(service.clone()).or_insert_with(|| ServiceState {
            run: Mean::new(RUN_GUESS),
            budget: RetryBudget::default(),
            returns: RetryAfterSchedule::default(),
            waiting: BTreeMap::new(),
            objects: BTreeMap::new(),
            demand: BTreeMap::new(),
            releases: BTreeMap::new(),
        })
    }

    /// A server reported its load.
    pub fn record_load(&mut self, now: Timestamp, id: &Backend, load: LoadReport) {
        if let Some(server) = self.fleet.get_mut(id) {
            server.report(now, load);
        }
    }

    /// A send ended.
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        call: &Call,
        choice: &SelectedBackend,
        outcome: SendOutcome,
    ) {
        let round_trip = self.fleet.get(&choice.backend).map(|s| self.round_trip(s)).unwrap_or_default();
        if let SendOutcome::Answered { ok: true, took } = outcome {
            self.learn_times(now, call, choice, took.saturating_sub(round_trip));
        }
        match outcome {
            SendOutcome::Answered { .. } => self.poison.answered(call.fingerprint),
            SendOutcome::ConnectionLost => {
                let crash = Crash { fingerprint: call.fingerprint, server: server_hash(&choice.backend) };
                self.poison.crashed(now, crash);
            }
            _ => {}
        }
        let expected = choice.expected_latency.as_secs_f64();
        let Some(server) = self.fleet.get_mut(&choice.backend) else {
            return;
        };
        server.ended();
        self.changed.insert(choice.backend.clone());
        match outcome {
            SendOutcome::Answered { ok, took } => {
                let ratio = ok.then(|| took.as_secs_f64() / expected.max(0.001));
                server.answered(now, ratio, ok);
            }
            SendOutcome::Shed => server.answered(now, None, false),
            SendOutcome::Misdirected => server.misdirected(),
            SendOutcome::InvalidResponse => server.answered(now, None, false),
            SendOutcome::TimedOut => {
                server.answered(now, Some(SILENT_PACE), false);
            }
            SendOutcome::NotConnected | SendOutcome::ConnectionLost => {
                if server.failed(now) {
                    let region = server.entry.region.clone();
                    self.note_loss(now, region);
                }
            }
            SendOutcome::Cancelled => {}
        }
    }

    /// Learns how long the requests of a route take.
    fn learn_times(&mut self, now: Timestamp, call: &Call, choice: &SelectedBackend, work: Duration) {
        let work = work.as_secs_f64();
        let (slots, is_cold) = self
            .fleet
            .get(&choice.backend)
            .map_or((0.0, true), |s| (f64::from(s.entry.slots), s.is_cold(now)));
        self.service_state(&call.service).run.add(work);
        if choice.occupancy + 1.0 > slots || is_cold {
            return;
        }
        if let Some(times) = self.times.get_mut(&call.route.name) {
            times.learn(work, choice.warm || !call.route.affinity);
        }
    }

    /// Servers whose health must be checked now.
    pub fn start_due_probes(&mut self, now: Timestamp) -> Vec<BackendEntry> {
        let mut due = Vec::new();
        for server in self.fleet.iter_mut() {
            if !self.evacuated.contains(&server.entry.domain) && server.take_probe(now) {
                due.push(server.entry.clone());
            }
        }
        due
    }

    /// Another server answered at the address of this one.
    pub fn mark_misdirected(&mut self, id: &Backend) {
        if let Some(server) = self.fleet.get_mut(id) {
            server.misdirected();
        }
    }

    /// Takes other bounds.
    pub fn reconfigure(&mut self, cfg: SteeringConfig) {
        self.cfg = cfg;
    }

    /// A health check ended; `cold_left` is `None` without a good answer of this server.
    pub fn record_probe(&mut self, now: Timestamp, id: &Backend, cold_left: Option<Duration>) {
        if let Some(server) = self.fleet.get_mut(id) {
            server.probed(now, cold_left);
        }
    }

    /// The latest crashes that this daemon saw, for the other daemons.
    pub fn recent_crashes(&self, now: Timestamp) -> Vec<Crash> {
        self.poison.report(now)
    }

    /// Another daemon reports its crashes.
    pub fn record_remote_crashes(&mut self, now: Timestamp, crashes: &[Crash]) {
        self.poison.reported(now, crashes);
    }

    /// Frees what is no longer needed, and has all waiting requests looked at again. Call regularly.
    pub fn tick(&mut self, now: Timestamp) {
        self.recheck_all = true;
        let limits = self.cfg.retries;
        for state in self.services.values_mut() {
            state.budget.expire(now, &limits);
            state.objects.retain(|_, at| now.since(*at) < OBJECT_MEMORY);
        }
    }
}
