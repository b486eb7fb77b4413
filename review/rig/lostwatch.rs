//! The answer to one watch is lost; more than `contact` later, a new configuration moves a route to another service.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::{Ledger, RouteSpec, config, join, load, lookup_route, order, post_route};
use crate::http::{Message, call};
use crate::target::{ConnectionState, Target};
use crate::{DaemonSpec, Rig};

/// Plays the case. Returns whether the rule was broken.
pub fn play(rig: &Arc<Rig>) -> bool {
    const WORK: Duration = Duration::from_millis(50);
    const CONFIG_APPLY: f64 = 2.0;
    let ledger = Arc::new(Ledger::default());
    rig.store.put("op/config", &config(7, &[post_route(), lookup_route()]));
    let start = |n: usize, service: &str| {
        let ledger = Arc::clone(&ledger);
        let handler =
            move |t: &Arc<Target>, req: &Message, stream: &mut TcpStream, _: &mut ConnectionState| {
                let id = req.attempt();
                ledger.run(&t.rig, t, &id);
                thread::sleep(WORK);
                t.answer(stream, &id, "done")
            };
        let target = Target::start(rig, &format!("{service}-{n}"), service, "muscat-a", Box::new(handler));
        if n <= 3 {
            target.register("ready");
        } else {
            target.register_cold();
        }
        target
    };
    let _targets: Vec<Arc<Target>> =
        (1..=3).flat_map(|n| [start(n, "order-desk"), start(n, "catalogue-hub")]).collect();
    let daemon = rig.daemon(&DaemonSpec::new("front-muscat-a-1", "muscat-a"));
    rig.wait_ready(&daemon);
    let begin = rig.now();
    let (front, seen) = (daemon.front, Arc::clone(&ledger));
    let sent_at: Arc<Mutex<BTreeMap<String, f64>>> = Arc::default();
    let sending = Arc::clone(&sent_at);
    let clients = load(rig, 4, begin + 18.0, Duration::from_millis(60), move |rig, n| {
        let id = format!("{:016x}", 0x9c47_0000_u64 + n);
        sending.lock().unwrap().insert(id.clone(), rig.now());
        let answer = call(front, &order(&id, &(n % 24).to_string()));
        seen.answer(rig, &id, &answer);
    });
    thread::sleep(Duration::from_secs(4));
    if rig.trouble {
        rig.store.lose_watch_answer();
    }
    // An empty target is added, which the waiting watch reports.
    let _added = start(4, "order-desk");
    thread::sleep(Duration::from_millis(200));
    rig.note(&format!("a target was added; {} answers to watches were lost", rig.store.lost_answers()));
    // Longer than `contact` (3 s).
    thread::sleep(Duration::from_millis(3_400));
    let moved = RouteSpec { service: "catalogue-hub", ..post_route() };
    rig.store.put("op/config", &config(9, &[moved, lookup_route()]));
    let acknowledged = rig.now();
    rig.note("the store accepts version 9: the route goes to catalogue-hub");
    join(clients);
    let mut stale = Vec::new();
    for (id, runs) in ledger.runs.lock().unwrap().iter() {
        let sent = sent_at.lock().unwrap()[id];
        if sent > acknowledged + CONFIG_APPLY && runs.iter().any(|(t, _)| t.starts_with("order-desk")) {
            stale.push((id.clone(), sent - acknowledged));
        }
    }
    stale.sort_by(|a, b| a.1.total_cmp(&b.1));
    for (id, after) in &stale {
        rig.note(&format!(
            "CONFIG: {id}, sent {after:.3} s after the acknowledgement, was run by the old service"
        ));
    }
    rig.say(&format!(
        "CONFIG: {} requests sent later than {CONFIG_APPLY} s after the acknowledgement were run by the old service, \
         the last one {:.3} s after it",
        stale.len(),
        stale.last().map_or(0.0, |(_, after)| *after)
    ));
    !stale.is_empty()
}
