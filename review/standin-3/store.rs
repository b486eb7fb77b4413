//! Stand-in of the platform's store: items, watches, transactions and leases.

use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, parameter};
use crate::json::{Json, from_base64, quoted, to_base64};

#[derive(Debug, Clone)]
struct Item {
    value: Option<String>,
    revision: u64,
    created: u64,
    lease: u64,
}

/// Time after which the store discards what has changed.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// All changes within the history, in their order.
    changes: VecDeque<(Instant, String, Item)>,
    /// Revision of the last change that has been discarded.
    discarded: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    revision: u64,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// How the store treats one machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Treatment {
    #[default]
    Serve,
    /// The machine is cut off without a reset: what arrives is held up, and so is what is answered.
    Cut,
    /// The store answers 503 and does nothing.
    Busy,
}

/// An address of the store for one machine.
#[derive(Debug)]
pub struct Entrance {
    pub address: SocketAddr,
    treatment: Arc<Mutex<Treatment>>,
}

impl Entrance {
    /// Sets how the machine is treated.
    pub fn treat(&self, treatment: Treatment) {
        *self.treatment.lock().unwrap() = treatment;
    }

    /// Cuts the machine off from the store without a reset, or ends the cut.
    pub fn cut(&self, cut: bool) {
        self.treat(if cut { Treatment::Cut } else { Treatment::Serve });
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(State { revision: 100, ..State::default() }),
            changed: Condvar::new(),
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                shared.end_expired_leases();
            }
        });
        store
    }

    /// Opens an address for one machine.
    pub fn entrance(self: &Arc<Self>) -> Entrance {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let entrance = Entrance { address: listener.local_addr().unwrap(), treatment: Arc::default() };
        let (store, treatment) = (Arc::clone(self), Arc::clone(&entrance.treatment));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, treatment) = (Arc::clone(&store), Arc::clone(&treatment));
                thread::spawn(move || store.serve(&stream, &treatment));
            }
        });
        entrance
    }

    /// Waits while the machine is cut off. Bytes in transit are held up meanwhile.
    fn wait_for_link(treatment: &Mutex<Treatment>) {
        while *treatment.lock().unwrap() == Treatment::Cut {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn serve(&self, stream: &TcpStream, treatment: &Mutex<Treatment>) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(message) = reader.message() {
            Self::wait_for_link(treatment);
            let is_busy = || *treatment.lock().unwrap() == Treatment::Busy;
            let answer = if is_busy() { None } else { Some(self.answer(&message, &is_busy)) };
            Self::wait_for_link(treatment);
            let (status, body) = answer.unwrap_or((503, "{}".to_owned()));
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if (&mut &*stream).write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, message: &Message, is_busy: &dyn Fn() -> bool) -> (u16, String) {
        let target = message.word(1).to_owned();
        let path = target.split('?').next().unwrap_or("").to_owned();
        let json = Json::parse(&String::from_utf8_lossy(&message.body)).unwrap_or(Json::Null);
        match path.as_str() {
            "/api/kv-key" => self.item(&parameter(&target, "key")),
            "/api/kv-range" => self.range(&parameter(&target, "prefix"), &parameter(&target, "after")),
            "/api/kv-watch" => self.watch(&target, is_busy),
            "/api/kv-txn" => self.txn(&json),
            "/api/kv-lease" => self.grant(&json),
            _ => self.lease(&path),
        }
    }

    fn item(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.items.get(key).filter(|item| item.value.is_some()) {
            Some(item) => (200, item_json(key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let found = state
            .items
            .iter()
            .filter(|(k, i)| k.starts_with(prefix) && k.as_str() > after && i.value.is_some());
        let items: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
        (200, format!("{{\"items\":[{}],\"has_more\":false,\"as_of\":{}}}", items.join(","), state.revision))
    }

    fn watch(&self, target: &str, is_busy: &dyn Fn() -> bool) -> (u16, String) {
        let number = |name| parameter(target, name).parse::<u64>().unwrap_or(0);
        let (prefix, after) = (parameter(target, "prefix"), number("after"));
        let ends = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut state = self.state.lock().unwrap();
        loop {
            if is_busy() {
                return (503, "{}".to_owned());
            }
            if after > state.revision || after < state.discarded {
                return (410, "{}".to_owned());
            }
            let new: Vec<(&String, &Item)> = state
                .changes
                .iter()
                .filter(|(_, k, i)| k.starts_with(&prefix) && i.revision > after)
                .map(|(_, k, i)| (k, i))
                .collect();
            let left = ends.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let events: Vec<String> = new.iter().map(|(key, item)| item_json(key, item)).collect();
                return (200, format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), state.revision));
            }
            state = self.changed.wait_timeout(state, left.min(Duration::from_millis(50))).unwrap().0;
        }
    }

    fn txn(&self, txn: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        for row in txn.get("precondition").list() {
            let key = row.get("key").text();
            let current = state.items.get(key).filter(|item| item.value.is_some());
            if current.map_or(0, |item| item.revision) != row.get("revision").number() {
                let current = current.map_or_else(
                    || format!("{{\"key\":{},\"revision\":0}}", quoted(key)),
                    |item| item_json(key, item),
                );
                return (412, format!("{{\"items\":[{current}]}}"));
            }
        }
        let puts = txn.get("puts").list();
        if puts
            .iter()
            .map(|put| put.get("lease").number())
            .any(|lease| lease != 0 && !state.leases.contains_key(&lease))
        {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let value = String::from_utf8_lossy(&from_base64(put.get("value").text())).into_owned();
            state.write(put.get("key").text(), Some(value), put.get("lease").number());
        }
        for key in txn.get("remove").list() {
            state.write(key.text(), None, 0);
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, request: &Json) -> (u16, String) {
        let ttl = duration(request.get("ttl_time").text());
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let lease = state.revision;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{lease},\"ttl_time\":\"{}ms\"}}", ttl.as_millis()))
    }

    fn lease(&self, path: &str) -> (u16, String) {
        let lease: u64 = path.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if path.starts_with("/api/kv-lease-end/") {
            state.end_lease(lease);
            self.changed.notify_all();
            return (200, "{}".to_owned());
        }
        match state.leases.get_mut(&lease) {
            Some((ttl, ends)) => {
                *ends = Instant::now() + *ttl;
                (200, format!("{{\"ttl_time\":\"{}ms\"}}", ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end_expired_leases(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        state.discard_history();
        let expired: Vec<u64> =
            state.leases.iter().filter(|(_, (_, ends))| *ends <= now).map(|(id, _)| *id).collect();
        for lease in expired {
            state.end_lease(lease);
            self.changed.notify_all();
        }
    }

    /// Writes an item as the operator or a target does, or deletes it. Returns when it is acknowledged.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        let exists = state.items.get(key).is_some_and(|item| item.value.is_some());
        if value.is_some() || exists {
            state.write(key, value.map(str::to_owned), 0);
        }
        self.changed.notify_all();
    }

    /// Names of the daemons that have an entry.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let found = state.items.iter().filter(|(k, i)| k.starts_with(prefix) && i.value.is_some());
        found.map(|(key, _)| key.clone()).collect()
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).filter(|i| i.value.is_some()).map_or(revision, |i| i.created);
        let item = Item { value, revision, created, lease };
        self.changes.push_back((Instant::now(), key.to_owned(), item.clone()));
        self.items.insert(key.to_owned(), item);
    }

    fn discard_history(&mut self) {
        while self.changes.front().is_some_and(|(at, _, _)| at.elapsed() > HISTORY) {
            self.discarded = self.changes.pop_front().map_or(0, |(_, _, item)| item.revision);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, i)| i.lease == lease && i.value.is_some());
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.write(&key, None, 0);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let key = quoted(key);
    match &item.value {
        Some(value) => format!(
            "{{\"key\":{key},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            to_base64(value.as_bytes()),
            item.revision,
            item.created,
            item.lease
        ),
        None => format!("{{\"key\":{key},\"revision\":{},\"deleted\":true}}", item.revision),
    }
}

fn duration(text: &str) -> Duration {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.trim_end_matches('s'), 1.0),
    };
    Duration::from_secs_f64(number.parse::<f64>().unwrap_or(0.0) * unit)
}
