//! Forwarding of a client request: choosing a backend server, sending, retrying and responding.
//!
//! A response is read completely before it is passed on, so that a corrupted one never reaches the client and an idempotent
//! request can be sent to another server instead.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use medlarstair_state::id::Backend;
use medlarstair_state::steering::accounts::Account;
use medlarstair_state::steering::engine::Reason;
use medlarstair_state::steering::memory::HolderKind;
use medlarstair_state::steering::plan::{Plan, RetrySafety, Route};
use medlarstair_state::steering::{Call, Decision, QueueTicket, Refusal, SelectedBackend, SendOutcome};
use medlarstair_state::time::Timestamp;
use medlarstair_transport::http1::ExchangeError;
use tokio::time::timeout;

use crate::accounts;
use crate::adapter::{Adapter, PauseRequest, RequestMetadata, ResponseMetadata};
use crate::body::{self, BodyError, RequestBody, ResponseBody, Segments};
use crate::control::empty_response;
use crate::eventlog::EventCode;
use crate::messages::{end_to_end_headers, is_final_status, object_and_fingerprint, refusal_response};
use crate::notices;
use crate::pool::ServerConnection;
use crate::quota::{self, QuotaUnit, SentUnit};
use crate::send::{HeldResponse, QueueGuard, SendGuard, SendResult};
use crate::shared::{Shared, Shutdown};
use crate::upload::{self, Upload};

/// Timeout for opening a connection to a backend server. It allows two round trips between the most distant regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a response body in bytes. A larger response is treated as invalid.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Time without a byte of a response body after which the server counts as silent.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time for receiving a body, whatever deadline the client gives. A body of 64 MiB takes 54 s on a link of 10 Mbit/s.
const MAX_UPLOAD_TIME: Duration = Duration::from_secs(120);

/// `Retry-After` delay of a refusal for which the steering logic gives no delay, for example while no configuration is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Refusal by a daemon that is stopping. The client can use another daemon at once.
const STOPPING: Refusal = Refusal { reason: Reason::Stopping, retry_after: Duration::from_millis(20) };

/// Response to a client, whose body is complete.
pub type ClientResponse = Response<ResponseBody>;

/// A client request that is being forwarded.
struct Forward<'a, A: Adapter> {
    shared: &'a Rc<Shared<A>>,
    head: &'a Parts,
    metadata: RequestMetadata,
    body: Upload,
    call: Call,
    /// Account of the client, with the unit that the request took from its quota. `None` if no accounts are configured, or on
    /// a public route.
    account: Option<QuotaUnit<A>>,
    /// Whether accounts are configured, so that servers must not get the client's own account headers.
    sets_account_headers: bool,
    /// Whether a server may have run the request, so that the client must not be told that it was not run.
    may_have_run: bool,
}

/// Forwards a client request and returns the response to the client.
pub async fn handle<A: Adapter>(shared: &Rc<Shared<A>>, req: Request<Incoming>) -> Response<ResponseBody> {
    let arrived = shared.now();
    let (head, body) = req.into_parts();
    let Some(plan) = shared.steering.borrow().plan().cloned() else {
        return refusal_response(Refusal { reason: Reason::NoPlan, retry_after: DEFAULT_RETRY_AFTER });
    };
    let Some(route) = find_route(&plan, &head) else {
        if let Some(log) = shared.events.admit(arrived, EventCode(540)) {
            slog::info!(log, "no route matches request"; "code" => 540, "path" => head.uri.path(),
                "version" => plan.version.0);
        }
        return empty_response(StatusCode::NOT_FOUND);
    };
    let Admitted { account, route } = match admit(shared, &plan, route, &head) {
        Ok(admitted) => admitted,
        Err(res) => return *res,
    };
    let metadata = shared.adapter.parse_request(&head.headers);
    let deadlines = metadata.timeout.into_iter().chain(route.timeout);
    let time_for_body = deadlines.fold(MAX_UPLOAD_TIME, Duration::min);
    let received = upload::receive(shared, &head, body, plan.limits.max_body_bytes, time_for_body).await;
    let body = match received {
        Ok(body) => body,
        Err(rejection) => return rejection,
    };
    let (object, fingerprint) = object_and_fingerprint(&route, &head, &metadata, &body.segments);
    let started =
        shared.steering.borrow_mut().start_request(arrived, &route, object, fingerprint, metadata.timeout);
    let Some(mut call) = started else {
        return refusal_response(Refusal { reason: Reason::NoServer, retry_after: DEFAULT_RETRY_AFTER });
    };
    if let Some(shutdown) = shared.shutdown() {
        // With the earlier deadline, a request that cannot be completed before the process exits is refused before it is
        // sent.
        call.deadline = call.deadline.min(shutdown.response_deadline);
    }
    let mut forward = Forward {
        shared,
        head: &head,
        metadata,
        body,
        call,
        account,
        sets_account_headers: plan.accounts().is_configured(),
        may_have_run: false,
    };
    let (mut res, outcome) = forward.run().await;
    if let Some(timeout) = forward.metadata.timeout {
        res.body_mut().set_deadline(arrived + timeout);
    }
    let took = shared.now().since(arrived);
    forward.log_end(res.status(), outcome, took);
    shared.metrics.requests.with_label_values(&[&*route.name, outcome]).inc();
    shared.metrics.latency.with_label_values(&[&*route.name]).observe(took.as_secs_f64());
    res
}

/// A request whose account may use its route.
struct Admitted<A: Adapter> {
    /// Account of the client, with the unit that the request took from its quota. `None` if no accounts are configured, or on
    /// a public route.
    account: Option<QuotaUnit<A>>,
    /// The route as it applies to the account.
    route: Rc<Route>,
}

/// Authenticates a request and checks the quota of its account before its body is read.
///
/// # Errors
///
/// The response to a request that is rejected.
fn admit<A: Adapter>(
    shared: &Rc<Shared<A>>,
    plan: &Plan,
    route: Rc<Route>,
    head: &Parts,
) -> Result<Admitted<A>, Box<ClientResponse>> {
    let attempt = || shared.adapter.parse_request(&head.headers).attempt_id;
    let reject = |account: Option<&Account>, reason: &str| {
        accounts::record_rejection(shared, &route, account, reason, attempt_text(attempt().as_ref()));
    };
    let account = match accounts::authenticate(&shared.adapter, plan, &route, &head.headers) {
        Ok(Some(account)) => account,
        Ok(None) => return Ok(Admitted { account: None, route }),
        Err(fault) => {
            reject(None, &fault.to_string());
            return Err(Box::new(accounts::unauthorized_response()));
        }
    };
    let Some(own_route) = route.for_account(&account) else {
        let reason = Reason::NoRegion;
        reject(Some(&account), &reason.to_string());
        return Err(Box::new(refusal_response(Refusal { reason, retry_after: DEFAULT_RETRY_AFTER })));
    };
    match QuotaUnit::take(shared, &account) {
        Ok(unit) => Ok(Admitted { account: Some(unit), route: Rc::new(own_route) }),
        Err(exceeded) => {
            quota::record_exceeded(shared, &route, &account, exceeded, attempt_text(attempt().as_ref()));
            let refusal = Refusal { reason: Reason::Quota, retry_after: exceeded.retry_after };
            Err(Box::new(refusal_response(refusal)))
        }
    }
}

/// Identity of a client's attempt for the log; `-` if there is none.
fn attempt_text(attempt: Option<&HeaderValue>) -> &str {
    attempt.and_then(|v| v.to_str().ok()).unwrap_or("-")
}

/// Returns the route of a request by its `Host` header and path. `None` if there is no matching route.
fn find_route(plan: &Plan, head: &Parts) -> Option<Rc<Route>> {
    let host = head.headers.get(header::HOST).and_then(|v| v.to_str().ok())?;
    let host = host.split(':').next()?;
    plan.route(host, head.uri.path()).cloned().map(Rc::new)
}

impl<A: Adapter> Forward<'_, A> {
    /// Sends the request until it has a response or may not be retried. Returns the response to the client and the outcome
    /// for log and metrics.
    async fn run(&mut self) -> (Response<ResponseBody>, &'static str) {
        let mut failed_response: Option<Box<HeldResponse>> = None;
        loop {
            let (choice, unit) = match self.select_backend().await {
                Ok(selected) => selected,
                Err(refusal) => return self.respond_unsent(refusal, failed_response),
            };
            let sent = self.send(&choice).await;
            if let Some(unit) = unit.filter(|_| sent.is_certainly_not_run()) {
                unit.refund();
            }
            self.call.tried_backends.push(choice.backend.clone());
            match sent {
                SendResult::Response(_, metadata) if metadata.misdirected || metadata.not_run => {}
                SendResult::Response(response, _) => {
                    let is_failure = response.head.status.is_server_error();
                    if !is_failure || !self.may_retry() {
                        return self.pass_on_response(*response);
                    }
                    self.may_have_run = true;
                    failed_response = Some(response);
                }
                SendResult::NotRun(_) => {}
                SendResult::Unknown(outcome) => {
                    self.may_have_run = true;
                    // After a lack of memory, another response would not fit either.
                    let is_final = matches!(outcome, SendOutcome::TimedOut | SendOutcome::Cancelled);
                    if !self.may_retry() || is_final {
                        return self.respond_unknown(outcome);
                    }
                }
            }
        }
    }

    /// Whether the request may be sent again although a server may have run it.
    fn may_retry(&self) -> bool {
        self.call.route.retry_safety == RetrySafety::Idempotent
    }

    /// Selects the backend server for the next send, waiting in the queue if necessary.
    async fn select_backend(&self) -> Result<(SelectedBackend, Option<SentUnit<'_, A>>), Refusal> {
        let shared = &**self.shared;
        if self.is_too_late_to_send() {
            return Err(STOPPING);
        }
        let decision = shared.steering.borrow_mut().decide(shared.now(), &self.call);
        let decision = match decision {
            Decision::Wait(ticket) => self.wait_in_queue(ticket).await,
            decision => decision,
        };
        match decision {
            Decision::Send(choice) => match self.authorize_send(&choice) {
                Ok(unit) => Ok((choice, unit)),
                Err(refusal) => Err(refusal),
            },
            Decision::Refuse(refusal) => Err(refusal),
            Decision::Wait(_) => Err(Refusal { reason: Reason::Overload, retry_after: DEFAULT_RETRY_AFTER }),
        }
    }

    /// Whether a graceful shutdown no longer allows to send the request.
    fn is_too_late_to_send(&self) -> bool {
        let now = self.shared.now();
        let is_late = |s: Shutdown| self.call.arrived_at >= s.accept_until || now >= s.send_until;
        self.shared.shutdown().is_some_and(is_late)
    }

    /// Checks that the request may still be sent, and counts the send against the quota of its account. If it may not, the send
    /// is reported as cancelled.
    fn authorize_send(&self, choice: &SelectedBackend) -> Result<Option<SentUnit<'_, A>>, Refusal> {
        let shared = &**self.shared;
        let authorized = match &self.account {
            // The wait in the queue may have lasted until then.
            _ if self.is_too_late_to_send() => Err(STOPPING),
            Some(unit) => self.check_account(unit).map(Some),
            None => Ok(None),
        };
        let refusal = match authorized {
            Ok(sent) => return Ok(sent),
            Err(refusal) => refusal,
        };
        let now = shared.now();
        shared.steering.borrow_mut().record_outcome(now, &self.call, choice, SendOutcome::Cancelled);
        shared.deliver_decisions();
        Err(refusal)
    }

    fn check_account<'u>(&self, unit: &'u QuotaUnit<A>) -> Result<SentUnit<'u, A>, Refusal> {
        let (shared, account, route) = (&**self.shared, unit.account(), &self.call.route);
        if let Err(reason) = accounts::check_still_valid(shared, account, &self.head.headers) {
            accounts::record_rejection(shared, route, Some(account), &reason.to_string(), self.request_id());
            return Err(Refusal { reason, retry_after: DEFAULT_RETRY_AFTER });
        }
        unit.send().map_err(|exceeded| {
            quota::record_exceeded(shared, route, account, exceeded, self.request_id());
            Refusal { reason: Reason::Quota, retry_after: exceeded.retry_after }
        })
    }

    /// Waits until the queued request can be sent or is refused. Returns [`Decision::Wait`] if there is no decision at the end
    /// of its time in the queue, and a refusal when a graceful shutdown no longer allows to send it.
    async fn wait_in_queue(&self, ticket: QueueTicket) -> Decision {
        let shared = &**self.shared;
        let mut guard = QueueGuard { shared, call: &self.call, ticket, rx: shared.add_waiter(ticket) };
        let hold_until = shared.steering.borrow().hold_until(&self.call.service, ticket);
        let hold = hold_until.unwrap_or(self.call.deadline).since(shared.now());
        let decided = tokio::select! {
            decided = timeout(hold, &mut guard.rx) => decided,
            () = shared.shutdown_reaches(|shutdown| shutdown.send_until) => return Decision::Refuse(STOPPING),
        };
        if let Ok(Ok(decision)) = decided {
            return decision;
        }
        // The request has been held for as long as it may be, so that this decides about it.
        shared.deliver_decisions();
        guard.rx.try_recv().unwrap_or(Decision::Wait(ticket))
    }

    /// Sends the request once and reports the outcome to the steering logic.
    async fn send(&self, choice: &SelectedBackend) -> SendResult {
        let shared = &**self.shared;
        let started = shared.now();
        let mut guard = SendGuard { shared, call: &self.call, choice, outcome: SendOutcome::Cancelled };
        let sent = self.exchange(choice).await;
        let now = shared.now();
        guard.outcome = self.send_outcome(&sent, now.since(started));
        if let SendResult::Response(_, ResponseMetadata { load: Some(load), .. }) = &sent {
            // The reported load still counts the request to which this is the response.
            shared.steering.borrow_mut().record_load(now, &choice.backend, *load);
        }
        self.log_send(choice, &guard.outcome, started, now);
        // Before the guard is dropped, which may send a queued request to the server.
        if let SendResult::Response(_, metadata) = &sent {
            notices::record(shared, &choice.backend, metadata, self.request_id());
        }
        sent
    }

    fn send_outcome(&self, sent: &SendResult, took: Duration) -> SendOutcome {
        match sent {
            SendResult::Response(_, metadata) if metadata.misdirected => SendOutcome::Misdirected,
            SendResult::Response(_, metadata) if metadata.not_run => match metadata.pause {
                Some(PauseRequest::For(_)) => SendOutcome::Paused,
                Some(PauseRequest::Invalid) | None => SendOutcome::Shed,
            },
            SendResult::Response(response, _) => {
                SendOutcome::Answered { ok: !response.head.status.is_server_error(), took }
            }
            SendResult::NotRun(outcome) | SendResult::Unknown(outcome) => *outcome,
        }
    }

    /// Counts the end of a send. Logs it if it failed or the request is sampled.
    fn log_send(&self, choice: &SelectedBackend, outcome: &SendOutcome, started: Timestamp, now: Timestamp) {
        let shared = self.shared;
        let (label, is_fault) = match outcome {
            SendOutcome::Answered { ok: true, .. } => ("ok", false),
            SendOutcome::Answered { ok: false, .. } => ("failed", true),
            SendOutcome::Shed => ("shed", true),
            SendOutcome::Paused => ("paused", true),
            SendOutcome::Misdirected => ("misdirected", true),
            SendOutcome::NotConnected => ("not-connected", true),
            SendOutcome::ConnectionLost => ("broken", true),
            SendOutcome::InvalidResponse => ("garbled", true),
            SendOutcome::TimedOut => ("silent", true),
            SendOutcome::Cancelled => ("cancelled", false),
        };
        shared.metrics.sends.with_label_values(&[self.call.service.as_str(), label]).inc();
        if !is_fault && !shared.events.is_sampled(self.request_id().as_bytes()) {
            return;
        }
        if let Some(log) = shared.events.admit(now, EventCode(541)) {
            slog::info!(log, "send ended"; "code" => 541, "request" => self.request_id(),
                "route" => &*self.call.route.name, "service" => %self.call.service,
                "backend" => %choice.backend, "outcome" => label, "object" => %self.call.object,
                "warm" => choice.warm, "expected_ms" => choice.expected_latency.as_millis(),
                "occupancy" => choice.occupancy, "took_ms" => now.since(started).as_millis(),
                "after_ms" => now.since(self.call.arrived_at).as_millis());
        }
    }

    /// Logs the end of a request if it failed, missed its latency objective or is sampled.
    fn log_end(&self, code: StatusCode, outcome: &str, took: Duration) {
        let route = &self.call.route;
        let is_late = took > route.latency_objective;
        let is_sampled = self.shared.events.is_sampled(self.request_id().as_bytes());
        if outcome == "answered" && !is_late && !is_sampled {
            return;
        }
        if let Some(log) = self.shared.events.admit(self.shared.now(), EventCode(543)) {
            slog::info!(log, "request ended"; "code" => 543, "request" => self.request_id(),
                "route" => &*route.name, "service" => %self.call.service, "outcome" => outcome,
                "status" => code.as_u16(), "late" => is_late, "took_ms" => took.as_millis(),
                "objective_ms" => route.latency_objective.as_millis(),
                "sends" => self.call.tried_backends.len(),
                "returning" => self.call.previously_refused);
        }
    }

    /// Identity of the client's attempt for the log; `-` if there is none.
    fn request_id(&self) -> &str {
        attempt_text(self.metadata.attempt_id.as_ref())
    }

    /// Sends the request over an idle connection or, if there is none or it has been closed, over a new one.
    async fn exchange(&self, choice: &SelectedBackend) -> SendResult {
        let shared = &**self.shared;
        let mut pooled = shared.pool.borrow_mut().take(shared.now(), &choice.backend);
        loop {
            let is_reused = pooled.is_some();
            let connection = match pooled.take() {
                Some(connection) => connection,
                None => match self.connect(choice).await {
                    Some(connection) => connection,
                    None => return SendResult::NotRun(SendOutcome::NotConnected),
                },
            };
            match self.exchange_on(connection, choice).await {
                // The server closed the idle connection before the request was written, so another connection is tried.
                SendResult::NotRun(_) if is_reused => {}
                sent => return sent,
            }
        }
    }

    /// Opens a connection to a backend server. `None` if it fails or times out.
    async fn connect(&self, choice: &SelectedBackend) -> Option<ServerConnection> {
        let shared = &**self.shared;
        let limit = CONNECT_TIMEOUT.min(self.call.deadline.since(shared.now()));
        shared.metrics.connections.with_label_values(&[self.call.service.as_str()]).inc();
        ServerConnection::open(choice.address, limit).await.ok()
    }

    /// Sends the request over a connection and interprets the response. The connection is returned to the pool unless the
    /// response is invalid.
    async fn exchange_on(&self, mut connection: ServerConnection, choice: &SelectedBackend) -> SendResult {
        let shared = &**self.shared;
        let left = self.call.deadline.since(shared.now());
        let Some(req) = self.backend_request(&choice.backend, left) else {
            return SendResult::NotRun(SendOutcome::NotConnected);
        };
        let response = match timeout(left, self.receive_response(&mut connection, req, choice)).await {
            Ok(Ok(response)) => response,
            Ok(Err(failed)) => return failed,
            Err(_) => return SendResult::Unknown(SendOutcome::TimedOut),
        };
        let metadata = shared.adapter.parse_response(response.head.status, &response.head.headers);
        // A rejection counts as one only for this request: a server may repeat that of an earlier request while it runs
        // this one.
        if metadata.attempt_id != self.metadata.attempt_id {
            return SendResult::Unknown(SendOutcome::InvalidResponse);
        }
        shared.pool.borrow_mut().put(shared.now(), &choice.backend, connection, &response.head.headers);
        SendResult::Response(Box::new(response), metadata)
    }

    /// Sends the request over a connection and receives the complete response. Returns the result of the send if there is
    /// no valid one.
    async fn receive_response(
        &self,
        connection: &mut ServerConnection,
        req: Request<RequestBody>,
        choice: &SelectedBackend,
    ) -> Result<HeldResponse, SendResult> {
        let (head, body) = match connection.send(req).await {
            Ok(res) => res.into_parts(),
            Err(ExchangeError::Unsent) => return Err(SendResult::NotRun(SendOutcome::NotConnected)),
            Err(_) => return Err(SendResult::Unknown(SendOutcome::ConnectionLost)),
        };
        if !is_final_status(head.status) {
            self.log_cut_response(choice, "status", &head.status);
            return Err(SendResult::Unknown(SendOutcome::InvalidResponse));
        }
        let (body, holding) = if body.is_end_stream() {
            (Segments::default(), None)
        } else {
            let holding = self.shared.memory.open(HolderKind::ServerResponse);
            let body = body::read(body, MAX_RESPONSE_BYTES, RESPONSE_STALL_TIMEOUT, &holding).await;
            let body = body.map_err(|e| self.cut_response(choice, &e))?;
            // It may wait for the end of a retry, and cannot be released before.
            holding.set_kind(HolderKind::Complete);
            (body, Some(holding))
        };
        connection.complete(&head);
        Ok(HeldResponse { head, body, holding })
    }

    /// Result of a send whose response body was not received completely.
    fn cut_response(&self, choice: &SelectedBackend, e: &BodyError) -> SendResult {
        let (limit, outcome) = match e {
            BodyError::TooLarge => ("response-size", SendOutcome::InvalidResponse),
            BodyError::Stalled => ("response-stalled", SendOutcome::TimedOut),
            // Not the fault of the server.
            BodyError::OutOfMemory(_) | BodyError::Evicted => ("response-memory", SendOutcome::Cancelled),
            BodyError::Connection(_) => return SendResult::Unknown(SendOutcome::InvalidResponse),
        };
        self.log_cut_response(choice, limit, e);
        SendResult::Unknown(outcome)
    }

    /// Counts and logs a response that a limit cut off.
    fn log_cut_response(&self, choice: &SelectedBackend, limit: &str, cause: &impl std::fmt::Display) {
        let shared = self.shared;
        shared.metrics.limits.with_label_values(&[limit]).inc();
        if let Some(log) = shared.events.admit(shared.now(), EventCode(581)) {
            slog::warn!(log, "response of backend server cut off"; "code" => 581,
                "request" => self.request_id(), "backend" => %choice.backend, "limit" => limit, "cause" => %cause,
                "held" => shared.memory.used());
        }
    }

    /// Creates the request to a backend server. Returns `None` if the client's URI has no valid path.
    fn backend_request(&self, backend: &Backend, left: Duration) -> Option<Request<RequestBody>> {
        let mut req = Request::new(RequestBody::from(self.body.segments.clone()));
        *req.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query()?;
        *req.uri_mut() = path.as_str().parse().ok()?;
        *req.headers_mut() = end_to_end_headers(&self.head.headers);
        self.shared.adapter.set_backend_headers(req.headers_mut(), backend, left);
        if self.sets_account_headers {
            let name = self.account.as_ref().map(|unit| &unit.account().name);
            self.shared.adapter.set_account_headers(req.headers_mut(), name);
        }
        Some(req)
    }

    /// Creates the response to a request that is not sent, or not sent again. If a server responded with an error before,
    /// that response is passed on.
    fn respond_unsent(
        &self,
        refusal: Refusal,
        failed_response: Option<Box<HeldResponse>>,
    ) -> (Response<ResponseBody>, &'static str) {
        if let Some(response) = failed_response {
            return self.pass_on_response(*response);
        }
        if self.may_have_run {
            return (empty_response(StatusCode::BAD_GATEWAY), "failed");
        }
        if let Some(log) = self.shared.events.admit(self.shared.now(), EventCode(542)) {
            slog::info!(log, "request refused"; "code" => 542, "request" => self.request_id(),
                "route" => &*self.call.route.name, "reason" => %refusal.reason,
                "sends" => self.call.tried_backends.len(), "returning" => self.call.previously_refused,
                "retry_after_ms" => refusal.retry_after.as_millis());
        }
        (refusal_response(refusal), "refused")
    }

    /// Creates the response to a request that may have run but has no valid response.
    fn respond_unknown(&self, outcome: SendOutcome) -> (Response<ResponseBody>, &'static str) {
        match outcome {
            SendOutcome::TimedOut => (empty_response(StatusCode::GATEWAY_TIMEOUT), "timeout"),
            _ => (empty_response(StatusCode::BAD_GATEWAY), "failed"),
        }
    }

    /// Creates the response to the client from that of a backend server, and returns it with the outcome for log and
    /// metrics.
    fn pass_on_response(&self, response: HeldResponse) -> (Response<ResponseBody>, &'static str) {
        let code = response.head.status;
        let promises_not_run = matches!(code.as_u16(), 408 | 421 | 429 | 503);
        if promises_not_run && !self.may_retry() {
            // The server may have run the request, but clients take this status as a promise that it was not run.
            return (empty_response(StatusCode::BAD_GATEWAY), "failed");
        }
        let mut res = Response::new(ResponseBody::new(response.body, response.holding));
        *res.status_mut() = code;
        *res.headers_mut() = end_to_end_headers(&response.head.headers);
        (res, if code.is_server_error() { "failed" } else { "answered" })
    }
}
