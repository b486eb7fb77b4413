//! Membership of the daemons in a deployment, as their entries in the key-value service tell it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use medlarstair_state::id::{Domain, Era, Region};
use medlarstair_state::steering::capacity::{Capacity, advertised};
use medlarstair_state::steering::engine::DaemonCounts;
use medlarstair_state::steering::poison::Crash;
use medlarstair_state::steering::quota::{DaemonKey, QuotaDaemon};
use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::store_relay::choose_relay;

/// Prefix of the keys of daemons. The name of the daemon follows.
pub const MEMBER_PREFIX: &str = "medlarstair/daemon/";

/// TTL of the response to a look-up in the caches of clients.
pub const LOOKUP_TTL: Duration = Duration::from_secs(1);

/// Maximum number of addresses in the response to a look-up.
const MAX_LOOKUP_ADDRESSES: usize = 64;

/// Entry of a daemon in the key-value service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Address at which the daemon accepts client requests.
    pub callers: SocketAddr,
    /// Region in which the daemon runs.
    pub region: Region,
    /// Failure domain in which the daemon runs.
    pub domain: Domain,
    /// Requests per second that the daemon can forward. Absent means a default.
    #[serde(default)]
    pub capacity: Capacity,
    /// Address for datagrams of other daemons. Absent if the daemon exchanges none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<SocketAddr>,
    /// Requests during which a backend server crashed, as this daemon observed. Absent means none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// Era of the key-value service in which the entry was written. Zero if the service reports none.
    #[serde(default)]
    pub era: Era,
}

/// This daemon and the others that have an entry in the key-value service.
#[derive(Debug, Clone)]
pub struct Members {
    local_name: Box<str>,
    local: Member,
    others: BTreeMap<Box<str>, Member>,
    /// Addresses of the others for quota messages.
    peer_addresses: BTreeMap<DaemonKey, SocketAddr>,
}

impl Members {
    /// Creates a membership of this daemon alone.
    pub fn new(cfg: &Config) -> Self {
        let local = Member {
            callers: cfg.client_address,
            region: cfg.region.clone(),
            domain: cfg.domain.clone(),
            capacity: cfg.capacity,
            peers: cfg.peer_address,
            crashes: Vec::new(),
            era: Era::default(),
        };
        Self { local_name: cfg.name.clone(), local, others: BTreeMap::new(), peer_addresses: BTreeMap::new() }
    }

    /// Applies the entry of another daemon. `member` is `None` if the entry was deleted or is malformed.
    pub fn apply(&mut self, name: &str, member: Option<Member>) {
        let key = DaemonKey::from_name(name);
        match member.as_ref().and_then(|m| m.peers) {
            Some(address) => self.peer_addresses.insert(key, address),
            None => self.peer_addresses.remove(&key),
        };
        match member {
            Some(member) => self.others.insert(name.into(), member),
            None => self.others.remove(name),
        };
    }

    /// Name of this daemon.
    pub fn local_name(&self) -> &str {
        &self.local_name
    }

    /// The entry of this daemon with what it has to report.
    pub fn local_entry(&self, crashes: Vec<Crash>, era: Era) -> Member {
        Member { crashes, era, ..self.local.clone() }
    }

    /// Whether this daemon watches the key-value service for its failure domain, or exchanges no messages.
    pub fn is_relay(&self) -> bool {
        self.local.peers.is_none() || self.relay_of(&self.local.domain) == Some(&*self.local_name)
    }

    /// Name of the daemon that watches the key-value service for a failure domain. `None` if no daemon there exchanges
    /// messages.
    fn relay_of(&self, domain: &Domain) -> Option<&str> {
        let in_domain = self.all().filter(|(_, m)| m.domain == *domain && m.peers.is_some());
        choose_relay(in_domain.map(|(name, _)| name))
    }

    /// All daemons with their names.
    fn all(&self) -> impl Iterator<Item = (&str, &Member)> {
        let others = self.others.iter().map(|(name, member)| (&**name, member));
        others.chain([(&*self.local_name, &self.local)])
    }

    /// Addresses to which this daemon announces changes if it is a relay: those of its failure domain, and the relays of the
    /// other failure domains of the region.
    pub fn followers(&self) -> Vec<SocketAddr> {
        let domains: BTreeSet<&Domain> =
            self.others.values().filter(|m| m.region == self.local.region).map(|m| &m.domain).collect();
        let relays: Vec<&str> = domains.iter().filter_map(|domain| self.relay_of(domain)).collect();
        let receives = |name: &str, member: &Member| {
            member.domain == self.local.domain
                || (member.region == self.local.region && relays.contains(&name))
        };
        self.others.iter().filter(|(name, m)| receives(name, m)).filter_map(|(_, m)| m.peers).collect()
    }

    /// Failure domain of the daemon of this region with a given address for datagrams. `None` if there is none.
    pub fn domain_of_peer(&self, address: SocketAddr) -> Option<&Domain> {
        let in_region = self.others.values().find(|m| m.peers == Some(address));
        in_region.filter(|m| m.region == self.local.region).map(|m| &m.domain)
    }

    /// Failure domain of this daemon.
    pub fn domain(&self) -> &Domain {
        &self.local.domain
    }

    /// Counts the daemons, this one included: all of them, and those that share the load of this daemon's region.
    pub fn counts(&self) -> DaemonCounts {
        let in_region = self.others.values().filter(|m| m.region == self.local.region);
        let capacities: Vec<Capacity> =
            std::iter::once(&self.local).chain(in_region).map(|m| m.capacity).collect();
        let is_advertised = advertised(&capacities);
        let sharing_load =
            if is_advertised[0] { is_advertised.iter().filter(|n| **n).count() } else { capacities.len() };
        DaemonCounts { total: self.others.len() + 1, sharing_load }
    }

    /// Describes this daemon and the others for the division of quotas.
    pub fn quota_daemons(&self) -> (QuotaDaemon, Vec<QuotaDaemon>) {
        let mut regions: BTreeMap<&Region, Vec<(&str, &Member)>> = BTreeMap::new();
        regions.entry(&self.local.region).or_default().push((&self.local_name, &self.local));
        for (name, member) in &self.others {
            regions.entry(&member.region).or_default().push((name, member));
        }
        let own_key = DaemonKey::from_name(&self.local_name);
        let mut own = QuotaDaemon { key: own_key, advertised: true, reachable: self.local.peers.is_some() };
        let mut others = Vec::with_capacity(self.others.len());
        for members in regions.values() {
            let capacities: Vec<Capacity> = members.iter().map(|(_, m)| m.capacity).collect();
            for ((name, member), is_advertised) in members.iter().zip(advertised(&capacities)) {
                let key = DaemonKey::from_name(name);
                let daemon =
                    QuotaDaemon { key, advertised: is_advertised, reachable: member.peers.is_some() };
                if key == own_key {
                    own = daemon;
                } else {
                    others.push(daemon);
                }
            }
        }
        (own, others)
    }

    /// Address at which another daemon receives quota messages. `None` if it is not listed or receives none.
    pub fn peer_address(&self, key: DaemonKey) -> Option<SocketAddr> {
        self.peer_addresses.get(&key).copied()
    }

    /// Addresses of the daemons that a client should use. These are the daemons of `region` or, if it has none, of all
    /// regions, without those that are held in reserve because of their small capacity. `local_ready` tells whether this
    /// daemon may be included.
    pub fn lookup(&self, region: Option<&Region>, local_ready: bool) -> Vec<SocketAddr> {
        let local = local_ready.then_some(&self.local);
        let all = || local.into_iter().chain(self.others.values());
        let in_region: Vec<&Member> = all().filter(|m| region.is_none_or(|r| m.region == *r)).collect();
        let candidates = if in_region.is_empty() { all().collect() } else { in_region };
        let capacities: Vec<Capacity> = candidates.iter().map(|m| m.capacity).collect();
        let is_advertised = advertised(&capacities);
        let kept = candidates
            .iter()
            .zip(is_advertised)
            .filter(|(_, is_advertised)| *is_advertised)
            .map(|(m, _)| m.callers);
        kept.take(MAX_LOOKUP_ADDRESSES).collect()
    }
}
