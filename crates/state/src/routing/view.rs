//! What the reports say, for daemons that lend slots.

use super::{Policy, Routing};
use crate::id::Backend;
use crate::time::Timestamp;

impl<P: Policy> Routing<P> {
    /// Whether a recent report shows a free slot. False without a recent report.
    pub fn has_reported_room(&self, now: Timestamp, backend: &Backend) -> bool {
        self.servers.get(backend).and_then(|server| server.reported(now)).is_some_and(|load| load < 1.0)
    }
}
