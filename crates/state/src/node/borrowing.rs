//! Loans that this daemon takes.

use std::time::Duration;

use crate::id::{NodeId, Service};
use crate::ledger::{LimitKey, LoanGrant, LoanRequest, LoanTarget, Units};
use crate::node::{Effect, Node, PeerMessage};
use crate::routing::Policy;
use crate::time::Timestamp;

/// Most slots asked for at a time.
const MAX_ASK: u32 = 8;

/// Pause after a daemon of the own region had nothing to lend.
const LOCAL_PAUSE: Duration = Duration::from_millis(20);

/// Pause after a daemon of another region had nothing to lend.
const REMOTE_PAUSE: Duration = Duration::from_millis(200);

/// A loan that was asked for, until it is answered.
#[derive(Debug)]
pub(super) struct Asked {
    want: LoanTarget,
    at: Timestamp,
}

/// Time after which an answer is no longer of interest.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

impl<P: Policy + Default> Node<P> {
    /// Asks for slots for the requests that wait: first the daemons of the own region, and those of other regions
    /// only while the own region has none to lend.
    pub(super) fn seek_loans(&mut self, now: Timestamp, service: &Service, out: &mut Vec<Effect>) {
        let Some(svc) = self.services.get(service) else {
            return;
        };
        let units = Units(u32::try_from(svc.waiting()).unwrap_or(u32::MAX).clamp(1, MAX_ASK));
        let mut local_exhausted = true;
        for lender in svc.lenders.clone() {
            if !lender.is_local && !local_exhausted {
                break;
            }
            if !self.is_alive(now, lender.node) {
                continue;
            }
            let pause = if lender.is_local { LOCAL_PAUSE } else { REMOTE_PAUSE };
            let denied = self.services[service].denied.get(&lender.node);
            let paused = denied.is_some_and(|at| now < *at + pause);
            if !paused {
                local_exhausted &= !lender.is_local;
                self.ask(now, lender.node, LoanTarget::Service(service.clone()), units, out);
            }
        }
    }

    fn ask(&mut self, now: Timestamp, lender: NodeId, want: LoanTarget, units: Units, out: &mut Vec<Effect>) {
        if let Some(req) = self.ledger.request_loan(now, lender, want, units) {
            self.send_loan_request(now, req, out);
        }
    }

    fn send_loan_request(&mut self, now: Timestamp, req: LoanRequest, out: &mut Vec<Effect>) {
        self.asked.insert(req.id, Asked { want: req.want.clone(), at: now });
        let to = req.lender;
        out.push(Effect::Send { to, message: PeerMessage::LoanRequest(req) });
    }

    /// Asks for shares of the rate limits that refused something since the last call.
    pub(super) fn seek_limits(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        for (key, units) in self.limits.short() {
            let lenders = self.ledger.home_set(&key).to_vec();
            let live = lenders.into_iter().filter(|n| *n != self.cfg.me.node && self.is_alive(now, *n));
            for lender in live.collect::<Vec<_>>() {
                self.ask(now, lender, LoanTarget::Limit(key.clone()), units, out);
            }
        }
    }

    pub(super) fn on_loan_grant(&mut self, now: Timestamp, grant: &LoanGrant, out: &mut Vec<Effect>) {
        let accepted = self.ledger.on_grant(now, grant);
        let Some(Asked { want, .. }) = self.asked.remove(&grant.id).filter(|_| accepted) else {
            return;
        };
        match want {
            LoanTarget::Service(service) => {
                if let Some(svc) = self.services.get_mut(&service).filter(|_| grant.items.is_empty()) {
                    svc.denied.insert(grant.lender.node, now);
                }
                self.start_service(now, &service, out);
            }
            LoanTarget::Limit(LimitKey::Slots(_)) => self.start_waiting(now, out),
            LoanTarget::Limit(_) => self.refresh_limits(now),
        }
    }

    /// Renews loans that are in demand and returns those that are not.
    pub(super) fn tend_loans(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        self.asked.retain(|_, asked| now.since(asked.at) < ANSWER_TIMEOUT);
        for req in self.ledger.due_renewals(now) {
            self.send_loan_request(now, req, out);
        }
        for (to, ret) in self.ledger.take_returns(now) {
            out.push(Effect::Send { to, message: PeerMessage::LoanReturn(ret) });
        }
    }

    pub(super) fn send_audits(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        for (to, audit) in self.ledger.due_audits(now) {
            out.push(Effect::Send { to, message: PeerMessage::LoanAudit(audit) });
        }
    }

    pub(super) fn refresh_limits(&mut self, now: Timestamp) {
        self.limits.refresh(now, &self.ledger);
    }
}
