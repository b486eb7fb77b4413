//! Listeners and the connections that they accept.
//!
//! When a client disconnects, the future that handles its request is dropped, which cancels the work at the backend server.
//! The HTTP library notices the end of a connection only by reading, and reads nothing while it holds bytes of a further
//! request. The end is therefore watched for apart from it. While a response is delivered there is no work to cancel, and a
//! client that has closed its side may still read.

use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use medlarstair_state::steering::ClientLimits;
use medlarstair_transport::http1::{
    closed_by_peer, discard_unread, enable_dead_peer_detection, limit_socket_buffers, set_send_buffer,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::adapter::Adapter;
use crate::body::ResponseBody;
use crate::clients::{Client, ClientStream, CutCause};
use crate::connection_end::{self, ConnectionEnd};
use crate::control;
use crate::eventlog::EventCode;
use crate::forward;
use crate::shared::{Phase, Shared};

/// Backoff after a failure to accept a connection, for example when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Grace period of a shutdown during which connections and requests are still accepted, from clients that use a cached
/// look-up. The operating system refuses later connections, so that their clients turn to another daemon at once.
///
/// The platform allows to break off a request that was sent within 3 s after the termination signal. The difference allows
/// for a signal that is handled late.
pub const ACCEPT_GRACE_PERIOD: Duration = Duration::from_millis(2_700);

/// Size of the kernel's buffers of a client connection in bytes, for each direction. With a round trip of 6 ms, a connection
/// transfers 10 MB/s.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;

/// Size in bytes of the kernel's buffer for what is left of a response when the process exits. The kernel delivers it afterwards.
const EXIT_BUFFER_BYTES: usize = 4 << 20;

/// Smallest connection buffer in bytes that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Kind of requests that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerRole {
    /// Client requests, which are forwarded to backend servers.
    Clients,
    /// Readiness checks and look-ups of daemons.
    Control,
    /// Metrics in the Prometheus text format, at any path.
    Metrics,
}

/// Accepts connections until the daemon exits. Client connections are accepted only until [`ACCEPT_GRACE_PERIOD`] after a
/// graceful shutdown begins.
pub async fn serve<A: Adapter>(shared: Rc<Shared<A>>, listener: TcpListener, role: ListenerRole) {
    tokio::select! {
        () = accept_connections(&shared, &listener, role) => {}
        () = shared.shutdown_reaches(|shutdown| shutdown.accept_until), if role == ListenerRole::Clients => {}
    }
    if let Err(e) = close(&shared, listener, role) {
        log_connection_error(&shared, &e);
    }
}

/// Accepts connections and serves each in a task of its own.
async fn accept_connections<A: Adapter>(shared: &Rc<Shared<A>>, listener: &TcpListener, role: ListenerRole) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(shared, stream, role),
            Err(e) => {
                log_connection_error(shared, &e);
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Closes a listener. Connections that the operating system has already established are accepted first, since it would reset
/// them together with the requests that their clients have sent.
fn close<A: Adapter>(shared: &Rc<Shared<A>>, listener: TcpListener, role: ListenerRole) -> io::Result<()> {
    // The runtime does not ask for connections that were established since it last waited, so the socket is asked directly.
    let listener = listener.into_std()?;
    let mut streams = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        streams.push(stream);
    }
    drop(listener);
    for stream in streams {
        stream.set_nonblocking(true)?;
        spawn_connection(shared, TcpStream::from_std(stream)?, role);
    }
    Ok(())
}

/// Serves a connection in a task of its own. A client connection counts as open from now on. The connection is refused if
/// there are too many and none of the others can be closed.
fn spawn_connection<A: Adapter>(shared: &Rc<Shared<A>>, stream: TcpStream, role: ListenerRole) {
    // Readiness checks must be answered while requests run on all client connections.
    let clients = if role == ListenerRole::Clients { &shared.clients } else { &shared.control_clients };
    let Some(client) = clients.admit() else {
        shared.metrics.limits.with_label_values(&["connection-refused"]).inc();
        if let Some(log) = shared.events.admit(shared.now(), EventCode(582)) {
            slog::warn!(log, "connection refused"; "code" => 582, "connections" => clients.len());
        }
        return;
    };
    let client = Rc::new(client);
    let guard = (role == ListenerRole::Clients).then(|| ConnectionGuard::new(shared));
    let shared = Rc::clone(shared);
    actix_rt::spawn(async move {
        let _guard = guard;
        match serve_connection(&shared, stream, &client, role).await {
            Ok(end) if role == ListenerRole::Clients => connection_end::record(&shared, &client, end),
            Ok(_) => {}
            Err(e) => log_connection_error(&shared, &e),
        }
    });
}

fn log_connection_error<A: Adapter>(shared: &Shared<A>, e: &io::Error) {
    if let Some(log) = shared.events.admit(shared.now(), EventCode(570)) {
        slog::debug!(log, "connection failed"; "code" => 570, "cause" => %e);
    }
}

/// Counts a client connection as open until it is dropped.
struct ConnectionGuard<A: Adapter>(Rc<Shared<A>>);

impl<A: Adapter> ConnectionGuard<A> {
    fn new(shared: &Rc<Shared<A>>) -> Self {
        shared.connection_opened();
        Self(Rc::clone(shared))
    }
}

impl<A: Adapter> Drop for ConnectionGuard<A> {
    fn drop(&mut self) {
        self.0.connection_closed();
    }
}

/// Serves the requests on one connection. When a graceful shutdown begins, the connection is closed after the current
/// request.
async fn serve_connection<A: Adapter>(
    shared: &Rc<Shared<A>>,
    stream: TcpStream,
    client: &Rc<Client>,
    role: ListenerRole,
) -> io::Result<ConnectionEnd> {
    enable_dead_peer_detection(&stream)?;
    limit_socket_buffers(&stream, SOCKET_BUFFER_BYTES)?;
    let stream = Rc::new(stream);
    let limits = shared.steering.borrow().plan().map_or_else(ClientLimits::default, |p| p.limits);
    let service = service_fn(|mut req: Request<Incoming>| {
        let (shared, client) = (Rc::clone(shared), Rc::clone(client));
        req.extensions_mut().insert(client.id());
        async move {
            let mut res = if client.has_closed_its_side() {
                // Nobody waits for a request that is only begun now.
                control::empty_response(StatusCode::SERVICE_UNAVAILABLE)
            } else {
                respond(&shared, req, role).await
            };
            res.body_mut().deliver_to(&client);
            Ok::<_, Infallible>(res)
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        // The end of the client's side is handled below.
        .half_close(true)
        // A connection that is opened during a graceful shutdown serves a single request.
        .keep_alive(shared.phase() == Phase::Serving)
        .max_buf_size((2 * limits.max_head_bytes).max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(ClientStream::new(Rc::clone(&stream), Rc::clone(client))), service);
    let mut conn = pin!(conn);
    let mut is_exiting = false;
    loop {
        let is_stopping = shared.phase() == Phase::Stopping;
        tokio::select! {
            // A response that is ready is sent first.
            biased;
            ended = conn.as_mut() => return Ok(end_of(shared, client, ended)),
            cause = client.cut() => return cut(shared, &stream, cause),
            () = shared.shutdown_started.notified() => conn.as_mut().graceful_shutdown(),
            () = shared.shutdown_reaches(|shutdown| shutdown.response_deadline),
                if is_stopping && !is_exiting =>
            {
                is_exiting = true;
                if let Err(e) = set_send_buffer(&stream, EXIT_BUFFER_BYTES) {
                    log_connection_error(shared, &e);
                }
            }
            () = shared.shutdown_reaches(|shutdown| shutdown.close_at), if is_stopping => {
                discard_unread(&stream);
                return Ok(ConnectionEnd::Exit);
            }
            () = closed_by_peer(&stream), if !client.has_closed_its_side() => {
                if client.is_running() {
                    return Ok(ConnectionEnd::ClientLeft);
                }
                client.record_closed_side();
                // Nothing is done for requests behind the one whose response is delivered.
                conn.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Why the HTTP library has ended a connection.
fn end_of<A: Adapter>(shared: &Shared<A>, client: &Client, ended: hyper::Result<()>) -> ConnectionEnd {
    match ended {
        Ok(()) if client.is_linger_expired() => ConnectionEnd::NotClosedByClient,
        Ok(()) => ConnectionEnd::Finished,
        Err(e) => {
            let end = ConnectionEnd::of_error(&e);
            log_connection_error(shared, &io::Error::other(e));
            end
        }
    }
}

/// Prepares the end of a connection because of a limit.
fn cut<A: Adapter>(shared: &Shared<A>, stream: &TcpStream, cause: CutCause) -> io::Result<ConnectionEnd> {
    shared.metrics.limits.with_label_values(&[cause.name()]).inc();
    if let Some(log) = shared.events.admit(shared.now(), EventCode(583)) {
        slog::info!(log, "connection closed by a limit"; "code" => 583, "limit" => cause.name(),
            "connections" => shared.clients.len(), "held" => shared.memory.used());
    }
    match cause {
        // The kernel may still deliver the last response.
        CutCause::ConnectionLimit => discard_unread(stream),
        // The kernel would go on to send what the client does not read.
        CutCause::Memory | CutCause::SlowDelivery => stream.set_zero_linger()?,
    }
    Ok(ConnectionEnd::Limit(cause))
}

/// Handles a request according to the role of the listener.
async fn respond<A: Adapter>(
    shared: &Rc<Shared<A>>,
    req: Request<Incoming>,
    role: ListenerRole,
) -> Response<ResponseBody> {
    match role {
        ListenerRole::Clients => forward::handle(shared, req).await,
        ListenerRole::Control => control::respond(shared, &req),
        ListenerRole::Metrics => match shared.metrics.text() {
            Ok(text) => Response::new(bytes::Bytes::from(text).into()),
            Err(e) => {
                slog::error!(shared.events.logger(), "metrics cannot be written"; "code" => 571, "cause" => %e);
                control::empty_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
    }
}
