//! The course of one request, from its arrival to its answer.

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

/// Most attempts at backend servers per request.
const MAX_ATTEMPTS: u8 = 3;

/// Retry-After of refusals whose cause should be over soon.
const RETRY_SOON: Duration = Duration::from_millis(500);

/// Longest Retry-After of a rate limit. The share or the contract may change before a longer one.
const RETRY_LATEST: Duration = Duration::from_secs(30);

/// How an attempt ended, with what came back.
#[derive(Debug)]
pub(super) struct Ended {
    pub(super) end: AttemptEnd,
    pub(super) head_received: bool,
    pub(super) response_bytes: u32,
    pub(super) answer: Option<RecordedAnswer>,
}

/// An attempt under way.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) backend: Backend,
    pub(super) holds: Vec<Hold>,
    pub(super) started: Timestamp,
}

/// A caller's key that this daemon has claimed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClaimName {
    customer: Customer,
    key: CallerKey,
}

/// A request that this daemon holds.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) req: IncomingRequest,
    pub(super) deadline: Timestamp,
    pub(super) attempts: u8,
    pub(super) attempt: Option<Attempt>,
    pub(super) avoid: Option<Backend>,
    /// Crash evidence that was known when the attempt started.
    pub(super) run_start: Option<EvidenceSnapshot>,
    /// Whether it runs alone on its backend server.
    pub(super) alone: bool,
    /// Whether an entry of the operation table is running for it.
    pub(super) owns_operation: bool,
}

impl Pending {
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

fn not_run(reason: Reason, retry_after: Option<Duration>) -> Refusal {
    Refusal { outcome: Outcome::NotRun, reason, retry_after }
}

fn unknown(reason: Reason) -> Refusal {
    Refusal { outcome: Outcome::Unknown, reason, retry_after: None }
}

impl<P: Policy + Default> Node<P> {
    fn terms(&self, customer: &Customer, service: &Service) -> Option<&ServiceTerms> {
        self.contracts.get(customer)?.services.iter().find(|t| t.service == *service)
    }

    pub(super) fn on_request(&mut self, now: Timestamp, req: IncomingRequest, out: &mut Vec<Effect>) {
        let id = req.id;
        if let Some(evidence) = &req.evidence {
            self.quarantine.merge(now, evidence);
        }
        let deadline = now + req.deadline.min(MAX_RUN_TIME);
        self.requests.insert(id, Pending::new(req, deadline));
        self.begin_request(now, id, out);
    }

    /// Checks a request that is about to be queued, and returns its deadline.
    fn check_contract(&mut self, now: Timestamp, id: RequestId) -> Result<Timestamp, Refusal> {
        let req = &self.requests[&id].req;
        let terms = self.terms(&req.customer, &req.service).ok_or(not_run(Reason::NoContract, None))?;
        let deadline = now + req.deadline.min(terms.max_deadline);
        if !self.services.contains_key(&req.service) {
            return Err(not_run(Reason::NoService, None));
        }
        let is_repeatable = req.idempotency == Idempotency::Repeatable;
        if is_repeatable && self.stop.refuses_requests() {
            return Err(not_run(Reason::Stopping, Some(Duration::ZERO)));
        }
        // A repeatable request that was forwarded has been counted by the daemon that it reached first.
        if req.forwarded && is_repeatable {
            return Ok(deadline);
        }
        let (key, rank) = (rate_key(&req.customer, &req.service), req.rank);
        if !self.limits.take(now, &mut self.ledger, &key, rank, 1) {
            // Tokens that are left to other ranks make the wait zero, and a rate of zero makes it endless.
            let wait = self.limits.wait(now, &key, 1).clamp(RETRY_SOON, RETRY_LATEST);
            return Err(not_run(Reason::RateLimit, Some(wait)));
        }
        Ok(deadline)
    }

    /// The operation table comes before any limit: a resend of an operation that has run must not be told "not run".
    fn begin_request(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let pending = &self.requests[&id];
        match pending.req.idempotency.clone() {
            Idempotency::Repeatable => self.admit(now, id, out),
            Idempotency::Missing => self.refuse(now, id, not_run(Reason::TokenRequired, None), out),
            Idempotency::Token(token) => {
                let minute = self.minute(now);
                let begin = self.operations.begin(now, minute, &token, &operation_request(&pending.req));
                self.on_begin(now, id, begin, out);
            }
            Idempotency::Key(key) => {
                let name = ClaimName { customer: pending.req.customer.clone(), key: key.clone() };
                if let Some(issuer) = self.claimed.get(&name).copied() {
                    return self.on_claim_ended(now, id, &ClaimResult::Owned(issuer), out);
                }
                if !self.claims.take(now, 1) {
                    let wait = self.claims.time_until_available(now, 1);
                    return self.refuse_unclaimed(now, id, Reason::ClaimBudget, wait, out);
                }
                let customer = pending.req.customer.clone();
                let issuer = self.operations.issuer(self.minute(now));
                out.push(Effect::Claim { request: id, customer, key, issuer });
            }
        }
    }

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
                return self.refuse_unclaimed(now, id, Reason::ClaimUnavailable, RETRY_SOON, out);
            }
        };
        let Idempotency::Key(key) = pending.req.idempotency.clone() else {
            return;
        };
        let (claim, req) = (Claim { key, issuer }, operation_request(&pending.req));
        if issuer.owner == self.cfg.me {
            let name = ClaimName { customer: req.customer.clone(), key: claim.key.clone() };
            self.claimed.insert(name, issuer);
        }
        let begin = self.operations.begin_claimed(now, self.minute(now), &claim, &req);
        self.on_begin(now, id, begin, out);
    }

    /// Refuses a request whose owner is not known. An earlier sending of it may have run elsewhere.
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

    fn on_begin(&mut self, now: Timestamp, id: RequestId, begin: BeginOutcome, out: &mut Vec<Effect>) {
        match begin {
            BeginOutcome::Run => {
                if let Some(pending) = self.requests.get_mut(&id) {
                    pending.owns_operation = true;
                }
                self.admit(now, id, out);
            }
            // The request that runs answers this one as well.
            BeginOutcome::Join => {
                self.joined.insert(id);
            }
            BeginOutcome::Answer(answer) => {
                self.requests.remove(&id);
                out.push(Effect::Replay { request: id, answer });
            }
            BeginOutcome::Unknown(reason) => self.refuse(now, id, unknown(unknown_reason(reason)), out),
            BeginOutcome::Refused(reason) => self.refuse(now, id, operation_refusal(reason), out),
            BeginOutcome::NotOwner { owner, forward_to } => {
                self.forward_to_owner(now, id, owner, forward_to, out)
            }
        }
    }

    /// Sends the request to the daemon that owns its operation. A second hop is never made, so that two daemons with
    /// different views cannot send a request back and forth.
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
            Some(reason) => self.refuse(now, id, unknown(reason), out),
            None => self.forward(now, id, to, out),
        }
    }

    fn forward(&mut self, now: Timestamp, id: RequestId, to: NodeId, out: &mut Vec<Effect>) {
        let Pending { req, deadline, .. } = &self.requests[&id];
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
            ForwardResult::NoAnswer => self.refuse(now, id, unknown(Reason::OwnerUnreachable), out),
        }
    }

    fn admit(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        match self.check_contract(now, id) {
            Ok(deadline) => {
                if let Some(pending) = self.requests.get_mut(&id) {
                    pending.deadline = deadline;
                }
                self.screen(now, id, out);
            }
            Err(refusal) => self.refuse(now, id, refusal, out),
        }
    }

    /// Holds back requests that have crashed backend servers.
    fn screen(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let req = &self.requests[&id].req;
        let fingerprint = req.fingerprint;
        match self.quarantine.check(now, fingerprint) {
            QuarantineDecision::Clear => self.enqueue(now, id, out),
            QuarantineDecision::Refused { until } => self.refuse_quarantined(now, id, until, out),
            QuarantineDecision::RunAlone { arbiter } => {
                // An operation stays with its owner: a second daemon must not run it.
                let stays = arbiter == self.cfg.me.node || req.forwarded || self.requests[&id].owns_operation;
                if stays {
                    self.enqueue_alone(now, id, out);
                } else if self.is_alive(now, arbiter) {
                    self.forward(now, id, arbiter, out);
                } else {
                    self.refuse(now, id, not_run(Reason::ArbiterUnreachable, Some(RETRY_SOON)), out);
                }
            }
        }
    }

    pub(super) fn refuse_quarantined(
        &mut self,
        now: Timestamp,
        id: RequestId,
        until: Timestamp,
        out: &mut Vec<Effect>,
    ) {
        let fingerprint = self.requests[&id].req.fingerprint;
        out.push(Effect::Notice(Notice::Quarantined { request: id, fingerprint }));
        self.refuse(now, id, not_run(Reason::Quarantined, Some(until.since(now))), out);
    }

    fn enqueue_alone(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.alone = true;
        let service = pending.req.service.clone();
        if let Some(svc) = self.services.get_mut(&service) {
            svc.alone.push_back(id);
        }
        self.start_service(now, &service, out);
    }

    fn enqueue(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Effect>) {
        let pending = &self.requests[&id];
        let (service, ticket) = (pending.req.service.clone(), pending.ticket(now));
        let slots = self.usable_slots(now, &service);
        let Some(svc) = self.services.get_mut(&service) else {
            return;
        };
        match svc.admission.enqueue(now, ticket, slots) {
            EnqueueOutcome::Queued => self.start_service(now, &service, out),
            EnqueueOutcome::Refused { retry_after, .. } => {
                self.refuse(now, id, not_run(Reason::Overloaded, Some(retry_after)), out);
                self.seek_loans(now, &service, out);
            }
        }
    }

    /// Answers requests that waited too long.
    pub(super) fn expire_waiting(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let mut expired = Vec::new();
        for svc in self.services.values_mut() {
            expired.extend(svc.admission.take_dropped(now).into_iter().map(|ticket| ticket.request));
            let requests = &self.requests;
            svc.alone.retain(|id| {
                let waits = requests.get(id).is_some_and(|p| p.deadline > now);
                if !waits {
                    expired.push(*id);
                }
                waits
            });
        }
        for id in expired {
            self.refuse(now, id, not_run(Reason::DeadlineBeforeStart, Some(RETRY_SOON)), out);
        }
        self.expire_joined(now, out);
    }

    /// Answers requests that waited for another one with the same token, beyond their own deadline.
    fn expire_joined(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let requests = &self.requests;
        let late = self.joined.extract_if(.., |id| requests.get(id).is_none_or(|p| p.deadline <= now));
        for id in late.collect::<Vec<_>>() {
            self.operations.detach(id);
            self.refuse(now, id, unknown(Reason::DeadlineWhileRunning), out);
        }
    }

    /// Forgets claims whose operations the table has forgotten.
    pub(super) fn expire_claims(&mut self, now: Timestamp) {
        let minute = self.minute(now);
        self.claimed.retain(|_, issuer| issuer.issued.saturating_add(RETENTION_MINUTES) > minute);
    }

    /// Answers a request, and those that wait for the same operation, with a refusal.
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

    pub(super) fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        id: RequestId,
        ended: Ended,
        out: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = pending.attempt.take() else {
            return;
        };
        let service = pending.req.service.clone();
        let ran_alone = pending.alone.then_some(pending.req.fingerprint);
        self.note_end(now, id, &attempt, &ended);
        self.release(now, &service, attempt.holds, &ended.end);
        match ended.end {
            AttemptEnd::Ran { .. } | AttemptEnd::ServerError { .. } => {
                self.complete(now, id, ended.answer, out)
            }
            AttemptEnd::Shed => self.retry(now, id, attempt.backend, Reason::Shed, out),
            AttemptEnd::NotConnected => self.retry(now, id, attempt.backend, Reason::NotConnected, out),
            AttemptEnd::TimedOut | AttemptEnd::Cancelled => {
                self.refuse(now, id, unknown(Reason::DeadlineWhileRunning), out);
            }
            AttemptEnd::Broken => {
                if !ended.head_received {
                    self.suspect_crash(now, id, attempt.backend, out);
                }
                self.refuse(now, id, unknown(Reason::ConnectionBroken), out);
            }
        }
        // After the crash or success was recorded, the next copy may run.
        if let Some(fingerprint) = ran_alone {
            self.quarantine.finish_alone(fingerprint);
        }
        self.start_service(now, &service, out);
    }

    fn note_end(&mut self, now: Timestamp, id: RequestId, attempt: &Attempt, ended: &Ended) {
        let Pending { req, alone, .. } = &self.requests[&id];
        let (rank, alone) = (req.rank, *alone);
        let Some(svc) = self.services.get_mut(&req.service) else {
            return;
        };
        svc.routing.on_attempt_end(now, &attempt.backend, &ended.end);
        svc.running = svc.running.saturating_sub(1);
        if let AttemptEnd::Ran { .. } = ended.end {
            svc.earn_retry();
            svc.on_response(ended.response_bytes);
        }
        // Requests that run alone do not pass the queues, and what was not run goes back into them.
        let ran = !matches!(ended.end, AttemptEnd::Shed | AttemptEnd::NotConnected);
        if ran && !alone {
            svc.admission.on_finished(now, rank, now.since(attempt.started));
        }
    }

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
        let cleared = pending.run_start.as_ref().and_then(|start| self.quarantine.on_success(now, start));
        if let Some(evidence) = cleared {
            self.send_evidence(&evidence, out);
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
                None => Effect::Refuse { request: joined, refusal: unknown(Reason::EarlierAttemptUnknown) },
            });
        }
    }

    /// Tries again after an attempt that certainly did not run.
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
        let mut may_retry = pending.attempts < MAX_ATTEMPTS && pending.deadline > now;
        if let Some(svc) = self.services.get_mut(&pending.req.service) {
            may_retry = may_retry && svc.pay_retry();
            pending.avoid = Some(failed);
            svc.put_back(pending, now);
            if !may_retry {
                svc.cancel(id);
            }
        }
        if !may_retry {
            self.refuse(now, id, not_run(reason, Some(RETRY_SOON)), out);
        }
    }

    fn suspect_crash(&mut self, now: Timestamp, id: RequestId, backend: Backend, out: &mut Vec<Effect>) {
        let fingerprint = self.requests[&id].req.fingerprint;
        let evidence = self.quarantine.on_crash(now, fingerprint);
        let crashes = u32::try_from(evidence.crashes()).unwrap_or(u32::MAX);
        out.push(Effect::Notice(Notice::CrashSuspected { request: id, fingerprint, backend, crashes }));
        self.send_evidence(&evidence, out);
    }
}

impl Pending {
    fn new(req: IncomingRequest, deadline: Timestamp) -> Self {
        Self {
            req,
            deadline,
            attempts: 0,
            attempt: None,
            avoid: None,
            run_start: None,
            alone: false,
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
        OperationRefusal::TableFull => not_run(Reason::OperationsFull, Some(RETRY_SOON)),
        OperationRefusal::NameInUse => not_run(Reason::TokenConflict, None),
        OperationRefusal::Leaving => not_run(Reason::Stopping, Some(Duration::ZERO)),
        OperationRefusal::NotIssued => not_run(Reason::Malformed, None),
    }
}

fn operation_request(req: &IncomingRequest) -> OperationRequest {
    OperationRequest { id: req.id, customer: req.customer.clone(), fingerprint: req.fingerprint }
}
