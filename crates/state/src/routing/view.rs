//! Query of the load reports, for daemons that lend slots.

use super::{BackendSelector, Policy};
use crate::id::Backend;
use crate::time::Timestamp;

impl<P: Policy> BackendSelector<P> {
    /// Whether a recent load report shows a free slot. False if there is no recent report.
    pub fn has_reported_capacity(&self, now: Timestamp, backend: &Backend) -> bool {
        self.servers.get(backend).and_then(|server| server.reported_load(now)).is_some_and(|load| load < 1.0)
    }
}
