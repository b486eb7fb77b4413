//! Idle connections to backend servers.
//!
//! Opening a connection costs time and, at some servers, a slot, so connections are used again, the latest first. One
//! that has been idle for almost as long as its server keeps it is closed instead: a request that crosses the
//! server's close would have an unknown outcome.

use std::collections::BTreeMap;
use std::time::Duration;

use hyper::header::HeaderMap;
use medlarstair_state::id::Backend;
use medlarstair_state::time::Timestamp;
use medlarstair_transport::http1::ClientConnection;

/// Idle connections kept for one server.
const IDLE_MAX: usize = 8;

/// Idle time at a server that names none. Servers name theirs in whole seconds, so an unnamed one may be shorter.
const IDLE_UNNAMED: Duration = Duration::from_millis(700);

/// Time before the end of a server's idle time at which its connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

struct Idle {
    link: ClientConnection,
    until: Timestamp,
}

/// Idle connections by server.
#[derive(Default)]
pub struct Pool {
    idle: BTreeMap<Backend, Vec<Idle>>,
}

impl Pool {
    /// A usable connection to a server.
    pub fn take(&mut self, now: Timestamp, backend: &Backend) -> Option<ClientConnection> {
        let list = self.idle.get_mut(backend)?;
        while let Some(idle) = list.pop() {
            if now < idle.until && idle.link.is_usable() {
                return Some(idle.link);
            }
        }
        None
    }

    /// Keeps a connection whose last answer had these headers.
    pub fn put(&mut self, now: Timestamp, backend: &Backend, link: ClientConnection, headers: &HeaderMap) {
        let list = self.idle.entry(backend.clone()).or_default();
        if list.len() >= IDLE_MAX {
            list.remove(0);
        }
        list.push(Idle { link, until: now + idle_time(headers) });
    }

    /// Closes all connections to a server.
    pub fn close(&mut self, backend: &Backend) {
        self.idle.remove(backend);
    }

    /// Closes connections that are too old or were closed by their server.
    pub fn expire(&mut self, now: Timestamp) {
        self.idle.retain(|_, list| {
            list.retain(|idle| now < idle.until && idle.link.is_usable());
            !list.is_empty()
        });
    }
}

fn idle_time(headers: &HeaderMap) -> Duration {
    let named = headers.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(|text| {
        let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok().map(Duration::from_secs)
    });
    named.map_or(IDLE_UNNAMED, |named| named.saturating_sub(IDLE_MARGIN))
}
