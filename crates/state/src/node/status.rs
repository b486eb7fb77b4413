//! The status text of this daemon.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::{Customer, Rank, Region, Service};
use crate::ledger::Units;
use crate::model::{Percent, ServiceTerms};
use crate::node::Node;
use crate::node::limits::{rate_key, shift_key};
use crate::node::service::ServiceState;
use crate::routing::Policy;
use crate::status::{Decision, StatusLine, StatusView, VerdictInput, render, verdict};
use crate::time::Timestamp;

/// TTL of the answer of a daemon that it has nothing to lend. Until it expires, the daemon is assumed to have no free
/// slots.
const LENDER_DENIAL_TTL: Duration = Duration::from_secs(1);

/// A service in the contract of a customer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ContractedService {
    customer: Customer,
    service: Service,
}

/// The status text and the decisions that it states.
#[derive(Debug, Default)]
pub(super) struct Status {
    /// Decisions of the last refresh, an input of the next one.
    decisions: BTreeMap<ContractedService, Decision>,
    text: Box<str>,
}

impl Status {
    pub(super) fn text(&self) -> Box<str> {
        self.text.clone()
    }
}

/// Returns the ratio of `part` to `whole` in percent; 100 if `whole` is zero.
fn percent(part: u32, whole: u32) -> Percent {
    let percent = (u64::from(part) * 100).checked_div(whole.into()).unwrap_or(100);
    Percent(u8::try_from(percent).unwrap_or(u8::MAX))
}

impl<P: Policy + Default> Node<P> {
    /// Renders the status text. The last decisions are an input (hysteresis), so that a verdict does not alternate
    /// around a threshold.
    pub(super) fn refresh_status(&mut self, now: Timestamp) {
        let mut decisions = BTreeMap::new();
        let mut view = StatusView::default();
        for contract in self.contracts.values() {
            for terms in &contract.services {
                let Some(svc) = self.services.get(&terms.service) else {
                    continue;
                };
                let contracted =
                    ContractedService { customer: contract.customer.clone(), service: terms.service.clone() };
                let load = self.service_load(now, svc);
                let decision = self.service_decision(now, &contracted, terms, svc, load);
                view.lines.push(StatusLine {
                    customer: contracted.customer.clone(),
                    service: contracted.service.clone(),
                    decision: decision.clone(),
                    load,
                });
                decisions.insert(contracted, decision);
            }
        }
        self.status = Status { decisions, text: render(&view).into() };
    }

    /// Returns the load of this daemon's slots of the service, in percent. Waiting requests count as well.
    fn service_load(&self, now: Timestamp, svc: &ServiceState<P>) -> Percent {
        let slots = self.usable_slots(now, &svc.spec.name);
        let waiting = u32::try_from(svc.waiting()).unwrap_or(u32::MAX);
        percent(svc.running.saturating_add(waiting), slots)
    }

    /// Decides what the status text tells a customer about a service.
    fn service_decision(
        &self,
        now: Timestamp,
        contracted: &ContractedService,
        terms: &ServiceTerms,
        svc: &ServiceState<P>,
        load: Percent,
    ) -> Decision {
        let rate = rate_key(&contracted.customer, &contracted.service);
        let input = VerdictInput {
            load,
            has_slots: self.usable_slots(now, &terms.service) > 0,
            rate_used: percent(self.limits.mean_use(&rate).0, self.ledger.usable_units(now, &rate).0),
            retry_after: svc.admission.wait_estimate(now, Rank::Standard).max(MIN_STATUS_RETRY_AFTER),
            elsewhere: &self.regions_with_room(now, contracted, svc),
        };
        verdict(&input, self.status.decisions.get(contracted))
    }

    /// Returns other regions that may take requests of the customer, the nearest first.
    fn regions_with_room(
        &self,
        now: Timestamp,
        contracted: &ContractedService,
        svc: &ServiceState<P>,
    ) -> Vec<Region> {
        let shift = shift_key(&contracted.customer, &contracted.service, &self.cfg.region);
        let mut regions = Vec::new();
        if self.ledger.usable_units(now, &shift) == Units::ZERO {
            return regions;
        }
        for lender in svc.lenders.iter().filter(|l| !l.is_local) {
            let denied = svc.last_denied.get(&lender.node).is_some_and(|at| now < *at + LENDER_DENIAL_TTL);
            if denied || !self.is_alive(now, lender.node) {
                continue;
            }
            let region = self.fleet_member(lender.node).map(|m| m.region.clone());
            regions.extend(region.filter(|region| !regions.contains(region)));
        }
        regions
    }
}

/// Minimum retry delay in the status text.
const MIN_STATUS_RETRY_AFTER: Duration = Duration::from_millis(100);
