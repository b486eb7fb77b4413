//! Client of the platform's key-value service.
//!
//! The service is reached over HTTP with conditional requests (RFC 9110): an entity tag is a revision, `If-Match` and
//! `If-None-Match` express compare-and-swap. An answer may be lost after a change took effect; [`WriteOutcome::Unknown`] says so,
//! and the caller reads back.

use std::future::Future;
use std::net::IpAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::{StatusCode, header};
use awc::{Client, Connector};
use derive_more::{Display, Error};
use medlarstair_protocol::border::{KvEntry, KvList, KvWritten};
use medlarstair_state::config::Entry;
use medlarstair_state::id::Revision;
use serde::{Deserialize, Serialize};

/// Longest time that a call may take, apart from the wait of a watch.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer in bytes: a list of all configuration keys.
const LIST_MAX_BYTES: usize = 256 << 20;

/// The service did not answer, or its answer could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the key-value service is unavailable: {cause}")]
pub struct StoreError {
    cause: Box<str>,
    history_lost: bool,
}

impl StoreError {
    /// A call that failed because of `cause`.
    pub fn new(cause: impl ToString) -> Self {
        Self { cause: cause.to_string().into(), history_lost: false }
    }

    /// The changes since the revision of a watch are no longer known; everything must be listed again.
    pub fn history_lost() -> Self {
        Self { cause: "the history since the revision is gone".into(), history_lost: true }
    }

    /// Whether the service answered, but no longer has the changes that were asked for.
    pub fn is_history_lost(&self) -> bool {
        self.history_lost
    }
}

fn unavailable(cause: impl ToString) -> StoreError {
    StoreError::new(cause)
}

/// What a key must be for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The key does not exist.
    Absent,
    /// Its last change has this revision.
    Revision(Revision),
    /// Anything; the write takes effect in any case.
    Any,
}

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Done(Revision),
    /// The key was not as expected.
    Conflict(Revision),
    /// The value is too large or otherwise not accepted.
    Rejected,
    /// No answer came; the write may have taken effect or may still do so.
    Unknown,
}

/// Keys with a common prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the service at the time of the answer.
    pub revision: Revision,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// A lease of the service. Keys written under it are deleted when it lapses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// A key-value service with compare-and-swap, leases and watches.
pub trait Store {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, StoreError>>;
    /// Lists the keys with a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, StoreError>>;
    /// Waits until a key with the prefix changes after `after`, at most for `wait`.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, StoreError>>;
    /// Writes a key if it is as expected.
    fn put(
        &self,
        key: &str,
        value: &str,
        expect: Precondition,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = WriteOutcome>;
    /// Deletes a key if it is as expected.
    fn delete(&self, key: &str, expect: Revision) -> impl Future<Output = WriteOutcome>;
    /// Creates a lease.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>>;
}

/// A service whose leases are renewed for as long as their holder lives.
pub trait RenewableLeaseStore: Store {
    /// Renews a lease. `false` if it has ended.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<bool, StoreError>>;
    /// Ends a lease; its keys are deleted.
    fn revoke_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
}

/// HTTP client for the platform. Connections leave from `source`, if given.
pub fn platform_client(source: Option<IpAddr>) -> Client {
    let mut connector = Connector::new();
    if let Some(source) = source {
        connector = connector.local_address(source);
    }
    Client::builder().connector(connector).timeout(CALL_TIMEOUT).disable_redirects().finish()
}

/// Client of a service over HTTP.
#[derive(Clone)]
pub struct HttpStore {
    client: Client,
    base: Box<str>,
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
    /// A client of the service at `base`, for example `http://192.0.2.1:2379`. Must be created on the thread that uses it.
    /// Connections leave from `source`, if given.
    pub fn new(base: &str, source: Option<IpAddr>) -> Self {
        let client = platform_client(source);
        Self { client, base: base.trim_end_matches('/').into() }
    }

    fn key_url(&self, key: &str) -> String {
        format!("{}/kv/{key}", self.base)
    }

    async fn fetch_list(&self, url: String, limit: Duration) -> Result<Listing, StoreError> {
        let mut res = self.client.get(url).timeout(limit).send().await.map_err(unavailable)?;
        if res.status() != StatusCode::OK {
            return Err(unavailable(res.status()));
        }
        let list = res.json::<KvList>().limit(LIST_MAX_BYTES).await.map_err(unavailable)?;
        Ok(Listing {
            revision: Revision(list.revision),
            entries: list.entries.into_iter().map(entry).collect(),
        })
    }

    async fn written(
        sent: Result<
            awc::ClientResponse<
                impl futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
            >,
            SendRequestError,
        >,
    ) -> WriteOutcome {
        let Ok(mut res) = sent else {
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

fn entry(e: KvEntry) -> Entry {
    Entry { key: e.key.into(), revision: Revision(e.revision), value: e.value.map(Into::into) }
}

fn quoted(revision: Revision) -> String {
    format!("\"{revision}\"")
}

impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let mut res = self.client.get(self.key_url(key)).send().await.map_err(unavailable)?;
        match res.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            status => return Err(unavailable(status)),
        }
        let tag = res.headers().get(header::ETAG).and_then(|v| v.to_str().ok());
        let revision = tag.and_then(|t| t.trim_matches('"').parse().ok());
        let revision = revision.ok_or_else(|| unavailable("the answer has no revision"))?;
        let body = res.body().limit(LIST_MAX_BYTES).await.map_err(unavailable)?;
        let value = std::str::from_utf8(&body).map_err(unavailable)?;
        Ok(Some(Entry { key: key.into(), revision, value: Some(value.into()) }))
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.fetch_list(format!("{}/kv?prefix={prefix}", self.base), CALL_TIMEOUT).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Listing, StoreError> {
        let wait_ms = wait.as_millis();
        let url = format!("{}/kv?prefix={prefix}&after={after}&wait_ms={wait_ms}", self.base);
        self.fetch_list(url, wait + CALL_TIMEOUT).await
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        expect: Precondition,
        lease: Option<LeaseId>,
    ) -> WriteOutcome {
        let mut req = self.client.put(self.key_url(key));
        req = match expect {
            Precondition::Absent => req.insert_header((header::IF_NONE_MATCH, "*")),
            Precondition::Revision(revision) => req.insert_header((header::IF_MATCH, quoted(revision))),
            Precondition::Any => req,
        };
        if let Some(lease) = lease {
            req = req.insert_header(("lease", lease.to_string()));
        }
        Self::written(req.send_body(value.to_owned()).await).await
    }

    async fn delete(&self, key: &str, expect: Revision) -> WriteOutcome {
        let req = self.client.delete(self.key_url(key)).insert_header((header::IF_MATCH, quoted(expect)));
        Self::written(req.send().await).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let url = format!("{}/leases", self.base);
        let mut res = self.client.post(url).send_json(&LeaseRequest { ttl_ms }).await.map_err(unavailable)?;
        if !res.status().is_success() {
            return Err(unavailable(res.status()));
        }
        Ok(res.json::<LeaseAnswer>().await.map_err(unavailable)?.lease)
    }
}

/// Writes a value and settles a lost answer by reading back: the value names its change, so it tells whether the
/// write took effect.
///
/// Returns [`WriteOutcome::Unknown`] only if the service cannot be read either, or if the write may still take effect.
pub async fn put_settled<S: Store>(store: &S, key: &str, value: &str, expect: Precondition) -> WriteOutcome {
    match store.put(key, value, expect, None).await {
        WriteOutcome::Unknown => {}
        settled => return settled,
    }
    match store.get(key).await {
        Ok(Some(found)) if found.value.as_deref() == Some(value) => WriteOutcome::Done(found.revision),
        Ok(Some(found)) if Precondition::Revision(found.revision) != expect => {
            WriteOutcome::Conflict(found.revision)
        }
        // The key is as before: the write may still be under way.
        _ => WriteOutcome::Unknown,
    }
}
