//! The store turns a machine away with 503 for some seconds, while the operator sends several versions of a large configuration.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Answer, BFH_TOPUP, Daemon, Record, Route, Target, call, config};
use crate::store::{Store, Treatment};

const HOST: &str = "a.example";

/// The bounds `contact`, `config_apply` and `max_stretch` of the deployment.
const CONTACT: Duration = Duration::from_millis(4_000);
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const MAX_STRETCH: Duration = Duration::from_millis(5_000);

/// Routes that the configuration has grown by: as many as one `big_config` of the site adds.
const ROUTES: usize = 1_400;

/// The machines. Each is the only one of its region. The store turns the first one away.
const MACHINES: [(&str, &str); 3] =
    [("front-gent-a-1", "gent-a"), ("front-namur-a-1", "namur-a"), ("front-evere-a-1", "evere-a")];

/// A storm of configurations: one version each `GAP`, for 4 s.
const VERSIONS: u32 = 12;
const GAP: Duration = Duration::from_millis(330);

/// How long the store turns the machine away.
const TURNED_AWAY: Duration = Duration::from_millis(8_000);

/// How long the clients go on afterwards.
const AFTERWARDS: Duration = Duration::from_secs(30);

pub fn run(record: &Arc<Record>, dir: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    let runs: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let targets: Vec<Target> = ["old", "new"]
        .iter()
        .map(|service| {
            let (seen, service) = (Arc::clone(&runs), (*service).to_owned());
            Target::start(
                &format!("i-{service}"),
                record,
                Arc::new(move |message| {
                    let attempt = message.header("x-attempt-id").unwrap_or("").to_owned();
                    seen.lock().unwrap().push((attempt, service.clone()));
                    Answer::Respond(Duration::from_millis(20), b"done".to_vec())
                }),
            )
        })
        .collect();
    for (target, service) in targets.iter().zip(["old", "new"]) {
        store.put(&format!("servers/{}", target.id), Some(&target.entry(service, "gent-a", "ready", 1)));
    }
    store.put("op/config", Some(&version(7, "old")));
    record.line(&format!("the configuration has {} bytes", version(7, "old").len()));
    let entrances = MACHINES.map(|_| store.entrance());
    let mut daemons = Vec::new();
    for ((name, zone), entrance) in MACHINES.into_iter().zip(&entrances) {
        let Some(daemon) = Daemon::start(&BFH_TOPUP, dir, name, zone, entrance.address) else {
            return Verdict::NotRun;
        };
        daemons.push(daemon);
    }
    let (daemon, entrance) = (&daemons[0], &entrances[0]);
    thread::sleep(CONTACT);
    if !post(daemon, "before") {
        return Verdict::NotRun;
    }
    let started = Instant::now();
    if trouble {
        record.line("the store turns the machine away with 503");
        entrance.treat(Treatment::Busy);
    }
    thread::sleep(Duration::from_millis(500));
    let mut acknowledged = Instant::now();
    for n in 1..=VERSIONS {
        // The last version moves the route to the new service. The others change a timeout.
        let service = if n == VERSIONS { "new" } else { "old" };
        store.put("op/config", Some(&version(7 + 3 * n, service)));
        record
            .line(&format!("the store has acknowledged version {}: the route goes to {service}", 7 + 3 * n));
        acknowledged = Instant::now();
        thread::sleep(GAP);
    }
    thread::sleep(TURNED_AWAY.saturating_sub(started.elapsed()));
    entrance.treat(Treatment::Serve);
    record.line("the store serves the machine");
    let served = Instant::now();
    // Later than `contact` after that, the machine is in touch. The last version must be older than `config_apply` with the whole
    // `max_stretch`.
    thread::sleep(CONTACT + Duration::from_millis(200));
    thread::sleep((CONFIG_APPLY + MAX_STRETCH + GAP).saturating_sub(acknowledged.elapsed()));
    let mut stale = 0;
    let mut n = 0;
    while served.elapsed() < AFTERWARDS {
        let attempt = format!("after-{n}");
        n += 1;
        let is_answered = post(daemon, &attempt);
        record.line(&format!(
            "client has sent {attempt} and {} 200",
            if is_answered { "gets" } else { "does not get" }
        ));
        let service =
            runs.lock().unwrap().iter().find(|(a, _)| *a == attempt).map(|(_, service)| service.clone());
        if service.as_deref() == Some("old") {
            stale += 1;
            record.line(&format!(
                "{attempt} was run by the old service {} ms after the store served the machine again",
                served.elapsed().as_millis()
            ));
        }
        thread::sleep(Duration::from_millis(250));
    }
    record.line(&format!("{stale} of {n} requests were run by the old service"));
    if stale > 0 { Verdict::Broken } else { Verdict::Held }
}

/// A version of the configuration, with a route for orders and many others.
fn version(version: u32, service: &str) -> String {
    let names: Vec<(String, String)> = (0..ROUTES)
        .map(|n| {
            let member =
                format!("federation-of-prepaid-top-up-resellers/night-shops-and-kiosks/member-{n:06}");
            (
                format!("price-list-of-carriers-for-{member}"),
                format!("/tarieflijst/vlaanderen/gent/{member}/"),
            )
        })
        .collect();
    let mut routes = vec![Route {
        name: "order",
        kind: "unsafe",
        prefix: "/post/",
        aim_ms: 400,
        timeout_ms: Some(1_000 + u64::from(version)),
        service,
    }];
    routes.extend(names.iter().map(|(name, prefix)| Route {
        name,
        kind: "safe",
        prefix,
        aim_ms: 300,
        timeout_ms: Some(800),
        service: "old",
    }));
    config(version, HOST, &routes, &["old", "new"])
}

fn post(daemon: &Daemon, attempt: &str) -> bool {
    let text = format!(
        "POST /post/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Affinity-Key: {attempt}\r\n\
         X-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\norder"
    );
    call(daemon.front, &text).is_some_and(|m| m.status() == 200)
}
