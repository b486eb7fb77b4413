//! Simulated key-value service of the platform with compare-and-swap, leases and watches. Writes are conditional HTTP
//! requests (RFC 9110).
//!
//! | Request | Response |
//! | --- | --- |
//! | `GET /kv/{key}` | 200, the value, `ETag: "<revision>"`; 404 |
//! | `GET /kv?prefix=P` | 200, [`KvList`] of the existing entries |
//! | `GET /kv?prefix=P&after=R&wait_ms=N` | 200, [`KvList`] of the changes after revision R, including deletions; waits up to N ms for one |
//! | `PUT /kv/{key}` with `If-Match: "<revision>"` or `If-None-Match: *`, optional `Lease: <id>` | 200 or 412 `{"revision":n}`, 413, 428, 404 for an expired lease |
//! | `DELETE /kv/{key}` with `If-Match` | as for `PUT` |
//! | `POST /leases` `{"ttl_ms":n}` | 200 `{"lease":id}` |
//! | `PUT /leases/{id}` | 200; 404 if the lease has expired, in which case its keys are deleted |
//! | `GET /calls`, `POST /faults` | returns [`KvCalls`]; sets [`KvFaults`] |
//!
//! In a 412 response, the revision of a missing key is 0.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::{Instant, interval, sleep, timeout_at};

use crate::http::{Handler, Limits, Reply, Request, Response, serve};
use crate::worker::{Task, Worker, bind};

/// Maximum length of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Interval between checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Injected faults of the key-value service. They do not apply to `/calls` and `/faults`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvFaults {
    /// Whether connections are closed without a response, including those of pending watches.
    pub down: bool,
    /// Delay in ms before each request is processed.
    pub slow_ms: u64,
    /// Number of next `PUT`, `POST` and `DELETE` requests that are processed but get no response.
    pub lose_answers: u32,
    /// Whether reads and watches use a snapshot, which is taken when this is set.
    pub stale_reads: bool,
}

/// Number of requests since the start, by kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCalls {
    /// Reads of one key.
    pub get: u64,
    /// Reads of a prefix.
    pub list: u64,
    /// Watches. Each request counts once, regardless of how long it waits.
    pub watch: u64,
    /// Writes.
    pub put: u64,
    /// Deletions.
    pub delete: u64,
    /// Grants and renewals of leases.
    pub lease: u64,
}

/// Body of the response to a read of a prefix or to a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvList {
    /// Revision of the store, from which the next watch can continue.
    pub revision: u64,
    /// Entries in key order.
    pub entries: Vec<KvEntry>,
}

/// Key with its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvEntry {
    /// The key.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Value, or `None` if the key was deleted.
    pub value: Option<String>,
}

/// Handle of a running key-value service. Dropping it stops the service.
#[derive(Debug)]
pub struct KvService {
    address: SocketAddr,
    server: Arc<Server>,
    _task: Task,
}

impl KvService {
    /// Starts an empty service on `address`. With port 0 the system chooses the port.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub fn start(worker: &Arc<Worker>, address: SocketAddr) -> io::Result<Self> {
        let (listener, address) = bind(address)?;
        let server = Arc::new(Server::default());
        let run = Arc::clone(&server);
        let task = worker.spawn(async move {
            tokio::join!(
                serve(listener, Arc::clone(&run), Limits::default()),
                run.expire_leases_periodically()
            );
        });
        Ok(Self { address, server, _task: task })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: KvFaults) {
        self.server.set_faults(faults);
    }

    /// Returns the number of requests since the start.
    pub fn calls(&self) -> KvCalls {
        self.server.lock().calls.clone()
    }

    /// Writes a value unconditionally and without counting a request. Returns the new revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision = self.server.lock().data.write(key, Some(value.into()), None);
        self.server.changed.notify_waiters();
        revision
    }

    /// Returns the existing entries whose key starts with `prefix`, regardless of faults.
    pub fn list(&self, prefix: &str) -> KvList {
        self.server.lock().data.list(prefix, None)
    }
}

#[derive(Debug, Default)]
struct Server {
    store: Mutex<Store>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Store {
    data: Data,
    /// Data for reads while [`KvFaults::stale_reads`] is set.
    snapshot: Option<Data>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    faults: KvFaults,
    calls: KvCalls,
}

#[derive(Debug, Clone, Default)]
struct Data {
    revision: u64,
    /// Includes deleted keys, which watches report.
    entries: BTreeMap<String, Record>,
}

#[derive(Debug, Clone)]
struct Record {
    revision: u64,
    value: Option<String>,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

impl Data {
    fn get(&self, key: &str) -> Option<(u64, &str)> {
        let record = self.entries.get(key)?;
        Some((record.revision, record.value.as_deref()?))
    }

    fn write(&mut self, key: &str, value: Option<String>, lease: Option<u64>) -> u64 {
        self.revision += 1;
        self.entries.insert(key.into(), Record { revision: self.revision, value, lease });
        self.revision
    }

    /// Returns the existing entries, or with `after` all changes after that revision.
    fn list(&self, prefix: &str, after: Option<u64>) -> KvList {
        let mut entries = Vec::new();
        for (key, record) in
            self.entries.range(prefix.to_string()..).take_while(|(k, _)| k.starts_with(prefix))
        {
            let is_listed = after.map_or(record.value.is_some(), |after| record.revision > after);
            if is_listed {
                entries.push(KvEntry {
                    key: key.clone(),
                    revision: record.revision,
                    value: record.value.clone(),
                });
            }
        }
        KvList { revision: self.revision, entries }
    }
}

impl Store {
    /// Returns the data for reads.
    fn read_view(&self) -> &Data {
        self.snapshot.as_ref().unwrap_or(&self.data)
    }

    /// Removes expired leases and deletes their keys. Returns whether a lease has expired.
    fn expire_leases(&mut self, now: Instant) -> bool {
        let before = self.leases.len();
        self.leases.retain(|_, lease| lease.expires > now);
        if self.leases.len() == before {
            return false;
        }
        let mut expired = Vec::new();
        for (key, record) in &self.data.entries {
            if record.value.is_some() && record.lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                expired.push(key.clone());
            }
        }
        for key in expired {
            self.data.write(&key, None, None);
        }
        true
    }

    /// Writes a key, or deletes it if `value` is `None`, if the condition of the request holds.
    fn write_if(&mut self, key: &str, value: Option<String>, req: &Request) -> Response {
        let current = self.data.get(key).map_or(0, |(revision, _)| revision);
        let holds = match (req.header("if-match"), req.header("if-none-match")) {
            (Some("*"), _) => current != 0,
            (Some(tag), _) => current != 0 && tag.trim_matches('"') == current.to_string(),
            (None, Some("*")) if value.is_some() => current == 0,
            _ => return Response::error(428, "a change needs If-Match, or If-None-Match: * to create"),
        };
        if !holds {
            return Response::json(412, &json!({ "revision": current }));
        }
        let lease = req.header("lease").map(|id| id.parse().unwrap_or(0));
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Response::error(404, "the lease has lapsed");
        }
        Response::json(200, &json!({ "revision": self.data.write(key, value, lease) }))
    }

    fn put(&mut self, key: &str, req: &Request) -> Response {
        if req.body.len() > MAX_VALUE_BYTES {
            return Response::error(413, "a value has at most 1 MiB");
        }
        match std::str::from_utf8(&req.body) {
            Ok(value) => self.write_if(key, Some(value.into()), req),
            Err(_) => Response::error(400, "a value is UTF-8 text"),
        }
    }

    fn grant_lease(&mut self, req: &Request) -> Response {
        #[derive(Deserialize)]
        struct Grant {
            ttl_ms: u64,
        }
        let ttl = match req.json::<Grant>() {
            Ok(grant) => Duration::from_millis(grant.ttl_ms),
            Err(error) => return error,
        };
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires: Instant::now() + ttl });
        Response::json(200, &json!({ "lease": self.last_lease }))
    }

    fn renew_lease(&mut self, id: &str) -> Response {
        let Some(lease) = id.parse().ok().and_then(|id: u64| self.leases.get_mut(&id)) else {
            return Response::error(404, "the lease has lapsed");
        };
        lease.expires = Instant::now() + lease.ttl;
        Response::json(200, &json!({ "ttl_ms": lease.ttl.as_millis() as u64 }))
    }

    fn get(&self, key: &str) -> Response {
        match self.read_view().get(key) {
            Some((revision, value)) => Response::new(200, value.to_string().into())
                .header("ETag", format!("\"{revision}\""))
                .header("Content-Type", "text/plain; charset=utf-8"),
            None => Response::error(404, "no such key"),
        }
    }
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no thread panics while it holds the lock")
    }

    fn set_faults(&self, faults: KvFaults) {
        let mut store = self.lock();
        if !faults.stale_reads {
            store.snapshot = None;
        } else if store.snapshot.is_none() {
            store.snapshot = Some(store.data.clone());
        }
        store.faults = faults;
        drop(store);
        self.changed.notify_waiters();
    }

    async fn expire_leases_periodically(&self) {
        let mut ticks = interval(LEASE_CHECK_INTERVAL);
        loop {
            let now = ticks.tick().await;
            if self.lock().expire_leases(now) {
                self.changed.notify_waiters();
            }
        }
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        let end = Instant::now() + wait;
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            let list = {
                let store = self.lock();
                if store.faults.down {
                    return Reply::Close;
                }
                store.read_view().list(prefix, Some(after))
            };
            if !list.entries.is_empty() || Instant::now() >= end {
                return Response::json(200, &list).into();
            }
            let _ = timeout_at(end, changed).await;
        }
    }

    /// Processes a request that changes the store. The response is lost while [`KvFaults::lose_answers`] is above 0.
    fn mutate(&self, operation: impl FnOnce(&mut Store) -> Response) -> Reply {
        let mut store = self.lock();
        store.expire_leases(Instant::now());
        let response = operation(&mut store);
        self.changed.notify_waiters();
        if store.faults.lose_answers > 0 {
            store.faults.lose_answers -= 1;
            return Reply::Close;
        }
        response.into()
    }

    /// Counts the request and returns its delay, or `None` if the service is down.
    fn admit(&self, counter: impl FnOnce(&mut KvCalls) -> &mut u64) -> Option<Duration> {
        let mut store = self.lock();
        *counter(&mut store.calls) += 1;
        (!store.faults.down).then(|| Duration::from_millis(store.faults.slow_ms))
    }
}

impl Handler for Server {
    async fn handle(&self, req: Request) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/calls") => return Response::json(200, &self.lock().calls).into(),
            ("POST", "/faults") => return req.apply(|faults| self.set_faults(faults)),
            _ => {}
        }
        let method = req.method.as_str();
        let key = req.path.strip_prefix("/kv/").filter(|key| !key.is_empty());
        let lease = req.path.strip_prefix("/leases/");
        let is_list = method == "GET" && req.path == "/kv";
        let after = req.query_number("after");
        let delay = self.admit(|calls| match method {
            "GET" if is_list && after.is_some() => &mut calls.watch,
            "GET" if is_list => &mut calls.list,
            "GET" => &mut calls.get,
            "DELETE" => &mut calls.delete,
            "PUT" if key.is_some() => &mut calls.put,
            _ => &mut calls.lease,
        });
        let Some(delay) = delay else { return Reply::Close };
        if !delay.is_zero() {
            sleep(delay).await;
            if self.lock().faults.down {
                return Reply::Close;
            }
        }
        match (method, key) {
            ("GET", Some(key)) => self.lock().get(key).into(),
            ("PUT", Some(key)) => self.mutate(|store| store.put(key, &req)),
            ("DELETE", Some(key)) => self.mutate(|store| store.write_if(key, None, &req)),
            ("POST", None) if req.path == "/leases" => self.mutate(|store| store.grant_lease(&req)),
            ("PUT", None) if lease.is_some() => {
                self.mutate(|store| store.renew_lease(lease.unwrap_or_default()))
            }
            ("GET", None) if is_list => {
                let prefix = req.query("prefix").unwrap_or_default();
                match after {
                    Some(after) => {
                        let wait = Duration::from_millis(req.query_number("wait_ms").unwrap_or(0));
                        self.watch(prefix, after, wait).await
                    }
                    None => Response::json(200, &self.lock().read_view().list(prefix, None)).into(),
                }
            }
            _ => Response::error(404, "no such resource").into(),
        }
    }
}
