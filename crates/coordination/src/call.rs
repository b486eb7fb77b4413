//! The course of one request at a worker: it asks the engine for each step and does the I/O of that step.

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
    Dispatch, Event, ForwardEnd, Idempotency, IncomingRequest, Outcome, Reason, Refusal,
};
use medlarstair_state::operation::RecordedAnswer;
use medlarstair_state::quarantine::Evidence;
use medlarstair_state::routing::AttemptEnd;
use medlarstair_transport::backend::{
    BackendClient, BackendRequest, CallOutcome, ResponseHead, ResponseStream, ResponseTruncated,
};
use medlarstair_transport::kv::HttpStore;
use tokio::sync::oneshot;

use crate::claims::Claims;
use crate::engine::{Admit, Continue, Engine, ForwardTo, Step};
use crate::metrics::Metrics;
use crate::peers::PeerAddress;

/// A request to carry out.
#[derive(Debug, Clone)]
pub struct Call {
    /// The customer.
    pub customer: Customer,
    /// The service.
    pub service: Service,
    /// The rank.
    pub rank: Rank,
    /// Remaining time.
    pub deadline: Duration,
    /// Whether and how it may be sent again.
    pub idempotency: Idempotency,
    /// Hash of its content.
    pub fingerprint: Fingerprint,
    /// What goes to the backend server.
    pub request: BackendRequest,
    /// Whether the caller says that it has sent the request before.
    pub resent: bool,
    /// Whether another daemon sent it here as the owner or arbiter.
    pub forwarded: bool,
    /// Crash evidence that came with a forwarded request.
    pub evidence: Option<Evidence>,
}

/// Answer to a request.
pub enum Answer {
    /// The whole answer of a backend server.
    Backend(ResponseHead, Bytes),
    /// A large answer of a backend server, passed on while it arrives.
    Streaming(ResponseHead, ReportedStream),
    /// An answer recorded earlier.
    Recorded(RecordedAnswer),
    /// No answer of a backend server.
    Refused(Refusal),
}

/// What a worker needs to carry out requests.
pub struct Caller {
    engine: Addr<Engine>,
    backends: BackendClient,
    claims: Claims<HttpStore>,
    ids: Arc<AtomicU64>,
    metrics: Metrics,
}

impl Caller {
    /// A caller that takes its request numbers from `ids`, which all workers share.
    pub fn new(
        engine: Addr<Engine>,
        backends: BackendClient,
        claims: Claims<HttpStore>,
        ids: Arc<AtomicU64>,
        metrics: Metrics,
    ) -> Self {
        Self { engine, backends, claims, ids, metrics }
    }

    /// Carries out a request.
    pub async fn execute(&self, call: Call) -> Answer {
        let started = Instant::now();
        let (rank, id) = (call.rank, RequestId(self.ids.fetch_add(1, Ordering::Relaxed)));
        let answer = Course { caller: self, id, call, answer: None, sent: false }.run().await;
        self.metrics.on_answer(rank, started.elapsed().as_secs_f64());
        answer
    }
}

struct Course<'a> {
    caller: &'a Caller,
    id: RequestId,
    call: Call,
    answer: Option<Answer>,
    /// Whether a byte may have left for a backend server or another daemon.
    sent: bool,
}

impl Course<'_> {
    async fn run(mut self) -> Answer {
        let (tx, rx) = oneshot::channel();
        self.caller.engine.do_send(Admit { req: self.incoming(), tx });
        let mut next = rx.await.ok();
        while let Some(step) = next {
            next = match step {
                Step::Refuse(refusal) => return Answer::Refused(refusal),
                Step::Replay(answer) => return Answer::Recorded(answer),
                Step::Deliver => return self.answer.unwrap_or(Answer::Refused(LOST)),
                Step::Claim { customer, key, issuer } => {
                    let end = self.caller.claims.claim(&customer, &key, issuer).await;
                    self.report(Event::ClaimEnded { request: self.id, end }).await
                }
                Step::Forward { to, budget, evidence } => self.forward(to, budget, evidence).await,
                Step::Dispatch(dispatch) => match self.attempt(dispatch).await {
                    Attempted::Ended(event) => self.report(event).await,
                    Attempted::Streaming(answer) => return answer,
                },
            };
        }
        // The engine has ended, or has no way on.
        let outcome = if self.sent { Outcome::Unknown } else { Outcome::NotRun };
        Answer::Refused(Refusal { outcome, reason: Reason::Stopping, retry_after: Some(Duration::ZERO) })
    }

    fn incoming(&self) -> IncomingRequest {
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

    async fn report(&self, event: Event) -> Option<Step> {
        let (tx, rx) = oneshot::channel();
        self.caller.engine.do_send(Continue { request: self.id, event, tx: Some(tx) });
        rx.await.ok()
    }

    async fn attempt(&mut self, dispatch: Dispatch) -> Attempted {
        let started = Instant::now();
        let id = self.id.to_string();
        let end = self.caller.backends.call(dispatch.address, &id, &self.call.request, dispatch.budget).await;
        self.sent |= !matches!(end, CallOutcome::NotConnected | CallOutcome::Shed);
        let latency = started.elapsed();
        match end {
            CallOutcome::Response(head, body) => Attempted::Ended(self.on_answer(head, body, latency)),
            CallOutcome::Streaming(head, stream) if self.call.idempotency == Idempotency::Repeatable => {
                let report = Report { engine: self.caller.engine.clone(), request: self.id, started };
                Attempted::Streaming(Answer::Streaming(
                    head,
                    ReportedStream { stream, report: Some(report), bytes: 0 },
                ))
            }
            // An answer that cannot be recorded is not passed on for a request that may not be repeated: a resend
            // would get another answer than the first caller.
            CallOutcome::Streaming(..) => self.ended(AttemptEnd::Broken, true),
            CallOutcome::Shed => self.ended(AttemptEnd::Shed, true),
            CallOutcome::NotConnected => self.ended(AttemptEnd::NotConnected, false),
            CallOutcome::Broken { head_received } => self.ended(AttemptEnd::Broken, head_received),
            CallOutcome::TimedOut { head_received } => self.ended(AttemptEnd::TimedOut, head_received),
        }
    }

    fn ended(&self, end: AttemptEnd, head_received: bool) -> Attempted {
        let request = self.id;
        Attempted::Ended(Event::AttemptEnded { request, end, head_received, response_bytes: 0, answer: None })
    }

    fn on_answer(&mut self, head: ResponseHead, body: Bytes, latency: Duration) -> Event {
        let failed = head.status.is_server_error();
        let end = if failed { AttemptEnd::ServerError { latency } } else { AttemptEnd::Ran { latency } };
        let response_bytes = u32::try_from(body.len()).unwrap_or(u32::MAX);
        let answer = (self.call.idempotency != Idempotency::Repeatable).then(|| recorded(&head, &body));
        self.answer = Some(Answer::Backend(head, body));
        Event::AttemptEnded { request: self.id, end, head_received: true, response_bytes, answer }
    }

    async fn forward(
        &mut self,
        to: PeerAddress,
        budget: Duration,
        evidence: Option<Evidence>,
    ) -> Option<Step> {
        self.sent = true;
        let (tx, rx) = oneshot::channel();
        let call = Box::new(self.forwarded_call(budget, evidence));
        self.caller.engine.do_send(ForwardTo { to, call, budget, tx });
        let end = match rx.await {
            Ok(answer) => {
                self.answer = Some(from_forwarded(answer));
                ForwardEnd::Answered
            }
            Err(_) => ForwardEnd::NoAnswer,
        };
        self.report(Event::ForwardEnded { request: self.id, end }).await
    }

    fn forwarded_call(&self, budget: Duration, evidence: Option<Evidence>) -> ForwardedRequest {
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

/// The answer that the engine wants delivered is missing, which it never is.
const LOST: Refusal =
    Refusal { outcome: Outcome::Unknown, reason: Reason::ConnectionBroken, retry_after: None };

enum Attempted {
    Ended(Event),
    Streaming(Answer),
}

fn recorded(head: &ResponseHead, body: &Bytes) -> RecordedAnswer {
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

fn from_forwarded(answer: ForwardedResponse) -> Answer {
    match answer {
        ForwardedResponse::Backend { status, headers, body } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            Answer::Backend(ResponseHead { status, headers: header_map(&headers) }, body.into())
        }
        ForwardedResponse::Recorded(answer) => Answer::Recorded(answer),
        ForwardedResponse::Refused(refusal) => Answer::Refused(refusal),
    }
}

/// The answer in the form that goes back to the daemon that forwarded the request.
pub async fn to_forwarded(answer: Answer) -> ForwardedResponse {
    match answer {
        Answer::Backend(head, body) => forwarded_backend(&head, body.to_vec()),
        Answer::Streaming(head, mut stream) => {
            let mut body = Vec::new();
            while let Some(chunk) = stream.next().await {
                let Ok(chunk) = chunk else {
                    return ForwardedResponse::Refused(LOST);
                };
                body.extend_from_slice(&chunk);
            }
            forwarded_backend(&head, body)
        }
        Answer::Recorded(answer) => ForwardedResponse::Recorded(answer),
        Answer::Refused(refusal) => ForwardedResponse::Refused(refusal),
    }
}

fn forwarded_backend(head: &ResponseHead, body: Vec<u8>) -> ForwardedResponse {
    let headers = forwarded_headers(&head.headers);
    ForwardedResponse::Backend { status: head.status.as_u16(), headers, body }
}

/// A forwarded request in the form of one that arrived here. `None` if it is not valid HTTP.
pub fn from_peer(call: ForwardedRequest) -> Option<Call> {
    let request = BackendRequest {
        method: Method::from_bytes(call.method.as_bytes()).ok()?,
        path: call.path,
        headers: header_map(&call.headers),
        body: call.body.into(),
    };
    Some(Call {
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

struct Report {
    engine: Addr<Engine>,
    request: RequestId,
    started: Instant,
}

impl Report {
    fn send(self, end: AttemptEnd, bytes: usize) {
        let response_bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let request = self.request;
        let event = Event::AttemptEnded { request, end, head_received: true, response_bytes, answer: None };
        self.engine.do_send(Continue { request, event, tx: None });
    }
}

/// A large answer. Tells the engine when it has ended, so that the slot is in use until then.
pub struct ReportedStream {
    stream: ResponseStream,
    report: Option<Report>,
    bytes: usize,
}

impl Stream for ReportedStream {
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

impl Drop for ReportedStream {
    fn drop(&mut self) {
        if let Some(report) = self.report.take() {
            report.send(AttemptEnd::Cancelled, self.bytes);
        }
    }
}
