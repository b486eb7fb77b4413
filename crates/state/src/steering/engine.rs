//! Composes the parts of the steering logic.
//!
//! The daemon tells what arrives, what answers and what the platform lists; the engine says where each request goes. A
//! request that cannot be served in time is refused at once, with a time at which there will be room. Only requests
//! that are expected to be served wait, and the most urgent ones leave the queue first.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;

use crate::id::{Backend, Domain, Region, Service};
use crate::steering::affinity::{ObjectId, score};
use crate::steering::plan::{Plan, PlanVersion, Repeat, Route, Urgency};
use crate::steering::poison::{Fingerprint, PoisonList};
use crate::steering::retries::{RetryBudget, RetryLimits};
use crate::steering::returns::ReturnSchedule;
use crate::steering::server::{BackendEntry, LoadReport, Server};
use crate::steering::share::Splitter;
use crate::steering::shift::ShiftGuard;
use crate::steering::warmup::allowance;
use crate::time::Timestamp;

/// Work on a cold object relative to a warm one, until both have been measured.
const COLD_RATIO: f64 = 3.0;

/// Work of a server that has just started relative to a warm one.
const STARTING_RATIO: f64 = 2.0;

/// Guess of the work on a warm object, relative to the objective of its route, until it has been measured.
const WORK_GUESS: f64 = 0.5;

/// Probability that a server of the own region is warm for an object that this daemon has not sent to it, by the server's
/// rank in the object's preference list.
const WARM_PRIOR_NEAR: [f64; 2] = [0.9, 0.3];

/// The same for servers of other regions, to which requests go only when the own region is full.
const WARM_PRIOR_FAR: [f64; 2] = [0.6, 0.3];

/// Probability that a server outside the preference list is warm for an object.
const WARM_PRIOR_OTHER: f64 = 0.02;

/// Objects of one daemon's callers for which a server of a region is meant to stay warm. Servers keep a few dozen, and
/// other regions need some of them.
const OBJECTS_PER_SERVER: usize = 14;

/// Time after which an object is no longer counted as in use.
const OBJECT_MEMORY: Duration = Duration::from_secs(20);

/// Advantage of a server that has had no request, so that it is preferred to one that is warm and as close.
const TRIAL_BONUS: Duration = Duration::from_millis(20);

/// Weight of a new sample in the mean times of a route.
const TIME_WEIGHT: f64 = 0.1;

/// Load of a service, as a part of its slots, from which slot time has a price.
const PRESSURE_FROM: f64 = 0.6;

/// Price of slot time relative to the caller's own time when all slots are taken.
const PRESSURE_PRICE: f64 = 2.0;

/// Requests that may wait at a server beyond its slots. The reports lag, so the last place is often free.
const QUEUE_AT_SERVER: f64 = 1.0;

/// Slots of each server that less urgent requests leave free for the most urgent ones.
const RESERVED_SLOTS: u32 = 1;

/// Part of a service's slots that its more urgent requests must take for slots to be kept for them.
const URGENT_PART: f64 = 0.02;

/// Time over which the demand of an urgency is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(3);

/// Time for which the bound on shifts is lifted after a loss of servers was seen.
const SHIFT_LIFTED: Duration = Duration::from_secs(4);

/// Shortest time for which the number of daemons in a region is remembered, since one that was lost may still send.
const DAEMONS_MEMORY: Duration = Duration::from_secs(60);

/// Part of the remaining time after which a refused caller no longer comes back.
const RETURN_WITHIN: f64 = 0.33;

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
    pub domain: Duration,
    /// To another failure domain of the region.
    pub region: Duration,
    /// To another region.
    pub other: Duration,
}

impl Default for RoundTrips {
    fn default() -> Self {
        Self {
            domain: Duration::from_micros(400),
            region: Duration::from_millis(2),
            other: Duration::from_millis(40),
        }
    }
}

/// A request to be placed.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its route.
    pub route: Rc<Route>,
    /// The service that the route's weights chose.
    pub service: Service,
    /// The object that it concerns.
    pub object: ObjectId,
    /// What makes it the same as another.
    pub fingerprint: Fingerprint,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When its caller or its route gives up.
    pub deadline: Timestamp,
    /// Whether the caller has been refused before.
    pub returning: bool,
    /// Servers to which it was sent.
    pub tried: Vec<Backend>,
}

/// A server that gets a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The server.
    pub backend: Backend,
    /// Its address.
    pub address: SocketAddr,
    /// Time until the answer, as expected.
    pub expected: Duration,
    /// Whether the server was taken to be warm for the object.
    pub warm: bool,
    /// Believed load at the server, this request not included.
    pub occupancy: f64,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// No configuration is known.
    #[display("no-plan")]
    NoPlan,
    /// No server of the service is usable.
    #[display("no-server")]
    NoServer,
    /// It would be answered too late.
    #[display("overload")]
    Overload,
    /// The bound on repeated sends is reached.
    #[display("retry-budget")]
    RetryBudget,
    /// It was sent as often as its route allows.
    #[display("attempts")]
    Attempts,
    /// It crashes the servers that run it.
    #[display("poison")]
    Poison,
}

/// A refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// Place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    urgency: Urgency,
    number: u64,
}

/// What happens with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// It is sent.
    Send(Choice),
    /// It waits; [`Steering::ready`] tells when it is sent.
    Wait(Ticket),
    /// It is refused and has not run.
    Refuse(Refusal),
}

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The server answered.
    Answered {
        /// Whether it succeeded.
        ok: bool,
        /// Time from the send to the answer.
        took: Duration,
    },
    /// The server did not run it.
    Shed,
    /// Another server has the address.
    Misdirected,
    /// No connection could be opened.
    NotConnected,
    /// The connection broke without an answer.
    Broken,
    /// The answer was damaged or belonged to another request.
    Garbled,
    /// No answer came in time.
    Silent,
    /// The caller left.
    Cancelled,
}

/// An exponential average that starts with a guess.
#[derive(Debug, Clone, Copy)]
struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    fn new(guess: f64) -> Self {
        Self { value: guess, samples: 0 }
    }

    fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        self.value += (sample - self.value) * TIME_WEIGHT;
    }

    fn is_measured(&self) -> bool {
        self.samples > 0
    }
}

/// Slot time that the requests of one urgency ask for, as an exponential average.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    slots: f64,
    updated: Timestamp,
    objective: Duration,
}

impl Demand {
    /// Slots that are needed on average.
    fn slots(&self, now: Timestamp) -> f64 {
        self.slots * (-now.since(self.updated).as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    /// A request that takes a slot for `work` seconds and has an objective.
    fn add(&mut self, now: Timestamp, work: f64, objective: Duration) {
        self.slots = self.slots(now) + work / DEMAND_WINDOW.as_secs_f64();
        self.updated = now;
        self.objective = objective;
    }
}

#[derive(Debug, Clone)]
struct RouteTimes {
    warm: Mean,
    cold: Mean,
    longest_deadline: Duration,
}

impl RouteTimes {
    fn new(route: &Route) -> Self {
        let warm = Mean::new(route.objective.as_secs_f64() * WORK_GUESS);
        Self { warm, cold: Mean::new(warm.value * COLD_RATIO), longest_deadline: Duration::ZERO }
    }

    /// Whether any request has been measured.
    fn is_measured(&self) -> bool {
        self.warm.is_measured() || self.cold.is_measured()
    }

    fn learn(&mut self, work: f64, warm: bool) {
        if warm {
            self.warm.add(work);
        } else if work > self.warm.value * 1.5 {
            self.cold.add(work);
        }
    }
}

#[derive(Debug, Clone)]
struct ServiceState {
    run: Mean,
    budget: RetryBudget,
    returns: ReturnSchedule,
    waiting: BTreeMap<Ticket, Call>,
    objects: BTreeMap<ObjectId, Timestamp>,
    demand: BTreeMap<Urgency, Demand>,
    released: Timestamp,
    interval: Mean,
}

/// The decision state of a daemon that forwards requests.
#[derive(Debug)]
pub struct Steering {
    cfg: SteeringConfig,
    plan: Option<Rc<Plan>>,
    servers: BTreeMap<Backend, Server>,
    members: BTreeMap<Service, BTreeSet<Backend>>,
    evacuated: BTreeSet<Domain>,
    services: BTreeMap<Service, ServiceState>,
    times: BTreeMap<Box<str>, RouteTimes>,
    splitters: BTreeMap<Box<str>, Splitter>,
    shift: ShiftGuard,
    shift_lifted: Timestamp,
    poison: PoisonList,
    daemons: usize,
    region_daemons: usize,
    region_daemons_at: Timestamp,
    next_ticket: u64,
}

/// A server that could take a request. Times are in seconds.
struct Candidate<'a> {
    server: &'a Server,
    /// Expected time until the answer.
    latency: f64,
    /// What the choice is made by: the latency and the price of the slot time that the request takes from others.
    cost: f64,
    wait: f64,
    has_room: bool,
    warm: bool,
    occupancy: f64,
}

impl Steering {
    /// A daemon without a plan.
    pub fn new(cfg: SteeringConfig) -> Self {
        Self {
            cfg,
            plan: None,
            servers: BTreeMap::new(),
            members: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            services: BTreeMap::new(),
            times: BTreeMap::new(),
            splitters: BTreeMap::new(),
            shift: ShiftGuard::default(),
            shift_lifted: Timestamp::ZERO,
            poison: PoisonList::default(),
            daemons: 1,
            region_daemons: 1,
            region_daemons_at: Timestamp::ZERO,
            next_ticket: 0,
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
        self.splitters.retain(|name, _| names.contains(&**name));
        self.plan = Some(Rc::new(plan));
        true
    }

    /// Sets how many daemons there are, in all and in the own region. A lower number in the region counts only after a
    /// while, since a daemon that is not seen any more may still send.
    pub fn set_daemons(&mut self, now: Timestamp, all: usize, region: usize) {
        self.daemons = all.max(1);
        let region = region.max(1);
        if region >= self.region_daemons || now.since(self.region_daemons_at) > DAEMONS_MEMORY {
            self.region_daemons = region;
            self.region_daemons_at = now;
        }
    }

    /// Takes the entry of a server.
    pub fn apply_server(&mut self, entry: BackendEntry, now: Timestamp) {
        let id = entry.id.clone();
        if let Some(old) = self.servers.get_mut(&id) {
            if old.entry.service != entry.service {
                self.remove_server(&id, now);
                return self.apply_server(entry, now);
            }
            old.update(entry, now);
            return;
        }
        self.members.entry(entry.service.clone()).or_default().insert(id.clone());
        self.servers.insert(id, Server::new(entry, now));
    }

    /// A server is gone.
    pub fn remove_server(&mut self, id: &Backend, now: Timestamp) {
        let Some(server) = self.servers.remove(id) else {
            return;
        };
        if let Some(members) = self.members.get_mut(&server.entry.service) {
            members.remove(id);
        }
        if !server.entry.leaving {
            self.lift_shift(now);
        }
    }

    /// What is believed of a server.
    pub fn server(&self, id: &Backend) -> Option<&Server> {
        self.servers.get(id)
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Starts or ends the evacuation of a failure domain. Its servers may be cold afterwards.
    pub fn set_evacuated(&mut self, domain: &Domain, active: bool, now: Timestamp) {
        let changed =
            if active { self.evacuated.insert(domain.clone()) } else { self.evacuated.remove(domain) };
        if !changed {
            return;
        }
        self.lift_shift(now);
        for server in self.servers.values_mut().filter(|s| s.entry.domain == *domain) {
            server.doubt();
        }
    }

    /// Failure domains that are evacuated.
    pub fn evacuated(&self) -> &BTreeSet<Domain> {
        &self.evacuated
    }

    fn lift_shift(&mut self, now: Timestamp) {
        self.shift_lifted = now + SHIFT_LIFTED;
    }

    /// Begins the handling of a request whose caller waits until `deadline`.
    ///
    /// `None` if the route has no destination with a weight.
    pub fn begin(
        &mut self,
        now: Timestamp,
        route: &Rc<Route>,
        object: ObjectId,
        fingerprint: Fingerprint,
        patience: Option<Duration>,
    ) -> Option<Call> {
        let splitter = self.splitters.entry(route.name.clone()).or_default();
        let service = splitter.next(&route.destinations)?.clone();
        let times = self.times.entry(route.name.clone()).or_insert_with(|| RouteTimes::new(route));
        let given = patience.unwrap_or(times.longest_deadline);
        times.longest_deadline = times.longest_deadline.max(given);
        // A caller that comes back has less time left than the others of its route.
        let returning = given.as_secs_f64() < 0.97 * times.longest_deadline.as_secs_f64();
        let limit = match (patience, route.timeout) {
            (Some(p), Some(t)) => p.min(t),
            (Some(p), None) => p,
            (None, Some(t)) => t,
            (None, None) => Duration::from_secs(60),
        };
        let work = times.warm.value;
        let state = self.service_state(&service, now);
        state.budget.requested(now);
        state.demand.entry(route.urgency).or_default().add(now, work, route.objective);
        if route.affinity {
            state.objects.insert(object, now);
        }
        Some(Call {
            route: Rc::clone(route),
            service,
            object,
            fingerprint,
            arrived: now,
            deadline: now + limit,
            returning,
            tried: Vec::new(),
        })
    }

    fn service_state(&mut self, service: &Service, now: Timestamp) -> &mut ServiceState {
        self.services.entry(service.clone()).or_insert_with(|| ServiceState {
            run: Mean::new(0.2),
            budget: RetryBudget::default(),
            returns: ReturnSchedule::default(),
            waiting: BTreeMap::new(),
            objects: BTreeMap::new(),
            demand: BTreeMap::new(),
            released: now,
            interval: Mean::new(0.05),
        })
    }

    /// Places a request, for the first time or again after a send that did not run it or that may be repeated.
    pub fn place(&mut self, now: Timestamp, call: &Call) -> Decision {
        if self.poison.refuses(now, call.fingerprint) {
            return self.refuse(now, call, Reason::Poison, Duration::ZERO);
        }
        if call.tried.len() >= call.route.attempts as usize && !call.tried.is_empty() {
            return self.refuse(now, call, Reason::Attempts, Duration::ZERO);
        }
        if !call.tried.is_empty() {
            let (limits, daemons) = (self.cfg.retries, self.daemons);
            if !self.service_state(&call.service, now).budget.take(now, &limits, daemons) {
                return self.refuse(now, call, Reason::RetryBudget, Duration::ZERO);
            }
        }
        self.shift.advance(now);
        let ahead = self.ahead(call);
        match self.choose(now, call) {
            Some(best) if best.has_room && (ahead == 0 || !self.yields(now, call)) => {
                let choice = best.choice();
                if !self.is_acceptable(now, call, best.latency, best.wait) {
                    let room = Duration::from_secs_f64(best.wait);
                    return self.refuse(now, call, Reason::Overload, room);
                }
                self.send(now, call, choice)
            }
            Some(best) => {
                let wait = self.queue_wait(call, ahead).max(best.wait);
                let latency = best.latency - best.wait + wait;
                if !self.is_acceptable(now, call, latency, wait) {
                    return self.refuse(now, call, Reason::Overload, Duration::from_secs_f64(wait));
                }
                self.enqueue(now, call)
            }
            None => self.refuse(now, call, Reason::NoServer, Duration::from_millis(300)),
        }
    }

    fn send(&mut self, now: Timestamp, call: &Call, choice: Choice) -> Decision {
        if let Some(server) = self.servers.get_mut(&choice.backend) {
            server.sent(now);
            server.warm.touch(call.object);
            self.shift.sent(now, &server.entry.region);
        }
        let state = self.service_state(&call.service, now);
        let interval = now.since(state.released).as_secs_f64();
        state.interval.add(interval.min(1.0));
        state.released = now;
        Decision::Send(choice)
    }

    fn enqueue(&mut self, now: Timestamp, call: &Call) -> Decision {
        let ticket = Ticket { urgency: call.route.urgency, number: self.next_ticket };
        self.next_ticket += 1;
        self.service_state(&call.service, now).waiting.insert(ticket, call.clone());
        Decision::Wait(ticket)
    }

    fn refuse(&mut self, now: Timestamp, call: &Call, reason: Reason, room: Duration) -> Decision {
        let patience = call.deadline.since(now).mul_f64(RETURN_WITHIN);
        let servers = self.members.get(&call.service).map_or(1, BTreeSet::len).max(1) as f64;
        let daemons = self.daemons as f64;
        let state = self.service_state(&call.service, now);
        let spacing = Duration::from_secs_f64(state.run.value / servers * daemons / 3.0);
        let retry_after = state.returns.turn(now, room, spacing, patience);
        Decision::Refuse(Refusal { reason, retry_after })
    }

    /// Requests that leave the queue before this one.
    fn ahead(&self, call: &Call) -> usize {
        let Some(state) = self.services.get(&call.service) else {
            return 0;
        };
        state.waiting.keys().filter(|t| t.urgency <= call.route.urgency).count()
    }

    /// Whether a request that would wait `wait` of `latency` seconds is taken. A fresh request that cannot be answered
    /// within its objective is refused if it would also delay others; one that returns has missed the objective already.
    fn is_acceptable(&self, now: Timestamp, call: &Call, latency: f64, wait: f64) -> bool {
        // A guess that is too high would refuse all requests of a new route, so that it would never be corrected.
        let is_measured = self.times.get(&call.route.name).is_some_and(RouteTimes::is_measured);
        if is_measured && !is_servable(now, call, latency) {
            return false;
        }
        let elapsed = now.since(call.arrived).as_secs_f64();
        let limit = call.route.objective.as_secs_f64() * LATENESS_ACCEPTED;
        wait <= 0.0 || call.returning || elapsed + latency <= limit
    }

    fn queue_wait(&self, call: &Call, ahead: usize) -> f64 {
        self.services.get(&call.service).map_or(0.0, |s| s.interval.value * (ahead + 1) as f64)
    }

    /// Whether the request leaves slots free for more urgent ones: those that come often, and could not be served within
    /// their objective if they waited for its end.
    fn yields(&self, now: Timestamp, call: &Call) -> bool {
        let (Some(state), Some(members)) =
            (self.services.get(&call.service), self.members.get(&call.service))
        else {
            return false;
        };
        let work = self.times.get(&call.route.name).map_or(0.0, |t| t.warm.value);
        let delayed = |d: &&Demand| d.objective.as_secs_f64() < work;
        let more_urgent = state.demand.range(..call.route.urgency).map(|(_, demand)| demand);
        let urgent: f64 = more_urgent.filter(delayed).map(|demand| demand.slots(now)).sum();
        let servers = members.iter().filter_map(|id| self.servers.get(id));
        let slots: u32 = servers.map(|s| s.entry.slots).sum();
        // The own daemon sees only its part of the demand.
        urgent * self.daemons as f64 > URGENT_PART * f64::from(slots)
    }

    /// Requests of the queue that can be sent now or must be refused. Call after each end of a send and regularly.
    pub fn ready(&mut self, now: Timestamp) -> Vec<(Ticket, Decision)> {
        let mut out = Vec::new();
        let services: Vec<Service> =
            self.services.iter().filter(|(_, s)| !s.waiting.is_empty()).map(|(n, _)| n.clone()).collect();
        for service in services {
            self.ready_of(now, &service, &mut out);
        }
        out
    }

    fn ready_of(&mut self, now: Timestamp, service: &Service, out: &mut Vec<(Ticket, Decision)>) {
        self.shift.advance(now);
        let tickets: Vec<Ticket> =
            self.services.get(service).map(|s| s.waiting.keys().copied().collect()).unwrap_or_default();
        let mut blocked = None;
        for ticket in tickets {
            // A request that finds no room keeps the room from less urgent ones.
            if blocked.is_some_and(|urgency| ticket.urgency > urgency) {
                break;
            }
            let Some(call) = self.services.get(service).and_then(|s| s.waiting.get(&ticket)).cloned() else {
                continue;
            };
            let decision = match self.choose(now, &call) {
                Some(best) if best.has_room && is_servable(now, &call, best.latency) => {
                    let choice = best.choice();
                    self.send(now, &call, choice)
                }
                Some(best) if !best.has_room && is_servable(now, &call, best.latency) => {
                    blocked = Some(ticket.urgency);
                    continue;
                }
                Some(_) => self.refuse(now, &call, Reason::Overload, Duration::ZERO),
                None => self.refuse(now, &call, Reason::NoServer, Duration::from_millis(300)),
            };
            if let Some(state) = self.services.get_mut(service) {
                state.waiting.remove(&ticket);
            }
            out.push((ticket, decision));
        }
    }

    /// A waiting request is withdrawn, since its caller has left.
    pub fn withdraw(&mut self, service: &Service, ticket: Ticket) {
        if let Some(state) = self.services.get_mut(service) {
            state.waiting.remove(&ticket);
        }
    }

    /// The best server for a request. One without room may be the best: a short wait for a warm server takes less slot
    /// time than a run on a cold one.
    fn choose(&self, now: Timestamp, call: &Call) -> Option<Candidate<'_>> {
        let cheapest = |bound| {
            let candidates = self.candidates(now, call, bound).into_iter();
            candidates.min_by(|a, b| a.cost.total_cmp(&b.cost))
        };
        let is_bound = now >= self.shift_lifted;
        cheapest(is_bound).or_else(|| if is_bound { cheapest(false) } else { None })
    }

    /// Usable servers with their costs; with `bound`, only in regions that the bound on shifts allows.
    fn candidates<'a>(&'a self, now: Timestamp, call: &Call, bound: bool) -> Vec<Candidate<'a>> {
        let mut found = Vec::new();
        let Some(members) = self.members.get(&call.service) else {
            return found;
        };
        let preferences = self.preferences(now, call, members);
        let pressure = self.pressure(now, members);
        let mut regions: BTreeMap<&Region, bool> = BTreeMap::new();
        for id in members {
            let Some(server) = self.servers.get(id) else {
                continue;
            };
            let region = &server.entry.region;
            let allowed = *regions
                .entry(region)
                .or_insert_with(|| !bound || self.shift.allows(region, self.cfg.max_shift));
            if !allowed || !self.is_eligible(now, call, server) {
                continue;
            }
            let rank = preferences.get(id).copied();
            found.push(self.candidate(now, call, server, rank, pressure));
        }
        found
    }

    /// How scarce slots are: zero while a service is lightly loaded, one when all its slots are taken.
    ///
    /// Work on a cold object takes several times as long as on a warm one. Under load, spreading an object over more
    /// servers would make all of them colder and the load worse.
    fn pressure(&self, now: Timestamp, members: &BTreeSet<Backend>) -> f64 {
        let usable = members.iter().filter_map(|id| self.servers.get(id)).filter(|s| s.is_usable(now));
        let (mut taken, mut slots) = (0.0, 0.0);
        for server in usable.filter(|s| !self.evacuated.contains(&s.entry.domain)) {
            taken += server.occupancy(now);
            slots += f64::from(server.entry.slots);
        }
        let load = taken / f64::max(slots, 1.0);
        ((load - PRESSURE_FROM) / (1.0 - PRESSURE_FROM)).clamp(0.0, 1.0)
    }

    /// The preference list of an object: in each region the servers with the highest rendezvous scores, as many as can
    /// keep all objects warm. Every daemon of a region makes the same list, so an object stays on few servers.
    fn preferences<'a>(
        &'a self,
        now: Timestamp,
        call: &Call,
        members: &'a BTreeSet<Backend>,
    ) -> BTreeMap<&'a Backend, usize> {
        let mut scores: BTreeMap<&Region, Vec<(u64, &Backend)>> = BTreeMap::new();
        for id in members {
            let Some(server) = self.servers.get(id) else {
                continue;
            };
            if server.is_usable(now) && !self.evacuated.contains(&server.entry.domain) {
                let score = score(server.hash(), call.object);
                scores.entry(&server.entry.region).or_default().push((score, id));
            }
        }
        let objects = self.services.get(&call.service).map_or(1, |s| s.objects.len()).max(1);
        let mut ranks = BTreeMap::new();
        for list in scores.values_mut() {
            let places = (OBJECTS_PER_SERVER * list.len() / objects).clamp(1, WARM_PRIOR_NEAR.len());
            list.sort_unstable_by(|a, b| b.cmp(a));
            ranks.extend(list.iter().take(places).enumerate().map(|(rank, (_, id))| (*id, rank)));
        }
        ranks
    }

    fn is_eligible(&self, now: Timestamp, call: &Call, server: &Server) -> bool {
        let entry = &server.entry;
        let at_home = call.route.homes.is_empty() || call.route.homes.contains(&entry.region);
        at_home
            && server.is_usable(now)
            && !self.evacuated.contains(&entry.domain)
            && !call.tried.contains(&entry.id)
            && (!server.is_cold(now) || self.may_warm(now, server))
    }

    /// Whether a cold server may get a request of this daemon now.
    fn may_warm(&self, now: Timestamp, server: &Server) -> bool {
        if server.entry.region != self.cfg.region {
            return false;
        }
        let rate =
            self.plan.as_ref().and_then(|p| p.service(&server.entry.service)).map_or(0.0, |s| s.cold_rate);
        let limit = rate * self.cfg.cold_overrun + self.cfg.cold_slack;
        server.warmup.allows(now, allowance(limit, self.region_daemons))
    }

    fn candidate<'a>(
        &self,
        now: Timestamp,
        call: &Call,
        server: &'a Server,
        rank: Option<usize>,
        pressure: f64,
    ) -> Candidate<'a> {
        let occupancy = server.occupancy(now);
        let slots = f64::from(server.entry.slots.max(1));
        let run = self.services.get(&call.service).map_or(0.2, |s| s.run.value);
        let over = (occupancy + 1.0 - slots).max(0.0);
        let wait = run * over / slots;
        let warm = call.route.affinity && server.warm.contains(call.object);
        let is_near = server.entry.region == self.cfg.region;
        let prior = if is_near { WARM_PRIOR_NEAR } else { WARM_PRIOR_FAR };
        let is_untried = rank == Some(0) && is_near && server.warmup.is_untried();
        let likely = if warm || is_untried || !call.route.affinity {
            1.0
        } else {
            rank.map_or(WARM_PRIOR_OTHER, |rank| prior[rank])
        };
        let work = self.work(call, likely)
            * server.pace(now)
            * if server.is_cold(now) { STARTING_RATIO } else { 1.0 };
        let crowding = run * 0.1 * (occupancy / slots).powi(2);
        let risk = server.failing(now) * 2.0 * call.route.objective.as_secs_f64();
        let latency = self.round_trip(server).as_secs_f64() + wait + work;
        let trial = if is_untried { TRIAL_BONUS.as_secs_f64() } else { 0.0 };
        let cost = latency + crowding + risk + work * pressure * PRESSURE_PRICE - trial;
        let places = if self.yields(now, call) && server.entry.slots > RESERVED_SLOTS {
            f64::from(server.entry.slots - RESERVED_SLOTS)
        } else {
            slots + QUEUE_AT_SERVER
        };
        let has_room = occupancy + 1.0 <= places + 0.5;
        Candidate { server, latency, cost, wait, has_room, warm, occupancy }
    }

    fn work(&self, call: &Call, warm: f64) -> f64 {
        let Some(times) = self.times.get(&call.route.name) else {
            return call.route.objective.as_secs_f64();
        };
        warm * times.warm.value + (1.0 - warm) * times.cold.value
    }

    fn round_trip(&self, server: &Server) -> Duration {
        if server.entry.domain == self.cfg.domain {
            return self.cfg.round_trips.domain;
        }
        if server.entry.region == self.cfg.region {
            return self.cfg.round_trips.region;
        }
        self.cfg.round_trips.other
    }

    /// A server reported its load.
    pub fn report(&mut self, now: Timestamp, id: &Backend, load: LoadReport) {
        if let Some(server) = self.servers.get_mut(id) {
            server.report(now, load);
        }
    }

    /// A send ended.
    pub fn ended(&mut self, now: Timestamp, call: &Call, choice: &Choice, outcome: Outcome) {
        let round_trip = self.servers.get(&choice.backend).map(|s| self.round_trip(s)).unwrap_or_default();
        if let Outcome::Answered { ok: true, took } = outcome {
            self.learn_times(now, call, choice, took.saturating_sub(round_trip));
        }
        match outcome {
            Outcome::Answered { .. } => self.poison.answered(call.fingerprint),
            Outcome::Broken => {
                self.poison.crashed(now, call.fingerprint);
            }
            _ => {}
        }
        let expected = choice.expected.as_secs_f64();
        let Some(server) = self.servers.get_mut(&choice.backend) else {
            return;
        };
        server.ended();
        match outcome {
            Outcome::Answered { ok, took } => {
                let ratio = ok.then(|| took.as_secs_f64() / expected.max(0.001));
                server.answered(now, ratio, ok);
            }
            Outcome::Shed => server.answered(now, None, false),
            Outcome::Misdirected => server.misdirected(),
            Outcome::Garbled => server.answered(now, None, false),
            Outcome::Silent => {
                let ratio = Some(2.0);
                server.answered(now, ratio, false);
            }
            Outcome::NotConnected | Outcome::Broken => {
                if server.failed(now) {
                    self.lift_shift(now);
                }
            }
            Outcome::Cancelled => {}
        }
    }

    /// Learns how long the requests of a route take.
    fn learn_times(&mut self, now: Timestamp, call: &Call, choice: &Choice, work: Duration) {
        let work = work.as_secs_f64();
        let (slots, is_cold) = self
            .servers
            .get(&choice.backend)
            .map_or((0.0, true), |s| (f64::from(s.entry.slots), s.is_cold(now)));
        self.service_state(&call.service, now).run.add(work);
        if choice.occupancy + 1.0 > slots || is_cold {
            return;
        }
        if let Some(times) = self.times.get_mut(&call.route.name) {
            times.learn(work, choice.warm || !call.route.affinity);
        }
    }

    /// Servers whose health must be checked now.
    pub fn take_probes(&mut self, now: Timestamp) -> Vec<BackendEntry> {
        let mut due = Vec::new();
        for server in self.servers.values_mut() {
            if !self.evacuated.contains(&server.entry.domain) && server.take_probe(now) {
                due.push(server.entry.clone());
            }
        }
        due
    }

    /// Another server answered at the address of this one.
    pub fn misdirected(&mut self, id: &Backend) {
        if let Some(server) = self.servers.get_mut(id) {
            server.misdirected();
        }
    }

    /// Takes other bounds.
    pub fn reconfigure(&mut self, cfg: SteeringConfig) {
        self.cfg = cfg;
    }

    /// A health check ended; `cold_left` is `None` without a good answer of this server.
    pub fn probed(&mut self, now: Timestamp, id: &Backend, cold_left: Option<Duration>) {
        if let Some(server) = self.servers.get_mut(id) {
            server.probed(now, cold_left);
        }
    }

    /// Frees what is no longer needed.
    pub fn tick(&mut self, now: Timestamp) {
        let limits = self.cfg.retries;
        for state in self.services.values_mut() {
            state.budget.expire(now, &limits);
            state.objects.retain(|_, at| now.since(*at) < OBJECT_MEMORY);
        }
    }

    /// Whether a request of the route may be sent again after it may have run.
    pub fn may_repeat(route: &Route) -> bool {
        route.repeat == Repeat::Idempotent
    }
}

impl Candidate<'_> {
    fn choice(&self) -> Choice {
        Choice {
            backend: self.server.entry.id.clone(),
            address: self.server.entry.address,
            expected: Duration::from_secs_f64(self.latency),
            warm: self.warm,
            occupancy: self.occupancy,
        }
    }
}

/// Whether an answer after `latency` seconds still reaches the caller.
fn is_servable(now: Timestamp, call: &Call, latency: f64) -> bool {
    latency * ESTIMATE_MARGIN < call.deadline.since(now).as_secs_f64()
}

/// Factor on expected times where a late answer would be of no use: work that is cut off is lost.
const ESTIMATE_MARGIN: f64 = 1.15;

/// Expected time of an accepted answer relative to the objective of its route. Below one, since more answers are late
/// than early relative to the estimate, and an answer that is late delays others too.
const LATENESS_ACCEPTED: f64 = 0.9;
