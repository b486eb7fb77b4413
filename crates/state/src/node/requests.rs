//! Request handling: admission, forwarding, retries and the answers.

use std::time::Duration;

use crate::admission::{EnqueueOutcome, Ticket};
use crate::id::{Backend, Customer, Incarnation, NodeId, RequestId, Service};
use crate::ledger::Hold;
use crate::model::{MAX_RUN_TIME, ServiceTerms};
use crate::node::limits::rate_key;
use crate::node::{
    ClaimResult, Effect, ForwardResult, Idempotency, IncomingRequest, Node, Notice, Outcome, Reason, Refusal,
};
use crate::operation::{
    AttemptOutcome, BeginOutcome, CallerKey, Claim, OperationRefusal, OperationRequest, RETENTION_MINUTES,
    RecordedAnswer, UnknownReason,
};
use crate::quarantine::{EvidenceSnapshot, QuarantineDecision};
use crate::routing::{AttemptEnd, Policy};
use crate::time::Timestamp;

/// Maximum number of attempts per request, the first one included.
const MAX_ATTEMPTS: u8 = 3;

/// `Retry-After` delay of refusals for a transient cause.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Maximum `Retry-After` delay of a rate limit refusal. A longer one would be of no use, since the share or the
/// contract may change before it ends.
const MAX_RATE_RETRY_AFTER: Duration = Duration::from_secs(30);

/// How an attempt ended, with the response of the backend server.
#[derive(Debug)]
pub(super) struct EndedAttempt {
    pub(super) end: AttemptEnd,
    pub(super) head_received: bool,
    pub(super) response_bytes: u32,
    pub(super) answer: Option<RecordedAnswer>,
}

/// A running attempt.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) backend: Backend,
    pub(super) holds: Vec<Hold>,
    pub(super) started: Timestamp,
}

/// A caller key, which is unique per customer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClaimKey {
    customer: Customer,
    key: CallerKey,
}

/// A request that has arrived and has not been answered yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) req: IncomingRequest,
    pub(super) deadline: Timestamp,
    pub(super) attempt_count: u8,
    pub(super) attempt: Option<Attempt>,
    /// Backend server of the last failed attempt, which the next attempt avoids if possible.
    pub(super) avoided_backend: Option<Backend>,
    /// Crash evidence that was known when the latest attempt started. A success clears it.
    pub(super) evidence_at_start: Option<EvidenceSnapshot>,
    /// Whether it must run alone on its backend server.
    pub(super) exclusive: bool,
    /// Whether it runs an operation for which the operation table has an entry.
    pub(super) owns_operation: bool,
}

impl PendingRequest {
    pub(super) fn ticket(&self, now: Timestamp) -> Ticket {
        Ticket {
            request: self.req.id,
            customer: self.req.customer.clone(),
            rank: self.req.rank,
            deadline: self.deadline,
            queued_at: now,
        }
    }
}

fn not_run_refusal(reason: Reason, retry_after: Option<Duration>) -> Refusal {
    Refusal { outcome: Outcome::NotRun, reason, retry_after }
}

fn unknown_refusal(reason: Reason) -> Refusal {
    Refusal { outcome: Outcome::Unknown, reason, retry_after: None }
}

impl<P: Policy + Default> Node<P> {
    /// Returns the contract terms of a customer for a service. `None` if the customer has no contract for it.
    fn contract_terms(&self, customer: &Customer, service: &Service) -> Option<&ServiceTerms> {
        self.contracts.get(customer)?.services.iter().find(|t| t.service == *service)
    }

    /// Accepts a request. Its deadline is limited by [`MAX_RUN`] until the contract is known.
    pub(super) fn on_request(&mut self, now: Timestamp, req: IncomingRequest, out: &mut Vec<Effect>) {
        let id = req.id;
        if let Some(evidence) = &req.evidence {
            self.quarantine.merge(now, evidence);
        }
        let deadline = now + req.deadline.min(MAX_RUN_TIME);
        self.requests.insert(id, PendingRequest::new(req, deadline));
        self.begin_request(now, id, out);
    }

    /// Checks a request against its contract before it is queued, and returns its deadline.
    fn check_contract(&mut self, now: Timestamp, id: RequestId) -> Result<Timestamp, Refusal> {
        let req = &self.requests[&id].req;
        let terms = self
            .contract_terms(&req.customer, &req.service)
            .ok_or(not_run_refusal(Reason::NoContract, None))?;
        let deadline = now + req.deadline.min(terms.max_deadline);
        if !self.services.contains_key(&req.service) {
            return Err(not_run_refusal(Reason::NoService, None));
        }
        let is_repeatable = req.idempotency == Idempotency::Repeatable;
        if is_repeatable && self.stop.refuses_requests() {
            return Err(not_run_refusal(Reason::Stopping, Some(Duration::ZERO)));
        }
        // A forwarded repeatable request has already been charged by the daemon that received it from the caller.
        if req.forwarded && is_repeatable {
            return Ok(deadline);
        }
        let (key, rank) = (rate_key(&req.customer, &req.service), req.rank);
        if !self.limits.take(now, &mut self.ledger, &key, rank, 1) {
            // The wait can be zero if the remaining tokens are reserved for other ranks, and is unbounded at a rate
            // of zero.
            let wait =
                self.limits.time_until_available(now, &key, 1).clamp(SHORT_RETRY_AFTER, MAX_RATE_RETRY_AFTER);
            return Err(not_run_refusal(Reason::RateLimit, Some(wait)));
        }
        Ok(deadline)
    }

    /// Looks up the operation, then admits the request. The operation table is consulted before any limit, since a
    /// resent operation that has already run must not be refused as not run.
    fn begin_request(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let pending = &self.requests[&id];
        match pending.req.idempotency.clone() {
            Idempotency::Repeatable => self.admit(now, id, out),
            Idempotency::Missing => self.refuse(now, id, not_run_refusal(Reason::TokenRequired, None), out),
            Idempotency::Token(token) => {
                let minute = self.current_minute(now);
                let begin = self.operations.begin(now, minute, &token, &operation_request(&pending.req));
                self.on_operation_begin(now, id, begin, out);
            }
            Idempotency::Key(key) => {
                let claim_key = ClaimKey { customer: pending.req.customer.clone(), key: key.clone() };
                if let Some(issuer) = self.owned_claims.get(&claim_key).copied() {
                    return self.on_claim_ended(now, id, &ClaimResult::Owned(issuer), out);
                }
                if !self.claim_budget.take(now, 1) {
                    let wait = self.claim_budget.time_until_available(now, 1);
                    return self.refuse_unclaimed(now, id, Reason::ClaimBudget, wait, out);
                }
                let customer = pending.req.customer.clone();
                let issuer = self.operations.issuer(self.current_minute(now));
                out.push(Effect::Claim { request: id, customer, key, issuer });
            }
        }
    }

    /// Looks up the operation of a request whose key has an owner, or refuses the request.
    pub(super) fn on_claim_ended(
        &mut self,
        now: Timestamp,
        id: RequestId,
        end: &ClaimResult,
        out: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let issuer = match end {
            ClaimResult::Owned(issuer) => *issuer,
            ClaimResult::Unavailable => {
                return self.refuse_unclaimed(now, id, Reason::ClaimUnavailable, SHORT_RETRY_AFTER, out);
            }
        };
        let Idempotency::Key(key) = pending.req.idempotency.clone() else {
            return;
        };
        let (claim, req) = (Claim { key, issuer }, operation_request(&pending.req));
        if issuer.owner == self.cfg.me {
            let claim_key = ClaimKey { customer: req.customer.clone(), key: claim.key.clone() };
            self.owned_claims.insert(claim_key, issuer);
        }
        let begin = self.operations.begin_claimed(now, self.current_minute(now), &claim, &req);
        self.on_operation_begin(now, id, begin, out);
    }

    /// Refuses a request whose key could not be claimed, so that its owner is not known. If the request was resent, an
    /// earlier copy may have run elsewhere, and the outcome is unknown.
    fn refuse_unclaimed(
        &mut self,
        now: Timestamp,
        id: RequestId,
        reason: Reason,
        wait: Duration,
        out: &mut Vec<Effect>,
    ) {
        let resent = self.requests.get(&id).is_some_and(|p| p.req.resent);
        let outcome = if resent { Outcome::Unknown } else { Outcome::NotRun };
        self.refuse(now, id, Refusal { outcome, reason, retry_after: Some(wait) }, out);
    }

    /// Handles a request as the operation table has decided.
    fn on_operation_begin(
        &mut self,
        now: Timestamp,
        id: RequestId,
        begin: BeginOutcome,
        out: &mut Vec<Effect>,
    ) {
        match begin {
            BeginOutcome::Run => {
                if let Some(pending) = self.requests.get_mut(&id) {
                    pending.owns_operation = true;
                }
                self.admit(now, id, out);
            }
            // Answered together with the request that runs the operation.
            BeginOutcome::Join => {
                self.joined_requests.insert(id);
            }
            BeginOutcome::Answer(answer) => {
                self.requests.remove(&id);
                out.push(Effect::Replay { request: id, answer });
            }
            BeginOutcome::Unknown(reason) => {
                self.refuse(now, id, unknown_refusal(unknown_reason(reason)), out)
            }
            BeginOutcome::Refused(reason) => self.refuse(now, id, operation_refusal(reason), out),
            BeginOutcome::NotOwner { owner, forward_to } => {
                self.forward_to_owner(now, id, owner, forward_to, out)
            }
        }
    }

    /// Forwards the request to the daemon that owns its operation. A forwarded request is not forwarded again, so that
    /// two daemons with different views cannot form a loop.
    fn forward_to_owner(
        &mut self,
        now: Timestamp,
        id: RequestId,
        owner: Incarnation,
        to: NodeId,
        out: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let restarted = self.membership.member_state(to).is_some_and(|m| m.id.boot > owner.boot);
        let reason = if to == owner.node && restarted {
            Some(Reason::OwnerRestarted)
        } else if pending.req.forwarded || !self.is_alive(now, to) {
            Some(Reason::OwnerUnreachable)
        } else {
            None
        };
        match reason {
            Some(reason) => self.refuse(now, id, unknown_refusal(reason), out),
            None => self.forward(now, id, to, out),
        }
    }

    /// Forwards the request to another daemon, with the crash evidence that this daemon has.
    fn forward(&mut self, now: Timestamp, id: RequestId, to: NodeId, out: &mut Vec<Effect>) {
        let PendingRequest { req, deadline, .. } = &self.requests[&id];
        let evidence = self.quarantine.evidence(now, req.fingerprint);
        out.push(Effect::Forward { request: id, to, budget: deadline.since(now), evidence });
    }

    pub(super) fn on_forward_ended(
        &mut self,
        now: Timestamp,
        id: RequestId,
        end: &ForwardResult,
        out: &mut Vec<Effect>,
    ) {
        match end {
            ForwardResult::Answered => {
                self.requests.remove(&id);
                out.push(Effect::Deliver { request: id });
            }
            ForwardResult::NoAnswer => self.refuse(now, id, unknown_refusal(Reason::OwnerUnreachable), out),
        }
    }

    /// Checks the request against its contract and the crash evidence, and then queues, forwards or refuses it.
    fn admit(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        match self.check_contract(now, id) {
            Ok(deadline) => {
                if let Some(pending) = self.requests.get_mut(&id) {
                    pending.deadline = deadline;
                }
                self.check_quarantine(now, id, out);
            }
            Err(refusal) => self.refuse(now, id, refusal, out),
        }
    }

    /// Queues the request if there is no crash evidence against it. A suspected request runs alone at its arbiter, and
    /// a quarantined one is refused.
    fn check_quarantine(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let req = &self.requests[&id].req;
        let fingerprint = req.fingerprint;
        match self.quarantine.check(now, fingerprint) {
            QuarantineDecision::Clear => self.enqueue(now, id, out),
            QuarantineDecision::Refused { until } => self.refuse_quarantined(now, id, until, out),
            QuarantineDecision::RunAlone { arbiter } => {
                // An operation is never passed on by its owner, since a second daemon must not run it.
                let runs_here =
                    arbiter == self.cfg.me.node || req.forwarded || self.requests[&id].owns_operation;
                if runs_here {
                    self.enqueue_exclusive(now, id, out);
                } else if self.is_alive(now, arbiter) {
                    self.forward(now, id, arbiter, out);
                } else {
                    self.refuse(
                        now,
                        id,
                        not_run_refusal(Reason::ArbiterUnreachable, Some(SHORT_RETRY_AFTER)),
                        out,
                    );
                }
            }
        }
    }

    /// Refuses a request that is quarantined until `until`.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: Timestamp,
        id: RequestId,
        until: Timestamp,
        out: &mut Vec<Effect>,
    ) {
        let fingerprint = self.requests[&id].req.fingerprint;
        out.push(Effect::Notice(Notice::Quarantined { request: id, fingerprint }));
        self.refuse(now, id, not_run_refusal(Reason::Quarantined, Some(until.since(now))), out);
    }

    /// Queues a suspected request, which must run alone on a backend server.
    fn enqueue_exclusive(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.exclusive = true;
        let service = pending.req.service.clone();
        if let Some(svc) = self.services.get_mut(&service) {
            svc.exclusive_queue.push_back(id);
        }
        self.start_requests_of(now, &service, out);
    }

    /// Queues a request for admission, or refuses it if the service is overloaded.
    fn enqueue(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let pending = &self.requests[&id];
        let (service, ticket) = (pending.req.service.clone(), pending.ticket(now));
        let slots = self.usable_slots(now, &service);
        let Some(svc) = self.services.get_mut(&service) else {
            return;
        };
        match svc.admission.enqueue(now, ticket, slots) {
            EnqueueOutcome::Queued => self.start_requests_of(now, &service, out),
            EnqueueOutcome::Refused { retry_after, .. } => {
                self.refuse(now, id, not_run_refusal(Reason::Overloaded, Some(retry_after)), out);
                self.request_slot_loans(now, &service, out);
            }
        }
    }

    /// Refuses requests that left the queues without being started: their deadline or wait budget has passed, or
    /// another request has displaced them.
    pub(super) fn expire_waiting(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let mut expired = Vec::new();
        for svc in self.services.values_mut() {
            expired.extend(svc.admission.take_dropped(now).into_iter().map(|ticket| ticket.request));
            let requests = &self.requests;
            svc.exclusive_queue.retain(|id| {
                let waits = requests.get(id).is_some_and(|p| p.deadline > now);
                if !waits {
                    expired.push(*id);
                }
                waits
            });
        }
        for id in expired {
            self.refuse(now, id, not_run_refusal(Reason::DeadlineBeforeStart, Some(SHORT_RETRY_AFTER)), out);
        }
        self.expire_joined(now, out);
    }

    /// Refuses requests whose deadline passed while they waited for another request with the same operation.
    fn expire_joined(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let requests = &self.requests;
        let late =
            self.joined_requests.extract_if(.., |id| requests.get(id).is_none_or(|p| p.deadline <= now));
        for id in late.collect::<Vec<_>>() {
            self.operations.detach(id);
            self.refuse(now, id, unknown_refusal(Reason::DeadlineWhileRunning), out);
        }
    }

    /// Removes claims whose operations are past the retention of the operation table.
    pub(super) fn expire_claims(&mut self, now: Timestamp) {
        let minute = self.current_minute(now);
        self.owned_claims.retain(|_, issuer| issuer.issued.saturating_add(RETENTION_MINUTES) > minute);
    }

    /// Refuses a request and all requests that wait for the same operation.
    pub(super) fn refuse(&mut self, now: Timestamp, id: RequestId, refusal: Refusal, out: &mut Vec<Effect>) {
        let Some(pending) = self.requests.remove(&id) else {
            return;
        };
        out.push(Effect::Refuse { request: id, refusal });
        if !pending.owns_operation {
            return;
        }
        let end = match refusal.outcome {
            Outcome::NotRun => AttemptOutcome::NotRun,
            Outcome::Unknown => AttemptOutcome::Unknown,
        };
        for joined in self.operations.finish(now, id, end) {
            self.requests.remove(&joined);
            out.push(Effect::Refuse { request: joined, refusal });
        }
    }

    /// Releases the slots of an attempt, and completes, retries or refuses its request.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        id: RequestId,
        ended: EndedAttempt,
        out: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = pending.attempt.take() else {
            return;
        };
        let service = pending.req.service.clone();
        let exclusive_run = pending.exclusive.then_some(pending.req.fingerprint);
        self.record_attempt_end(now, id, &attempt, &ended);
        self.release(now, &service, attempt.holds, &ended.end);
        match ended.end {
            AttemptEnd::Ran { .. } | AttemptEnd::ServerError { .. } => {
                self.complete(now, id, ended.answer, out)
            }
            AttemptEnd::Shed => self.retry(now, id, attempt.backend, Reason::Shed, out),
            AttemptEnd::NotConnected => self.retry(now, id, attempt.backend, Reason::NotConnected, out),
            AttemptEnd::TimedOut | AttemptEnd::Cancelled => {
                self.refuse(now, id, unknown_refusal(Reason::DeadlineWhileRunning), out);
            }
            AttemptEnd::Broken => {
                if !ended.head_received {
                    self.record_crash(now, id, attempt.backend, out);
                }
                self.refuse(now, id, unknown_refusal(Reason::ConnectionBroken), out);
            }
        }
        // The next copy may run only after the crash or success of this one has been recorded.
        if let Some(fingerprint) = exclusive_run {
            self.quarantine.finish_alone(fingerprint);
        }
        self.start_requests_of(now, &service, out);
    }

    /// Reports the end of an attempt to the routing policy, the retry budget and the admission estimates.
    fn record_attempt_end(&mut self, now: Timestamp, id: RequestId, attempt: &Attempt, ended: &EndedAttempt) {
        let PendingRequest { req, exclusive, .. } = &self.requests[&id];
        let (rank, exclusive) = (req.rank, *exclusive);
        let Some(svc) = self.services.get_mut(&req.service) else {
            return;
        };
        svc.routing.on_attempt_end(now, &attempt.backend, &ended.end);
        svc.running = svc.running.saturating_sub(1);
        if let AttemptEnd::Ran { .. } = ended.end {
            svc.add_retry_credit();
            svc.on_response(ended.response_bytes);
        }
        // Exclusive requests bypass the admission queues, and requests that did not run return to them.
        let ran = !matches!(ended.end, AttemptEnd::Shed | AttemptEnd::NotConnected);
        if ran && !exclusive {
            svc.admission.on_finished(now, rank, now.since(attempt.started));
        }
    }

    /// Delivers the response to a request that has run, and answers the requests that joined its operation.
    fn complete(
        &mut self,
        now: Timestamp,
        id: RequestId,
        answer: Option<RecordedAnswer>,
        out: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.remove(&id) else {
            return;
        };
        let cleared =
            pending.evidence_at_start.as_ref().and_then(|evidence| self.quarantine.on_success(now, evidence));
        if let Some(evidence) = cleared {
            self.publish_evidence(&evidence, out);
        }
        out.push(Effect::Deliver { request: id });
        if !pending.owns_operation {
            return;
        }
        let end = answer.clone().map_or(AttemptOutcome::Unknown, AttemptOutcome::Answered);
        for joined in self.operations.finish(now, id, end) {
            self.requests.remove(&joined);
            out.push(match answer.clone() {
                Some(answer) => Effect::Replay { request: joined, answer },
                None => Effect::Refuse {
                    request: joined,
                    refusal: unknown_refusal(Reason::EarlierAttemptUnknown),
                },
            });
        }
    }

    /// Retries a request after an attempt that certainly did not run it.
    fn retry(
        &mut self,
        now: Timestamp,
        id: RequestId,
        failed: Backend,
        reason: Reason,
        out: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let mut may_retry = pending.attempt_count < MAX_ATTEMPTS && pending.deadline > now;
        if let Some(svc) = self.services.get_mut(&pending.req.service) {
            may_retry = may_retry && svc.try_spend_retry_credit();
            pending.avoided_backend = Some(failed);
            svc.requeue(pending, now);
            if !may_retry {
                svc.cancel(id);
            }
        }
        if !may_retry {
            self.refuse(now, id, not_run_refusal(reason, Some(SHORT_RETRY_AFTER)), out);
        }
    }

    /// Records that the request may have crashed its backend server, and sends the evidence to all daemons.
    fn record_crash(&mut self, now: Timestamp, id: RequestId, backend: Backend, out: &mut Vec<Effect>) {
        let fingerprint = self.requests[&id].req.fingerprint;
        let evidence = self.quarantine.on_crash(now, fingerprint);
        let crashes = u32::try_from(evidence.crashes()).unwrap_or(u32::MAX);
        out.push(Effect::Notice(Notice::CrashSuspected { request: id, fingerprint, backend, crashes }));
        self.publish_evidence(&evidence, out);
    }
}

impl PendingRequest {
    fn new(req: IncomingRequest, deadline: Timestamp) -> Self {
        Self {
            req,
            deadline,
            attempt_count: 0,
            attempt: None,
            avoided_backend: None,
            evidence_at_start: None,
            exclusive: false,
            owns_operation: false,
        }
    }
}

fn unknown_reason(reason: UnknownReason) -> Reason {
    match reason {
        UnknownReason::Expired => Reason::TokenExpired,
        UnknownReason::AttemptLost => Reason::EarlierAttemptUnknown,
        UnknownReason::OwnerEnded | UnknownReason::HandedOver => Reason::OwnerRestarted,
    }
}

fn operation_refusal(reason: OperationRefusal) -> Refusal {
    match reason {
        OperationRefusal::TableFull => not_run_refusal(Reason::OperationsFull, Some(SHORT_RETRY_AFTER)),
        OperationRefusal::NameInUse => not_run_refusal(Reason::TokenConflict, None),
        OperationRefusal::Leaving => not_run_refusal(Reason::Stopping, Some(Duration::ZERO)),
        OperationRefusal::NotIssued => not_run_refusal(Reason::Malformed, None),
    }
}

fn operation_request(req: &IncomingRequest) -> OperationRequest {
    OperationRequest { id: req.id, customer: req.customer.clone(), fingerprint: req.fingerprint }
}
