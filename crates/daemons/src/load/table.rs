//! Markdown table of the results of several runs.

use std::fs;
use std::path::Path;

use super::error::LoadError;
use super::report::RunReport;

/// Name of the file with the report of a run, in the folder of the run.
pub const RESULT_FILE: &str = "result.json";

const HEADER: &str = "\
| run | urgent in time | urgent p50 / p99 / p99.9 ms | standard in time | standard goodput of demand | bulk in time | \
bulk goodput of demand | goodput of fleet | lowest headroom | shed | P4 / P5 violations | tool p99 late ms |\n\
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// Renders a table with one row per subfolder of `dir` that contains a report, ordered by name.
///
/// # Errors
///
/// The folder or a report cannot be read.
pub fn render(dir: &Path) -> Result<String, LoadError> {
    let mut names = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.join(RESULT_FILE).is_file() {
            names.push(path);
        }
    }
    names.sort();
    let mut table = HEADER.to_owned();
    for path in names {
        let report = serde_json::from_slice::<RunReport>(&fs::read(path.join(RESULT_FILE))?)?;
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        table.push_str(&row(&name, &report));
    }
    Ok(table)
}

fn row(name: &str, report: &RunReport) -> String {
    let percent = |fraction: f64| format!("{:.1} %", fraction * 100.0);
    let [urgent, standard, bulk] = &report.ranks[..] else {
        return String::new();
    };
    let (late, audit) = (&report.lateness, &report.audit);
    let cells = [
        name.to_owned(),
        format!("{:.2} %", urgent.in_time * 100.0),
        format!(
            "{:.0} / {:.0} / {:.0}",
            urgent.latency.p50_ms, urgent.latency.p99_ms, urgent.latency.p999_ms
        ),
        percent(standard.in_time),
        format!("{} of {}", percent(standard.goodput), percent(standard.demand)),
        percent(bulk.in_time),
        format!("{} of {}", percent(bulk.goodput), percent(bulk.demand)),
        percent(report.goodput),
        percent(report.load.lowest_headroom),
        report.load.shed.to_string(),
        format!("{} / {}", audit.not_run_but_ran.count, audit.ran_twice.count),
        format!("{:.1}{}", late.p99_us as f64 / 1e3, if late.spoilt { " (spoilt)" } else { "" }),
    ];
    format!("| {} |\n", cells.join(" | "))
}
