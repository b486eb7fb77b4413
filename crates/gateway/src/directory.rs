//! Answers to calls to the daemon's own interfaces: readiness and look-ups.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::adapter::{Adapter, ControlRequest};
use crate::core::Core;
use crate::membership::LOOKUP_TTL;

/// Answers a call.
pub fn answer<A: Adapter>(core: &Core<A>, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    match core.adapter.parse_control_request(req.method(), req.uri()) {
        ControlRequest::Readiness => {
            status(if core.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        ControlRequest::Lookup { region, .. } => {
            let addresses = core.members.borrow().lookup(region.as_ref(), core.is_ready());
            if addresses.is_empty() {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            let mut res =
                Response::new(Full::new(core.adapter.encode_lookup_response(&addresses, LOOKUP_TTL)));
            res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            res
        }
        ControlRequest::Unknown => status(StatusCode::NOT_FOUND),
    }
}

/// An answer without a body.
pub fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}
