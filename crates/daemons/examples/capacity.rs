//! Measures running daemons: cost of control traffic, propagation time of a configuration change, failure detection
//! time, cost of a lookup and added latency. `scripts/capacity` starts the daemons and this program.

use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use awc::Client;
use futures_util::future::join_all;
use medlarstair::protocol::border::InForceReport;
use medlarstair_standins::{Deployment, KvCalls};

/// Time limit of each wait.
const TIMEOUT: Duration = Duration::from_secs(90);

/// Polling interval for up to 50 daemons. It is longer for larger fleets: a poll takes longer there, and polling would
/// otherwise dominate the measurement.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, FromArgs)]
/// measures running daemons
struct Args {
    /// folder that `standin flat` has written
    #[argh(option)]
    dir: PathBuf,
    /// file with one process id per daemon
    #[argh(option)]
    pids: PathBuf,
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Scale(Scale),
    Detect(Detect),
    Lookups(Lookups),
    Latency(Latency),
}

/// control work of all daemons and the time until a change is in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "scale")]
struct Scale {
    /// length of the measurement in s
    #[argh(option, default = "20")]
    seconds: u64,
}

/// time until all other members of its failure domain consider a daemon dead
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "detect")]
struct Detect {
    /// the daemon
    #[argh(option)]
    victim: u32,
    /// milliseconds since 1970 at which it was killed
    #[argh(option)]
    since_ms: u64,
}

/// lookups per second and core of the first daemon
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "lookups")]
struct Lookups {
    /// keep-alive connections
    #[argh(option, default = "64")]
    connections: usize,
    /// length of the measurement in s
    #[argh(option, default = "8")]
    seconds: u64,
}

/// latency of requests through the first daemon and directly to the backend server
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "latency")]
struct Latency {
    /// requests of each kind
    #[argh(option, default = "4000")]
    requests: usize,
    /// pause between two requests in ms
    #[argh(option, default = "1")]
    pause_ms: u64,
}

struct Fleet {
    plan: Deployment,
    token: String,
    pids: Vec<u32>,
    client: Client,
}

/// CPU time, memory and traffic of one daemon. Datagrams and bytes are listed as sent and received.
#[derive(Debug, Clone, Copy, Default)]
struct Counters {
    cpu: Duration,
    resident_kb: f64,
    datagrams: [f64; 2],
    bytes: [f64; 2],
}

/// Selects one value of the counters.
type Value = fn(&Counters) -> f64;

fn read(path: impl AsRef<Path>) -> String {
    fs::read_to_string(path).unwrap_or_default()
}

/// CPU time used by all threads of a process.
fn cpu_time(pid: u32) -> Duration {
    let mut nanos = 0;
    for task in fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten() {
        let stat = read(task.path().join("schedstat"));
        nanos += stat.split(' ').next().and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    }
    Duration::from_nanos(nanos)
}

fn resident_kb(pid: u32) -> f64 {
    let status = read(format!("/proc/{pid}/status"));
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0.0)
}

fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Wall-clock time since 1970.
fn wall_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Fleet {
    fn load(args: &Args) -> Self {
        let plan =
            serde_json::from_str(&read(args.dir.join("deployment.json"))).expect("deployment.json is valid");
        let token = read(args.dir.join("settings/operator.token")).trim().to_owned();
        let pids = read(&args.pids).lines().map(|pid| pid.parse().expect("a process id")).collect();
        Self { plan, token, pids, client: Client::builder().timeout(Duration::from_secs(10)).finish() }
    }

    fn url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.plan.entries[index].http.front)
    }

    async fn get_text(&self, url: String) -> Option<String> {
        let mut res = self.client.get(url).send().await.ok()?;
        Some(String::from_utf8_lossy(&res.body().await.ok()?).into_owned())
    }

    async fn in_force(&self, index: usize) -> Option<InForceReport> {
        let req = self.client.get(self.url(index, "/ops/in-force")).bearer_auth(&self.token);
        req.send().await.ok()?.json().limit(4 << 20).await.ok()
    }

    async fn counters(&self, index: usize) -> Counters {
        // A failed read must not count as zero, since the difference would then be the total since the start.
        let text = loop {
            if let Some(text) = self.get_text(self.url(index, "/metrics")).await {
                break text;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        let sent_and_received = |name: &str| {
            [
                metric(&text, &format!("medlarstair_{name}_sent_total")),
                metric(&text, &format!("medlarstair_{name}_received_total")),
            ]
        };
        let pid = self.pids[index];
        Counters {
            cpu: cpu_time(pid),
            resident_kb: resident_kb(pid),
            datagrams: sent_and_received("datagrams"),
            bytes: sent_and_received("peer_bytes"),
        }
    }

    async fn all_counters(&self) -> Vec<Counters> {
        join_all((0..self.pids.len()).map(|i| self.counters(i))).await
    }

    async fn kv_calls(&self) -> KvCalls {
        let text = self.get_text(format!("http://{}/calls", self.plan.kv.front)).await.unwrap_or_default();
        serde_json::from_str(&text).unwrap_or_default()
    }

    /// Waits until the report of a daemon satisfies `accepts`. Returns the time since `start` in s, infinite after
    /// [`TIMEOUT`].
    async fn wait(&self, index: usize, start: Duration, accepts: impl Fn(&InForceReport) -> bool) -> f64 {
        loop {
            if let Some(report) = self.in_force(index).await
                && accepts(&report)
            {
                return (wall_time() - start).as_secs_f64();
            }
            if wall_time() - start > TIMEOUT {
                return f64::INFINITY;
            }
            tokio::time::sleep(POLL_INTERVAL * self.pids.len().div_ceil(50) as u32).await;
        }
    }

    fn domain_of(&self, node: u32) -> &str {
        &self.plan.entries[node as usize - 1].place.name
    }

    /// Whether the daemon considers all members of its failure domain alive with the same configuration. Of other
    /// domains it only knows delegates.
    fn is_own_domain_settled(&self, report: &InForceReport) -> bool {
        let own = self.domain_of(report.node);
        report.members.iter().filter(|m| m.domain == own).all(|m| m.in_force && m.liveness == "alive")
    }

    async fn wait_all(&self, start: Duration, accepts: impl Fn(&InForceReport) -> bool) -> Vec<f64> {
        join_all((0..self.pids.len()).map(|i| self.wait(i, start, &accepts))).await
    }
}

fn total_calls(calls: &KvCalls) -> u64 {
    calls.get + calls.list + calls.watch + calls.put + calls.delete + calls.lease
}

fn print_times(name: &str, mut times: Vec<f64>) {
    let median_value = median(&mut times);
    println!("{name}_s median={median_value:.2} max={:.2}", times.last().copied().unwrap_or(0.0));
}

async fn scale(fleet: &Fleet, args: &Scale) {
    let count = fleet.pids.len() as u32;
    let settled = |r: &InForceReport| r.total == count && fleet.is_own_domain_settled(r);
    print_times("own_domain_settled", fleet.wait_all(wall_time(), settled).await);
    println!("daemons={count} calls_since_start={}", total_calls(&fleet.kv_calls().await));
    tokio::time::sleep(Duration::from_secs(5)).await;

    let (calls, before, start) = (fleet.kv_calls().await, fleet.all_counters().await, Instant::now());
    tokio::time::sleep(Duration::from_secs(args.seconds)).await;
    let (elapsed, after) = (start.elapsed().as_secs_f64(), fleet.all_counters().await);
    let called = total_calls(&fleet.kv_calls().await) - total_calls(&calls);
    println!("calls_per_s={:.2}", called as f64 / elapsed);
    let rows: [(&str, Value); 5] = [
        ("cpu_percent_of_a_core", |c| 100.0 * c.cpu.as_secs_f64()),
        ("datagrams_sent_per_s", |c| c.datagrams[0]),
        ("datagrams_received_per_s", |c| c.datagrams[1]),
        ("bytes_sent_per_s", |c| c.bytes[0]),
        ("bytes_received_per_s", |c| c.bytes[1]),
    ];
    for (name, value) in rows {
        let mut rates =
            before.iter().zip(&after).map(|(b, a)| (value(a) - value(b)) / elapsed).collect::<Vec<_>>();
        let median_value = median(&mut rates);
        println!("{name} median={median_value:.3} max={:.3}", rates.last().copied().unwrap_or(0.0));
    }
    let mut resident = after.iter().map(|c| c.resident_kb / 1e3).collect::<Vec<_>>();
    let median_value = median(&mut resident);
    println!("resident_MB median={median_value:.1} max={:.1}", resident.last().copied().unwrap_or(0.0));
    measure_change(fleet).await;
}

/// Measures the time until a configuration change written through the first daemon is in force on all daemons.
async fn measure_change(fleet: &Fleet) {
    let key = fleet.url(0, "/ops/config/topology");
    let current = fleet.client.get(&key).bearer_auth(&fleet.token).send().await;
    let current: serde_json::Value =
        current.expect("the daemon answers").json().await.expect("the key exists");
    let revision = current["revision"].as_u64().expect("an entry has a revision");
    let value = current["value"].as_str().expect("the key has a value").replace("initial", "changed");
    let put = fleet.client.put(format!("{key}?expect={revision}")).bearer_auth(&fleet.token);
    let start = wall_time();
    let mut answer = put.send_body(value).await.expect("the daemon answers");
    assert!(answer.status().is_success(), "the change was rejected: {}", answer.status());
    let written: serde_json::Value = answer.json().await.expect("the answer has the revision");
    let revision = written["revision"].as_u64().expect("the answer has the revision");
    print_times("change_in_force", fleet.wait_all(start, |r| r.highest_revision >= revision).await);
    print_times("change_seen_in_own_domain", fleet.wait_all(start, |r| fleet.is_own_domain_settled(r)).await);
}

async fn detect(fleet: &Fleet, args: &Detect) {
    let since = Duration::from_millis(args.since_ms);
    let dead = |r: &InForceReport| r.members.iter().any(|m| m.node == args.victim && m.liveness == "dead");
    let own = fleet.domain_of(args.victim);
    let nodes = 1..=fleet.pids.len() as u32;
    let others = nodes.filter(|n| *n != args.victim && fleet.domain_of(*n) == own).map(|n| n as usize - 1);
    print_times("dead_noticed", join_all(others.map(|i| fleet.wait(i, since, dead))).await);
}

async fn lookups(fleet: &Fleet, args: &Lookups) {
    let url = fleet.url(0, "/v1/lookup?customer=acme&service=desk");
    let until = Instant::now() + Duration::from_secs(args.seconds);
    let (pid, start) = (fleet.pids[0], Instant::now());
    let before = cpu_time(pid);
    let clients = (0..args.connections).map(|_| async {
        let client = Client::builder().timeout(Duration::from_secs(10)).finish();
        let mut answered = 0_u64;
        while Instant::now() < until {
            let mut res = client.get(&url).send().await.expect("the daemon answers");
            assert!(
                res.status().is_success() && !res.body().await.expect("the response is complete").is_empty()
            );
            answered += 1;
        }
        answered
    });
    let answered = join_all(clients).await.into_iter().sum::<u64>() as f64;
    let (elapsed, cpu) = (start.elapsed().as_secs_f64(), (cpu_time(pid) - before).as_secs_f64());
    println!(
        "lookups_per_s={:.0} cores_of_daemon={:.2} lookups_per_s_and_core={:.0}",
        answered / elapsed,
        cpu / elapsed,
        answered / cpu
    );
}

/// Returns the latency of a request in ms; `None` if it failed.
async fn request_latency_ms(client: &Client, url: &str) -> Option<f64> {
    let start = Instant::now();
    let mut res = client.get(url).insert_header(("medlar-rank", "urgent")).send().await.ok()?;
    let _ = res.body().await.ok()?;
    res.status().is_success().then(|| start.elapsed().as_secs_f64() * 1e3)
}

async fn latency(fleet: &Fleet, args: &Latency) {
    let direct = format!("http://{}/x?run_ms=0", fleet.plan.services[0].backends[0].http.front);
    let proxied = fleet.url(0, "/v1/call/acme/desk/x?run_ms=0");
    let urls = [Rc::from(direct), Rc::<str>::from(proxied)];
    let (mut times, mut failed) = ([Vec::new(), Vec::new()], [0, 0]);
    for i in 0..2 * args.requests {
        match request_latency_ms(&fleet.client, &urls[i % 2]).await {
            Some(ms) => times[i % 2].push(ms),
            None => failed[i % 2] += 1,
        }
        tokio::time::sleep(Duration::from_millis(args.pause_ms)).await;
    }
    let medians = times.each_mut().map(|times| median(times));
    println!(
        "median_ms direct={:.3} proxied={:.3} added={:.3} failed={failed:?}",
        medians[0],
        medians[1],
        medians[1] - medians[0]
    );
}

#[actix_rt::main]
async fn main() {
    let args = argh::from_env::<Args>();
    let fleet = Fleet::load(&args);
    match &args.command {
        Command::Scale(args) => scale(&fleet, args).await,
        Command::Detect(args) => detect(&fleet, args).await,
        Command::Lookups(args) => lookups(&fleet, args).await,
        Command::Latency(args) => latency(&fleet, args).await,
    }
}
