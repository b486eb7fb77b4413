//! Faults of a schedule and how they begin and end.

use std::ops::Range;

use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

use super::*;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The process dies and starts again without its state.
    Kill(usize),
    /// All daemons of a failure domain die.
    KillDomain(usize),
    /// The process is stopped by a signal and continues.
    Pause(usize),
    /// A failure domain reaches only itself.
    Isolate(usize),
    Cut(usize, usize),
    /// Datagrams are lost, duplicated and reordered, in percent.
    Loss(u32),
    StoreDown,
    /// Answers of the key-value service get lost after the change took effect.
    StoreLosesResponses,
    StoreStale,
    ServerDown(usize),
    Shed(usize),
    /// Connections break in the middle of a run.
    ConnectionsBreak(usize),
    PollsStop,
    /// The server reports this use.
    MisreportedUse(usize, u32),
    /// All daemons and backend servers of a region die.
    KillRegion(usize),
}

/// A fault with its times after the start of the load.
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

/// One schedule: a seed for delays and load, the size of the fleet and what goes wrong.
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

    /// A sim after its start with the faults of this schedule to come.
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

/// Settings of a check over `cases` schedules with a fixed seed. `PROPTEST_CASES` sets another number of schedules.
pub fn config(cases: u32) -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(cases);
    let rng_seed = RngSeed::Fixed(0x6d65_646c);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..Default::default() }
}

/// Every kind of fault, for a fleet of `nodes`.
pub fn any_fault(nodes: usize) -> BoxedStrategy<Fault> {
    let domains = 0..nodes.min(6);
    prop_oneof![
        process_fault(nodes),
        (domains.clone(), 0..SERVERS)
            .prop_filter("two domains", |(a, b)| a != b)
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

/// Schedules with one fault, or with two that overlap.
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
            // The second begins while the first lasts.
            second.at = first.at + second.at % first.duration;
            let faults = if two { vec![first, second] } else { vec![first] };
            Schedule { seed, nodes, faults }
        })
    };
    (any::<u64>(), nodes).prop_flat_map(schedule).boxed()
}

impl Simulation {
    fn cut(&mut self, a: usize, b: usize, begins: bool) {
        let count = self.cuts.entry((a.min(b), a.max(b))).or_default();
        *count = if begins { *count + 1 } else { count.saturating_sub(1) };
        self.cuts.retain(|_, count| *count > 0);
    }

    fn process(&mut self, node: usize, begins: bool) {
        match begins {
            true => self.kill(node),
            false => self.start(node),
        }
    }

    pub fn apply_fault(&mut self, fault: Fault, begins: bool) {
        match fault {
            Fault::Kill(node) => self.process(node, begins),
            Fault::KillDomain(domain) => {
                for node in (0..self.daemons.len()).filter(|n| domain_of(*n) == domain) {
                    self.process(node, begins);
                }
            }
            Fault::KillRegion(region) => {
                for node in (0..self.daemons.len()).filter(|n| region_of(*n) == region) {
                    self.process(node, begins);
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
