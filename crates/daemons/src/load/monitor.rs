//! Watches the backend servers during a run: load by region, and what they count.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use awc::Client;
use futures_util::future::join_all;
use medlarstair_standins::{BackendStats, Health, Run};
use serde::de::DeserializeOwned;

use super::caller::Job;
use super::policy::Server;

/// Time between two samples of the load.
pub const SAMPLE_PERIOD: Duration = Duration::from_millis(100);
/// Callers of the least-load baseline see every third sample: the 300 ms that the daemons poll with.
const SAMPLES_PER_REPORT: usize = 3;
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Room for the run log of a backend server.
const RUNS_MAX_BYTES: usize = 512 << 20;

/// Requests running on each backend server at one time, in the order of [`servers`].
#[derive(Debug, Clone)]
pub struct Sample {
    /// Time from the start of the run.
    pub at: Duration,
    /// Running requests; `None` if the server did not answer.
    pub in_use: Vec<Option<u32>>,
}

/// All backend servers of a run.
pub fn servers(job: &Job) -> impl Iterator<Item = &Server> {
    job.pools.iter().flat_map(|pool| &pool.servers)
}

/// Samples the load until `stop` is set.
pub async fn watch(job: Arc<Job>, start: Instant, stop: Arc<AtomicBool>) -> Vec<Sample> {
    let client = Client::builder().timeout(POLL_TIMEOUT).finish();
    let mut samples = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let round = Instant::now();
        let polls = servers(&job).map(|server| get::<Health>(&client, server, "health"));
        let in_use =
            join_all(polls).await.into_iter().map(|health| health.map(|h| h.in_use)).collect::<Vec<_>>();
        if samples.len() % SAMPLES_PER_REPORT == 0 {
            for (server, in_use) in servers(&job).zip(&in_use) {
                server.reported.store(in_use.unwrap_or(u32::MAX), Ordering::Relaxed);
            }
        }
        // Before the start of the run the time is 0; such samples only serve as reports.
        samples.push(Sample { at: round.saturating_duration_since(start), in_use });
        actix_rt::time::sleep(SAMPLE_PERIOD.saturating_sub(round.elapsed())).await;
    }
    samples
}

/// Counts of all backend servers; absent ones count as zero.
pub async fn stats(job: &Job) -> Vec<BackendStats> {
    let client = Client::builder().timeout(POLL_TIMEOUT).finish();
    let polls = servers(job).map(|server| get::<BackendStats>(&client, server, "stats"));
    join_all(polls).await.into_iter().map(Option::unwrap_or_default).collect()
}

/// Run logs of all backend servers; `None` for one that does not answer.
pub async fn runs(job: &Job) -> Vec<Option<Vec<Run>>> {
    let client = Client::builder().timeout(POLL_TIMEOUT * 10).finish();
    let mut logs = Vec::new();
    for server in servers(job) {
        logs.push(get(&client, server, "runs").await);
    }
    logs
}

async fn get<T: DeserializeOwned>(client: &Client, server: &Server, what: &str) -> Option<T> {
    let mut res = client.get(format!("http://{}/{what}", server.real)).send().await.ok()?;
    let body = res.body().limit(RUNS_MAX_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
