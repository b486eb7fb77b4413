//! Recorded events of the decision logic, as JSON lines.
//!
//! The first line says which daemon the events belong to, so that a replay starts with the same identity and the same
//! random choices. Every further line is one event.

use std::fs::File;
use std::io::{self, BufWriter, Write};

use medlarstair_state::node::{Event, NodeConfig};
use medlarstair_state::time::Timestamp;
use serde::{Deserialize, Serialize};

/// Version of the format. It changes with every change of the events that older traces do not fit.
pub const TRACE_VERSION: u32 = 1;

/// The first line of a recorded trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceHeader {
    /// Version of the format.
    pub version: u32,
    /// Who and where the daemon is.
    pub node: NodeConfig,
    /// When the decision logic started, on the daemon's clock.
    pub started: Timestamp,
}

/// One event of a recorded trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceLine {
    /// When the event was handled.
    pub at: Timestamp,
    /// The event.
    pub event: Event,
}

/// Records events to a file.
#[derive(Debug)]
pub struct TraceWriter {
    file: BufWriter<File>,
}

impl TraceWriter {
    /// Starts a trace.
    ///
    /// # Errors
    ///
    /// Any I/O error of the file.
    pub fn start(file: File, header: &TraceHeader) -> io::Result<Self> {
        let mut writer = Self { file: BufWriter::new(file) };
        writer.write_line(header)?;
        Ok(writer)
    }

    /// Adds an event.
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
