//! Server for the requests of other daemons over TCP.

use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use medlarstair_protocol::stream::{ForwardedResponse, StreamRequest, StreamResponse};
use medlarstair_state::id::Incarnation;
use medlarstair_state::node::{Outcome, Reason, Refusal};
use medlarstair_transport::stream::{FramedConnection, receive, send, with_framing};
use tokio::net::{TcpListener, TcpStream};

use crate::call::{RequestExecutor, from_forwarded_request, into_forwarded_response};
use crate::engine::{Engine, GetMissingEntries, ReceiveHandover};
use crate::peers::PeerTransport;

/// Idle timeout of a connection: time in which the other daemon must send its next request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of concurrent connections. Bounds the memory that unauthenticated connections can use.
const MAX_CONNECTIONS: usize = 512;

/// Serves the requests of other daemons.
pub struct StreamServer {
    transport: Rc<PeerTransport>,
    engine: Addr<Engine>,
    executor: RequestExecutor,
}

impl StreamServer {
    /// Creates a server that executes forwarded requests with `executor` and passes all others to `engine`.
    pub fn new(transport: Rc<PeerTransport>, engine: Addr<Engine>, executor: RequestExecutor) -> Rc<Self> {
        Rc::new(Self { transport, engine, executor })
    }

    /// Accepts connections until the process ends.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = std::sync::Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = listener.accept().await else {
                // Usually the process is out of file descriptors; retrying immediately would busy-loop.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let server = Rc::clone(&self);
            actix_rt::spawn(async move {
                server.serve_connection(stream).await;
                drop(permit);
            });
        }
    }

    /// Handles the requests on one connection until it is closed, times out or carries an invalid frame.
    async fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut connection: FramedConnection = with_framing(stream);
        while let Ok(buf) = receive(&mut connection, REQUEST_TIMEOUT).await {
            let Ok((from, req)) = self.transport.open_request(&buf) else {
                return;
            };
            let response = self.handle_request(from, req).await;
            let Ok(frame) = self.transport.seal_response(from.node, &response) else {
                return;
            };
            if send(&mut connection, frame).await.is_err() {
                return;
            }
        }
    }

    /// Handles a request and returns the response to it.
    async fn handle_request(&self, from: Incarnation, req: StreamRequest) -> StreamResponse {
        match req {
            StreamRequest::ConfigFetch(summary) => {
                let missing = self.engine.send(GetMissingEntries(summary)).await;
                missing.map_or(StreamResponse::Refused, StreamResponse::ConfigEntries)
            }
            StreamRequest::Forward(call) => match from_forwarded_request(*call) {
                Some(call) => StreamResponse::Forwarded(
                    into_forwarded_response(self.executor.execute(call).await).await,
                ),
                None => StreamResponse::Forwarded(ForwardedResponse::Refused(MALFORMED)),
            },
            StreamRequest::Handover(table) if table.owner == from => {
                let taken = self.engine.send(ReceiveHandover(table)).await;
                if taken.unwrap_or(false) { StreamResponse::HandoverAck } else { StreamResponse::Refused }
            }
            StreamRequest::Handover(_) => StreamResponse::Refused,
        }
    }
}

/// Refusal of a forwarded request that is not valid HTTP.
const MALFORMED: Refusal = Refusal { outcome: Outcome::NotRun, reason: Reason::Malformed, retry_after: None };
