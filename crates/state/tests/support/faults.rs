//! Fault schedules and the effect of faults on the simulation.

use std::ops::Range;

use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

use super::*;

/// Fault of a process, link or service. Numbers are indices of daemons, domains, servers or regions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The daemon is killed. It restarts without its state when the fault ends.
    Kill(usize),
    /// All daemons of a failure domain are killed.
    KillDomain(usize),
    /// The daemon is stopped by a signal. It continues when the fault ends.
    Pause(usize),
    /// A failure domain is disconnected from all others and from the key-value service.
    Isolate(usize),
    /// Two failure domains are disconnected from each other; [`STORE`] is the key-value service.
    Cut(usize, usize),
    /// This percentage of datagrams is lost or duplicated; datagrams are also reordered.
    Loss(u32),
    StoreDown,
    /// Responses of the key-value service are lost after the write has taken effect.
    StoreLosesResponses,
    /// Reads of the key-value service may return earlier values.
    StoreStale,
    ServerDown(usize),
    /// The server rejects all requests as if its slots were in use.
    Shed(usize),
    /// Connections to the server break while a request is executed.
    ConnectionsBreak(usize),
    /// Daemons poll neither the backend servers nor the platform.
    PollsStop,
    /// The server reports this number of slots in use, whatever the real number is.
    MisreportedUse(usize, u32),
    /// All daemons and backend servers of a region are killed.
    KillRegion(usize),
}

/// Fault with its start time, relative to the start of the load, and duration.
#[derive(Debug, Clone, Copy)]
pub struct TimedFault {
    pub fault: Fault,
    pub at: Micros,
    pub duration: Micros,
}

impl TimedFault {
    pub fn end(&self) -> Micros {
        self.at + self.duration
    }
}

/// Parameters of one simulation: the seed of delays and load, the number of daemons and the faults.
#[derive(Debug, Clone)]
pub struct Schedule {
    pub seed: u64,
    pub nodes: usize,
    pub faults: Vec<TimedFault>,
}

impl Schedule {
    pub fn faults_end(&self) -> Micros {
        self.faults.iter().map(TimedFault::end).max().unwrap_or(0)
    }

    /// Creates a simulation with a running fleet and schedules the faults.
    pub fn simulation(&self) -> Simulation {
        let mut sim = Simulation::new(self.seed, self.nodes);
        sim.save_stale_entries();
        let start = sim.now;
        for timed in &self.faults {
            sim.fault_at(start + timed.at, timed.fault, true);
            sim.fault_at(start + timed.end(), timed.fault, false);
        }
        sim
    }
}

/// Configuration for a property test over `cases` schedules with a fixed seed. `PROPTEST_CASES` overrides the number.
pub fn config(cases: u32) -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(cases);
    let rng_seed = RngSeed::Fixed(0x6d65_646c);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..Default::default() }
}

/// Generates faults of every kind for a fleet of `nodes` daemons.
pub fn any_fault(nodes: usize) -> BoxedStrategy<Fault> {
    let domains = 0..nodes.min(6);
    prop_oneof![
        process_fault(nodes),
        (domains.clone(), 0..SERVERS)
            .prop_filter("the domains differ", |(a, b)| a != b)
            .prop_map(|(a, b)| Fault::Cut(a, b)),
        select(vec![5, 20, 40]).prop_map(Fault::Loss),
        store_fault(),
        (0..SERVERS).prop_map(Fault::ServerDown),
        (0..SERVERS).prop_map(Fault::Shed),
        (0..SERVERS).prop_map(Fault::ConnectionsBreak),
        measurement_fault(),
        (0..REGIONS).prop_map(Fault::KillRegion),
    ]
    .boxed()
}

pub fn process_fault(nodes: usize) -> BoxedStrategy<Fault> {
    prop_oneof![
        (0..nodes).prop_map(Fault::Kill),
        (0..nodes).prop_map(Fault::Pause),
        (0..nodes.min(6)).prop_map(Fault::Isolate),
    ]
    .boxed()
}

pub fn store_fault() -> BoxedStrategy<Fault> {
    select(vec![Fault::StoreDown, Fault::StoreLosesResponses, Fault::StoreStale]).boxed()
}

pub fn measurement_fault() -> BoxedStrategy<Fault> {
    prop_oneof![
        Just(Fault::PollsStop),
        (0..SERVERS, 0..=SLOTS).prop_map(|(s, n)| Fault::MisreportedUse(s, n))
    ]
    .boxed()
}

/// Generates schedules with one fault, or with two overlapping ones if `two` is set.
pub fn schedules(
    nodes: Range<usize>,
    fault: fn(usize) -> BoxedStrategy<Fault>,
    two: bool,
) -> BoxedStrategy<Schedule> {
    let timed = move |nodes| {
        let times = (0..3 * SEC, 300 * MS..5 * SEC);
        (fault(nodes), times).prop_map(|(fault, (at, duration))| TimedFault { fault, at, duration })
    };
    let schedule = move |(seed, nodes): (u64, usize)| {
        (timed(nodes), timed(nodes)).prop_map(move |(first, mut second)| {
            // The second fault begins during the first.
            second.at = first.at + second.at % first.duration;
            let faults = if two { vec![first, second] } else { vec![first] };
            Schedule { seed, nodes, faults }
        })
    };
    (any::<u64>(), nodes).prop_flat_map(schedule).boxed()
}

impl Simulation {
    /// Begins or ends a cut. Cuts are counted, because several may affect one pair of domains.
    fn cut(&mut self, a: usize, b: usize, begins: bool) {
        let count = self.cuts.entry((a.min(b), a.max(b))).or_default();
        *count = if begins { *count + 1 } else { count.saturating_sub(1) };
        self.cuts.retain(|_, count| *count > 0);
    }

    fn kill_or_start(&mut self, node: usize, begins: bool) {
        match begins {
            true => self.kill(node),
            false => self.start(node),
        }
    }

    pub fn apply_fault(&mut self, fault: Fault, begins: bool) {
        match fault {
            Fault::Kill(node) => self.kill_or_start(node, begins),
            Fault::KillDomain(domain) => {
                for node in (0..self.daemons.len()).filter(|n| domain_of(*n) == domain) {
                    self.kill_or_start(node, begins);
                }
            }
            Fault::KillRegion(region) => {
                for node in (0..self.daemons.len()).filter(|n| region_of(*n) == region) {
                    self.kill_or_start(node, begins);
                }
                for server in (0..SERVERS).filter(|s| region_of(*s) == region) {
                    self.apply_fault(Fault::ServerDown(server), begins);
                }
            }
            Fault::Pause(node) if begins => self.daemons[node].paused = true,
            Fault::Pause(node) => self.resume(node),
            Fault::Isolate(domain) => {
                for other in (0..=STORE).filter(|other| *other != domain) {
                    self.cut(domain, other, begins);
                }
            }
            Fault::Cut(a, b) => self.cut(a, b, begins),
            Fault::Loss(percent) => self.loss_percent = if begins { percent } else { 0 },
            Fault::StoreDown => self.store_down = begins,
            Fault::StoreLosesResponses => self.store_loses_responses = begins,
            Fault::StoreStale => self.store_stale = begins,
            Fault::ServerDown(server) if begins => self.crash(server, 60 * SEC),
            Fault::ServerDown(server) => self.servers[server].up = true,
            Fault::Shed(server) => self.servers[server].shed = begins,
            Fault::ConnectionsBreak(server) => self.servers[server].breaks_connections = begins,
            Fault::PollsStop => self.polls_stopped = begins,
            Fault::MisreportedUse(server, used) => {
                self.servers[server].misreported_use = begins.then_some(used)
            }
        }
    }
}
