//! Clients that send further safe requests before the first is answered, and leave before their deadline (rule GONE).

use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{BFH, Connection, Deployment, get};
use crate::http::read_message;
use crate::record::Record;
use crate::target::Work;

/// Number of clients that leave: a fifth of all, the share of the site's list of disruptions.
const LEAVING: usize = 10;
/// Number of clients that stay. Each sends one request.
const STAYING: usize = 40;
/// Number of requests that each client that leaves sends at once.
const REQUESTS: usize = 4;
/// Time that a target works on a request: the mean of the sheet.
const WORK: Duration = Duration::from_millis(750);
/// Deadline of the clients.
const DEADLINE_MS: u64 = 4_000;
/// Time after which the clients leave: half of the objective, the usual value of the disruption.
const PATIENCE: Duration = Duration::from_millis(300);
/// Time after a close from which the rule counts.
const SLACK: Duration = Duration::from_millis(500);
/// Time after the start of a daemon from which it is in touch (`contact`, 4 s), and a little more.
const CONTACT: Duration = Duration::from_millis(4_500);
/// "A few" requests.
const FEW: usize = 3;

/// Plays the case. Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let deployment = Deployment::start(record, &BFH, |_| Work { time: WORK, bytes: 5_000 })?;
    sleep(CONTACT);
    let mut clients = Vec::new();
    for client in 0..LEAVING {
        let mut connection = Connection::open(&deployment.daemons[0].front)?;
        let ids: Vec<String> = (0..REQUESTS).map(|n| format!("c{client}-{n}")).collect();
        let text: String = ids
            .iter()
            .map(|id| get(&format!("/saldo/{id}"), id, &format!("{client}"), DEADLINE_MS))
            .collect();
        connection.send(&text)?;
        record.line(&format!("client {client} sends {}", ids.join(" ")));
        clients.push((connection, ids));
    }
    let staying: Vec<_> = (0..STAYING)
        .map(|client| {
            let front = deployment.daemons[0].front.clone();
            spawn(move || stay(&front, client).unwrap_or(0))
        })
        .collect();
    let mut left_at = Vec::new();
    if has_trouble {
        sleep(PATIENCE);
        for (client, (connection, ids)) in clients.into_iter().enumerate() {
            drop(connection);
            record.line(&format!("client {client} closes its connection"));
            left_at.push((ids, Instant::now()));
        }
    } else {
        for (client, (mut connection, ids)) in clients.into_iter().enumerate() {
            for id in &ids {
                let answer = read_message(&mut connection.reader)?;
                record.line(&format!("client {client} gets {} for {id}", answer.status()));
            }
            left_at.push((ids, Instant::now()));
        }
    }
    sleep(Duration::from_secs(5));
    let answered = staying.into_iter().filter_map(|c| c.join().ok()).filter(|status| *status == 200).count();
    record.line(&format!("{answered} of {STAYING} clients that stay got a 200"));
    let runs: Vec<_> = deployment.targets.iter().flat_map(|t| t.runs()).collect();
    let mut late = 0;
    let (mut at_work, mut would_last) = (0, 0);
    for (ids, left) in &left_at {
        for run in runs.iter().filter(|r| ids.contains(&r.attempt)) {
            let limit = *left + SLACK;
            if run.began > limit {
                late += 1;
                let after = run.began.duration_since(*left).as_millis();
                record
                    .line(&format!("{} reached a target {after} ms after its client had left", run.attempt));
            } else if run.began + WORK > limit {
                would_last += 1;
                at_work += usize::from(run.ended.is_none_or(|ended| ended > limit));
            }
        }
    }
    record.line(&format!("{late} requests reached a target over half a second after their client had left"));
    record.line(&format!("of {would_last} requests that lasted so long, {at_work} were still at work"));
    println!("{late} requests reached a target late; {at_work} of {would_last} were still at work");
    Ok(late > FEW || (would_last > 0 && 4 * at_work > would_last))
}

/// Sends one request and returns the status of the answer.
fn stay(front: &str, client: usize) -> std::io::Result<u16> {
    let mut connection = Connection::open(front)?;
    let id = format!("stay-{client}");
    connection.send(&get(&format!("/saldo/{id}"), &id, &id, DEADLINE_MS))?;
    Ok(read_message(&mut connection.reader)?.status())
}
