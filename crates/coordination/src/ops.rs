//! HTTP handlers for operators. Every request must carry the operator token.

use actix::Addr;
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header;
use actix_web::middleware::Next;
use actix_web::web::{self, Data};
use actix_web::{Error, HttpResponse, error, middleware};
use medlarstair_protocol::border::{
    InForceReport, KvEntry, KvList, KvWritten, LimitReport, MemberReport, OpsReport, Timeline,
};
use medlarstair_protocol::convert::{CONFIG_PREFIX, parse_value};
use medlarstair_state::config::Entry;
use medlarstair_state::id::Revision;
use medlarstair_state::membership::Liveness;
use medlarstair_state::model::{ConfigValue, DrainScope};
use medlarstair_state::node::Event;
use medlarstair_transport::backend::BackendClient;
use medlarstair_transport::kv::{HttpStore, Precondition, Store, WriteOutcome, put_with_read_back};
use serde::Deserialize;

use crate::drain::{DrainCheck, check_drain};
use crate::engine::{Engine, GetHeldEntry, GetOpsView, GetServices, GetTimeline, HandleEvent};
use crate::settings::OperatorToken;
use crate::snapshot::Snapshot;

/// Maximum size of a configuration value in bytes.
const VALUE_MAX_BYTES: usize = 1 << 20;

/// State shared by the operator handlers of one HTTP worker.
#[derive(Clone)]
pub struct OpsState {
    /// Owner of the decision logic.
    pub engine: Addr<Engine>,
    /// Latest view of the decision logic.
    pub snapshot: Snapshot,
    /// Client of the key-value service.
    pub store: HttpStore,
    /// Queries the load of backend servers for drain checks.
    pub backends: BackendClient,
    /// Bearer token that requests must carry.
    pub token: OperatorToken,
}

/// Registers the routes for operators.
pub fn configure(cfg: &mut web::ServiceConfig) {
    let scope = web::scope("/ops")
        .app_data(web::PayloadConfig::new(VALUE_MAX_BYTES))
        .wrap(middleware::from_fn(require_operator_token))
        .route("/report", web::get().to(report))
        .route("/in-force", web::get().to(in_force))
        .route("/timeline", web::get().to(timeline))
        .route("/held/{key:.+}", web::get().to(held_entry))
        .route("/stop", web::post().to(stop))
        .route("/config", web::get().to(list_config))
        .route("/config/{key:.+}", web::get().to(get_config))
        .route("/config/{key:.+}", web::put().to(put_config))
        .route("/config/{key:.+}", web::delete().to(delete_config));
    cfg.service(scope);
}

async fn require_operator_token(
    state: Data<OpsState>,
    req: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let given = req.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let token = given.and_then(|v| v.strip_prefix("Bearer "));
    if !token.is_some_and(|token| state.token.matches(token)) {
        return Err(error::ErrorUnauthorized("an operator token is needed\n"));
    }
    next.call(req).await
}

fn saturating_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

/// Reports the queues, the operation table and the limits of this daemon.
async fn report(state: Data<OpsState>) -> HttpResponse {
    let Ok(ops) = state.engine.send(GetOpsView).await else {
        return stopping_response();
    };
    let view = state.snapshot.load();
    let limit = |l: &medlarstair_state::node::LimitView| LimitReport {
        key: l.key.to_string(),
        share: l.share.0,
        usable: l.usable.0,
        in_use: l.in_use.0,
    };
    HttpResponse::Ok().json(OpsReport {
        node: view.me.node.0,
        boot: view.me.boot.0,
        leaving: view.leaving,
        waiting: saturating_u32(ops.waiting),
        running: saturating_u32(ops.requests.saturating_sub(ops.waiting)),
        operations: saturating_u32(ops.operations),
        limits: ops.limits.iter().map(limit).collect(),
    })
}

fn stopping_response() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("the daemon is stopping\n")
}

/// Reports how far the configuration of this daemon has spread to the other daemons.
async fn in_force(state: Data<OpsState>) -> HttpResponse {
    let view = state.snapshot.load();
    let members = view.members.iter().map(|m| MemberReport {
        node: m.node.0,
        domain: m.domain.to_string(),
        liveness: liveness_text(m.liveness).to_owned(),
        in_force: m.has_same_config,
    });
    HttpResponse::Ok().json(InForceReport {
        node: view.me.node.0,
        highest_revision: view.config_digest.highest.0,
        in_force: saturating_u32(view.members.iter().filter(|m| m.has_same_config).count()),
        total: saturating_u32(view.members.len()),
        members: members.collect(),
    })
}

fn liveness_text(liveness: Liveness) -> &'static str {
    match liveness {
        Liveness::Alive => "alive",
        Liveness::Suspect => "suspect",
        Liveness::Dead => "dead",
    }
}

#[derive(Debug, Deserialize)]
struct TimelineQuery {
    since_ms: Option<u64>,
}

async fn timeline(query: web::Query<TimelineQuery>, state: Data<OpsState>) -> HttpResponse {
    let since_ms = query.since_ms.unwrap_or(0);
    match state.engine.send(GetTimeline { since_ms }).await {
        Ok(events) => HttpResponse::Ok().json(Timeline { events }),
        Err(_) => stopping_response(),
    }
}

/// Begins a graceful shutdown.
async fn stop(state: Data<OpsState>) -> HttpResponse {
    state.engine.do_send(HandleEvent(Event::Stop));
    HttpResponse::Accepted().finish()
}

fn unavailable_response(e: impl std::fmt::Display) -> HttpResponse {
    HttpResponse::ServiceUnavailable().body(format!("{e}\n"))
}

fn api_entry(entry: Entry) -> KvEntry {
    KvEntry { key: entry.key.into(), revision: entry.revision.0, value: entry.value.map(Into::into) }
}

/// Returns an entry as this daemon holds it, also while the key-value service is unavailable. The `Age` header is the
/// number of whole seconds since the entry took effect here, on a clock that includes suspend time. The second step of
/// a fleet change depends on this age, and the wall clocks of two hosts cannot be compared.
async fn held_entry(key: web::Path<Box<str>>, state: Data<OpsState>) -> HttpResponse {
    match state.engine.send(GetHeldEntry(format!("{CONFIG_PREFIX}{key}").into())).await {
        Ok(Some(held)) => HttpResponse::Ok()
            .insert_header((header::AGE, held.age.as_secs().to_string()))
            .json(api_entry(held.entry)),
        Ok(None) => HttpResponse::NotFound().body("this daemon does not hold the key\n"),
        Err(_) => stopping_response(),
    }
}

/// Lists the configuration in the key-value service.
async fn list_config(state: Data<OpsState>) -> HttpResponse {
    let listing = match state.store.list(CONFIG_PREFIX).await {
        Ok(listing) => listing,
        Err(e) => return unavailable_response(e),
    };
    let entries = listing.entries.into_iter().map(api_entry).collect();
    HttpResponse::Ok().json(KvList { revision: listing.revision.0, entries })
}

/// Returns a configuration entry from the key-value service.
async fn get_config(key: web::Path<Box<str>>, state: Data<OpsState>) -> HttpResponse {
    match state.store.get(&format!("{CONFIG_PREFIX}{key}")).await {
        Ok(Some(entry)) => HttpResponse::Ok().json(api_entry(entry)),
        Ok(None) => HttpResponse::NotFound().body("there is no such key\n"),
        Err(e) => unavailable_response(e),
    }
}

#[derive(Debug, Deserialize)]
struct WriteQuery {
    /// Required revision of the key; 0 if the key must not exist.
    expect: u64,
    /// Accepts a drain without the capacity check.
    #[serde(default)]
    force: bool,
}

/// Writes a configuration value after it has been validated. A drain also needs sufficient remaining capacity, unless
/// the write is forced.
async fn put_config(
    key: web::Path<Box<str>>,
    query: web::Query<WriteQuery>,
    value: String,
    state: Data<OpsState>,
) -> HttpResponse {
    let key = format!("{CONFIG_PREFIX}{key}");
    let parsed = match parse_value(&key, &value) {
        Ok(Some(parsed)) => parsed,
        Ok(None) => return HttpResponse::BadRequest().body(format!("{key} is not a configuration key\n")),
        Err(e) => return HttpResponse::BadRequest().body(format!("{key}: {e}\n")),
    };
    if let ConfigValue::Drain(scope) = &parsed
        && !query.force
        && let Err(refused) = check_drain_headroom(&state, scope).await
    {
        return HttpResponse::Conflict().body(refused);
    }
    let expect = match query.expect {
        0 => Precondition::Absent,
        revision => Precondition::Revision(Revision(revision)),
    };
    write_response(put_with_read_back(&state.store, &key, &value, expect).await)
}

async fn check_drain_headroom(state: &OpsState, scope: &DrainScope) -> Result<(), String> {
    let Ok(services) = state.engine.send(GetServices).await else {
        return Err("the daemon is stopping\n".into());
    };
    match check_drain(&state.backends, &services, scope).await {
        DrainCheck::Fits => Ok(()),
        refused => Err(format!("{refused}\n")),
    }
}

/// Deletes a configuration key if it has the expected revision.
async fn delete_config(
    key: web::Path<Box<str>>,
    query: web::Query<WriteQuery>,
    state: Data<OpsState>,
) -> HttpResponse {
    let key = format!("{CONFIG_PREFIX}{key}");
    let expect = Revision(query.expect);
    match state.store.delete(&key, expect).await {
        WriteOutcome::Unknown => match state.store.get(&key).await {
            // The key no longer exists, so this deletion or that of another operator took effect.
            Ok(None) => HttpResponse::Ok().json(KvWritten { revision: expect.0 }),
            _ => {
                unavailable_response("the key-value service did not answer; the change may still take effect")
            }
        },
        outcome => write_response(outcome),
    }
}

fn write_response(outcome: WriteOutcome) -> HttpResponse {
    match outcome {
        WriteOutcome::Done(revision) => HttpResponse::Ok().json(KvWritten { revision: revision.0 }),
        WriteOutcome::Conflict(revision) => {
            HttpResponse::PreconditionFailed().json(KvWritten { revision: revision.0 })
        }
        WriteOutcome::Rejected => {
            HttpResponse::BadRequest().body("the key-value service does not accept the value\n")
        }
        WriteOutcome::Unknown => {
            unavailable_response("the key-value service did not answer; the change may still take effect")
        }
    }
}
