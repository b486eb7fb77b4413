//! HTTP/1.1 client connection.
//!
//! A [`ClientConnection`] carries one request at a time. Dropping it, or the future of an exchange, resets the connection:
//! the server learns at once that the response is no longer needed, and a late response is never attributed to the next
//! request.
//!
//! A reset, other than an orderly close, also discards what has not been delivered yet. A request that is given up during a
//! network partition would otherwise reach the server after the partition, seconds after its client was told of the failure.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::response::Parts;
use hyper::{Request, Response, header};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::server_stream::{HeadBudget, ServerStream};

/// TCP user timeout: the connection is closed when sent data stays unacknowledged for longer. A network partition has
/// no other indication. The timeout covers several retransmissions, so that single lost packets do not close a
/// connection. It also ends a connection whose peer acknowledges all data but has no room for more.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the first TCP keep-alive probe, and interval between probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which a connection is closed. Two lost packets in a row do not close it.
const KEEP_ALIVE_PROBES: u32 = 3;

/// Maximum size in bytes of a request body that a server takes into its buffers without reading it. While a larger one is sent,
/// a server that reads slowly looks like one that is unreachable.
const MAX_BUFFERED_BODY_BYTES: u64 = 16 << 10;

/// Maximum size in bytes of a response head, and of the buffer for a response. The head of a faulty server may be endless.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Buffer size in bytes for discarded data.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// Maximum number of reads that discard data. A client may send on all the time.
const MAX_DISCARDS: usize = 256;

/// Error of an HTTP exchange: no complete response was received.
#[derive(Debug, Display, Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[display("request not sent")]
    Unsent,
    /// The connection failed before the response head was received; the server may have run the request.
    #[display("no response: {source}")]
    NoAnswer {
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The response body is incomplete or longer than allowed.
    #[display("response body incomplete: {source}")]
    Cut {
        /// Error of the connection, or the exceeded limit.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

impl ExchangeError {
    /// Returns whether the response body is longer than allowed.
    ///
    /// ```
    /// use medlarstair_transport::http1::ExchangeError;
    /// assert!(!ExchangeError::Unsent.is_too_long());
    /// ```
    pub fn is_too_long(&self) -> bool {
        matches!(self, Self::Cut { source } if source.is::<LengthLimitError>())
    }
}

/// A response that was received completely.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status and headers.
    pub head: Parts,
    /// Complete body.
    pub body: Bytes,
}

/// Connection to an HTTP/1.1 server, for requests with bodies of type `B`. Must be used inside a Tokio runtime.
#[derive(Debug)]
pub struct ClientConnection<B = Full<Bytes>> {
    sender: SendRequest<B>,
    connection_task: JoinHandle<()>,
    head_budget: HeadBudget,
    stream: Arc<TcpStream>,
    /// Whether the TCP user timeout is in effect.
    has_user_timeout: bool,
    /// Whether the connection cannot be used for another request.
    closing: bool,
}

impl<B> Drop for ClientConnection<B> {
    fn drop(&mut self) {
        self.connection_task.abort();
    }
}

impl<B> ClientConnection<B>
where
    B: Body<Data: Send, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + Send + 'static,
{
    /// Opens a connection with dead peer detection.
    ///
    /// # Errors
    ///
    /// Any I/O error; [`io::ErrorKind::TimedOut`] if connecting takes longer than `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        set_user_timeout(&stream, true)?;
        // No keep-alive probes: a connection that fails by them is not reset, which leaves its data to be delivered.
        stream.set_zero_linger()?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let (stream, head_budget) = (Arc::new(stream), HeadBudget::default());
        let io = ServerStream::new(Arc::clone(&stream), head_budget.clone());
        let handshake = builder.handshake(TokioIo::new(io));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let connection_task = tokio::spawn(async move {
            // An error is also returned by the exchange that it interrupts. An idle connection may end at any time.
            let _ = connection.await;
        });
        Ok(Self { sender, connection_task, head_budget, stream, has_user_timeout: true, closing: false })
    }

    /// Returns whether another request can be sent.
    pub fn is_usable(&self) -> bool {
        !self.closing && self.sender.is_ready()
    }

    /// Sends a request and reads the complete response, whose body may have at most `body_max` bytes.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`]; the connection cannot be used afterwards.
    pub async fn exchange(
        &mut self,
        req: Request<B>,
        body_max: usize,
    ) -> Result<BufferedResponse, ExchangeError> {
        let (head, body) = self.send(req).await?.into_parts();
        let body = Limited::new(body, body_max).collect().await;
        let body = body.map_err(|source| ExchangeError::Cut { source })?.to_bytes();
        self.complete(&head);
        Ok(BufferedResponse { head, body })
    }

    /// Sends a request and reads the head of the response. The caller reads the body, and then calls
    /// [`complete`](Self::complete).
    ///
    /// # Errors
    ///
    /// [`ExchangeError`]; the connection cannot be used afterwards.
    pub async fn send(&mut self, req: Request<B>) -> Result<Response<Incoming>, ExchangeError> {
        // Cleared on completion, so it stays set if the exchange fails or its future is dropped.
        self.closing = true;
        self.tolerate_slow_reader(req.body().size_hint().lower() > MAX_BUFFERED_BODY_BYTES);
        self.head_budget.start();
        let sent = self.sender.try_send_request(req).await;
        self.head_budget.lift();
        sent.map_err(|mut e| match e.take_message() {
            Some(_) => ExchangeError::Unsent,
            None => ExchangeError::NoAnswer { source: e.into_error() },
        })
    }

    /// Turns the TCP user timeout off for a request that the server may take long to read, and on again for others.
    fn tolerate_slow_reader(&mut self, is_slow: bool) {
        if self.has_user_timeout != is_slow {
            return;
        }
        // A failure leaves the timeout as it is, which at worst ends the exchange early.
        if set_user_timeout(&self.stream, !is_slow).is_ok() {
            self.has_user_timeout = !is_slow;
        }
    }

    /// Records that the body of the response with this head has been read completely. The connection can be used again
    /// unless the server closes it.
    pub fn complete(&mut self, head: &Parts) {
        let server_closes =
            head.headers.get(header::CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        let has_framing = head.headers.contains_key(header::CONTENT_LENGTH)
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        self.closing = server_closes || !has_framing;
    }
}

/// Configures the socket of a connection that was accepted so that the kernel closes it when the peer becomes unreachable
/// while it waits for a response. Also disables Nagle's algorithm.
///
/// There is no TCP user timeout: a peer that does not read its response for some seconds is not unreachable. The caller bounds
/// the time of a delivery.
///
/// # Errors
///
/// Any error setting the socket options.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// Completes when the peer has closed or reset the connection, also while bytes that it sent before are unread.
///
/// A read returns those bytes first, so that a reader which waits with further requests never sees the end behind them.
pub async fn closed_by_peer(stream: &TcpStream) {
    // The readiness of priority data includes the end of the stream, but not unread data.
    match stream.ready(Interest::PRIORITY).await {
        Ok(ready) if !ready.is_read_closed() => std::future::pending().await,
        Ok(_) | Err(_) => {}
    }
}

/// Tells the peer that no more data follows.
///
/// # Errors
///
/// Any error of the socket, but not that the peer has reset the connection.
pub fn finish_writes(stream: &TcpStream) -> io::Result<()> {
    match SockRef::from(stream).shutdown(Shutdown::Write) {
        Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(()),
        result => result,
    }
}

/// Limits the kernel's buffers of a connection to `bytes` in each direction. By default they grow to several MB, which no
/// budget of the process counts.
///
/// # Errors
///
/// Any error setting the socket options.
pub fn limit_socket_buffers(stream: &TcpStream, bytes: usize) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_recv_buffer_size(bytes)?;
    socket.set_send_buffer_size(bytes)
}

/// Sets the size in bytes of the kernel's buffer for what is sent on a connection. The system may allow less.
///
/// # Errors
///
/// Any error setting the socket option.
pub fn set_send_buffer(stream: &TcpStream, bytes: usize) -> io::Result<()> {
    SockRef::from(stream).set_send_buffer_size(bytes)
}

/// Discards what has arrived on a connection, so that the kernel does not reset it when it is closed.
pub fn discard_unread(stream: &TcpStream) {
    let mut scratch = [0; DISCARD_BUFFER_BYTES];
    for _ in 0..MAX_DISCARDS {
        // At the end of the stream, or after an error, nothing is left.
        if !stream.try_read(&mut scratch).is_ok_and(|n| n > 0) {
            return;
        }
    }
}

/// Lets the kernel close a connection whose sent data is not acknowledged, or no longer.
fn set_user_timeout(stream: &TcpStream, is_on: bool) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(is_on.then_some(TCP_USER_TIMEOUT))
}
