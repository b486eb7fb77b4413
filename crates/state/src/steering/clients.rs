//! Client connections of a daemon: how many it accepts, and which one gives way to a new one.
//!
//! A connection on which a request is being received, or none has begun, can be closed at any time, since the request has
//! not been forwarded. One whose request runs is closed only if its client does not read the response.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;

use crate::time::Timestamp;

/// Time without a byte after which the delivery of a response is cut off, unless the deadline of its request is later.
pub const DELIVERY_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time for which a deadline that the client chose protects the delivery of a response that stalls.
pub const MAX_DELIVERY_DEADLINE: Duration = Duration::from_secs(15);

/// Duration for which a connection without a delivery is read after the last byte to its client, so that the client learns of
/// the end before the kernel resets the connection for data that nobody reads.
pub const LINGER_TIME: Duration = Duration::from_secs(1);

/// Number of bytes that are read from a connection for a request that is rejected, before and after the response: the largest
/// body that the deployments allow. A client may send all of it before it reads.
const MAX_REJECTED_BYTES: usize = 64 << 20;

/// Minimum number of bytes that are read after the response.
const MIN_LINGER_BYTES: usize = 4 << 20;

/// Period after the start of a delivery from which its rate is checked. The rate at the start depends on the window of TCP.
const DELIVERY_RATE_GRACE: Duration = Duration::from_secs(10);

/// Minimum mean rate of a delivery in bytes per second: a tenth of the part that each of 100 clients has of a link of
/// 1 Mbit/s.
const MIN_DELIVERY_RATE: f64 = 128.0;

/// Identity of a client connection, unique in the lifetime of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct ConnectionId(u64);

/// What happens on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ConnectionPhase {
    /// No request has begun, or one is being received.
    #[display("receiving")]
    Receiving,
    /// A complete request is being handled.
    #[display("running")]
    Running,
    /// A response is being delivered.
    #[display("delivering")]
    Delivering,
    /// All responses have been written, and the client has been told that no more data follows.
    #[display("closing")]
    Closing,
}

/// What a connection has done so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionProgress {
    /// What happens on it.
    pub phase: ConnectionPhase,
    /// Time since the last change of the phase.
    pub age: Duration,
    /// Time since the last byte in either direction, or the last change of the phase.
    pub silence: Duration,
    /// Bytes written in this phase.
    pub written: u64,
}

#[derive(Debug, Clone)]
struct Connection {
    phase: ConnectionPhase,
    /// Time of the last change of the phase.
    since: Timestamp,
    progress_at: Timestamp,
    /// Bytes written in this phase.
    written: u64,
    /// Time of the last byte of a response.
    written_at: Option<Timestamp>,
    /// Bytes received since the last complete request.
    received: usize,
    /// Latest deadline of the requests whose responses have been delivered.
    deadline: Timestamp,
    closing: bool,
}

/// Decision about a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The connection is accepted.
    Accepted(ConnectionId),
    /// The first connection is accepted, and the second one must be closed.
    Replaced(ConnectionId, ConnectionId),
    /// The connection is refused: all others run requests.
    Refused,
}

/// How a connection is read before it is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Linger {
    /// Maximum duration. The response may take as long as one whose delivery stalls.
    pub time: Duration,
    /// Maximum number of bytes.
    pub bytes: usize,
}

/// Open client connections, up to a limit.
///
/// ```
/// use medlarstair_state::steering::clients::{Admission, ClientTable};
/// use medlarstair_state::time::Timestamp;
/// let mut clients = ClientTable::new(1);
/// let Admission::Accepted(first) = clients.admit(Timestamp::ZERO) else { panic!() };
/// let Admission::Replaced(_, closed) = clients.admit(Timestamp::ZERO) else { panic!() };
/// assert_eq!(closed, first);
/// ```
#[derive(Debug, Clone)]
pub struct ClientTable {
    limit: usize,
    next: u64,
    closing: usize,
    connections: BTreeMap<ConnectionId, Connection>,
}

impl ClientTable {
    /// Creates a table for at most `limit` connections, of which one at least is allowed.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), next: 0, closing: 0, connections: BTreeMap::new() }
    }

    /// Number of connections, with those that are being closed.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Decides about a new connection. At the limit, it replaces the one that has received nothing for the longest time.
    pub fn admit(&mut self, now: Timestamp) -> Admission {
        let victim = if self.connections.len() - self.closing >= self.limit {
            let Some(victim) = self.least_progressing() else { return Admission::Refused };
            Some(victim)
        } else {
            None
        };
        let id = ConnectionId(self.next);
        self.next += 1;
        let phase = ConnectionPhase::Receiving;
        let connection = Connection {
            phase,
            since: now,
            progress_at: now,
            written: 0,
            written_at: None,
            received: 0,
            deadline: Timestamp::ZERO,
            closing: false,
        };
        self.connections.insert(id, connection);
        match victim {
            Some(victim) => {
                self.mark_closing(victim);
                Admission::Replaced(id, victim)
            }
            None => Admission::Accepted(id),
        }
    }

    /// Removes a connection that has been closed.
    pub fn remove(&mut self, id: ConnectionId) {
        if self.connections.remove(&id).is_some_and(|c| c.closing) {
            self.closing -= 1;
        }
    }

    /// Records a change of the phase.
    pub fn set_phase(&mut self, now: Timestamp, id: ConnectionId, phase: ConnectionPhase) {
        if let Some(c) = self.connections.get_mut(&id) {
            c.phase = phase;
            c.since = now;
            c.progress_at = now;
            c.written = 0;
            if phase == ConnectionPhase::Running {
                c.received = 0;
            }
        }
    }

    /// Records that the response to a request with this deadline is delivered, which is of use to the client until then.
    pub fn protect_until(&mut self, now: Timestamp, id: ConnectionId, deadline: Timestamp) {
        if let Some(c) = self.connections.get_mut(&id) {
            c.deadline = c.deadline.max(deadline.min(now + MAX_DELIVERY_DEADLINE));
        }
    }

    /// What a connection has done so far. `None` if it is not open.
    pub fn progress(&self, now: Timestamp, id: ConnectionId) -> Option<ConnectionProgress> {
        let c = self.connections.get(&id)?;
        let (age, silence) = (now.since(c.since), now.since(c.progress_at));
        Some(ConnectionProgress { phase: c.phase, age, silence, written: c.written })
    }

    /// Records that bytes were received.
    pub fn record_read(&mut self, now: Timestamp, id: ConnectionId, bytes: usize) {
        if let Some(c) = self.connections.get_mut(&id) {
            c.progress_at = now;
            c.received += bytes;
        }
    }

    /// Records that bytes were sent.
    pub fn record_written(&mut self, now: Timestamp, id: ConnectionId, bytes: usize) {
        if let Some(c) = self.connections.get_mut(&id) {
            c.progress_at = now;
            c.written += bytes as u64;
            c.written_at = Some(now);
        }
    }

    /// Records that no more data follows on a connection. Returns how it must still be read, unless its client closes it before:
    /// the kernel resets a connection that is closed with unread data, and discards what it has not delivered.
    ///
    /// ```
    /// use medlarstair_state::steering::clients::{Admission, ClientTable, DELIVERY_STALL_TIMEOUT, LINGER_TIME};
    /// use medlarstair_state::time::Timestamp;
    /// let mut clients = ClientTable::new(1);
    /// let Admission::Accepted(id) = clients.admit(Timestamp::ZERO) else { panic!() };
    /// assert_eq!(clients.begin_closing(Timestamp::ZERO, id).time, LINGER_TIME);
    /// clients.record_written(Timestamp::ZERO, id, 100);
    /// assert_eq!(clients.begin_closing(Timestamp::ZERO, id).time, DELIVERY_STALL_TIMEOUT);
    /// ```
    pub fn begin_closing(&mut self, now: Timestamp, id: ConnectionId) -> Linger {
        self.set_phase(now, id, ConnectionPhase::Closing);
        let Some(c) = self.connections.get(&id) else {
            return Linger { time: LINGER_TIME, bytes: MIN_LINGER_BYTES };
        };
        let delivery =
            c.written_at.map_or(Duration::ZERO, |at| c.deadline.max(at + DELIVERY_STALL_TIMEOUT).since(now));
        let bytes = MAX_REJECTED_BYTES.saturating_sub(c.received).max(MIN_LINGER_BYTES);
        Linger { time: delivery.max(LINGER_TIME), bytes }
    }

    /// Returns the connections whose clients do not read their responses. They must be closed, and are returned once.
    pub fn take_stalled(&mut self, now: Timestamp) -> Vec<ConnectionId> {
        let stalled = |c: &Connection| {
            let age = now.since(c.since);
            let is_silent = now.since(c.progress_at) >= DELIVERY_STALL_TIMEOUT;
            let is_slow =
                age >= DELIVERY_RATE_GRACE && (c.written as f64) < age.as_secs_f64() * MIN_DELIVERY_RATE;
            let is_late = now >= c.deadline;
            c.phase == ConnectionPhase::Delivering && !c.closing && is_late && (is_silent || is_slow)
        };
        let ids: Vec<_> = self.connections.iter().filter(|(_, c)| stalled(c)).map(|(id, _)| *id).collect();
        for id in &ids {
            self.mark_closing(*id);
        }
        ids
    }

    /// The connection without a running request that has received nothing for the longest time. One whose last response the
    /// kernel may still deliver comes after all others.
    fn least_progressing(&self) -> Option<ConnectionId> {
        let is_candidate =
            |c: &Connection| matches!(c.phase, ConnectionPhase::Receiving | ConnectionPhase::Closing);
        let candidates = self.connections.iter().filter(|(_, c)| is_candidate(c) && !c.closing);
        let rank = |c: &Connection| (c.phase == ConnectionPhase::Closing, c.progress_at);
        candidates.min_by_key(|(id, c)| (rank(c), **id)).map(|(id, _)| *id)
    }

    fn mark_closing(&mut self, id: ConnectionId) {
        if let Some(c) = self.connections.get_mut(&id) {
            c.closing = true;
            self.closing += 1;
        }
    }
}
