//! Borrowing: loans that this daemon requests from other daemons.

use std::time::Duration;

use crate::id::{NodeId, Service};
use crate::ledger::{LimitKey, LoanGrant, LoanRequest, LoanTarget, Units};
use crate::node::{Effect, Node, PeerMessage};
use crate::routing::Policy;
use crate::time::Timestamp;

/// Maximum number of slots in one loan request.
const MAX_REQUESTED_SLOTS: u32 = 8;

/// Backoff before a daemon of the same region that had nothing to lend is asked again.
const LOCAL_LENDER_BACKOFF: Duration = Duration::from_millis(20);

/// Backoff before a daemon of another region that had nothing to lend is asked again.
const REMOTE_LENDER_BACKOFF: Duration = Duration::from_millis(200);

/// A loan request that has not been answered yet.
#[derive(Debug)]
pub(super) struct PendingLoanRequest {
    want: LoanTarget,
    sent_at: Timestamp,
}

/// Timeout of a loan request, after which it no longer counts as pending. A grant that arrives later enters the ledger
/// but starts no requests by itself.
const LOAN_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

impl<P: Policy + Default> Node<P> {
    /// Requests loans of slots for the waiting requests, first from daemons of the same region. Daemons of other
    /// regions are asked only while no daemon of the same region has slots to lend.
    pub(super) fn request_slot_loans(&mut self, now: Timestamp, service: &Service, out: &mut Vec<Effect>) {
        let Some(svc) = self.services.get(service) else {
            return;
        };
        let units = Units(u32::try_from(svc.waiting()).unwrap_or(u32::MAX).clamp(1, MAX_REQUESTED_SLOTS));
        let mut no_local_lender = true;
        for lender in svc.lenders.clone() {
            if !lender.is_local && !no_local_lender {
                break;
            }
            if !self.is_alive(now, lender.node) {
                continue;
            }
            let backoff = if lender.is_local { LOCAL_LENDER_BACKOFF } else { REMOTE_LENDER_BACKOFF };
            let denied = self.services[service].last_denied.get(&lender.node);
            let backing_off = denied.is_some_and(|at| now < *at + backoff);
            if !backing_off {
                no_local_lender &= !lender.is_local;
                self.request_loan(now, lender.node, LoanTarget::Service(service.clone()), units, out);
            }
        }
    }

    /// Requests a loan unless the same request is outstanding.
    fn request_loan(
        &mut self,
        now: Timestamp,
        lender: NodeId,
        want: LoanTarget,
        units: Units,
        out: &mut Vec<Effect>,
    ) {
        if let Some(req) = self.ledger.request_loan(now, lender, want, units) {
            self.send_loan_request(now, req, out);
        }
    }

    fn send_loan_request(&mut self, now: Timestamp, req: LoanRequest, out: &mut Vec<Effect>) {
        self.pending_loan_requests
            .insert(req.id, PendingLoanRequest { want: req.want.clone(), sent_at: now });
        let to = req.lender;
        out.push(Effect::Send { to, message: PeerMessage::LoanRequest(req) });
    }

    /// Requests loans of the rate limits that refused units since the last call.
    pub(super) fn request_limit_loans(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        for (key, units) in self.limits.take_shortfalls() {
            let lenders = self.ledger.home_set(&key).to_vec();
            let live = lenders.into_iter().filter(|n| *n != self.cfg.me.node && self.is_alive(now, *n));
            for lender in live.collect::<Vec<_>>() {
                self.request_loan(now, lender, LoanTarget::Limit(key.clone()), units, out);
            }
        }
    }

    /// Enters a grant into the ledger and starts the requests that wait for its units. A grant without items marks the
    /// lender as having nothing to lend.
    pub(super) fn on_loan_grant(&mut self, now: Timestamp, grant: &LoanGrant, out: &mut Vec<Effect>) {
        let accepted = self.ledger.on_grant(now, grant);
        let Some(PendingLoanRequest { want, .. }) =
            self.pending_loan_requests.remove(&grant.id).filter(|_| accepted)
        else {
            return;
        };
        match want {
            LoanTarget::Service(service) => {
                if let Some(svc) = self.services.get_mut(&service).filter(|_| grant.items.is_empty()) {
                    svc.last_denied.insert(grant.lender.node, now);
                }
                self.start_requests_of(now, &service, out);
            }
            LoanTarget::Limit(LimitKey::Slots(_)) => self.start_waiting(now, out),
            LoanTarget::Limit(_) => self.refresh_limits(now),
        }
    }

    /// Renews loans that are in use and returns idle ones.
    pub(super) fn maintain_loans(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        self.pending_loan_requests.retain(|_, pending| now.since(pending.sent_at) < LOAN_ANSWER_TIMEOUT);
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
