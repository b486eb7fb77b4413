//! What the HTTP workers serve without asking the engine.

use std::sync::Arc;

use arc_swap::ArcSwap;
use medlarstair_state::node::NodeView;

/// The latest view of the decision logic, shared by all threads. Reading takes no lock.
#[derive(Debug, Clone)]
pub struct Snapshot {
    view: Arc<ArcSwap<NodeView>>,
}

impl Snapshot {
    /// A snapshot that starts with `view`.
    pub fn new(view: NodeView) -> Self {
        Self { view: Arc::new(ArcSwap::from_pointee(view)) }
    }

    /// Replaces the view.
    pub fn publish(&self, view: NodeView) {
        self.view.store(Arc::new(view));
    }

    /// The latest view.
    pub fn load(&self) -> Arc<NodeView> {
        self.view.load_full()
    }
}
