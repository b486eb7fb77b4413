//! Key-value service with compare-and-swap, leases and watches over HTTP conditional requests (RFC 9110).
//!
//! | Request | Response |
//! | --- | --- |
//! | `GET /kv/{key}` | 200, the value, `ETag: "<revision>"`; 404 |
//! | `GET /kv?prefix=P` | 200, [`KvList`] of the present entries |
//! | `GET /kv?prefix=P&after=R&wait_ms=N` | 200, [`KvList`] of the changes above revision R, deletions included; waits for one |
//! | `PUT /kv/{key}` with `If-Match: "<revision>"` or `If-None-Match: *`, optional `Lease: <id>` | 200 or 412 `{"revision":n}`, 413, 428, 404 for a lapsed lease |
//! | `DELETE /kv/{key}` with `If-Match` | as for `PUT` |
//! | `POST /leases` `{"ttl_ms":n}` | 200 `{"lease":id}` |
//! | `PUT /leases/{id}` | 200; 404 once the lease has lapsed and its keys are deleted |
//! | `GET /calls`, `POST /faults` | [`KvCalls`]; sets [`KvFaults`] |
//!
//! The revision of an absent key is 0 in a 412 answer.

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

/// Longest value in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Period of the check for lapsed leases.
const LEASE_CHECK: Duration = Duration::from_millis(20);

/// Faults of the service. `/calls` and `/faults` are exempt from them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvFaults {
    /// Connections are accepted and closed without an answer, pending watches included.
    pub down: bool,
    /// Delay in ms before each call is processed.
    pub slow_ms: u64,
    /// Number of next `PUT`, `POST` and `DELETE` calls that take effect and get no answer.
    pub lose_answers: u32,
    /// Reads and watches answer from a snapshot taken when this was set.
    pub stale_reads: bool,
}

/// Calls since the start, by kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCalls {
    /// Reads of one key.
    pub get: u64,
    /// Reads of a prefix.
    pub list: u64,
    /// Watches, each counted once however long it waits.
    pub watch: u64,
    /// Writes.
    pub put: u64,
    /// Deletions.
    pub delete: u64,
    /// Grants and renewals of leases.
    pub lease: u64,
}

/// Response to a read of a prefix or to a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvList {
    /// Revision of the whole store; the next watch continues after it.
    pub revision: u64,
    /// Entries by key.
    pub entries: Vec<KvEntry>,
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvEntry {
    /// The key.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
    /// `None` if that change deleted it.
    pub value: Option<String>,
}

/// A running key-value service; dropping it stops the service.
#[derive(Debug)]
pub struct KvService {
    address: SocketAddr,
    server: Arc<Server>,
    _task: Task,
}

impl KvService {
    /// Starts an empty service. Port 0 lets the system choose.
    pub fn start(worker: &Arc<Worker>, address: SocketAddr) -> io::Result<Self> {
        let (listener, address) = bind(address)?;
        let server = Arc::new(Server::default());
        let run = Arc::clone(&server);
        let task = worker.spawn(async move {
            tokio::join!(serve(listener, Arc::clone(&run), Limits::default()), run.expire_leases());
        });
        Ok(Self { address, server, _task: task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: KvFaults) {
        self.server.set_faults(faults);
    }

    /// Calls since the start.
    pub fn calls(&self) -> KvCalls {
        self.server.lock().calls.clone()
    }

    /// Writes without a condition and without counting a call. Returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision = self.server.lock().data.write(key, Some(value.into()), None);
        self.server.changed.notify_waiters();
        revision
    }

    /// Present entries under a prefix, without faults.
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
    snapshot: Option<Data>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    faults: KvFaults,
    calls: KvCalls,
}

#[derive(Debug, Clone, Default)]
struct Data {
    revision: u64,
    entries: BTreeMap<String, Slot>,
}

#[derive(Debug, Clone)]
struct Slot {
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
        let slot = self.entries.get(key)?;
        Some((slot.revision, slot.value.as_deref()?))
    }

    fn write(&mut self, key: &str, value: Option<String>, lease: Option<u64>) -> u64 {
        self.revision += 1;
        self.entries.insert(key.into(), Slot { revision: self.revision, value, lease });
        self.revision
    }

    /// Present entries, or with `after` all changes above that revision.
    fn list(&self, prefix: &str, after: Option<u64>) -> KvList {
        let mut entries = Vec::new();
        for (key, slot) in self.entries.range(prefix.to_string()..).take_while(|(k, _)| k.starts_with(prefix))
        {
            let wanted = after.map_or(slot.value.is_some(), |after| slot.revision > after);
            if wanted {
                entries.push(KvEntry {
                    key: key.clone(),
                    revision: slot.revision,
                    value: slot.value.clone(),
                });
            }
        }
        KvList { revision: self.revision, entries }
    }
}

impl Store {
    fn visible(&self) -> &Data {
        self.snapshot.as_ref().unwrap_or(&self.data)
    }

    fn expire(&mut self, now: Instant) -> bool {
        let before = self.leases.len();
        self.leases.retain(|_, lease| lease.expires > now);
        if self.leases.len() == before {
            return false;
        }
        let mut lapsed = Vec::new();
        for (key, slot) in &self.data.entries {
            if slot.value.is_some() && slot.lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                lapsed.push(key.clone());
            }
        }
        for key in lapsed {
            self.data.write(&key, None, None);
        }
        true
    }

    /// Writes or deletes (`value` is `None`) under the condition of the request.
    fn change(&mut self, key: &str, value: Option<String>, req: &Request) -> Response {
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
            Ok(value) => self.change(key, Some(value.into()), req),
            Err(_) => Response::error(400, "a value is UTF-8 text"),
        }
    }

    fn grant(&mut self, req: &Request) -> Response {
        #[derive(Deserialize)]
        struct Grant {
            ttl_ms: u64,
        }
        let ttl = match req.json::<Grant>() {
            Ok(grant) => Duration::from_millis(grant.ttl_ms),
            Err(refusal) => return refusal,
        };
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires: Instant::now() + ttl });
        Response::json(200, &json!({ "lease": self.last_lease }))
    }

    fn renew(&mut self, id: &str) -> Response {
        let Some(lease) = id.parse().ok().and_then(|id: u64| self.leases.get_mut(&id)) else {
            return Response::error(404, "the lease has lapsed");
        };
        lease.expires = Instant::now() + lease.ttl;
        Response::json(200, &json!({ "ttl_ms": lease.ttl.as_millis() as u64 }))
    }

    fn get(&self, key: &str) -> Response {
        match self.visible().get(key) {
            Some((revision, value)) => Response::new(200, value.to_string().into())
                .header("ETag", format!("\"{revision}\""))
                .header("Content-Type", "text/plain; charset=utf-8"),
            None => Response::error(404, "no such key"),
        }
    }
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no holder of the lock panics")
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

    async fn expire_leases(&self) {
        let mut ticks = interval(LEASE_CHECK);
        loop {
            let now = ticks.tick().await;
            if self.lock().expire(now) {
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
                store.visible().list(prefix, Some(after))
            };
            if !list.entries.is_empty() || Instant::now() >= end {
                return Response::json(200, &list).into();
            }
            let _ = timeout_at(end, changed).await;
        }
    }

    /// Processes a call that changes something and may lose its answer.
    fn change(&self, process: impl FnOnce(&mut Store) -> Response) -> Reply {
        let mut store = self.lock();
        store.expire(Instant::now());
        let response = process(&mut store);
        self.changed.notify_waiters();
        if store.faults.lose_answers > 0 {
            store.faults.lose_answers -= 1;
            return Reply::Close;
        }
        response.into()
    }

    /// Counts the call and gives the fault that applies to it: `None` if the service is down, else the delay.
    fn begin(&self, count: impl FnOnce(&mut KvCalls) -> &mut u64) -> Option<Duration> {
        let mut store = self.lock();
        *count(&mut store.calls) += 1;
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
        let delay = self.begin(|calls| match method {
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
            ("PUT", Some(key)) => self.change(|store| store.put(key, &req)),
            ("DELETE", Some(key)) => self.change(|store| store.change(key, None, &req)),
            ("POST", None) if req.path == "/leases" => self.change(|store| store.grant(&req)),
            ("PUT", None) if lease.is_some() => self.change(|store| store.renew(lease.unwrap_or_default())),
            ("GET", None) if is_list => {
                let prefix = req.query("prefix").unwrap_or_default();
                match after {
                    Some(after) => {
                        let wait = Duration::from_millis(req.query_number("wait_ms").unwrap_or(0));
                        self.watch(prefix, after, wait).await
                    }
                    None => Response::json(200, &self.lock().visible().list(prefix, None)).into(),
                }
            }
            _ => Response::error(404, "no such resource").into(),
        }
    }
}
