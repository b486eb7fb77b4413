//! Three targets of six answer with bytes that are no answer, without end, until the caller closes.

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::{Ledger, config, join, load, lookup_route, order, post_route};
use crate::http::{Message, call};
use crate::target::{ConnectionState, Target, Then};
use crate::{DaemonSpec, Rig};

/// Timeout of the route, in seconds.
const TIMEOUT: f64 = 1.0;

/// Time after the timeout by which a request must have its final answer, in seconds.
const SLACK: f64 = 0.5;

/// Bandwidth of the link of the site's larger machines.
const LINK_BITS_PER_SECOND: f64 = 2_000e6;

/// Time at which the link of the daemon's machine is free again.
static LINK: Mutex<f64> = Mutex::new(0.0);

/// Sends an answer that never ends, until the caller closes the connection or `limit` has passed.
fn send_without_end(stream: &mut TcpStream, attempt: &str, in_head: bool, limit: Duration) -> Then {
    let started = std::time::Instant::now();
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    // In the body, the size of the first chunk never ends. In the head, interim answers follow each other.
    let bytes = if in_head { b"HTTP/1.1 102 Processing\r\n\r\n".repeat(2_000) } else { vec![b'0'; 65_536] };
    if !in_head && stream.write_all(head.as_bytes()).is_err() {
        return Then::Close;
    }
    let seconds = bytes.len() as f64 * 8.0 / LINK_BITS_PER_SECOND;
    while started.elapsed() < limit && stream.write_all(&bytes).is_ok() {
        // All targets share the link of the daemon's machine.
        let wait = {
            let mut free_at = LINK.lock().unwrap();
            let now = wall_seconds();
            *free_at = free_at.max(now) + seconds;
            *free_at - now
        };
        if wait > 0.000_5 {
            thread::sleep(Duration::from_secs_f64(wait));
        }
    }
    Then::Close
}

fn wall_seconds() -> f64 {
    crate::wall_micros() as f64 / 1e6
}

/// Plays the case. Returns whether the rule was broken.
pub fn play(rig: &Arc<Rig>) -> bool {
    const WORK: Duration = Duration::from_millis(50);
    let in_head = rig.variant == "head";
    let ledger = Arc::new(Ledger::default());
    rig.store.put("op/config", &config(7, &[post_route(), lookup_route()]));
    for n in 1..=6 {
        let ledger = Arc::clone(&ledger);
        let is_faulty = rig.trouble && n <= 3;
        let handler =
            move |t: &Arc<Target>, req: &Message, stream: &mut TcpStream, _: &mut ConnectionState| {
                let id = req.attempt();
                ledger.run(&t.rig, t, &id);
                if is_faulty && (2.0..10.0).contains(&t.rig.now()) {
                    t.rig.note(&format!("target {} answers {id} without end", t.id));
                    return send_without_end(stream, &id, in_head, Duration::from_secs(10));
                }
                thread::sleep(WORK);
                t.answer(stream, &id, "done")
            };
        Target::start(rig, &format!("t-{n}"), "order-desk", "muscat-a", Box::new(handler)).register("ready");
    }
    let daemon = rig.daemon(&DaemonSpec::new("front-muscat-a-1", "muscat-a"));
    rig.wait_ready(&daemon);
    let (front, seen) = (daemon.front, Arc::clone(&ledger));
    let times: Arc<Mutex<Vec<(String, f64, u16)>>> = Arc::default();
    let measured = Arc::clone(&times);
    let clients = load(rig, 32, 12.0, Duration::from_millis(100), move |rig, n| {
        let id = format!("{:016x}", 0x9c49_0000_u64 + n);
        let sent = rig.now();
        let answer = call(front, &order(&id, &(n % 24).to_string()));
        measured.lock().unwrap().push((id.clone(), rig.now() - sent, answer.status));
        seen.answer(rig, &id, &answer);
    });
    let mut unready = 0;
    for _ in 0..20 {
        thread::sleep(Duration::from_millis(500));
        unready += u32::from(!daemon.is_ready());
    }
    join(clients);
    let times = times.lock().unwrap();
    let over: Vec<_> = times.iter().filter(|(_, took, _)| *took > TIMEOUT).collect();
    let late: Vec<_> = over.iter().filter(|(_, took, _)| *took > TIMEOUT + SLACK).collect();
    for (id, took, status) in &late {
        rig.note(&format!("CONFIG: {id} had its final answer ({status}) after {took:.3} s"));
    }
    let served = times.iter().filter(|(_, _, status)| *status == 200).count();
    rig.say(&format!(
        "{} requests, {served} served; {unready} of 20 questions whether the daemon is ready had no good answer",
        times.len()
    ));
    rig.say(&format!(
        "CONFIG: {} requests lasted longer than the timeout of {TIMEOUT} s, and {} of them had no final answer {SLACK} s \
         after it (bound 7, or a quarter), the slowest after {:.3} s",
        over.len(),
        late.len(),
        late.iter().map(|(_, took, _)| *took).fold(0.0, f64::max)
    ));
    late.len() >= 8 && late.len() * 4 > over.len()
}
