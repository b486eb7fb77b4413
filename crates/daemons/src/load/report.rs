//! Figures of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use medlarstair::state::id::Rank;
use medlarstair_standins::BackendStats;
use serde::{Deserialize, Serialize};

use super::audit::Audit;
use super::caller::Job;
use super::monitor::{Sample, servers};
use super::outcome::{Outcome, Record};
use super::pace::{Lateness, histogram};
use super::policy::Policy;

/// Load is averaged over this time, since single samples of a few slots vary widely.
const HEADROOM_SAMPLES: usize = 10;
/// A region has room while its mean load is below this part of its slots.
const ROOM: f64 = 0.8;

/// Part of a run that the figures describe, in ms from its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Start.
    pub from_ms: u64,
    /// End.
    pub until_ms: u64,
}

impl Window {
    fn holds(self, at: Duration) -> bool {
        (u128::from(self.from_ms)..u128::from(self.until_ms)).contains(&at.as_millis())
    }

    fn seconds(self) -> f64 {
        self.until_ms.saturating_sub(self.from_ms) as f64 / 1e3
    }
}

/// Quantiles of times in ms.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of times.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Highest.
    pub max_ms: f64,
}

impl Quantiles {
    /// Of a histogram of µs.
    pub fn of(hist: &Histogram<u64>) -> Self {
        let ms = |us: u64| us as f64 / 1e3;
        Self {
            count: hist.len(),
            p50_ms: ms(hist.value_at_quantile(0.5)),
            p99_ms: ms(hist.value_at_quantile(0.99)),
            p999_ms: ms(hist.value_at_quantile(0.999)),
            max_ms: ms(hist.max()),
        }
    }
}

/// Figures of one rank in the window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// The rank.
    pub rank: Rank,
    /// Requests with an intended time in the window.
    pub requests: u64,
    /// Part of them that was answered within the deadline.
    pub in_time: f64,
    /// How they ended.
    pub outcomes: BTreeMap<Box<str>, u64>,
    /// Latency of successful answers, from the intended time.
    pub latency: Quantiles,
    /// Latency of "not run" answers.
    pub refusal_latency: Quantiles,
    /// Slot time asked for, as a part of the slot time of the fleet.
    pub demand: f64,
    /// Slot time of answers within their deadline, as a part of the slot time of the fleet.
    pub goodput: f64,
    /// Answers within their deadline per second.
    pub goodput_per_second: f64,
}

/// One second of one rank, by intended time (latency) and end (goodput).
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Median latency of successful answers in ms.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// See [`RankReport::goodput`].
    pub goodput: f64,
}

/// Load of the backend servers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Lowest headroom of any region: free part of its slots, mean over a second.
    pub lowest_headroom: f64,
    /// Highest mean load of a region over a second while another region was below 80 %.
    pub busiest_while_room: f64,
    /// Highest number of running requests on a backend server beyond its slots, in any sample or count.
    pub most_beyond_slots: u32,
    /// Requests that backend servers refused since all slots were in use.
    pub shed: u64,
    /// Crashes.
    pub crashes: u64,
}

/// Everything that a run measured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// Name of the deployment.
    pub deployment: Box<str>,
    /// Who steered.
    pub policy: Policy,
    /// Requests of the trace.
    pub requests: u64,
    /// Requests without a record.
    pub lost: u64,
    /// Lateness of the tool.
    pub lateness: Lateness,
    /// Part of the run that the figures of the ranks describe.
    pub window: Window,
    /// Urgent, standard and bulk.
    pub ranks: Vec<RankReport>,
    /// Goodput of all ranks in slot time, as a part of the slot time of the fleet.
    pub goodput: f64,
    /// Load of the backend servers.
    pub load: LoadReport,
    /// Comparison with the run logs.
    pub audit: Audit,
    /// By rank and second.
    pub seconds: Vec<Vec<Second>>,
}

/// What a run observed.
#[derive(Debug)]
pub struct Observed {
    /// Requests.
    pub records: Vec<Record>,
    /// Load during the run.
    pub samples: Vec<Sample>,
    /// Counts of the backend servers before and after.
    pub stats: [Vec<BackendStats>; 2],
    /// Comparison with the run logs.
    pub audit: Audit,
}

impl RunReport {
    /// Computes the figures of a run.
    pub fn new(job: &Job, observed: &Observed, window: Window) -> Self {
        let records = &observed.records;
        let ranks = Rank::ALL.map(|rank| rank_report(job, records, rank, window)).to_vec();
        Self {
            deployment: job.deployment.name.as_str().into(),
            policy: job.policy,
            requests: job.trace.len() as u64,
            lost: job.trace.len().saturating_sub(records.len()) as u64,
            lateness: Lateness::of(records.iter().map(|r| r.late.as_micros() as u64)),
            window,
            goodput: ranks.iter().map(|r| r.goodput).sum(),
            ranks,
            load: load_report(job, observed),
            audit: observed.audit.clone(),
            seconds: Rank::ALL.map(|rank| seconds(job, records, rank)).to_vec(),
        }
    }
}

/// Slot time of a request as a part of the slot time of the fleet in `seconds`.
fn slot_part(job: &Job, record: &Record, seconds: f64) -> f64 {
    let run_s = f64::from(job.trace[record.index].run_ms) / 1e3;
    run_s / (f64::from(job.deployment.total_slots()) * seconds)
}

fn rank_report(job: &Job, records: &[Record], rank: Rank, window: Window) -> RankReport {
    let (mut latency, mut refusal_latency) = (histogram(), histogram());
    let mut outcomes = BTreeMap::<Box<str>, u64>::new();
    let (mut requests, mut ok, mut ended, mut demand, mut goodput) = (0_u64, 0_u64, 0_u64, 0.0, 0.0);
    for record in records.iter().filter(|r| r.rank == rank) {
        let part = slot_part(job, record, window.seconds());
        if record.outcome == Outcome::Ok && window.holds(record.intended + record.latency) {
            goodput += part;
            ended += 1;
        }
        if !window.holds(record.intended) {
            continue;
        }
        requests += 1;
        demand += part;
        *outcomes.entry(label(&record.outcome)).or_default() += 1;
        let us = record.latency.as_micros() as u64;
        match record.outcome {
            Outcome::Ok | Outcome::Late => latency.saturating_record(us),
            Outcome::NotRun(_) => refusal_latency.saturating_record(us),
            _ => {}
        }
        ok += u64::from(record.outcome == Outcome::Ok);
    }
    RankReport {
        rank,
        requests,
        in_time: if requests == 0 { 1.0 } else { ok as f64 / requests as f64 },
        outcomes,
        latency: Quantiles::of(&latency),
        refusal_latency: Quantiles::of(&refusal_latency),
        demand,
        goodput,
        goodput_per_second: ended as f64 / window.seconds(),
    }
}

fn label(outcome: &Outcome) -> Box<str> {
    match outcome {
        Outcome::Ok => "ok".into(),
        Outcome::Late => "late".into(),
        Outcome::NotRun(reason) => format!("not-run {reason}").into(),
        Outcome::Unknown(reason) => format!("unknown {reason}").into(),
        Outcome::Failed(reason) => format!("failed {reason}").into(),
        Outcome::Transport(reason) => format!("transport {reason}").into(),
    }
}

fn seconds(job: &Job, records: &[Record], rank: Rank) -> Vec<Second> {
    let length = job.trace.last().map_or(0, |r| r.at_us / 1_000_000 + 1) as usize;
    let mut hists = vec![histogram(); length];
    let mut seconds = vec![Second::default(); length];
    for record in records.iter().filter(|r| r.rank == rank) {
        if !matches!(record.outcome, Outcome::Ok | Outcome::Late) {
            continue;
        }
        if let Some(hist) = hists.get_mut(record.intended.as_secs() as usize) {
            hist.saturating_record(record.latency.as_micros() as u64);
        }
        let end = (record.intended + record.latency).as_secs() as usize;
        if let Some(second) = seconds.get_mut(end).filter(|_| record.outcome == Outcome::Ok) {
            second.goodput += slot_part(job, record, 1.0);
        }
    }
    for (second, hist) in seconds.iter_mut().zip(&hists) {
        let quantiles = Quantiles::of(hist);
        (second.p50_ms, second.p99_ms) = (quantiles.p50_ms, quantiles.p99_ms);
    }
    seconds
}

fn load_report(job: &Job, observed: &Observed) -> LoadReport {
    let mut report = LoadReport { lowest_headroom: 1.0, ..LoadReport::default() };
    for samples in observed.samples.windows(HEADROOM_SAMPLES) {
        let loads = job.deployment.regions.iter().map(|region| region_load(job, samples, region));
        let loads = loads.collect::<Vec<_>>();
        let busiest = loads.iter().copied().fold(0.0, f64::max);
        report.lowest_headroom = report.lowest_headroom.min(1.0 - busiest);
        if loads.iter().any(|load| *load < ROOM) {
            report.busiest_while_room = report.busiest_while_room.max(busiest);
        }
    }
    for sample in &observed.samples {
        for (server, in_use) in servers(job).zip(&sample.in_use) {
            let beyond = in_use.unwrap_or(0).saturating_sub(server.slots);
            report.most_beyond_slots = report.most_beyond_slots.max(beyond);
        }
    }
    let [before, after] = &observed.stats;
    for ((before, after), server) in before.iter().zip(after).zip(servers(job)) {
        let beyond = after.most_in_use.saturating_sub(server.slots);
        report.most_beyond_slots = report.most_beyond_slots.max(beyond);
        report.shed += after.shed.saturating_sub(before.shed);
        report.crashes += after.crashes.saturating_sub(before.crashes);
    }
    report
}

/// Mean load of a region as a part of its slots.
fn region_load(job: &Job, samples: &[Sample], region: &str) -> f64 {
    let (mut in_use, mut slots) = (0_u64, 0_u64);
    for sample in samples {
        for (server, used) in servers(job).zip(&sample.in_use).filter(|(s, _)| *s.region == *region) {
            in_use += u64::from(used.unwrap_or(0));
            slots += u64::from(server.slots);
        }
    }
    in_use as f64 / slots.max(1) as f64
}
