//! An extra answer of a target is a rejection, and arrives when the answer to the next request is due.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::common::{Ledger, config, join, load, lookup_route, order, post_route};
use crate::http::{Message, call};
use crate::target::{ConnectionState, Target, Then, shed_text};
use crate::{DaemonSpec, Rig};

/// Plays the case. Returns whether the rule was broken.
pub fn play(rig: &Arc<Rig>) -> bool {
    const WORK: Duration = Duration::from_millis(60);
    /// Share of the answers of a faulty target that are followed by an extra one, at most.
    const EXTRA_SHARE: f64 = 0.03;
    /// Time in which targets are faulty.
    const FAULTY: std::ops::Range<f64> = 4.0..9.0;
    let ledger = Arc::new(Ledger::default());
    rig.store.put("op/config", &config(7, &[post_route(), lookup_route()]));
    let targets: Vec<Arc<Target>> = (1..=5)
        .map(|n| {
            let ledger = Arc::clone(&ledger);
            // Three targets of five are faulty.
            let may_be_faulty = rig.trouble && n <= 3;
            let received = AtomicU64::new(0);
            let answers_before = AtomicU64::new(0);
            let handler = move |t: &Arc<Target>,
                                req: &Message,
                                stream: &mut TcpStream,
                                state: &mut ConnectionState| {
                let id = req.attempt();
                if t.rig.now() < FAULTY.start {
                    answers_before.store(t.answers.load(Ordering::SeqCst), Ordering::SeqCst);
                }
                // Now and then, other callers fill the target for a moment.
                if received.fetch_add(1, Ordering::SeqCst) % 25 == 24 {
                    t.rig.note(&format!("target {} is full and rejects {id}", t.id));
                    state.extra = Some(id.clone());
                    return t.shed(stream, &id);
                }
                ledger.run(&t.rig, t, &id);
                let answers = t.answers.load(Ordering::SeqCst) - answers_before.load(Ordering::SeqCst);
                let allowed = EXTRA_SHARE * answers as f64;
                if may_be_faulty
                    && FAULTY.contains(&t.rig.now())
                    && let Some(earlier) = state.extra.take()
                    && t.extras.load(Ordering::SeqCst) as f64 + 1.0 <= allowed
                {
                    thread::sleep(WORK / 4);
                    t.extras.fetch_add(1, Ordering::SeqCst);
                    t.rig.note(&format!("target {} answers {earlier} a second time, while {id} runs", t.id));
                    if stream.write_all(shed_text(&earlier).as_bytes()).is_err() {
                        return Then::Close;
                    }
                }
                state.extra = None;
                thread::sleep(WORK);
                t.rig.note(&format!("target {} ends {id}", t.id));
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
    let (front, seen) = (daemon.front, Arc::clone(&ledger));
    join(load(rig, 8, 14.0, Duration::from_millis(10), move |rig, n| {
        let id = format!("{:016x}", 0x9c41_0000_u64 + n);
        rig.note(&format!("client sends {id} (unsafe)"));
        let answer = call(front, &order(&id, &(n % 24).to_string()));
        seen.answer(rig, &id, &answer);
    }));
    let extras: u64 = targets.iter().map(|t| t.extras.load(Ordering::SeqCst)).sum();
    let answers: u64 = targets.iter().map(|t| t.answers.load(Ordering::SeqCst)).sum();
    rig.say(&format!("{answers} answers of targets, and {extras} extra ones"));
    let (doubled, refused) = (ledger.ran_twice(), ledger.refused_and_ran());
    for (id, runs) in &doubled {
        rig.say(&format!("TWICE: {id} ran on {runs:?}"));
    }
    for id in &refused {
        rig.say(&format!("REFUSED: {id} ran, and its client was promised that it had not"));
    }
    rig.say(&format!("{} requests ran twice, {} were refused though they ran", doubled.len(), refused.len()));
    !doubled.is_empty() || !refused.is_empty()
}
