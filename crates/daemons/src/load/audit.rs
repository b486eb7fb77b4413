//! Compares answers with the run logs of the backend servers.
//!
//! The path of each request contains its number, and its token contains the same number, so runs by path are runs by
//! token.

use std::collections::BTreeMap;

use medlarstair_standins::{Run, RunEnd};
use serde::{Deserialize, Serialize};

use super::outcome::{Outcome, Record};
use super::trace::TraceRequest;

/// Examples kept per kind of violation.
const EXAMPLES: usize = 5;

/// Requests whose answers disagree with the run logs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// How many.
    pub count: u64,
    /// Numbers of the first ones in the trace.
    pub examples: Vec<usize>,
}

impl Violations {
    fn add(&mut self, index: usize) {
        self.count += 1;
        if self.examples.len() < EXAMPLES {
            self.examples.push(index);
        }
    }
}

/// Result of the comparison.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// Backend servers whose run log could not be read; above 0 the comparison is incomplete.
    pub missing_logs: u64,
    /// Runs of requests of this trace.
    pub runs: u64,
    /// Answered "not run", but ran (P4).
    pub not_run_but_ran: Violations,
    /// May not be repeated, but ran more than once (P5).
    pub ran_twice: Violations,
    /// Answered successfully without a run to its end.
    pub answered_without_run: Violations,
    /// Repeatable requests that ran more than once, which is allowed.
    pub repeated: u64,
    /// Runs that were stopped before their end: slot time without use.
    pub stopped_runs: u64,
}

impl Audit {
    /// Compares `records` with `runs`, which lists runs with the number of their request.
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
