//! Shared view of the decision logic, read by the HTTP workers without a message to the engine.

use std::sync::Arc;

use arc_swap::ArcSwap;
use medlarstair_state::node::NodeView;

/// Latest view of the decision logic. Copies share it; reading takes no lock.
#[derive(Debug, Clone)]
pub struct Snapshot {
    view: Arc<ArcSwap<NodeView>>,
}

impl Snapshot {
    /// Creates a snapshot that holds `view` until the first [`publish`](Self::publish).
    pub fn new(view: NodeView) -> Self {
        Self { view: Arc::new(ArcSwap::from_pointee(view)) }
    }

    /// Replaces the view.
    pub fn publish(&self, view: NodeView) {
        self.view.store(Arc::new(view));
    }

    /// Returns the latest view, which does not change afterwards.
    pub fn load(&self) -> Arc<NodeView> {
        self.view.load_full()
    }
}
