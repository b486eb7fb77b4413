//! Outcomes of requests.

use std::time::Duration;

use medlarstair::state::id::Rank;
use serde::{Deserialize, Serialize};

/// Outcome of a request as its caller observes it. The text of a variant is the reason.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "reason")]
pub enum Outcome {
    /// The complete response arrived within the deadline.
    Ok,
    /// The complete response arrived after the deadline.
    Late,
    /// The response states that the request was not executed.
    NotRun(Box<str>),
    /// The response states that it is unknown whether the request was executed.
    Unknown(Box<str>),
    /// The response has a status other than 200 but reports neither of the two above.
    Failed(Box<str>),
    /// No complete response arrived.
    Transport(Box<str>),
}

/// Parts of a response that determine the outcome.
#[derive(Debug, Clone, Copy)]
pub struct ResponseParts<'a> {
    /// HTTP status.
    pub status: u16,
    /// Header `medlar-outcome`, if present.
    pub outcome: Option<&'a str>,
    /// Header `medlar-reason`, if present.
    pub reason: Option<&'a str>,
    /// Whether the body has the requested length.
    pub complete: bool,
    /// Whether the response arrived within the deadline.
    pub in_time: bool,
}

impl Outcome {
    /// Determines the outcome of a request that received a complete HTTP response.
    pub fn from_response(response: ResponseParts<'_>) -> Self {
        let reason = || response.reason.map_or_else(|| response.status.to_string().into(), Into::into);
        match response.outcome {
            Some("not-run") => Self::NotRun(reason()),
            Some("unknown") => Self::Unknown(reason()),
            _ if response.status != 200 => Self::Failed(reason()),
            _ if !response.complete => Self::Transport("wrong-length".into()),
            _ if response.in_time => Self::Ok,
            _ => Self::Late,
        }
    }
}

/// Measurements of one request.
#[derive(Debug, Clone)]
pub struct Record {
    /// Index in the trace.
    pub index: usize,
    /// Rank from the trace.
    pub rank: Rank,
    /// Intended send time, since the start of the run.
    pub intended: Duration,
    /// Delay from the intended send time to the start of the sending task, caused by the load tool itself.
    pub lateness: Duration,
    /// Latency, counted from the intended send time.
    pub latency: Duration,
    /// How the request ended.
    pub outcome: Outcome,
}
