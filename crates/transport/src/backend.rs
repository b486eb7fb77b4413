//! HTTP client for backend servers.
//!
//! A connection carries one request at a time and is closed after a timeout, a cancellation or an error, so that a late
//! response is never attributed to the next request. A response counts as complete only if it has a `Content-Length` or
//! chunked encoding and was received up to that end, and as a rejection only if it has the ID of the request.
//!
//! The client uses `hyper`, since `awc` reported a response with 5 of 50 announced bytes as complete; the test
//! `only_complete_matching_responses_are_forwarded` checks this.

use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_web::http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use futures_util::{Stream, StreamExt};
use http_body_util::{BodyDataStream, BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use medlarstair_protocol::border::BackendHealth;
use medlarstair_protocol::headers;
use tokio::time::{Instant, Sleep, sleep_until, timeout, timeout_at};

use crate::hop::is_hop_by_hop;

/// Maximum size in bytes of a response body that is buffered. Larger bodies are streamed.
pub const BUFFER_MAX_BYTES: usize = 256 << 10;

/// Idle timeout of pooled connections. Shorter than the usual keep-alive timeout of servers, since the
/// outcome of a request is unknown if it is sent while the server closes the connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for opening a connection. A backend server accepts within about 1 ms, and a round trip between regions takes
/// at most 70 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of idle connections per daemon and backend server. Slots keep the number far lower; the platform
/// allows about 360.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Returns whether a header may be forwarded, which hop-by-hop headers and `Host` may not.
pub fn is_end_to_end(name: &HeaderName) -> bool {
    !is_hop_by_hop(name.as_str()) && name != header::HOST
}

/// A request to a backend server.
#[derive(Debug, Clone)]
pub struct BackendRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, starting with a slash.
    pub path: Box<str>,
    /// End-to-end headers of the client's request.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Status and headers of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers of the backend server's response.
    pub headers: HeaderMap,
}

/// Outcome of a request to a backend server.
pub enum CallOutcome {
    /// A complete response.
    Response(ResponseHead, Bytes),
    /// A response whose body is larger than [`BUFFER_MAX_BYTES`] and is streamed.
    Streaming(ResponseHead, ResponseStream),
    /// The backend server reports that it did not run the request.
    Shed,
    /// No connection could be opened, or the request is invalid; nothing was sent.
    NotConnected,
    /// The connection failed, or the response was invalid, incomplete or for another request.
    Broken {
        /// Whether the response head had been received.
        head_received: bool,
    },
    /// There was no complete response before the timeout.
    TimedOut {
        /// Whether the response head had been received.
        head_received: bool,
    },
}

/// Error of a [`ResponseStream`]: the body ended early or was not complete at the deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("response of the backend server truncated")]
pub struct ResponseTruncated;

/// Body of a large response. Ends with an error if it is truncated or the deadline passes.
pub struct ResponseStream {
    first: Option<Bytes>,
    rest: BodyDataStream<Incoming>,
    deadline: Pin<Box<Sleep>>,
}

impl Stream for ResponseStream {
    type Item = Result<Bytes, ResponseTruncated>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(ResponseTruncated)));
        }
        self.rest.poll_next_unpin(cx).map_err(|_| ResponseTruncated)
    }
}

/// HTTP client for backend servers. Clones share a connection pool.
#[derive(Debug, Clone)]
pub struct BackendClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl BackendClient {
    /// Creates a client. Connections are opened from `source_ip`, if given.
    pub fn new(source_ip: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_local_address(source_ip);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Self { client }
    }

    /// Sends a request and waits for the response with the timeout `budget`, which also covers a streamed body.
    /// Dropping the future closes the connection.
    pub async fn call(
        &self,
        address: SocketAddr,
        id: &str,
        req: &BackendRequest,
        budget: Duration,
    ) -> CallOutcome {
        let deadline = Instant::now() + budget;
        let Some(out) = build_request(address, id, req, budget) else {
            return CallOutcome::NotConnected;
        };
        let res = match timeout_at(deadline, self.client.request(out)).await {
            Ok(Ok(res)) => res,
            Ok(Err(e)) if e.is_connect() => return CallOutcome::NotConnected,
            Ok(Err(_)) => return CallOutcome::Broken { head_received: false },
            Err(_) => return CallOutcome::TimedOut { head_received: false },
        };
        read_response(res, id, deadline).await
    }

    /// Queries the health of a backend server. `None` if there is no valid response within `limit`.
    pub async fn health(&self, address: SocketAddr, limit: Duration) -> Option<BackendHealth> {
        let out = Request::get(format!("http://{address}/health")).body(Full::default()).ok()?;
        let query = async {
            let res = self.client.request(out).await.ok()?;
            let body = res.into_body().collect().await.ok()?;
            serde_json::from_slice(&body.to_bytes()).ok()
        };
        timeout(limit, query).await.ok()?
    }
}

/// Builds the outgoing HTTP request. `None` if the method, path or a header is invalid.
fn build_request(
    address: SocketAddr,
    id: &str,
    req: &BackendRequest,
    budget: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut out = Request::builder().method(req.method.as_str()).uri(format!("http://{address}{}", req.path));
    for (name, value) in &req.headers {
        out = out.header(name.as_str(), value.as_bytes());
    }
    out = out.header(headers::REQUEST_ID, id).header(headers::DEADLINE_MS, budget.as_millis().to_string());
    out.body(Full::new(req.body.clone())).ok()
}

async fn read_response(res: Response<Incoming>, id: &str, deadline: Instant) -> CallOutcome {
    let echoed = res.headers().get(headers::REQUEST_ID);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != id.as_bytes()) || !truncation_is_detectable(&res) {
        return CallOutcome::Broken { head_received: true };
    }
    if res.headers().get(headers::OUTCOME).is_some_and(|o| o.as_bytes() == b"not-run") {
        // Without the ID this may repeat the rejection of an earlier request, while this one runs.
        return if echoed.is_some() {
            CallOutcome::Shed
        } else {
            CallOutcome::Broken { head_received: true }
        };
    }
    let head = response_head(&res);
    let mut rest = res.into_body().into_data_stream();
    let mut body = BytesMut::new();
    loop {
        match timeout_at(deadline, rest.next()).await {
            Ok(Some(Ok(chunk))) => body.extend_from_slice(&chunk),
            Ok(Some(Err(_))) => return CallOutcome::Broken { head_received: true },
            Ok(None) => return CallOutcome::Response(head, body.freeze()),
            Err(_) => return CallOutcome::TimedOut { head_received: true },
        }
        if body.len() > BUFFER_MAX_BYTES {
            let deadline = Box::pin(sleep_until(deadline));
            return CallOutcome::Streaming(
                head,
                ResponseStream { first: Some(body.freeze()), rest, deadline },
            );
        }
    }
}

/// Returns whether a truncated body can be detected: there is no body, or it has a length or chunked encoding.
fn truncation_is_detectable(res: &Response<Incoming>) -> bool {
    let no_body = matches!(res.status().as_u16(), 204 | 304);
    let headers = res.headers();
    no_body || headers.contains_key("content-length") || headers.contains_key("transfer-encoding")
}

fn response_head(res: &Response<Incoming>) -> ResponseHead {
    let mut forwarded = HeaderMap::new();
    for (name, value) in res.headers() {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value.as_bytes())) else {
            continue;
        };
        if is_end_to_end(&name) {
            forwarded.append(name, value);
        }
    }
    let status = StatusCode::from_u16(res.status().as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    ResponseHead { status, headers: forwarded }
}
