//! `medlarctl explain`: finds the cause of a request's outcome in the logs of gateway daemons.
//!
//! The lines of several daemons may be mixed and in any order. Events are recognized by their numbers, which
//! docs/gateway-events.md lists; messages differ between releases.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;

use argh::FromArgs;
use serde::{Deserialize, Serialize};

use super::{CtlError, Exit, Report};

/// explain the outcome of a request from the logs of gateway daemons
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// identity of the request, as sent by the client
    #[argh(positional)]
    request: String,
    /// log files; standard input if none is given
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// A line of a log. Fields that the event does not have are `None`; `ts` and `daemon` are then empty.
#[derive(Debug, Clone, Deserialize)]
struct LogEvent {
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

/// Numbers of logged attempts to send a request to one server, without those of the explained request.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct SendCounts {
    sends: usize,
    failed: usize,
}

/// The explanation of a request's outcome.
#[derive(Debug, Serialize)]
struct Explanation {
    request: String,
    path: Vec<String>,
    context: Vec<String>,
    cause: String,
    unreadable_lines: usize,
}

/// What the logs contain about one request.
#[derive(Debug, Default)]
struct RequestLogs {
    events: Vec<LogEvent>,
    context: BTreeMap<(Box<str>, u32), LogEvent>,
    other_sends: BTreeMap<Box<str>, SendCounts>,
    lines_suppressed: bool,
    unparsed_lines: usize,
}

/// Numbers of the events that change the state on which a daemon bases its decisions. For each daemon that handled the
/// request, the last of each before the end of the request is shown.
const CONTEXT_EVENTS: [u32; 9] = [500, 510, 511, 531, 532, 533, 560, 561, 563];

/// Number of the event that a request ended.
const REQUEST_ENDED: u32 = 543;

/// Number of the event that log lines were suppressed by the rate limit.
const LINES_SUPPRESSED: u32 = 575;

/// Fraction of the latency objective, 0 to 1, above which the time in the queue is reported as the cause of a late
/// response.
const LONG_QUEUE_TIME_FRACTION: f64 = 0.25;

/// Ratio of the response time to the expected one above which the server is reported as the cause of a late response.
const SLOW_RESPONSE_RATIO: f64 = 1.5;

/// Runs `medlarctl explain`.
///
/// # Errors
///
/// If a log cannot be read.
pub fn run(args: &ExplainArgs) -> Result<Report, CtlError> {
    let mut logs = RequestLogs::default();
    let mut lines = Vec::new();
    if args.files.is_empty() {
        logs.unparsed_lines +=
            read(io::stdin().lock(), &mut lines).map_err(|e| read_error("standard input", &e))?;
    }
    for path in &args.files {
        let name = path.display().to_string();
        let f = File::open(path).map_err(|e| read_error(&name, &e))?;
        logs.unparsed_lines += read(BufReader::new(f), &mut lines).map_err(|e| read_error(&name, &e))?;
    }
    lines.sort_by(|a, b| a.ts.cmp(&b.ts));
    logs.collect(&args.request, lines);
    let explanation = logs.explain(&args.request);
    let mut report = Report::success(render(&explanation), &explanation)?;
    if logs.events.is_empty() {
        report.exit = Exit::Failed;
    }
    Ok(report)
}

fn read_error(name: &str, e: &io::Error) -> CtlError {
    CtlError::invalid(format!("{name}: cannot be read: {e}"))
}

/// Reads a log. Returns the number of lines that are not events.
fn read(input: impl BufRead, lines: &mut Vec<LogEvent>) -> io::Result<usize> {
    let mut unparsed = 0;
    for text in input.lines() {
        match serde_json::from_str(&text?) {
            Ok(line) => lines.push(line),
            Err(_) => unparsed += 1,
        }
    }
    Ok(unparsed)
}

impl RequestLogs {
    /// Sorts the lines into events of the request and context. `lines` must be in the order of time.
    fn collect(&mut self, request: &str, lines: Vec<LogEvent>) {
        let end = lines.iter().rfind(|l| l.request.as_deref() == Some(request)).map(|l| l.ts.clone());
        for line in lines {
            if line.request.as_deref() == Some(request) {
                self.events.push(line);
                continue;
            }
            self.lines_suppressed |= line.code == LINES_SUPPRESSED;
            if let (Some(backend), Some(outcome)) = (&line.backend, &line.outcome) {
                let counts = self.other_sends.entry(backend.clone()).or_default();
                counts.sends += 1;
                counts.failed += usize::from(!matches!(&**outcome, "ok" | "cancelled"));
            }
            if CONTEXT_EVENTS.contains(&line.code) && end.as_ref().is_some_and(|end| line.ts <= *end) {
                self.context.insert((line.daemon.clone(), line.code), line);
            }
        }
    }

    fn explain(&self, request: &str) -> Explanation {
        let daemons: Vec<&str> = self.events.iter().map(|l| &*l.daemon).collect();
        let context = self.context.values().filter(|l| daemons.contains(&&*l.daemon));
        Explanation {
            request: request.to_owned(),
            path: self.events.iter().map(format_event).collect(),
            context: context.map(|l| format!("{} {}: {}", l.ts, l.daemon, event_message(l))).collect(),
            cause: self.cause(),
            unreadable_lines: self.unparsed_lines,
        }
    }

    /// Describes the cause of the outcome in one sentence.
    fn cause(&self) -> String {
        if let Some(reason) = self.events.iter().rev().find_map(|l| l.reason.as_deref()) {
            return refusal_cause(reason).to_owned();
        }
        let sends: Vec<&LogEvent> = self.events.iter().filter(|l| l.backend.is_some()).collect();
        let end = self.events.iter().rev().find(|l| l.code == REQUEST_ENDED);
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
        let note = if self.lines_suppressed { "; log lines were suppressed (event 575)" } else { "" };
        format!(
            "not in these logs: it was answered in time and not sampled, or another daemon handled it{note}"
        )
    }

    fn failure_cause(&self, last: &LogEvent) -> String {
        let description = match last.outcome.as_deref().unwrap_or_default() {
            "broken" => "the connection was lost before a response; the server may have crashed",
            "garbled" => "the response was truncated, malformed or belonged to another request",
            "silent" => "no answer came before the deadline",
            "failed" => "the server returned an error response",
            "not-connected" => "no connection could be opened",
            "shed" => "the server had no capacity and did not run the request",
            other => other,
        };
        let backend = last.backend.as_deref().unwrap_or("-");
        let counts = self.other_sends.get(backend).copied().unwrap_or_default();
        format!(
            "{description} (server {backend}: {} of {} other sends in these logs failed)",
            counts.failed, counts.sends
        )
    }
}

fn refusal_cause(reason: &str) -> &str {
    match reason {
        "overload" => "it would have waited too long for a server",
        "no-server" => "no usable server of its service was known",
        "retry-budget" => "the retry budget of its service was exhausted",
        "attempts" => "it was sent to as many servers as its route allows",
        "poison" => "it is suspected of crashing servers",
        "paused" => "all usable servers of its service had asked for a pause",
        "stopping" => "the daemon was stopping and could not have completed it; it did not run",
        "no-plan" => "the daemon had not yet loaded a routing configuration",
        other => other,
    }
}

fn late_cause(end: &LogEvent, first: &LogEvent, last: &LogEvent) -> String {
    let queued = first.after_ms.unwrap_or(0).saturating_sub(first.took_ms.unwrap_or(0));
    let objective = end.objective_ms.unwrap_or(0) as f64;
    let (took, expected) = (last.took_ms.unwrap_or(0), last.expected_ms.unwrap_or(0));
    if queued as f64 > objective * LONG_QUEUE_TIME_FRACTION {
        return format!("it waited {queued} ms in the daemon for a server");
    }
    if took as f64 > expected as f64 * SLOW_RESPONSE_RATIO {
        return format!(
            "its server took {took} ms where {expected} ms were expected: slower or more loaded than estimated"
        );
    }
    if last.warm == Some(false) {
        return format!("its server was not warm for its object; {expected} ms were expected");
    }
    format!("its server had {:.1} requests; {expected} ms were expected", last.occupancy.unwrap_or(0.0))
}

fn event_message(line: &LogEvent) -> &str {
    line.msg.as_deref().unwrap_or("event")
}

fn format_event(line: &LogEvent) -> String {
    let mut text = format!("{} {}: {}", line.ts, line.daemon, event_message(line));
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

fn render(explanation: &Explanation) -> String {
    let mut out = format!("request {}\n", explanation.request);
    let sections = [("before", &explanation.context), ("path", &explanation.path)];
    for (name, lines) in sections.into_iter().filter(|(_, lines)| !lines.is_empty()) {
        let _ = writeln!(out, "{name}:");
        lines.iter().for_each(|line| out.push_str(&format!("  {}\n", line.trim())));
    }
    let _ = writeln!(out, "cause: {}", explanation.cause);
    if explanation.unreadable_lines > 0 {
        let _ = writeln!(out, "{} lines are not events and were skipped", explanation.unreadable_lines);
    }
    out
}
