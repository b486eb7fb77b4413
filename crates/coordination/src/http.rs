//! HTTP handlers for callers: lookups, calls, status and metrics.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::http::header::{self, HeaderMap};
use actix_web::http::{StatusCode, Uri};
use actix_web::web::{self, Bytes, Data};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use medlarstair_protocol::border::LookupEntry as ApiLookupEntry;
use medlarstair_protocol::border::{LookupAnswer, Outcome as ApiOutcome, RefusalBody};
use medlarstair_protocol::headers;
use medlarstair_state::id::{Customer, Fingerprint, Rank, Service};
use medlarstair_state::model::MAX_RUN_TIME;
use medlarstair_state::node::{Idempotency, LOOKUP_TTL, LookupEntry, Outcome, Reason, Refusal};
use medlarstair_state::operation::CallerKey;
use medlarstair_transport::backend::{BackendRequest, is_end_to_end};
use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;

use crate::call::{CallRequest, CallResponse, RequestExecutor};
use crate::metrics::Metrics;
use crate::snapshot::Snapshot;

/// Maximum size of a request body in bytes. A non-repeatable request is forwarded between daemons in a single frame.
pub const BODY_MAX_BYTES: usize = 1 << 20;

/// State shared by the handlers of one HTTP worker.
#[derive(Clone)]
pub struct WorkerState {
    /// Executes the worker's requests.
    pub executor: Rc<RequestExecutor>,
    /// Source of lookup responses and of the status text.
    pub snapshot: Snapshot,
    /// Metrics of the daemon, shared by all workers.
    pub metrics: Metrics,
}

/// Registers the routes for callers.
pub fn configure(cfg: &mut web::ServiceConfig) {
    cfg.app_data(web::PayloadConfig::new(BODY_MAX_BYTES))
        .route("/v1/lookup", web::get().to(lookup))
        .route("/v1/call/{customer}/{service}", web::to(call))
        .route("/v1/call/{customer}/{service}/{path:.*}", web::to(call))
        .route("/status", web::get().to(status))
        .route("/metrics", web::get().to(metrics));
}

#[derive(Debug, Deserialize)]
struct LookupQuery {
    customer: Customer,
    service: Service,
    client: Option<IpAddr>,
}

/// Returns the entry VMs for a client, those of its region first.
async fn lookup(query: web::Query<LookupQuery>, state: Data<WorkerState>) -> HttpResponse {
    // The response is currently the same for all customers and services. The names are still validated, so that
    // callers can rely on the form of the query.
    let LookupQuery { customer: _customer, service: _service, client } = query.into_inner();
    state.metrics.on_lookup();
    let view = state.snapshot.load();
    let mut entries = view.lookup_entries.iter().collect::<Vec<_>>();
    if let Some(region) = client.and_then(|client| view.blocks.lookup(client)) {
        entries.sort_by_key(|e| e.region != *region);
    }
    let home_region = entries.first().map(|e| &e.region);
    let response = LookupAnswer {
        entries: entries.iter().map(|e| api_entry(e, Some(&e.region) == home_region)).collect(),
        ttl_ms: u32::try_from(LOOKUP_TTL.as_millis()).unwrap_or(u32::MAX),
        token_prefix: entries.first().map_or_else(String::new, |e| e.token_prefix.to_string()),
    };
    response_builder(view.leaving, StatusCode::OK).json(response)
}

fn api_entry(entry: &LookupEntry, in_home_region: bool) -> ApiLookupEntry {
    ApiLookupEntry {
        node: entry.node.0,
        address: entry.address.to_string(),
        weight: if in_home_region { 100 } else { 0 },
        token_prefix: entry.token_prefix.to_string(),
    }
}

async fn status(state: Data<WorkerState>) -> HttpResponse {
    let view = state.snapshot.load();
    response_builder(view.leaving, StatusCode::OK)
        .content_type("text/plain; charset=utf-8")
        .body(view.status.to_string())
}

async fn metrics(state: Data<WorkerState>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(state.metrics.render())
}

/// Handles a call to a service.
async fn call(req: HttpRequest, body: Bytes, state: Data<WorkerState>) -> HttpResponse {
    let leaving = state.snapshot.load().leaving;
    let call = match parse_call(&req, body) {
        Ok(call) => call,
        Err(message) => return refusal_response(leaving, MALFORMED, &message),
    };
    let executor = Rc::clone(&state.executor);
    let response = if call.idempotency == Idempotency::Repeatable {
        executor.execute(call).await
    } else {
        // Spawned, so that it completes even if the caller disconnects and a resend finds the recorded response.
        match actix_rt::spawn(async move { executor.execute(call).await }).await {
            Ok(response) => response,
            Err(_) => CallResponse::Refused(TASK_LOST),
        }
    };
    to_response(leaving, response)
}

/// Refusal of a request that cannot be parsed.
const MALFORMED: Refusal = Refusal { outcome: Outcome::NotRun, reason: Reason::Malformed, retry_after: None };

/// The task of a request ended without a response, which happens only while the process exits.
const TASK_LOST: Refusal = Refusal { outcome: Outcome::Unknown, reason: Reason::Stopping, retry_after: None };

fn parse_call(req: &HttpRequest, body: Bytes) -> Result<CallRequest, Box<str>> {
    let customer = req.match_info().query("customer").parse::<Customer>().map_err(|e| e.to_string())?;
    let service = req.match_info().query("service").parse::<Service>().map_err(|e| e.to_string())?;
    let path = backend_path(req.uri(), &customer, &service);
    let head = req.headers();
    let rank = parse_header::<Rank>(head, headers::RANK)?.unwrap_or(Rank::Standard);
    let deadline = parse_header::<u32>(head, headers::DEADLINE_MS)?;
    let deadline = deadline.map_or(MAX_RUN_TIME, |ms| Duration::from_millis(ms.into()));
    let idempotency = parse_idempotency(req, head)?;
    let resent = parse_yes_no(head, headers::RESEND)?.unwrap_or(false);
    let fingerprint = fingerprint(&customer, &service, req.method().as_str(), &path, &body);
    let request =
        BackendRequest { method: req.method().clone(), path, headers: forwardable_headers(head), body };
    Ok(CallRequest {
        customer,
        service,
        rank,
        deadline,
        idempotency,
        fingerprint,
        request,
        resent,
        forwarded: false,
        evidence: None,
    })
}

/// Path and query for the backend server: the part of the URI after the customer and the service.
fn backend_path(uri: &Uri, customer: &Customer, service: &Service) -> Box<str> {
    let prefix = format!("/v1/call/{customer}/{service}");
    let path = uri.path().strip_prefix(prefix.as_str()).unwrap_or("");
    let path = if path.starts_with('/') { path } else { "/" };
    match uri.query() {
        Some(query) => format!("{path}?{query}").into(),
        None => path.into(),
    }
}

fn header_text<'a>(head: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Box<str>> {
    let Some(value) = head.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| format!("{name}: not ASCII text").into())
}

fn parse_header<T: std::str::FromStr<Err: ToString>>(
    head: &HeaderMap,
    name: &str,
) -> Result<Option<T>, Box<str>> {
    let Some(text) = header_text(head, name)? else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|e: T::Err| format!("{name}: {}", e.to_string()).into())
}

fn parse_yes_no(head: &HeaderMap, name: &str) -> Result<Option<bool>, Box<str>> {
    match header_text(head, name)? {
        Some("yes") => Ok(Some(true)),
        Some("no") => Ok(Some(false)),
        Some(_) => Err(format!("{name}: use yes or no").into()),
        None => Ok(None),
    }
}

fn parse_idempotency(req: &HttpRequest, head: &HeaderMap) -> Result<Idempotency, Box<str>> {
    let repeatable = parse_yes_no(head, headers::REPEATABLE)?.unwrap_or(req.method().is_idempotent());
    if repeatable {
        return Ok(Idempotency::Repeatable);
    }
    if let Some(token) = parse_header(head, headers::TOKEN)? {
        return Ok(Idempotency::Token(token));
    }
    let key = parse_header::<CallerKey>(head, headers::KEY)?;
    Ok(key.map_or(Idempotency::Missing, Idempotency::Key))
}

/// Headers to forward to the backend server: end-to-end headers except those that medlarstair sets itself.
fn forwardable_headers(head: &HeaderMap) -> HeaderMap {
    let set_by_medlarstair = [headers::RANK, headers::DEADLINE_MS, headers::REQUEST_ID, headers::OUTCOME];
    let mut forwarded = HeaderMap::new();
    for (name, value) in head {
        if is_end_to_end(name) && !set_by_medlarstair.contains(&name.as_str()) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Hashes the parts of a request by which crash evidence and resends identify it.
fn fingerprint(customer: &Customer, service: &Service, method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut text = Vec::with_capacity(64 + path.len() + body.len());
    for part in [customer.as_str(), service.as_str(), method, path] {
        text.extend_from_slice(part.as_bytes());
        text.push(0);
    }
    text.extend_from_slice(body);
    Fingerprint(rapidhash_v3(&text))
}

/// Creates a response, which closes the connection if the daemon is leaving.
fn response_builder(leaving: bool, status: StatusCode) -> HttpResponseBuilder {
    let mut res = HttpResponse::build(status);
    if leaving {
        res.force_close();
    }
    res
}

fn to_response(leaving: bool, response: CallResponse) -> HttpResponse {
    match response {
        CallResponse::Backend(head, body) => {
            with_headers(response_builder(leaving, head.status), &head.headers).body(body)
        }
        CallResponse::Streaming(head, stream) => {
            with_headers(response_builder(leaving, head.status), &head.headers).streaming(stream)
        }
        // The body was not recorded, so the response would be incomplete.
        CallResponse::Recorded(answer) if answer.omitted => recorded_answer_omitted(leaving),
        CallResponse::Recorded(answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
            let mut res = response_builder(leaving, status);
            res.insert_header((headers::OUTCOME, "ran")).insert_header((headers::REASON, "recorded"));
            if !answer.content_type.is_empty() {
                res.insert_header((header::CONTENT_TYPE, &*answer.content_type));
            }
            res.body(answer.body)
        }
        CallResponse::Refused(refusal) => refusal_response(leaving, refusal, reason_message(refusal.reason)),
    }
}

fn recorded_answer_omitted(leaving: bool) -> HttpResponse {
    let reason = "answer-not-kept";
    response_builder(leaving, StatusCode::GONE)
        .insert_header((headers::OUTCOME, "ran"))
        .insert_header((headers::REASON, reason))
        .json(RefusalBody {
            outcome: ApiOutcome::Ran,
            reason: reason.to_owned(),
            message: "the operation has run; its answer was too large to keep".to_owned(),
            retry_after_ms: None,
        })
}

fn with_headers(mut res: HttpResponseBuilder, headers: &HeaderMap) -> HttpResponseBuilder {
    for (name, value) in headers {
        res.append_header((name.clone(), value.clone()));
    }
    res
}

fn refusal_response(leaving: bool, refusal: Refusal, message: &str) -> HttpResponse {
    let mut res = response_builder(leaving, refusal_status(refusal.reason));
    res.insert_header((headers::OUTCOME, refusal.outcome.to_string()));
    res.insert_header((headers::REASON, refusal.reason.to_string()));
    if let Some(wait) = refusal.retry_after {
        // The header is in whole seconds, rounded up; the body has milliseconds.
        res.insert_header((header::RETRY_AFTER, wait.as_millis().div_ceil(1_000).to_string()));
    }
    let outcome = match refusal.outcome {
        Outcome::NotRun => ApiOutcome::NotRun,
        Outcome::Unknown => ApiOutcome::Unknown,
    };
    res.json(RefusalBody {
        outcome,
        reason: refusal.reason.to_string(),
        message: message.to_owned(),
        retry_after_ms: refusal.retry_after.map(|wait| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)),
    })
}

fn refusal_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Malformed | Reason::TokenRequired | Reason::TokenConflict => StatusCode::BAD_REQUEST,
        Reason::NoContract => StatusCode::FORBIDDEN,
        Reason::NoService => StatusCode::NOT_FOUND,
        Reason::RateLimit | Reason::ClaimBudget => StatusCode::TOO_MANY_REQUESTS,
        Reason::DeadlineWhileRunning => StatusCode::GATEWAY_TIMEOUT,
        Reason::OwnerUnreachable
        | Reason::OwnerRestarted
        | Reason::TokenExpired
        | Reason::EarlierAttemptUnknown
        | Reason::ConnectionBroken => StatusCode::BAD_GATEWAY,
        Reason::Overloaded
        | Reason::DeadlineBeforeStart
        | Reason::ClaimUnavailable
        | Reason::OperationsFull
        | Reason::NotConnected
        | Reason::Shed
        | Reason::Quarantined
        | Reason::ArbiterUnreachable
        | Reason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn reason_message(reason: Reason) -> &'static str {
    match reason {
        Reason::Malformed => "the request is not valid",
        Reason::NoContract => "the customer has no contract for the service",
        Reason::NoService => "the service has no backend servers",
        Reason::RateLimit => "the rate of the contract is used up",
        Reason::Overloaded => "the request could not start in time",
        Reason::DeadlineBeforeStart => "the deadline passed before the request started",
        Reason::DeadlineWhileRunning => "the deadline passed while the request ran",
        Reason::TokenRequired => "a request that may not be repeated needs a token from a lookup or a key",
        Reason::TokenConflict => "the token was used for another request",
        Reason::ClaimUnavailable => "the key cannot be claimed because the key-value service does not answer",
        Reason::ClaimBudget => "the budget of key claims is used up; use a token from a lookup",
        Reason::OperationsFull => "the operation table is full",
        Reason::OwnerUnreachable => "the daemon that owns the operation cannot be reached",
        Reason::OwnerRestarted => "the daemon that owned the operation has restarted",
        Reason::TokenExpired => "the token is older than answers are kept",
        Reason::EarlierAttemptUnknown => "an earlier attempt of the operation has an unknown outcome",
        Reason::ConnectionBroken => "the backend server broke the connection",
        Reason::NotConnected => "no backend server could be reached",
        Reason::Shed => "the backend servers refused the request",
        Reason::Quarantined => "the request has crashed backend servers",
        Reason::ArbiterUnreachable => "the request is suspected of crashes and cannot be run safely now",
        Reason::Stopping => "this entry VM is stopping; use another one",
    }
}
