//! A waiting watch is cut; more than `contact` later, the entry of a target is removed without notice.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::{Ledger, config, join, load, lookup_route, order, post_route};
use crate::http::{Message, call};
use crate::target::{ConnectionState, Target};
use crate::{DaemonSpec, Rig};

/// Plays the case. Returns whether the rule was broken.
pub fn play(rig: &Arc<Rig>) -> bool {
    const WORK: Duration = Duration::from_millis(150);
    const DRAIN: f64 = 2.0;
    let ledger = Arc::new(Ledger::default());
    rig.store.put("op/config", &config(7, &[post_route(), lookup_route()]));
    let targets: Vec<Arc<Target>> = (1..=4)
        .map(|n| {
            let ledger = Arc::clone(&ledger);
            let handler =
                move |t: &Arc<Target>, req: &Message, stream: &mut TcpStream, _: &mut ConnectionState| {
                    let id = req.attempt();
                    ledger.run(&t.rig, t, &id);
                    thread::sleep(WORK);
                    t.answer(stream, &id, "done")
                };
            Target::start(rig, &format!("t-{n}"), "order-desk", "muscat-a", Box::new(handler))
        })
        .collect();
    for target in &targets {
        target.register("ready");
    }
    let daemon = rig.daemon(&DaemonSpec::new("front-muscat-a-1", "muscat-a"));
    rig.wait_ready(&daemon);
    let begin = rig.now();
    let (front, seen) = (daemon.front, Arc::clone(&ledger));
    let sent_at: Arc<Mutex<BTreeMap<String, f64>>> = Arc::default();
    let sending = Arc::clone(&sent_at);
    let clients = load(rig, 12, begin + 14.0, Duration::from_millis(60), move |rig, n| {
        // Without this, all clients would send in step.
        thread::sleep(Duration::from_millis(n * 37 % 90));
        let id = format!("{:016x}", 0x9c42_0000_u64 + n);
        sending.lock().unwrap().insert(id.clone(), rig.now());
        let answer = call(front, &order(&id, &(n % 24).to_string()));
        seen.answer(rig, &id, &answer);
    });
    thread::sleep(Duration::from_secs(4));
    if rig.trouble {
        let cut = rig.store.cut_watches();
        rig.note(&format!("the store cuts {cut} waiting watches"));
    }
    // Longer than `contact` (3 s).
    thread::sleep(Duration::from_millis(4_500));
    let leaving = &targets[0];
    rig.store.remove(&format!("servers/{}", leaving.id));
    let acknowledged = rig.now();
    rig.note(&format!("the store accepts the removal of {}", leaving.id));
    // It goes on serving for `drain` and a little longer, and ends.
    thread::sleep(Duration::from_millis(2_220));
    leaving.end();
    rig.note(&format!("target {} has ended", leaving.id));
    join(clients);
    let mut late = Vec::new();
    let mut last = 0.0f64;
    for (id, runs) in ledger.runs.lock().unwrap().iter() {
        for (target, at) in runs.iter().filter(|(t, _)| *t == leaving.id) {
            last = last.max(*at);
            if *at > acknowledged + DRAIN {
                late.push((id.clone(), target.clone(), *at));
            }
        }
    }
    rig.say(&format!(
        "the last request reached {} {:.3} s after the acknowledgement",
        leaving.id,
        last - acknowledged
    ));
    for (id, target, at) in &late {
        let status = ledger.answers.lock().unwrap().get(id).copied();
        rig.say(&format!(
            "DRAIN: {id}, sent {:.3} s after the acknowledgement, reached {target} at {:.3} s (bound {DRAIN} s); the \
             client got {status:?}",
            sent_at.lock().unwrap()[id] - acknowledged,
            at - acknowledged
        ));
    }
    !late.is_empty()
}
