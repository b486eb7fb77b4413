//! Execution of a request on an HTTP worker: asks the engine for each step and performs the I/O of that step.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix::Addr;
use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use medlarstair_protocol::stream::{ForwardedHeader, ForwardedRequest, ForwardedResponse};
use medlarstair_state::id::{Customer, Fingerprint, Rank, RequestId, Service};
use medlarstair_state::node::{
    Dispatch, Event, ForwardResult, Idempotency, IncomingRequest, Outcome, Reason, Refusal,
};
use medlarstair_state::operation::RecordedAnswer;
use medlarstair_state::quarantine::Evidence;
use medlarstair_state::routing::AttemptEnd;
use medlarstair_transport::backend::{
    BackendClient, BackendRequest, CallOutcome, ResponseHead, ResponseStream, ResponseTruncated,
};
use medlarstair_transport::kv::HttpStore;
use tokio::sync::oneshot;

use crate::claims::KeyClaims;
use crate::engine::{AdmitRequest, Engine, ForwardTo, ResumeRequest, Step};
use crate::metrics::Metrics;
use crate::peers::PeerAddress;

/// A request from a client, received directly or forwarded by another daemon.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Customer on whose behalf the request is made.
    pub customer: Customer,
    /// Service that is to run the request.
    pub service: Service,
    /// Scheduling rank, set by the client.
    pub rank: Rank,
    /// Remaining time at the receipt of the request.
    pub deadline: Duration,
    /// Whether the request may be repeated, or how repetitions are detected.
    pub idempotency: Idempotency,
    /// Hash of customer, service, method, path and body.
    pub fingerprint: Fingerprint,
    /// The HTTP request for the backend server.
    pub request: BackendRequest,
    /// Set by the client if it has sent the request before.
    pub resent: bool,
    /// Whether another daemon forwarded the request to this one as the operation's owner or arbiter.
    pub forwarded: bool,
    /// Crash evidence that came with a forwarded request; `None` if none did.
    pub evidence: Option<Evidence>,
}

/// Response to a [`CallRequest`].
pub enum CallResponse {
    /// A backend response that was read completely.
    Backend(ResponseHead, Bytes),
    /// A backend response too large to buffer; its body is forwarded while it arrives.
    Streaming(ResponseHead, TrackedStream),
    /// The recorded response of an earlier run of the operation.
    Recorded(RecordedAnswer),
    /// The request was refused; there is no backend response.
    Refused(Refusal),
}

/// Executes requests on one HTTP worker or on the stream server.
pub struct RequestExecutor {
    engine: Addr<Engine>,
    backends: BackendClient,
    claims: KeyClaims<HttpStore>,
    ids: Arc<AtomicU64>,
    metrics: Metrics,
}

impl RequestExecutor {
    /// Creates an executor. All executors of a daemon share the request counter `ids`.
    pub fn new(
        engine: Addr<Engine>,
        backends: BackendClient,
        claims: KeyClaims<HttpStore>,
        ids: Arc<AtomicU64>,
        metrics: Metrics,
    ) -> Self {
        Self { engine, backends, claims, ids, metrics }
    }

    /// Runs a request to its end and records its latency.
    pub async fn execute(&self, call: CallRequest) -> CallResponse {
        let started = Instant::now();
        let (rank, id) = (call.rank, RequestId(self.ids.fetch_add(1, Ordering::Relaxed)));
        let response = RequestExecution { executor: self, id, call, response: None, sent: false }.run().await;
        self.metrics.on_response(rank, started.elapsed().as_secs_f64());
        response
    }
}

/// A request that is being executed.
struct RequestExecution<'a> {
    executor: &'a RequestExecutor,
    id: RequestId,
    call: CallRequest,
    /// The latest response, held until the engine requests its delivery.
    response: Option<CallResponse>,
    /// Whether any byte may have been sent to a backend server or another daemon.
    sent: bool,
}

impl RequestExecution<'_> {
    /// Performs the steps that the engine requests until there is a response.
    async fn run(mut self) -> CallResponse {
        let (tx, rx) = oneshot::channel();
        self.executor.engine.do_send(AdmitRequest { req: self.incoming_request(), tx });
        let mut next = rx.await.ok();
        while let Some(step) = next {
            next = match step {
                Step::Refuse(refusal) => return CallResponse::Refused(refusal),
                Step::Replay(answer) => return CallResponse::Recorded(answer),
                Step::Deliver => return self.response.unwrap_or(CallResponse::Refused(RESPONSE_LOST)),
                Step::Claim { customer, key, issuer } => {
                    let end = self.executor.claims.claim(&customer, &key, issuer).await;
                    self.report_event(Event::ClaimEnded { request: self.id, end }).await
                }
                Step::Forward { to, budget, evidence } => self.forward(to, budget, evidence).await,
                Step::Dispatch(dispatch) => match self.attempt(dispatch).await {
                    AttemptResult::Event(event) => self.report_event(event).await,
                    AttemptResult::Streaming(response) => return response,
                },
            };
        }
        // The engine has stopped or has no next step for the request.
        let outcome = if self.sent { Outcome::Unknown } else { Outcome::NotRun };
        CallResponse::Refused(Refusal {
            outcome,
            reason: Reason::Stopping,
            retry_after: Some(Duration::ZERO),
        })
    }

    fn incoming_request(&self) -> IncomingRequest {
        IncomingRequest {
            id: self.id,
            customer: self.call.customer.clone(),
            service: self.call.service.clone(),
            rank: self.call.rank,
            deadline: self.call.deadline,
            idempotency: self.call.idempotency.clone(),
            fingerprint: self.call.fingerprint,
            body_bytes: u32::try_from(self.call.request.body.len()).unwrap_or(u32::MAX),
            resent: self.call.resent,
            forwarded: self.call.forwarded,
            evidence: self.call.evidence.clone(),
        }
    }

    /// Passes an event to the engine and waits for the next step. `None` if there is none.
    async fn report_event(&self, event: Event) -> Option<Step> {
        let (tx, rx) = oneshot::channel();
        self.executor.engine.do_send(ResumeRequest { request: self.id, event, tx: Some(tx) });
        rx.await.ok()
    }

    /// Sends the request to a backend server and returns the event for the engine, or a response to stream.
    async fn attempt(&mut self, dispatch: Dispatch) -> AttemptResult {
        let started = Instant::now();
        let id = self.id.to_string();
        let outcome =
            self.executor.backends.call(dispatch.address, &id, &self.call.request, dispatch.budget).await;
        self.sent |= !matches!(outcome, CallOutcome::NotConnected | CallOutcome::Shed);
        let latency = started.elapsed();
        match outcome {
            CallOutcome::Response(head, body) => {
                AttemptResult::Event(self.on_backend_response(head, body, latency))
            }
            CallOutcome::Streaming(head, stream) if self.call.idempotency == Idempotency::Repeatable => {
                let report =
                    CompletionReport { engine: self.executor.engine.clone(), request: self.id, started };
                AttemptResult::Streaming(CallResponse::Streaming(
                    head,
                    TrackedStream { stream, report: Some(report), bytes: 0 },
                ))
            }
            // Streamed responses are not recorded. For a non-repeatable request such a response is not forwarded,
            // since a resend would get a different response than the first call.
            CallOutcome::Streaming(..) => self.attempt_ended(AttemptEnd::Broken, true),
            CallOutcome::Shed => self.attempt_ended(AttemptEnd::Shed, true),
            CallOutcome::NotConnected => self.attempt_ended(AttemptEnd::NotConnected, false),
            CallOutcome::Broken { head_received } => self.attempt_ended(AttemptEnd::Broken, head_received),
            CallOutcome::TimedOut { head_received } => {
                self.attempt_ended(AttemptEnd::TimedOut, head_received)
            }
        }
    }

    fn attempt_ended(&self, end: AttemptEnd, head_received: bool) -> AttemptResult {
        let request = self.id;
        AttemptResult::Event(Event::AttemptEnded {
            request,
            end,
            head_received,
            response_bytes: 0,
            answer: None,
        })
    }

    fn on_backend_response(&mut self, head: ResponseHead, body: Bytes, latency: Duration) -> Event {
        let failed = head.status.is_server_error();
        let end = if failed { AttemptEnd::ServerError { latency } } else { AttemptEnd::Ran { latency } };
        let response_bytes = u32::try_from(body.len()).unwrap_or(u32::MAX);
        let answer =
            (self.call.idempotency != Idempotency::Repeatable).then(|| recorded_answer(&head, &body));
        self.response = Some(CallResponse::Backend(head, body));
        Event::AttemptEnded { request: self.id, end, head_received: true, response_bytes, answer }
    }

    /// Forwards the request to another daemon and returns the next step after its response.
    async fn forward(
        &mut self,
        to: PeerAddress,
        budget: Duration,
        evidence: Option<Evidence>,
    ) -> Option<Step> {
        self.sent = true;
        let (tx, rx) = oneshot::channel();
        let call = Box::new(self.forwarded_request(budget, evidence));
        self.executor.engine.do_send(ForwardTo { to, call, budget, tx });
        let end = match rx.await {
            Ok(response) => {
                self.response = Some(from_forwarded_response(response));
                ForwardResult::Answered
            }
            Err(_) => ForwardResult::NoAnswer,
        };
        self.report_event(Event::ForwardEnded { request: self.id, end }).await
    }

    fn forwarded_request(&self, budget: Duration, evidence: Option<Evidence>) -> ForwardedRequest {
        let call = &self.call;
        ForwardedRequest {
            customer: call.customer.clone(),
            service: call.service.clone(),
            rank: call.rank,
            deadline_ms: u32::try_from(budget.as_millis()).unwrap_or(u32::MAX),
            idempotency: call.idempotency.clone(),
            resent: call.resent,
            fingerprint: call.fingerprint,
            evidence,
            method: call.request.method.as_str().into(),
            path: call.request.path.clone(),
            headers: forwarded_headers(&call.request.headers),
            body: call.request.body.to_vec(),
        }
    }
}

/// Fallback for a response that is not available when the engine wants it delivered (unreachable), or whose stream
/// broke while it was collected for the forwarding daemon.
const RESPONSE_LOST: Refusal =
    Refusal { outcome: Outcome::Unknown, reason: Reason::ConnectionBroken, retry_after: None };

/// Result of sending a request to a backend server once.
enum AttemptResult {
    /// The attempt has ended, as the event describes.
    Event(Event),
    /// The response head has been received and the body is being streamed.
    Streaming(CallResponse),
}

fn recorded_answer(head: &ResponseHead, body: &Bytes) -> RecordedAnswer {
    let content_type = head.headers.get("content-type").and_then(|v| v.to_str().ok()).unwrap_or("");
    RecordedAnswer {
        status: head.status.as_u16(),
        content_type: content_type.into(),
        body: body.to_vec(),
        omitted: false,
    }
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<ForwardedHeader> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| ForwardedHeader {
        name: name.as_str().into(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(header).collect()
}

fn header_map(headers: &[ForwardedHeader]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&header.value)) else {
            continue;
        };
        map.append(name, value);
    }
    map
}

fn from_forwarded_response(response: ForwardedResponse) -> CallResponse {
    match response {
        ForwardedResponse::Backend { status, headers, body } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            CallResponse::Backend(ResponseHead { status, headers: header_map(&headers) }, body.into())
        }
        ForwardedResponse::Recorded(answer) => CallResponse::Recorded(answer),
        ForwardedResponse::Refused(refusal) => CallResponse::Refused(refusal),
    }
}

/// Converts a response for the daemon that forwarded the request. A streamed body is collected first.
pub async fn into_forwarded_response(response: CallResponse) -> ForwardedResponse {
    match response {
        CallResponse::Backend(head, body) => forwarded_backend_response(&head, body.to_vec()),
        CallResponse::Streaming(head, mut stream) => {
            let mut body = Vec::new();
            while let Some(chunk) = stream.next().await {
                let Ok(chunk) = chunk else {
                    return ForwardedResponse::Refused(RESPONSE_LOST);
                };
                body.extend_from_slice(&chunk);
            }
            forwarded_backend_response(&head, body)
        }
        CallResponse::Recorded(answer) => ForwardedResponse::Recorded(answer),
        CallResponse::Refused(refusal) => ForwardedResponse::Refused(refusal),
    }
}

fn forwarded_backend_response(head: &ResponseHead, body: Vec<u8>) -> ForwardedResponse {
    let headers = forwarded_headers(&head.headers);
    ForwardedResponse::Backend { status: head.status.as_u16(), headers, body }
}

/// Converts a request forwarded by another daemon. `None` if the method is not valid HTTP; headers that are not
/// valid are left out.
pub fn from_forwarded_request(call: ForwardedRequest) -> Option<CallRequest> {
    let request = BackendRequest {
        method: Method::from_bytes(call.method.as_bytes()).ok()?,
        path: call.path,
        headers: header_map(&call.headers),
        body: call.body.into(),
    };
    Some(CallRequest {
        customer: call.customer,
        service: call.service,
        rank: call.rank,
        deadline: Duration::from_millis(call.deadline_ms.into()),
        idempotency: call.idempotency,
        fingerprint: call.fingerprint,
        request,
        resent: call.resent,
        forwarded: true,
        evidence: call.evidence,
    })
}

/// Reports the end of a streamed response to the engine.
struct CompletionReport {
    engine: Addr<Engine>,
    request: RequestId,
    started: Instant,
}

impl CompletionReport {
    fn send(self, end: AttemptEnd, bytes: usize) {
        let response_bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let request = self.request;
        let event = Event::AttemptEnded { request, end, head_received: true, response_bytes, answer: None };
        self.engine.do_send(ResumeRequest { request, event, tx: None });
    }
}

/// Body of a streamed response. Reports its end to the engine, which counts the slot as in use until then.
pub struct TrackedStream {
    stream: ResponseStream,
    report: Option<CompletionReport>,
    bytes: usize,
}

impl Stream for TrackedStream {
    type Item = Result<Bytes, ResponseTruncated>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = std::task::ready!(self.stream.poll_next_unpin(cx));
        match &next {
            Some(Ok(chunk)) => self.bytes += chunk.len(),
            ended => {
                let bytes = self.bytes;
                if let Some(report) = self.report.take() {
                    let latency = report.started.elapsed();
                    let end = if ended.is_none() { AttemptEnd::Ran { latency } } else { AttemptEnd::Broken };
                    report.send(end, bytes);
                }
            }
        }
        Poll::Ready(next)
    }
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        if let Some(report) = self.report.take() {
            report.send(AttemptEnd::Cancelled, self.bytes);
        }
    }
}
