//! Stand-in of a target, as PROTOCOL.md describes it. A case decides with a handler what happens to each request.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Rig;
use crate::http::{Message, read_message};

/// What becomes of the connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Then {
    Keep,
    Close,
}

/// State that a handler keeps with a connection.
#[derive(Debug, Default)]
pub struct ConnectionState {
    /// Attempt whose answer is to be repeated on this connection.
    pub extra: Option<String>,
}

pub type Handler = dyn Fn(&Arc<Target>, &Message, &mut TcpStream, &mut ConnectionState) -> Then + Send + Sync;

pub struct Target {
    pub rig: Arc<Rig>,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    /// Number of answers given, health checks left out.
    pub answers: AtomicU64,
    /// Number of extra answers given.
    pub extras: AtomicU64,
    born: AtomicU64,
    /// Unix milliseconds until which the target is cold.
    cold_until: AtomicU64,
    /// Requests that it is running.
    running: AtomicU64,
    up: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    handler: Box<Handler>,
}

impl Target {
    pub fn start(rig: &Arc<Rig>, id: &str, service: &str, zone: &str, handler: Box<Handler>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for a target");
        let target = Arc::new(Self {
            rig: Arc::clone(rig),
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().expect("an address"),
            slots: 3,
            answers: AtomicU64::new(0),
            extras: AtomicU64::new(0),
            born: AtomicU64::new(crate::wall_ms()),
            cold_until: AtomicU64::new(0),
            running: AtomicU64::new(0),
            up: AtomicBool::new(true),
            open: Mutex::default(),
            handler,
        });
        target.accept(listener);
        target
    }

    fn accept(self: &Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener that does not block");
        let target = Arc::clone(self);
        thread::spawn(move || {
            while target.up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            target.open.lock().unwrap().push(copy);
                        }
                        let target = Arc::clone(&target);
                        thread::spawn(move || target.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        let mut state = ConnectionState::default();
        while let Some(req) = read_message(&mut reader, false) {
            if req.path() == "/health" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nX-Cold-Ms: {}\r\nKeep-Alive: timeout=10\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id,
                    self.cold_ms()
                );
                if reader.get_mut().write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if req.header("x-expect-instance").is_some_and(|id| id != self.id) {
                let _ = reader.get_mut().write_all(
                    format!(
                        "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\nX-Not-Executed: 1\r\n\
                         X-Attempt-Id: {}\r\nContent-Length: 0\r\n\r\n",
                        self.id,
                        req.attempt()
                    )
                    .as_bytes(),
                );
                continue;
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            let then = (self.handler)(self, &req, reader.get_mut(), &mut state);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if then == Then::Close {
                let _ = reader.get_ref().shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Registers the target in the store, as it does itself.
    pub fn register(&self, state: &str) {
        let value = format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"config_version\":\"v1\",\"zone\":\"{}\",\
             \"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"seq_no\":1,\"cold_left\":\"{}ms\"}},\"born\":{}}}",
            self.address,
            self.service,
            self.zone,
            self.slots,
            self.cold_ms(),
            self.born.load(Ordering::SeqCst)
        );
        self.rig.store.put(&format!("servers/{}", self.id), &value);
    }

    /// Registers the target after a start during traffic: it is cold for `cold_start`, and says so in each heartbeat.
    pub fn register_cold(self: &Arc<Self>) {
        const COLD_START_MS: u64 = 3_000;
        const HEARTBEAT: Duration = Duration::from_millis(1_500);
        let start = crate::wall_ms();
        self.cold_until.store(start + COLD_START_MS, Ordering::SeqCst);
        self.register("ready");
        let target = Arc::clone(self);
        thread::spawn(move || {
            for _ in 0..2 {
                thread::sleep(HEARTBEAT);
                let is_same_start = target.cold_until.load(Ordering::SeqCst) == start + COLD_START_MS;
                if !target.up.load(Ordering::SeqCst) || !is_same_start {
                    return;
                }
                target.register("ready");
            }
        });
    }

    /// Milliseconds for which the target is still cold.
    fn cold_ms(&self) -> u64 {
        self.cold_until.load(Ordering::SeqCst).saturating_sub(crate::wall_ms())
    }

    /// Ends: no listener is left, and all connections are broken off.
    pub fn end(&self) {
        self.up.store(false, Ordering::SeqCst);
        // The listener closes within a few milliseconds.
        thread::sleep(Duration::from_millis(5));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends, and starts again at the same address and under the same id after `pause`.
    pub fn crash(self: &Arc<Self>, pause: Duration) {
        if !self.up.swap(false, Ordering::SeqCst) {
            return;
        }
        let target = Arc::clone(self);
        thread::spawn(move || {
            target.end();
            thread::sleep(pause);
            let Ok(listener) = TcpListener::bind(target.address) else {
                target.rig.note(&format!("target {} could not start again", target.id));
                return;
            };
            target.born.store(crate::wall_ms(), Ordering::SeqCst);
            target.up.store(true, Ordering::SeqCst);
            target.accept(listener);
            target.register_cold();
            target.rig.note(&format!("target {} is back", target.id));
        });
    }

    /// Answers a request that ran to its end.
    pub fn answer(&self, stream: &mut TcpStream, attempt: &str, body: &str) -> Then {
        self.answers.fetch_add(1, Ordering::SeqCst);
        let running = self.running.load(Ordering::SeqCst);
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: stamp.{}.{attempt}\r\n\
             X-Server-Load: {},{},{}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            running.min(u64::from(self.slots)),
            running.saturating_sub(u64::from(self.slots)),
            self.slots,
            body.len()
        );
        if stream.write_all(text.as_bytes()).is_ok() { Then::Keep } else { Then::Close }
    }

    /// Rejects a request without running it, because the target is full.
    pub fn shed(&self, stream: &mut TcpStream, attempt: &str) -> Then {
        self.answers.fetch_add(1, Ordering::SeqCst);
        if stream.write_all(shed_text(attempt).as_bytes()).is_ok() { Then::Keep } else { Then::Close }
    }
}

/// The answer of a target that is full.
pub fn shed_text(attempt: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n\
         Keep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
    )
}
