//! Answers to calls to the daemon's own interfaces: readiness and look-ups.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::core::Core;
use crate::dialect::{Dialect, OwnCall};
use crate::membership::LOOKUP_TTL;

/// Answers a call.
pub fn answer<D: Dialect>(core: &Core<D>, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    match core.dialect.own_call(req.method(), req.uri()) {
        OwnCall::Ready => {
            status(if core.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        OwnCall::Lookup { region, .. } => {
            let addresses = core.members.borrow().lookup(region.as_ref(), core.is_ready());
            if addresses.is_empty() {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            let mut res = Response::new(Full::new(core.dialect.lookup_answer(&addresses, LOOKUP_TTL)));
            res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            res
        }
        OwnCall::Unknown => status(StatusCode::NOT_FOUND),
    }
}

/// An answer without a body.
pub fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}
