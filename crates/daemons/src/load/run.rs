//! One run from start to figures.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use actix_rt::Runtime;
use medlarstair_standins::Deployment;
use tokio::sync::mpsc;

use super::audit::Audit;
use super::caller::{Job, work};
use super::directory::check_loopback;
use super::error::LoadError;
use super::monitor;
use super::outcome::Record;
use super::pace::pace;
use super::policy::{Policy, Pool};
use super::report::{Observed, RunReport, Window};
use super::trace::TraceRequest;

/// Time from the start of the threads to the first request; callers look up entry VMs meanwhile.
const WARM_UP: Duration = Duration::from_secs(1);
/// Runs whose caller has gone end within this time after the last answer, so that the run logs are complete.
const SETTLE: Duration = Duration::from_millis(1_500);

/// What to run.
#[derive(Debug, Clone)]
pub struct RunConfig {
    /// The deployment.
    pub deployment: Deployment,
    /// The requests.
    pub trace: Vec<TraceRequest>,
    /// Who steers.
    pub policy: Policy,
    /// Worker threads.
    pub workers: usize,
    /// Part of the run that the figures describe; the whole run if absent.
    pub window: Option<Window>,
    /// Distinguishes this run from others in run logs; letters and digits.
    pub run_id: Box<str>,
}

/// Carries out a run. It ends by itself, at most a little after the last deadline of the trace.
///
/// # Errors
///
/// The deployment leaves the local machine, or a thread cannot be started.
pub fn run(cfg: RunConfig) -> Result<RunReport, LoadError> {
    for entry in &cfg.deployment.entries {
        check_loopback(entry.http.front.ip())?;
    }
    let length_us = cfg.trace.last().map_or(0, |r| r.at_us);
    let whole = Window { from_ms: 0, until_ms: length_us / 1_000 + 1 };
    let window = cfg.window.unwrap_or(whole);
    if window.from_ms >= window.until_ms {
        return Err(LoadError::invalid("the window is empty"));
    }
    let pools = Pool::of(&cfg.deployment)?;
    let job = Arc::new(Job {
        trace: cfg.trace,
        deployment: cfg.deployment,
        policy: cfg.policy,
        pools,
        run_id: cfg.run_id,
    });
    let observed = observe(&job, cfg.workers.max(1))?;
    Ok(RunReport::new(&job, &observed, window))
}

fn observe(job: &Arc<Job>, workers: usize) -> Result<Observed, LoadError> {
    let before = Runtime::new()?.block_on(monitor::stats(job));
    let start = Instant::now() + WARM_UP;
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = {
        let (job, stop) = (Arc::clone(job), Arc::clone(&stop));
        spawn("monitor", move || Ok(Runtime::new()?.block_on(monitor::watch(job, start, stop))))?
    };
    let records = send_all(job, workers, start);
    stop.store(true, Ordering::Relaxed);
    let samples = join(watcher)?;
    let records = records?;
    thread::sleep(SETTLE);
    let runtime = Runtime::new()?;
    let after = runtime.block_on(monitor::stats(job));
    let logs = runtime.block_on(monitor::runs(job));
    let runs = logs.iter().flatten().flatten().filter_map(|run| Some((job.index_of(&run.path)?, run)));
    let mut audit = Audit::new(&job.trace, &records, runs);
    audit.missing_logs = logs.iter().filter(|log| log.is_none()).count() as u64;
    // Samples of the warm-up and of the end of the run are no load of the trace.
    let length = Duration::from_micros(job.trace.last().map_or(0, |r| r.at_us));
    let samples = samples.into_iter().filter(|s| !s.at.is_zero() && s.at <= length).collect();
    Ok(Observed { records, samples, stats: [before, after], audit })
}

fn send_all(job: &Arc<Job>, workers: usize, start: Instant) -> Result<Vec<Record>, LoadError> {
    let mut senders = Vec::new();
    let mut threads = Vec::new();
    for number in 0..workers {
        let (tx, rx) = mpsc::unbounded_channel();
        let job = Arc::clone(job);
        let body = move || Runtime::new()?.block_on(work(job, number as u64, start, rx));
        threads.push(spawn("caller", body)?);
        senders.push(tx);
    }
    pace(start, job.trace.iter().map(|r| r.at_us), |i| senders[i % workers].send(i).is_ok());
    drop(senders);
    let mut records = Vec::with_capacity(job.trace.len());
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
