//! Checks recorded outcomes against the run logs of the backend servers.
//!
//! The path and the token of a request contain the same request number, so matching runs by path also matches them by
//! token.

use std::collections::BTreeMap;

use medlarstair_standins::{Run, RunEnd};
use serde::{Deserialize, Serialize};

use super::outcome::{Outcome, Record};
use super::trace::TraceRequest;

/// Maximum number of request numbers that are listed per kind of violation.
const MAX_EXAMPLES: usize = 5;

/// Requests whose recorded outcomes contradict the run logs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// Number of such requests.
    pub count: u64,
    /// Trace indices of the first ones that were found; at most five.
    pub examples: Vec<usize>,
}

impl Violations {
    fn add(&mut self, index: usize) {
        self.count += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(index);
        }
    }
}

/// Result of checking one run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// Backend servers whose run log could not be read. If it is not 0, the check is incomplete.
    pub missing_logs: u64,
    /// Logged executions of requests of this trace.
    pub runs: u64,
    /// Reported as not run although the run logs list an execution (violates P4).
    pub not_run_but_ran: Violations,
    /// Non-repeatable requests that were executed more than once (violates P5).
    pub ran_twice: Violations,
    /// Successful responses without a completed execution in the run logs.
    pub answered_without_run: Violations,
    /// Repeatable requests that were executed more than once, which is allowed.
    pub repeated: u64,
    /// Executions that ended before completion; their slot time was wasted.
    pub stopped_runs: u64,
}

impl Audit {
    /// Checks `records` against `runs`, which pairs each logged execution with its trace index.
    pub fn new<'a>(
        trace: &[TraceRequest],
        records: &[Record],
        runs: impl IntoIterator<Item = (usize, &'a Run)>,
    ) -> Self {
        let mut audit = Self::default();
        let mut ends = BTreeMap::<usize, Vec<RunEnd>>::new();
        for (index, run) in runs {
            ends.entry(index).or_default().push(run.end);
            audit.runs += 1;
            audit.stopped_runs += u64::from(run.end != RunEnd::Done);
        }
        for (index, ends) in &ends {
            let Some(req) = trace.get(*index).filter(|_| ends.len() > 1) else {
                continue;
            };
            if req.repeatable {
                audit.repeated += 1;
            } else {
                audit.ran_twice.add(*index);
            }
        }
        for record in records {
            let ends = ends.get(&record.index).map_or(&[][..], Vec::as_slice);
            match record.outcome {
                Outcome::NotRun(_) if !ends.is_empty() => audit.not_run_but_ran.add(record.index),
                Outcome::Ok | Outcome::Late if !ends.contains(&RunEnd::Done) => {
                    audit.answered_without_run.add(record.index);
                }
                _ => {}
            }
        }
        audit
    }
}
