//! Clients that send further safe requests before the first is answered, and leave before their deadline (rule GONE).

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{BFH, Connection, Deployment, get};
use crate::http::read_message;
use crate::record::Record;
use crate::target::Work;

/// Number of clients.
const CLIENTS: usize = 10;
/// Number of requests that each client sends at once.
const REQUESTS: usize = 4;
/// Time that a target works on a request: within the sheet's times, and below the timeout of the route.
const WORK: Duration = Duration::from_millis(1_400);
/// Deadline of the clients.
const DEADLINE_MS: u64 = 4_000;
/// Time after which the clients leave: half of the objective, the usual value of the disruption.
const PATIENCE: Duration = Duration::from_millis(300);
/// Time after a close from which the rule counts.
const SLACK: Duration = Duration::from_millis(500);
/// "A few" requests.
const FEW: usize = 3;

/// Plays the case. Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let deployment = Deployment::start(record, &BFH, |_| Work { time: WORK, bytes: 5_000 })?;
    sleep(Duration::from_millis(500));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
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
    Ok(late > FEW || (would_last > 0 && 4 * at_work > would_last))
}
