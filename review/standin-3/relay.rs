//! Machines are cut off from the store without a reset while a target leaves. A daemon to which nothing happens goes on sending
//! requests to the target.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Answer, Daemon, MVTC_GRID, Record, Route, Target, call, config};
use crate::store::{Entrance, Store};

const HOST: &str = "a.example";
const SERVICE: &str = "desk";
const ZONE: &str = "muscat-a";

/// The bounds `drain` and `contact` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);

/// How much longer than `drain` a leaving target serves before it exits.
const LITTLE_LONGER: Duration = Duration::from_millis(200);

/// Work of a request.
const WORK: Duration = Duration::from_millis(100);

/// Length of the cut of a round. The site has cuts of 5.5 s.
fn cut_length(round: usize) -> Duration {
    Duration::from_millis(4_200 + 160 * round as u64)
}

const ROUNDS: usize = 8;
const CLIENTS: usize = 8;
const TARGETS: usize = 4;

/// The machines. The daemons choose the second one, by its name, to watch the store for zone muscat-a.
const MACHINES: [(&str, &str); 3] =
    [("front-muscat-a-1", ZONE), ("front-muscat-a-2", ZONE), ("front-muscat-b-1", "muscat-b")];

/// The machine to which nothing happens, and which takes the clients' requests.
const CALM: usize = 0;

/// What happens in each round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// The two daemons that watch the store for their zones are cut off, and 50 ms later a target reports that it is draining.
    LeaveAtStartOfCut,
    /// The daemon that watches the store for the zone is cut off. A target's entry is removed 300 ms before the end of the cut,
    /// and another target has joined shortly before.
    LeaveAtEndOfCut,
}

impl Scenario {
    fn cut_machines(self) -> &'static [usize] {
        match self {
            Self::LeaveAtStartOfCut => &[1, 2],
            Self::LeaveAtEndOfCut => &[1],
        }
    }
}

/// Requests that targets have received: target, attempt and time.
type Arrivals = Arc<Mutex<Vec<(String, String, Instant)>>>;

struct Run<'a> {
    record: &'a Arc<Record>,
    store: Arc<Store>,
    arrivals: Arrivals,
    targets: Vec<Target>,
    machines: Vec<(Daemon, Entrance)>,
    scenario: Scenario,
    trouble: bool,
}

pub fn run(record: &Arc<Record>, dir: &Path, trouble: bool, scenario: Scenario) -> Verdict {
    let store = Store::start();
    let route = Route {
        name: "post",
        kind: "unsafe",
        prefix: "/post/",
        aim_ms: 400,
        timeout_ms: Some(1_000),
        service: SERVICE,
    };
    store.put("op/config", Some(&config(7, HOST, &[route], &[SERVICE])));
    let mut run = Run {
        record,
        store,
        arrivals: Arc::default(),
        targets: Vec::new(),
        machines: Vec::new(),
        scenario,
        trouble,
    };
    for n in 0..TARGETS {
        run.start_target(n);
    }
    for (name, zone) in MACHINES {
        let entrance = run.store.entrance();
        let Some(daemon) = Daemon::start(&MVTC_GRID, dir, name, zone, entrance.address) else {
            return Verdict::NotRun;
        };
        run.machines.push((daemon, entrance));
    }
    thread::sleep(CONTACT);
    let late: usize = (0..ROUNDS).map(|round| run.round(round)).sum();
    record.line(&format!(
        "{late} requests reached a target later than {} ms after the acknowledgement",
        DRAIN.as_millis()
    ));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}

impl Run<'_> {
    /// Plays a round. Returns the number of requests that reached the leaving target too late.
    fn round(&mut self, round: usize) -> usize {
        let (stop, lost) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let (record, stop, lost) = (Arc::clone(self.record), Arc::clone(&stop), Arc::clone(&lost));
                let front = self.machines[CALM].0.front;
                thread::spawn(move || client(&record, front, round, n, &stop, &lost))
            })
            .collect();
        // The rounds begin at different moments of the daemons' periods.
        thread::sleep(Duration::from_millis(500 + round as u64 * 170 % 900));
        let cut_at = Instant::now();
        self.cut(round, true);
        let (leaving, acknowledged) = match self.scenario {
            Scenario::LeaveAtStartOfCut => {
                thread::sleep(Duration::from_millis(50));
                let left = self.leave(round, true);
                self.start_target(TARGETS + round);
                left
            }
            Scenario::LeaveAtEndOfCut => {
                thread::sleep(cut_length(round) - Duration::from_millis(450));
                self.start_target(TARGETS + round);
                thread::sleep(Duration::from_millis(150));
                let left = self.leave(round, false);
                thread::sleep(cut_length(round).saturating_sub(cut_at.elapsed()));
                self.cut(round, false);
                left
            }
        };
        thread::sleep((DRAIN + LITTLE_LONGER).saturating_sub(acknowledged.elapsed()));
        leaving.exit();
        self.record.line(&format!("round {round}: target {} exits", leaving.id));
        self.store.put(&format!("servers/{}", leaving.id), None);
        thread::sleep(Duration::from_millis(1_500));
        thread::sleep(cut_length(round).saturating_sub(cut_at.elapsed()));
        self.cut(round, false);
        stop.store(true, Ordering::SeqCst);
        for client in clients {
            let _ = client.join();
        }
        self.record.line(&format!(
            "round {round}: {} requests ended without a target's answer",
            lost.load(Ordering::SeqCst)
        ));
        let late = self.count_late(round, &leaving.id, acknowledged);
        thread::sleep(CONTACT);
        late
    }

    fn cut(&self, round: usize, cut: bool) {
        if !self.trouble {
            return;
        }
        for n in self.scenario.cut_machines() {
            let (daemon, entrance) = &self.machines[*n];
            entrance.cut(cut);
            self.record.line(&format!(
                "round {round}: {} {} off from the store",
                daemon.name,
                if cut { "is cut" } else { "is no longer cut" }
            ));
        }
    }

    /// Lets the oldest target leave: it reports that it is draining, or its entry is removed. Returns it with the time of the
    /// store's acknowledgement.
    fn leave(&mut self, round: usize, reports: bool) -> (Target, Instant) {
        let target = self.targets.remove(0);
        let entry = reports.then(|| target.entry(SERVICE, ZONE, "draining", 2));
        self.store.put(&format!("servers/{}", target.id), entry.as_deref());
        let acknowledged = Instant::now();
        let what = if reports { "is draining" } else { "is gone" };
        self.record
            .line(&format!("round {round}: the store has acknowledged that target {} {what}", target.id));
        (target, acknowledged)
    }

    fn count_late(&self, round: usize, leaving: &str, acknowledged: Instant) -> usize {
        let mut late = 0;
        for (target, attempt, at) in self.arrivals.lock().unwrap().drain(..) {
            let after = at.saturating_duration_since(acknowledged);
            if target == leaving && after > DRAIN {
                late += 1;
                self.record.line(&format!(
                    "round {round}: {attempt} reached target {target} {} ms after the acknowledgement",
                    after.as_millis()
                ));
            }
        }
        late
    }

    fn start_target(&mut self, n: usize) {
        let (id, seen) = (format!("i-{n}"), Arc::clone(&self.arrivals));
        let name = id.clone();
        let handler = move |message: &crate::http::Message| {
            let attempt = message.header("x-attempt-id").unwrap_or("").to_owned();
            seen.lock().unwrap().push((name.clone(), attempt, Instant::now()));
            Answer::Respond(WORK, b"done".to_vec())
        };
        let target = Target::start(&id, self.record, Arc::new(handler));
        self.store.put(&format!("servers/{id}"), Some(&target.entry(SERVICE, ZONE, "ready", 1)));
        self.targets.push(target);
    }
}

/// Sends requests one after the other, each for another object and on a new connection, and counts those whose outcome remains
/// unknown.
fn client(record: &Record, front: SocketAddr, round: usize, n: usize, stop: &AtomicBool, lost: &AtomicUsize) {
    let mut k = 0;
    while !stop.load(Ordering::SeqCst) {
        let attempt = format!("r{round}-{n}-{k}");
        k += 1;
        record.line(&format!("client sends {attempt}"));
        let text = format!(
            "POST /post/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Affinity-Key: {attempt}\r\n\
             X-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\norder"
        );
        let status = call(front, &text).map_or(0, |m| m.status());
        record.line(&format!("client gets {status} for {attempt}"));
        if !matches!(status, 200 | 429 | 503) {
            lost.fetch_add(1, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(20));
    }
}
