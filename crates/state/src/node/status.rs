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

/// Time for which a daemon that had nothing to lend counts as full.
const DENIED: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    customer: Customer,
    service: Service,
}

/// The last decisions and their text.
#[derive(Debug, Default)]
pub(super) struct Status {
    decisions: BTreeMap<Subject, Decision>,
    text: Box<str>,
}

impl Status {
    pub(super) fn text(&self) -> Box<str> {
        self.text.clone()
    }
}

fn percent(part: u32, whole: u32) -> Percent {
    let percent = (u64::from(part) * 100).checked_div(whole.into()).unwrap_or(100);
    Percent(u8::try_from(percent).unwrap_or(u8::MAX))
}

impl<P: Policy + Default> Node<P> {
    /// Renders the status text. The last decisions are an input, so that a verdict does not alternate at a limit.
    pub(super) fn refresh_status(&mut self, now: Timestamp) {
        let mut decisions = BTreeMap::new();
        let mut view = StatusView::default();
        for contract in self.contracts.values() {
            for terms in &contract.services {
                let Some(svc) = self.services.get(&terms.service) else {
                    continue;
                };
                let subject = Subject { customer: contract.customer.clone(), service: terms.service.clone() };
                let load = self.service_load(now, svc);
                let decision = self.decide(now, &subject, terms, svc, load);
                view.lines.push(StatusLine {
                    customer: subject.customer.clone(),
                    service: subject.service.clone(),
                    decision: decision.clone(),
                    load,
                });
                decisions.insert(subject, decision);
            }
        }
        self.status = Status { decisions, text: render(&view).into() };
    }

    /// Part of this daemon's slots of the service that is in use. Waiting work counts as well.
    fn service_load(&self, now: Timestamp, svc: &ServiceState<P>) -> Percent {
        let slots = self.usable_slots(now, &svc.spec.name);
        let waiting = u32::try_from(svc.waiting()).unwrap_or(u32::MAX);
        percent(svc.running.saturating_add(waiting), slots)
    }

    fn decide(
        &self,
        now: Timestamp,
        subject: &Subject,
        terms: &ServiceTerms,
        svc: &ServiceState<P>,
        load: Percent,
    ) -> Decision {
        let rate = rate_key(&subject.customer, &subject.service);
        let input = VerdictInput {
            load,
            has_slots: self.usable_slots(now, &terms.service) > 0,
            rate_used: percent(self.limits.mean_use(&rate).0, self.ledger.usable_units(now, &rate).0),
            retry_after: svc.admission.wait_estimate(now, Rank::Standard).max(MIN_WAIT),
            elsewhere: &self.regions_with_room(now, subject, svc),
        };
        verdict(&input, self.status.decisions.get(subject))
    }

    /// Other regions that may take requests of the customer, the nearest first.
    fn regions_with_room(&self, now: Timestamp, subject: &Subject, svc: &ServiceState<P>) -> Vec<Region> {
        let shift = shift_key(&subject.customer, &subject.service, &self.cfg.region);
        let mut regions = Vec::new();
        if self.ledger.usable_units(now, &shift) == Units::ZERO {
            return regions;
        }
        for lender in svc.lenders.iter().filter(|l| !l.is_local) {
            let denied = svc.denied.get(&lender.node).is_some_and(|at| now < *at + DENIED);
            if denied || !self.is_alive(now, lender.node) {
                continue;
            }
            let region = self.fleet_member(lender.node).map(|m| m.region.clone());
            regions.extend(region.filter(|region| !regions.contains(region)));
        }
        regions
    }
}

/// Shortest time after which a caller is asked to return.
const MIN_WAIT: Duration = Duration::from_millis(100);
