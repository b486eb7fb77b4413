//! Memberships that have heard from every daemon of a fleet, without simulating the other daemons.

use std::time::Duration;

use medlarstair_state::id::{Boot, Incarnation, NodeId};
use medlarstair_state::membership::{DomainSummary, Gossip, MemberState, Membership};
use medlarstair_state::model::{Fleet, FleetMember};
use medlarstair_state::time::Timestamp;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

#[path = "fleet.rs"]
pub mod fleets;

use fleets::CONFIG;

/// A daemon that knows all members of its domain and a summary of each other domain.
pub struct MemberFixture {
    pub membership: Membership,
    pub now: Timestamp,
    pub id: Incarnation,
    fleet: Fleet,
    heartbeat: u64,
}

fn state(member: &FleetMember, heartbeat: u64) -> MemberState {
    let boot = Boot(1_790_000_000_000_000 + u64::from(member.node.0) * 7919);
    MemberState { id: Incarnation { node: member.node, boot }, heartbeat, leaving: false, config: CONFIG }
}

/// The daemon at position `index` of the first domain. `domains` lists the number of daemons per domain.
pub fn fixture(domains: &[u32], index: usize) -> MemberFixture {
    let fleet = fleets::fleet(domains);
    let now = Timestamp::from_millis(10);
    let id = state(&fleet.members[index], 0).id;
    let domain = fleet.members[index].domain.clone();
    let mut membership = Membership::new(id, domain, Default::default(), now);
    membership.set_fleet(now, &fleet);
    let mut fixture = MemberFixture { membership, now, id, fleet, heartbeat: 2_000 };
    fixture.merge_all_heartbeats();
    // After 2 s no member counts as recently changed.
    fixture.now = fixture.now + Duration::from_secs(2);
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    fixture.membership.tick(fixture.now, &mut rng, CONFIG);
    fixture.merge_all_heartbeats();
    fixture
}

impl MemberFixture {
    /// Merges a new heartbeat of every daemon of the own domain and of the first three of each other domain.
    pub fn merge_all_heartbeats(&mut self) {
        self.heartbeat += 1;
        let domains = self.fleet.members.chunk_by(|a, b| a.domain == b.domain);
        for members in domains {
            let states: Vec<_> = members.iter().map(|m| state(m, self.heartbeat)).collect();
            if states.iter().any(|s| s.id == self.id) {
                for state in states.into_iter().filter(|s| s.id != self.id) {
                    let gossip = Gossip { members: vec![state], ..Gossip::default() };
                    self.membership.on_gossip(self.now, state.id, &gossip);
                }
                continue;
            }
            let live = states.len() as u16;
            let delegates: Vec<_> = states.into_iter().take(3).collect();
            let (from, domain) = (delegates[0], members[0].domain.clone());
            let summary = DomainSummary { domain, delegates, live, in_force: live, dead: Vec::new() };
            let gossip = Gossip { members: vec![from], domains: vec![summary], ..Gossip::default() };
            self.membership.on_gossip(self.now, from.id, &gossip);
        }
    }

    /// Advances the time by one period, merges a new heartbeat of the other daemons and returns the messages of the
    /// tick.
    pub fn tick(&mut self) -> Vec<(NodeId, Gossip)> {
        self.now = self.now + Duration::from_millis(200);
        self.merge_all_heartbeats();
        let mut rng = Pcg64Mcg::seed_from_u64(self.now.0);
        self.membership.tick(self.now, &mut rng, CONFIG)
    }
}
