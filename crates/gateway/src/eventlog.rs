//! Numbered events on standard output, bounded in volume.
//!
//! Requests may fail much faster than a log can be read. Each kind of line has a budget a second; what exceeds it is
//! counted and told once a second, so that a flood of one kind hides neither itself nor the others.

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
use crate::core::Core;

/// Window of the budget.
const WINDOW: Duration = Duration::from_secs(1);

/// A logger of a daemon that writes without blocking. The log ends with the last copy of the returned guard.
pub fn logger(name: &str, level: LogLevel) -> (Logger, slog_async::AsyncGuard) {
    let (log, guard) = logger_without_node(level);
    (log.new(o!("daemon" => name.to_owned())), guard)
}

/// Bounds of the volume of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLimits {
    /// One of so many requests is logged although nothing went wrong, chosen by its identity.
    pub sample_every: NonZeroU64,
    /// Lines of one event per second.
    pub lines_per_second: u32,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self { sample_every: const { NonZeroU64::new(50).unwrap() }, lines_per_second: 20 }
    }
}

/// Number of an event; the catalogue lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventCode(pub u16);

#[derive(Debug, Clone, Copy)]
struct Budget {
    since: Timestamp,
    lines: u32,
    omitted: u64,
}

/// The log of a daemon.
#[derive(Debug)]
pub struct EventLog {
    log: Logger,
    limits: LogLimits,
    budgets: RefCell<BTreeMap<EventCode, Budget>>,
}

impl EventLog {
    /// A log that writes to `log`.
    pub fn new(log: Logger, limits: LogLimits) -> Self {
        Self { log, limits, budgets: RefCell::default() }
    }

    /// Whether all lines of the request are written. Every daemon chooses the same requests.
    pub fn is_sampled(&self, request: &[u8]) -> bool {
        rapidhash_v3(request) % self.limits.sample_every == 0
    }

    /// The logger, for lines that are always written.
    pub fn logger(&self) -> &Logger {
        &self.log
    }

    /// The logger if the event may be written now. Lines that were left out before are told first.
    pub fn admit(&self, now: Timestamp, code: EventCode) -> Option<&Logger> {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(code).or_insert(Budget { since: now, lines: 0, omitted: 0 });
        if now.since(budget.since) >= WINDOW {
            if budget.omitted > 0 {
                slog::warn!(self.log, "lines were left out"; "code" => 575, "of" => code.0, "lines" => budget.omitted);
            }
            *budget = Budget { since: now, lines: 0, omitted: 0 };
        }
        if budget.lines >= self.limits.lines_per_second {
            budget.omitted += 1;
            return None;
        }
        budget.lines += 1;
        Some(&self.log)
    }
}

/// Writes that a call to the key-value service failed.
pub fn note_failed_call<A: Adapter>(core: &Core<A>, cause: &StoreError) {
    if let Some(log) = core.events.admit(core.now(), EventCode(563)) {
        slog::warn!(log, "call to the key-value service failed"; "code" => 563, "cause" => %cause);
    }
}
