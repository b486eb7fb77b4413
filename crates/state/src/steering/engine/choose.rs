//! The choice of a backend server.
//!
//! The cost of a server is the time until its answer, as expected from its load, its pace and the probability that it is
//! warm for the object, plus the price of the slot time that others lose.

use std::collections::BTreeMap;
use std::time::Duration;

use rapidhash::v3::rapidhash_v3;

use crate::id::Region;
use crate::steering::affinity::score;
use crate::steering::engine::Steering;
use crate::steering::engine::call::{Call, SelectedBackend};
use crate::steering::engine::times::{Demand, RUN_GUESS};
use crate::steering::server::Server;
use crate::steering::warmup::allowance;
use crate::time::Timestamp;

/// Work of a server that has just started relative to a warm one.
const STARTING_RATIO: f64 = 2.0;

/// Probability that a server of an object's own region is warm for it although this daemon has not sent it there, by the
/// server's rank in the object's preference list.
const WARM_PRIOR_HOME: [f64; 2] = [0.9, 0.3];

/// The same for servers of other regions, to which its requests go only when the object's region is full.
const WARM_PRIOR_AWAY: [f64; 2] = [0.6, 0.3];

/// Probability that a server outside the preference list is warm for an object.
const WARM_PRIOR_OTHER: f64 = 0.02;

/// Load of the own region, as a part of its slots, up to which its objects are kept there.
const HOME_LOAD_MAX: f64 = 0.7;

/// Seed of the hash by which objects leave a region that is too small for all of them.
const SPILL_SEED: u64 = 0x6d65_646c_6172;

/// Objects of one daemon's callers for which a server of a region is meant to stay warm. Servers keep a few dozen, and
/// other regions need some of them.
const OBJECTS_PER_SERVER: usize = 14;

/// Advantage of a server that has had no request, so that it is preferred to one that is warm and as close.
const TRIAL_BONUS: Duration = Duration::from_millis(20);

/// Load of a service, as a part of its slots, from which slot time has a price.
const PRESSURE_FROM: f64 = 0.6;

/// Price of slot time relative to the caller's own time when all slots are taken.
const PRESSURE_PRICE: f64 = 2.0;

/// Cost of a full server beside its wait, relative to a run: the estimate of its load may be too low.
const CROWDING: f64 = 0.1;

/// Cost of a server all of whose answers fail, in objectives of the route.
const FAILURE_COST: f64 = 2.0;

/// Error of the estimate of a server's load up to which it counts as having room, in requests.
const OCCUPANCY_TOLERANCE: f64 = 0.5;

/// Requests that may wait at a server beyond its slots. The reports lag, so the last place is often free.
const QUEUE_AT_SERVER: f64 = 1.0;

/// Slots of each server that less urgent requests leave free for the most urgent ones.
const RESERVED_SLOTS: u32 = 1;

/// Part of a service's slots that its more urgent requests must take for slots to be kept for them.
const URGENT_PART: f64 = 0.02;

/// What holds for all servers of a service while one request is placed.
#[derive(Debug, Clone, Copy)]
pub(super) struct FleetState {
    /// How scarce slots are, from zero to one.
    pressure: f64,
    /// Whether the request leaves slots free for more urgent ones.
    yields: bool,
}

/// A server that could take a request. Times are in seconds.
pub(super) struct Candidate<'a> {
    pub(super) server: &'a Server,
    /// Expected time until the answer.
    pub(super) latency: f64,
    /// What the choice is made by: the latency and the price of the slot time that the request takes from others.
    cost: f64,
    pub(super) wait: f64,
    pub(super) has_room: bool,
    warm: bool,
    occupancy: f64,
}

/// The servers of one region that come first in the preference list of an object.
struct Preferred<'a> {
    region: &'a Region,
    usable: usize,
    slots: f64,
    /// Score and position, the best first.
    best: [Option<(u64, usize)>; WARM_PRIOR_HOME.len()],
}

impl Preferred<'_> {
    fn offer(&mut self, score: u64, position: usize, slots: u32) {
        self.usable += 1;
        self.slots += f64::from(slots);
        let mut offered = Some((score, position));
        for place in &mut self.best {
            if offered > *place {
                std::mem::swap(&mut offered, place);
            }
        }
    }
}

/// Place of a server in the preference list of an object.
#[derive(Debug, Clone, Copy)]
pub(super) struct Place {
    rank: Option<usize>,
    /// Probability that the server is warm for the object although this daemon has not sent it there.
    warm_prior: f64,
}

/// A hash as a number between zero and one, both excluded.
fn fraction(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// What one look at all servers of a service shows for a request. Servers are known by their position.
struct Survey<'a> {
    occupancies: Vec<f64>,
    /// Ranks of the servers in the preference list of the object.
    ranks: BTreeMap<usize, usize>,
    /// Regions, and whether the bound on shifts leaves them open.
    regions: Vec<(&'a Region, bool)>,
    /// Region whose servers keep the object.
    home: Option<&'a Region>,
    fleet: FleetState,
}

impl Steering {
    /// The best server for a request. One without room may be the best: a short wait for a warm server takes less slot
    /// time than a run on a cold one. Regions that the bound on shifts closes are used only if no other has a server.
    pub(super) fn choose(&self, now: Timestamp, call: &Call) -> Option<Candidate<'_>> {
        let servers = self.fleet.of(&call.service);
        let survey = self.survey(now, call, servers);
        let mut cheapest: [Option<Candidate<'_>>; 2] = [None, None];
        for (n, server) in servers.iter().enumerate() {
            if !self.is_eligible(now, call, server) {
                continue;
            }
            let rank = survey.ranks.get(&n).copied();
            let at_home = survey.home == Some(&server.entry.region);
            let prior = if at_home { WARM_PRIOR_HOME } else { WARM_PRIOR_AWAY };
            let place = Place { rank, warm_prior: rank.map_or(WARM_PRIOR_OTHER, |rank| prior[rank]) };
            let candidate = self.candidate(now, call, server, place, survey.occupancies[n], survey.fleet);
            let is_open = survey.regions.iter().any(|(r, is_open)| *is_open && **r == server.entry.region);
            let best = &mut cheapest[usize::from(!is_open)];
            if best.as_ref().is_none_or(|b| candidate.cost < b.cost) {
                *best = Some(candidate);
            }
        }
        let [open, closed] = cheapest;
        open.or(closed)
    }

    /// Looks once at all servers of a service.
    fn survey<'a>(&'a self, now: Timestamp, call: &Call, servers: &'a [Server]) -> Survey<'a> {
        let mut occupancies = Vec::with_capacity(servers.len());
        let mut preferred: Vec<Preferred<'_>> = Vec::new();
        let (mut taken, mut slots) = (0.0, 0.0);
        for (n, server) in servers.iter().enumerate() {
            let occupancy = server.occupancy(now);
            occupancies.push(occupancy);
            if !server.is_usable(now) || self.evacuated.contains(&server.entry.domain) {
                continue;
            }
            taken += occupancy;
            slots += f64::from(server.entry.slots);
            let region = &server.entry.region;
            let list = match preferred.iter().position(|p| p.region == region) {
                Some(found) => &mut preferred[found],
                None => {
                    preferred.push_mut(Preferred { region, usable: 0, slots: 0.0, best: Default::default() })
                }
            };
            list.offer(score(server.hash(), call.object), n, server.entry.slots);
        }
        let is_bound = self.is_region_shift_limited(now);
        let is_open = |region| !is_bound || self.shift.allows(region, self.cfg.max_shift);
        let pressure = pressure(taken / f64::max(slots, 1.0));
        let fleet = FleetState { pressure, yields: self.yields(now, call) };
        let regions = preferred.iter().map(|p| (p.region, is_open(p.region))).collect();
        let home = self.home(now, call, &preferred);
        Survey { occupancies, ranks: self.ranks(call, &preferred), regions, home, fleet }
    }

    /// The region whose servers keep an object warm. All daemons of a region choose alike: its own, or, for the part of
    /// the objects whose load does not fit there, another one by weighted rendezvous hashing.
    fn home<'a>(&self, now: Timestamp, call: &Call, preferred: &[Preferred<'a>]) -> Option<&'a Region> {
        let near = preferred.iter().find(|p| *p.region == self.cfg.region);
        let needed = self.services.get(&call.service).map_or(0.0, |state| {
            let slots: f64 = state.demand.values().map(|demand| demand.slots_since_begin(now)).sum();
            slots * self.sharing as f64
        });
        let room = near.map_or(0.0, |near| near.slots * HOME_LOAD_MAX);
        if near.is_some() && needed * (1.0 - fraction(score(SPILL_SEED, call.object))) <= room {
            return near.map(|near| near.region);
        }
        let others = preferred.iter().filter(|p| *p.region != self.cfg.region);
        let weighted = |p: &Preferred<'_>| {
            let hash = score(rapidhash_v3(p.region.as_str().as_bytes()), call.object);
            -p.slots / fraction(hash).ln()
        };
        others.max_by(|a, b| weighted(a).total_cmp(&weighted(b))).map(|p| p.region)
    }

    /// The preference list of an object: in each region the servers with the highest rendezvous scores, as many as can
    /// keep all objects warm. Every daemon of a region makes the same list, so an object stays on few servers.
    fn ranks(&self, call: &Call, preferred: &[Preferred<'_>]) -> BTreeMap<usize, usize> {
        let objects = self.services.get(&call.service).map_or(1, |s| s.objects.len()).max(1);
        let mut ranks = BTreeMap::new();
        for list in preferred {
            let places = (OBJECTS_PER_SERVER * list.usable / objects).clamp(1, list.best.len());
            let best = list.best.iter().take(places).flatten();
            ranks.extend(best.enumerate().map(|(rank, (_, position))| (*position, rank)));
        }
        ranks
    }

    /// Whether a request may be sent to a server, whatever its load.
    pub(super) fn is_eligible(&self, now: Timestamp, call: &Call, server: &Server) -> bool {
        let entry = &server.entry;
        let at_home = call.route.home_regions.is_empty() || call.route.home_regions.contains(&entry.region);
        at_home
            && server.is_usable(now)
            && !self.evacuated.contains(&entry.domain)
            && !call.tried_backends.contains(&entry.id)
            && (!server.is_cold(now) || self.may_warm(now, server))
    }

    /// Whether a cold server may get a request of this daemon now.
    pub(super) fn may_warm(&self, now: Timestamp, server: &Server) -> bool {
        if server.entry.region != self.cfg.region {
            return false;
        }
        let rate =
            self.plan.as_ref().and_then(|p| p.service(&server.entry.service)).map_or(0.0, |s| s.cold_rate);
        let limit = rate * self.cfg.cold_overrun + self.cfg.cold_slack;
        server.warmup.allows(now, allowance(limit, self.sharing_most))
    }

    /// What it would cost to send a request to a server at this place in the preference list of its object.
    pub(super) fn candidate<'a>(
        &self,
        now: Timestamp,
        call: &Call,
        server: &'a Server,
        place: Place,
        occupancy: f64,
        fleet: FleetState,
    ) -> Candidate<'a> {
        let slots = f64::from(server.entry.slots.max(1));
        let run = self.services.get(&call.service).map_or(RUN_GUESS, |s| s.run.value);
        let over = (occupancy + 1.0 - slots).max(0.0);
        let wait = run * over / slots;
        let warm = call.route.affinity && server.warm.contains(call.object);
        let is_near = server.entry.region == self.cfg.region;
        let is_untried = place.rank == Some(0) && is_near && server.warmup.is_untried();
        let likely = if warm || is_untried || !call.route.affinity { 1.0 } else { place.warm_prior };
        let work = self.work(call, likely)
            * server.pace(now)
            * if server.is_cold(now) { STARTING_RATIO } else { 1.0 };
        let crowding = run * CROWDING * (occupancy / slots).powi(2);
        let risk = server.failing(now) * FAILURE_COST * call.route.latency_objective.as_secs_f64();
        let latency = self.round_trip(server).as_secs_f64() + wait + work;
        let trial = if is_untried { TRIAL_BONUS.as_secs_f64() } else { 0.0 };
        let cost = latency + crowding + risk + work * fleet.pressure * PRESSURE_PRICE - trial;
        let places = if fleet.yields && server.entry.slots > RESERVED_SLOTS {
            f64::from(server.entry.slots - RESERVED_SLOTS)
        } else {
            slots + QUEUE_AT_SERVER
        };
        let has_room = occupancy + 1.0 <= places + OCCUPANCY_TOLERANCE;
        Candidate { server, latency, cost, wait, has_room, warm, occupancy }
    }

    /// Whether the request leaves slots free for more urgent ones: those that come often, and could not be served within
    /// their objective if they waited for its end.
    pub(super) fn yields(&self, now: Timestamp, call: &Call) -> bool {
        let Some(state) = self.services.get(&call.service) else {
            return false;
        };
        let work = self.times.get(&call.route.name).map_or(0.0, |t| t.warm.value);
        let delayed = |d: &&Demand| d.latency_objective.as_secs_f64() < work;
        let more_urgent = state.demand.range(..call.route.priority).map(|(_, demand)| demand);
        let urgent: f64 = more_urgent.filter(delayed).map(|demand| demand.slots(now)).sum();
        let slots: u32 = self.fleet.of(&call.service).iter().map(|s| s.entry.slots).sum();
        // The own daemon sees only its part of the demand.
        urgent * self.daemons as f64 > URGENT_PART * f64::from(slots)
    }

    /// Expected work in seconds at a server that is warm with the probability `warm`.
    pub(super) fn work(&self, call: &Call, warm: f64) -> f64 {
        let Some(times) = self.times.get(&call.route.name) else {
            return call.route.latency_objective.as_secs_f64();
        };
        warm * times.warm.value + (1.0 - warm) * times.cold.value
    }

    /// Time to a server and back.
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

/// How scarce slots are at a load: zero while a service is lightly loaded, one when all its slots are taken.
///
/// Work on a cold object takes several times as long as on a warm one. Under load, spreading an object over more
/// servers would make all of them colder and the load worse.
fn pressure(load: f64) -> f64 {
    ((load - PRESSURE_FROM) / (1.0 - PRESSURE_FROM)).clamp(0.0, 1.0)
}

impl Candidate<'_> {
    /// Expected time until the answer, if the request first waits `wait` seconds in the queue of the daemon.
    pub(super) fn latency_behind(&self, wait: f64) -> f64 {
        self.latency - self.wait + wait.max(self.wait)
    }

    pub(super) fn choice(&self) -> SelectedBackend {
        SelectedBackend {
            backend: self.server.entry.id.clone(),
            address: self.server.entry.address,
            expected_latency: Duration::from_secs_f64(self.latency),
            warm: self.warm,
            occupancy: self.occupancy,
        }
    }
}
