//! A client stops reading in the middle of a large answer, and goes on later, well within its deadline.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::common::{HOST, Ledger, RouteSpec, config, lookup_route, post_route};
use crate::http::{Attempt, Client, Message, read_head};
use crate::target::{ConnectionState, Target};
use crate::{DaemonSpec, Rig};

/// Plays the case. Returns whether the rule was broken.
pub fn play(rig: &Arc<Rig>) -> bool {
    const SIZE: usize = 520_000;
    let ledger = Arc::new(Ledger::default());
    let download = RouteSpec {
        name: "drawing-pack",
        kind: "download",
        prefix: "/pack/",
        service: "catalogue-hub",
        aim_ms: 250,
        timeout_ms: 2_000,
        ..post_route()
    };
    rig.store.put("op/config", &config(7, &[post_route(), lookup_route(), download]));
    let targets: Vec<Arc<Target>> = (1..=2)
        .map(|n| {
            let ledger = Arc::clone(&ledger);
            let handler =
                move |t: &Arc<Target>, req: &Message, stream: &mut TcpStream, _: &mut ConnectionState| {
                    let id = req.attempt();
                    ledger.run(&t.rig, t, &id);
                    thread::sleep(Duration::from_millis(10));
                    let size = if req.path().ends_with("large") { SIZE } else { 100 };
                    t.answer(stream, &id, &"x".repeat(size))
                };
            Target::start(rig, &format!("t-{n}"), "catalogue-hub", "muscat-a", Box::new(handler))
        })
        .collect();
    for target in &targets {
        target.register("ready");
    }
    let daemon = rig.daemon(&DaemonSpec::new("front-muscat-a-1", "muscat-a"));
    rig.wait_ready(&daemon);
    let mut broken = 0;
    for n in 0..8u64 {
        let small = format!("{:016x}", 0x9c44_0000_u64 + 2 * n);
        let large = format!("{:016x}", 0x9c44_0001_u64 + 2 * n);
        let Some(mut client) = Client::open(daemon.front) else {
            crate::cannot_run(rig, "no connection to the daemon");
        };
        let attempt = Attempt {
            method: "GET",
            path: "/pack/small",
            host: HOST,
            id: &small,
            key: None,
            deadline_ms: 2_000,
            body: b"",
        };
        let answer = client.send(&attempt);
        ledger.answer(rig, &small, &answer);
        // The same connection is used once more.
        let attempt = Attempt { path: "/pack/large", id: &large, ..attempt };
        let started = rig.now();
        let sent = client.reader.get_mut().write_all(&attempt.bytes()).is_ok();
        let _ = client.reader.get_ref().set_read_timeout(Some(Duration::from_secs(10)));
        let head = read_head(&mut client.reader);
        rig.note(&format!("client has read the head of the answer to {large}: {}", head.is_some()));
        if rig.trouble {
            thread::sleep(Duration::from_millis(rig.variant.parse().unwrap_or(1_900)));
        }
        let mut body = vec![0; SIZE];
        let result = client.reader.read_exact(&mut body);
        let took = rig.now() - started;
        rig.note(&format!("client reads the body of {large}: {result:?} after {took:.3} s, sent {sent}"));
        if result.is_err() && took < 2.0 {
            broken += 1;
            rig.say(&format!(
                "LOST: {large}, sent on a kept connection, ran, and its connection was closed without a whole answer \
                 {took:.2} s after it was sent (the client waits 2 s): {}",
                result.err().map(|e| e.to_string()).unwrap_or_default()
            ));
        }
    }
    rig.say(&format!("{broken} of 8 answers were cut (bound 3)"));
    broken > 3
}
