//! Stand-ins of the users' platform, targets and clients for the cases of the review.
//!
//! `rig CASE` starts the daemon of the deploy file as a separate process on loopback addresses, plays the case, writes
//! `review/N/record.txt` and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out. Only the standard library is used.

mod common;
mod drain;
mod endless;
mod http;
mod json;
mod lostwatch;
mod pause;
mod poison;
mod store;
mod target;
mod twice;

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use store::Store;

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(110);

/// Milliseconds of a time with its unit, `ms` or `s`.
pub fn millis(text: &str) -> u64 {
    if let Some(ms) = text.strip_suffix("ms") {
        return ms.parse::<f64>().unwrap_or(0.0) as u64;
    }
    (text.strip_suffix('s').and_then(|s| s.parse::<f64>().ok()).unwrap_or(0.0) * 1_000.0) as u64
}

pub fn wall_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

pub fn wall_ms() -> u64 {
    wall_micros() / 1_000
}

/// What a case shares with its stand-ins.
pub struct Rig {
    pub store: Store,
    pub started: Instant,
    pub trouble: bool,
    /// Free-form option of a case, from the variable VARIANT.
    pub variant: String,
    record: Mutex<File>,
    folder: PathBuf,
    children: Mutex<Vec<Child>>,
}

impl Rig {
    /// Writes a line with the time since the start to the record.
    pub fn note(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.record.lock().unwrap(), "{at:8.3} s  {line}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, line: &str) {
        self.note(line);
        // A closed output must not keep the case from ending its daemons.
        let _ = writeln!(std::io::stdout(), "{line}");
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Ends all daemons.
    pub fn end_all(&self) {
        for child in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }

    /// Starts a daemon with the command and the template of the deploy file.
    pub fn daemon(&self, spec: &DaemonSpec) -> Daemon {
        let ports: Vec<TcpListener> =
            (0..4).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let addresses: Vec<SocketAddr> = ports.iter().map(|p| p.local_addr().expect("an address")).collect();
        drop(ports);
        let daemon = Daemon {
            name: spec.name.clone(),
            front: addresses[0],
            ready: addresses[1],
            directory: addresses[2],
            settings: self.folder.join(format!("{}.ini", spec.name)),
            pid: Mutex::new(0),
        };
        let mut values: BTreeMap<String, String> = BTreeMap::new();
        let mut set = |k: &str, v: String| values.insert(k.into(), v);
        set("node_name", spec.name.clone());
        set("region", spec.region.clone());
        set("zone", spec.zone.clone());
        set("ip", "127.0.0.1".into());
        set("listen.front", addresses[0].to_string());
        set("listen.ready", addresses[1].to_string());
        set("listen.directory", addresses[2].to_string());
        set("internal_ports.0", addresses[3].port().to_string());
        set("provider.address", self.store.address.to_string());
        for (k, v) in [
            ("limits.cpu_share", "0.4"),
            ("limits.cores", "1"),
            ("limits.link_mbps", "2000.0"),
            ("bounds.grace", "6s"),
            ("bounds.config_apply", "2000ms"),
            ("bounds.drain", "2000ms"),
            ("bounds.max_shift", "0.15"),
            ("bounds.retry_budget_ratio", "0.2"),
            ("bounds.budget_window", "10s"),
            ("bounds.retry_slack", "60"),
            ("bounds.cold_overrun", "1.5"),
            ("bounds.cold_slack", "5"),
        ] {
            set(k, v.into());
        }
        let zones = [
            ("muscat-a", "muscat"),
            ("sohar-a", "sohar"),
            ("salalah-a", "salalah"),
            ("muscat-b", "muscat"),
            ("sohar-b", "sohar"),
            ("salalah-b", "salalah"),
        ];
        let template = fs::read_to_string("deploy/settings.ini").expect("the template of the deploy file");
        let text = fill(&template, &values, &zones);
        fs::write(&daemon.settings, text).expect("a settings file in the temporary folder");
        self.launch(&daemon);
        daemon
    }

    /// Starts the process of a daemon, also once more.
    pub fn launch(&self, daemon: &Daemon) {
        let log = File::create(self.folder.join(format!("{}.log", daemon.name))).expect("a log file");
        let run = deploy_command();
        let mut words = run.split(' ');
        let child = Command::new(words.next().expect("a command"))
            .args(words)
            .env_clear()
            .env("MEDLARSTAIR_CONFIG", &daemon.settings)
            .env("PATH", "/usr/bin:/bin")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file");
        *daemon.pid.lock().unwrap() = child.id();
        self.note(&format!("daemon {} started", daemon.name));
        self.children.lock().unwrap().push(child);
    }

    /// Sends a signal to a daemon, for example `TERM`.
    pub fn signal(&self, daemon: &Daemon, name: &str) {
        let pid = *daemon.pid.lock().unwrap();
        self.note(&format!("SIG{name} to daemon {}", daemon.name));
        let sent = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
        if !sent.is_ok_and(|s| s.success()) {
            self.note("the signal was not sent");
        }
    }

    /// Whether the process of a daemon has ended.
    pub fn has_ended(&self, daemon: &Daemon) -> bool {
        let pid = *daemon.pid.lock().unwrap();
        let mut children = self.children.lock().unwrap();
        children.iter_mut().filter(|c| c.id() == pid).any(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Waits until a daemon is ready. Ends the case if it does not become ready.
    pub fn wait_ready(&self, daemon: &Daemon) {
        for _ in 0..400 {
            if daemon.is_ready() {
                self.note(&format!("daemon {} is ready", daemon.name));
                return;
            }
            thread::sleep(Duration::from_millis(25));
        }
        cannot_run(self, "a daemon did not become ready");
    }
}

/// A daemon to start.
pub struct DaemonSpec {
    pub name: String,
    pub region: String,
    pub zone: String,
}

impl DaemonSpec {
    pub fn new(name: &str, zone: &str) -> Self {
        let region = zone.split('-').next().unwrap_or(zone).to_owned();
        Self { name: name.into(), region, zone: zone.into() }
    }
}

/// A daemon that runs as a process of its own.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    pid: Mutex<u32>,
}

impl Daemon {
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut reader = BufReader::new(stream);
        let sent = reader.get_mut().write_all(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        sent.is_ok() && http::read_message(&mut reader, true).is_some_and(|m| m.status() == 200)
    }

    /// Resident memory of its process in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let pid = *self.pid.lock().unwrap();
        let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1_024
    }
}

/// The command of the role in the deploy file.
fn deploy_command() -> String {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let line = text.lines().find(|l| l.starts_with("run")).expect("a command");
    line.split('"').nth(1).expect("a command in quotes").to_owned()
}

/// Fills in the template as the platform does: values, and the section of the zones.
fn fill(template: &str, values: &BTreeMap<String, String>, zones: &[(&str, &str)]) -> String {
    let mut text = template.to_owned();
    if let (Some(start), Some(end)) = (text.find("{{#zones}}"), text.find("{{/zones}}")) {
        let inner = text[start + "{{#zones}}".len()..end].to_owned();
        let filled: String = zones
            .iter()
            .map(|(zone, region)| inner.replace("{{@}}", zone).replace("{{.}}", region))
            .collect();
        text.replace_range(start..end + "{{/zones}}".len(), &filled);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// Ends the case with the result that it could not run.
pub fn cannot_run(rig: &Rig, why: &str) -> ! {
    rig.say(&format!("the case could not run: {why}"));
    rig.end_all();
    std::process::exit(2);
}

/// The case with this name.
fn find(name: &str) -> Option<fn(&Arc<Rig>) -> bool> {
    match name {
        "twice" => Some(twice::play),
        "drain" => Some(drain::play),
        "lostwatch" => Some(lostwatch::play),
        "poison" => Some(poison::play),
        "endless" => Some(endless::play),
        "pause" => Some(pause::play),
        _ => None,
    }
}

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let folder = std::env::args().nth(2).unwrap_or_else(|| ".".into());
    let Some(case) = find(&name) else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(2);
    };
    let temporary = std::env::temp_dir().join(format!("medlarstair-review-{}", std::process::id()));
    let record = fs::create_dir_all(&temporary).and_then(|()| File::create(format!("{folder}/record.txt")));
    let Ok(record) = record else {
        eprintln!("the record or the temporary folder cannot be written");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let rig = Arc::new(Rig {
        store: Store::start(),
        started: Instant::now(),
        trouble,
        variant: std::env::var("VARIANT").unwrap_or_default(),
        record: Mutex::new(record),
        folder: temporary,
        children: Mutex::default(),
    });
    rig.note(&format!("case {name}, trouble {trouble}"));
    let playing = Arc::clone(&rig);
    let play = thread::spawn(move || case(&playing));
    while !play.is_finished() && rig.started.elapsed() < LIMIT {
        thread::sleep(Duration::from_millis(20));
    }
    if !play.is_finished() {
        cannot_run(&rig, "it took too long");
    }
    let Ok(broken) = play.join() else {
        cannot_run(&rig, "a stand-in failed");
    };
    rig.say(if broken { "the rule was BROKEN" } else { "the rule held" });
    rig.end_all();
    std::process::exit(i32::from(broken));
}
