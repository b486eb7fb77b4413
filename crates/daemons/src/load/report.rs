//! Results of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use medlarstair::state::id::Rank;
use medlarstair_standins::BackendStats;
use serde::{Deserialize, Serialize};

use super::audit::Audit;
use super::caller::RunContext;
use super::monitor::{Sample, servers};
use super::outcome::{Outcome, Record};
use super::pace::{Lateness, histogram};
use super::policy::Policy;

/// Number of samples (1 s) over which load is averaged, because single samples of a few slots vary widely.
const LOAD_WINDOW_SAMPLES: usize = 10;
/// Mean load, as a fraction of the slots, below which a region has spare capacity.
const SPARE_CAPACITY_LOAD: f64 = 0.8;

/// Time range of a run that is evaluated, in ms since the start of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Start, inclusive.
    pub from_ms: u64,
    /// End, exclusive.
    pub until_ms: u64,
}

impl Window {
    fn contains(self, at: Duration) -> bool {
        (u128::from(self.from_ms)..u128::from(self.until_ms)).contains(&at.as_millis())
    }

    fn seconds(self) -> f64 {
        self.until_ms.saturating_sub(self.from_ms) as f64 / 1e3
    }
}

/// Quantiles of measured times, in ms.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of measured times.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl Quantiles {
    /// Computes the quantiles of a histogram of times in µs.
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

/// Results of one rank in the window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// Rank of the requests.
    pub rank: Rank,
    /// Requests whose intended send time is in the window.
    pub requests: u64,
    /// Fraction of them that succeeded within the deadline; 1 if there are none.
    pub in_time: f64,
    /// Number of requests by outcome and reason.
    pub outcomes: BTreeMap<Box<str>, u64>,
    /// Latency of successful responses, including late ones, from the intended send time.
    pub latency: Quantiles,
    /// Latency of responses that report the request as not executed.
    pub refusal_latency: Quantiles,
    /// Requested slot time, as a fraction of the slot time of the fleet in the window.
    pub demand: f64,
    /// Slot time of requests that succeeded within the deadline, as a fraction of the slot time of the fleet in the
    /// window.
    pub goodput: f64,
    /// Requests per second that succeeded within the deadline.
    pub goodput_per_second: f64,
}

/// Results of one rank in one second: latency of requests intended in it, goodput of requests that ended in it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondReport {
    /// Median latency of successful responses in ms; 0 if there are none.
    pub p50_ms: f64,
    /// 99th percentile of the latency in ms.
    pub p99_ms: f64,
    /// See [`RankReport::goodput`].
    pub goodput: f64,
}

/// Load of the backend servers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Lowest headroom of a region: mean fraction of free slots over one second.
    pub lowest_headroom: f64,
    /// Highest mean load of a region over one second while any region was below 80 %.
    pub busiest_while_room: f64,
    /// Largest excess of concurrent requests over the slots of a backend server, from samples and counters.
    pub most_beyond_slots: u32,
    /// Requests that backend servers rejected because all slots were in use.
    pub shed: u64,
    /// Crashes of backend servers.
    pub crashes: u64,
}

/// Complete results of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// Name of the deployment.
    pub deployment: Box<str>,
    /// How destinations were selected.
    pub policy: Policy,
    /// Requests in the trace.
    pub requests: u64,
    /// Requests without a record.
    pub lost: u64,
    /// Delays added by the tool.
    pub lateness: Lateness,
    /// Time range that `ranks` and `goodput` cover.
    pub window: Window,
    /// Results by rank: urgent, standard and bulk.
    pub ranks: Vec<RankReport>,
    /// Sum of [`RankReport::goodput`] over the ranks.
    pub goodput: f64,
    /// Load of the backend servers.
    pub load: LoadReport,
    /// Check against the run logs.
    pub audit: Audit,
    /// Results by rank and second.
    pub seconds: Vec<Vec<SecondReport>>,
}

/// Raw data collected by a run.
#[derive(Debug)]
pub struct Observations {
    /// Measurements by request, in no particular order.
    pub records: Vec<Record>,
    /// Load samples taken during the trace.
    pub samples: Vec<Sample>,
    /// Counters of the backend servers before and after the run.
    pub stats: [Vec<BackendStats>; 2],
    /// Check against the run logs.
    pub audit: Audit,
}

impl RunReport {
    /// Computes the results of a run.
    pub fn new(ctx: &RunContext, observations: &Observations, window: Window) -> Self {
        let records = &observations.records;
        let ranks = Rank::ALL.map(|rank| rank_report(ctx, records, rank, window)).to_vec();
        Self {
            deployment: ctx.deployment.name.as_str().into(),
            policy: ctx.policy,
            requests: ctx.trace.len() as u64,
            lost: ctx.trace.len().saturating_sub(records.len()) as u64,
            lateness: Lateness::from_samples(records.iter().map(|r| r.lateness.as_micros() as u64)),
            window,
            goodput: ranks.iter().map(|r| r.goodput).sum(),
            ranks,
            load: load_report(ctx, observations),
            audit: observations.audit.clone(),
            seconds: Rank::ALL.map(|rank| seconds(ctx, records, rank)).to_vec(),
        }
    }
}

/// Slot time of a request as a fraction of the slot time of the fleet in `seconds`.
fn slot_time_share(ctx: &RunContext, record: &Record, seconds: f64) -> f64 {
    let run_s = f64::from(ctx.trace[record.index].run_ms) / 1e3;
    run_s / (f64::from(ctx.deployment.total_slots()) * seconds)
}

fn rank_report(ctx: &RunContext, records: &[Record], rank: Rank, window: Window) -> RankReport {
    let (mut latency, mut refusal_latency) = (histogram(), histogram());
    let mut outcomes = BTreeMap::<Box<str>, u64>::new();
    let (mut requests, mut ok, mut ended, mut demand, mut goodput) = (0_u64, 0_u64, 0_u64, 0.0, 0.0);
    for record in records.iter().filter(|r| r.rank == rank) {
        let share = slot_time_share(ctx, record, window.seconds());
        if record.outcome == Outcome::Ok && window.contains(record.intended + record.latency) {
            goodput += share;
            ended += 1;
        }
        if !window.contains(record.intended) {
            continue;
        }
        requests += 1;
        demand += share;
        *outcomes.entry(outcome_label(&record.outcome)).or_default() += 1;
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

fn outcome_label(outcome: &Outcome) -> Box<str> {
    match outcome {
        Outcome::Ok => "ok".into(),
        Outcome::Late => "late".into(),
        Outcome::NotRun(reason) => format!("not-run {reason}").into(),
        Outcome::Unknown(reason) => format!("unknown {reason}").into(),
        Outcome::Failed(reason) => format!("failed {reason}").into(),
        Outcome::Transport(reason) => format!("transport {reason}").into(),
    }
}

fn seconds(ctx: &RunContext, records: &[Record], rank: Rank) -> Vec<SecondReport> {
    let length = ctx.trace.last().map_or(0, |r| r.at_us / 1_000_000 + 1) as usize;
    let mut hists = vec![histogram(); length];
    let mut seconds = vec![SecondReport::default(); length];
    for record in records.iter().filter(|r| r.rank == rank) {
        if !matches!(record.outcome, Outcome::Ok | Outcome::Late) {
            continue;
        }
        if let Some(hist) = hists.get_mut(record.intended.as_secs() as usize) {
            hist.saturating_record(record.latency.as_micros() as u64);
        }
        let end = (record.intended + record.latency).as_secs() as usize;
        if let Some(second) = seconds.get_mut(end).filter(|_| record.outcome == Outcome::Ok) {
            second.goodput += slot_time_share(ctx, record, 1.0);
        }
    }
    for (second, hist) in seconds.iter_mut().zip(&hists) {
        let quantiles = Quantiles::of(hist);
        (second.p50_ms, second.p99_ms) = (quantiles.p50_ms, quantiles.p99_ms);
    }
    seconds
}

fn load_report(ctx: &RunContext, observations: &Observations) -> LoadReport {
    let mut report = LoadReport { lowest_headroom: 1.0, ..LoadReport::default() };
    for samples in observations.samples.windows(LOAD_WINDOW_SAMPLES) {
        let loads = ctx.deployment.regions.iter().map(|region| region_load(ctx, samples, region));
        let loads = loads.collect::<Vec<_>>();
        let busiest = loads.iter().copied().fold(0.0, f64::max);
        report.lowest_headroom = report.lowest_headroom.min(1.0 - busiest);
        if loads.iter().any(|load| *load < SPARE_CAPACITY_LOAD) {
            report.busiest_while_room = report.busiest_while_room.max(busiest);
        }
    }
    for sample in &observations.samples {
        for (server, in_use) in servers(ctx).zip(&sample.in_use) {
            let excess = in_use.unwrap_or(0).saturating_sub(server.slots);
            report.most_beyond_slots = report.most_beyond_slots.max(excess);
        }
    }
    let [before, after] = &observations.stats;
    for ((before, after), server) in before.iter().zip(after).zip(servers(ctx)) {
        let excess = after.most_in_use.saturating_sub(server.slots);
        report.most_beyond_slots = report.most_beyond_slots.max(excess);
        report.shed += after.shed.saturating_sub(before.shed);
        report.crashes += after.crashes.saturating_sub(before.crashes);
    }
    report
}

/// Mean load of a region as a fraction of its slots.
fn region_load(ctx: &RunContext, samples: &[Sample], region: &str) -> f64 {
    let (mut in_use, mut slots) = (0_u64, 0_u64);
    for sample in samples {
        for (server, used) in servers(ctx).zip(&sample.in_use).filter(|(s, _)| *s.region == *region) {
            in_use += u64::from(used.unwrap_or(0));
            slots += u64::from(server.slots);
        }
    }
    in_use as f64 / slots.max(1) as f64
}
