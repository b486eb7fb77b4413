//! A change that a daemon never learns of, because the daemon that watches the store for it left it out (rule EVAC).

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{Connection, Deployment, MVTC, get, loopback};
use crate::http::read_message;
use crate::record::Record;
use crate::target::{Target, Work};

/// Factor by which the answers of the store take longer, and for how long: those of the site's list of disruptions.
const SLOWNESS: u64 = 60;
const SLOW_FOR: Duration = Duration::from_millis(4_500);
/// Bound of an evacuation, with the largest stretch for a store in disruption.
const EVACUATE: Duration = Duration::from_millis(5_000 + 5_000);
/// Time for which requests are sent after the evacuation.
const OBSERVED: Duration = Duration::from_secs(16);
/// Interval between two requests at one daemon.
const INTERVAL: Duration = Duration::from_millis(100);
/// Zone that is evacuated.
const ZONE: &str = "muscat-b";

/// Plays the case. Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let mut deployment =
        Deployment::start(record, &MVTC, |_| Work { time: Duration::from_millis(60), bytes: 500 })?;
    // The daemons learn of each other and choose who watches the store for the others of a zone.
    sleep(Duration::from_secs(6));
    let stopped = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = deployment
        .daemons
        .iter()
        .enumerate()
        .map(|(n, daemon)| {
            let (front, stopped, record) = (daemon.front.clone(), Arc::clone(&stopped), Arc::clone(record));
            spawn(move || send_requests(&front, n, &stopped, &record))
        })
        .collect();
    let added = Target::start("i-000000aa", "muscat-a", &format!("{}:8080", loopback(40)), record, |_| {
        Work { time: Duration::from_millis(60), bytes: 500 }
    })?;
    let entry = added.entry(MVTC.service, MVTC.slots, "ready");
    let watcher = watcher_of_zone(&deployment);
    record.line(&format!("{} watches the store for muscat-a", MVTC.daemons[watcher].0));
    let slow_since = Instant::now();
    if has_trouble {
        deployment.entrances.iter().for_each(|e| e.set_slowness(SLOWNESS));
        record.line("the store's answers begin to take 60 times as long");
        sleep(Duration::from_millis(1_000));
        wait_for_watches(&deployment, watcher);
        deployment.entrances[watcher].cut_watch();
        record.line("the store cuts the waiting watch of that daemon");
        sleep(Duration::from_millis(30));
    }
    deployment.store.write(&format!("op/evacuate/{ZONE}"), "{}");
    sleep(Duration::from_millis(50));
    deployment.store.write("servers/i-000000aa", &entry);
    deployment.targets.push(added);
    // The operator has its answer when a slow one would have arrived.
    sleep(deployment.entrances[0].answer_time());
    let acknowledged = Instant::now();
    record.line(&format!("{ZONE} is evacuated, and a target is added in muscat-a"));
    if has_trouble {
        sleep(SLOW_FOR.saturating_sub(slow_since.elapsed()));
        deployment.entrances.iter().for_each(|e| e.set_slowness(1));
        record.line("the store's answers take their usual time");
    }
    sleep(OBSERVED.saturating_sub(acknowledged.elapsed()));
    stopped.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    let mut late = vec![0; MVTC.daemons.len()];
    let mut sent = vec![0; MVTC.daemons.len()];
    for target in &deployment.targets {
        for run in target.runs().iter().filter(|r| r.began > acknowledged + EVACUATE) {
            let daemon: usize = run.attempt.split('-').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
            sent[daemon] += 1;
            late[daemon] += usize::from(target.zone == ZONE);
        }
    }
    for (n, (name, _)) in MVTC.daemons.iter().enumerate() {
        record.line(&format!("{name}: {} of {} requests reached {ZONE} after the bound", late[n], sent[n]));
    }
    Ok(late.iter().any(|n| *n > 0))
}

/// The daemon of muscat-a that watches the store: the one with a waiting watch, at five moments in a row.
fn watcher_of_zone(deployment: &Deployment) -> usize {
    let mut seen = [0; 2];
    while seen.iter().max() < Some(&20) {
        sleep(Duration::from_millis(100));
        for (n, count) in seen.iter_mut().enumerate() {
            *count += usize::from(deployment.entrances[n].watching_for().is_some());
        }
    }
    usize::from(seen[1] > seen[0])
}

/// Waits until the watches of the given daemon and of the daemon of muscat-b have waited for some time.
fn wait_for_watches(deployment: &Deployment, watcher: usize) {
    let range = Duration::from_millis(100)..Duration::from_millis(1_200);
    let waits = |n: usize| deployment.entrances[n].watching_for().is_some_and(|d| range.contains(&d));
    let until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < until && !(waits(watcher) && waits(2)) {
        sleep(Duration::from_millis(5));
    }
}

/// Sends safe requests to a daemon, one after the other, on a kept connection.
pub fn send_requests(front: &str, daemon: usize, stopped: &AtomicBool, record: &Record) {
    let mut connection = None;
    for n in 0.. {
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        sleep(INTERVAL);
        let Some(open) = connection.take().or_else(|| Connection::open(front).ok()) else { continue };
        let mut open: Connection = open;
        let attempt = format!("d-{daemon}-{n}");
        if open.send(&get(&format!("/stock/{n}"), &attempt, &n.to_string(), 2_500)).is_err() {
            continue;
        }
        if let Ok(answer) = read_message(&mut open.reader) {
            record.line(&format!("client gets {} for {attempt}", answer.status()));
            connection = Some(open);
        }
    }
}
