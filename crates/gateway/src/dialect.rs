//! What an adapter translates: the spelling of headers, calls and entries of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use medlarstair_state::config::Entry;
use medlarstair_state::id::{Backend, Domain, Region};
use medlarstair_state::steering::affinity::ObjectId;
use medlarstair_state::steering::{BackendEntry, LoadReport, Plan};

/// What the head of a caller's request says beside method, host and path.
#[derive(Debug, Clone, Default)]
pub struct CallHead {
    /// Identity of this attempt of the caller. The answer of a backend server repeats it.
    pub attempt: Option<HeaderValue>,
    /// Time for which the caller waits.
    pub patience: Option<Duration>,
    /// Object that the request concerns.
    pub object: Option<ObjectId>,
}

/// What the head of a backend server's answer says.
#[derive(Debug, Clone, Default)]
pub struct AnswerNotes {
    /// Identity of the attempt that it answers.
    pub attempt: Option<HeaderValue>,
    /// The server did not run the request.
    pub not_run: bool,
    /// The server is not the one that was addressed, and did not run the request.
    pub misdirected: bool,
    /// Load of the server.
    pub load: Option<LoadReport>,
}

/// What a health check says.
#[derive(Debug, Clone)]
pub struct HealthNotes {
    /// Identity of the server.
    pub backend: Option<Backend>,
    /// Time for which it stays cold.
    pub cold_left: Duration,
    /// Its load.
    pub load: Option<LoadReport>,
}

/// A call to the daemon's own interfaces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnCall {
    /// Whether the daemon is ready for callers.
    Ready,
    /// Which daemons a caller uses.
    Lookup {
        /// Region of the caller.
        region: Option<Region>,
        /// Failure domain of the caller.
        domain: Option<Domain>,
    },
    /// Not known.
    Unknown,
}

/// What an entry of the key-value service means.
#[derive(Debug, Clone)]
pub enum Change {
    /// A configuration version.
    Plan(Box<Plan>),
    /// A backend server; `None` if its entry is gone or names no usable server.
    Server(Backend, Option<BackendEntry>),
    /// A failure domain is evacuated, or no longer.
    Evacuation(Domain, bool),
    /// The entry cannot be used.
    Unreadable(Box<str>),
    /// The entry does not concern the daemon.
    Other,
}

/// Translation between the platform's spelling and the product's types.
pub trait Dialect: 'static {
    /// Reads the head of a caller's request.
    fn call_head(&self, headers: &HeaderMap) -> CallHead;
    /// Adds what a backend server must know.
    fn address(&self, headers: &mut HeaderMap, backend: &Backend, left: Duration);
    /// Reads the head of an answer.
    fn answer_notes(&self, status: StatusCode, headers: &HeaderMap) -> AnswerNotes;
    /// Reads the answer to a health check; `None` unless the server is healthy.
    fn health_notes(&self, status: StatusCode, headers: &HeaderMap) -> Option<HealthNotes>;
    /// Reads a call to the daemon's own interfaces.
    fn own_call(&self, method: &Method, uri: &Uri) -> OwnCall;
    /// The body of the answer to a look-up.
    fn lookup_answer(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
    /// Reads an entry of the key-value service.
    fn change(&self, entry: &Entry) -> Change;
}
