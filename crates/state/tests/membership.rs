//! Simulation tests of the failure detection: daemons exchange gossip over an in-memory queue in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use medlarstair_state::config::Digest;
use medlarstair_state::id::{Boot, Incarnation, NodeId, Revision};
use medlarstair_state::membership::{GOSSIP_MAX_BYTES, Gossip, Liveness, MemberState, Membership};
use medlarstair_state::model::Fleet;
use medlarstair_state::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[path = "../benches/inputs/fleet.rs"]
mod fleets;

use fleets::{CONFIG, fleet};

/// Interval between two ticks of a daemon.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// One-way delay of every message that is not lost.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

struct Peer {
    id: Incarnation,
    membership: Membership,
    config: Digest,
    up: bool,
    paused_until: Timestamp,
    /// Whether messages that arrive during a pause are delivered after it. Otherwise they are lost.
    buffers_messages: bool,
}

enum Event {
    Tick(Incarnation),
    Deliver(NodeId, Incarnation, Gossip),
}

struct Sim {
    fleet: Fleet,
    now: Timestamp,
    peers: BTreeMap<NodeId, Peer>,
    queue: BTreeMap<(Timestamp, u64), Event>,
    sequence: u64,
    rng: Pcg64Mcg,
    loss: f64,
    /// One side of a network partition; empty without one.
    isolated: BTreeSet<NodeId>,
    messages: u64,
    bytes: u64,
    /// Only one message in this many is encoded to check and count its bytes, which are extrapolated to all messages.
    encode_every: u64,
    /// Messages sent since recording began, for a replay. `None` while not recording.
    recorded: Option<Vec<(Incarnation, Gossip)>>,
    /// How often a daemon found a member suspected at one of its ticks, over all pairs of daemons.
    suspected: u64,
    /// The same for members found dead.
    dead: u64,
}

impl Sim {
    fn new(domains: &[u32], loss: f64, seed: u64) -> Self {
        let mut sim = Self {
            fleet: fleet(domains),
            now: Timestamp::ZERO,
            peers: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss,
            isolated: BTreeSet::new(),
            messages: 0,
            bytes: 0,
            encode_every: 1,
            recorded: None,
            suspected: 0,
            dead: 0,
        };
        for node in sim.nodes() {
            // Boots are microseconds since 1970, as in the daemon.
            let boot = Boot(1_790_000_000_000_000 + sim.rng.random_range(0..1_000_000));
            sim.start(node, boot);
        }
        sim
    }

    fn nodes(&self) -> Vec<NodeId> {
        self.fleet.members.iter().map(|m| m.node).collect()
    }

    fn start(&mut self, node: NodeId, boot: Boot) {
        let domain = self.fleet.members.iter().find(|m| m.node == node).unwrap().domain.clone();
        let id = Incarnation { node, boot };
        let mut membership = Membership::new(id, domain, Default::default(), self.now);
        membership.set_fleet(self.now, &self.fleet);
        let peer =
            Peer { id, membership, config: CONFIG, up: true, paused_until: self.now, buffers_messages: true };
        self.peers.insert(node, peer);
        let phase = Duration::from_micros(self.rng.random_range(0..200_000));
        self.push(self.now + phase, Event::Tick(id));
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    fn peer(&mut self, node: NodeId) -> &mut Peer {
        self.peers.get_mut(&node).unwrap()
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let event = entry.remove();
            let node = match &event {
                Event::Tick(id) => id.node,
                Event::Deliver(to, ..) => *to,
            };
            let peer = &self.peers[&node];
            if !peer.up {
                continue;
            }
            if peer.paused_until > self.now {
                if peer.buffers_messages || matches!(event, Event::Tick(_)) {
                    self.push(peer.paused_until, event);
                }
                continue;
            }
            match event {
                Event::Tick(id) => self.tick(id),
                Event::Deliver(to, from, gossip) => {
                    let now = self.now;
                    self.peer(to).membership.on_gossip(now, from, &gossip);
                }
            }
        }
        self.now = end;
    }

    fn tick(&mut self, id: Incarnation) {
        let peer = self.peers.get_mut(&id.node).unwrap();
        if peer.id != id {
            return;
        }
        for member in &self.fleet.members {
            match peer.membership.liveness(self.now, member.node) {
                Liveness::Alive => {}
                Liveness::Suspect => self.suspected += 1,
                Liveness::Dead => self.dead += 1,
            }
        }
        let sent = peer.membership.tick(self.now, &mut self.rng, peer.config);
        for (to, gossip) in sent {
            self.messages += 1;
            if self.messages.is_multiple_of(self.encode_every) {
                let bytes = postcard::to_stdvec(&gossip).unwrap().len();
                assert!(bytes <= GOSSIP_MAX_BYTES, "{bytes} bytes from {id}");
                self.bytes += bytes as u64 * self.encode_every;
            }
            if let Some(recorded) = &mut self.recorded {
                recorded.push((id, gossip.clone()));
            }
            let is_lost = self.isolated.contains(&id.node) != self.isolated.contains(&to);
            if !is_lost && !self.rng.random_bool(self.loss) {
                self.push(self.now + NETWORK_DELAY, Event::Deliver(to, id, gossip));
            }
        }
        self.push(self.now + GOSSIP_PERIOD, Event::Tick(id));
    }

    /// Whether every daemon knows the incarnation of every other.
    fn is_converged(&self) -> bool {
        let knows = |peer: &Peer, other: &Peer| {
            peer.id == other.id
                || peer.membership.member_state(other.id.node).is_some_and(|m| m.id == other.id)
        };
        self.peers.values().all(|peer| self.peers.values().all(|other| knows(peer, other)))
    }

    /// The liveness of `node` as seen by each other daemon that is up.
    fn views_of(&self, node: NodeId) -> Vec<Liveness> {
        let others = self.peers.values().filter(|p| p.up && p.id.node != node);
        others.map(|p| p.membership.liveness(self.now, node)).collect()
    }

    fn all_agree(&self, node: NodeId, liveness: Liveness) -> bool {
        self.views_of(node).iter().all(|&l| l == liveness)
    }
}

const DOMAIN_SIZES: [&[u32]; 2] = [&[2, 1, 1, 1, 1, 1], &[95]];

/// Guards against slow detection: every daemon considers a crashed daemon dead within 3 s plus 5 gossip periods.
#[test]
fn deaths_are_detected_everywhere_in_time() {
    for domains in [DOMAIN_SIZES[0], &[30], DOMAIN_SIZES[1]] {
        for loss in [0.0, 0.01, 0.05] {
            let mut sim = Sim::new(domains, loss, 11);
            let mut times = Vec::new();
            sim.run(secs(5.0));
            for round in 0..5 {
                let victim = NodeId(1000 + round);
                sim.peer(victim).up = false;
                sim.run(secs(2.0));
                assert!(!sim.views_of(victim).contains(&Liveness::Dead));
                let mut after = secs(2.0);
                let mut known = 0;
                while !sim.all_agree(victim, Liveness::Dead) {
                    sim.run(secs(0.01));
                    after += secs(0.01);
                    let views = sim.views_of(victim);
                    let dead = views.iter().filter(|&&l| l == Liveness::Dead).count();
                    times.extend(std::iter::repeat_n(after, dead.saturating_sub(known)));
                    known = known.max(dead);
                    assert!(after < secs(10.0), "not detected");
                }
                if loss <= 0.01 {
                    assert!(after <= secs(3.0) + 5 * GOSSIP_PERIOD, "{domains:?} at loss {loss}: {after:?}");
                }
                let boot = Boot(sim.peers[&victim].id.boot.0 + 60_000_000);
                sim.start(victim, boot);
                sim.run(secs(5.0));
                assert!(sim.all_agree(victim, Liveness::Alive), "restart with a higher boot");
            }
            times.sort();
            println!(
                "{} daemons, loss {loss}: dead after {:?} median, {:?} maximum",
                sim.peers.len(),
                times[times.len() / 2],
                times[times.len() - 1]
            );
        }
    }
}

/// Guards against slow convergence after all daemons of a domain, or one of them, have started: within 3 s every daemon
/// knows the incarnation of every other.
#[test]
fn a_started_domain_converges() {
    for size in [7, 30, 95] {
        let mut sim = Sim::new(&[size], 0.01, 20);
        let nodes = sim.nodes();
        for started in [&nodes[..], &nodes[..1]] {
            if started.len() == 1 {
                sim.run(secs(10.0));
                sim.start(nodes[0], Boot(1_800_000_000_000_000));
            }
            (sim.messages, sim.bytes) = (0, 0);
            let from = sim.now;
            let mut watching = 0;
            while !sim.is_converged() {
                sim.run(secs(0.05));
                let watches = |p: &&Peer| p.membership.watchers(sim.now).contains(&p.id.node);
                watching = watching.max(sim.peers.values().filter(watches).count());
                assert!(sim.now.since(from) <= secs(3.0), "{size} daemons, {} started", started.len());
            }
            println!(
                "{size} daemons, {} started: converged after {:?}; at most {watching} watch; \
                 {} messages, {} bytes sent per daemon",
                started.len(),
                sim.now.since(from),
                sim.messages / u64::from(size),
                sim.bytes / u64::from(size)
            );
        }
        assert_eq!(sim.dead, 0);
    }
}

/// Guards against live daemons that are considered dead because messages are lost.
#[test]
fn message_loss_causes_no_false_death() {
    for domains in DOMAIN_SIZES {
        let mut sim = Sim::new(domains, 0.05, 12);
        sim.encode_every = 7;
        sim.run(secs(5.0));
        (sim.suspected, sim.messages, sim.bytes) = (0, 0, 0);
        sim.run(secs(600.0));
        assert_eq!(sim.dead, 0);
        let n = sim.peers.len() as f64;
        println!(
            "{n} daemons, 10 min at 5 % loss: {} suspected of {} checks; per daemon and second {:.1} messages, {:.0} bytes",
            sim.suspected,
            n * n * 3000.0,
            sim.messages as f64 / n / 600.0,
            sim.bytes as f64 / n / 600.0
        );
    }
}

/// Guards against a daemon that considers the others dead after its own pause, and against others that continue to
/// consider it dead.
#[test]
fn a_resumed_daemon_keeps_others_alive() {
    for domains in DOMAIN_SIZES {
        for (pause, buffers_messages) in [(2.0, true), (10.0, true), (2.0, false), (10.0, false)] {
            let mut sim = Sim::new(domains, 0.01, 13);
            sim.run(secs(5.0));
            let paused = NodeId(1001);
            sim.peer(paused).paused_until = sim.now + secs(pause);
            sim.peer(paused).buffers_messages = buffers_messages;
            sim.run(secs(pause - 0.001));
            let expected = if pause < 3.0 { Liveness::Suspect } else { Liveness::Dead };
            assert!(sim.all_agree(paused, expected));
            for _ in 0..400 {
                sim.run(secs(0.01));
                let membership = &sim.peers[&paused].membership;
                assert_eq!(membership.live_nodes(sim.now).len(), sim.peers.len(), "pause of {pause} s");
            }
            assert!(sim.all_agree(paused, Liveness::Alive), "pause of {pause} s");
        }
    }
}

/// Guards against the sides of a partition that continue to consider each other dead after it has healed, or that have
/// no watcher while it lasts.
#[test]
fn partitions_heal() {
    for (domains, cut) in [
        (DOMAIN_SIZES[0], 2),
        (DOMAIN_SIZES[0], 1),
        (DOMAIN_SIZES[1], 40),
        (DOMAIN_SIZES[1], 1),
        (&[8, 8, 8], 8),
    ] {
        let mut sim = Sim::new(domains, 0.01, 14);
        sim.run(secs(5.0));
        let nodes = sim.nodes();
        sim.isolated = nodes[..cut].iter().copied().collect();
        sim.run(secs(60.0));
        for peer in sim.peers.values() {
            let here = sim.isolated.contains(&peer.id.node);
            for node in peer.membership.live_nodes(sim.now) {
                assert_eq!(sim.isolated.contains(&node), here, "{domains:?} {cut}");
            }
            assert!(!peer.membership.watchers(sim.now).is_empty());
        }
        sim.isolated.clear();
        sim.run(secs(10.0));
        for &node in &nodes {
            assert!(sim.all_agree(node, Liveness::Alive), "{domains:?} {cut}: {node}");
        }
    }
}

/// Guards against old messages that make a dead daemon appear alive again.
#[test]
fn stale_gossip_does_not_revive() {
    for domains in DOMAIN_SIZES {
        let mut sim = Sim::new(domains, 0.0, 15);
        sim.run(secs(40.0));
        sim.recorded = Some(Vec::new());
        sim.run(secs(3.0));
        let victim = NodeId(1000);
        sim.peer(victim).up = false;
        sim.run(secs(1.0));
        let recorded = sim.recorded.take().unwrap();
        sim.run(secs(3.0));
        assert!(sim.all_agree(victim, Liveness::Dead));
        for wait in [0.0, 30.0, 60.0] {
            sim.run(secs(wait));
            for (from, gossip) in recorded.iter().take(2000) {
                let now = sim.now;
                for peer in sim.peers.values_mut().filter(|p| p.up && p.id != *from).take(8) {
                    peer.membership.on_gossip(now, *from, gossip);
                }
            }
            for _ in 0..10 {
                assert!(sim.all_agree(victim, Liveness::Dead));
                sim.run(secs(0.4));
            }
            for node in sim.nodes().into_iter().skip(1) {
                assert!(sim.all_agree(node, Liveness::Alive), "{node} is not alive after old messages");
            }
        }
    }
}

/// Guards against heartbeats from before a crash that reach a daemon only after it has detected the crash.
#[test]
fn late_heartbeats_do_not_revive() {
    let mut sim = Sim::new(&[3], 0.0, 18);
    sim.run(secs(5.0));
    let [victim, observer, other] = sim.nodes()[..] else { panic!("three daemons") };
    sim.peer(victim).up = false;
    sim.run(secs(3.5));
    assert!(sim.all_agree(victim, Liveness::Dead));
    let last = *sim.peers[&observer].membership.member_state(victim).unwrap();
    let sender = *sim.peers[&observer].membership.member_state(other).unwrap();
    for (advance, expected) in [(1, Liveness::Dead), (5, Liveness::Dead), (15, Liveness::Alive)] {
        let state = MemberState { heartbeat: last.heartbeat + advance, ..last };
        let gossip = Gossip { members: vec![sender, state], ..Gossip::default() };
        let now = sim.now;
        let membership = &mut sim.peer(observer).membership;
        membership.on_gossip(now, sender.id, &gossip);
        assert_eq!(membership.liveness(now, victim), expected, "{advance} heartbeats later");
    }
}

/// Guards against compact heartbeats of an earlier incarnation that advance the counter of the new one. The new
/// incarnation's own heartbeats would then appear outdated.
#[test]
fn a_quick_restart_is_not_a_death() {
    for domains in DOMAIN_SIZES {
        let mut sim = Sim::new(domains, 0.01, 19);
        sim.run(secs(18.0));
        let node = NodeId(1001);
        let boot = Boot(sim.peers[&node].id.boot.0 + 300_001);
        sim.start(node, boot);
        for _ in 0..150 {
            sim.run(secs(0.1));
            assert!(!sim.views_of(node).contains(&Liveness::Dead), "{domains:?} at {}", sim.now);
        }
        assert!(sim.all_agree(node, Liveness::Alive));
        let others = sim.peers.values().filter(|p| p.id.node != node);
        assert!(others.flat_map(|p| p.membership.member_state(node)).all(|m| m.id.boot == boot));
    }
}

/// Guards against daemons that select different watchers or delegates, that select dead or leaving watchers or dead
/// delegates, or that select none.
#[test]
fn roles_converge() {
    let mut sim = Sim::new(&[95], 0.01, 16);
    let mut excluded = BTreeSet::new();
    for step in 0..4 {
        sim.run(secs(8.0));
        let watching = sim.peers.values().find(|p| p.up).unwrap().membership.watchers(sim.now);
        let delegates = sim.peers.values().find(|p| p.up).unwrap().membership.delegates(sim.now);
        assert_eq!((watching.len(), delegates.len()), (2, 3));
        for peer in sim.peers.values().filter(|p| p.up) {
            assert_eq!(peer.membership.watchers(sim.now), watching, "step {step}");
            assert_eq!(peer.membership.delegates(sim.now), delegates, "step {step}");
        }
        assert!(watching.iter().all(|w| !excluded.contains(w)), "step {step}");
        assert!(delegates.iter().all(|d| sim.peers[d].up), "step {step}");
        excluded.insert(watching[0]);
        if step % 2 == 0 {
            sim.peer(watching[0]).up = false;
        } else {
            sim.peer(watching[0]).membership.set_leaving();
        }
    }
    let last = sim.nodes()[0];
    for node in sim.nodes().into_iter().skip(1) {
        sim.peer(node).up = false;
    }
    sim.peer(last).up = true;
    sim.start(last, Boot(u64::MAX));
    sim.run(secs(5.0));
    assert_eq!(sim.peers[&last].membership.watchers(sim.now), [last]);
}

/// Guards against counts of daemons with the configuration in force that do not follow a change, or that include
/// daemons without it.
#[test]
fn configuration_in_force_is_counted() {
    for domains in [DOMAIN_SIZES[0], &[95], &[8, 8, 8]] {
        let mut sim = Sim::new(domains, 0.01, 17);
        sim.run(secs(5.0));
        let changed = Digest { entries: 41, highest: Revision(70_001), hash: 1 };
        let nodes = sim.nodes();
        let (last, rest) = nodes.split_last().unwrap();
        for &node in rest {
            sim.peer(node).config = changed;
        }
        let in_force = |sim: &Sim| {
            let views = sim.peers[&nodes[0]].membership.domain_statuses(sim.now);
            (views.iter().map(|v| v.in_force).sum::<usize>(), views.iter().map(|v| v.live).sum::<usize>())
        };
        sim.run(secs(4.0));
        assert_eq!(in_force(&sim), (nodes.len() - 1, nodes.len()));
        sim.peer(*last).config = changed;
        sim.run(secs(4.0));
        assert_eq!(in_force(&sim), (nodes.len(), nodes.len()));
        sim.peer(*last).up = false;
        sim.run(secs(6.0));
        assert_eq!(in_force(&sim), (nodes.len() - 1, nodes.len() - 1));
    }
}
