//! Stand-in of the platform's store, as PROTOCOL.md describes it: items, pages, watches, changes under a condition and
//! leases. It never loses an acknowledged change and answers without delay.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::json::{self, quote, to_base64};

#[derive(Debug, Clone)]
struct Item {
    /// In base64. `None` if the key was removed.
    value: Option<String>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(String, Item)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Number of times that all waiting watches were cut.
    cuts: u64,
    /// Number of watches that are waiting.
    waiting: usize,
    /// Number of answers to watches that are still to be lost.
    lose: usize,
    /// Number of answers to watches that were lost.
    lost: usize,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item { value: Some(value), revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((key.to_owned(), item));
        self.revision
    }

    fn remove(&mut self, key: &str) -> u64 {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let item = Item { value: None, revision: self.revision, created: 0, lease: 0 };
            self.events.push((key.to_owned(), item));
        }
        self.revision
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    match &item.value {
        Some(value) => format!(
            "{{\"key\":{},\"value\":\"{value}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            quote(key),
            item.revision,
            item.created,
            item.lease
        ),
        None => format!("{{\"key\":{},\"revision\":{},\"deleted\":true}}", quote(key), item.revision),
    }
}

/// The store. Clones share their state.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let address = listener.local_addr().expect("an address");
        let store = Self { shared: Arc::default(), address };
        store.shared.0.lock().unwrap().revision = 100;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let sweeping = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = sweeping.shared.0.lock().unwrap();
                let now = Instant::now();
                let ended: Vec<u64> =
                    state.leases.iter().filter(|(_, (_, end))| now >= *end).map(|(id, _)| *id).collect();
                for lease in &ended {
                    state.end_lease(*lease);
                }
                if !ended.is_empty() {
                    sweeping.shared.1.notify_all();
                }
            }
        });
        store
    }

    /// Writes a key as the operator or a target does. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.0.lock().unwrap().put(key, to_base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Removes a key as the operator or a target does. The return is the acknowledgement.
    pub fn remove(&self, key: &str) {
        self.shared.0.lock().unwrap().remove(key);
        self.shared.1.notify_all();
    }

    /// Cuts all waiting watches. Returns their number.
    pub fn cut_watches(&self) -> usize {
        let mut state = self.shared.0.lock().unwrap();
        state.cuts += 1;
        let waiting = state.waiting;
        drop(state);
        self.shared.1.notify_all();
        waiting
    }

    /// Loses the next answer to a watch. Its connection returns nothing further.
    pub fn lose_watch_answer(&self) {
        self.shared.0.lock().unwrap().lose = 1;
    }

    /// Number of answers to watches that were lost.
    pub fn lost_answers(&self) -> usize {
        self.shared.0.lock().unwrap().lost
    }

    /// Number of watches that are waiting.
    pub fn waiting_watches(&self) -> usize {
        self.shared.0.lock().unwrap().waiting
    }

    /// Number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.shared.0.lock().unwrap().items.keys().filter(|k| k.starts_with(prefix)).count()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(req) = read_message(&mut reader, false) {
            let Some((status, body)) = self.answer(&req) else {
                return;
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// `None` if the connection is cut instead of an answer.
    fn answer(&self, req: &Message) -> Option<(u16, String)> {
        let path = req.path().to_owned();
        if let Some(id) = path.strip_prefix("/api/kv-keep/") {
            let mut state = self.shared.0.lock().unwrap();
            let lease = id.parse().unwrap_or(0);
            let Some((ttl, _)) = state.leases.get(&lease).copied() else {
                return Some((404, "{}".into()));
            };
            state.leases.insert(lease, (ttl, Instant::now() + ttl));
            return Some((200, format!("{{\"ttl_time\":\"{}ms\"}}", ttl.as_millis())));
        }
        if let Some(id) = path.strip_prefix("/api/kv-lease-end/") {
            self.shared.0.lock().unwrap().end_lease(id.parse().unwrap_or(0));
            self.shared.1.notify_all();
            return Some((200, "{}".into()));
        }
        match path.as_str() {
            "/api/kv-key" => {
                let state = self.shared.0.lock().unwrap();
                let key = req.query("key").unwrap_or("");
                Some(state.items.get(key).map_or((404, "{}".into()), |i| (200, item_json(key, i))))
            }
            "/api/kv-range" => {
                let state = self.shared.0.lock().unwrap();
                let (prefix, after) = (req.query("prefix").unwrap_or(""), req.query("after").unwrap_or(""));
                let found: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after)
                    .map(|(k, i)| item_json(k, i))
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"as_of\":{}}}",
                    found.join(","),
                    state.revision
                );
                Some((200, body))
            }
            "/api/kv-watch" => self.watch(req),
            "/api/kv-txn" => Some(self.txn(req)),
            "/api/kv-lease" => {
                let body = json::parse(&String::from_utf8_lossy(&req.body))?;
                let ttl = crate::millis(body.get("ttl_time").text()).max(1_000);
                let ttl = Duration::from_millis(ttl);
                let mut state = self.shared.0.lock().unwrap();
                state.revision += 1;
                let lease = state.revision;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                Some((200, format!("{{\"lease\":{lease},\"ttl_time\":\"{}ms\"}}", ttl.as_millis())))
            }
            _ => Some((404, "{}".into())),
        }
    }

    fn watch(&self, req: &Message) -> Option<(u16, String)> {
        let prefix = req.query("prefix").unwrap_or("").to_owned();
        let after: u64 = req.query("after").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait = Duration::from_millis(req.query("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0));
        let end = Instant::now() + wait.min(Duration::from_secs(30));
        let mut state = self.shared.0.lock().unwrap();
        let cuts = state.cuts;
        loop {
            let found: Vec<String> = state
                .events
                .iter()
                .filter(|(k, i)| i.revision > after && k.starts_with(&prefix))
                .map(|(k, i)| item_json(k, i))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let body = format!("{{\"events\":[{}],\"as_of\":{}}}", found.join(","), state.revision);
                if state.lose > 0 && !found.is_empty() {
                    state.lose -= 1;
                    state.lost += 1;
                    drop(state);
                    thread::sleep(Duration::from_secs(100));
                    return None;
                }
                return Some((200, body));
            }
            state.waiting += 1;
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
            state.waiting -= 1;
            if state.cuts != cuts {
                return None;
            }
        }
    }

    fn txn(&self, req: &Message) -> (u16, String) {
        let Some(body) = json::parse(&String::from_utf8_lossy(&req.body)) else {
            return (400, "{}".into());
        };
        let mut state = self.shared.0.lock().unwrap();
        for row in body.get("precondition").list() {
            let key = row.get("key").text();
            if state.items.get(key).map_or(0, |i| i.revision) != row.get("revision").number() {
                let items = state.items.get(key).map(|i| item_json(key, i)).unwrap_or_default();
                return (412, format!("{{\"items\":[{items}]}}"));
            }
        }
        for put in body.get("puts").list() {
            let lease = put.get("lease").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".into());
            }
        }
        for put in body.get("puts").list() {
            state.put(put.get("key").text(), put.get("value").text().to_owned(), put.get("lease").number());
        }
        for key in body.get("remove").list() {
            state.remove(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}
