//! One HTTP/1.1 connection of a client.
//!
//! A [`ClientConnection`] carries one request at a time. Dropping it, or the future of an exchange, closes the connection, so that the
//! other side notices at once that its answer is no longer wanted and a late answer never meets the next request.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::response::Parts;
use hyper::{Request, header};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time without an acknowledgement of sent bytes after which a connection is given up. A partition gives no other sign.
/// Several retransmissions fit, so that single lost packets do no harm.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(1_500);

/// Idle time before the first keep-alive probe, and between probes.
const KEEP_ALIVE_PROBE: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which a connection is given up.
const KEEP_ALIVE_PROBES: u32 = 2;

/// An exchange did not end with a whole answer.
#[derive(Debug, Display, Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[display("the request was not sent")]
    Unsent,
    /// The connection broke before an answer began.
    #[display("no answer: {source}")]
    NoAnswer {
        /// Why.
        source: hyper::Error,
    },
    /// The answer is incomplete or too long.
    #[display("the answer was cut: {source}")]
    Cut {
        /// Why.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// A whole answer.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status and headers.
    pub head: Parts,
    /// Body.
    pub body: Bytes,
}

/// A connection to an HTTP/1.1 server.
#[derive(Debug)]
pub struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    closing: bool,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl ClientConnection {
    /// Connects within `limit`.
    ///
    /// # Errors
    ///
    /// Any error of the connection, and a timeout after `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address)).await??;
        enable_dead_peer_detection(&stream)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // The error also reaches the exchange that it interrupts; an idle connection may end at any time.
            let _ = connection.await;
        });
        Ok(Self { sender, driver, closing: false })
    }

    /// Whether another request can be sent.
    pub fn is_usable(&self) -> bool {
        !self.closing && self.sender.is_ready()
    }

    /// Sends a request and reads the whole answer of at most `body_max` bytes.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`]; the connection cannot be used afterwards.
    pub async fn exchange(
        &mut self,
        req: Request<Full<Bytes>>,
        body_max: usize,
    ) -> Result<BufferedResponse, ExchangeError> {
        // Stays set if the exchange fails or its future is dropped.
        self.closing = true;
        let res = self.sender.try_send_request(req).await.map_err(|mut e| match e.take_message() {
            Some(_) => ExchangeError::Unsent,
            None => ExchangeError::NoAnswer { source: e.into_error() },
        })?;
        let (head, body) = res.into_parts();
        let body = Limited::new(body, body_max).collect().await;
        let body = body.map_err(|source| ExchangeError::Cut { source })?.to_bytes();
        let is_last =
            head.headers.get(header::CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        let has_end = head.headers.contains_key(header::CONTENT_LENGTH)
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        self.closing = is_last || !has_end;
        Ok(BufferedResponse { head, body })
    }
}

/// Makes the system notice a peer that is silent without closing the connection.
///
/// # Errors
///
/// Any error of the socket options.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_PROBE)
        .with_interval(KEEP_ALIVE_PROBE)
        .with_retries(KEEP_ALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
