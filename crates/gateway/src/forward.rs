//! The way of one request: placed, sent, perhaps sent again, answered.
//!
//! An answer is read as a whole before it is passed on, so that a damaged one never reaches the caller and a request that
//! may be repeated can be sent to another server instead.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use medlarstair_state::id::Backend;
use medlarstair_state::steering::affinity::ObjectId;
use medlarstair_state::steering::engine::Reason;
use medlarstair_state::steering::plan::{Plan, RetrySafety, Route};
use medlarstair_state::steering::poison::Fingerprint;
use medlarstair_state::steering::{Call, Decision, QueueTicket, Refusal, SelectedBackend, SendOutcome};
use medlarstair_state::time::Timestamp;
use medlarstair_transport::hop::is_hop_by_hop;
use medlarstair_transport::http1::{BufferedResponse, ClientConnection, ExchangeError};
use rapidhash::v3::rapidhash_v3;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::adapter::{Adapter, RequestMetadata, ResponseMetadata};
use crate::core::Core;
use crate::directory::status;
use crate::eventlog::EventCode;

/// Time to open a connection to a backend server. Two round trips between the farthest regions fit.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest answer that is passed on in bytes.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// Longest body of a request in bytes, whatever the configuration allows, since bodies are held in memory.
const BODY_MAX_BYTES: usize = 16 << 20;

/// Time after which a caller may come back while no configuration is known.
const NO_PLAN_RETRY: Duration = Duration::from_millis(300);

/// A request that is being handled.
struct Job<'a, A: Adapter> {
    core: &'a Rc<Core<A>>,
    head: &'a Parts,
    notes: RequestMetadata,
    body: Bytes,
    call: Call,
    may_have_run: bool,
}

/// How one send ended, seen from the caller's request.
enum Sent {
    /// The server's answer.
    Answer(Box<BufferedResponse>, ResponseMetadata),
    /// It has certainly not run.
    NotRun(SendOutcome),
    /// It may have run.
    Unknown(SendOutcome),
}

/// Handles a caller's request.
pub async fn handle<A: Adapter>(core: &Rc<Core<A>>, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let arrived = core.now();
    let (head, body) = req.into_parts();
    let Some(plan) = core.steering.borrow().plan().cloned() else {
        return refused(Refusal { reason: Reason::NoPlan, retry_after: NO_PLAN_RETRY });
    };
    let Some(route) = find_route(&plan, &head) else {
        if let Some(log) = core.events.admit(arrived, EventCode(540)) {
            slog::info!(log, "no route"; "code" => 540, "path" => head.uri.path(), "version" => plan.version.0);
        }
        return status(StatusCode::NOT_FOUND);
    };
    let body_max = plan.limits.max_body_bytes.min(BODY_MAX_BYTES);
    let body = match Limited::new(body, body_max).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => return status(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => return status(StatusCode::BAD_REQUEST),
    };
    let notes = core.adapter.parse_request(&head.headers);
    let (object, fingerprint) = identify(&route, &head, &notes, &body);
    let begun = core.steering.borrow_mut().start_request(arrived, &route, object, fingerprint, notes.timeout);
    let Some(mut call) = begun else {
        return refused(Refusal { reason: Reason::NoServer, retry_after: NO_PLAN_RETRY });
    };
    if let Some(end) = core.last_answer() {
        // A request that cannot be answered before the process ends is refused while it has not run.
        call.deadline = call.deadline.min(end);
    }
    let mut job = Job { core, head: &head, notes, body, call, may_have_run: false };
    let (res, outcome) = job.run().await;
    let took = core.now().since(arrived);
    job.note_end(res.status(), outcome, took);
    core.metrics.requests.with_label_values(&[&*route.name, outcome]).inc();
    core.metrics.latency.with_label_values(&[&*route.name]).observe(took.as_secs_f64());
    res
}

fn find_route(plan: &Plan, head: &Parts) -> Option<Rc<Route>> {
    let host = head.headers.get(header::HOST).and_then(|v| v.to_str().ok())?;
    let host = host.split(':').next()?;
    plan.route(host, head.uri.path()).cloned().map(Rc::new)
}

fn identify(route: &Route, head: &Parts, notes: &RequestMetadata, body: &Bytes) -> (ObjectId, Fingerprint) {
    let attempt = notes.attempt_id.as_ref().map_or(&b""[..], HeaderValue::as_bytes);
    // A server's state for an object serves one kind of request, so each route has objects of its own.
    let object = notes.object.unwrap_or_else(|| ObjectId::from_name(attempt)).for_route(&route.name);
    let mut text = Vec::with_capacity(256);
    text.extend_from_slice(head.method.as_str().as_bytes());
    text.extend_from_slice(head.uri.path_and_query().map_or("", |p| p.as_str()).as_bytes());
    text.extend_from_slice(&object.0.to_le_bytes());
    (object, Fingerprint(rapidhash_v3(&text) ^ rapidhash_v3(body)))
}

/// Removes a request from the queue if its caller leaves.
struct Waiting<'a, A: Adapter> {
    core: &'a Core<A>,
    call: &'a Call,
    ticket: QueueTicket,
    rx: oneshot::Receiver<Decision>,
}

impl<A: Adapter> Drop for Waiting<'_, A> {
    fn drop(&mut self) {
        self.core.forget(self.ticket);
        let mut steering = self.core.steering.borrow_mut();
        steering.cancel_queued(&self.call.service, self.ticket);
        if let Ok(Decision::Send(choice)) = self.rx.try_recv() {
            steering.record_outcome(self.core.now(), self.call, &choice, SendOutcome::Cancelled);
        }
    }
}

/// Tells the decision logic how a send ended, also if the caller leaves.
struct Sending<'a, A: Adapter> {
    core: &'a Core<A>,
    call: &'a Call,
    choice: &'a SelectedBackend,
    outcome: SendOutcome,
}

impl<A: Adapter> Drop for Sending<'_, A> {
    fn drop(&mut self) {
        let now = self.core.now();
        self.core.steering.borrow_mut().record_outcome(now, self.call, self.choice, self.outcome);
        self.core.release();
    }
}

impl<A: Adapter> Job<'_, A> {
    async fn run(&mut self) -> (Response<Full<Bytes>>, &'static str) {
        let mut failed: Option<Box<BufferedResponse>> = None;
        loop {
            let choice = match self.decide().await {
                Ok(choice) => choice,
                Err(refusal) => return self.give_up(refusal, failed),
            };
            let sent = self.send(&choice).await;
            self.call.tried_backends.push(choice.backend.clone());
            match sent {
                Sent::Answer(_, notes) if notes.misdirected || notes.not_run => {}
                Sent::Answer(answer, _) => {
                    let is_failure = answer.head.status.is_server_error();
                    if !is_failure || !self.may_repeat() {
                        return self.pass_on(*answer);
                    }
                    self.may_have_run = true;
                    failed = Some(answer);
                }
                Sent::NotRun(_) => {}
                Sent::Unknown(outcome) => {
                    self.may_have_run = true;
                    if !self.may_repeat() || outcome == SendOutcome::TimedOut {
                        return self.lost(outcome);
                    }
                }
            }
        }
    }

    fn may_repeat(&self) -> bool {
        self.call.route.retry_safety == RetrySafety::Idempotent
    }

    async fn decide(&self) -> Result<SelectedBackend, Refusal> {
        let core = &**self.core;
        let decision = core.steering.borrow_mut().place(core.now(), &self.call);
        let decision = match decision {
            Decision::Wait(ticket) => self.wait(ticket).await,
            decision => decision,
        };
        match decision {
            Decision::Send(choice) => Ok(choice),
            Decision::Refuse(refusal) => Err(refusal),
            Decision::Wait(_) => Err(Refusal { reason: Reason::Overload, retry_after: NO_PLAN_RETRY }),
        }
    }

    async fn wait(&self, ticket: QueueTicket) -> Decision {
        let core = &**self.core;
        let mut waiting = Waiting { core, call: &self.call, ticket, rx: core.wait_for(ticket) };
        let left = self.call.deadline.since(core.now());
        match timeout(left, &mut waiting.rx).await {
            Ok(Ok(decision)) => decision,
            Ok(Err(_)) | Err(_) => Decision::Wait(ticket),
        }
    }

    /// Sends the request once and tells the decision logic how that ended.
    async fn send(&self, choice: &SelectedBackend) -> Sent {
        let core = &**self.core;
        let started = core.now();
        let mut sending = Sending { core, call: &self.call, choice, outcome: SendOutcome::Cancelled };
        let sent = self.exchange(choice).await;
        let now = core.now();
        sending.outcome = self.outcome(&sent, now.since(started));
        if let Sent::Answer(_, ResponseMetadata { load: Some(load), .. }) = &sent {
            // The load that an answer carries still counts the request that it answers.
            core.steering.borrow_mut().record_load(now, &choice.backend, *load);
        }
        self.note_send(choice, &sending.outcome, started, now);
        sent
    }

    fn outcome(&self, sent: &Sent, took: Duration) -> SendOutcome {
        match sent {
            Sent::Answer(_, notes) if notes.misdirected => SendOutcome::Misdirected,
            Sent::Answer(_, notes) if notes.not_run => SendOutcome::Shed,
            Sent::Answer(answer, _) => {
                SendOutcome::Answered { ok: !answer.head.status.is_server_error(), took }
            }
            Sent::NotRun(outcome) | Sent::Unknown(outcome) => *outcome,
        }
    }

    fn note_send(&self, choice: &SelectedBackend, outcome: &SendOutcome, started: Timestamp, now: Timestamp) {
        let core = self.core;
        let (label, is_fault) = match outcome {
            SendOutcome::Answered { ok: true, .. } => ("ok", false),
            SendOutcome::Answered { ok: false, .. } => ("failed", true),
            SendOutcome::Shed => ("shed", true),
            SendOutcome::Misdirected => ("misdirected", true),
            SendOutcome::NotConnected => ("not-connected", true),
            SendOutcome::ConnectionLost => ("broken", true),
            SendOutcome::InvalidResponse => ("garbled", true),
            SendOutcome::TimedOut => ("silent", true),
            SendOutcome::Cancelled => ("cancelled", false),
        };
        core.metrics.sends.with_label_values(&[self.call.service.as_str(), label]).inc();
        if !is_fault && !core.events.is_sampled(self.request_id().as_bytes()) {
            return;
        }
        if let Some(log) = core.events.admit(now, EventCode(541)) {
            slog::info!(log, "send ended"; "code" => 541, "request" => self.request_id(),
                "route" => &*self.call.route.name, "service" => %self.call.service,
                "backend" => %choice.backend, "outcome" => label, "object" => %self.call.object,
                "warm" => choice.warm, "expected_ms" => choice.expected_latency.as_millis(),
                "occupancy" => choice.occupancy, "took_ms" => now.since(started).as_millis(),
                "after_ms" => now.since(self.call.arrived_at).as_millis());
        }
    }

    /// Tells how a request ended, if it failed, was late or is sampled.
    fn note_end(&self, code: StatusCode, outcome: &str, took: Duration) {
        let route = &self.call.route;
        let is_late = took > route.latency_objective;
        let is_sampled = self.core.events.is_sampled(self.request_id().as_bytes());
        if outcome == "answered" && !is_late && !is_sampled {
            return;
        }
        if let Some(log) = self.core.events.admit(self.core.now(), EventCode(543)) {
            slog::info!(log, "request ended"; "code" => 543, "request" => self.request_id(),
                "route" => &*route.name, "service" => %self.call.service, "outcome" => outcome,
                "status" => code.as_u16(), "late" => is_late, "took_ms" => took.as_millis(),
                "objective_ms" => route.latency_objective.as_millis(),
                "sends" => self.call.tried_backends.len(),
                "returning" => self.call.previously_refused);
        }
    }

    fn request_id(&self) -> &str {
        self.notes.attempt_id.as_ref().and_then(|v| v.to_str().ok()).unwrap_or("-")
    }

    async fn exchange(&self, choice: &SelectedBackend) -> Sent {
        let core = &**self.core;
        let mut reused = core.pool.borrow_mut().take(core.now(), &choice.backend);
        loop {
            let is_reused = reused.is_some();
            let link = match reused.take() {
                Some(link) => link,
                None => match self.connect(choice).await {
                    Some(link) => link,
                    None => return Sent::NotRun(SendOutcome::NotConnected),
                },
            };
            match self.exchange_on(link, choice).await {
                // The server closed the idle connection just before the request was written.
                Sent::NotRun(_) if is_reused => {}
                sent => return sent,
            }
        }
    }

    async fn connect(&self, choice: &SelectedBackend) -> Option<ClientConnection> {
        let core = &**self.core;
        let limit = CONNECT_TIMEOUT.min(self.call.deadline.since(core.now()));
        core.metrics.connections.with_label_values(&[self.call.service.as_str()]).inc();
        ClientConnection::open(choice.address, limit).await.ok()
    }

    async fn exchange_on(&self, mut link: ClientConnection, choice: &SelectedBackend) -> Sent {
        let core = &**self.core;
        let left = self.call.deadline.since(core.now());
        let Some(req) = self.request(&choice.backend, left) else {
            return Sent::NotRun(SendOutcome::NotConnected);
        };
        let answer = match timeout(left, link.exchange(req, ANSWER_MAX_BYTES)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(ExchangeError::Unsent)) => return Sent::NotRun(SendOutcome::NotConnected),
            Ok(Err(ExchangeError::NoAnswer { .. })) => return Sent::Unknown(SendOutcome::ConnectionLost),
            Ok(Err(ExchangeError::Cut { .. })) => return Sent::Unknown(SendOutcome::InvalidResponse),
            Err(_) => return Sent::Unknown(SendOutcome::TimedOut),
        };
        let notes = core.adapter.parse_response(answer.head.status, &answer.head.headers);
        if !notes.misdirected && !notes.not_run && notes.attempt_id != self.notes.attempt_id {
            return Sent::Unknown(SendOutcome::InvalidResponse);
        }
        core.pool.borrow_mut().put(core.now(), &choice.backend, link, &answer.head.headers);
        Sent::Answer(Box::new(answer), notes)
    }

    fn request(&self, backend: &Backend, left: Duration) -> Option<Request<Full<Bytes>>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query()?;
        *req.uri_mut() = path.as_str().parse().ok()?;
        *req.headers_mut() = end_to_end(&self.head.headers);
        self.core.adapter.set_backend_headers(req.headers_mut(), backend, left);
        Some(req)
    }

    /// The answer to a request that is not sent (again).
    fn give_up(
        &self,
        refusal: Refusal,
        failed: Option<Box<BufferedResponse>>,
    ) -> (Response<Full<Bytes>>, &'static str) {
        if let Some(answer) = failed {
            return self.pass_on(*answer);
        }
        if self.may_have_run {
            return (status(StatusCode::BAD_GATEWAY), "failed");
        }
        if let Some(log) = self.core.events.admit(self.core.now(), EventCode(542)) {
            slog::info!(log, "request refused"; "code" => 542, "request" => self.request_id(),
                "route" => &*self.call.route.name, "reason" => %refusal.reason,
                "sends" => self.call.tried_backends.len(), "returning" => self.call.previously_refused,
                "retry_after_ms" => refusal.retry_after.as_millis());
        }
        (refused(refusal), "refused")
    }

    /// The answer to a request whose outcome is not known.
    fn lost(&self, outcome: SendOutcome) -> (Response<Full<Bytes>>, &'static str) {
        match outcome {
            SendOutcome::TimedOut => (status(StatusCode::GATEWAY_TIMEOUT), "timeout"),
            _ => (status(StatusCode::BAD_GATEWAY), "failed"),
        }
    }

    fn pass_on(&self, answer: BufferedResponse) -> (Response<Full<Bytes>>, &'static str) {
        let code = answer.head.status;
        let promises_not_run = matches!(code.as_u16(), 408 | 421 | 429 | 503);
        if promises_not_run && !self.may_repeat() {
            // The server ran it, or may have, but the status tells callers that it was not run.
            return (status(StatusCode::BAD_GATEWAY), "failed");
        }
        let mut res = Response::new(Full::new(answer.body));
        *res.status_mut() = code;
        *res.headers_mut() = end_to_end(&answer.head.headers);
        (res, if code.is_server_error() { "failed" } else { "answered" })
    }
}

/// An answer that promises that the request has not run.
fn refused(refusal: Refusal) -> Response<Full<Bytes>> {
    let mut res = status(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", refusal.retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        res.headers_mut().insert(header::RETRY_AFTER, value);
    }
    res
}

/// The headers that concern more than one connection. The body's length is set anew.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop = is_hop_by_hop(name.as_str()) || named.iter().any(|n| n == name.as_str());
        if !is_hop {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
