//! Test cluster of daemon processes and in-process stand-ins on loopback addresses.

#![allow(dead_code)]

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use awc::Client;
use awc::http::StatusCode;
use medlarstair::protocol::border::{InForceReport, LookupAnswer, OpsReport, RefusalBody, Timeline};
use medlarstair_standins::{Deployment, EntryPlan, RunningDeployment};
use rustix::process::{Pid, Signal, kill_process};

/// Time limit for events that normally take a few seconds at most.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Address blocks `127.<block>.0.0/16` available to test clusters.
const BLOCKS: std::ops::Range<u32> = 20..250;

/// Number of clusters started by this process.
static CLUSTER_COUNT: AtomicU32 = AtomicU32::new(0);

/// Deployment with one daemon process per entry VM. Dropping it kills the daemons and stops the stand-ins.
pub struct Cluster {
    pub plan: Deployment,
    pub platform: RunningDeployment,
    pub dir: PathBuf,
    daemons: Vec<Option<Child>>,
    pub client: Client,
}

/// Response with the headers that the tests check.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub outcome: Option<String>,
    pub reason: Option<String>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn refusal(&self) -> RefusalBody {
        serde_json::from_slice(&self.body).expect("a refusal has a JSON body")
    }
}

/// Request to the daemon of the entry VM `entry`.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    pub entry: u32,
    pub customer: &'a str,
    pub service: &'a str,
    pub path: &'a str,
    pub headers: Vec<(&'static str, String)>,
    pub body: &'a str,
}

impl Cluster {
    /// Starts the stand-ins and all daemons, and waits until all daemons are ready.
    pub async fn start(name: &str, customize: impl Fn(&mut Deployment)) -> Self {
        let mut cluster = Self::start_platform(name, customize);
        for node in 1..=cluster.plan.entries.len() as u32 {
            cluster.spawn(node);
        }
        cluster.wait_ready().await;
        cluster
    }

    /// Starts only the stand-ins, in the first address block without an address in use.
    pub fn start_platform(name: &str, customize: impl Fn(&mut Deployment)) -> Self {
        let seed = std::process::id() * 7 + CLUSTER_COUNT.fetch_add(1, Ordering::Relaxed) * 31;
        for attempt in 0..BLOCKS.len() as u32 {
            let block = BLOCKS.start + (seed + attempt) % BLOCKS.len() as u32;
            let mut plan = Deployment::named(name, block as u8).expect("the deployment exists");
            customize(&mut plan);
            let Ok(platform) = plan.start() else {
                continue;
            };
            let dir = std::env::temp_dir().join(format!("medlarstair-{}-{block}", std::process::id()));
            plan.write(&dir).expect("the settings can be written");
            let daemons = plan.entries.iter().map(|_| None).collect();
            return Self { plan, platform, dir, daemons, client: new_client() };
        }
        panic!("all loopback address blocks are in use");
    }

    pub fn entry(&self, node: u32) -> &EntryPlan {
        &self.plan.entries[node as usize - 1]
    }

    /// Starts a daemon. It logs to a file in the folder of the cluster.
    pub fn spawn(&mut self, node: u32) {
        let settings = self.settings_file(node);
        let log = File::options().create(true).append(true).open(self.dir.join(format!("n{node}.log")));
        let log = log.expect("the log file can be opened");
        let child = Command::new(env!("CARGO_BIN_EXE_medlarstaird"))
            .arg("--settings")
            .arg(settings)
            .stdout(log.try_clone().expect("the log file handle can be duplicated"))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        self.daemons[node as usize - 1] = Some(child.expect("the daemon can be started"));
    }

    pub fn settings_file(&self, node: u32) -> PathBuf {
        self.dir.join("settings").join(format!("n{node}.ini"))
    }

    pub fn operator_token(&self) -> String {
        std::fs::read_to_string(self.dir.join("settings/operator.token")).expect("the token was written")
    }

    fn child(&mut self, node: u32) -> &mut Child {
        self.daemons[node as usize - 1].as_mut().expect("the daemon is running")
    }

    /// Sends a signal to a running daemon.
    pub fn signal(&mut self, node: u32, signal: Signal) {
        let id = self.child(node).id();
        let pid =
            Pid::from_raw(i32::try_from(id).expect("a process id fits")).expect("a process id is not zero");
        kill_process(pid, signal).expect("the daemon can be signalled");
    }

    /// Kills a daemon with SIGKILL.
    pub fn kill(&mut self, node: u32) {
        let mut child = self.daemons[node as usize - 1].take().expect("the daemon is running");
        child.kill().expect("the daemon can be killed");
        child.wait().expect("the daemon exits");
    }

    /// Waits until a daemon exits by itself.
    pub async fn wait_exit(&mut self, node: u32) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child(node).try_wait().expect("the daemon can be waited for") {
                self.daemons[node as usize - 1] = None;
                return status;
            }
            assert!(started.elapsed() < TIMEOUT, "daemon {node} has not exited within {TIMEOUT:?}");
            sleep_ms(20).await;
        }
    }

    pub fn url(&self, node: u32, path: &str) -> String {
        format!("http://{}{path}", self.entry(node).http.real)
    }

    pub async fn get_text(&self, node: u32, path: &str) -> Option<String> {
        let mut res = self.client.get(self.url(node, path)).send().await.ok()?;
        let body = res.body().await.ok()?;
        (res.status() == StatusCode::OK).then(|| String::from_utf8_lossy(&body).into_owned())
    }

    async fn get_ops<T: serde::de::DeserializeOwned>(&self, node: u32, path: &str) -> Option<T> {
        let req = self.client.get(self.url(node, path)).bearer_auth(self.operator_token());
        let mut res = req.send().await.ok()?;
        res.json().await.ok()
    }

    pub async fn in_force(&self, node: u32) -> Option<InForceReport> {
        self.get_ops(node, "/ops/in-force").await
    }

    pub async fn report(&self, node: u32) -> Option<OpsReport> {
        self.get_ops(node, "/ops/report").await
    }

    pub async fn timeline(&self, node: u32) -> Option<Timeline> {
        self.get_ops(node, "/ops/timeline").await
    }

    pub async fn lookup(&self, node: u32, customer: &str, service: &str) -> Option<LookupAnswer> {
        let path = format!("/v1/lookup?customer={customer}&service={service}");
        self.client.get(self.url(node, &path)).send().await.ok()?.json().await.ok()
    }

    /// Writes a configuration key through a daemon. `expect` is its current revision, or 0 if it must not exist.
    pub async fn put_config(&self, node: u32, key: &str, value: &str, expect: u64) -> (StatusCode, String) {
        let url = self.url(node, &format!("/ops/config/{key}?expect={expect}"));
        let req = self.client.put(url).bearer_auth(self.operator_token());
        let mut res = req.send_body(value.to_owned()).await.expect("the daemon answers");
        let body = res.body().await.expect("the response is complete");
        (res.status(), String::from_utf8_lossy(&body).into_owned())
    }

    /// Waits until every running daemon can dispatch requests and all have the same configuration in force.
    pub async fn wait_ready(&self) {
        let running = self.running_nodes();
        let count = running.len();
        for node in running {
            let is_ready = async || {
                let in_force = self.in_force(node).await?;
                let report = self.report(node).await?;
                let agreeing =
                    in_force.members.iter().filter(|m| m.in_force && m.liveness == "alive").count();
                let has_slots = report.limits.iter().any(|l| l.key.starts_with("slots/") && l.usable > 0);
                // A daemon that has just started dispatches nothing to backend servers that may be leaving.
                let status = self.get_text(node, "/status").await?;
                // Before the first refresh the status has no such lines.
                let dispatches = status.contains(" send ") && !status.contains("no-slots");
                (agreeing >= count && has_slots && dispatches).then_some(())
            };
            wait_for(&format!("daemon {node} is ready"), is_ready).await;
        }
    }

    /// Nodes whose daemons are running.
    pub fn running_nodes(&self) -> Vec<u32> {
        (1..=self.daemons.len() as u32).filter(|node| self.daemons[*node as usize - 1].is_some()).collect()
    }

    pub async fn send(&self, req: &Request<'_>) -> Option<Reply> {
        let path = format!("/v1/call/{}/{}{}", req.customer, req.service, req.path);
        let mut out = self.client.post(self.url(req.entry, &path));
        for (name, value) in &req.headers {
            out = out.insert_header((*name, value.clone()));
        }
        let mut res = out.send_body(req.body.to_owned()).await.ok()?;
        let text = |name: &str| res.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let (outcome, reason) = (text("medlar-outcome"), text("medlar-reason"));
        let body = res.body().limit(64 << 20).await.ok()?.to_vec();
        Some(Reply { status: res.status(), outcome, reason, body })
    }

    /// Number of executions with this token on all backend servers.
    pub fn run_count(&self, token: &str) -> usize {
        self.platform.backends.values().flat_map(|b| b.runs()).filter(|run| run.token == token).count()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.daemons.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

pub fn new_client() -> Client {
    Client::builder().timeout(TIMEOUT).finish()
}

pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Waits until `check` returns a value, for at most [`TIMEOUT`].
pub async fn wait_for<T>(what: &str, check: impl AsyncFn() -> Option<T>) -> T {
    wait_within(what, TIMEOUT, check).await
}

/// Waits until `check` returns a value, for at most `limit`.
pub async fn wait_within<T>(what: &str, limit: Duration, check: impl AsyncFn() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(started.elapsed() < limit, "{what}: not within {limit:?}");
        sleep_ms(20).await;
    }
}

pub fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}
