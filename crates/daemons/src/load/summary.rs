//! Text summary of a run.

use std::fmt::{self, Display, Formatter};

use super::report::{RankReport, RunReport};

/// Formats a report as text.
#[derive(Debug)]
pub struct Summary<'a>(pub &'a RunReport);

impl Display for Summary<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let report = self.0;
        let late = &report.lateness;
        writeln!(
            f,
            "{}, {}: {} requests, {} lost",
            report.deployment, report.policy, report.requests, report.lost
        )?;
        write!(f, "tool lateness: p50 {} us, p99 {} us, max {} us", late.p50_us, late.p99_us, late.max_us)?;
        writeln!(f, "{}", if late.spoilt { " - SPOILT" } else { "" })?;
        writeln!(f, "window: {} to {} ms", report.window.from_ms, report.window.until_ms)?;
        for rank in &report.ranks {
            write_rank(f, rank)?;
        }
        let load = &report.load;
        writeln!(f, "goodput of the fleet: {:.1} % of its slot time", report.goodput * 100.0)?;
        writeln!(
            f,
            "lowest headroom of a region: {:.1} %; busiest region while another had room: {:.1} %",
            load.lowest_headroom * 100.0,
            load.busiest_while_room * 100.0
        )?;
        writeln!(
            f,
            "beyond slots: {}; shed by backend servers: {}; crashes: {}",
            load.most_beyond_slots, load.shed, load.crashes
        )?;
        let audit = &report.audit;
        writeln!(
            f,
            "run logs: {} runs, {} stopped, {} repeated, {} logs missing",
            audit.runs, audit.stopped_runs, audit.repeated, audit.missing_logs
        )?;
        writeln!(
            f,
            "violations: {} not run but ran, {} ran twice, {} answered without run",
            audit.not_run_but_ran.count, audit.ran_twice.count, audit.answered_without_run.count
        )
    }
}

fn write_rank(f: &mut Formatter<'_>, rank: &RankReport) -> fmt::Result {
    let (latency, refusal) = (&rank.latency, &rank.refusal_latency);
    writeln!(
        f,
        "{}: {} requests, {:.2} % in time; p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms; demand {:.1} %, goodput {:.1} % \
         ({:.0}/s); refusals p50 {:.1} ms, p99 {:.1} ms",
        rank.rank,
        rank.requests,
        rank.in_time * 100.0,
        latency.p50_ms,
        latency.p99_ms,
        latency.p999_ms,
        rank.demand * 100.0,
        rank.goodput * 100.0,
        rank.goodput_per_second,
        refusal.p50_ms,
        refusal.p99_ms,
    )?;
    for (outcome, count) in &rank.outcomes {
        writeln!(f, "    {outcome}: {count}")?;
    }
    Ok(())
}
