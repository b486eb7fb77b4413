//! Numbered events for the log and the timeline.
//!
//! The numbers are listed in docs/events.md, and the meaning of a number never changes.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::{Backend, Fingerprint, Incarnation, NodeId, RequestId, Revision};
use crate::membership::Liveness;

/// A numbered event. Its `Display` form gives the fields as `key=value` pairs.
#[derive(Debug, Clone, PartialEq, Display, Serialize, Deserialize)]
pub enum Notice {
    /// A configuration entry was applied.
    #[display("key={key} revision={revision}")]
    ConfigApplied {
        /// Key of the entry.
        key: Box<str>,
        /// Revision of the entry.
        revision: Revision,
    },
    /// A configuration value is not valid; the last valid one stays in effect.
    #[display("key={key} revision={revision}")]
    ConfigInvalid {
        /// Key of the entry.
        key: Box<str>,
        /// Revision of the invalid value.
        revision: Revision,
    },
    /// This daemon started or stopped watching the key-value service.
    #[display("watching={watching}")]
    WatcherChanged {
        /// Whether it watches from now on.
        watching: bool,
    },
    /// The liveness of another daemon changed.
    #[display("node={node} liveness={liveness:?}")]
    LivenessChanged {
        /// The other daemon.
        node: NodeId,
        /// Liveness from now on.
        liveness: Liveness,
    },
    /// A backend server stopped or began to accept new work.
    #[display("backend={backend} accepts={accepts}")]
    BackendChanged {
        /// Name of the backend server.
        backend: Backend,
        /// Whether it accepts new work from now on.
        accepts: bool,
    },
    /// The connection to a backend server broke before the head of a response, so that the request may have crashed it.
    #[display("request={request} fingerprint={fingerprint} backend={backend} crashes={crashes}")]
    CrashSuspected {
        /// The request that was running.
        request: RequestId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// The backend server that may have crashed.
        backend: Backend,
        /// Number of crashes known for the fingerprint, this one included.
        crashes: u32,
    },
    /// A request was refused because it has repeatedly crashed backend servers.
    #[display("request={request} fingerprint={fingerprint}")]
    Quarantined {
        /// The refused request.
        request: RequestId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// A planned stop began.
    #[display("")]
    StopBegan,
    /// A successor acknowledged the operation table of this daemon.
    #[display("successor={successor}")]
    HandedOver {
        /// The daemon that has taken over the operations.
        successor: NodeId,
    },
    /// This daemon has taken over the operations of another one.
    #[display("owner={owner}")]
    TookOver {
        /// The daemon whose operation table was imported.
        owner: Incarnation,
    },
    /// A planned stop ended.
    #[display("")]
    StopEnded,
    /// A new fleet value was applied: a fleet change began or was completed.
    #[display("members={members} previous={previous}")]
    FleetChanged {
        /// Number of members.
        members: usize,
        /// Number of members before the change in progress; zero if none is in progress.
        previous: usize,
    },
}

impl Notice {
    /// Returns the number of the event in docs/events.md.
    pub fn code(&self) -> u32 {
        match self {
            Self::ConfigApplied { .. } => 100,
            Self::ConfigInvalid { .. } => 101,
            Self::WatcherChanged { .. } => 102,
            Self::FleetChanged { .. } => 103,
            Self::LivenessChanged { .. } => 200,
            Self::BackendChanged { .. } => 300,
            Self::CrashSuspected { .. } => 301,
            Self::Quarantined { .. } => 302,
            Self::StopBegan => 400,
            Self::HandedOver { .. } => 401,
            Self::TookOver { .. } => 402,
            Self::StopEnded => 403,
        }
    }

    /// Returns the name of the event in docs/events.md.
    pub fn name(&self) -> &'static str {
        match self {
            Self::ConfigApplied { .. } => "config-applied",
            Self::ConfigInvalid { .. } => "config-invalid",
            Self::WatcherChanged { .. } => "watcher-changed",
            Self::FleetChanged { .. } => "fleet-changed",
            Self::LivenessChanged { .. } => "liveness-changed",
            Self::BackendChanged { .. } => "backend-changed",
            Self::CrashSuspected { .. } => "crash-suspected",
            Self::Quarantined { .. } => "quarantined",
            Self::StopBegan => "stop-began",
            Self::HandedOver { .. } => "handed-over",
            Self::TookOver { .. } => "took-over",
            Self::StopEnded => "stop-ended",
        }
    }
}
