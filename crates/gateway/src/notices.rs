//! What backend servers announce about themselves in their responses.

use medlarstair_state::id::Backend;

use crate::adapter::{Adapter, ResponseMetadata};
use crate::shared::Shared;

/// Applies the announcements in a response, which must belong to a request to the server. `request` is the identity of that
/// request for the log.
pub fn record<A: Adapter>(shared: &Shared<A>, id: &Backend, metadata: &ResponseMetadata, request: &str) {
    if !metadata.leaving {
        return;
    }
    // The response may have come on a connection that was returned to the pool.
    shared.pool.borrow_mut().close(id);
    if shared.steering.borrow_mut().mark_leaving(id) {
        shared.metrics.notices.with_label_values(&["leaving"]).inc();
        slog::info!(shared.events.logger(), "backend server leaves"; "code" => 532, "backend" => %id,
            "request" => request);
    }
}
