//! Replays a recorded trace through the decision logic.

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
    /// trace, as a daemon records it with the setting trace_file
    #[argh(positional)]
    file: PathBuf,
    /// file with the effects to compare with, as printed by this command
    #[argh(option)]
    expect: Option<PathBuf>,
}

/// One effect of a replay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EffectLine {
    /// When the event was handled that caused it.
    pub at: Timestamp,
    /// The effect.
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
    compare(&text, &read(expect)?, expect)?;
    let done = format!("{} effects, all as expected\n", effects.len());
    Report::success(done, &json!({ "effects": effects.len() }))
}

fn read(path: &Path) -> Result<String, CtlError> {
    fs::read_to_string(path).map_err(|e| unreadable(path, &e))
}

fn unreadable(path: &Path, e: &std::io::Error) -> CtlError {
    CtlError::invalid(format!("cannot read {}: {e}", path.display()))
}

/// Feeds every event of the trace to the decision logic and collects the effects.
///
/// # Errors
///
/// If the file cannot be read or is not a trace of this format.
pub fn replay(path: &Path) -> Result<Vec<EffectLine>, CtlError> {
    let file = fs::File::open(path).map_err(|e| unreadable(path, &e))?;
    let mut reader = BufReader::new(file);
    let mut line = String::new();
    let mut next = |line: &mut String| {
        line.clear();
        reader.read_line(line).map_err(|e| unreadable(path, &e))
    };
    next(&mut line)?;
    let header = parse_header(&line, path)?;
    let mut node = Node::<medlarstair::state::routing::TwoChoices>::new(header.node, header.started);
    let (mut effects, mut out) = (Vec::new(), Vec::new());
    let mut number = 1;
    while next(&mut line)? > 0 {
        number += 1;
        // A daemon that was killed leaves an incomplete last line.
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
        let message = format!("{}, line 1: not the header of a trace ({e}); record it again", path.display());
        CtlError::invalid(message)
    })?;
    if header.version != TRACE_VERSION {
        let (path, version) = (path.display(), header.version);
        let message = format!(
            "{path} has version {version}, this is {TRACE_VERSION}; use the medlarctl that fits the daemon"
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
