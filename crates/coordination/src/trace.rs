//! Trace files: the events of the decision logic as JSON lines.
//!
//! The first line identifies the daemon, so that a replay starts with the same identity and the same random seed. Each
//! further line is one event.

use std::fs::File;
use std::io::{self, BufWriter, Write};

use medlarstair_state::node::{Event, NodeConfig};
use medlarstair_state::time::Timestamp;
use serde::{Deserialize, Serialize};

/// Version of the trace format. Incremented with each incompatible change of the events.
pub const TRACE_VERSION: u32 = 1;

/// First line of a trace file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceHeader {
    /// Version of the trace format, see [`TRACE_VERSION`].
    pub version: u32,
    /// Identity, location and random seed of the daemon.
    pub node: NodeConfig,
    /// Start of the decision logic, on the daemon's clock.
    pub started: Timestamp,
}

/// A line of a trace file after the first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceLine {
    /// Time at which the event was handled, on the daemon's clock.
    pub at: Timestamp,
    /// Event as it was passed to the decision logic.
    pub event: Event,
}

/// Writes events to a trace file. The output is buffered.
#[derive(Debug)]
pub struct TraceWriter {
    file: BufWriter<File>,
}

impl TraceWriter {
    /// Starts a trace by writing its header.
    ///
    /// # Errors
    ///
    /// Any I/O error of the file.
    pub fn start(file: File, header: &TraceHeader) -> io::Result<Self> {
        let mut writer = Self { file: BufWriter::new(file) };
        writer.write_line(header)?;
        Ok(writer)
    }

    /// Appends an event.
    ///
    /// # Errors
    ///
    /// Any I/O error of the file.
    pub fn record(&mut self, at: Timestamp, event: &Event) -> io::Result<()> {
        self.write_line(&TraceLine { at, event: event.clone() })
    }

    fn write_line(&mut self, line: &impl Serialize) -> io::Result<()> {
        serde_json::to_writer(&mut self.file, line)?;
        self.file.write_all(b"\n")
    }
}
