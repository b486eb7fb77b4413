//! Home sets and the division of a limit into base shares.
//!
//! The home set of a limit is the set of daemons among which it is divided. Every daemon computes the same division,
//! because it depends only on the limit, the fleet and stable hashes. The largest remainder method can in general
//! shrink a share when the limit is raised (the Alabama paradox). With the weights used here, all equal or 1 and 2
//! among at most [`HOME_SET_MAX`] daemons, it does not. Daemons that temporarily have different values of a limit
//! therefore do not exceed the highest one together.

use std::collections::BTreeMap;
use std::sync::Arc;

use rapidhash::v3::rapidhash_v3;

use super::key::{LimitKey, Scope, Units};
use crate::id::{Domain, NodeId, Region};
use crate::model::FleetMember;

/// Maximum number of daemons among which the slots of one backend server are divided.
pub const HOME_SET_MAX: usize = 4;

/// Maximum number of daemons of a home set in the failure domain of the backend server, if its region has daemons in
/// other domains. If all daemons of the domain fail, the others can still use the slots of its backend servers.
const IN_DOMAIN_MAX: usize = 2;

/// Weight of a daemon in the failure domain of the backend server, which is the most likely to reach the server.
const DOMAIN_WEIGHT: u64 = 2;

/// Weight of a daemon outside that failure domain, and of every daemon for limits other than slots.
const OTHER_WEIGHT: u64 = 1;

/// Hash of a limit key that is the same on every daemon.
pub(super) fn key_hash(key: &LimitKey) -> u64 {
    rapidhash_v3(key.to_string().as_bytes())
}

/// Score of a daemon for a limit key by rendezvous hashing.
fn rendezvous_score(key_hash: u64, node: NodeId) -> u64 {
    let mut buf = [0; 12];
    buf[..8].copy_from_slice(&key_hash.to_le_bytes());
    buf[8..].copy_from_slice(&node.0.to_le_bytes());
    rapidhash_v3(&buf)
}

/// Members of a fleet, indexed by region and failure domain.
#[derive(Debug, Default)]
pub(super) struct FleetIndex {
    all: Arc<[NodeId]>,
    regions: BTreeMap<Region, RegionIndex>,
}

#[derive(Debug, Default)]
struct RegionIndex {
    nodes: Arc<[NodeId]>,
    domains: BTreeMap<Domain, Vec<NodeId>>,
}

/// The daemons among which one limit is divided.
#[derive(Debug, Clone, Default)]
pub(super) struct HomeSet {
    pub(super) nodes: Arc<[NodeId]>,
    /// Number of leading nodes that have [`DOMAIN_WEIGHT`]; the others have [`OTHER_WEIGHT`].
    in_domain: usize,
}

impl FleetIndex {
    pub(super) fn new(members: &[FleetMember]) -> Self {
        let mut index = Self { all: sorted_nodes(members.iter()), regions: BTreeMap::new() };
        for m in members {
            let region = index.regions.entry(m.region.clone()).or_default();
            region.domains.entry(m.domain.clone()).or_default().push(m.node);
        }
        for (name, region) in &mut index.regions {
            region.nodes = sorted_nodes(members.iter().filter(|m| m.region == *name));
        }
        index
    }

    pub(super) fn nodes(&self) -> &[NodeId] {
        &self.all
    }

    pub(super) fn contains(&self, node: NodeId) -> bool {
        self.all.binary_search(&node).is_ok()
    }

    /// Returns the daemons among which a limit with this scope is divided.
    pub(super) fn home_set(&self, scope: &Scope, key_hash: u64) -> HomeSet {
        match scope {
            Scope::Fleet => HomeSet { nodes: self.all.clone(), in_domain: 0 },
            Scope::Region(region) => {
                let nodes = self.regions.get(region).map(|r| r.nodes.clone()).unwrap_or_default();
                HomeSet { nodes, in_domain: 0 }
            }
            Scope::Regions(a, b) => {
                let of = |region| self.regions.get(region).map(|r| &*r.nodes).unwrap_or_default();
                let mut nodes = [of(a), of(b)].concat();
                nodes.sort_unstable();
                HomeSet { nodes: nodes.into(), in_domain: 0 }
            }
            Scope::Home { region, domain } => match self.regions.get(region) {
                Some(r) => r.home_set(domain, key_hash),
                None => HomeSet::default(),
            },
        }
    }
}

impl RegionIndex {
    fn home_set(&self, domain: &Domain, key_hash: u64) -> HomeSet {
        let own = self.domains.get(domain).map(Vec::as_slice).unwrap_or_default();
        let mut nodes = own.to_vec();
        sort_by_score(&mut nodes, key_hash);
        let mut others: Vec<_> = self.nodes.iter().copied().filter(|n| !own.contains(n)).collect();
        sort_by_score(&mut others, key_hash);
        nodes.truncate(if others.is_empty() { HOME_SET_MAX } else { IN_DOMAIN_MAX });
        let in_domain = nodes.len();
        nodes.extend(others.into_iter().take(HOME_SET_MAX - in_domain));
        HomeSet { nodes: nodes.into(), in_domain }
    }
}

/// Returns the nodes of the members in ascending order, each once.
fn sorted_nodes<'a>(members: impl Iterator<Item = &'a FleetMember>) -> Arc<[NodeId]> {
    let mut nodes: Vec<_> = members.map(|m| m.node).collect();
    nodes.sort_unstable();
    nodes.dedup();
    nodes.into()
}

/// Sorts nodes by descending rendezvous score.
fn sort_by_score(nodes: &mut [NodeId], key_hash: u64) {
    nodes.sort_unstable_by_key(|&n| (std::cmp::Reverse(rendezvous_score(key_hash, n)), n));
}

impl HomeSet {
    /// Base share of `me` by the largest remainder method. Ties are resolved by rendezvous score. Zero if `me` is not
    /// in the home set.
    pub(super) fn share(&self, limit: Units, key_hash: u64, me: NodeId) -> Units {
        let Some(position) = self.nodes.iter().position(|&n| n == me) else { return Units::ZERO };
        let limit = u64::from(limit.0);
        let in_domain = self.in_domain as u64;
        let others = self.nodes.len() as u64 - in_domain;
        let total = in_domain * DOMAIN_WEIGHT + others * OTHER_WEIGHT;
        let divide = |weight: u64| (limit * weight / total, limit * weight % total);
        let allocated = divide(DOMAIN_WEIGHT).0 * in_domain + divide(OTHER_WEIGHT).0 * others;
        let (floor, remainder) = divide(self.weight(position));
        let unallocated = (limit - allocated) as usize;
        if unallocated == 0 || remainder == 0 {
            return Units(floor as u32);
        }
        let rank = |i: usize, node| {
            (divide(self.weight(i)).1, rendezvous_score(key_hash, node), std::cmp::Reverse(node))
        };
        let own = rank(position, me);
        let ahead =
            self.nodes.iter().enumerate().filter(|&(i, &n)| rank(i, n) > own).take(unallocated).count();
        Units(floor as u32 + u32::from(ahead < unallocated))
    }

    fn weight(&self, position: usize) -> u64 {
        if position < self.in_domain { DOMAIN_WEIGHT } else { OTHER_WEIGHT }
    }
}
