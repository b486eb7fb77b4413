//! Applies configuration entries and derives limits, backend servers and lenders from them.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::config::{Entry, MergeOutcome};
use crate::id::{Backend, Customer, NodeId, Region, Service};
use crate::ledger::{LimitKey, Scope, Units};
use crate::model::{BackendSpec, ConfigValue, Contract, Fleet, Percent, ServiceSpec, Topology};
use crate::node::limits::{link_key, rate_key, shift_key};
use crate::node::service::{BackendState, Lender, ServiceState};
use crate::node::{ConfigSource, Effect, Node, Notice, ParsedEntry, PeerMessage, PlatformVms};
use crate::routing::{LoadReport, Policy};
use crate::time::Timestamp;

/// Largest entry, as key and value in bytes, that is pushed by datagram. Larger ones are fetched after a heartbeat with
/// a different digest.
const MAX_PUSH_BYTES: usize = 900;

impl<P: Policy + Default> Node<P> {
    /// Applies the entries that are newer than the known ones. Those from the key-value service are also pushed to
    /// other daemons.
    pub(super) fn on_config(
        &mut self,
        now: Timestamp,
        entries: Vec<ParsedEntry>,
        source: ConfigSource,
        out: &mut Vec<Effect>,
    ) {
        let mut changed = Vec::new();
        for ParsedEntry { entry, value } in entries {
            if self.entries.merge(entry.clone()) != MergeOutcome::Newer {
                continue;
            }
            self.apply_entry(now, &entry, value, out);
            changed.push(entry);
        }
        if changed.is_empty() {
            return;
        }
        self.update_derived_state(now);
        if source == ConfigSource::Store {
            self.push_entries(now, &changed, out);
        }
        self.start_waiting(now, out);
    }

    /// Pushes changed entries to the live daemons of the same failure domain and the live delegates of the others.
    fn push_entries(&self, now: Timestamp, changed: &[Entry], out: &mut Vec<Effect>) {
        for entry in changed {
            let bytes = entry.key.len() + entry.value.as_ref().map_or(0, |v| v.len());
            if bytes > MAX_PUSH_BYTES {
                continue;
            }
            for node in self.membership.live_nodes(now) {
                if node != self.cfg.me.node {
                    let message = PeerMessage::ConfigPush(vec![entry.clone()]);
                    out.push(Effect::Send { to: node, message });
                }
            }
        }
    }

    /// Fetches the missing entries if a push announces newer ones. The pushed entries themselves are not applied, since
    /// values are parsed outside of the decision logic.
    pub(super) fn on_config_push(
        &mut self,
        from: NodeId,
        entries: &[Entry],
        now: Timestamp,
        out: &mut Vec<Effect>,
    ) {
        let newer =
            entries.iter().any(|e| self.entries.get(&e.key).is_none_or(|own| own.revision < e.revision));
        if newer && self.fleet_member(from).is_some() {
            self.last_fetches.insert(from, now);
            out.push(Effect::FetchConfig { from });
        }
    }

    fn apply_entry(
        &mut self,
        now: Timestamp,
        entry: &Entry,
        value: Option<ConfigValue>,
        out: &mut Vec<Effect>,
    ) {
        let (key, revision) = (entry.key.clone(), entry.revision);
        match value {
            // If a part cannot be parsed, the last valid version stays in effect.
            Some(ConfigValue::Blocks(text)) if !self.load_blocks(&key, &text) => {
                return out.push(Effect::Notice(Notice::ConfigInvalid { key, revision }));
            }
            Some(value) => self.apply_value(now, value, out),
            None if entry.value.is_none() => self.apply_deletion(&key),
            None => return out.push(Effect::Notice(Notice::ConfigInvalid { key, revision })),
        }
        out.push(Effect::Notice(Notice::ConfigApplied { key, revision }));
    }

    /// Loads a part of the client blocks. Returns false if the part is not valid.
    ///
    /// The table replaces the text, since both together exceed the memory limit for control work at the design size.
    /// The text of an invalid part is kept, so that other daemons receive it unchanged and not the previous valid part.
    fn load_blocks(&mut self, key: &str, text: &str) -> bool {
        let valid = Arc::make_mut(&mut self.blocks).load_part(key, text).is_ok();
        if valid {
            self.entries.discard_value(key);
        }
        valid
    }

    fn apply_value(&mut self, now: Timestamp, value: ConfigValue, out: &mut Vec<Effect>) {
        match value {
            ConfigValue::Contract(contract) => {
                self.contracts.insert(contract.customer.clone(), contract);
            }
            ConfigValue::Service(spec) => self.apply_service(now, spec),
            ConfigValue::Topology(topology) => self.topology = topology,
            ConfigValue::Fleet(fleet) => self.apply_fleet(now, fleet, out),
            ConfigValue::Drain(scope) => {
                self.drains.insert(scope);
            }
            // Loaded by `apply_entry`.
            ConfigValue::Blocks(_) => {}
        }
    }

    fn apply_fleet(&mut self, now: Timestamp, fleet: Fleet, out: &mut Vec<Effect>) {
        let (members, previous) = (fleet.members.len(), fleet.previous.len());
        self.membership.set_fleet(now, &fleet);
        self.quarantine.set_fleet(&fleet);
        self.ledger.set_fleet(now, &fleet);
        if self.fleet.members.is_empty() {
            self.staleness.mark_stale(now);
        }
        self.fleet = fleet;
        out.push(Effect::Notice(Notice::FleetChanged { members, previous }));
    }

    fn apply_service(&mut self, now: Timestamp, spec: ServiceSpec) {
        match self.services.get_mut(&spec.name) {
            Some(svc) => svc.reconfigure(spec),
            None => {
                let mut svc = ServiceState::new(spec.clone(), P::default(), now);
                svc.routing.set_leaving(&self.leaving_backends);
                self.services.insert(spec.name, svc);
            }
        }
    }

    /// Removes the object that a deleted key described.
    fn apply_deletion(&mut self, key: &str) {
        let mut parts = key.splitn(4, '/').skip(1);
        let (kind, name) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        match kind {
            "contract" => {
                self.contracts.retain(|customer, _| customer.as_str() != name);
            }
            "service" => {
                self.services.retain(|service, _| service.as_str() != name);
            }
            "drain" => {
                let rest = parts.next().unwrap_or("");
                self.drains.retain(|scope| scope.kind() != name || scope.name() != rest);
            }
            "blocks" => drop(Arc::make_mut(&mut self.blocks).remove_part(key)),
            // The topology and the fleet stay in effect, since no request could be served without them.
            _ => {}
        }
    }

    /// Derives limits, backend servers and lenders from the configuration.
    fn update_derived_state(&mut self, now: Timestamp) {
        let region = self.cfg.region.clone();
        let mut limits = Vec::new();
        let mut specs = Vec::new();
        for svc in self.services.values_mut() {
            svc.backends = svc.spec.backends.iter().map(|spec| backend_state(spec, &region)).collect();
            for backend in &svc.backends {
                limits.push(slot_limit(backend));
                specs.push(backend.spec.clone());
            }
        }
        let regions = regions_of(&specs, &self.fleet);
        limits.extend(self.contracts.values().flat_map(|c| contract_limits(c, &regions)));
        limits.extend(link_limits(&self.topology));
        self.set_limits(now, limits);
        for svc in self.services.values_mut() {
            svc.routing.set_backends(now, &svc.spec.backends);
            svc.routing.set_drains(&self.drains);
        }
        self.update_lenders();
    }

    /// Replaces all limits by `limits`.
    fn set_limits(&mut self, now: Timestamp, limits: Vec<Limit>) {
        let keys = limits.iter().map(|l| l.key.clone()).collect::<BTreeSet<_>>();
        for key in self.ledger.keys().filter(|key| !keys.contains(key)).cloned().collect::<Vec<_>>() {
            self.ledger.remove_limit(now, &key);
        }
        self.limits.retain(|key| keys.contains(key));
        for limit in limits {
            if !matches!(limit.key, LimitKey::Slots(_)) {
                let floors = self.rank_floors(&limit.key);
                self.limits.add(now, limit.key.clone(), floors);
            }
            self.ledger.set_limit(now, limit.key, limit.units, limit.scope);
        }
        self.refresh_limits(now);
    }

    /// Returns the floors per rank of a limit, which are those of its service. A link is shared by all services and has
    /// no floors.
    fn rank_floors(&self, key: &LimitKey) -> [Percent; 3] {
        let (LimitKey::Rate(_, service) | LimitKey::Shift(_, service, _)) = key else {
            return [Percent(0); 3];
        };
        let spec = self.services.get(service).map(|svc| &svc.spec);
        spec.map_or([Percent(0); 3], |spec| [Percent(0), spec.standard_floor, spec.bulk_floor])
    }

    /// Updates the lenders of each service: the other daemons that hold slots of it, the nearest first.
    fn update_lenders(&mut self) {
        for svc in self.services.values_mut() {
            let mut nodes = BTreeSet::<NodeId>::new();
            for backend in &svc.backends {
                nodes.extend(self.ledger.home_set(&backend.key));
            }
            nodes.remove(&self.cfg.me.node);
            let members = self.fleet.members.iter().filter(|m| nodes.contains(&m.node));
            svc.lenders =
                members.map(|m| lender(&self.topology, &self.cfg.region, m.node, &m.region)).collect();
            svc.lenders.sort_by_key(|l| (!l.is_local, l.delay, l.node));
        }
    }

    pub(super) fn on_report(
        &mut self,
        now: Timestamp,
        backend: &Backend,
        report: &LoadReport,
        out: &mut Vec<Effect>,
    ) {
        for svc in self.services.values_mut() {
            svc.routing.on_report(now, backend, report);
        }
        self.report_accepting_changes(now, out);
    }

    pub(super) fn on_vms(&mut self, now: Timestamp, vms: PlatformVms, out: &mut Vec<Effect>) {
        for svc in self.services.values_mut() {
            svc.routing.set_leaving(&vms.leaving);
        }
        self.leaving_backends = vms.leaving.clone();
        self.fleet_reconciler.on_vm_list(now, &vms);
        self.report_accepting_changes(now, out);
    }

    /// Emits a notice for each backend server that has begun or stopped to accept new work.
    pub(super) fn report_accepting_changes(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let backends = self.services.values().flat_map(|svc| svc.backends.iter().map(move |b| (svc, b)));
        for (svc, backend) in backends {
            let name = &backend.spec.name;
            let accepts = svc.routing.accepts(now, name);
            match self.reported_accepting.get_mut(name) {
                Some(last) if *last == accepts => continue,
                Some(last) => *last = accepts,
                None => drop(self.reported_accepting.insert(name.clone(), accepts)),
            }
            out.push(Effect::Notice(Notice::BackendChanged { backend: name.clone(), accepts }));
        }
    }
}

/// A limit that is divided among the daemons of its scope.
#[derive(Debug)]
struct Limit {
    key: LimitKey,
    units: Units,
    scope: Scope,
}

fn backend_state(spec: &BackendSpec, region: &Region) -> BackendState {
    let key = LimitKey::Slots(spec.name.clone());
    BackendState { spec: spec.clone(), key, is_local: spec.region == *region }
}

fn slot_limit(backend: &BackendState) -> Limit {
    let scope = Scope::Home { region: backend.spec.region.clone(), domain: backend.spec.domain.clone() };
    Limit { key: backend.key.clone(), units: Units(backend.spec.slots.0), scope }
}

/// Returns the regions of all backend servers and daemons.
fn regions_of(specs: &[BackendSpec], fleet: &Fleet) -> BTreeSet<Region> {
    let of_backends = specs.iter().map(|spec| spec.region.clone());
    of_backends.chain(fleet.members.iter().map(|m| m.region.clone())).collect()
}

/// Returns the rate limits of a contract, and its shift caps for each region.
fn contract_limits(contract: &Contract, regions: &BTreeSet<Region>) -> Vec<Limit> {
    let customer = &contract.customer;
    let mut limits = Vec::new();
    for terms in &contract.services {
        let key = rate_key(customer, &terms.service);
        limits.push(Limit { key, units: Units(terms.rate.0), scope: Scope::Fleet });
        for region in regions {
            limits.push(shift_limit(customer, &terms.service, region, Units(terms.shift_cap.0)));
        }
    }
    limits
}

fn shift_limit(customer: &Customer, service: &Service, region: &Region, units: Units) -> Limit {
    Limit { key: shift_key(customer, service, region), units, scope: Scope::Region(region.clone()) }
}

fn link_limits(topology: &Topology) -> Vec<Limit> {
    let mut limits = Vec::new();
    for link in &topology.links {
        let key = link_key(&link.from, &link.to);
        let scope = Scope::Regions(link.from.clone(), link.to.clone());
        limits.push(Limit { key, units: Units(link.bandwidth.0), scope });
    }
    limits
}

fn lender(topology: &Topology, home: &Region, node: NodeId, region: &Region) -> Lender {
    let link = topology.links.iter().find(|l| l.from == *home && l.to == *region);
    Lender { node, is_local: region == home, delay: link.map_or(std::time::Duration::MAX, |l| l.delay) }
}
