//! Execution of a run.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use actix_rt::Runtime;
use medlarstair_standins::Deployment;
use tokio::sync::mpsc;

use super::audit::Audit;
use super::caller::{RunContext, run_worker};
use super::directory::check_loopback;
use super::error::LoadError;
use super::monitor;
use super::outcome::Record;
use super::pace::pace;
use super::policy::{Policy, Pool};
use super::report::{Observations, RunReport, Window};
use super::trace::TraceRequest;

/// Delay of the first request after the start of the threads, in which workers look up entry VMs.
const WARM_UP: Duration = Duration::from_secs(1);
/// Wait before the run logs are read. Executions whose caller has disconnected end within this time after the last
/// response, so the logs are then complete.
const RUN_END_WAIT: Duration = Duration::from_millis(1_500);

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct RunConfig {
    /// Deployment under load. All its addresses must be on the local machine.
    pub deployment: Deployment,
    /// Requests, ordered by send time.
    pub trace: Vec<TraceRequest>,
    /// How the destination of each request is selected.
    pub policy: Policy,
    /// Number of worker threads; 0 is taken as 1.
    pub workers: usize,
    /// Time range to evaluate; the whole run if absent.
    pub window: Option<Window>,
    /// Identifies this run in the run logs. It must differ between runs and consist of letters and digits.
    pub run_id: Box<str>,
}

/// Executes a run and evaluates it. It ends a few seconds after the last deadline of the trace at the latest.
///
/// # Errors
///
/// An address is not on the local machine, the window is empty, or a thread cannot be started or panics.
pub fn run(cfg: RunConfig) -> Result<RunReport, LoadError> {
    for entry in &cfg.deployment.entries {
        check_loopback(entry.http.front.ip())?;
    }
    let length_us = cfg.trace.last().map_or(0, |r| r.at_us);
    let entire_run = Window { from_ms: 0, until_ms: length_us / 1_000 + 1 };
    let window = cfg.window.unwrap_or(entire_run);
    if window.from_ms >= window.until_ms {
        return Err(LoadError::invalid("the evaluation window is empty"));
    }
    let pools = Pool::from_deployment(&cfg.deployment)?;
    let ctx = Arc::new(RunContext {
        trace: cfg.trace,
        deployment: cfg.deployment,
        policy: cfg.policy,
        pools,
        run_id: cfg.run_id,
    });
    let observations = execute(&ctx, cfg.workers.max(1))?;
    Ok(RunReport::new(&ctx, &observations, window))
}

fn execute(ctx: &Arc<RunContext>, workers: usize) -> Result<Observations, LoadError> {
    let before = Runtime::new()?.block_on(monitor::fetch_stats(ctx));
    let start = Instant::now() + WARM_UP;
    let stop = Arc::new(AtomicBool::new(false));
    let monitor_thread = {
        let (ctx, stop) = (Arc::clone(ctx), Arc::clone(&stop));
        spawn("monitor", move || Ok(Runtime::new()?.block_on(monitor::sample_load(ctx, start, stop))))?
    };
    let records = run_workers(ctx, workers, start);
    stop.store(true, Ordering::Relaxed);
    let samples = join(monitor_thread)?;
    let records = records?;
    thread::sleep(RUN_END_WAIT);
    let runtime = Runtime::new()?;
    let after = runtime.block_on(monitor::fetch_stats(ctx));
    let logs = runtime.block_on(monitor::fetch_run_logs(ctx));
    let runs = logs.iter().flatten().flatten().filter_map(|run| Some((ctx.index_of(&run.path)?, run)));
    let mut audit = Audit::new(&ctx.trace, &records, runs);
    audit.missing_logs = logs.iter().filter(|log| log.is_none()).count() as u64;
    // Samples from before the first and after the last request do not show the load of the trace.
    let length = Duration::from_micros(ctx.trace.last().map_or(0, |r| r.at_us));
    let samples = samples.into_iter().filter(|s| !s.at.is_zero() && s.at <= length).collect();
    Ok(Observations { records, samples, stats: [before, after], audit })
}

fn run_workers(ctx: &Arc<RunContext>, workers: usize, start: Instant) -> Result<Vec<Record>, LoadError> {
    let mut senders = Vec::new();
    let mut threads = Vec::new();
    for number in 0..workers {
        let (tx, rx) = mpsc::unbounded_channel();
        let ctx = Arc::clone(ctx);
        let worker = move || Runtime::new()?.block_on(run_worker(ctx, number as u64, start, rx));
        threads.push(spawn("caller", worker)?);
        senders.push(tx);
    }
    pace(start, ctx.trace.iter().map(|r| r.at_us), |i| senders[i % workers].send(i).is_ok());
    drop(senders);
    let mut records = Vec::with_capacity(ctx.trace.len());
    for thread in threads {
        records.extend(join(thread)?);
    }
    Ok(records)
}

type Thread<T> = JoinHandle<Result<T, LoadError>>;

fn spawn<T: Send + 'static>(
    name: &str,
    body: impl FnOnce() -> Result<T, LoadError> + Send + 'static,
) -> Result<Thread<T>, LoadError> {
    Ok(thread::Builder::new().name(name.into()).spawn(body)?)
}

fn join<T>(thread: Thread<T>) -> Result<T, LoadError> {
    thread.join().unwrap_or_else(|_| Err(LoadError::invalid("a thread of the load tool panicked")))
}
