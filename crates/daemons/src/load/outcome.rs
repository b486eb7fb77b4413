//! How requests ended.

use std::time::Duration;

use medlarstair::state::id::Rank;
use serde::{Deserialize, Serialize};

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "reason")]
pub enum Outcome {
    /// The whole answer arrived within the deadline.
    Ok,
    /// The whole answer arrived after the deadline.
    Late,
    /// Reported as not run.
    NotRun(Box<str>),
    /// Reported as unknown.
    Unknown(Box<str>),
    /// It ran without a usable answer.
    Failed(Box<str>),
    /// No whole answer arrived.
    Transport(Box<str>),
}

/// The parts of an answer that decide its outcome.
#[derive(Debug, Clone, Copy)]
pub struct AnswerParts<'a> {
    /// HTTP status.
    pub status: u16,
    /// `medlar-outcome`.
    pub outcome: Option<&'a str>,
    /// `medlar-reason`.
    pub reason: Option<&'a str>,
    /// Whether the body has the length that was asked for.
    pub whole: bool,
    /// Whether it arrived within the deadline.
    pub in_time: bool,
}

impl Outcome {
    /// Outcome of a request with a whole HTTP answer.
    pub fn of(answer: AnswerParts<'_>) -> Self {
        let reason = || answer.reason.map_or_else(|| answer.status.to_string().into(), Into::into);
        match answer.outcome {
            Some("not-run") => Self::NotRun(reason()),
            Some("unknown") => Self::Unknown(reason()),
            _ if answer.status != 200 => Self::Failed(reason()),
            _ if !answer.whole => Self::Transport("wrong-length".into()),
            _ if answer.in_time => Self::Ok,
            _ => Self::Late,
        }
    }
}

/// One request of a run.
#[derive(Debug, Clone)]
pub struct Record {
    /// Its number in the trace.
    pub index: usize,
    /// Its rank.
    pub rank: Rank,
    /// Intended send time from the start.
    pub intended: Duration,
    /// Start of the sending task after the intended time.
    pub late: Duration,
    /// End after the intended time.
    pub latency: Duration,
    /// How it ended.
    pub outcome: Outcome,
}
