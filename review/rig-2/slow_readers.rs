//! Clients that read a large answer slowly, at any time and around a planned stop (rule LOST).

use std::io::{ErrorKind, Read};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{BFH, Connection, Deployment, get};
use crate::http::{read_head, read_message};
use crate::record::Record;
use crate::target::Work;

/// Number of clients.
const CLIENTS: usize = 8;
/// Size of an answer, within the sizes of the sheet's downloads.
const BYTES: usize = 500_000;
/// Time that a target works on a download and on a small request: the means of the sheet.
const WORK: Duration = Duration::from_millis(610);
const SMALL_WORK: Duration = Duration::from_millis(750);
/// Deadline of the clients.
const DEADLINE_MS: u64 = 4_000;
/// Time for which a client doesn't read.
const PAUSE: Duration = Duration::from_millis(2_200);
/// Number of requests that may be lost at any time.
const FEW: usize = 3;
/// Time between the requests and the SIGTERM.
const BEFORE_STOP: Duration = Duration::from_millis(100);

/// Plays the case. Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let mut deployment = Deployment::start(record, &BFH, |m| Work {
        time: if m.target().starts_with("/tarief/") { WORK } else { SMALL_WORK },
        bytes: if m.target().starts_with("/tarief/") { BYTES } else { 1_000 },
    })?;
    sleep(Duration::from_secs(5));
    let clients = start_clients(record, &deployment, "calm", has_trouble);
    let calm = count_lost(clients)?;
    record.line(&format!("at a calm time {calm} of {CLIENTS} answers were cut"));
    let clients = start_clients(record, &deployment, "stop", has_trouble);
    sleep(BEFORE_STOP);
    record.line("the daemon gets SIGTERM");
    deployment.daemons[0].roll()?;
    record.line("the daemon has ended and was started again");
    let planned = count_lost(clients)?;
    record.line(&format!("around the planned stop {planned} of {CLIENTS} answers were cut"));
    println!("answers cut: {calm} of {CLIENTS} at a calm time, {planned} of {CLIENTS} around a planned stop");
    Ok(calm > FEW || planned > 0)
}

type Clients = Vec<std::thread::JoinHandle<Outcome>>;

/// Starts the clients, and returns when each has sent its download.
fn start_clients(record: &Arc<Record>, deployment: &Deployment, part: &str, has_trouble: bool) -> Clients {
    let front = &deployment.daemons[0].front;
    let start = |client| {
        let (record, front, name) = (Arc::clone(record), front.clone(), format!("{part}-{client}"));
        spawn(move || download(&record, &front, &name, has_trouble))
    };
    let clients = (0..CLIENTS).map(start).collect();
    // The first request of each client takes the work of a target.
    sleep(SMALL_WORK + WORK / 2);
    clients
}

fn count_lost(clients: Clients) -> std::io::Result<usize> {
    let mut lost = 0;
    for client in clients {
        let is_lost = client.join().map_err(|_| std::io::Error::other("a client failed"))??;
        lost += usize::from(is_lost);
    }
    Ok(lost)
}

/// Sends a small request and then a download on the same connection. Returns whether the answer to the download was cut.
fn download(record: &Record, front: &str, name: &str, has_trouble: bool) -> Outcome {
    let mut connection = Connection::open(front)?;
    connection.send(&get("/saldo/x", &format!("{name}-first"), name, DEADLINE_MS))?;
    let first = read_message(&mut connection.reader)?;
    record.line(&format!("client {name} gets {} for its first request", first.status()));
    let sent = Instant::now();
    connection.send(&get(&format!("/tarief/{name}"), &format!("{name}-down"), name, DEADLINE_MS))?;
    record.line(&format!("client {name} sends {name}-down"));
    let head = read_head(&mut connection.reader)?;
    let length: usize = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    record.line(&format!("client {name} gets the head {} with length {length}", head.status()));
    if has_trouble {
        sleep(PAUSE);
    }
    let mut got = 0;
    let mut buf = [0; 16 << 10];
    let end = loop {
        match connection.reader.read(&mut buf) {
            Ok(0) => break "the connection is closed".to_owned(),
            Ok(n) => got += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => break e.to_string(),
        }
        if got >= length {
            break "the answer is complete".to_owned();
        }
    };
    let took = sent.elapsed().as_millis();
    record.line(&format!("client {name} has {got} of {length} bytes after {took} ms: {end}"));
    Ok(head.status() == 200 && got < length)
}
