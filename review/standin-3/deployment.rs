//! Stand-ins of targets, and the program under review as a separate process.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Reader};
use crate::json::quoted;

/// Path of the record of a run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        Arc::new(Self { file: Mutex::new(File::create(path).expect("record.txt")), started: Instant::now() })
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {text}");
    }
}

/// What a target does with a request.
pub enum Answer {
    /// Works for this long, then responds with a body.
    Respond(Duration, Vec<u8>),
}

type Handler = dyn Fn(&Message) -> Answer + Send + Sync;

/// Requests that a target runs at once. Further ones wait in its queue.
const SLOTS: usize = 3;

/// Time after which a target closes an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The slots of a target.
#[derive(Default)]
struct Slots {
    running: Mutex<usize>,
    waiting: AtomicUsize,
    freed: Condvar,
}

impl Slots {
    /// Does some work in a slot, and waits for one before.
    fn work<T>(&self, work: impl FnOnce() -> T) -> T {
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let mut running = self.running.lock().unwrap();
        while *running == SLOTS {
            running = self.freed.wait(running).unwrap();
        }
        *running += 1;
        drop(running);
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        let result = work();
        *self.running.lock().unwrap() -= 1;
        self.freed.notify_one();
        result
    }

    /// What the target tells of its load: running and waiting requests, and slots.
    fn load(&self) -> String {
        format!("{},{},{SLOTS}", self.running.lock().unwrap(), self.waiting.load(Ordering::SeqCst))
    }
}

/// A target of a service.
pub struct Target {
    pub id: String,
    pub address: SocketAddr,
    /// Set when the target has exited: it accepts nothing, and its connections are closed.
    exited: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    /// Time of its start, in milliseconds of the Unix epoch.
    born: u128,
}

impl Target {
    pub fn start(id: &str, record: &Arc<Record>, handler: Arc<Handler>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
        let target =
            Self { id: id.to_owned(), address, exited: Arc::default(), connections: Arc::default(), born };
        let slots = Arc::new(Slots::default());
        let (exited, connections, record, id) =
            (Arc::clone(&target.exited), Arc::clone(&target.connections), Arc::clone(record), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if exited.load(Ordering::SeqCst) {
                    return;
                }
                connections.lock().unwrap().push(stream.try_clone().unwrap());
                let (record, id, handler) = (Arc::clone(&record), id.clone(), Arc::clone(&handler));
                let slots = Arc::clone(&slots);
                thread::spawn(move || {
                    serve_target(&stream, &id, &record, &slots, &*handler);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        target
    }

    /// Ends the target: work in progress is lost.
    pub fn exit(&self) {
        self.exited.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address);
    }

    /// The entry that the target keeps in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str, seq_no: u64) -> String {
        format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":{},\"config_version\":\"v1\",\"zone\":{},\"slots\":{SLOTS}}},\
             \"status\":{{\"state\":{},\"seq_no\":{seq_no},\"cold_left\":\"0ms\"}},\"born\":{}}}",
            self.address,
            quoted(service),
            quoted(zone),
            quoted(state),
            self.born
        )
    }
}

fn serve_target(stream: &TcpStream, id: &str, record: &Record, slots: &Slots, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
    let mut reader = Reader::new(stream);
    while let Ok(message) = reader.message() {
        let attempt = message.header("x-attempt-id").unwrap_or("").to_owned();
        if message.word(1) == "/health" {
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nX-Server-Load: {}\r\nContent-Length: 0\r\n\r\n",
                slots.work(|| slots.load())
            );
            if (&mut &*stream).write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let head = || {
            let (load, idle) = (slots.load(), IDLE_TIMEOUT.as_secs());
            format!("X-Attempt-Id: {attempt}\r\nX-Server-Load: {load}\r\nKeep-Alive: timeout={idle}\r\n")
        };
        if message.header("x-expect-instance").is_some_and(|expected| expected != id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                head()
            );
            if (&mut &*stream).write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let body = slots.work(|| {
            record.line(&format!("target {id} runs {attempt} ({} {})", message.word(0), message.word(1)));
            let Answer::Respond(work, body) = handler(&message);
            thread::sleep(work);
            body
        });
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}X-Server-Stamp: {id}.{attempt}\r\nContent-Length: {}\r\n\r\n",
            head(),
            body.len()
        );
        let sent = (&mut &*stream).write_all(head.as_bytes()).and_then(|()| (&mut &*stream).write_all(&body));
        record.line(&format!(
            "target {id} has answered {attempt}: {}",
            if sent.is_ok() { "sent" } else { "not sent" }
        ));
        if sent.is_err() {
            return;
        }
    }
}

/// Ports below the range from which the system takes those of outgoing connections.
const FIRST_PORT: u16 = 12_000;

/// Returns a free port.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() * 53 % 15_000) as u16;
    loop {
        let port = FIRST_PORT + (start + NEXT.fetch_add(1, Ordering::SeqCst)) % 20_000;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// A deployment: its zones with their regions, a machine and the bounds that the settings hold.
pub struct Site {
    zones: [(&'static str, &'static str); 6],
    cpu_share: &'static str,
    memory_mb: &'static str,
    max_fds: &'static str,
    link_mbps: &'static str,
    drain: &'static str,
    config_apply: &'static str,
    retry_slack: &'static str,
    cold_slack: &'static str,
}

/// The site `mvtc-grid`, with a machine of zone `muscat-a`.
pub const MVTC_GRID: Site = Site {
    zones: [
        ("muscat-a", "muscat"),
        ("sohar-a", "sohar"),
        ("salalah-a", "salalah"),
        ("muscat-b", "muscat"),
        ("sohar-b", "sohar"),
        ("salalah-b", "salalah"),
    ],
    cpu_share: "0.2",
    memory_mb: "260",
    max_fds: "4100",
    link_mbps: "1000.0",
    drain: "2000ms",
    config_apply: "2000ms",
    retry_slack: "60",
    cold_slack: "5",
};

/// The site `bfh-topup-grown`, with a machine of zone `gent-a`.
pub const BFH_TOPUP: Site = Site {
    zones: [
        ("gent-a", "vlaanderen"),
        ("namur-a", "wallonie"),
        ("evere-a", "brussel"),
        ("antwerpen-b", "vlaanderen"),
        ("liege-b", "wallonie"),
        ("anderlecht-b", "brussel"),
    ],
    cpu_share: "0.5",
    memory_mb: "512",
    max_fds: "8192",
    link_mbps: "200",
    drain: "3000ms",
    config_apply: "3000ms",
    retry_slack: "270",
    cold_slack: "8",
};

/// The site `surtidor-uy-grown`, with a machine of zone `mvd-a`.
pub const SURTIDOR: Site = Site {
    zones: [
        ("mvd-a", "montevideo"),
        ("mvd-b", "montevideo"),
        ("lit-a", "litoral"),
        ("lit-b", "litoral"),
        ("nor-a", "norte"),
        ("nor-b", "norte"),
    ],
    cpu_share: "0.5",
    memory_mb: "512",
    max_fds: "8192",
    link_mbps: "200",
    drain: "3000ms",
    config_apply: "3000ms",
    retry_slack: "166",
    cold_slack: "8",
};

/// The program under review, started with the command and the template of the deploy file. It is killed on drop.
pub struct Daemon {
    child: Child,
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
}

/// Processes that have been started and not ended.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that are left. For a run that takes too long.
pub fn kill_processes() {
    for id in PROCESSES.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        PROCESSES.lock().unwrap().retain(|id| *id != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Starts a daemon and waits until it is ready. Its log goes to the folder `dir`. Returns `None` if it does not start.
    pub fn start(site: &Site, dir: &Path, name: &str, zone: &str, store: SocketAddr) -> Option<Self> {
        let address = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let (front, ready, directory) = (address(), address(), address());
        let region = site.zones.iter().find(|(z, _)| *z == zone)?.1;
        let fields = [
            ("node_name", name.to_owned()),
            ("region", region.to_owned()),
            ("zone", zone.to_owned()),
            ("ip", "127.0.0.1".to_owned()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.directory", directory.to_string()),
            ("internal_ports.0", free_port().to_string()),
            ("internal_ports.1", free_port().to_string()),
            ("limits.cpu_share", site.cpu_share.to_owned()),
            ("limits.cores", "1".to_owned()),
            ("limits.link_mbps", site.link_mbps.to_owned()),
            ("limits.memory_mb", site.memory_mb.to_owned()),
            ("limits.max_fds", site.max_fds.to_owned()),
            ("provider.address", store.to_string()),
            ("bounds.grace", "6s".to_owned()),
            ("bounds.config_apply", site.config_apply.to_owned()),
            ("bounds.drain", site.drain.to_owned()),
            ("bounds.max_shift", "0.15".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_window", "10s".to_owned()),
            ("bounds.retry_slack", site.retry_slack.to_owned()),
            ("bounds.cold_overrun", "1.5".to_owned()),
            ("bounds.cold_slack", site.cold_slack.to_owned()),
        ];
        let settings = dir.join(format!("{name}.ini"));
        fs::write(&settings, render(&fs::read_to_string("deploy/settings.ini").ok()?, site, &fields)).ok()?;
        let log = File::create(dir.join(format!("{name}.log"))).ok()?;
        let child = Command::new("target/release/medlarstair")
            .env("MEDLARSTAIR_CONFIG", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().ok()?)
            .stdout(log)
            .spawn()
            .ok()?;
        PROCESSES.lock().unwrap().push(child.id());
        let mut daemon = Self { child, name: name.to_owned(), front, ready, directory };
        let ends = Instant::now() + Duration::from_secs(15);
        while Instant::now() < ends && !daemon.has_exited() {
            if daemon.is_ready() {
                return Some(daemon);
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Whether the readiness check gets a 200.
    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .is_some_and(|m| m.status() == 200)
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Sends a signal, by its name, to the process.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args([&format!("-{signal}"), &self.child.id().to_string()]).status();
    }
}

/// Fills the fields into the template of the settings, with one line for each zone.
fn render(template: &str, site: &Site, fields: &[(&str, String)]) -> String {
    let zones: String = site.zones.iter().map(|(zone, region)| format!("{zone} = {region}\n")).collect();
    let mut text = template.to_owned();
    if let (Some(start), Some(end)) = (text.find("{{#zones}}"), text.find("{{/zones}}")) {
        text.replace_range(start..end + "{{/zones}}".len(), &zones);
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    let lines = text.lines().map(|line| line.split("{{").next().unwrap_or(""));
    lines.collect::<Vec<_>>().join("\n") + "\n"
}

/// Sends a request on a new connection and reads the response. `None` if there is none within some seconds.
pub fn call(address: SocketAddr, text: &str) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    (&mut &stream).write_all(text.as_bytes()).ok()?;
    Reader::new(&stream).message().ok()
}

/// A folder for settings and logs, removed on drop.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("medlarstair-review-3-{}", std::process::id()));
        fs::create_dir_all(&path).expect("temporary folder");
        Self(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub prefix: &'a str,
    pub aim_ms: u64,
    pub timeout_ms: Option<u64>,
    pub service: &'a str,
}

/// A configuration of the operator, with one host.
pub fn config(version: u32, host: &str, routes: &[Route<'_>], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|r| {
            let timeout = r.timeout_ms.map_or(String::new(), |ms| format!("\"timeout\":\"{ms}ms\","));
            format!(
                "{{\"name\":{},\"kind\":{},\"aim\":\"{}ms\",\"priority\":1,\"affinity\":true,\"match\":{{\"prefix\":{}}},\
                 \"action\":{{\"service\":{},{timeout}\"max_attempts\":2,\"home_regions\":[]}}}}",
                quoted(r.name),
                quoted(r.kind),
                r.aim_ms,
                quoted(r.prefix),
                quoted(r.service)
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":{},\"health_path\":\"/health\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\
                 \"cold_start\":\"3s\",\"cold_per_s\":3.5}}",
                quoted(name)
            )
        })
        .collect();
    format!(
        "{{\"config_version\":\"{version:08x}\",\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\"listeners\":[{{\"host\":{},\"policy\":[{}]}}],\
         \"clusters\":[{}]}}",
        quoted(host),
        routes.join(","),
        services.join(",")
    )
}
