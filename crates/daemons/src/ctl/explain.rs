//! Finds the cause of a request's end in the logs of gateway daemons.
//!
//! Lines of all daemons may come mixed and in any order. The events are those of docs/gateway-events.md.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;

use argh::FromArgs;
use serde::{Deserialize, Serialize};

use super::{CtlError, Exit, Report};

/// explain how a request ended, from the logs of gateway daemons
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// identity of the request, as its caller sent it
    #[argh(positional)]
    request: String,
    /// logs; standard input if none is given
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// A line of a log. Fields that its event does not have are absent.
#[derive(Debug, Clone, Deserialize)]
struct Line {
    #[serde(default)]
    ts: Box<str>,
    #[serde(default)]
    daemon: Box<str>,
    code: u32,
    msg: Option<Box<str>>,
    request: Option<Box<str>>,
    backend: Option<Box<str>>,
    reason: Option<Box<str>>,
    outcome: Option<Box<str>>,
    status: Option<u16>,
    warm: Option<bool>,
    late: Option<bool>,
    occupancy: Option<f64>,
    expected_ms: Option<u64>,
    took_ms: Option<u64>,
    after_ms: Option<u64>,
    objective_ms: Option<u64>,
    retry_after_ms: Option<u64>,
}

/// Sends to a server that the logs tell of, those of the request itself left out.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Neighbours {
    sends: usize,
    failed: usize,
}

/// What is known of a request.
#[derive(Debug, Serialize)]
struct Explanation {
    request: String,
    path: Vec<String>,
    context: Vec<String>,
    cause: String,
    unreadable_lines: usize,
}

/// What the logs hold for one request.
#[derive(Debug, Default)]
struct Found {
    own: Vec<Line>,
    context: BTreeMap<(Box<str>, u32), Line>,
    neighbours: BTreeMap<Box<str>, Neighbours>,
    left_out: bool,
    unreadable: usize,
}

/// Events that change what a daemon believes. The last one of each daemon before the request's end is shown.
const CONTEXT_EVENTS: [u32; 7] = [500, 510, 511, 531, 560, 561, 563];

/// Event: a request ended.
const REQUEST_ENDED: u32 = 543;

/// Event: lines were left out.
const LINES_LEFT_OUT: u32 = 575;

/// Part of the objective from which the time in the queue is the cause of a late answer.
const LONG_WAIT: f64 = 0.25;

/// Time of an answer relative to what was expected from which the server is the cause of a late answer.
const SLOW_ANSWER: f64 = 1.5;

/// Runs `medlarctl explain`.
///
/// # Errors
///
/// If a log cannot be read.
pub fn run(args: &ExplainArgs) -> Result<Report, CtlError> {
    let mut found = Found::default();
    let mut lines = Vec::new();
    if args.files.is_empty() {
        found.unreadable +=
            read(io::stdin().lock(), &mut lines).map_err(|e| unreadable("standard input", &e))?;
    }
    for path in &args.files {
        let name = path.display().to_string();
        let f = File::open(path).map_err(|e| unreadable(&name, &e))?;
        found.unreadable += read(BufReader::new(f), &mut lines).map_err(|e| unreadable(&name, &e))?;
    }
    lines.sort_by(|a, b| a.ts.cmp(&b.ts));
    found.collect(&args.request, lines);
    let explanation = found.explain(&args.request);
    let mut report = Report::success(text(&explanation), &explanation)?;
    if found.own.is_empty() {
        report.exit = Exit::Failed;
    }
    Ok(report)
}

fn unreadable(name: &str, e: &io::Error) -> CtlError {
    CtlError::invalid(format!("{name}: cannot be read: {e}"))
}

/// Reads a log. Returns the number of lines that are no events.
fn read(input: impl BufRead, lines: &mut Vec<Line>) -> io::Result<usize> {
    let mut bad = 0;
    for text in input.lines() {
        match serde_json::from_str(&text?) {
            Ok(line) => lines.push(line),
            Err(_) => bad += 1,
        }
    }
    Ok(bad)
}

impl Found {
    fn collect(&mut self, request: &str, lines: Vec<Line>) {
        let end = lines.iter().rfind(|l| l.request.as_deref() == Some(request)).map(|l| l.ts.clone());
        for line in lines {
            if line.request.as_deref() == Some(request) {
                self.own.push(line);
                continue;
            }
            self.left_out |= line.code == LINES_LEFT_OUT;
            if let (Some(backend), Some(outcome)) = (&line.backend, &line.outcome) {
                let neighbours = self.neighbours.entry(backend.clone()).or_default();
                neighbours.sends += 1;
                neighbours.failed += usize::from(!matches!(&**outcome, "ok" | "cancelled"));
            }
            if CONTEXT_EVENTS.contains(&line.code) && end.as_ref().is_some_and(|end| line.ts <= *end) {
                self.context.insert((line.daemon.clone(), line.code), line);
            }
        }
    }

    fn explain(&self, request: &str) -> Explanation {
        let daemons: Vec<&str> = self.own.iter().map(|l| &*l.daemon).collect();
        let context = self.context.values().filter(|l| daemons.contains(&&*l.daemon));
        Explanation {
            request: request.to_owned(),
            path: self.own.iter().map(step).collect(),
            context: context.map(|l| format!("{} {}: {}", l.ts, l.daemon, title(l))).collect(),
            cause: self.cause(),
            unreadable_lines: self.unreadable,
        }
    }

    fn cause(&self) -> String {
        if let Some(reason) = self.own.iter().rev().find_map(|l| l.reason.as_deref()) {
            return refusal_cause(reason).to_owned();
        }
        let sends: Vec<&Line> = self.own.iter().filter(|l| l.backend.is_some()).collect();
        let end = self.own.iter().rev().find(|l| l.code == REQUEST_ENDED);
        let (Some(end), Some(last)) = (end, sends.last()) else {
            return self.unknown_cause();
        };
        if end.outcome.as_deref() != Some("answered") {
            return self.failure_cause(last);
        }
        if end.late == Some(true) {
            return late_cause(end, sends[0], last);
        }
        "none: it was answered in time".to_owned()
    }

    fn unknown_cause(&self) -> String {
        let left_out = if self.left_out { "; lines were left out (event 575)" } else { "" };
        format!("not in these logs: it was in time and not sampled, or another daemon handled it{left_out}")
    }

    fn failure_cause(&self, last: &Line) -> String {
        let what = match last.outcome.as_deref().unwrap_or_default() {
            "broken" => "the connection broke before an answer; the server may have crashed",
            "garbled" => "the answer was cut or belonged to another request",
            "silent" => "no answer came before the deadline",
            "failed" => "the server answered with a failure",
            "not-connected" => "no connection could be opened",
            "shed" => "the server was full and did not run it",
            other => other,
        };
        let backend = last.backend.as_deref().unwrap_or("-");
        let near = self.neighbours.get(backend).copied().unwrap_or_default();
        format!(
            "{what} (server {backend}: {} of {} other sends in these logs failed)",
            near.failed, near.sends
        )
    }
}

fn refusal_cause(reason: &str) -> &str {
    match reason {
        "overload" => "it would have waited too long for a server",
        "no-server" => "no usable server of its service was known",
        "retry-budget" => "the bound on repeated sends of its service was reached",
        "attempts" => "it was sent to as many servers as its route allows",
        "poison" => "servers crash under it",
        "no-plan" => "the daemon had read no configuration",
        other => other,
    }
}

fn late_cause(end: &Line, first: &Line, last: &Line) -> String {
    let queued = first.after_ms.unwrap_or(0).saturating_sub(first.took_ms.unwrap_or(0));
    let objective = end.objective_ms.unwrap_or(0) as f64;
    let (took, expected) = (last.took_ms.unwrap_or(0), last.expected_ms.unwrap_or(0));
    if queued as f64 > objective * LONG_WAIT {
        return format!("it waited {queued} ms in the daemon for a server");
    }
    if took as f64 > expected as f64 * SLOW_ANSWER {
        return format!(
            "its server took {took} ms where {expected} ms were expected: slower or fuller than believed"
        );
    }
    if last.warm == Some(false) {
        return format!("its server was not warm for its object; {expected} ms were expected");
    }
    format!("its server had {:.1} requests; {expected} ms were expected", last.occupancy.unwrap_or(0.0))
}

fn title(line: &Line) -> &str {
    line.msg.as_deref().unwrap_or("event")
}

fn step(line: &Line) -> String {
    let mut text = format!("{} {}: {}", line.ts, line.daemon, title(line));
    let mut add = |name: &str, value: Option<String>| {
        if let Some(value) = value {
            let _ = write!(text, " {name}={value}");
        }
    };
    add("server", line.backend.as_deref().map(str::to_owned));
    add("outcome", line.outcome.as_deref().map(str::to_owned));
    add("reason", line.reason.as_deref().map(str::to_owned));
    add("status", line.status.map(|v| v.to_string()));
    add("warm", line.warm.map(|v| v.to_string()));
    add("occupancy", line.occupancy.map(|v| format!("{v:.1}")));
    add("expected_ms", line.expected_ms.map(|v| v.to_string()));
    add("took_ms", line.took_ms.map(|v| v.to_string()));
    add("retry_after_ms", line.retry_after_ms.map(|v| v.to_string()));
    text
}

fn text(explanation: &Explanation) -> String {
    let mut out = format!("request {}\n", explanation.request);
    let sections = [("before", &explanation.context), ("path", &explanation.path)];
    for (name, lines) in sections.into_iter().filter(|(_, lines)| !lines.is_empty()) {
        let _ = writeln!(out, "{name}:");
        lines.iter().for_each(|line| out.push_str(&format!("  {}\n", line.trim())));
    }
    let _ = writeln!(out, "cause: {}", explanation.cause);
    if explanation.unreadable_lines > 0 {
        let _ = writeln!(out, "{} lines are no events and were passed over", explanation.unreadable_lines);
    }
    out
}
