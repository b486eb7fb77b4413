//! Heads of requests and responses: what identifies a request, what is passed on, and the refusal of a request.

use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use medlarstair_state::steering::Refusal;
use medlarstair_state::steering::affinity::ObjectId;
use medlarstair_state::steering::engine::Reason;
use medlarstair_state::steering::plan::Route;
use medlarstair_state::steering::poison::Fingerprint;
use medlarstair_transport::hop::is_hop_by_hop;
use rapidhash::v3::rapidhash_v3;

use crate::accounts;
use crate::adapter::RequestMetadata;
use crate::body::{ResponseBody, Segments};
use crate::control::empty_response;

/// Determines the object that a request concerns, by default its attempt, and the fingerprint by which requests that crash
/// servers are recognized.
pub(crate) fn object_and_fingerprint(
    route: &Route,
    head: &Parts,
    metadata: &RequestMetadata,
    body: &Segments,
) -> (ObjectId, Fingerprint) {
    let attempt = metadata.attempt_id.as_ref().map_or(&b""[..], HeaderValue::as_bytes);
    // The state that a server keeps for an object helps requests of one route only, so objects are distinguished by route.
    let object = metadata.object.unwrap_or_else(|| ObjectId::from_name(attempt)).for_route(&route.name);
    let mut text = Vec::with_capacity(256);
    text.extend_from_slice(head.method.as_str().as_bytes());
    text.extend_from_slice(route.host.as_bytes());
    text.extend_from_slice(head.uri.path_and_query().map_or("", |p| p.as_str()).as_bytes());
    if metadata.object.is_some() {
        // Otherwise the object is the attempt, which differs between copies of a request.
        text.extend_from_slice(&object.0.to_le_bytes());
    }
    (object, Fingerprint(rapidhash_v3(&text) ^ body.hash()))
}

/// Whether a status may end an exchange. Faulty servers send others, for example 000 or 999.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Creates a response that promises that the request was not run.
pub(crate) fn refusal_response(refusal: Refusal) -> Response<ResponseBody> {
    let mut res = match refusal.reason {
        Reason::Revoked => return accounts::unauthorized_response(),
        Reason::Quota => empty_response(StatusCode::TOO_MANY_REQUESTS),
        _ => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    };
    let seconds = format!("{:.3}", refusal.retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        res.headers_mut().insert(header::RETRY_AFTER, value);
    }
    res
}

/// Returns the end-to-end headers. The HTTP library sets the length of the body.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop = is_hop_by_hop(name.as_str()) || connection_options.iter().any(|n| n == name.as_str());
        if !is_hop {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
