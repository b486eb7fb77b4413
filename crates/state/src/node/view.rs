//! Read-only views of the state: lookups, status, and reports for operators.

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

/// Lookup weight of an entry VM in the region of this daemon.
const LOCAL_WEIGHT: u32 = 100;

/// Maximum number of entry VMs in the answer to a lookup.
const MAX_LOOKUP_ENTRIES: usize = 8;

/// Largest answer to a configuration fetch in bytes, unless a single entry is larger. A frame holds up to 1 MiB and
/// 64 KiB, an entry up to 1 MiB.
const MAX_FETCH_BYTES: usize = 1 << 20;

/// Encoded size of an entry in bytes besides key and value: revision, lengths and the deletion flag.
const ENTRY_OVERHEAD_BYTES: usize = 20;

/// Key prefix of the client blocks.
const BLOCKS_PREFIX: &str = "config/blocks/";

/// One entry VM that a caller may use.
#[derive(Debug, Clone, PartialEq)]
pub struct LookupEntry {
    /// The daemon on the entry VM.
    pub node: NodeId,
    /// Region of the entry VM.
    pub region: Region,
    /// HTTP address for callers.
    pub address: SocketAddr,
    /// Weight of the entry VM in the distribution of the caller's requests. An entry VM with weight zero is used only
    /// when all others fail.
    pub weight: u32,
    /// Prefix of the operation tokens that the daemon owns, including the separator.
    pub token_prefix: Box<str>,
}

/// State of one daemon of the fleet, as known to this daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberView {
    /// Node id of the daemon.
    pub node: NodeId,
    /// Failure domain of the daemon.
    pub domain: Domain,
    /// Liveness of the daemon; always alive for this daemon itself.
    pub liveness: Liveness,
    /// Whether its last known configuration digest equals that of this daemon.
    pub has_same_config: bool,
}

/// Use of one limit at this daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitView {
    /// Key of the limit.
    pub key: LimitKey,
    /// Base share of this daemon, before loans.
    pub share: Units,
    /// Units that this daemon may use now, after loans.
    pub usable: Units,
    /// Slots in use, or the mean use of a rate limit in units per second.
    pub in_use: Units,
}

/// State of this daemon for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct OpsView {
    /// Number of requests in the queues.
    pub waiting: usize,
    /// Number of requests that have not been answered yet, the waiting ones included.
    pub requests: usize,
    /// Number of entries in the operation table.
    pub operations: usize,
    /// Limits in which this daemon has a share or a loan.
    pub limits: Vec<LimitView>,
}

/// Snapshot from which the workers answer without a call to the decision logic.
#[derive(Debug, Clone)]
pub struct NodeView {
    /// Identity of this daemon, including its boot number.
    pub me: Incarnation,
    /// Region of this daemon.
    pub region: Region,
    /// Entry VMs that callers may use, the nearest first.
    pub lookup_entries: Vec<LookupEntry>,
    /// The plain status text.
    pub status: Box<str>,
    /// Whether a planned stop is in progress.
    pub leaving: bool,
    /// Table that maps client addresses to regions.
    pub blocks: Arc<BlockTable>,
    /// Digest of the configuration entries at this daemon.
    pub config_digest: Digest,
    /// Every daemon of the fleet, this one included.
    pub members: Vec<MemberView>,
}

impl<P: Policy + Default> Node<P> {
    /// Returns the snapshot for the workers.
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
        let mut members =
            self.fleet.members.iter().filter(|m| self.accepts_callers(now, m)).collect::<Vec<_>>();
        members.sort_by_key(|m| (self.delay_to(&m.region), m.node));
        members.truncate(MAX_LOOKUP_ENTRIES);
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
            token_prefix: format!("{}-", Issuer { owner, issued: self.current_minute(now) }).into(),
        }
    }

    /// Whether lookups may name this member of the fleet.
    fn accepts_callers(&self, now: Timestamp, member: &FleetMember) -> bool {
        if member.node == self.cfg.me.node {
            return !self.is_leaving();
        }
        // A daemon that has just started has no state of the others yet. It knows neither whether they are leaving nor
        // the boot number that their tokens must contain.
        let leaving = self.membership.member_state(member.node).is_none_or(|m| m.leaving);
        !leaving && self.membership.liveness(now, member.node) != Liveness::Dead
    }

    /// Returns the link delay to a region: zero to this daemon's own region, and the maximum without a link.
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

    /// Returns the state for operators.
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

    /// Returns the address for messages to another daemon, also if it is only a previous member of the fleet. `None` if
    /// it is neither.
    pub fn peer_address(&self, node: NodeId) -> Option<SocketAddr> {
        self.fleet_member(node).map(|m| m.peer_address)
    }

    /// Returns the backend servers whose health this daemon polls: those whose home set contains it.
    pub fn health_check_targets(&self) -> Vec<(Backend, SocketAddr)> {
        let mut polled = Vec::new();
        for backend in self.services.values().flat_map(|svc| &svc.backends) {
            if self.ledger.home_set(&backend.key).contains(&self.cfg.me.node) {
                polled.push((backend.spec.name.clone(), backend.spec.address));
            }
        }
        polled
    }

    /// Returns the entry of a configuration key, deleted or not. `None` if this daemon does not have the key.
    pub fn config_entry(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).cloned().and_then(|entry| self.with_value(entry))
    }

    /// Restores the value of an entry whose text was replaced by the block table. `None` if the table does not have the
    /// part, since an entry without its text must not be sent to other daemons.
    fn with_value(&self, mut entry: Entry) -> Option<Entry> {
        if self.entries.is_value_discarded(&entry.key) {
            entry.value = Some(self.blocks.part_text(&entry.key)?.into());
        }
        Some(entry)
    }

    /// Returns every key with its revision, for a fetch from another daemon.
    pub fn config_summary(&self) -> Vec<KeyRevision> {
        self.entries.summary()
    }

    /// Returns the entries that are newer here than in the summary of another daemon, as many as fit in one frame. The
    /// digests differ until the other daemon has fetched the rest. The fleet value comes first, since the other daemon
    /// learns from it which daemons to ask, and client blocks come last.
    pub fn config_entries_newer_than(&self, summary: &[KeyRevision]) -> Vec<Entry> {
        let mut missing = self.entries.missing_from(summary);
        missing.sort_by_key(|entry| (&*entry.key != FLEET_KEY, entry.key.starts_with(BLOCKS_PREFIX)));
        let mut bytes = 0;
        let mut fitting = Vec::new();
        for entry in missing.into_iter().filter_map(|entry| self.with_value(entry)) {
            bytes += entry.key.len() + entry.value.as_ref().map_or(0, |v| v.len()) + ENTRY_OVERHEAD_BYTES;
            if bytes > MAX_FETCH_BYTES && !fitting.is_empty() {
                break;
            }
            fitting.push(entry);
        }
        fitting
    }

    /// Returns the keys whose entries have a revision before `revision` and are not deletions.
    pub fn config_keys_before(&self, revision: Revision) -> Vec<Box<str>> {
        let held = self.entries.iter().filter(|e| e.value.is_some() && e.revision < revision);
        held.map(|e| e.key.clone()).collect()
    }

    /// Returns the specifications of all configured services.
    pub fn service_specs(&self) -> Vec<ServiceSpec> {
        self.services.values().map(|svc| svc.spec.clone()).collect()
    }
}
