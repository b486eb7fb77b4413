//! `medlarctl replay`: replays a recorded trace through the decision logic.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use argh::FromArgs;
use medlarstair::coordination::trace::{TRACE_VERSION, TraceHeader, TraceLine};
use medlarstair::state::node::{Effect, Node};
use medlarstair::state::time::Timestamp;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{CtlError, Report};

/// replay a recorded trace and print the effects, or compare them with a file
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct ReplayArgs {
    /// trace file, as recorded by a daemon with the setting trace_file
    #[argh(positional)]
    file: PathBuf,
    /// file with the expected effects, as printed by this command
    #[argh(option)]
    expect: Option<PathBuf>,
}

/// One effect of a replay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EffectLine {
    /// Time of the event that caused the effect.
    pub at: Timestamp,
    /// The effect that the decision logic returned.
    pub effect: Effect,
}

/// Runs `medlarctl replay`.
///
/// # Errors
///
/// If a file cannot be read, or the effects differ from the expected ones.
pub fn run(args: &ReplayArgs) -> Result<Report, CtlError> {
    let effects = replay(&args.file)?;
    let mut text = String::new();
    for effect in &effects {
        text += &serde_json::to_string(effect).map_err(|e| CtlError::failed(e.to_string()))?;
        text.push('\n');
    }
    let Some(expect) = &args.expect else {
        return Report::success(text, &effects);
    };
    compare(&text, &read_file(expect)?, expect)?;
    let summary = format!("{} effects, all as expected\n", effects.len());
    Report::success(summary, &json!({ "effects": effects.len() }))
}

fn read_file(path: &Path) -> Result<String, CtlError> {
    fs::read_to_string(path).map_err(|e| read_error(path, &e))
}

fn read_error(path: &Path, e: &std::io::Error) -> CtlError {
    CtlError::invalid(format!("cannot read {}: {e}", path.display()))
}

/// Passes every event of a trace to the decision logic and returns the effects in order.
///
/// # Errors
///
/// If the file cannot be read or is not a trace of version [`TRACE_VERSION`].
pub fn replay(path: &Path) -> Result<Vec<EffectLine>, CtlError> {
    let file = fs::File::open(path).map_err(|e| read_error(path, &e))?;
    let mut reader = BufReader::new(file);
    let mut line = String::new();
    let mut read_line = |line: &mut String| {
        line.clear();
        reader.read_line(line).map_err(|e| read_error(path, &e))
    };
    read_line(&mut line)?;
    let header = parse_header(&line, path)?;
    let mut node = Node::<medlarstair::state::routing::TwoChoices>::new(header.node, header.started);
    let (mut effects, mut out) = (Vec::new(), Vec::new());
    let mut number = 1;
    while read_line(&mut line)? > 0 {
        number += 1;
        // A killed daemon may leave an incomplete last line.
        if !line.ends_with('\n') {
            break;
        }
        let TraceLine { at, event } = serde_json::from_str(&line)
            .map_err(|e| CtlError::invalid(format!("{}, line {number}: {e}", path.display())))?;
        node.handle(at, event, &mut out);
        effects.extend(out.drain(..).map(|effect| EffectLine { at, effect }));
    }
    Ok(effects)
}

fn parse_header(line: &str, path: &Path) -> Result<TraceHeader, CtlError> {
    let header = serde_json::from_str::<TraceHeader>(line).map_err(|e| {
        let message = format!("{}, line 1: not a trace header ({e}); record the trace again", path.display());
        CtlError::invalid(message)
    })?;
    if header.version != TRACE_VERSION {
        let (path, version) = (path.display(), header.version);
        let message = format!(
            "{path} has trace version {version}, but this medlarctl reads {TRACE_VERSION}; use the medlarctl of the \
             daemon's release"
        );
        return Err(CtlError::invalid(message));
    }
    Ok(header)
}

fn compare(found: &str, expected: &str, path: &Path) -> Result<(), CtlError> {
    let (mut found, mut expected) = (found.lines(), expected.lines());
    let mut number = 0;
    loop {
        number += 1;
        match (found.next(), expected.next()) {
            (None, None) => return Ok(()),
            (f, e) if f == e => {}
            (f, e) => {
                let message = format!(
                    "effect {number} differs from {}\n  expected: {}\n  found:    {}",
                    path.display(),
                    e.unwrap_or("no further effect"),
                    f.unwrap_or("no further effect"),
                );
                return Err(CtlError::failed(message));
            }
        }
    }
}
