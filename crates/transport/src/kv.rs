//! Client for the platform's key-value service.
//!
//! The service is accessed over HTTP with conditional requests (RFC 9110): entity tags are revisions, and `If-Match`
//! and `If-None-Match` express compare-and-swap. The response to a write may be lost after the write took effect;
//! [`WriteOutcome::Unknown`] reports this, and the caller reads the key back.

use std::future::Future;
use std::net::IpAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::{StatusCode, header};
use awc::{Client, Connector};
use derive_more::{Display, Error};
use medlarstair_protocol::border::{KvEntry, KvList, KvWritten};
use medlarstair_state::config::Entry;
use medlarstair_state::id::{Era, Revision};
use serde::{Deserialize, Serialize};

/// Timeout of a call, in addition to the timeout of a watch.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response in bytes. The largest response is a list of all configuration keys.
const RESPONSE_MAX_BYTES: usize = 256 << 20;

/// Error of a call to the key-value service: no response, an error status or an unreadable response.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the key-value service is unavailable: {cause}")]
pub struct StoreError {
    cause: Box<str>,
    kind: FailureKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FailureKind {
    Unavailable,
    TimedOut,
    HistoryLost,
    Unusable,
    EarlierEra,
}

impl StoreError {
    /// Creates an error with the given cause.
    pub fn new(cause: impl ToString) -> Self {
        Self { cause: cause.to_string().into(), kind: FailureKind::Unavailable }
    }

    /// Creates the error of a call that got no complete response in time.
    pub fn timed_out() -> Self {
        Self { cause: "no complete response in time".into(), kind: FailureKind::TimedOut }
    }

    /// Creates the error of a watch whose start revision is no longer in the service's history. The caller must list
    /// all keys again.
    pub fn history_lost() -> Self {
        Self {
            cause: "the service no longer keeps the changes since the revision".into(),
            kind: FailureKind::HistoryLost,
        }
    }

    /// Creates the error of a call whose response cannot be used: it is too long or cannot be read. The same call would get it
    /// again.
    pub fn unusable(cause: impl ToString) -> Self {
        Self { cause: cause.to_string().into(), kind: FailureKind::Unusable }
    }

    /// Creates the error of a response from before a restoration of the service of which a response is known.
    ///
    /// ```
    /// use medlarstair_state::id::Era;
    /// use medlarstair_transport::kv::StoreError;
    /// let e = StoreError::earlier_era(Era(2), Era(3));
    /// assert!(e.is_earlier_era() && !e.is_history_lost());
    /// ```
    pub fn earlier_era(era: Era, known: Era) -> Self {
        let cause = format!("the response is of era {era}, before the known era {known}");
        Self { cause: cause.into(), kind: FailureKind::EarlierEra }
    }

    /// Returns whether this is the error of [`timed_out`](Self::timed_out).
    pub fn is_timed_out(&self) -> bool {
        self.kind == FailureKind::TimedOut
    }

    /// Returns whether this is the error of [`history_lost`](Self::history_lost).
    pub fn is_history_lost(&self) -> bool {
        self.kind == FailureKind::HistoryLost
    }

    /// Returns whether this is an error of [`unusable`](Self::unusable).
    pub fn is_unusable(&self) -> bool {
        self.kind == FailureKind::Unusable
    }

    /// Returns whether this is an error of [`earlier_era`](Self::earlier_era).
    pub fn is_earlier_era(&self) -> bool {
        self.kind == FailureKind::EarlierEra
    }
}

fn store_error(cause: impl ToString) -> StoreError {
    StoreError::new(cause)
}

/// Condition on a key under which a write takes effect. There is no write without one, since a write whose response is lost may
/// be carried out late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The key does not exist.
    Absent,
    /// The key's last change has this revision.
    Revision(Revision),
}

/// Outcome of a write or deletion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect with this revision.
    Done(Revision),
    /// The precondition was not met; the key's present revision.
    Conflict(Revision),
    /// The service rejected the request, for example because the value is too large.
    Rejected,
    /// No usable response was received; the write may have taken effect or may still do so.
    Unknown,
}

/// Keys with a common prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the service at which the listing was taken.
    pub revision: Revision,
    /// Era of the service. Zero if the service does not report one.
    pub era: Era,
    /// Entries with the prefix; a deleted key has no value.
    pub entries: Vec<Entry>,
}

/// Identifies a lease of the service. Keys written under a lease are deleted when it expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// A key-value service with compare-and-swap, leases and watches.
pub trait Store {
    /// Reads a key. `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, StoreError>>;
    /// Lists the keys with a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, StoreError>>;
    /// Returns the changes of keys with a prefix after the revision `after`. If there are none, waits for the first
    /// one, and returns an empty listing after the timeout `wait`.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, StoreError>>;
    /// Writes a key if the precondition holds, under a lease if one is given.
    fn put(
        &self,
        key: &str,
        value: &str,
        precondition: Precondition,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = WriteOutcome>;
    /// Deletes a key if its last change has the revision `expected`.
    fn delete(&self, key: &str, expected: Revision) -> impl Future<Output = WriteOutcome>;
    /// Creates a lease that expires after `ttl` unless it is renewed.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>>;
}

/// A key-value service whose leases can be renewed and revoked.
pub trait RenewableLeaseStore: Store {
    /// The highest era of the responses so far. Zero if the service does not report one.
    fn era(&self) -> Era;
    /// Renews a lease. `false` if it has expired or was revoked.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<bool, StoreError>>;
    /// Revokes a lease, which deletes its keys.
    fn revoke_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
}

/// Creates an HTTP client for the platform's services. Connections are opened from `source_ip`, if given.
pub fn platform_client(source_ip: Option<IpAddr>) -> Client {
    let mut connector = Connector::new();
    if let Some(source_ip) = source_ip {
        connector = connector.local_address(source_ip);
    }
    Client::builder().connector(connector).timeout(CALL_TIMEOUT).disable_redirects().finish()
}

/// [`Store`] over HTTP. Clones share their connections.
#[derive(Clone)]
pub struct HttpStore {
    client: Client,
    base_url: Box<str>,
}

#[derive(Debug, Serialize)]
struct LeaseRequest {
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct LeaseAnswer {
    lease: LeaseId,
}

impl HttpStore {
    /// Creates a client for the service at `base_url`, for example `http://192.0.2.1:2379`. Must be called on the
    /// thread that uses the client. Connections are opened from `source_ip`, if given.
    pub fn new(base_url: &str, source_ip: Option<IpAddr>) -> Self {
        let client = platform_client(source_ip);
        Self { client, base_url: base_url.trim_end_matches('/').into() }
    }

    fn key_url(&self, key: &str) -> String {
        format!("{}/kv/{key}", self.base_url)
    }

    async fn fetch_list(&self, url: String, limit: Duration) -> Result<Listing, StoreError> {
        let mut res = self.client.get(url).timeout(limit).send().await.map_err(store_error)?;
        if res.status() != StatusCode::OK {
            return Err(store_error(res.status()));
        }
        let list = res.json::<KvList>().limit(RESPONSE_MAX_BYTES).await.map_err(store_error)?;
        Ok(Listing {
            revision: Revision(list.revision),
            era: Era::default(),
            entries: list.entries.into_iter().map(from_api_entry).collect(),
        })
    }

    /// Interprets the response to a write or deletion.
    async fn write_outcome(
        result: Result<
            awc::ClientResponse<
                impl futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
            >,
            SendRequestError,
        >,
    ) -> WriteOutcome {
        let Ok(mut res) = result else {
            return WriteOutcome::Unknown;
        };
        let status = res.status();
        if matches!(status, StatusCode::PAYLOAD_TOO_LARGE | StatusCode::BAD_REQUEST) {
            return WriteOutcome::Rejected;
        }
        let Ok(body) = res.json::<KvWritten>().await else {
            return WriteOutcome::Unknown;
        };
        match status {
            StatusCode::OK => WriteOutcome::Done(Revision(body.revision)),
            StatusCode::PRECONDITION_FAILED => WriteOutcome::Conflict(Revision(body.revision)),
            _ => WriteOutcome::Unknown,
        }
    }
}

fn from_api_entry(e: KvEntry) -> Entry {
    Entry { key: e.key.into(), revision: Revision(e.revision), value: e.value.map(Into::into) }
}

fn entity_tag(revision: Revision) -> String {
    format!("\"{revision}\"")
}

impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let mut res = self.client.get(self.key_url(key)).send().await.map_err(store_error)?;
        match res.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            status => return Err(store_error(status)),
        }
        let tag = res.headers().get(header::ETAG).and_then(|v| v.to_str().ok());
        let revision = tag.and_then(|t| t.trim_matches('"').parse().ok());
        let revision = revision.ok_or_else(|| store_error("the response has no valid entity tag"))?;
        let body = res.body().limit(RESPONSE_MAX_BYTES).await.map_err(store_error)?;
        let value = std::str::from_utf8(&body).map_err(store_error)?;
        Ok(Some(Entry { key: key.into(), revision, value: Some(value.into()) }))
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.fetch_list(format!("{}/kv?prefix={prefix}", self.base_url), CALL_TIMEOUT).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Listing, StoreError> {
        let wait_ms = wait.as_millis();
        let url = format!("{}/kv?prefix={prefix}&after={after}&wait_ms={wait_ms}", self.base_url);
        self.fetch_list(url, wait + CALL_TIMEOUT).await
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        precondition: Precondition,
        lease: Option<LeaseId>,
    ) -> WriteOutcome {
        let mut req = self.client.put(self.key_url(key));
        req = match precondition {
            Precondition::Absent => req.insert_header((header::IF_NONE_MATCH, "*")),
            Precondition::Revision(revision) => req.insert_header((header::IF_MATCH, entity_tag(revision))),
        };
        if let Some(lease) = lease {
            req = req.insert_header(("lease", lease.to_string()));
        }
        Self::write_outcome(req.send_body(value.to_owned()).await).await
    }

    async fn delete(&self, key: &str, expected: Revision) -> WriteOutcome {
        let req =
            self.client.delete(self.key_url(key)).insert_header((header::IF_MATCH, entity_tag(expected)));
        Self::write_outcome(req.send().await).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let url = format!("{}/leases", self.base_url);
        let mut res = self.client.post(url).send_json(&LeaseRequest { ttl_ms }).await.map_err(store_error)?;
        if !res.status().is_success() {
            return Err(store_error(res.status()));
        }
        Ok(res.json::<LeaseAnswer>().await.map_err(store_error)?.lease)
    }
}

/// Writes a value and, if the response is lost, reads the key back. Each value contains a unique change ID, so an equal
/// value shows that the write took effect.
///
/// Returns [`WriteOutcome::Unknown`] only if reading also fails, or if the write may still take effect.
pub async fn put_with_read_back<S: Store>(
    store: &S,
    key: &str,
    value: &str,
    precondition: Precondition,
) -> WriteOutcome {
    match store.put(key, value, precondition, None).await {
        WriteOutcome::Unknown => {}
        outcome => return outcome,
    }
    match store.get(key).await {
        Ok(Some(found)) if found.value.as_deref() == Some(value) => WriteOutcome::Done(found.revision),
        Ok(Some(found)) if Precondition::Revision(found.revision) != precondition => {
            WriteOutcome::Conflict(found.revision)
        }
        // The key is unchanged, so the write may still be in progress.
        _ => WriteOutcome::Unknown,
    }
}
