//! Numbered events for the log and the timeline.
//!
//! The numbers are listed in docs/events.md and never change their meaning.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::{Backend, Fingerprint, Incarnation, NodeId, RequestId, Revision};
use crate::membership::Liveness;

/// A numbered event.
#[derive(Debug, Clone, PartialEq, Display, Serialize, Deserialize)]
pub enum Notice {
    /// A configuration entry came into force.
    #[display("key={key} revision={revision}")]
    ConfigApplied {
        /// Its key.
        key: Box<str>,
        /// Its revision.
        revision: Revision,
    },
    /// A configuration value is not valid; the last valid one stays in force.
    #[display("key={key} revision={revision}")]
    ConfigInvalid {
        /// Its key.
        key: Box<str>,
        /// Its revision.
        revision: Revision,
    },
    /// This daemon began or ended watching the key-value service.
    #[display("watching={watching}")]
    WatcherChanged {
        /// Whether it watches now.
        watching: bool,
    },
    /// The liveness of another daemon changed.
    #[display("node={node} liveness={liveness:?}")]
    LivenessChanged {
        /// The daemon.
        node: NodeId,
        /// Its liveness.
        liveness: Liveness,
    },
    /// A backend server stopped or began to accept new work.
    #[display("backend={backend} accepts={accepts}")]
    BackendChanged {
        /// The backend server.
        backend: Backend,
        /// Whether it accepts new work.
        accepts: bool,
    },
    /// A request broke the connection to a backend server before any answer.
    #[display("request={request} fingerprint={fingerprint} backend={backend} crashes={crashes}")]
    CrashSuspected {
        /// The request.
        request: RequestId,
        /// Its fingerprint.
        fingerprint: Fingerprint,
        /// The backend server.
        backend: Backend,
        /// Crashes known so far.
        crashes: u32,
    },
    /// A request was refused because it crashes backend servers.
    #[display("request={request} fingerprint={fingerprint}")]
    Quarantined {
        /// The request.
        request: RequestId,
        /// Its fingerprint.
        fingerprint: Fingerprint,
    },
    /// A planned stop began.
    #[display("")]
    StopBegan,
    /// The operation table went to a successor.
    #[display("successor={successor}")]
    HandedOver {
        /// The successor.
        successor: NodeId,
    },
    /// This daemon answers for the operations of another.
    #[display("owner={owner}")]
    TookOver {
        /// Whose operations.
        owner: Incarnation,
    },
    /// A planned stop ended.
    #[display("")]
    StopEnded,
    /// A fleet change began or was completed in the key-value service's value.
    #[display("members={members} previous={previous}")]
    FleetChanged {
        /// Number of members.
        members: usize,
        /// Number of members before the change under way.
        previous: usize,
    },
}

impl Notice {
    /// Number of the event in docs/events.md.
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

    /// Name of the event in docs/events.md.
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
