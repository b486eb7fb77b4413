//! HTTP client for backend servers.
//!
//! A connection carries one request at a time. After a timeout, a cancellation or an error it is closed, so that a late
//! answer never reaches the next request. An answer is passed on as complete only if its length was announced and
//! reached.
//!
//! The client is `hyper`: with `awc`, the test `only_whole_answers_to_the_own_request_are_passed_on` got an answer of 5 out
//! of 50 announced bytes as a whole one.

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

/// Largest answer that is buffered as a whole. Larger ones are passed on while they arrive.
pub const BUFFER_MAX_BYTES: usize = 256 << 10;

/// Idle time after which a connection to a backend server is closed. Below the usual keep-alive of servers, since a
/// request on a connection that the server is closing may have an unknown outcome.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time to open a connection. A backend server takes about 1 ms, a round trip between regions at most 70 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections per daemon and backend server. Slots keep the number far lower; the platform allows about 360.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Whether a header may be passed on.
pub fn is_end_to_end(name: &HeaderName) -> bool {
    !is_hop_by_hop(name.as_str()) && name != header::HOST
}

/// A request to a backend server.
#[derive(Debug, Clone)]
pub struct BackendRequest {
    /// Method.
    pub method: Method,
    /// Path and query, from the first slash.
    pub path: Box<str>,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Status and headers of an answer.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
}

/// How a call ended.
pub enum CallOutcome {
    /// The whole answer.
    Response(ResponseHead, Bytes),
    /// The beginning of an answer that is too large to buffer.
    Streaming(ResponseHead, ResponseStream),
    /// The backend server says that it did not run the request.
    Shed,
    /// No connection, so no byte was sent.
    NotConnected,
    /// The connection broke or the answer was not valid.
    Broken {
        /// Whether the answer had begun.
        head_received: bool,
    },
    /// The time was up.
    TimedOut {
        /// Whether the answer had begun.
        head_received: bool,
    },
}

/// The rest of a large answer did not arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the answer of the backend server was cut")]
pub struct ResponseTruncated;

/// Rest of a large answer. Ends with an error if the answer is cut or the time is up.
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

/// Client for backend servers. Copies share their connections.
#[derive(Debug, Clone)]
pub struct BackendClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl BackendClient {
    /// A client whose connections leave from `source`, if given.
    pub fn new(source: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_local_address(source);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Self { client }
    }

    /// Sends a request and waits for its answer for at most `budget`. Dropping the future closes the connection.
    pub async fn call(
        &self,
        address: SocketAddr,
        id: &str,
        req: &BackendRequest,
        budget: Duration,
    ) -> CallOutcome {
        let deadline = Instant::now() + budget;
        let Some(out) = outgoing_request(address, id, req, budget) else {
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

    /// Asks a backend server for its health. `None` without a valid answer within `limit`.
    pub async fn health(&self, address: SocketAddr, limit: Duration) -> Option<BackendHealth> {
        let out = Request::get(format!("http://{address}/health")).body(Full::default()).ok()?;
        let ask = async {
            let res = self.client.request(out).await.ok()?;
            let body = res.into_body().collect().await.ok()?;
            serde_json::from_slice(&body.to_bytes()).ok()
        };
        timeout(limit, ask).await.ok()?
    }
}

/// The request for the wire. `None` if the path is not valid, so that nothing can be sent.
fn outgoing_request(
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
    if echoed.is_some_and(|echoed| echoed.as_bytes() != id.as_bytes()) || !is_end_delimited(&res) {
        return CallOutcome::Broken { head_received: true };
    }
    if res.headers().get(headers::OUTCOME).is_some_and(|o| o.as_bytes() == b"not-run") {
        return CallOutcome::Shed;
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

/// Without a length or chunks, a cut answer could not be told from a whole one.
fn is_end_delimited(res: &Response<Incoming>) -> bool {
    let no_body = matches!(res.status().as_u16(), 204 | 304);
    let headers = res.headers();
    no_body || headers.contains_key("content-length") || headers.contains_key("transfer-encoding")
}

fn response_head(res: &Response<Incoming>) -> ResponseHead {
    let mut kept = HeaderMap::new();
    for (name, value) in res.headers() {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value.as_bytes())) else {
            continue;
        };
        if is_end_to_end(&name) {
            kept.append(name, value);
        }
    }
    let status = StatusCode::from_u16(res.status().as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    ResponseHead { status, headers: kept }
}
