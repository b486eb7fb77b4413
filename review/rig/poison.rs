//! A request without an affinity key crashes each target that begins to run it, and comes again.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::{HOST, Ledger, config, join, load, lookup_route, order, post_route};
use crate::http::{Attempt, Message, call};
use crate::target::{ConnectionState, Target, Then};
use crate::{DaemonSpec, Rig};

/// Plays the case. Returns whether the rule was broken.
pub fn play(rig: &Arc<Rig>) -> bool {
    const WORK: Duration = Duration::from_millis(150);
    const CONTACT: f64 = 3.0;
    let ledger = Arc::new(Ledger::default());
    let crashes: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let arrivals: Arc<Mutex<Vec<(String, String, f64)>>> = Arc::default();
    rig.store.put("op/config", &config(7, &[post_route(), lookup_route()]));
    let targets: Vec<Arc<Target>> = (1..=8)
        .map(|n| {
            let (ledger, crashes, arrivals) =
                (Arc::clone(&ledger), Arc::clone(&crashes), Arc::clone(&arrivals));
            let handler =
                move |t: &Arc<Target>, req: &Message, stream: &mut TcpStream, _: &mut ConnectionState| {
                    let id = req.attempt();
                    ledger.run(&t.rig, t, &id);
                    if req.path() == "/stock/poison" {
                        arrivals.lock().unwrap().push((id.clone(), t.id.clone(), t.rig.now()));
                        if t.rig.trouble {
                            t.rig.note(&format!("target {} crashes on {id}", t.id));
                            crashes.lock().unwrap().push((t.id.clone(), t.rig.now()));
                            t.crash(Duration::from_secs(2));
                            return Then::Close;
                        }
                    }
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
    let clients = load(rig, 4, begin + 26.0, Duration::from_millis(50), move |rig, n| {
        let id = format!("{:016x}", 0x9c43_0000_u64 + n);
        let answer = call(front, &order(&id, &(n % 24).to_string()));
        seen.answer(rig, &id, &answer);
    });
    // With VARIANT=key, the client names an object, which is the same in all copies.
    let key = (rig.variant == "key").then_some("17");
    for n in 0..12u64 {
        thread::sleep(Duration::from_secs(2));
        let id = format!("{:016x}", 0xbad_0000_u64 + n);
        rig.note(&format!("client sends the request that crashes targets once more, as {id}"));
        let answer = call(
            front,
            &Attempt {
                method: "GET",
                path: "/stock/poison",
                host: HOST,
                id: &id,
                key,
                deadline_ms: 2_500,
                body: b"",
            },
        );
        ledger.answer(rig, &id, &answer);
    }
    join(clients);
    let crashes = crashes.lock().unwrap();
    rig.say(&format!("{} crashes of targets", crashes.len()));
    let Some((_, third)) = crashes.get(2) else {
        return false;
    };
    // The first send of each attempt is not counted as a retry.
    let mut first = BTreeMap::new();
    let mut retries = 0;
    let mut later = 0;
    for (id, target, at) in arrivals.lock().unwrap().iter() {
        let is_first = first.insert(id.clone(), ()).is_none();
        if *at > third + CONTACT {
            later += 1;
            retries += u32::from(!is_first);
            rig.note(&format!("BUDGET: {id} reached {target} {:.1} s after the third crash", at - third));
        }
    }
    let lost =
        ledger.answers.lock().unwrap().iter().filter(|(i, s)| i.contains("9c43") && **s != 200).count();
    rig.say(&format!(
        "BUDGET: it reached targets {later} times later than {CONTACT} s after the third crash, {retries} of them \
         retries of the daemon (bound 3)"
    ));
    rig.say(&format!("{lost} orders of other clients had no success"));
    retries > 3
}
