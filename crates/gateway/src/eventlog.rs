//! Rate-limited log of numbered events on standard output.
//!
//! Requests may fail much faster than a log can be read. Each event has a budget of lines per second. Lines beyond it are
//! counted, and the count is logged with the next line of that event in a later second, so that a flood of one event neither
//! goes unnoticed nor hides other events.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::num::NonZeroU64;
use std::time::Duration;

use medlarstair_coordination::log::logger_without_node;
use medlarstair_coordination::settings::LogLevel;
use medlarstair_state::time::Timestamp;
use medlarstair_transport::kv::StoreError;
use rapidhash::v3::rapidhash_v3;
use slog::{Logger, o};

use crate::adapter::Adapter;
use crate::shared::Shared;

/// Window of the rate limit on lines: each event has a new line budget per window.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);

/// Creates the logger of the daemon `name`, which writes without blocking. The returned guard flushes the log when it is
/// dropped, so it must be kept until the process ends.
pub fn logger(name: &str, level: LogLevel) -> (Logger, slog_async::AsyncGuard) {
    let (log, guard) = logger_without_node(level);
    (log.new(o!("daemon" => name.to_owned())), guard)
}

/// Limits on the volume of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLimits {
    /// One in this many requests is logged even if it succeeded. The choice depends on the request's identity only.
    pub sample_every: NonZeroU64,
    /// Maximum number of rate-limited lines of one event per second.
    pub lines_per_second: u32,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self { sample_every: const { NonZeroU64::new(50).unwrap() }, lines_per_second: 20 }
    }
}

/// Numeric code of an event, as listed in the event catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventCode(pub u16);

/// Line budget of one event.
#[derive(Debug, Clone, Copy)]
struct Budget {
    window_start: Timestamp,
    /// Lines written in this window.
    lines: u32,
    /// Lines suppressed in this window.
    suppressed: u64,
}

/// Event log of a daemon, with a line budget for each event.
#[derive(Debug)]
pub struct EventLog {
    log: Logger,
    limits: LogLimits,
    budgets: RefCell<BTreeMap<EventCode, Budget>>,
}

impl EventLog {
    /// Creates an event log that writes to `log`.
    pub fn new(log: Logger, limits: LogLimits) -> Self {
        Self { log, limits, budgets: RefCell::default() }
    }

    /// Whether the request is logged even if it succeeds. Every daemon samples the same requests, since the choice depends
    /// only on the identity `request`.
    pub fn is_sampled(&self, request: &[u8]) -> bool {
        rapidhash_v3(request) % self.limits.sample_every == 0
    }

    /// Returns the logger for lines that are not rate-limited.
    pub fn logger(&self) -> &Logger {
        &self.log
    }

    /// Returns the logger if the event is within its line budget. First logs how many of its lines were suppressed in an
    /// earlier window, if any.
    pub fn admit(&self, now: Timestamp, code: EventCode) -> Option<&Logger> {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(code).or_insert(Budget { window_start: now, lines: 0, suppressed: 0 });
        if now.since(budget.window_start) >= BUDGET_WINDOW {
            if budget.suppressed > 0 {
                slog::warn!(self.log, "log lines suppressed by rate limit"; "code" => 575, "of" => code.0,
                    "lines" => budget.suppressed);
            }
            *budget = Budget { window_start: now, lines: 0, suppressed: 0 };
        }
        if budget.lines >= self.limits.lines_per_second {
            budget.suppressed += 1;
            return None;
        }
        budget.lines += 1;
        Some(&self.log)
    }
}

/// Logs the failure of a call to the key-value service, within the line budget of that event. Also counts responses of an
/// earlier era.
pub fn log_store_failure<A: Adapter>(shared: &Shared<A>, cause: &StoreError) {
    if cause.is_earlier_era() {
        shared.metrics.store_eras.with_label_values(&["earlier"]).inc();
        if let Some(log) = shared.events.admit(shared.now(), EventCode(565)) {
            slog::warn!(log, "response of an earlier era ignored"; "code" => 565, "cause" => %cause);
        }
        return;
    }
    if let Some(log) = shared.events.admit(shared.now(), EventCode(563)) {
        slog::warn!(log, "call to the key-value service failed"; "code" => 563, "cause" => %cause);
    }
}
