//! Simulation and unit tests of the ledger: the units in use over all daemons never exceed a limit under message loss,
//! duplication, reordering and partitions, clock drift, pauses and restarts; and without these, idle units can be
//! borrowed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::LazyLock;
use std::time::Duration;

use medlarstair_state::id::{Boot, Incarnation, NodeId};
use medlarstair_state::ledger::*;
use medlarstair_state::model::{Fleet, FleetMember, MAX_RUN_TIME};
use medlarstair_state::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Microseconds of real time.
type Micros = u64;

const TICK: Micros = 20_000;

/// Real time after which every request that an earlier, higher limit admitted has ended, with clocks that are 2 % slow.
const REVOCATION_DELAY: Micros = 12_000_000;

fn member(node: u32) -> FleetMember {
    let region = match node % 7 {
        0 => "south",
        1..=4 => "east",
        _ => "west",
    };
    let address = "127.0.0.1:7000".parse().unwrap();
    FleetMember {
        node: NodeId(node),
        region: region.parse().unwrap(),
        domain: format!("{region}-{}", node % 2).parse().unwrap(),
        peer_address: address,
        http_address: address,
    }
}

fn fleet(nodes: impl IntoIterator<Item = u32>) -> Fleet {
    Fleet { members: nodes.into_iter().map(member).collect(), previous: Vec::new() }
}

/// The last limit belongs to daemon 0 alone. With idle shares of other daemons, a unit that is used twice would not
/// show as an excess over the limit.
static LIMITS: LazyLock<[(LimitKey, Scope); 3]> = LazyLock::new(|| {
    let home = |region: &str, domain: &str| Scope::Home {
        region: region.parse().unwrap(),
        domain: domain.parse().unwrap(),
    };
    let slots = |backend: &str| LimitKey::Slots(backend.parse().unwrap());
    let rate = LimitKey::Rate("acme".parse().unwrap(), "stock".parse().unwrap());
    [(slots("b1"), home("east", "east-0")), (rate, Scope::Fleet), (slots("b2"), home("south", "south-0"))]
});

#[derive(Debug, Clone)]
enum Message {
    Request(LoanRequest),
    Grant(LoanGrant),
    Return(LoanReturn),
    Audit(LoanAudit),
    Answer(LoanAuditAnswer),
    /// Version of the value, index in [`LIMITS`] and units.
    Limit(u64, usize, u32),
    /// Version of the value, and the fleet.
    Fleet(u64, Fleet),
}

#[derive(Debug)]
struct Daemon {
    ledger: Ledger,
    boot: u64,
    /// Rate of its clock in percent of real time.
    speed: u64,
    paused_until: Micros,
    busy: bool,
    /// Version and units of each limit in force.
    limits: [(u64, u32); 3],
    /// Fleet in force: version of the value, and the time at which it was received.
    fleet: (u64, Micros),
    inbox: Vec<Message>,
}

#[derive(Debug)]
struct Running {
    daemon: usize,
    key: usize,
    units: u32,
    start: Micros,
    end: Micros,
    hold: Option<Hold>,
}

#[derive(Debug, Clone, Copy)]
struct Network {
    loss: f64,
    duplicated: f64,
    /// Maximum delay, except that one message in twenty is delayed by up to 3 s if messages can be lost.
    delay: Micros,
}

/// Use of limits by busy daemons.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// Probability that a request runs for the longest time allowed.
    long_running: f64,
    /// Probability of a delay between acquiring the units of a request and dispatching it.
    delayed_dispatch: f64,
    /// Most units that one request uses and that one loan request asks for.
    max_units: u32,
}

/// Simulation of several ledgers in virtual time.
struct Sim {
    now: Micros,
    rng: Pcg32,
    net: Network,
    load: Load,
    daemons: Vec<Daemon>,
    in_flight: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    messages: Vec<Option<Message>>,
    running: Vec<Running>,
    /// One bit per daemon; daemons with different bits cannot reach each other.
    partition: u8,
    values: u64,
    limits: [(u64, u32); 3],
    fleet: (u64, Fleet),
    /// For each limit, the time at which each of its values was last in force at any daemon.
    recent_limits: [BTreeMap<u32, Micros>; 3],
}

impl Sim {
    fn new(seed: u64, net: Network, load: Load, speeds: &[u64], limits: [u32; 3]) -> Self {
        let mut sim = Self {
            now: 1_000_000,
            rng: Pcg32::seed_from_u64(seed),
            net,
            load,
            daemons: Vec::new(),
            in_flight: BinaryHeap::new(),
            messages: Vec::new(),
            running: Vec::new(),
            partition: 0,
            values: 1,
            limits: limits.map(|l| (1, l)),
            fleet: (1, fleet(0..speeds.len() as u32)),
            recent_limits: Default::default(),
        };
        for (d, &speed) in speeds.iter().enumerate() {
            let daemon = sim.boot(d, 1, speed);
            sim.daemons.push(daemon);
        }
        sim
    }

    fn boot(&self, d: usize, boot: u64, speed: u64) -> Daemon {
        let now = Timestamp(self.now * speed / 100);
        let me = Incarnation { node: NodeId(d as u32), boot: Boot(boot) };
        let mut ledger = Ledger::new(me, now);
        ledger.set_fleet(now, &self.fleet.1);
        for (k, (key, scope)) in LIMITS.clone().into_iter().enumerate() {
            ledger.set_limit(now, key, Units(self.limits[k].1), scope);
        }
        let fleet = (self.fleet.0, self.now);
        let (limits, inbox) = (self.limits, Vec::new());
        Daemon { ledger, boot, speed, paused_until: 0, busy: false, limits, fleet, inbox }
    }

    fn clock(&self, d: usize) -> Timestamp {
        Timestamp(self.now * self.daemons[d].speed / 100)
    }

    fn to_real_time(&self, d: usize, t: Timestamp) -> Micros {
        t.0 * 100 / self.daemons[d].speed
    }

    fn send(&mut self, from: usize, to: NodeId, message: Message) {
        let to = to.0 as usize;
        let is_partitioned = (self.partition >> from ^ self.partition >> to) & 1 == 1;
        if is_partitioned || self.rng.random_bool(self.net.loss) {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random_bool(self.net.duplicated)) {
            let slow = self.net.loss > 0.0 && self.rng.random_bool(0.05);
            let most = if slow { 3_000_000 } else { self.net.delay };
            let delay = self.rng.random_range(0..=most);
            self.deliver_after(delay, to, message.clone());
        }
    }

    fn deliver_after(&mut self, delay: Micros, to: usize, message: Message) {
        self.in_flight.push(Reverse((self.now + delay, self.messages.len() as u64, to)));
        self.messages.push(Some(message));
    }

    /// Publishes a configuration value, which reaches every daemon within 2 s.
    fn publish(&mut self, message: &Message) {
        for d in 0..self.daemons.len() {
            let delay = self.rng.random_range(0..=2_000_000);
            self.deliver_after(delay, d, message.clone());
        }
    }

    fn set_limit(&mut self, k: usize, limit: u32) {
        self.values += 1;
        self.limits[k] = (self.values, limit);
        self.publish(&Message::Limit(self.values, k, limit));
    }

    fn set_fleet(&mut self, fleet: Fleet) {
        self.values += 1;
        self.fleet = (self.values, fleet.clone());
        self.publish(&Message::Fleet(self.values, fleet));
    }

    /// Starts a fleet change unless one is in progress.
    fn change_fleet(&mut self, mask: u8) {
        let nodes: Vec<_> = (0..self.daemons.len() as u32).filter(|n| mask >> n & 1 == 1).collect();
        let next = fleet(nodes);
        if !self.fleet.1.previous.is_empty()
            || next.members.is_empty()
            || next.members == self.fleet.1.members
        {
            return;
        }
        let previous = self.fleet.1.members.clone();
        self.set_fleet(Fleet { previous, ..next });
    }

    /// Completes a fleet change once every previous and new member has had the joint value for the lifetime of a loan.
    fn complete_fleet(&mut self) {
        let (version, joint) = &self.fleet;
        let wait = with_drift_margin(LOAN_LIFETIME).as_micros() as u64;
        let is_ready = |m: &FleetMember| {
            let (seen, since) = self.daemons[m.node.0 as usize].fleet;
            seen == *version && self.now >= since + wait
        };
        if joint.previous.is_empty() || !joint.members.iter().chain(&joint.previous).all(is_ready) {
            return;
        }
        self.set_fleet(Fleet { members: joint.members.clone(), previous: Vec::new() });
    }

    /// Restarts the process. Its connections are closed, which cancels its requests.
    fn restart(&mut self, d: usize) {
        self.running.retain(|r| r.daemon != d);
        self.daemons[d] = self.boot(d, self.daemons[d].boot + 1, self.daemons[d].speed);
    }

    fn handle(&mut self, d: usize, message: Message) {
        let now = self.clock(d);
        let daemon = &mut self.daemons[d];
        let ledger = &mut daemon.ledger;
        match message {
            Message::Request(req) => {
                let LoanTarget::Limit(key) = &req.want else { unreachable!() };
                let mut items = vec![LoanItem { key: key.clone(), units: req.units }];
                if req.renews.is_some() {
                    items = ledger.renewable_items(now, &req);
                    let refused =
                        if daemon.busy { self.rng.random_range(0..=self.load.max_units) } else { 0 };
                    items.iter_mut().for_each(|i| i.units = i.units.saturating_sub(Units(refused)));
                }
                let grant = ledger.lend(now, &req, &items);
                self.send(d, req.id.borrower.node, Message::Grant(grant));
            }
            Message::Grant(grant) => {
                ledger.on_grant(now, &grant);
            }
            Message::Return(ret) => ledger.on_return(now, &ret),
            Message::Audit(audit) => {
                let answer = ledger.on_audit(now, &audit);
                self.send(d, audit.lender.node, Message::Answer(answer));
            }
            Message::Answer(answer) => ledger.on_audit_answer(now, &answer),
            Message::Limit(version, k, limit) if version > daemon.limits[k].0 => {
                let (key, scope) = LIMITS[k].clone();
                ledger.set_limit(now, key, Units(limit), scope);
                daemon.limits[k] = (version, limit);
            }
            Message::Fleet(version, fleet) if version > daemon.fleet.0 => {
                ledger.set_fleet(now, &fleet);
                daemon.fleet = (version, self.now);
            }
            Message::Limit(..) | Message::Fleet(..) => {}
        }
    }

    /// Handles received messages, ends requests and runs the periodic calls of the ledger.
    fn tick(&mut self, d: usize) {
        let now = self.clock(d);
        for message in std::mem::take(&mut self.daemons[d].inbox) {
            self.handle(d, message);
        }
        let ledger = &mut self.daemons[d].ledger;
        ledger.expire(now);
        for r in self.running.iter_mut().filter(|r| r.daemon == d && r.end <= self.now) {
            let Some(hold) = r.hold.take() else { continue };
            ledger.release(now, hold);
        }
        let audits = ledger.due_audits(now).into_iter().map(|(n, a)| (n, Message::Audit(a)));
        let renewals = ledger.due_renewals(now).into_iter().map(|r| (r.lender, Message::Request(r)));
        let returns = ledger.take_returns(now).into_iter().map(|(n, r)| (n, Message::Return(r)));
        for (to, message) in audits.chain(renewals).chain(returns) {
            self.send(d, to, message);
        }
        if self.daemons[d].busy {
            for k in 0..LIMITS.len() {
                self.use_and_borrow(d, k);
            }
        }
    }

    /// Uses all free units of limit `k` and requests a loan.
    fn use_and_borrow(&mut self, d: usize, k: usize) {
        let now = self.clock(d);
        let (key, _) = &LIMITS[k];
        while self.daemons[d].ledger.free_units(now, key) > Units::ZERO {
            let units = self.daemons[d]
                .ledger
                .free_units(now, key)
                .0
                .min(self.rng.random_range(1..=self.load.max_units));
            let hold = self.daemons[d].ledger.acquire(now, key, Units(units)).unwrap();
            self.run(d, k, units, hold);
        }
        let home = self.daemons[d].ledger.home_set(key).to_vec();
        if home.is_empty() {
            return;
        }
        let lender = home[self.rng.random_range(0..home.len())];
        let units = Units(self.rng.random_range(1..=self.load.max_units));
        let request = self.daemons[d].ledger.request_loan(now, lender, LoanTarget::Limit(key.clone()), units);
        if let Some(request) = request {
            self.send(d, lender, Message::Request(request));
        }
    }

    fn run(&mut self, d: usize, k: usize, units: u32, hold: Hold) {
        let longest = self.to_real_time(d, Timestamp::ZERO + MAX_RUN_TIME);
        let mut start = self.now;
        let mut latest = self.now + longest;
        if let Some(deadline) = hold.deadline() {
            let until = self.to_real_time(d, deadline);
            if self.rng.random_bool(self.load.delayed_dispatch) {
                start = self.rng.random_range(start..until);
            }
            latest = (start + longest).min(until);
        }
        let run = if self.rng.random_bool(self.load.long_running) {
            longest
        } else {
            self.rng.random_range(1_000..500_000)
        };
        let end = (start + run).min(latest);
        self.running.push(Running { daemon: d, key: k, units, start, end, hold: Some(hold) });
    }

    fn step(&mut self) -> Result<(), TestCaseError> {
        self.now += TICK;
        while self.in_flight.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
            let Some(Reverse((_, index, to))) = self.in_flight.pop() else { break };
            let message = self.messages[index as usize].take().unwrap();
            self.daemons[to].inbox.push(message);
        }
        for d in 0..self.daemons.len() {
            if self.daemons[d].paused_until <= self.now {
                self.tick(d);
            }
        }
        self.running.retain(|r| r.hold.is_some());
        self.complete_fleet();
        self.check()
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        for k in 0..LIMITS.len() {
            let recent_limits = &mut self.recent_limits[k];
            recent_limits.extend(self.daemons.iter().map(|d| (d.limits[k].1, self.now)));
            recent_limits.retain(|_, at| *at + REVOCATION_DELAY >= self.now);
            let highest = *recent_limits.keys().max().unwrap();
            let runs = |r: &&Running| r.key == k && r.start <= self.now && self.now < r.end;
            let in_use: u32 = self.running.iter().filter(runs).map(|r| r.units).sum();
            prop_assert!(
                in_use <= highest,
                "{in_use} of {highest} units of limit {k} in use at {}",
                self.now
            );
        }
        Ok(())
    }

    fn advance(&mut self, span: Duration) -> Result<(), TestCaseError> {
        for _ in 0..span.as_micros() as u64 / TICK {
            self.step()?;
        }
        Ok(())
    }
}

#[derive(Debug, Clone)]
enum Op {
    Advance(u64),
    Busy(usize, bool),
    /// Sets every daemon to busy or idle, and the given one, if it exists, to the opposite.
    BusyExcept(usize, bool),
    Pause(usize, u64),
    Restart(usize),
    Cut(u8),
    Heal,
    Limit(usize, u32),
    Fleet(u8),
}

fn op() -> impl Strategy<Value = Op> {
    let d = 0..7_usize;
    prop_oneof![
        12 => (10..1_500_u64).prop_map(Op::Advance),
        2 => (8_000..14_000_u64).prop_map(Op::Advance),
        8 => (d.clone(), prop::bool::weighted(0.6)).prop_map(|(d, on)| Op::Busy(d, on)),
        6 => (d.clone(), prop::bool::weighted(0.6)).prop_map(|(d, on)| Op::BusyExcept(d, on)),
        3 => (d.clone(), 100..16_000_u64).prop_map(|(d, ms)| Op::Pause(d, ms)),
        4 => d.prop_map(Op::Restart),
        1 => any::<u8>().prop_map(Op::Cut),
        2 => Just(Op::Heal),
        1 => (0..3_usize, 0..60_u32).prop_map(|(k, limit)| Op::Limit(k, limit)),
        2 => any::<u8>().prop_map(Op::Fleet),
    ]
}

fn apply(sim: &mut Sim, op: &Op) -> Result<(), TestCaseError> {
    let n = sim.daemons.len();
    match *op {
        Op::Advance(ms) => sim.advance(Duration::from_millis(ms))?,
        Op::Busy(d, busy) => sim.daemons[d % n].busy = busy,
        Op::BusyExcept(except, busy) => {
            for (d, daemon) in sim.daemons.iter_mut().enumerate() {
                daemon.busy = busy != (d == except);
            }
        }
        Op::Pause(d, ms) => sim.daemons[d % n].paused_until = sim.now + ms * 1_000,
        Op::Restart(d) => sim.restart(d % n),
        Op::Cut(partition) => sim.partition = partition,
        Op::Heal => sim.partition = 0,
        Op::Limit(k, limit) => sim.set_limit(k, limit),
        Op::Fleet(mask) => sim.change_fleet(mask),
    }
    Ok(())
}

/// The environment variable `LEDGER_CASES` sets the number of cases; the default is 100.
fn config() -> ProptestConfig {
    let seed = RngSeed::Fixed(0x006d_6564_6c61_7273);
    let cases = std::env::var("LEDGER_CASES").ok().and_then(|s| s.parse().ok()).unwrap_or(100);
    ProptestConfig { cases, rng_seed: seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against two daemons that use the same units at the same time.
    #[test]
    fn units_in_use_never_exceed_the_limit(
        seed: u64,
        speeds in prop::collection::vec(prop::sample::select(vec![98_u64, 100, 102]), 2..=7),
        limits in [1..40_u32, 1..80_u32, 1..20_u32],
        loss in 0.0..0.4,
        duplicated in 0.0..0.4,
        delay in prop_oneof![Just(1_000_u64), 1_000..400_000_u64],
        long_running in 0.1..1.0,
        delayed_dispatch in 0.0..0.8,
        max_units in prop_oneof![Just(1_u32), 2..20_u32],
        ops in prop::collection::vec(op(), 1..100),
    ) {
        let load = Load { long_running, delayed_dispatch, max_units };
        let mut sim = Sim::new(seed, Network { loss, duplicated, delay }, load, &speeds, limits);
        for op in &ops {
            apply(&mut sim, op)?;
        }
    }
}

/// Guards against loans that expire early, are not renewed or leave units reserved: the only busy daemon gets at least
/// 90 % of the units for 30 s, and every daemon has its whole share again after that daemon becomes idle.
#[test]
fn idle_units_are_lent_and_returned() {
    let net = Network { loss: 0.0, duplicated: 0.0, delay: 35_000 };
    let mut sim = Sim::new(
        7,
        net,
        Load { long_running: 0.4, delayed_dispatch: 0.1, max_units: 20 },
        &[98, 102, 98, 102, 100, 102, 98],
        [24, 70, 6],
    );
    sim.daemons[0].busy = true;
    sim.advance(Duration::from_secs(5)).unwrap();
    for _ in 0..30 {
        sim.advance(Duration::from_secs(1)).unwrap();
        for (k, limit) in [(0, 24), (1, 70), (2, 6)] {
            let usable = sim.daemons[0].ledger.usable_units(sim.clock(0), &LIMITS[k].0).0;
            assert!(usable * 10 >= limit * 9, "{usable} of {limit} units at {}", sim.now);
        }
    }
    sim.daemons[0].busy = false;
    sim.advance(MAX_RUN_TIME + Duration::from_secs(1)).unwrap();
    for d in 0..7 {
        for (key, _) in LIMITS.iter() {
            let ledger = &sim.daemons[d].ledger;
            assert_eq!(ledger.free_units(sim.clock(d), key), ledger.base_share(key), "daemon {d}");
        }
    }
}

/// Ledgers of daemons that started at time zero. At [`LATER`], their start-up is over.
fn started_ledgers(fleet: &Fleet) -> Vec<Ledger> {
    let ledger = |m: &FleetMember| {
        let mut ledger = Ledger::new(Incarnation { node: m.node, boot: Boot(1) }, Timestamp::ZERO);
        ledger.set_fleet(Timestamp::ZERO, fleet);
        ledger
    };
    fleet.members.iter().map(ledger).collect()
}

const LATER: Timestamp = Timestamp::from_millis(60_000);

/// Guards against shares that do not sum to the limit, and against a share that shrinks when the limit is raised:
/// daemons with different values of the limit could then exceed the higher one together.
#[test]
fn shares_sum_to_the_limit_and_grow_with_it() {
    for nodes in 1..=9 {
        let mut ledgers = started_ledgers(&fleet(0..nodes));
        for (key, scope) in LIMITS.iter().filter(|(_, scope)| nodes > 2 || *scope == Scope::Fleet) {
            let mut before = vec![Units::ZERO; ledgers.len()];
            for limit in 0..=60 {
                for ledger in &mut ledgers {
                    ledger.set_limit(LATER, key.clone(), Units(limit), scope.clone());
                }
                let shares: Vec<_> = ledgers.iter().map(|l| l.base_share(key)).collect();
                assert_eq!(shares.iter().map(|s| s.0).sum::<u32>(), limit, "{key} over {nodes}");
                assert!(shares.iter().zip(&before).all(|(s, b)| s >= b), "{key}: {before:?} to {shares:?}");
                before = shares;
            }
        }
    }
}

/// Guards against slots that are divided among daemons of other regions although the backend server's region has
/// daemons, and against slots that can no longer be used when all daemons of one failure domain fail.
#[test]
fn slots_are_divided_within_the_region_over_two_domains() {
    let ledgers = &mut started_ledgers(&fleet(0..14));
    let (key, scope) = &LIMITS[0];
    ledgers[0].set_limit(LATER, key.clone(), Units(6), scope.clone());
    let home = ledgers[0].home_set(key);
    let near = |n: &NodeId| member(n.0).domain == "east-0".parse().unwrap();
    let in_region = |n: &NodeId| member(n.0).region == "east".parse().unwrap();
    assert!(near(&home[0]) && near(&home[1]) && home.iter().all(in_region), "{home:?}");
    assert_eq!((home.len(), home.iter().filter(|n| near(n)).count()), (HOME_SET_MAX, 2), "{home:?}");
}

/// Guards against a daemon that uses its shares before its audits are answered, or waits longer than the loans of its
/// earlier boots can last.
#[test]
fn shares_are_unused_until_audits_are_answered() {
    let (key, scope) = &LIMITS[1];
    for (members, free_at) in [(1, 0), (2, 11_600)] {
        let ledger = &mut started_ledgers(&fleet(0..members))[0];
        ledger.set_limit(Timestamp::ZERO, key.clone(), Units(10), scope.clone());
        let share = ledger.base_share(key);
        assert_eq!(ledger.due_audits(Timestamp::ZERO).len() as u32, members - 1);
        assert_eq!(ledger.free_units(Timestamp::from_millis(free_at), key), share);
        assert!(free_at == 0 || ledger.free_units(Timestamp::from_millis(free_at - 1), key) == Units::ZERO);
    }
}

/// Two started ledgers, a loan request of the first and the grant of the second.
fn lent_loan() -> (Vec<Ledger>, LoanRequest, LoanGrant) {
    let (key, scope) = &LIMITS[1];
    let mut ledgers = started_ledgers(&fleet(0..2));
    for ledger in &mut ledgers {
        ledger.set_limit(LATER, key.clone(), Units(10), scope.clone());
    }
    let want = LoanTarget::Limit(key.clone());
    let request = ledgers[0].request_loan(LATER, NodeId(1), want.clone(), Units(5)).unwrap();
    assert_eq!(ledgers[0].request_loan(LATER, NodeId(1), want, Units(5)), None, "one is outstanding");
    let grant = ledgers[1].lend(LATER, &request, &[LoanItem { key: key.clone(), units: Units(5) }]);
    (ledgers, request, grant)
}

/// Guards against a grant that is accepted after its lender has restarted: once a borrower has answered an audit, the
/// new boot does not know about loans that the borrower accepts from the earlier one.
#[test]
fn grants_of_earlier_boots_are_refused_after_an_audit() {
    let (mut ledgers, _, grant) = lent_loan();
    let lender = Incarnation { node: NodeId(1), boot: Boot(2) };
    assert!(ledgers[0].on_audit(LATER, &LoanAudit { lender }).loans.is_empty());
    assert!(!ledgers[0].on_grant(LATER, &grant));
    assert!(ledgers[0].on_grant(LATER, &LoanGrant { lender, ..grant.clone() }));
    assert!(!ledgers[0].on_grant(LATER, &LoanGrant { lender, ..grant }), "a duplicate");
}

/// Guards against requests that start after the term of their loan or may run after the loan has expired.
#[test]
fn loans_limit_start_and_end_of_requests() {
    let (mut ledgers, _, grant) = lent_loan();
    let key = &LIMITS[1].0;
    let received = LATER + Duration::from_millis(100);
    assert!(ledgers[0].on_grant(received, &grant));
    let base = ledgers[0].acquire(received, key, Units(5)).unwrap();
    let borrowed = ledgers[0].acquire(received, key, Units(1)).unwrap();
    assert_eq!((base.deadline(), borrowed.deadline()), (None, Some(LATER + LOAN_LIFETIME)));
    assert_eq!(ledgers[0].free_units(LATER + LOAN_TERM - Duration::from_micros(1), key), Units(4));
    assert!(ledgers[0].acquire(LATER + LOAN_TERM, key, Units(1)).is_none());
    assert!(ledgers[0].take_returns(LATER + LOAN_TERM).is_empty(), "in use");
    ledgers[0].release(LATER + LOAN_TERM, borrowed);
    assert_eq!(ledgers[0].take_returns(LATER + LOAN_TERM).len(), 1);
}

/// Guards against units that stay reserved because a duplicate of the request arrives after the return.
#[test]
fn a_returned_loan_is_not_granted_again() {
    let (mut ledgers, request, grant) = lent_loan();
    let key = &LIMITS[1].0;
    assert_eq!(ledgers[1].lend(LATER, &request, &[]), grant, "a duplicate gets the same grant");
    assert_eq!(ledgers[1].lendable_units(LATER, key), Units(0));
    ledgers[1].on_return(LATER, &LoanReturn { id: request.id, accepted: true });
    assert_eq!(ledgers[1].lendable_units(LATER, key), Units(5));
    assert!(ledgers[1].lend(LATER, &request, &grant.items).items.is_empty());
    assert_eq!(ledgers[1].lendable_units(LATER, key), Units(5));
}

/// Guards against returning a late duplicate of a grant whose loan has been renewed: the return would free units on
/// which requests still run.
#[test]
fn a_duplicate_of_a_renewed_grant_is_not_returned() {
    let (mut ledgers, _, grant) = lent_loan();
    let key = &LIMITS[1].0;
    assert!(ledgers[0].on_grant(LATER, &grant));
    let _hold = ledgers[0].acquire(LATER, key, Units(10)).unwrap();
    let renew_at = LATER + LOAN_TERM - RENEWAL_LEAD_TIME;
    let renewal = ledgers[0].due_renewals(renew_at).remove(0);
    assert_eq!(ledgers[1].renewable_items(renew_at, &renewal), grant.items);
    let smaller = LoanItem { key: key.clone(), units: Units(2) };
    let renewed = ledgers[1].lend(renew_at, &renewal, &[smaller]);
    assert!(ledgers[0].on_grant(renew_at, &renewed));
    assert!(!ledgers[0].on_grant(renew_at, &grant));
    assert!(ledgers[0].take_returns(renew_at).is_empty());
    assert_eq!(ledgers[0].usable_units(renew_at, key), Units(7));
    assert_eq!(ledgers[1].usable_units(renew_at, key), Units(0), "reserved until the first loan is over");
}

/// Guards against a lender that reuses lent units while requests still run on the loan. The borrower's clock is slow,
/// the lender's is fast, and requests run until the loan expires.
#[test]
fn loans_end_before_the_lender_reuses_the_units() {
    for (seed, delay) in (0..12).zip([1_000, 280_000].into_iter().cycle()) {
        let net = Network { loss: 0.0, duplicated: 0.0, delay };
        let load = Load { long_running: 1.0, delayed_dispatch: 0.9, max_units: 1 };
        let mut sim = Sim::new(seed, net, load, &[102, 98], [1, 20, 20]);
        sim.daemons[1].busy = true;
        sim.advance(Duration::from_secs(3)).unwrap();
        sim.daemons[0].busy = true;
        sim.advance(Duration::from_secs(40)).unwrap();
    }
}
