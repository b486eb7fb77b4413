//! Whether this daemon may rely on what it knows about backend servers.
//!
//! A daemon that has just started or was paused has not heard which backend servers leave, while its base shares do
//! not expire. It starts and lends nothing until the sources have had time to tell it.

use std::time::Duration;

use crate::node::Node;
use crate::routing::Policy;
use crate::time::Timestamp;

/// Gap between two events after which this daemon was paused. Together with [`CATCH_UP`] it stays within the 2 s after
/// which a leaving backend server gets no new work.
const PAUSED: Duration = Duration::from_secs(1);

/// Time in which reports of backend servers (300 ms), the VM list (900 ms) and configuration changes arrive.
const CATCH_UP: Duration = Duration::from_secs(1);

/// When this daemon was last up to date.
#[derive(Debug)]
pub(super) struct Awareness {
    last_event: Timestamp,
    stale_until: Timestamp,
}

impl Awareness {
    pub(super) fn new(now: Timestamp) -> Self {
        Self { last_event: now, stale_until: now }
    }

    /// Begins the time in which the sources are awaited.
    pub(super) fn catch_up(&mut self, now: Timestamp) {
        self.stale_until = now + CATCH_UP;
    }

    pub(super) fn on_event(&mut self, now: Timestamp) {
        if now.since(self.last_event) >= PAUSED {
            self.catch_up(now);
        }
        self.last_event = now;
    }
}

impl<P: Policy + Default> Node<P> {
    /// Whether the sources have had no time yet to say which backend servers leave.
    pub(super) fn is_stale(&self, now: Timestamp) -> bool {
        now < self.awareness.stale_until
    }
}
