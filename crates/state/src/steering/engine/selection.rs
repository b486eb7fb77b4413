//! Selection of a backend server.
//!
//! The cost of a server is the expected time until its response plus the price of the slot time that the request takes
//! from others. The expected time depends on the load of the server, its latency factor and the probability that it is
//! warm for the object.

use std::collections::BTreeMap;
use std::time::Duration;

use rapidhash::v3::rapidhash_v3;

use crate::id::{Domain, Region};
use crate::steering::affinity::score;
use crate::steering::engine::Steering;
use crate::steering::engine::call::{Call, SelectedBackend};
use crate::steering::engine::estimates::{INITIAL_RUN_SECONDS, SlotDemand};
use crate::steering::plan::Route;
use crate::steering::server::Server;
use crate::steering::warmup::allowance;
use crate::time::Timestamp;

/// Ratio of the work on a cold server to that on a warm one.
const COLD_SERVER_WORK_RATIO: f64 = 2.0;

/// Probability that a server in the home region of an object is warm for it although this daemon has not sent the
/// object there, by the rank of the server in the preference list of the object.
const WARM_PRIOR_HOME: [f64; 2] = [0.9, 0.3];

/// Probability that a server in another region is warm for an object, by rank as in [`WARM_PRIOR_HOME`]. Requests for
/// the object are sent there only when its home region is full.
const WARM_PRIOR_AWAY: [f64; 2] = [0.6, 0.3];

/// Probability that a server outside the preference list is warm for an object.
const WARM_PRIOR_OTHER: f64 = 0.02;

/// Load of the region of the daemon, as a fraction of its slots, up to which it is the home region of the objects of
/// its clients.
const MAX_HOME_LOAD_FRACTION: f64 = 0.7;

/// Seed of the hash that selects the objects to move out of a region that is too small for all of them.
const OVERFLOW_SEED: u64 = 0x6d65_646c_6172;

/// Number of objects of the clients of one daemon for which each server of a region should stay warm. A server keeps a
/// few dozen objects warm, and other regions need some of them.
const TARGET_OBJECTS_PER_SERVER: usize = 14;

/// Reduction of the cost of a server that has had no request, so that it is preferred to a warm one at the same
/// distance.
const UNTRIED_SERVER_BONUS: Duration = Duration::from_millis(20);

/// Load of a service, as a fraction of its slots, above which slot time has a price.
const PRESSURE_THRESHOLD: f64 = 0.6;

/// Price of slot time when all slots are in use, relative to the latency of the request.
const MAX_SLOT_TIME_PRICE: f64 = 2.0;

/// Cost of a fully occupied server in addition to its wait, in average run times. Its estimated load may be too low.
const FULL_SERVER_COST_IN_RUN_TIMES: f64 = 0.1;

/// Cost of a server all of whose responses are failures, in latency objectives of the route.
const FAILURE_COST_IN_OBJECTIVES: f64 = 2.0;

/// Tolerance for the error of the estimated load of a server, in requests.
const OCCUPANCY_TOLERANCE: f64 = 0.5;

/// Number of requests that may be queued at a server in addition to its slots. Load reports lag, so a slot is often
/// free already.
const SERVER_QUEUE_DEPTH: f64 = 1.0;

/// Number of slots on each server that less urgent requests leave free for more urgent ones.
const RESERVED_SLOTS: u32 = 1;

/// Fraction of the slots of a service that its more urgent requests must need for slots to be reserved for them.
const MIN_URGENT_DEMAND_FRACTION: f64 = 0.02;

/// Load of a service, as it affects one request on all of its servers.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceLoad {
    /// Scarcity of slots, from 0 to 1.
    slot_pressure: f64,
    /// Whether the request must leave slots free for more urgent ones.
    reserves_slots: bool,
}

/// A server to which the request could be sent. Times are in seconds.
pub(super) struct Candidate<'a> {
    pub(super) server: &'a Server,
    /// Expected time until the response.
    pub(super) latency: f64,
    /// The latency, the risk of failures and overload, and the price of the slot time that the request takes from
    /// others.
    cost: f64,
    /// Expected time in the queue of the server.
    pub(super) wait: f64,
    /// Expected slot time.
    pub(super) work: f64,
    /// Whether the server has a free slot for the request, or room in its queue.
    pub(super) has_capacity: bool,
    /// Whether the server is assumed to be warm for the object.
    warm: bool,
    /// Estimated number of requests at the server, without this one.
    occupancy: f64,
}

/// The servers among which one copy of an object's state is kept: those of a region or, for routes with large responses,
/// of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Place<'a> {
    region: &'a Region,
    /// `None` for all failure domains of the region.
    domain: Option<&'a Domain>,
}

impl<'a> Place<'a> {
    /// The place of a server for the requests of a route.
    ///
    /// Large responses stay within the failure domain of the daemon, because the traffic between failure domains costs
    /// more than a second copy of the state.
    fn of(server: &'a Server, route: &Route) -> Self {
        let domain = route.large_responses.then_some(&server.entry.domain);
        Self { region: &server.entry.region, domain }
    }

    fn contains(&self, server: &Server) -> bool {
        *self.region == server.entry.region && self.domain.is_none_or(|domain| *domain == server.entry.domain)
    }

    /// Hash of the name, for rendezvous scores.
    fn hash(&self) -> u64 {
        let region = rapidhash_v3(self.region.as_str().as_bytes());
        self.domain.map_or(region, |domain| region.rotate_left(17) ^ rapidhash_v3(domain.as_str().as_bytes()))
    }
}

/// The servers of one place with the highest rendezvous scores for an object.
struct PlacePreference<'a> {
    place: Place<'a>,
    usable_servers: usize,
    slots: f64,
    /// Score and position of the servers, the highest score first.
    best: [Option<(u64, usize)>; WARM_PRIOR_HOME.len()],
}

impl PlacePreference<'_> {
    /// Counts a usable server of the place, and adds it to `best` if its score is high enough.
    fn insert(&mut self, score: u64, position: usize, slots: u32) {
        self.usable_servers += 1;
        self.slots += f64::from(slots);
        let mut inserted = Some((score, position));
        for entry in &mut self.best {
            if inserted > *entry {
                std::mem::swap(&mut inserted, entry);
            }
        }
    }
}

/// Preference of an object for a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Preference {
    /// Rank in the preference list of the object. `None` if the server is not in it.
    rank: Option<usize>,
    /// Probability that the server is warm for the object although this daemon has not sent the object there.
    warm_prior: f64,
}

/// Position of an object, from 0 to 1, in the order in which the objects of a service may stay in the region of their
/// clients. Objects of routes with large responses, which cause `large_fraction` of the load, come before all others.
fn overflow_rank(call: &Call, large_fraction: f64) -> f64 {
    let rank = 1.0 - unit_interval(score(OVERFLOW_SEED, call.object));
    if call.route.large_responses {
        return rank * large_fraction;
    }
    large_fraction + rank * (1.0 - large_fraction)
}

/// Maps a hash to the open interval from 0 to 1.
fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// The state of all servers of a service as it affects one request. Servers are identified by their position.
struct ServiceSnapshot<'a> {
    /// Estimated number of requests at each server.
    occupancies: Vec<f64>,
    /// Ranks of the servers in the preference list of the object.
    ranks: BTreeMap<usize, usize>,
    /// Regions with usable servers, and whether the limit on region shifts allows a request to them.
    regions: Vec<(&'a Region, bool)>,
    /// Place whose servers should keep the object warm.
    home: Option<Place<'a>>,
    load: ServiceLoad,
}

impl Steering {
    /// Selects the server with the lowest cost for a request.
    ///
    /// The server may be without capacity, because a short wait for a warm server takes less slot time than a run on a
    /// cold one. A region to which the limit on region shifts allows no request is used only if no other region has an
    /// eligible server.
    pub(super) fn select_backend(&self, now: Timestamp, call: &Call) -> Option<Candidate<'_>> {
        let servers = self.fleet.servers_of(&call.service);
        let snapshot = self.snapshot(now, call, servers);
        let mut cheapest: [Option<Candidate<'_>>; 2] = [None, None];
        for (n, server) in servers.iter().enumerate() {
            if !self.is_eligible(now, call, server) {
                continue;
            }
            let rank = snapshot.ranks.get(&n).copied();
            let is_home = snapshot.home.is_some_and(|home| home.contains(server));
            let prior = if is_home { WARM_PRIOR_HOME } else { WARM_PRIOR_AWAY };
            let preference =
                Preference { rank, warm_prior: rank.map_or(WARM_PRIOR_OTHER, |rank| prior[rank]) };
            let candidate =
                self.evaluate(now, call, server, preference, snapshot.occupancies[n], snapshot.load);
            let is_allowed =
                snapshot.regions.iter().any(|(r, is_allowed)| *is_allowed && **r == server.entry.region);
            let best = &mut cheapest[usize::from(!is_allowed)];
            if best.as_ref().is_none_or(|b| candidate.cost < b.cost) {
                *best = Some(candidate);
            }
        }
        let [allowed, limited] = cheapest;
        allowed.or(limited)
    }

    /// Computes the state of all servers of a service in one pass.
    fn snapshot<'a>(&'a self, now: Timestamp, call: &Call, servers: &'a [Server]) -> ServiceSnapshot<'a> {
        let mut occupancies = Vec::with_capacity(servers.len());
        let mut preferences: Vec<PlacePreference<'_>> = Vec::new();
        let (mut occupied, mut slots) = (0.0, 0.0);
        for (n, server) in servers.iter().enumerate() {
            let occupancy = server.occupancy(now);
            occupancies.push(occupancy);
            if !server.is_usable(now) || self.evacuated.contains(&server.entry.domain) {
                continue;
            }
            occupied += occupancy;
            slots += f64::from(server.entry.slots);
            let place = Place::of(server, &call.route);
            let list = match preferences.iter().position(|p| p.place == place) {
                Some(found) => &mut preferences[found],
                None => preferences.push_mut(PlacePreference {
                    place,
                    usable_servers: 0,
                    slots: 0.0,
                    best: Default::default(),
                }),
            };
            list.insert(score(server.hash(), call.object), n, server.entry.slots);
        }
        let is_limited = self.is_region_shift_limited(now);
        let is_allowed = |region| !is_limited || self.shift_limiter.allows(region, self.cfg.max_shift);
        let slot_pressure = slot_pressure(occupied / f64::max(slots, 1.0));
        let load = ServiceLoad { slot_pressure, reserves_slots: self.must_reserve_slots(now, call) };
        let regions = preferences.iter().map(|p| (p.place.region, is_allowed(p.place.region))).collect();
        let home = self.home(now, call, &preferences);
        ServiceSnapshot { occupancies, ranks: self.preference_ranks(call, &preferences), regions, home, load }
    }

    /// The place whose servers should keep an object warm.
    ///
    /// All daemons of a region select the same region: their own, or another one by weighted rendezvous hashing for
    /// the fraction of the objects whose load does not fit in their own. Objects with small responses are the first to
    /// leave. Within its own region, a daemon prefers the place that contains its failure domain.
    fn home<'a>(
        &self,
        now: Timestamp,
        call: &Call,
        preferences: &[PlacePreference<'a>],
    ) -> Option<Place<'a>> {
        let is_own = |p: &&PlacePreference<'a>| *p.place.region == self.cfg.region;
        let available: f64 = preferences.iter().filter(is_own).map(|p| p.slots).sum();
        let (needed, large_fraction) = self.services.get(&call.service).map_or((0.0, 0.0), |state| {
            let slots = state.home_demand.slots(state.slots_in_use(now)) * self.sharing_load as f64;
            (slots, state.large_response_fraction(now))
        });
        let rank = overflow_rank(call, large_fraction);
        let stays = available > 0.0 && needed * rank <= available * MAX_HOME_LOAD_FRACTION;
        let nearest = preferences
            .iter()
            .filter(is_own)
            .find(|p| p.place.domain.is_none_or(|domain| *domain == self.cfg.domain));
        if stays && let Some(nearest) = nearest {
            return Some(nearest.place);
        }
        let candidates = preferences.iter().filter(|p| is_own(p) == stays);
        let weighted = |p: &PlacePreference<'_>| {
            let hash = score(p.place.hash(), call.object);
            -p.slots / unit_interval(hash).ln()
        };
        candidates.max_by(|a, b| weighted(a).total_cmp(&weighted(b))).map(|p| p.place)
    }

    /// The preference list of an object, as a map from the position of a server to its rank within its region.
    ///
    /// In each place the list has the servers with the highest rendezvous scores, as many as can keep all objects
    /// warm. All daemons of a region compute the same list, so an object stays on few servers.
    fn preference_ranks(&self, call: &Call, preferences: &[PlacePreference<'_>]) -> BTreeMap<usize, usize> {
        let objects = self.services.get(&call.service).map_or(1, |s| s.objects.len()).max(1);
        let mut ranks = BTreeMap::new();
        for list in preferences {
            let length =
                (TARGET_OBJECTS_PER_SERVER * list.usable_servers / objects).clamp(1, list.best.len());
            let best = list.best.iter().take(length).flatten();
            ranks.extend(best.enumerate().map(|(rank, (_, position))| (*position, rank)));
        }
        ranks
    }

    /// Whether the route, the evacuations and the earlier sends of a request allow to send it to a server.
    pub(super) fn is_destination(&self, call: &Call, server: &Server) -> bool {
        let entry = &server.entry;
        let is_home_region =
            call.route.home_regions.is_empty() || call.route.home_regions.contains(&entry.region);
        is_home_region && !self.evacuated.contains(&entry.domain) && !call.tried_backends.contains(&entry.id)
    }

    /// Whether a request may be sent to a server, regardless of its load.
    pub(super) fn is_eligible(&self, now: Timestamp, call: &Call, server: &Server) -> bool {
        self.is_destination(call, server)
            && server.is_usable(now)
            && !server.is_resuming_with_request(now)
            && (!server.is_cold(now) || self.may_send_to_cold(now, server))
    }

    /// Whether this daemon may send a request to a cold server now.
    pub(super) fn may_send_to_cold(&self, now: Timestamp, server: &Server) -> bool {
        if server.entry.region != self.cfg.region {
            return false;
        }
        let rate =
            self.plan.as_ref().and_then(|p| p.service(&server.entry.service)).map_or(0.0, |s| s.cold_rate);
        let limit = rate * self.cfg.cold_overrun + self.cfg.cold_slack;
        server.warmup.allows(now, allowance(limit, self.max_sharing_load))
    }

    /// Estimates the latency and the cost of sending a request to a server.
    pub(super) fn evaluate<'a>(
        &self,
        now: Timestamp,
        call: &Call,
        server: &'a Server,
        preference: Preference,
        occupancy: f64,
        load: ServiceLoad,
    ) -> Candidate<'a> {
        let slots = f64::from(server.entry.slots.max(1));
        let run = self.services.get(&call.service).map_or(INITIAL_RUN_SECONDS, |s| s.run_time.value);
        let excess = (occupancy + 1.0 - slots).max(0.0);
        let wait = run * excess / slots;
        let warm = call.route.affinity && server.warm.contains(call.object);
        let in_own_region = server.entry.region == self.cfg.region;
        let is_untried = preference.rank == Some(0) && in_own_region && server.warmup.is_untried();
        let warm_probability =
            if warm || is_untried || !call.route.affinity { 1.0 } else { preference.warm_prior };
        let work = self.expected_work(call, warm_probability)
            * server.latency_factor(now)
            * if server.is_cold(now) { COLD_SERVER_WORK_RATIO } else { 1.0 };
        let occupancy_cost = run * FULL_SERVER_COST_IN_RUN_TIMES * (occupancy / slots).powi(2);
        let failure_cost = server.failure_rate(now)
            * FAILURE_COST_IN_OBJECTIVES
            * call.route.latency_objective.as_secs_f64();
        let latency = self.round_trip(server).as_secs_f64() + wait + work;
        let bonus = if is_untried { UNTRIED_SERVER_BONUS.as_secs_f64() } else { 0.0 };
        let cost =
            latency + occupancy_cost + failure_cost + work * load.slot_pressure * MAX_SLOT_TIME_PRICE - bonus;
        let usable_slots = if load.reserves_slots && server.entry.slots > RESERVED_SLOTS {
            f64::from(server.entry.slots - RESERVED_SLOTS)
        } else {
            slots + SERVER_QUEUE_DEPTH
        };
        let has_capacity = occupancy + 1.0 <= usable_slots + OCCUPANCY_TOLERANCE;
        Candidate { server, latency, cost, wait, work, has_capacity, warm, occupancy }
    }

    /// Whether a request must leave slots free for more urgent ones. This applies if these are frequent, and would miss
    /// their latency objective if they waited for the request to complete.
    pub(super) fn must_reserve_slots(&self, now: Timestamp, call: &Call) -> bool {
        let Some(state) = self.services.get(&call.service) else {
            return false;
        };
        let work = self.work_estimates.get(&call.route.name).map_or(0.0, |estimates| estimates.warm.value);
        let would_miss_objective = |d: &&SlotDemand| d.latency_objective.as_secs_f64() < work;
        let more_urgent = state.demand.range(..call.route.priority).map(|(_, demand)| demand);
        let urgent: f64 = more_urgent.filter(would_miss_objective).map(|demand| demand.slots(now)).sum();
        // This daemon observes only its share of the demand.
        urgent * self.daemons as f64 > MIN_URGENT_DEMAND_FRACTION * self.fleet.slots_of(&call.service)
    }

    /// Expected work in seconds on a server that is warm for the object with the given probability.
    pub(super) fn expected_work(&self, call: &Call, warm_probability: f64) -> f64 {
        let Some(estimates) = self.work_estimates.get(&call.route.name) else {
            return call.route.latency_objective.as_secs_f64();
        };
        warm_probability * estimates.warm.value + (1.0 - warm_probability) * estimates.cold.value
    }

    /// Assumed network round-trip time to a server.
    pub(super) fn round_trip(&self, server: &Server) -> Duration {
        if server.entry.domain == self.cfg.domain {
            return self.cfg.round_trips.same_domain;
        }
        if server.entry.region == self.cfg.region {
            return self.cfg.round_trips.same_region;
        }
        self.cfg.round_trips.other_region
    }
}

/// Scarcity of slots at a load: 0 while a service is lightly loaded, 1 when all its slots are in use.
///
/// Work on a cold object takes several times as long as on a warm one. Under load, spreading an object over more
/// servers would make fewer requests find it warm and increase the load further.
fn slot_pressure(load: f64) -> f64 {
    ((load - PRESSURE_THRESHOLD) / (1.0 - PRESSURE_THRESHOLD)).clamp(0.0, 1.0)
}

impl Candidate<'_> {
    /// Expected time until the response if the request first waits `wait` seconds in the queue of the daemon.
    pub(super) fn latency_after(&self, wait: f64) -> f64 {
        self.latency - self.wait + wait.max(self.wait)
    }

    pub(super) fn to_selected(&self) -> SelectedBackend {
        SelectedBackend {
            backend: self.server.entry.id.clone(),
            address: self.server.entry.address,
            expected_latency: Duration::from_secs_f64(self.latency),
            warm: self.warm,
            occupancy: self.occupancy,
        }
    }
}
