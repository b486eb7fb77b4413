//! Stand-in of the platform's store: items, pages, watches, transactions and leases.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::json::Json;

/// Largest number of items in a page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    /// `None` if the key was removed.
    item: Option<Item>,
}

#[derive(Default, Clone)]
struct State {
    /// Number of times that the store came back from an older copy.
    restorations: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { key: key.to_owned(), revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push(Event { key: key.to_owned(), revision: self.revision, item: None });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|(_, l)| l.1 <= now).map(|(id, _)| *id).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }
}

/// Time that an answer of the store takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// How long a watch waits before it checks whether it is cut.
const CUT_CHECK: Duration = Duration::from_millis(5);

/// The address of the store for one daemon.
#[derive(Default)]
pub struct Entrance {
    /// Factor by which answers take longer than usual; 0 counts as 1.
    slowness: AtomicU64,
    /// Whether the waiting watch is to be cut.
    cut: AtomicBool,
    /// Delay of the next write, whose answer is lost. Zero if there is none to lose.
    late_write_ms: AtomicU64,
    /// When the watch that waits began to wait.
    watching_since: Mutex<Option<Instant>>,
}

impl Entrance {
    /// Makes the answers take `factor` times as long as usual.
    pub fn set_slowness(&self, factor: u64) {
        self.slowness.store(factor, Ordering::SeqCst);
    }

    /// Cuts the watch that waits.
    pub fn cut_watch(&self) {
        self.cut.store(true, Ordering::SeqCst);
    }

    /// Loses the answer of the next write, which is done after `delay`.
    pub fn lose_next_write(&self, delay: Duration) {
        self.late_write_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// For how long a watch has been waiting. `None` if none waits.
    pub fn watching_for(&self) -> Option<Duration> {
        self.watching_since.lock().unwrap().map(|since| since.elapsed())
    }

    /// Time that an answer takes now.
    pub fn answer_time(&self) -> Duration {
        ANSWER_TIME * self.slowness.load(Ordering::SeqCst).max(1) as u32
    }
}

/// An older copy of a store.
pub struct StoreCopy(State);

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Number of writes that were done: transactions of daemons and heartbeats of targets.
    writes: AtomicU64,
    /// Whether the store is away: all calls are rejected with 503 and waiting watches are cut.
    away: AtomicBool,
}

impl Store {
    /// Starts a store, in threads of this process.
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 100;
        let shared = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                if shared.state.lock().unwrap().expire() {
                    shared.changed.notify_all();
                }
            }
        });
        store
    }

    /// Opens an address for one daemon.
    pub fn open(self: &Arc<Self>, address: &str) -> std::io::Result<Arc<Entrance>> {
        let listener = TcpListener::bind(address)?;
        let (store, entrance) = (Arc::clone(self), Arc::new(Entrance::default()));
        let shared = Arc::clone(&entrance);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, entrance) = (Arc::clone(&store), Arc::clone(&shared));
                std::thread::spawn(move || store.serve(stream, &entrance));
            }
        });
        Ok(entrance)
    }

    /// Writes a key, as the operator or a target does.
    pub fn write(&self, key: &str, text: &str) {
        self.state.lock().unwrap().put(key, &encode_base64(text.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Writes several keys in one transaction.
    pub fn write_together(&self, entries: &[(&str, &str)]) {
        let mut state = self.state.lock().unwrap();
        let before = state.revision;
        for (key, text) in entries {
            state.revision = before;
            state.put(key, &encode_base64(text.as_bytes()), 0);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Takes the heartbeat of a target, which changes no more than its number and so leaves its entry as it is.
    pub fn heartbeat(&self, key: &str) {
        if self.state.lock().unwrap().items.contains_key(key) {
            self.writes.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Number of writes that were done: transactions of daemons and heartbeats of targets.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::SeqCst)
    }

    /// Begins a time in which the store is away.
    pub fn leave(&self) {
        self.away.store(true, Ordering::SeqCst);
    }

    /// Copies what the store holds.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().unwrap().clone())
    }

    /// Comes back from an older copy. Leases of the copy run from now on.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.state.lock().unwrap();
        let restorations = state.restorations + 1;
        *state = State { restorations, ..copy.0 };
        for (ttl, ends) in state.leases.values_mut() {
            *ends = Instant::now() + *ttl;
        }
        self.away.store(false, Ordering::SeqCst);
    }

    /// Keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Removes a key, as the operator does.
    pub fn delete(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, entrance: &Entrance) {
        let Ok(mut out) = stream.try_clone() else { return };
        let _ = out.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(message) = read_message(&mut reader) {
            if message.target() == "/api/kv-txn" {
                let delay = entrance.late_write_ms.swap(0, Ordering::SeqCst);
                if delay > 0 {
                    let store = Arc::clone(self);
                    std::thread::spawn(move || {
                        sleep(Duration::from_millis(delay));
                        store.txn(&message.body)
                    });
                    // Nothing further comes on a connection on which an answer is lost.
                    let _ = read_message(&mut reader);
                    sleep(Duration::from_secs(30));
                    return;
                }
            }
            let answer = match self.away.load(Ordering::SeqCst) {
                true => Some((503, "{}".to_owned())),
                false => self.respond(&message, entrance),
            };
            let Some((status, body)) = answer else { return };
            let era = 1 + self.state.lock().unwrap().restorations;
            sleep(entrance.answer_time());
            let head = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a call. `None` if its connection is cut instead.
    fn respond(&self, message: &Message, entrance: &Entrance) -> Option<(u16, String)> {
        let (path, query) = message.target().split_once('?').unwrap_or((message.target(), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| decode_percent(v)).unwrap_or_default()
        };
        let last = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        Some(match path {
            "/api/kv-key" => self.key(&parameter("key")),
            "/api/kv-range" => self.range(&parameter("prefix"), &parameter("after")),
            "/api/kv-watch" => {
                let (after, wait) = (parameter("after").parse(), parameter("wait_ms").parse());
                let wait = Duration::from_millis(wait.unwrap_or(0));
                self.watch(&parameter("prefix"), after.unwrap_or(0), wait, entrance)?
            }
            "/api/kv-txn" => self.txn(&message.body),
            "/api/kv-lease" => self.grant(&message.body),
            _ if path.starts_with("/api/kv-keep/") => self.keep(last),
            _ if path.starts_with("/api/kv-lease-end/") => {
                self.state.lock().unwrap().end_lease(last);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        })
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => (200, item_text(key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let found: Vec<_> =
            state.items.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after).collect();
        let items: Vec<String> = found.iter().take(PAGE_ITEMS).map(|(k, i)| item_text(k, i)).collect();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{},\"as_of\":{}}}",
            items.join(","),
            found.len() > PAGE_ITEMS,
            state.revision
        );
        (200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration, entrance: &Entrance) -> Option<(u16, String)> {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        if after > state.revision {
            return Some((410, "{}".to_owned()));
        }
        loop {
            let found: Vec<String> = state
                .events
                .iter()
                .filter(|e| e.revision > after && e.key.starts_with(prefix))
                .map(event_text)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                *entrance.watching_since.lock().unwrap() = None;
                let body = format!("{{\"events\":[{}],\"as_of\":{}}}", found.join(","), state.revision);
                return Some((200, body));
            }
            entrance.watching_since.lock().unwrap().get_or_insert(Instant::now());
            state = self.changed.wait_timeout(state, left.min(CUT_CHECK)).unwrap().0;
            if entrance.cut.swap(false, Ordering::SeqCst) || self.away.load(Ordering::SeqCst) {
                *entrance.watching_since.lock().unwrap() = None;
                return None;
            }
        }
    }

    fn txn(&self, body: &[u8]) -> (u16, String) {
        let Some(txn) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let mut state = self.state.lock().unwrap();
        let revision_of = |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let conditions = txn.list("precondition");
        let holds = |row: &Json| {
            revision_of(&state, row.text("key").unwrap_or("")) == row.number("revision").unwrap_or(0)
        };
        if !conditions.iter().all(holds) {
            return (412, "{\"items\":[]}".to_owned());
        }
        let lease_exists = |put: &Json| {
            let lease = put.number("lease").unwrap_or(0);
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !txn.list("puts").iter().all(lease_exists) {
            return (404, "{}".to_owned());
        }
        for put in txn.list("puts") {
            let (key, value) = (put.text("key").unwrap_or(""), put.text("value").unwrap_or(""));
            state.put(key, value, put.number("lease").unwrap_or(0));
        }
        for key in txn.list("remove") {
            if let Json::Text(key) = key {
                state.remove(key);
            }
        }
        let revision = state.revision;
        drop(state);
        self.writes.fetch_add(1, Ordering::SeqCst);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, body: &[u8]) -> (u16, String) {
        let request = Json::parse(body);
        let text = request.as_ref().and_then(|r| r.text("ttl_time")).unwrap_or("3000ms").to_owned();
        let ttl = Duration::from_millis(text.trim_end_matches("ms").parse().unwrap_or(3_000));
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let lease = state.revision;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{lease},\"ttl_time\":\"{text}\"}}"))
    }

    fn keep(&self, lease: u64) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        match state.leases.get_mut(&lease) {
            Some((ttl, ends)) => {
                *ends = Instant::now() + *ttl;
                (200, format!("{{\"ttl_time\":\"{}ms\"}}", ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn event_text(event: &Event) -> String {
    match &event.item {
        Some(item) => item_text(&event.key, item),
        None => format!("{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}", event.key, event.revision),
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let code = others.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match code.filter(|_| *first == b'%').and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &others[2..];
            }
            None => {
                bytes.push(*first);
                rest = others;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for n in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * n)) as usize & 63] as char;
            text.push(if n <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
