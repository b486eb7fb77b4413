//! Responses to requests to the daemon itself: readiness checks and look-ups of daemons.

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::adapter::{Adapter, ControlRequest};
use crate::body::ResponseBody;
use crate::membership::LOOKUP_TTL;
use crate::shared::Shared;

/// Responds to a readiness check or a look-up; any other request gets 404. Without a usable daemon, a look-up gets 503.
pub fn respond<A: Adapter>(shared: &Shared<A>, req: &Request<Incoming>) -> Response<ResponseBody> {
    match shared.adapter.parse_control_request(req.method(), req.uri()) {
        ControlRequest::Readiness => {
            empty_response(if shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        ControlRequest::Lookup { region, .. } => {
            let addresses = shared.members.borrow().lookup(region.as_ref(), shared.is_ready());
            if addresses.is_empty() {
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
            let mut res = Response::new(shared.adapter.encode_lookup_response(&addresses, LOOKUP_TTL).into());
            res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            res
        }
        ControlRequest::Unknown => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Creates a response without a body.
pub fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut res = Response::new(ResponseBody::default());
    *res.status_mut() = status;
    res
}
