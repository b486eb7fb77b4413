//! What the daemon shows: lookups, status, and reports for operators.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::blocks::BlockTable;

use crate::config::{Digest, Entry, KeyRevision};
use crate::id::{Backend, Boot, Domain, Incarnation, NodeId, Region, Revision};
use crate::ledger::{LimitKey, Units};
use crate::membership::Liveness;
use crate::model::{FleetMember, ServiceSpec};
use crate::node::Node;
use crate::node::fleet::FLEET_KEY;
use crate::operation::Issuer;
use crate::routing::Policy;
use crate::time::Timestamp;

/// Weight of an entry VM of the caller's region.
const LOCAL_WEIGHT: u32 = 100;

/// Most entry VMs that a lookup names.
const LOOKUP_ENTRIES_MAX: usize = 8;

/// Largest answer to a fetch in bytes, unless a single entry is larger. A frame takes 1 MiB and 64 KiB, an entry 1 MiB.
const FETCH_MAX_BYTES: usize = 1 << 20;

/// Bytes of an entry besides key and value: revision, lengths and the mark of a deletion.
const ENTRY_OVERHEAD_BYTES: usize = 20;

/// Prefix of the keys of client blocks.
const BLOCKS_PREFIX: &str = "config/blocks/";

/// One entry VM that a caller may use.
#[derive(Debug, Clone, PartialEq)]
pub struct LookupEntry {
    /// The daemon.
    pub node: NodeId,
    /// Its region.
    pub region: Region,
    /// The address that callers use.
    pub address: SocketAddr,
    /// Relative share of requests; zero means only when all others fail.
    pub weight: u32,
    /// Prefix of operation tokens that this daemon owns.
    pub token_prefix: Box<str>,
}

/// One daemon as seen by another.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberView {
    /// The daemon.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: Domain,
    /// Its liveness.
    pub liveness: Liveness,
    /// Whether it holds the same configuration.
    pub has_same_config: bool,
}

/// One limit at this daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitView {
    /// The limit.
    pub key: LimitKey,
    /// Base share.
    pub share: Units,
    /// Units that may be used now.
    pub usable: Units,
    /// Units in use.
    pub in_use: Units,
}

/// State of the daemon for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct OpsView {
    /// Requests in queues.
    pub waiting: usize,
    /// Requests that this daemon holds, the waiting ones included.
    pub requests: usize,
    /// Entries of the operation table.
    pub operations: usize,
    /// Limits with a share or a loan.
    pub limits: Vec<LimitView>,
}

/// What the workers serve without asking the decision logic.
#[derive(Debug, Clone)]
pub struct NodeView {
    /// This daemon.
    pub me: Incarnation,
    /// Its region.
    pub region: Region,
    /// Entry VMs that callers may use.
    pub lookup_entries: Vec<LookupEntry>,
    /// The plain status text.
    pub status: Box<str>,
    /// Whether a planned stop is under way.
    pub leaving: bool,
    /// Regions of client addresses.
    pub blocks: Arc<BlockTable>,
    /// What is in force here.
    pub config_digest: Digest,
    /// The daemons of the fleet.
    pub members: Vec<MemberView>,
}

impl<P: Policy + Default> Node<P> {
    /// The view for the workers.
    pub fn view(&self, now: Timestamp) -> NodeView {
        NodeView {
            me: self.cfg.me,
            region: self.cfg.region.clone(),
            lookup_entries: self.lookup_entries(now),
            status: self.status.text(),
            blocks: Arc::clone(&self.blocks),
            leaving: self.is_leaving(),
            config_digest: self.entries.digest(),
            members: self.member_views(now),
        }
    }

    fn lookup_entries(&self, now: Timestamp) -> Vec<LookupEntry> {
        let mut members = self.fleet.members.iter().filter(|m| self.serves(now, m)).collect::<Vec<_>>();
        members.sort_by_key(|m| (self.delay_to(&m.region), m.node));
        members.truncate(LOOKUP_ENTRIES_MAX);
        members.into_iter().map(|m| self.lookup_entry(now, m)).collect()
    }

    fn lookup_entry(&self, now: Timestamp, member: &FleetMember) -> LookupEntry {
        let boot = match self.membership.member_state(member.node) {
            _ if member.node == self.cfg.me.node => self.cfg.me.boot,
            Some(state) => state.id.boot,
            None => Boot(0),
        };
        let owner = Incarnation { node: member.node, boot };
        let is_local = member.region == self.cfg.region;
        LookupEntry {
            node: member.node,
            region: member.region.clone(),
            address: member.http_address,
            weight: if is_local { LOCAL_WEIGHT } else { 0 },
            token_prefix: format!("{}-", Issuer { owner, issued: self.minute(now) }).into(),
        }
    }

    fn serves(&self, now: Timestamp, member: &FleetMember) -> bool {
        if member.node == self.cfg.me.node {
            return !self.is_leaving();
        }
        // A daemon that has just started has not heard of the others: it knows neither whether they leave nor the
        // boot that their tokens must name.
        let leaving = self.membership.member_state(member.node).is_none_or(|m| m.leaving);
        !leaving && self.membership.liveness(now, member.node) != Liveness::Dead
    }

    fn delay_to(&self, region: &Region) -> std::time::Duration {
        if *region == self.cfg.region {
            return std::time::Duration::ZERO;
        }
        let link = self.topology.links.iter().find(|l| l.from == self.cfg.region && l.to == *region);
        link.map_or(std::time::Duration::MAX, |l| l.delay)
    }

    fn member_views(&self, now: Timestamp) -> Vec<MemberView> {
        let digest = self.entries.digest();
        let view = |m: &FleetMember| {
            let is_me = m.node == self.cfg.me.node;
            let state = self.membership.member_state(m.node);
            MemberView {
                node: m.node,
                domain: m.domain.clone(),
                liveness: if is_me { Liveness::Alive } else { self.membership.liveness(now, m.node) },
                has_same_config: is_me || state.is_some_and(|s| s.config == digest),
            }
        };
        self.fleet.members.iter().map(view).collect()
    }

    /// State for operators.
    pub fn ops_view(&self, now: Timestamp) -> OpsView {
        OpsView {
            waiting: self.services.values().map(|svc| svc.waiting()).sum(),
            requests: self.requests.len(),
            operations: self.operations.entries(),
            limits: self.ledger.keys().map(|key| self.limit_view(now, key)).collect(),
        }
    }

    fn limit_view(&self, now: Timestamp, key: &LimitKey) -> LimitView {
        let usable = self.ledger.usable_units(now, key);
        let in_use = match key {
            LimitKey::Slots(_) => usable.saturating_sub(self.ledger.free_units(now, key)),
            _ => self.limits.mean_use(key),
        };
        LimitView { key: key.clone(), share: self.ledger.base_share(key), usable, in_use }
    }

    /// Address for messages to another daemon. Previous members of the fleet still get messages.
    pub fn peer_address(&self, node: NodeId) -> Option<SocketAddr> {
        self.fleet_member(node).map(|m| m.peer_address)
    }

    /// Backend servers whose health this daemon polls: those in whose home set it is.
    pub fn health_check_targets(&self) -> Vec<(Backend, SocketAddr)> {
        let mut polled = Vec::new();
        for backend in self.services.values().flat_map(|svc| &svc.backends) {
            if self.ledger.home_set(&backend.key).contains(&self.cfg.me.node) {
                polled.push((backend.spec.name.clone(), backend.spec.address));
            }
        }
        polled
    }

    /// The entry of a configuration key as it is held here, deleted or not.
    pub fn config_entry(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).cloned().and_then(|entry| self.with_text(entry))
    }

    /// The entry with its value, which the block table writes again if only the table holds it. `None` if there is no
    /// such part: an entry without its text must not be passed on.
    fn with_text(&self, mut entry: Entry) -> Option<Entry> {
        if self.entries.is_value_discarded(&entry.key) {
            entry.value = Some(self.blocks.part_text(&entry.key)?.into());
        }
        Some(entry)
    }

    /// Keys and revisions in force, for a fetch from another daemon.
    pub fn config_summary(&self) -> Vec<KeyRevision> {
        self.entries.summary()
    }

    /// Entries that are newer here than in the summary of another daemon, as many as fit in one frame; the digests
    /// differ until it has asked for the rest. The fleet value comes first, since the other daemon knows from it whom to
    /// ask, and client blocks come last.
    pub fn config_entries_newer_than(&self, summary: &[KeyRevision]) -> Vec<Entry> {
        let mut missing = self.entries.missing_from(summary);
        missing.sort_by_key(|entry| (&*entry.key != FLEET_KEY, entry.key.starts_with(BLOCKS_PREFIX)));
        let mut bytes = 0;
        let mut fitting = Vec::new();
        for entry in missing.into_iter().filter_map(|entry| self.with_text(entry)) {
            bytes += entry.key.len() + entry.value.as_ref().map_or(0, |v| v.len()) + ENTRY_OVERHEAD_BYTES;
            if bytes > FETCH_MAX_BYTES && !fitting.is_empty() {
                break;
            }
            fitting.push(entry);
        }
        fitting
    }

    /// Keys that are held at a revision before `revision` and are not deleted.
    pub fn config_keys_before(&self, revision: Revision) -> Vec<Box<str>> {
        let held = self.entries.iter().filter(|e| e.value.is_some() && e.revision < revision);
        held.map(|e| e.key.clone()).collect()
    }

    /// The services of the configuration.
    pub fn service_specs(&self) -> Vec<ServiceSpec> {
        self.services.values().map(|svc| svc.spec.clone()).collect()
    }
}
