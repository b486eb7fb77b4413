//! A daemon that runs as a process of its own, with the command of the deploy file.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::read_message;

/// Time in which a daemon has to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

const SIGTERM: i32 = 15;

/// Processes that were started. A run that takes too long ends them.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_all() {
    for pid in STARTED.lock().unwrap().iter() {
        signal(*pid, 9);
    }
}

/// Starts a process with the command of the deploy file.
fn spawn(settings: &Path) -> std::io::Result<Child> {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(settings.with_extension("log"))?;
    let child = Command::new("target/release/medlarstair")
        .env("MEDLARSTAIR_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    STARTED.lock().unwrap().push(child.id());
    Ok(child)
}

/// Location and resources of a daemon, and the store that it uses.
pub struct Settings<'a> {
    pub name: &'a str,
    pub ip: &'a str,
    pub region: &'a str,
    pub zone: &'a str,
    /// Zones of the deployment with their regions.
    pub zones: &'a [(&'a str, &'a str)],
    pub store: &'a str,
    /// The section `vm`.
    pub vm: &'a str,
    /// The section `limits`.
    pub limits: &'a str,
}

/// A running daemon. It is killed on drop.
pub struct Daemon {
    child: Child,
    settings: PathBuf,
    pub front: String,
    pub ready: String,
    /// Address for look-ups.
    pub directory: String,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}

impl Daemon {
    /// Starts a daemon whose settings file lies in `folder`, and waits until it is ready.
    pub fn start(settings: &Settings<'_>, folder: &Path) -> std::io::Result<Self> {
        let (front, ready) = (format!("{}:8144", settings.ip), format!("{}:8140", settings.ip));
        let zones: String = settings.zones.iter().map(|(z, r)| format!("{z} = {r}\n")).collect();
        let text = format!(
            "[node]\nname = {}\nregion = {}\ndomain = {}\n\n[domains]\n{zones}\n[listen]\ncallers = {front}\n\
             ready = {ready}\ndirectory = {ip}:8143\nmetrics = {ip}:7660\npeers = {ip}:7661\n\n[vm]\n{}\n\n\
             [platform]\nstore = {}\n\n[limits]\n{}\n",
            settings.name,
            settings.region,
            settings.zone,
            settings.vm,
            settings.store,
            settings.limits,
            ip = settings.ip,
        );
        let path: PathBuf = folder.join(format!("{}.ini", settings.name));
        std::fs::File::create(&path)?.write_all(text.as_bytes())?;
        let child = spawn(&path)?;
        let directory = format!("{}:8143", settings.ip);
        let daemon = Self { child, settings: path, front, ready, directory };
        daemon.wait_until_ready()?;
        Ok(daemon)
    }

    /// Ends the process with SIGTERM, waits for its end and starts it again.
    pub fn roll(&mut self) -> std::io::Result<()> {
        signal(self.pid(), SIGTERM);
        self.child.wait()?;
        self.child = spawn(&self.settings)?;
        self.wait_until_ready()
    }

    /// Identity of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    fn wait_until_ready(&self) -> std::io::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(std::io::Error::other("the daemon is not ready"))
    }

    /// Asks the daemon as the platform does whether it is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || {
            let mut stream = TcpStream::connect(&self.ready)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            read_message(&mut BufReader::new(stream)).map(|m| m.status())
        };
        ask().is_ok_and(|status| status == 200)
    }
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, signal: i32) {
    unsafe extern "C" {
        fn kill(pid: i32, signal: i32) -> i32;
    }
    // SAFETY: a system call without pointers.
    unsafe { kill(pid as i32, signal) };
}
