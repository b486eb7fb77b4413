//! Receiving the body of a client's request, within the limits on its size, its memory and its progress.

use std::time::Duration;

use derive_more::{Display, Error, From};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use medlarstair_state::steering::Refusal;
use medlarstair_state::steering::clients::ConnectionId;
use medlarstair_state::steering::engine::Reason;
use medlarstair_state::steering::memory::{HolderKind, STALL_TIME};
use tokio::time::timeout;

use crate::adapter::Adapter;
use crate::body::{self, BodyError, ResponseBody, Segments};
use crate::control::empty_response;
use crate::eventlog::EventCode;
use crate::memory::Holding;
use crate::messages::refusal_response;
use crate::shared::Shared;

/// Time without a byte after which a body is given up. It is longer than [`STALL_TIME`], since memory is not short.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// `Retry-After` delay when memory is short: stalled uploads can be evicted by then.
const MEMORY_RETRY_AFTER: Duration = STALL_TIME;

/// The body of a client's request. Its memory is released on drop.
#[derive(Debug, Default)]
pub struct Upload {
    /// Bytes of the body.
    pub segments: Segments,
    _holding: Option<Holding>,
}

/// A request body was not received.
#[derive(Debug, Display, Error, From)]
enum UploadError {
    /// Error of the body.
    #[display("{_0}")]
    Body(BodyError),
    /// The body was not complete by the deadline of the request.
    #[display("deadline")]
    #[from(ignore)]
    Deadline,
}

impl UploadError {
    /// Name of the limit for metrics. `None` if no limit took effect.
    fn limit(&self) -> Option<&'static str> {
        match self {
            Self::Body(BodyError::TooLarge) => Some("body-size"),
            Self::Body(BodyError::OutOfMemory(_)) => Some("body-memory"),
            Self::Body(BodyError::Evicted) => Some("body-evicted"),
            Self::Body(BodyError::Stalled) => Some("body-stalled"),
            Self::Deadline => Some("body-deadline"),
            Self::Body(BodyError::Connection(_)) => None,
        }
    }

    /// The response to the request, which has not run.
    fn response(&self) -> Response<ResponseBody> {
        match self {
            Self::Body(BodyError::TooLarge) => empty_response(StatusCode::PAYLOAD_TOO_LARGE),
            Self::Body(BodyError::OutOfMemory(_) | BodyError::Evicted) => {
                refusal_response(Refusal { reason: Reason::Overload, retry_after: MEMORY_RETRY_AFTER })
            }
            Self::Body(BodyError::Stalled) | Self::Deadline => empty_response(StatusCode::REQUEST_TIMEOUT),
            Self::Body(BodyError::Connection(_)) => empty_response(StatusCode::BAD_REQUEST),
        }
    }
}

/// Receives the body of a request, of at most `max` bytes, within `limit`.
///
/// # Errors
///
/// The response to the client, after which its connection is closed: 413 if the body is too long, before it is read if its
/// length is declared; 503 if there is no memory for it; 408 if it makes no progress; 400 if it is invalid.
pub async fn receive<A: Adapter>(
    shared: &Shared<A>,
    head: &Parts,
    body: Incoming,
    max: usize,
    limit: Duration,
) -> Result<Upload, Response<ResponseBody>> {
    let length = body.size_hint().exact();
    let received =
        if body.is_end_stream() { Ok(Upload::default()) } else { read(shared, body, max, limit).await };
    match received {
        Ok(upload) => {
            if let Some(id) = head.extensions.get::<ConnectionId>() {
                shared.clients.record_request(*id);
            }
            Ok(upload)
        }
        Err(e) => Err(reject(shared, &e, length)),
    }
}

async fn read<A: Adapter>(
    shared: &Shared<A>,
    body: Incoming,
    max: usize,
    limit: Duration,
) -> Result<Upload, UploadError> {
    let max = max.min(shared.memory.max_body_bytes());
    let holding = shared.memory.open(HolderKind::Upload);
    let read = timeout(limit, body::read(body, max, STALL_TIMEOUT, &holding));
    let segments = read.await.map_err(|_| UploadError::Deadline)??;
    holding.set_kind(HolderKind::Complete);
    Ok(Upload { segments, _holding: Some(holding) })
}

/// Counts and logs a rejection, and creates the response.
fn reject<A: Adapter>(shared: &Shared<A>, e: &UploadError, length: Option<u64>) -> Response<ResponseBody> {
    if let Some(limit) = e.limit() {
        shared.metrics.limits.with_label_values(&[limit]).inc();
    }
    if let Some(log) = shared.events.admit(shared.now(), EventCode(580)) {
        slog::info!(log, "request body rejected"; "code" => 580, "cause" => %e, "length" => length,
            "held" => shared.memory.used());
    }
    let mut res = e.response();
    res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    res
}
