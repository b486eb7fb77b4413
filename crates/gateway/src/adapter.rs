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
pub struct RequestMetadata {
    /// Identity of this attempt of the caller. The answer of a backend server repeats it.
    pub attempt_id: Option<HeaderValue>,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// Object that the request concerns.
    pub object: Option<ObjectId>,
}

/// What the head of a backend server's answer says.
#[derive(Debug, Clone, Default)]
pub struct ResponseMetadata {
    /// Identity of the attempt that it answers.
    pub attempt_id: Option<HeaderValue>,
    /// The server did not run the request.
    pub not_run: bool,
    /// The server is not the one that was addressed, and did not run the request.
    pub misdirected: bool,
    /// Load of the server.
    pub load: Option<LoadReport>,
}

/// What a health check says.
#[derive(Debug, Clone)]
pub struct HealthReport {
    /// Identity of the server.
    pub backend: Option<Backend>,
    /// Time for which it stays cold.
    pub cold_remaining: Duration,
    /// Its load.
    pub load: Option<LoadReport>,
}

/// A call to the daemon's own interfaces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRequest {
    /// Whether the daemon is ready for callers.
    Readiness,
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
pub enum StoreUpdate {
    /// A configuration version.
    Plan(Box<Plan>),
    /// A backend server; `None` if its entry is gone or names no usable server.
    Server(Backend, Option<BackendEntry>),
    /// A failure domain is evacuated, or no longer.
    Evacuation(Domain, bool),
    /// The entry cannot be used.
    Invalid(Box<str>),
    /// The entry does not concern the daemon.
    Irrelevant,
}

/// Translation between the platform's spelling and the product's types.
pub trait Adapter: 'static {
    /// Reads the head of a caller's request.
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata;
    /// Adds what a backend server must know.
    fn set_backend_headers(&self, headers: &mut HeaderMap, backend: &Backend, left: Duration);
    /// Reads the head of an answer.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;
    /// Reads the answer to a health check; `None` unless the server is healthy.
    fn parse_health_response(&self, status: StatusCode, headers: &HeaderMap) -> Option<HealthReport>;
    /// Reads a call to the daemon's own interfaces.
    fn parse_control_request(&self, method: &Method, uri: &Uri) -> ControlRequest;
    /// The body of the answer to a look-up.
    fn encode_lookup_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
    /// Reads an entry of the key-value service.
    fn parse_entry(&self, entry: &Entry) -> StoreUpdate;
}
