//! Pool of idle connections to backend servers.
//!
//! Opening a connection costs time and, at some servers, a slot, so connections are reused, the most recently used first. A
//! connection whose idle time approaches the server's keep-alive timeout is closed instead: if the server closed it while a
//! request was in flight, the outcome of that request would be unknown.

use std::collections::BTreeMap;
use std::time::Duration;

use hyper::header::HeaderMap;
use medlarstair_state::id::Backend;
use medlarstair_state::time::Timestamp;
use medlarstair_transport::http1::ClientConnection;

use crate::body::RequestBody;

/// Maximum number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 8;

/// Idle timeout of connections to a server that announces no keep-alive timeout. Timeouts are announced in whole seconds, so
/// one that is not announced may be shorter than a second.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(700);

/// Margin by which the idle timeout of a connection is shorter than the keep-alive timeout that its server announced.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Connection to a backend server.
pub type ServerConnection = ClientConnection<RequestBody>;

/// A connection that carries no request.
struct IdleConnection {
    connection: ServerConnection,
    /// Start time from which the connection is no longer reused.
    expires_at: Timestamp,
}

/// Idle connections, grouped by server.
pub struct Pool {
    max_idle: usize,
    /// Number of idle connections.
    len: usize,
    idle: BTreeMap<Backend, Vec<IdleConnection>>,
}

impl Pool {
    /// Creates a pool of at most `max_idle` connections to all servers together.
    pub fn new(max_idle: usize) -> Self {
        Self { max_idle, len: 0, idle: BTreeMap::new() }
    }

    /// Takes the most recently used idle connection to a server. Returns `None` if there is no usable one.
    pub fn take(&mut self, now: Timestamp, backend: &Backend) -> Option<ServerConnection> {
        let list = self.idle.get_mut(backend)?;
        while let Some(idle) = list.pop() {
            self.len -= 1;
            if now < idle.expires_at && idle.connection.is_usable() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Adds a connection. `headers` are those of the last response on it, which may announce a keep-alive timeout. The
    /// oldest connection to the server is closed if there are too many, and the added one if there are too many in all.
    pub fn put(
        &mut self,
        now: Timestamp,
        backend: &Backend,
        connection: ServerConnection,
        headers: &HeaderMap,
    ) {
        if self.len >= self.max_idle {
            return;
        }
        let list = self.idle.entry(backend.clone()).or_default();
        if list.len() >= MAX_IDLE_PER_SERVER {
            list.remove(0);
            self.len -= 1;
        }
        self.len += 1;
        list.push(IdleConnection { connection, expires_at: now + idle_timeout(headers) });
    }

    /// Closes all idle connections to a server.
    pub fn close(&mut self, backend: &Backend) {
        if let Some(list) = self.idle.remove(backend) {
            self.len -= list.len();
        }
    }

    /// Closes connections whose idle timeout has passed, and drops those that their server has closed.
    pub fn expire(&mut self, now: Timestamp) {
        self.idle.retain(|_, list| {
            list.retain(|idle| now < idle.expires_at && idle.connection.is_usable());
            !list.is_empty()
        });
        self.len = self.idle.values().map(Vec::len).sum();
    }
}

/// Returns the idle timeout of a connection whose last response had these headers.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let announced = headers.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(|text| {
        let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok().map(Duration::from_secs)
    });
    announced.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout.saturating_sub(KEEP_ALIVE_MARGIN))
}
