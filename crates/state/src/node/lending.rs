//! Lending: loans that this daemon grants to other daemons.

use crate::id::{Backend, NodeId, Region, Service};
use crate::ledger::{LimitKey, LoanItem, LoanRequest, LoanTarget, Units};
use crate::node::service::ServiceState;
use crate::node::{Effect, Node, PeerMessage};
use crate::routing::Policy;
use crate::time::Timestamp;

/// Load of a region, in percent of its slots, up to which it accepts work from other regions.
pub(super) const MAX_REGION_LOAD_PERCENT: u32 = 90;

/// This daemon's share of the slots of a service in its region.
#[derive(Debug, Default)]
struct RegionLoad {
    /// Slots in the base shares of this daemon.
    share: u32,
    /// Slots of the share that are lent or in use.
    busy: u32,
}

impl RegionLoad {
    /// Number of busy slots up to which other regions may borrow.
    fn limit(&self) -> u32 {
        self.share * MAX_REGION_LOAD_PERCENT / 100
    }
}

impl<P: Policy + Default> Node<P> {
    /// Answers a loan request with a grant, which has no items if nothing is lent.
    pub(super) fn on_loan_request(&mut self, now: Timestamp, req: &LoanRequest, out: &mut Vec<Effect>) {
        let borrower = req.id.borrower;
        let items = match &req.want {
            _ if !self.is_alive(now, borrower.node) || self.stop.refuses_requests() => Vec::new(),
            LoanTarget::Service(_) if self.is_stale(now) => Vec::new(),
            _ if req.renews.is_some() => self.renewable_items(now, req),
            LoanTarget::Service(service) => self.lendable_slots(now, borrower.node, service, req.units),
            LoanTarget::Limit(key) => self.lendable_limit_units(now, key, req.units),
        };
        let grant = self.ledger.lend(now, req, &items);
        out.push(Effect::Send { to: borrower.node, message: PeerMessage::LoanGrant(grant) });
    }

    /// Returns the part of a loan that may be renewed. A loan ends if its backend server no longer accepts work or if
    /// requests at this daemon wait for its units.
    fn renewable_items(&self, now: Timestamp, req: &LoanRequest) -> Vec<LoanItem> {
        let region = self.fleet_member(req.id.borrower.node).map(|m| m.region.clone());
        let waits = |service: &Service| self.services.get(service).is_some_and(|svc| svc.waiting() > 0);
        if matches!(&req.want, LoanTarget::Service(service) if waits(service)) {
            return Vec::new();
        }
        let mut items = self.ledger.renewable_items(now, req);
        items.retain(|item| match (&item.key, &region) {
            (LimitKey::Slots(backend), Some(region)) => {
                self.services.values().any(|svc| self.may_lend(now, svc, backend, region))
            }
            (key, _) => !self.limits.is_in_shortage(now, key),
        });
        if let (LoanTarget::Service(service), Some(region)) = (&req.want, &region) {
            self.cap_by_region_load(now, service, region, &mut items);
        }
        items
    }

    /// Removes slots from a renewal for another region as far as this daemon's share of the region is loaded above
    /// [`MAX_REGION_LOAD_PERCENT`]: local requests may have taken the other slots since these were lent.
    fn cap_by_region_load(
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

    /// Returns slots that this daemon does not need, spread evenly over the backend servers of its region.
    fn lendable_slots(
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
                if wanted == 0 || !self.may_lend(now, svc, &backend.spec.name, &region) {
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

    /// Whether slots of a backend server may be lent to a daemon of `region`. For another region this requires a recent
    /// load report that shows free capacity, so that work stays in its region when load reports stop.
    fn may_lend(&self, now: Timestamp, svc: &ServiceState<P>, backend: &Backend, region: &Region) -> bool {
        svc.routing.accepts(now, backend)
            && (*region == self.cfg.region || svc.routing.has_reported_capacity(now, backend))
    }

    /// Returns the number of slots that may still be lent to daemons of `region`: without a bound for this daemon's own
    /// region; for others, as many as keep the load of its share under [`MAX_REGION_LOAD_PERCENT`].
    fn slots_for_region(&self, now: Timestamp, service: &Service, region: &Region) -> u32 {
        if *region == self.cfg.region {
            return u32::MAX;
        }
        let load = self.region_load(now, service);
        load.limit().saturating_sub(load.busy)
    }

    /// Returns the load of this daemon's share of the slots of a service in its region. Backend servers that accept no
    /// work are left out.
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

    /// Returns units of a rate limit that may be lent: half of those beyond this daemon's recent use, so that its own
    /// traffic can still grow.
    fn lendable_limit_units(&self, now: Timestamp, key: &LimitKey, units: Units) -> Vec<LoanItem> {
        if self.limits.is_in_shortage(now, key) {
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
