//! Detects that this daemon's knowledge of the backend servers may be out of date.
//!
//! A daemon that has just started or was paused does not know which backend servers are leaving, but its base shares
//! do not expire. Until its sources of information have had time to update it, it starts no requests and lends no
//! slots.

use std::time::Duration;

use crate::node::Node;
use crate::routing::Policy;
use crate::time::Timestamp;

/// Gap between two events from which on the process is considered to have been paused. The sum with [`RESYNC_PERIOD`]
/// must not exceed 2 s, after which a leaving backend server gets no new work.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Period after a start or pause during which the state counts as stale. Load reports of backend servers (300 ms), the
/// VM list (900 ms) and configuration changes arrive within it.
const RESYNC_PERIOD: Duration = Duration::from_secs(1);

/// Tracks whether this daemon's knowledge is up to date.
#[derive(Debug)]
pub(super) struct Staleness {
    last_event: Timestamp,
    stale_until: Timestamp,
}

impl Staleness {
    pub(super) fn new(now: Timestamp) -> Self {
        Self { last_event: now, stale_until: now }
    }

    /// Marks the state as stale for [`RESYNC_PERIOD`].
    pub(super) fn mark_stale(&mut self, now: Timestamp) {
        self.stale_until = now + RESYNC_PERIOD;
    }

    /// Records an event. Marks the state as stale if the time since the previous event shows a pause of the process.
    pub(super) fn on_event(&mut self, now: Timestamp) {
        if now.since(self.last_event) >= PAUSE_THRESHOLD {
            self.mark_stale(now);
        }
        self.last_event = now;
    }
}

impl<P: Policy + Default> Node<P> {
    /// Whether the sources have not yet had time to report which backend servers are leaving.
    pub(super) fn is_stale(&self, now: Timestamp) -> bool {
        now < self.staleness.stale_until
    }
}
