//! HTTP client for backend servers.
//!
//! A connection carries one request at a time. After a timeout, a cancellation or an error it is closed, so that a late
//! answer never reaches the next request. An answer is passed on as complete only if its length was announced and
//! reached.

use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_web::http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use awc::error::{PayloadError, SendRequestError};
use awc::{Client, ClientResponse, Connector};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use medlarstair_protocol::border::BackendHealth;
use medlarstair_protocol::headers;
use tokio::time::{Instant, Sleep, sleep_until, timeout_at};

/// Largest answer that is buffered as a whole. Larger ones are passed on while they arrive.
pub const BUFFER_MAX_BYTES: usize = 256 << 10;

/// Idle time after which a connection to a backend server is closed. Below the usual keep-alive of servers, since a
/// request on a connection that the server is closing may have an unknown outcome.
const KEEP_ALIVE: Duration = Duration::from_secs(3);

/// Time to open a connection. A backend server takes about 1 ms, a round trip between regions at most 70 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections per daemon and backend server. Slots keep the number far lower; the platform allows about 360.
const CONNECTIONS_MAX: usize = 64;

/// Time for a health request.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
];

/// Whether a header may be passed on.
pub fn is_end_to_end(name: &HeaderName) -> bool {
    !HOP_BY_HOP.contains(name) && name != header::CONTENT_LENGTH && name.as_str() != "keep-alive"
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
pub struct AnswerHead {
    /// Status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
}

/// How a call ended.
pub enum CallEnd {
    /// The whole answer.
    Answer(AnswerHead, Bytes),
    /// The beginning of an answer that is too large to buffer.
    Streaming(AnswerHead, AnswerStream),
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

/// Rest of a large answer. Ends with an error if the answer is cut or the time is up.
pub struct AnswerStream {
    first: Option<Bytes>,
    rest: ClientResponse,
    deadline: Pin<Box<Sleep>>,
}

impl Stream for AnswerStream {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(PayloadError::Incomplete(None))));
        }
        self.rest.poll_next_unpin(cx)
    }
}

/// Client for backend servers. Belongs to one thread.
#[derive(Clone)]
pub struct BackendClient {
    client: Client,
}

impl BackendClient {
    /// A client whose connections leave from `source`, if given.
    pub fn new(source: Option<IpAddr>) -> Self {
        let mut connector =
            Connector::new().timeout(CONNECT_TIMEOUT).conn_keep_alive(KEEP_ALIVE).limit(CONNECTIONS_MAX);
        if let Some(source) = source {
            connector = connector.local_address(source);
        }
        // The budget of each call limits its time.
        let client =
            Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers();
        Self { client: client.finish() }
    }

    /// Sends a request and waits for its answer for at most `budget`. Dropping the future closes the connection.
    pub async fn call(
        &self,
        address: SocketAddr,
        id: &str,
        req: &BackendRequest,
        budget: Duration,
    ) -> CallEnd {
        let deadline = Instant::now() + budget;
        let url = format!("http://{address}{}", req.path);
        let mut out = self.client.request(req.method.clone(), url).no_decompress();
        for (name, value) in &req.headers {
            out = out.append_header((name.clone(), value.clone()));
        }
        out = out.insert_header((headers::REQUEST_ID, id));
        out = out.insert_header((headers::DEADLINE_MS, budget.as_millis().to_string()));
        let sent = match timeout_at(deadline, out.send_body(req.body.clone())).await {
            Ok(Ok(res)) => res,
            Ok(Err(SendRequestError::Connect(_) | SendRequestError::Url(_))) => return CallEnd::NotConnected,
            Ok(Err(_)) => return CallEnd::Broken { head_received: false },
            Err(_) => return CallEnd::TimedOut { head_received: false },
        };
        read_answer(sent, id, deadline).await
    }

    /// Asks a backend server for its health.
    pub async fn health(&self, address: SocketAddr) -> Option<BackendHealth> {
        let url = format!("http://{address}/health");
        let mut res = self.client.get(url).timeout(HEALTH_TIMEOUT).send().await.ok()?;
        if res.status() != StatusCode::OK {
            return None;
        }
        res.json().await.ok()
    }
}

async fn read_answer(mut res: ClientResponse, id: &str, deadline: Instant) -> CallEnd {
    let echoed = res.headers().get(headers::REQUEST_ID);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != id.as_bytes()) || !has_announced_end(&res) {
        return CallEnd::Broken { head_received: true };
    }
    if res.headers().get(headers::OUTCOME).is_some_and(|o| o.as_bytes() == b"not-run") {
        return CallEnd::Shed;
    }
    let head = AnswerHead { status: res.status(), headers: end_to_end(res.headers()) };
    let mut body = BytesMut::new();
    loop {
        match timeout_at(deadline, res.next()).await {
            Ok(Some(Ok(chunk))) => body.extend_from_slice(&chunk),
            Ok(Some(Err(_))) => return CallEnd::Broken { head_received: true },
            Ok(None) => return CallEnd::Answer(head, body.freeze()),
            Err(_) => return CallEnd::TimedOut { head_received: true },
        }
        if body.len() > BUFFER_MAX_BYTES {
            let deadline = Box::pin(sleep_until(deadline));
            return CallEnd::Streaming(
                head,
                AnswerStream { first: Some(body.freeze()), rest: res, deadline },
            );
        }
    }
}

/// Without a length or chunks, a cut answer could not be told from a whole one.
fn has_announced_end(res: &ClientResponse) -> bool {
    let no_body = matches!(res.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let headers = res.headers();
    no_body || headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

fn end_to_end(all: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for (name, value) in all {
        if is_end_to_end(name) {
            kept.append(name.clone(), HeaderValue::clone(value));
        }
    }
    kept
}
