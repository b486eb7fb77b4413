//! A daemon whose first registration is written late: its entry is lost with an old lease, and it goes on as if it were
//! listed (rule QUOTA).

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{Connection, Deployment, HOST, SURTIDOR as SITE, resolve};
use crate::http::read_message;
use crate::record::Record;
use crate::target::Work;

/// Quota of the tenant in the configuration.
const RATE_PER_S: f64 = 100.0;
const BURST: f64 = 100.0;
/// Usual requests of the tenant: the quotas are 1.6 times the usual.
const USUAL_PER_S: f64 = RATE_PER_S / 1.6;
/// Factor by which the tenant sends more than its usual, and for how long: those of the site's list of disruptions.
const HOT: f64 = 7.5;
const HOT_FOR: Duration = Duration::from_millis(6_500);
/// Bounds of the rule.
const WINDOW: Duration = Duration::from_secs(5);
const OVERRUN: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Delay of the late write; the pages say 1 to 6 s.
const LATE: Duration = Duration::from_millis(2_500);
const API_KEY: &str = "dedev3nax7u27gxprymh";
/// Interval between two writes of a target, and length of the time in which answers are lost.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const LOST_FOR: Duration = Duration::from_millis(4_500);
/// Number of clients in each zone with a daemon.
const CLIENTS_PER_ZONE: usize = 6;
/// Time for which clients keep an answer of the directory.
const TTL: Duration = Duration::from_secs(1);

/// Plays the case. Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let mut deployment =
        Deployment::start(record, &SITE, |_| Work { time: Duration::from_millis(30), bytes: 300 })?;
    send_heartbeats(&deployment);
    sleep(Duration::from_secs(4));
    if has_trouble {
        deployment.entrances[0].lose_next_write(LATE);
        record.line("the store will lose the answer of one write and do it 2.5 s later");
    }
    let (writes, since) = (deployment.store.writes(), Instant::now());
    deployment.daemons[0].roll()?;
    record.line(&format!("{} was stopped with SIGTERM and started again", SITE.daemons[0].0));
    sleep(LOST_FOR.saturating_sub(since.elapsed()));
    let (done, lost) = (deployment.store.writes() - writes, u64::from(has_trouble));
    record.line(&format!("in 4.5 s, {lost} of {} writes was lost", done + lost));
    println!("{lost} of {} writes was lost", done + lost);
    for _ in 0..6 {
        sleep(Duration::from_secs(1));
        let listed = deployment.store.keys("medlarstair/daemon/").join(", ");
        record.line(&format!("daemons listed in the store: {listed}"));
    }
    play_tenant(record, &deployment)
}

/// Lets each target write its heartbeat until the process ends.
fn send_heartbeats(deployment: &Deployment) {
    let store = Arc::clone(&deployment.store);
    let keys: Vec<String> = deployment.targets.iter().map(|t| format!("servers/{}", t.id)).collect();
    spawn(move || {
        loop {
            keys.iter().for_each(|key| store.heartbeat(key));
            sleep(HEARTBEAT);
        }
    });
}

/// Lets the tenant send more than its usual. Returns whether more of its requests ran than the rule allows.
fn play_tenant(record: &Arc<Record>, deployment: &Deployment) -> Outcome {
    let stopped = Arc::new(AtomicBool::new(false));
    let count = SITE.daemons.len() * CLIENTS_PER_ZONE;
    let interval = Duration::from_secs_f64(count as f64 / (USUAL_PER_S * HOT));
    let mut clients = Vec::new();
    for (n, (_, zone)) in SITE.daemons.iter().enumerate() {
        let region = SITE.zones.iter().find(|(z, _)| z == zone).map_or("", |(_, r)| r);
        for client in 0..CLIENTS_PER_ZONE {
            let (directory, stopped) = (deployment.daemons[n].directory.clone(), Arc::clone(&stopped));
            let client = Client { name: format!("{n}-{client}"), directory, region, zone };
            sleep(interval / count as u32);
            clients.push(spawn(move || client.run(interval, &stopped)));
        }
    }
    sleep(HOT_FOR);
    stopped.store(true, Ordering::SeqCst);
    let sent: usize = clients.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    sleep(Duration::from_millis(200));
    let runs = deployment.targets.iter().flat_map(|t| t.runs());
    let mut began: Vec<Instant> = runs.map(|r| r.began).collect();
    began.sort();
    let most =
        (0..began.len()).map(|n| began[n..].partition_point(|t| *t < began[n] + WINDOW)).max().unwrap_or(0);
    let limit = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERRUN) + SLACK;
    let ran = began.len();
    let text =
        format!("{sent} requests sent, {ran} ran, at most {most} in a window of 5 s; the limit is {limit}");
    record.line(&text);
    println!("{text}");
    Ok(most as f64 > limit)
}

/// A client of a zone. It asks the nearest directory, and uses one of the addresses that it names.
struct Client {
    name: String,
    directory: String,
    region: &'static str,
    zone: &'static str,
}

impl Client {
    /// Sends safe requests at an interval. Returns how many.
    fn run(&self, interval: Duration, stopped: &AtomicBool) -> usize {
        let mut connection: Option<(String, Connection)> = None;
        let mut addresses = Vec::new();
        let mut asked: Option<Instant> = None;
        let mut sent = 0;
        let mut next = Instant::now();
        while !stopped.load(Ordering::SeqCst) {
            sleep(next.saturating_duration_since(Instant::now()));
            next += interval;
            if asked.is_none_or(|at| at.elapsed() >= TTL) {
                if let Ok(answer) = resolve(&self.directory, self.region, self.zone) {
                    (addresses, asked) = (answer, Some(Instant::now()));
                }
                connection = connection.filter(|(address, _)| addresses.contains(address));
            }
            if addresses.is_empty() {
                continue;
            }
            let (address, mut open) = match connection.take() {
                Some(open) => open,
                None => {
                    let address = addresses[pick(&self.name, sent) % addresses.len()].clone();
                    let Ok(open) = Connection::open(&address) else { continue };
                    (address, open)
                }
            };
            sent += 1;
            let text = format!(
                "GET /balance/{sent} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}-{sent}\r\nX-Affinity-Key: {sent}\r\n\
                 X-Deadline-Ms: 4000\r\nAuthorization: Bearer {API_KEY}\r\n\r\n",
                self.name
            );
            if open.send(&text).is_ok() && read_message(&mut open.reader).is_ok() {
                connection = Some((address, open));
            }
        }
        sent
    }
}

/// A number that looks random, from a name and a counter.
fn pick(name: &str, n: usize) -> usize {
    let hash = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325u64 ^ n as u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    (hash ^ hash >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9) as usize >> 33
}
