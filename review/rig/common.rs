//! What the cases share: the configuration, the load and the ledger of what targets and clients saw.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Rig;
use crate::http::{Answer, Attempt};
use crate::target::Target;

pub const HOST: &str = "desk.example";

/// A route of the configuration.
pub struct RouteSpec<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub prefix: &'a str,
    pub service: &'a str,
    pub aim_ms: u64,
    pub timeout_ms: u64,
    pub max_attempts: u32,
    pub priority: u32,
    pub affinity: bool,
}

/// Configuration with the given routes to the services `order-desk` and `catalogue-hub`, with the limits of the site.
pub fn config(version: u32, routes: &[RouteSpec<'_>]) -> String {
    let rules: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                "{{\"name\":\"{}\",\"kind\":\"{}\",\"aim\":\"{}ms\",\"priority\":{},\"affinity\":{},\
                 \"match\":{{\"prefix\":\"{}\"}},\"action\":{{\"service\":\"{}\",\"timeout\":\"{}ms\",\
                 \"max_attempts\":{},\"home_regions\":[]}}}}",
                r.name,
                r.kind,
                r.aim_ms,
                r.priority,
                r.affinity,
                r.prefix,
                r.service,
                r.timeout_ms,
                r.max_attempts
            )
        })
        .collect();
    let cluster = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\
             \"cold_start\":\"3s\",\"cold_per_s\":3.5}}"
        )
    };
    format!(
        "{{\"config_version\":\"{version:08x}\",\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\
         \"listeners\":[{{\"host\":\"{HOST}\",\"policy\":[{}]}}],\"clusters\":[{},{}]}}",
        rules.join(","),
        cluster("order-desk"),
        cluster("catalogue-hub")
    )
}

pub fn post_route() -> RouteSpec<'static> {
    RouteSpec {
        name: "order-post",
        kind: "unsafe",
        prefix: "/post/",
        service: "order-desk",
        aim_ms: 400,
        timeout_ms: 1_000,
        max_attempts: 2,
        priority: 1,
        affinity: true,
    }
}

pub fn lookup_route() -> RouteSpec<'static> {
    RouteSpec {
        name: "stock-lookup",
        kind: "safe",
        prefix: "/stock/",
        aim_ms: 300,
        timeout_ms: 800,
        ..post_route()
    }
}

/// An order: a request that must not run twice.
pub fn order<'a>(id: &'a str, key: &'a str) -> Attempt<'a> {
    Attempt {
        method: "POST",
        path: "/post/2f",
        host: HOST,
        id,
        key: Some(key),
        deadline_ms: 3_000,
        body: b"10 valves",
    }
}

/// What targets and clients saw of the attempts.
#[derive(Default)]
pub struct Ledger {
    /// Targets that began to run each attempt, with the time.
    pub runs: Mutex<BTreeMap<String, Vec<(String, f64)>>>,
    /// Final status that each client got; 0 if its connection ended without an answer.
    pub answers: Mutex<BTreeMap<String, u16>>,
}

impl Ledger {
    pub fn run(&self, rig: &Rig, target: &Target, id: &str) {
        rig.note(&format!("target {} runs {id}", target.id));
        self.runs.lock().unwrap().entry(id.into()).or_default().push((target.id.clone(), rig.now()));
    }

    pub fn answer(&self, rig: &Rig, id: &str, answer: &Answer) {
        rig.note(&format!(
            "client gets {} for {id} after {} ms (stamp {})",
            answer.status,
            answer.took.as_millis(),
            answer.message.header("x-server-stamp").unwrap_or("none")
        ));
        self.answers.lock().unwrap().insert(id.into(), answer.status);
    }

    /// Attempts that ran more than once, with the targets.
    pub fn ran_twice(&self) -> Vec<(String, Vec<(String, f64)>)> {
        self.runs
            .lock()
            .unwrap()
            .iter()
            .filter(|(_, r)| r.len() > 1)
            .map(|(i, r)| (i.clone(), r.clone()))
            .collect()
    }

    /// Attempts that were answered with a promise not to have run, and ran.
    pub fn refused_and_ran(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        let answers = self.answers.lock().unwrap();
        answers
            .iter()
            .filter(|(id, status)| matches!(**status, 408 | 421 | 429 | 503) && runs.contains_key(*id))
            .map(|(id, _)| id.clone())
            .collect()
    }
}

/// Runs `threads` clients until the time `end` of the rig. Each sends `attempt(n)` and pauses.
pub fn load(
    rig: &Arc<Rig>,
    threads: usize,
    end: f64,
    pause: Duration,
    each: impl Fn(&Arc<Rig>, u64) + Send + Sync + 'static,
) -> Vec<thread::JoinHandle<()>> {
    let number = Arc::new(AtomicU64::new(0));
    let each = Arc::new(each);
    (0..threads)
        .map(|t| {
            let (rig, number, each) = (Arc::clone(rig), Arc::clone(&number), Arc::clone(&each));
            thread::spawn(move || {
                thread::sleep(pause.mul_f64(t as f64 / threads as f64));
                while rig.now() < end {
                    each(&rig, number.fetch_add(1, Ordering::SeqCst));
                    thread::sleep(pause);
                }
            })
        })
        .collect()
}

pub fn join(threads: Vec<thread::JoinHandle<()>>) {
    for thread in threads {
        let _ = thread.join();
    }
}
