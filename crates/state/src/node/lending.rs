//! Loans that this daemon grants.

use crate::id::{Backend, NodeId, Region, Service};
use crate::ledger::{LimitKey, LoanItem, LoanRequest, LoanTarget, Units};
use crate::node::service::ServiceState;
use crate::node::{Effect, Node, PeerMessage};
use crate::routing::Policy;
use crate::time::Timestamp;

/// Part of its slots, in percent, up to which a region takes work from other regions.
pub(super) const REGION_LOAD_MAX: u32 = 90;

/// The own part of the slots of a service in the own region.
#[derive(Debug, Default)]
struct RegionLoad {
    share: u32,
    /// Lent or in use.
    busy: u32,
}

impl RegionLoad {
    /// Slots up to which other regions get some.
    fn limit(&self) -> u32 {
        self.share * REGION_LOAD_MAX / 100
    }
}

impl<P: Policy + Default> Node<P> {
    pub(super) fn on_loan_request(&mut self, now: Timestamp, req: &LoanRequest, out: &mut Vec<Effect>) {
        let borrower = req.id.borrower;
        let items = match &req.want {
            _ if !self.is_alive(now, borrower.node) || self.stop.refuses_requests() => Vec::new(),
            LoanTarget::Service(_) if self.is_stale(now) => Vec::new(),
            _ if req.renews.is_some() => self.renewed(now, req),
            LoanTarget::Service(service) => self.spare_slots(now, borrower.node, service, req.units),
            LoanTarget::Limit(key) => self.spare_limit(now, key, req.units),
        };
        let grant = self.ledger.lend(now, req, &items);
        out.push(Effect::Send { to: borrower.node, message: PeerMessage::LoanGrant(grant) });
    }

    /// A loan goes on unless its backend server leaves or the own work waits for the slots.
    fn renewed(&self, now: Timestamp, req: &LoanRequest) -> Vec<LoanItem> {
        let region = self.fleet_member(req.id.borrower.node).map(|m| m.region.clone());
        let waits = |service: &Service| self.services.get(service).is_some_and(|svc| svc.waiting() > 0);
        if matches!(&req.want, LoanTarget::Service(service) if waits(service)) {
            return Vec::new();
        }
        let mut items = self.ledger.renewable_items(now, req);
        items.retain(|item| match (&item.key, &region) {
            (LimitKey::Slots(backend), Some(region)) => {
                self.services.values().any(|svc| self.lends(now, svc, backend, region))
            }
            (key, _) => !self.limits.is_short(now, key),
        });
        if let (LoanTarget::Service(service), Some(region)) = (&req.want, &region) {
            self.cut_to_region_load(now, service, region, &mut items);
        }
        items
    }

    /// Takes slots out of a renewal that would keep the own part of the region above [`REGION_LOAD_MAX`]: own work
    /// may have taken the rest since the slots were lent.
    fn cut_to_region_load(
        &self,
        now: Timestamp,
        service: &Service,
        region: &Region,
        items: &mut Vec<LoanItem>,
    ) {
        if *region == self.cfg.region {
            return;
        }
        let load = self.region_load(now, service);
        let mut excess = load.busy.saturating_sub(load.limit());
        for item in items.iter_mut() {
            let cut = item.units.0.min(excess);
            item.units.0 -= cut;
            excess -= cut;
        }
        items.retain(|item| item.units > Units::ZERO);
    }

    /// Slots that the own work does not need, spread over the backend servers.
    fn spare_slots(
        &self,
        now: Timestamp,
        borrower: NodeId,
        service: &Service,
        units: Units,
    ) -> Vec<LoanItem> {
        let Some(svc) = self.services.get(service).filter(|svc| svc.waiting() == 0) else {
            return Vec::new();
        };
        let Some(region) = self.fleet_member(borrower).map(|m| m.region.clone()) else {
            return Vec::new();
        };
        let mut wanted = units.0.min(self.slots_for_region(now, service, &region));
        let mut items = Vec::<LoanItem>::new();
        while wanted > 0 {
            let mut progress = false;
            for backend in svc.backends.iter().filter(|b| b.is_local) {
                if wanted == 0 || !self.lends(now, svc, &backend.spec.name, &region) {
                    continue;
                }
                let lent = items.iter().find(|i| i.key == backend.key).map_or(0, |i| i.units.0);
                if lent >= self.ledger.lendable_units(now, &backend.key).0 {
                    continue;
                }
                match items.iter_mut().find(|i| i.key == backend.key) {
                    Some(item) => item.units.0 += 1,
                    None => items.push(LoanItem { key: backend.key.clone(), units: Units(1) }),
                }
                wanted -= 1;
                progress = true;
            }
            if !progress {
                break;
            }
        }
        items
    }

    /// Whether slots of a backend server may go to a daemon of `region`. Another region gets them only on a fresh load
    /// report with room, so that work stays at home when measurements stop.
    fn lends(&self, now: Timestamp, svc: &ServiceState<P>, backend: &Backend, region: &Region) -> bool {
        svc.routing.accepts(now, backend)
            && (*region == self.cfg.region || svc.routing.has_reported_capacity(now, backend))
    }

    /// Slots that daemons of `region` may still get: all spare ones for the own region; for others as many as keep
    /// the own part of the region under [`REGION_LOAD_MAX`].
    fn slots_for_region(&self, now: Timestamp, service: &Service, region: &Region) -> u32 {
        if *region == self.cfg.region {
            return u32::MAX;
        }
        let load = self.region_load(now, service);
        load.limit().saturating_sub(load.busy)
    }

    fn region_load(&self, now: Timestamp, service: &Service) -> RegionLoad {
        let mut load = RegionLoad::default();
        let Some(svc) = self.services.get(service) else {
            return load;
        };
        for backend in svc.backends.iter().filter(|b| b.is_local) {
            if !svc.routing.accepts(now, &backend.spec.name) {
                continue;
            }
            let share = self.ledger.base_share(&backend.key);
            load.share += share.0;
            load.busy += share.saturating_sub(self.ledger.lendable_units(now, &backend.key)).0;
        }
        load
    }

    /// Units of a rate limit beyond the own recent use; half of them, so that the own traffic can still grow.
    fn spare_limit(&self, now: Timestamp, key: &LimitKey, units: Units) -> Vec<LoanItem> {
        if self.limits.is_short(now, key) {
            return Vec::new();
        }
        let spare = self.ledger.lendable_units(now, key).0.saturating_sub(self.limits.mean_use(key).0) / 2;
        let units = Units(units.0.min(spare));
        if units == Units(0) {
            return Vec::new();
        }
        vec![LoanItem { key: key.clone(), units }]
    }
}
