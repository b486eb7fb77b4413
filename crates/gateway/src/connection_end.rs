//! Why client connections end, for log and metrics.

use std::error::Error;
use std::io;

use derive_more::Display;
use medlarstair_state::steering::clients::ConnectionPhase;

use crate::adapter::Adapter;
use crate::clients::{Client, CutCause};
use crate::eventlog::EventCode;
use crate::shared::{Phase, Shared};

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ConnectionEnd {
    /// All responses were written, and the client has closed its side.
    #[display("finished")]
    Finished,
    /// All responses were written, but the client did not close its side in time.
    #[display("not-closed-by-client")]
    NotClosedByClient,
    /// The client closed its side while its request ran.
    #[display("client-left")]
    ClientLeft,
    /// The client reset the connection.
    #[display("reset-by-client")]
    Reset,
    /// The client did not answer probes of the kernel.
    #[display("client-unreachable")]
    Unreachable,
    /// Another error of the connection, for example an invalid request.
    #[display("failed")]
    Failed,
    /// The process exits.
    #[display("exit")]
    Exit,
    /// A limit on resources.
    #[display("{}", _0.name())]
    Limit(CutCause),
}

impl ConnectionEnd {
    /// The end of a connection that failed with an error of the HTTP library.
    pub fn of_error(e: &hyper::Error) -> Self {
        let mut source = e.source();
        while let Some(cause) = source {
            if let Some(e) = cause.downcast_ref::<io::Error>() {
                return Self::of_io_error(e.kind());
            }
            source = cause.source();
        }
        Self::Failed
    }

    fn of_io_error(kind: io::ErrorKind) -> Self {
        match kind {
            io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe
            | io::ErrorKind::NotConnected => Self::Reset,
            io::ErrorKind::TimedOut => Self::Unreachable,
            _ => Self::Failed,
        }
    }
}

/// Counts the end of a connection. Logs it if a response was under way: requested, being written, or being delivered by the kernel.
pub fn record<A: Adapter>(shared: &Shared<A>, client: &Client, end: ConnectionEnd) {
    let Some(progress) = client.progress() else { return };
    let phase = progress.phase.to_string();
    shared.metrics.connection_ends.with_label_values(&[end.to_string().as_str(), &phase]).inc();
    let was_under_way = match progress.phase {
        ConnectionPhase::Receiving => false,
        ConnectionPhase::Running | ConnectionPhase::Delivering => true,
        ConnectionPhase::Closing => end != ConnectionEnd::Finished,
    };
    if !was_under_way {
        return;
    }
    if let Some(log) = shared.events.admit(shared.now(), EventCode(584)) {
        slog::info!(log, "response may not be delivered"; "code" => 584, "cause" => %end, "phase" => phase,
            "phase_ms" => progress.age.as_millis(), "silent_ms" => progress.silence.as_millis(),
            "written" => progress.written, "stopping" => shared.phase() == Phase::Stopping);
    }
}
