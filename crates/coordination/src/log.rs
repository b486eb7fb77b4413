//! Structured log: one JSON object per line on standard output.

use std::io;

use medlarstair_state::id::NodeId;
use slog::{Drain, Level, LevelFilter, Logger, o};

use crate::settings::LogLevel;

/// Capacity of the log queue in lines. When it is full, lines are dropped and counted, so that a slow reader of the log
/// never delays a request.
const QUEUE_LINES: usize = 4_096;

/// Creates a non-blocking logger that adds the daemon's number to each line. Dropping the returned guard flushes the
/// queue and ends the log.
pub fn logger(node: NodeId, level: LogLevel) -> (Logger, slog_async::AsyncGuard) {
    let (log, guard) = logger_without_node(level);
    (log.new(o!("node" => node.0)), guard)
}

/// Creates a logger like [`logger`], without the daemon's number.
pub fn logger_without_node(level: LogLevel) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::default(io::stdout()).fuse();
    let (drain, guard) = slog_async::Async::new(json).chan_size(QUEUE_LINES).build_with_guard();
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let drain = LevelFilter::new(drain.fuse(), level).fuse();
    (Logger::root(drain, o!()), guard)
}
