//! Connections of callers.
//!
//! A connection whose caller leaves drops the handling of its request, which cancels the work at the backend server.

use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use medlarstair_state::steering::ClientLimits;
use medlarstair_transport::http1::enable_dead_peer_detection;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::adapter::Adapter;
use crate::core::{Core, Phase};
use crate::directory;
use crate::eventlog::EventCode;
use crate::forward;

/// Pause after a connection could not be accepted, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time for which a stopping daemon accepts connections of callers that still use an older look-up. Later ones are
/// refused by the system, so that their callers turn to another daemon at once.
pub const STOP_LISTEN: Duration = Duration::from_millis(3_000);

/// Smallest buffer of a connection that the HTTP library accepts.
const BUFFER_MIN_BYTES: usize = 8 << 10;

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Requests for backend servers.
    Callers,
    /// Readiness and look-ups.
    Own,
    /// Metrics.
    Metrics,
}

/// Accepts connections until the daemon ends or, for callers, a while after the begin of a planned stop.
pub async fn serve<A: Adapter>(core: Rc<Core<A>>, listener: TcpListener, role: Role) {
    tokio::select! {
        () = accept(&core, listener, role) => {}
        () = closing_time(&core), if role == Role::Callers => {}
    }
}

async fn closing_time<A: Adapter>(core: &Core<A>) {
    core.stopping.notified().await;
    sleep(STOP_LISTEN).await;
}

async fn accept<A: Adapter>(core: &Rc<Core<A>>, listener: TcpListener, role: Role) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let core = Rc::clone(core);
                actix_rt::spawn(async move {
                    if let Err(e) = connection(&core, stream, role).await {
                        note_failure(&core, &e);
                    }
                });
            }
            Err(e) => {
                note_failure(core, &e);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn note_failure<A: Adapter>(core: &Core<A>, e: &io::Error) {
    if let Some(log) = core.events.admit(core.now(), EventCode(570)) {
        slog::debug!(log, "connection failed"; "code" => 570, "cause" => %e);
    }
}

/// Counts a connection of a caller while it is open.
struct Counted<A: Adapter>(Rc<Core<A>>);

impl<A: Adapter> Drop for Counted<A> {
    fn drop(&mut self) {
        self.0.disconnected();
    }
}

async fn connection<A: Adapter>(core: &Rc<Core<A>>, stream: TcpStream, role: Role) -> io::Result<()> {
    enable_dead_peer_detection(&stream)?;
    let _counted = (role == Role::Callers).then(|| {
        core.connected();
        Counted(Rc::clone(core))
    });
    let limits = core.steering.borrow().plan().map_or_else(ClientLimits::default, |p| p.limits);
    let service = service_fn(|req: Request<Incoming>| {
        let core = Rc::clone(core);
        async move { Ok::<_, Infallible>(answer(&core, req, role).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        // A connection that is opened during a planned stop carries one request.
        .keep_alive(core.phase() == Phase::Serving)
        .max_buf_size((2 * limits.max_head_bytes).max(BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = pin!(conn);
    loop {
        tokio::select! {
            ended = conn.as_mut() => return ended.map_err(io::Error::other),
            () = core.stopping.notified() => conn.as_mut().graceful_shutdown(),
        }
    }
}

async fn answer<A: Adapter>(core: &Rc<Core<A>>, req: Request<Incoming>, role: Role) -> Response<Full<Bytes>> {
    match role {
        Role::Callers => forward::handle(core, req).await,
        Role::Own => directory::answer(core, &req),
        Role::Metrics => match core.metrics.text() {
            Ok(text) => Response::new(Full::new(text.into())),
            Err(e) => {
                slog::error!(core.events.logger(), "metrics cannot be written"; "code" => 571, "cause" => %e);
                directory::status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
    }
}
