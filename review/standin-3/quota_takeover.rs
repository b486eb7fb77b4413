//! A machine is stopped and started again while the store turns another one away. Both divide the quota of one tenant.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Answer, Daemon, Record, Route, SURTIDOR, Target, config};
use crate::http::Reader;
use crate::store::{Store, Treatment};

const HOST: &str = "a.example";
const SERVICE: &str = "autoriza";
const KEY: &str = "5f2a77c09be14d63";

/// The tenant. Its name decides that the daemons choose the first machine to divide its quota, and the last one while the first
/// is away.
const TENANT: &str = "molino";

/// Quota of the tenant: requests per second, and the burst.
const RATE: usize = 300;
const BURST: usize = 30;

/// The bounds `quota_window`, `quota_overrun` and `quota_slack` of the site.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_OVERRUN: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;

/// Requests that the tenant sends in a second, over all machines. The site's quotas are 1.6 times the usual, and a hot tenant
/// sends 7.5 times its usual at most.
const USUAL_PER_S: f64 = RATE as f64 / 1.6;
const HOT_PER_S: f64 = USUAL_PER_S * 6.4;

/// Time for which the tenant is hot. The site has 6.5 s.
const HOT_TIME: Duration = Duration::from_millis(5_500);

/// Time for which the store turns the machine away. The site has 9 s.
const TURNED_AWAY_TIME: Duration = Duration::from_millis(7_500);

const MACHINES: [(&str, &str); 3] =
    [("front-mvd-a-1", "mvd-a"), ("front-lit-a-1", "lit-a"), ("front-nor-a-1", "nor-a")];

/// The machine that is stopped and started again, and the one that the store turns away.
const RESTARTED: usize = 0;
const TURNED_AWAY: usize = 2;

const TARGETS: usize = 12;
const CLIENTS: usize = 60;
const WORK: Duration = Duration::from_millis(20);

/// What the clients of the tenant share.
struct Clients {
    record: Arc<Record>,
    /// Address of each machine. `None` while it is stopped.
    fronts: [Mutex<Option<SocketAddr>>; 3],
    is_hot: AtomicBool,
    stopped: AtomicBool,
}

pub fn run(record: &Arc<Record>, dir: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op/config", Some(&config_with_quota()));
    let runs: Arc<Mutex<Vec<Instant>>> = Arc::default();
    for n in 0..TARGETS {
        let runs = Arc::clone(&runs);
        let handler = move |_: &_| {
            runs.lock().unwrap().push(Instant::now());
            Answer::Respond(WORK, b"held".to_vec())
        };
        let target = Target::start(&format!("i-{n}"), record, Arc::new(handler));
        let zone = MACHINES[n % MACHINES.len()].1;
        store.put(&format!("servers/{}", target.id), Some(&target.entry(SERVICE, zone, "ready", 1)));
    }
    let entrances = MACHINES.map(|_| store.entrance());
    let start = |n: usize| {
        let (name, zone) = MACHINES[n];
        Daemon::start(&SURTIDOR, dir, name, zone, entrances[n].address)
    };
    let (Some(mut restarted), Some(second), Some(third)) = (start(0), start(1), start(2)) else {
        return Verdict::NotRun;
    };
    let clients = Arc::new(Clients {
        record: Arc::clone(record),
        fronts: [&restarted, &second, &third].map(|daemon| Mutex::new(Some(daemon.front))),
        is_hot: AtomicBool::new(false),
        stopped: AtomicBool::new(false),
    });
    let threads: Vec<_> = (0..MACHINES.len() * CLIENTS)
        .map(|n| {
            let clients = Arc::clone(&clients);
            thread::spawn(move || clients.send_requests(n % MACHINES.len(), n / MACHINES.len()))
        })
        .collect();
    thread::sleep(Duration::from_secs(5));

    record.line(&format!("{} gets SIGTERM", restarted.name));
    *clients.fronts[RESTARTED].lock().unwrap() = None;
    restarted.signal("TERM");
    thread::sleep(Duration::from_millis(7_500));
    drop(restarted);
    record.line("the tenant sends 6.4 times its usual");
    clients.is_hot.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(1));
    if trouble {
        record.line(&format!("the store turns {} away", MACHINES[TURNED_AWAY].0));
        entrances[TURNED_AWAY].treat(Treatment::Busy);
    }
    let turned_away_at = Instant::now();
    match start(RESTARTED) {
        Some(daemon) => restarted = daemon,
        None => return Verdict::NotRun,
    }
    record.line(&format!("{} is started again and ready", restarted.name));
    *clients.fronts[RESTARTED].lock().unwrap() = Some(restarted.front);
    thread::sleep(HOT_TIME - Duration::from_secs(1));
    clients.is_hot.store(false, Ordering::SeqCst);
    thread::sleep(TURNED_AWAY_TIME.saturating_sub(turned_away_at.elapsed()));
    entrances[TURNED_AWAY].treat(Treatment::Serve);
    clients.stopped.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }

    let most = most_in_window(&mut runs.lock().unwrap());
    let quota = (RATE * QUOTA_WINDOW.as_secs() as usize + BURST) as f64;
    let limit = quota * (1.0 + QUOTA_OVERRUN) + QUOTA_SLACK;
    record.line(&format!("{most} requests ran in a window of 5 s, the limit is {limit:.0}"));
    if most as f64 > limit { Verdict::Broken } else { Verdict::Held }
}

/// The largest number of runs within a window of the quota.
fn most_in_window(runs: &mut [Instant]) -> usize {
    runs.sort();
    let mut first = 0;
    let mut most = 0;
    for (last, at) in runs.iter().enumerate() {
        while *at - runs[first] > QUOTA_WINDOW {
            first += 1;
        }
        most = most.max(last - first + 1);
    }
    most
}

fn config_with_quota() -> String {
    let route = Route {
        name: "fuel-hold",
        kind: "unsafe",
        prefix: "/hold/",
        aim_ms: 800,
        timeout_ms: Some(2_000),
        service: SERVICE,
    };
    let text = config(7, HOST, &[route], &[SERVICE]);
    format!(
        "{},\"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"rate_per_s\":{RATE},\"burst\":{BURST}}}]}}",
        text.strip_suffix('}').unwrap_or(&text)
    )
}

impl Clients {
    /// Sends requests to one machine, evenly in time with the other clients, on a kept connection.
    fn send_requests(&self, machine: usize, client: usize) {
        let all_clients = (MACHINES.len() * CLIENTS) as f64;
        let interval = |per_s: f64| Duration::from_secs_f64(all_clients / per_s);
        let mut due = Instant::now() + interval(USUAL_PER_S).mul_f64(client as f64 / CLIENTS as f64);
        let mut connection: Option<(SocketAddr, TcpStream)> = None;
        for n in 0.. {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let per_s = if self.is_hot.load(Ordering::SeqCst) { HOT_PER_S } else { USUAL_PER_S };
            due = (due + interval(per_s)).max(Instant::now());
            let front = *self.fronts[machine].lock().unwrap();
            let Some(front) = front else {
                connection = None;
                continue;
            };
            if connection.as_ref().is_none_or(|(address, _)| *address != front) {
                connection = TcpStream::connect(front).ok().map(|stream| (front, stream));
            }
            let Some((_, stream)) = &connection else { continue };
            if self.send(stream, client, &format!("{}-{client}-{n}", MACHINES[machine].0)).is_none() {
                connection = None;
            }
        }
    }

    /// Sends a request. Returns `None` if its connection can't be used again.
    fn send(&self, mut stream: &TcpStream, object: usize, attempt: &str) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
        let request = format!(
            "POST /hold/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Affinity-Key: {object}\r\n\
             X-Deadline-Ms: 6000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).ok()?;
        let answer = Reader::new(stream).message().ok()?;
        self.record.line(&format!("{attempt}: answered {}", answer.status()));
        let closes = answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        (!closes).then_some(())
    }
}
