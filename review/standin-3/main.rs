//! Runs one case of the review: `review-3 CASE FOLDER`. The folder gets `record.txt`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment, the
//! case runs without its disruption.

#![allow(dead_code)]

mod config_storm;
mod deployment;
mod http;
mod json;
mod last_account;
mod pipelining;
mod quota_takeover;
mod relay;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use deployment::{Record, TempDir};
use relay::Scenario;

/// Time after which a case is ended. It may take 120 s at most.
const MAX_RUN_TIME: Duration = Duration::from_secs(116);

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let dir = TempDir::create();
    let watchdog_record = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(MAX_RUN_TIME);
        watchdog_record.line("the case took too long");
        deployment::kill_processes();
        std::process::exit(2);
    });
    record.line(if trouble { "with the disruption" } else { "without the disruption" });
    let verdict = match case.as_str() {
        "leave-at-start-of-cut" => relay::run(&record, &dir.0, trouble, Scenario::LeaveAtStartOfCut),
        "leave-at-end-of-cut" => relay::run(&record, &dir.0, trouble, Scenario::LeaveAtEndOfCut),
        "config-storm" => config_storm::run(&record, &dir.0, trouble),
        "last-account" => last_account::run(&record, &dir.0, trouble),
        "quota-takeover" => quota_takeover::run(&record, &dir.0, trouble),
        "pipelining" => pipelining::run(&record, &dir.0, trouble),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.line(text);
    println!("{text}");
    drop(dir);
    ExitCode::from(code)
}
