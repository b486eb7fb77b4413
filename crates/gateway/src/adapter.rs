//! Interface of platform adapters, which translate headers, control requests and key-value entries.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use medlarstair_state::config::Entry;
use medlarstair_state::id::{Backend, Domain, Region};
use medlarstair_state::steering::accounts::AccountName;
use medlarstair_state::steering::affinity::ObjectId;
use medlarstair_state::steering::{BackendEntry, LoadReport, Plan};

/// Values from the headers of a client's request, apart from those that routing reads itself: method, host and path.
#[derive(Debug, Clone, Default)]
pub struct RequestMetadata {
    /// Identity that the client gave to this attempt. A backend server repeats it in its response. `None` if the client
    /// sent none.
    pub attempt_id: Option<HeaderValue>,
    /// Timeout of the client, measured from the arrival of the request. `None` if it sent none; the timeout of the route
    /// applies then.
    pub timeout: Option<Duration>,
    /// Object that the request concerns. `None` if the client named none.
    pub object: Option<ObjectId>,
}

/// API key in the headers of a client's request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ClientKey<'a> {
    /// The request has no key.
    Missing,
    /// The request has more than one key.
    Repeated,
    /// The header of the key has another form.
    Malformed,
    /// The key.
    Key(&'a [u8]),
}

/// Request of a backend server to receive nothing for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseRequest {
    /// For this long.
    For(Duration),
    /// The value is not a duration, so the request has no effect.
    Invalid,
}

/// Values from the head of a backend server's response.
#[derive(Debug, Clone, Default)]
pub struct ResponseMetadata {
    /// Identity of the attempt that the server responds to. A different one than was sent marks a corrupted response.
    pub attempt_id: Option<HeaderValue>,
    /// Whether the server rejected the request without running it, so that it may be sent again.
    pub not_run: bool,
    /// Whether the request reached a server other than the intended one, which rejected it without running it.
    pub misdirected: bool,
    /// Load that the server reported. It still counts the request to which this is the response. `None` if not reported.
    pub load: Option<LoadReport>,
    /// Whether the server announces that it is leaving and must receive no further requests.
    pub leaving: bool,
    /// Pause for which the server asks. `None` if it asks for none.
    pub pause: Option<PauseRequest>,
}

/// Result of a successful health check.
#[derive(Debug, Clone)]
pub struct HealthReport {
    /// Identity of the server that responded. `None` if not reported.
    pub backend: Option<Backend>,
    /// Remaining warm-up time of the server; zero if it is warm.
    pub cold_remaining: Duration,
    /// Load of the server. `None` if not reported.
    pub load: Option<LoadReport>,
}

/// A request to the daemon itself, as opposed to one that is forwarded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRequest {
    /// Readiness check by the platform.
    Readiness,
    /// Look-up of the daemons that a client should use.
    Lookup {
        /// Region of the client; `None` if missing or invalid.
        region: Option<Region>,
        /// Failure domain of the client; `None` if missing or invalid.
        domain: Option<Domain>,
    },
    /// A request with any other method or path, which is answered with 404.
    Unknown,
}

/// Change described by an entry of the key-value service.
#[derive(Debug, Clone)]
pub enum StoreUpdate {
    /// The routing configuration. It may be older than the one in effect.
    Plan(Box<Plan>),
    /// A backend server. `None` if its entry was deleted or does not describe a usable server.
    Server(Backend, Option<BackendEntry>),
    /// Whether a failure domain is being evacuated.
    Evacuation(Domain, bool),
    /// The entry is malformed and was rejected for the given reason.
    Invalid(Box<str>),
    /// The entry requires no action by the daemon.
    Irrelevant,
}

/// Translation between the formats of a platform and the types of this crate.
pub trait Adapter: 'static {
    /// Reads the headers of a client's request.
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata;
    /// Sets the headers that a backend server needs: the identity of the intended server and the time `left` until the
    /// deadline of the request.
    fn set_backend_headers(&self, headers: &mut HeaderMap, backend: &Backend, left: Duration);
    /// Reads the API key of a client's request.
    fn client_key<'a>(&self, headers: &'a HeaderMap) -> ClientKey<'a>;
    /// Removes the API key and the client's own account header, and sets that header to the name of the account. Called
    /// only if accounts are configured; `account` is `None` for a request without one.
    fn set_account_headers(&self, headers: &mut HeaderMap, account: Option<&AccountName>);
    /// Reads the head of a backend server's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;
    /// Reads the head of the response to a health check. Returns `None` unless the server is healthy.
    fn parse_health_response(&self, status: StatusCode, headers: &HeaderMap) -> Option<HealthReport>;
    /// Classifies a request to the daemon itself.
    fn parse_control_request(&self, method: &Method, uri: &Uri) -> ControlRequest;
    /// Encodes the body of the response to a look-up. `ttl` is its TTL in the cache of the client.
    fn encode_lookup_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
    /// Interprets an entry of the key-value service; a deleted key has no value.
    fn parse_entry(&self, entry: &Entry) -> StoreUpdate;
}
