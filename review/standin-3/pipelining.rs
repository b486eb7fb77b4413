//! A client sends further safe requests before the first is answered, and reads slowly. The daemon gets SIGTERM meanwhile.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Answer, BFH_TOPUP, Daemon, Record, Route, Target, call, config};
use crate::store::Store;

const HOST: &str = "a.example";

/// Size of a response of the route for downloads. The largest of the site have 540,000 bytes.
const DOWNLOAD_BYTES: usize = 500_000;

/// Deadline of the requests, as the sheet has it for both routes.
const DEADLINE: Duration = Duration::from_millis(4_000);

/// What the client reads at a time, and the pause between two reads: 250 kB/s.
const READ_BYTES: usize = 5_000;
const READ_PAUSE: Duration = Duration::from_millis(20);

const CLIENTS: usize = 4;

/// The bound `contact` of the site.
const CONTACT: Duration = Duration::from_millis(4_000);

pub fn run(record: &Arc<Record>, dir: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    let routes = [
        Route {
            name: "tarieflijst",
            kind: "download",
            prefix: "/list/",
            aim_ms: 500,
            timeout_ms: None,
            service: "stapel",
        },
        Route {
            name: "saldo-check",
            kind: "safe",
            prefix: "/check/",
            aim_ms: 600,
            timeout_ms: Some(1_500),
            service: "stapel",
        },
    ];
    store.put("op/config", Some(&config(7, HOST, &routes, &["stapel"])));
    let targets: Vec<Target> = (0..4)
        .map(|n| {
            Target::start(
                &format!("i-{n}"),
                record,
                Arc::new(|message| {
                    let size = if message.word(1).starts_with("/list/") { DOWNLOAD_BYTES } else { 200 };
                    Answer::Respond(Duration::from_millis(100), vec![b'x'; size])
                }),
            )
        })
        .collect();
    for target in &targets {
        store.put(&format!("servers/{}", target.id), Some(&target.entry("stapel", "gent-a", "ready", 1)));
    }
    let entrance = store.entrance();
    let Some(daemon) = Daemon::start(&BFH_TOPUP, dir, "front-gent-a-1", "gent-a", entrance.address) else {
        return Verdict::NotRun;
    };
    thread::sleep(CONTACT);
    // The daemon learns how long the work takes.
    for n in 0..20 {
        let path = if n % 2 == 0 { "/list/w" } else { "/check/w" };
        call(daemon.front, &request(path, &format!("warm-{n}")));
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, front) = (Arc::clone(record), daemon.front);
            thread::spawn(move || client(&record, front, n))
        })
        .collect();
    thread::sleep(Duration::from_millis(600));
    if trouble {
        record.line("SIGTERM to the daemon");
        daemon.signal("TERM");
    }
    let whole = clients.into_iter().map(|c| c.join().unwrap_or(None)).collect::<Vec<_>>();
    let Some(whole) = whole.into_iter().collect::<Option<Vec<bool>>>() else { return Verdict::NotRun };
    let lost = whole.iter().filter(|whole| !**whole).count();
    record.line(&format!("{lost} of {CLIENTS} first answers were not complete"));
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}

fn request(path: &str, attempt: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Affinity-Key: {attempt}\r\nX-Deadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    )
}

/// Sends three requests, 50 ms apart, and reads the first answer slowly. Returns whether it was complete within the deadline.
fn client(record: &Record, front: SocketAddr, n: usize) -> Option<bool> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(DEADLINE)).ok()?;
    let started = Instant::now();
    for (k, path) in ["/list/1", "/check/2", "/check/3"].into_iter().enumerate() {
        let attempt = format!("client-{n}-{k}");
        stream.write_all(request(path, &attempt).as_bytes()).ok()?;
        record.line(&format!("client {n} has sent {attempt}"));
        thread::sleep(Duration::from_millis(50));
    }
    let mut received = Vec::new();
    let mut part = [0; READ_BYTES];
    let ended = loop {
        if let Some(size) = first_answer_bytes(&received)
            && received.len() >= size
        {
            break "complete".to_owned();
        }
        if started.elapsed() > DEADLINE {
            break "deadline".to_owned();
        }
        match stream.read(&mut part) {
            Ok(0) => break "the connection was closed".to_owned(),
            Ok(len) => received.extend_from_slice(&part[..len]),
            Err(e) => break format!("the connection ended: {e}"),
        }
        thread::sleep(READ_PAUSE);
    };
    let size = first_answer_bytes(&received).unwrap_or(0);
    record.line(&format!(
        "client {n}: first answer, {} of {size} bytes after {} ms, {ended}",
        received.len(),
        started.elapsed().as_millis()
    ));
    Some(ended == "complete")
}

/// Size of the first answer with its head, once the head has been received.
fn first_answer_bytes(received: &[u8]) -> Option<usize> {
    let end = received.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"))?;
    Some(end + length.trim().parse::<usize>().ok()?)
}
