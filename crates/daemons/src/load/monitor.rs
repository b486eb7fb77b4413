//! Collects load samples, counters and run logs from the backend servers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use awc::Client;
use futures_util::future::join_all;
use medlarstair_standins::{BackendStats, Health, Run};
use serde::de::DeserializeOwned;

use super::caller::RunContext;
use super::policy::Server;

/// Interval between load samples.
pub const SAMPLE_PERIOD: Duration = Duration::from_millis(100);
/// The least-load policy sees every third sample, which matches the 300 ms polling interval of the daemons.
const SAMPLES_PER_LOAD_REPORT: usize = 3;
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a run log.
const MAX_RUN_LOG_BYTES: usize = 512 << 20;

/// Load of all backend servers at one time.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Time since the start of the run; 0 for samples taken before it.
    pub at: Duration,
    /// Slots in use by backend server, in the order of [`servers`]; `None` if the server did not respond.
    pub in_use: Vec<Option<u32>>,
}

/// All backend servers, ordered by service.
pub fn servers(ctx: &RunContext) -> impl Iterator<Item = &Server> {
    ctx.pools.iter().flat_map(|pool| &pool.servers)
}

/// Samples the load until `stop` is set.
pub async fn sample_load(ctx: Arc<RunContext>, start: Instant, stop: Arc<AtomicBool>) -> Vec<Sample> {
    let client = Client::builder().timeout(POLL_TIMEOUT).finish();
    let mut samples = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let round_start = Instant::now();
        let polls = servers(&ctx).map(|server| get_json::<Health>(&client, server, "health"));
        let in_use =
            join_all(polls).await.into_iter().map(|health| health.map(|h| h.in_use)).collect::<Vec<_>>();
        if samples.len() % SAMPLES_PER_LOAD_REPORT == 0 {
            for (server, in_use) in servers(&ctx).zip(&in_use) {
                server.reported_load.store(in_use.unwrap_or(u32::MAX), Ordering::Relaxed);
            }
        }
        // Samples taken before the start of the run only serve the least-load policy.
        samples.push(Sample { at: round_start.saturating_duration_since(start), in_use });
        actix_rt::time::sleep(SAMPLE_PERIOD.saturating_sub(round_start.elapsed())).await;
    }
    samples
}

/// Reads the counters of all backend servers; those of a server that does not respond are zero.
pub async fn fetch_stats(ctx: &RunContext) -> Vec<BackendStats> {
    let client = Client::builder().timeout(POLL_TIMEOUT).finish();
    let polls = servers(ctx).map(|server| get_json::<BackendStats>(&client, server, "stats"));
    join_all(polls).await.into_iter().map(Option::unwrap_or_default).collect()
}

/// Reads the run logs of all backend servers; `None` for a server that does not respond.
pub async fn fetch_run_logs(ctx: &RunContext) -> Vec<Option<Vec<Run>>> {
    let client = Client::builder().timeout(POLL_TIMEOUT * 10).finish();
    let mut logs = Vec::new();
    for server in servers(ctx) {
        logs.push(get_json(&client, server, "runs").await);
    }
    logs
}

async fn get_json<T: DeserializeOwned>(client: &Client, server: &Server, what: &str) -> Option<T> {
    let mut res = client.get(format!("http://{}/{what}", server.real)).send().await.ok()?;
    let body = res.body().limit(MAX_RUN_LOG_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
