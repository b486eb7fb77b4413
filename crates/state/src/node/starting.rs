//! Starts waiting requests on backend servers.

use std::time::Duration;

use crate::id::{Backend, RequestId, Service};
use crate::ledger::{Hold, Units};
use crate::node::limits::{link_key, shift_key};
use crate::node::requests::Attempt;
use crate::node::service::{DeferredRelease, ServiceState};
use crate::node::{Dispatch, Effect, Node};
use crate::quarantine::QuarantineDecision;
use crate::routing::{AttemptEnd, Candidate, Policy};
use crate::time::Timestamp;

/// Grace period for which a slot stays in use after its attempt was cancelled, until the backend server has noticed. It
/// covers the longest one-way network delay of the deployments with a margin.
const CANCEL_GRACE_PERIOD: Duration = Duration::from_millis(100);

const BITS_PER_KBIT: u32 = 1_000;

impl<P: Policy + Default> Node<P> {
    /// Returns the number of slots of the service that this daemon may use now, borrowed ones included.
    pub(super) fn usable_slots(&self, now: Timestamp, service: &Service) -> u32 {
        let Some(svc) = self.services.get(service).filter(|_| !self.is_stale(now)) else {
            return 0;
        };
        let mut slots = 0;
        for backend in &svc.backends {
            if !svc.routing.accepts(now, &backend.spec.name) {
                continue;
            }
            slots += self.ledger.usable_units(now, &backend.key).0;
        }
        slots
    }

    /// Starts waiting requests of all services as far as slots are free.
    pub(super) fn start_waiting(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let services =
            self.services.iter().filter(|(_, svc)| svc.waiting() > 0).map(|(name, _)| name.clone());
        for service in services.collect::<Vec<_>>() {
            self.start_requests_of(now, &service, out);
        }
    }

    /// Starts as many waiting requests of the service as there are free slots, and requests loans for the rest.
    pub(super) fn start_requests_of(&mut self, now: Timestamp, service: &Service, out: &mut Vec<Effect>) {
        if self.is_stale(now) {
            return;
        }
        self.start_exclusive_requests(now, service, out);
        let slots = self.usable_slots(now, service);
        if let Some(svc) = self.services.get_mut(service) {
            svc.admission.set_slots(now, slots);
        }
        while let Some(ticket) = self.services.get_mut(service).and_then(|svc| svc.admission.dequeue(now)) {
            let started = self.try_start(now, ticket.request, out);
            if started {
                continue;
            }
            if let Some(svc) = self.services.get_mut(service) {
                svc.admission.requeue(ticket);
            }
            break;
        }
        if self.services.get(service).is_some_and(|svc| svc.waiting() > 0) {
            self.request_slot_loans(now, service, out);
        }
    }

    /// Starts requests that are suspected of crashes, each alone on a backend server. One that cannot start does not
    /// block the others.
    fn start_exclusive_requests(&mut self, now: Timestamp, service: &Service, out: &mut Vec<Effect>) {
        let Some(svc) = self.services.get_mut(service) else {
            return;
        };
        for id in std::mem::take(&mut svc.exclusive_queue) {
            let must_wait = !self.try_start_exclusive(now, id, service, out);
            if let Some(svc) = self.services.get_mut(service).filter(|_| must_wait) {
                svc.exclusive_queue.push_back(id);
            }
        }
    }

    /// Starts a suspected request alone on an idle backend server, of which it takes all free slots. Refuses it if it
    /// is quarantined. Returns false if the request must wait.
    fn try_start_exclusive(
        &mut self,
        now: Timestamp,
        id: RequestId,
        service: &Service,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(pending) = self.requests.get(&id) else {
            return true;
        };
        let fingerprint = pending.req.fingerprint;
        if let QuarantineDecision::Refused { until } = self.quarantine.check(now, fingerprint) {
            self.refuse_quarantined(now, id, until, out);
            return true;
        }
        let Some(backend) = self.idle_backend(now, service) else {
            return false;
        };
        let Some(evidence_at_start) = self.quarantine.start_alone(now, fingerprint) else {
            return false;
        };
        let units = self.free_slots_on(now, service, &backend);
        if !self.try_start_on(now, id, &backend, units, out) {
            self.quarantine.finish_alone(fingerprint);
            return false;
        }
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.evidence_at_start = Some(evidence_at_start);
        }
        true
    }

    /// Returns a backend server of this region on which this daemon runs nothing.
    fn idle_backend(&self, now: Timestamp, service: &Service) -> Option<Backend> {
        let svc = self.services.get(service)?;
        for backend in svc.backends.iter().filter(|b| b.is_local) {
            let usable = self.ledger.usable_units(now, &backend.key);
            let idle = usable > Units(0) && self.ledger.free_units(now, &backend.key) == usable;
            if idle && svc.routing.accepts(now, &backend.spec.name) {
                return Some(backend.spec.name.clone());
            }
        }
        None
    }

    /// Returns the number of free slots on a backend server. Zero if it does not belong to the service.
    fn free_slots_on(&self, now: Timestamp, service: &Service, backend: &Backend) -> Units {
        let key =
            self.services.get(service).and_then(|s| s.backends.iter().find(|b| b.spec.name == *backend));
        key.map_or(Units(0), |b| self.ledger.free_units(now, &b.key))
    }

    /// Starts a request on a backend server, preferring those of this region. Returns false if none can take it now.
    fn try_start(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) -> bool {
        let Some(pending) = self.requests.get(&id) else {
            return true;
        };
        let (service, avoided_backend) = (pending.req.service.clone(), pending.avoided_backend.clone());
        let (backend, is_local) = match self.pick_backend(now, &service, true, avoided_backend.as_ref()) {
            Some(backend) => (backend, true),
            None => match self.pick_backend(now, &service, false, avoided_backend.as_ref()) {
                Some(backend) => (backend, false),
                None => return false,
            },
        };
        let is_admitted = is_local || self.charge_cross_region(now, id, &backend);
        let started = is_admitted && self.try_start_on(now, id, &backend, Units(1), out);
        if let Some(svc) = self.services.get_mut(&service).filter(|_| !started) {
            // Every pick must be ended, or the trial of a half-open circuit breaker would never complete.
            svc.routing.on_attempt_end(now, &backend, &AttemptEnd::Cancelled);
        }
        started
    }

    /// Selects a backend server with a free slot by the routing policy: of this region if `local` is set, otherwise of
    /// another region.
    fn pick_backend(
        &mut self,
        now: Timestamp,
        service: &Service,
        local: bool,
        avoided_backend: Option<&Backend>,
    ) -> Option<Backend> {
        let ServiceState { backends, routing, .. } = self.services.get_mut(service)?;
        let mut candidates = Vec::with_capacity(backends.len());
        for backend in backends.iter().filter(|b| b.is_local == local) {
            let free = self.ledger.free_units(now, &backend.key).0;
            if free == 0 || !routing.accepts(now, &backend.spec.name) {
                continue;
            }
            let usable = self.ledger.usable_units(now, &backend.key).0;
            candidates.push(Candidate { backend: &backend.spec.name, free, usable, same_region: local });
        }
        routing.select(now, &mut self.rng, &candidates, avoided_backend).cloned()
    }

    /// Charges a request that leaves the region to the shift cap of its contract and to the links in both directions.
    /// Returns false if one of the limits does not allow it.
    fn charge_cross_region(&mut self, now: Timestamp, id: RequestId, backend: &Backend) -> bool {
        let req = &self.requests[&id].req;
        let Some(svc) = self.services.get(&req.service) else {
            return false;
        };
        let Some(target) = svc.backends.iter().find(|b| b.spec.name == *backend) else {
            return false;
        };
        let (home, away, rank) = (&self.cfg.region, &target.spec.region, req.rank);
        let shift = shift_key(&req.customer, &req.service, home);
        let (there, back) = (link_key(home, away), link_key(away, home));
        let request_kbit = (req.body_bytes.saturating_mul(8)).div_ceil(BITS_PER_KBIT);
        let response_kbit = svc.mean_response_bytes.saturating_mul(8).div_ceil(BITS_PER_KBIT);
        let fits = self.limits.time_until_available(now, &there, request_kbit).is_zero()
            && self.limits.time_until_available(now, &back, response_kbit).is_zero();
        fits && self.limits.take(now, &mut self.ledger, &shift, rank, 1)
            && self.limits.take(now, &mut self.ledger, &there, rank, request_kbit)
            && self.limits.take(now, &mut self.ledger, &back, rank, response_kbit)
    }

    /// Starts a request on a backend server, taking up to `units` of its slots. Returns false if no slot is free.
    ///
    /// The usable slots are checked here, immediately before the dispatch.
    fn try_start_on(
        &mut self,
        now: Timestamp,
        id: RequestId,
        backend: &Backend,
        units: Units,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(pending) = self.requests.get_mut(&id) else {
            return true;
        };
        let Some(svc) = self.services.get_mut(&pending.req.service) else {
            return false;
        };
        let Some(target) = svc.backends.iter().find(|b| b.spec.name == *backend) else {
            return false;
        };
        let mut holds = Vec::new();
        for _ in 0..units.0 {
            holds.extend(self.ledger.acquire(now, &target.key, Units(1)));
        }
        if holds.is_empty() {
            return false;
        }
        let run_until = holds.iter().filter_map(Hold::deadline).fold(pending.deadline, Timestamp::min);
        svc.running += 1;
        pending.attempt_count += 1;
        pending.evidence_at_start = Some(self.quarantine.snapshot(now, pending.req.fingerprint));
        pending.attempt = Some(Attempt { backend: backend.clone(), holds, started: now });
        out.push(Effect::Dispatch(Dispatch {
            request: id,
            backend: backend.clone(),
            address: target.spec.address,
            budget: run_until.since(now),
        }));
        true
    }

    /// Releases the holds of an attempt: at once if the backend server has certainly stopped it, else after
    /// [`CANCEL_GRACE_PERIOD`].
    pub(super) fn release(&mut self, now: Timestamp, service: &Service, holds: Vec<Hold>, end: &AttemptEnd) {
        let stopped = !matches!(end, AttemptEnd::TimedOut | AttemptEnd::Cancelled | AttemptEnd::Broken);
        for hold in holds {
            match self.services.get_mut(service) {
                Some(svc) if !stopped => {
                    svc.deferred_releases.push(DeferredRelease { at: now + CANCEL_GRACE_PERIOD, hold })
                }
                _ => self.ledger.release(now, hold),
            }
        }
    }

    /// Releases the holds whose grace period has ended.
    pub(super) fn release_deferred_holds(&mut self, now: Timestamp) {
        for svc in self.services.values_mut() {
            for deferred in svc.deferred_releases.extract_if(.., |deferred| deferred.at <= now) {
                self.ledger.release(now, deferred.hold);
            }
        }
    }
}
