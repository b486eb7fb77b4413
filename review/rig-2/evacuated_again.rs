//! An evacuation that is written right after the store came back from an older copy, and that daemons withhold (rule EVAC).

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{Deployment, MVTC};
use crate::missed_change::send_requests;
use crate::record::Record;
use crate::target::Work;

/// Bound of an evacuation, with the largest stretch for a store in disruption.
const EVACUATE: Duration = Duration::from_millis(5_000 + 5_000);
/// Time for which requests are sent after the evacuation.
const OBSERVED: Duration = Duration::from_secs(16);
/// Time for which the store is away, and age of the copy from which it comes back.
const AWAY: Duration = Duration::from_millis(1_000);
const COPY_AGE: Duration = Duration::from_secs(3);
/// Time after the return at which the operator's next try is accepted.
const NEXT_TRY: Duration = Duration::from_millis(50);
/// Zone that is evacuated.
const ZONE: &str = "muscat-b";

/// Plays the case. Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let deployment =
        Deployment::start(record, &MVTC, |_| Work { time: Duration::from_millis(60), bytes: 500 })?;
    sleep(Duration::from_secs(4));
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
    let key = format!("op/evacuate/{ZONE}");
    deployment.store.write(&key, "{}");
    record.line(&format!("{ZONE} is evacuated"));
    sleep(Duration::from_secs(6));
    deployment.store.delete(&key);
    record.line(&format!("{ZONE} is taken back"));
    sleep(Duration::from_secs(10));
    if has_trouble {
        let copy = deployment.store.copy();
        sleep(COPY_AGE);
        deployment.store.leave();
        record.line("the store is away");
        sleep(AWAY);
        deployment.store.restore(copy);
        record.line("the store is back, from a copy 3 s old");
        sleep(NEXT_TRY);
    } else {
        sleep(COPY_AGE + AWAY);
    }
    deployment.store.write(&key, "{}");
    let acknowledged = Instant::now();
    record.line(&format!("{ZONE} is evacuated again"));
    sleep(OBSERVED);
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
    println!("{late:?} of {sent:?} requests of the three machines reached {ZONE} after the bound");
    Ok(late.iter().any(|n| *n > 0))
}
