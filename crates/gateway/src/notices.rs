//! What backend servers announce about themselves in their responses.

use std::time::Duration;

use medlarstair_state::id::Backend;

use crate::adapter::{Adapter, PauseRequest, ResponseMetadata};
use crate::shared::Shared;

/// Applies the announcements in a response, which must belong to a request to the server. `request` is the identity of that
/// request for the log.
pub fn record<A: Adapter>(shared: &Shared<A>, id: &Backend, metadata: &ResponseMetadata, request: &str) {
    match metadata.pause {
        Some(PauseRequest::For(duration)) => record_pause(shared, id, duration, request),
        Some(PauseRequest::Invalid) => shared.metrics.notices.with_label_values(&["invalid-pause"]).inc(),
        None => {}
    }
    if metadata.leaving {
        record_leaving(shared, id, request);
    }
}

fn record_pause<A: Adapter>(shared: &Shared<A>, id: &Backend, duration: Duration, request: &str) {
    shared.metrics.notices.with_label_values(&["pause"]).inc();
    if shared.steering.borrow_mut().pause_server(shared.now(), id, duration) {
        slog::info!(shared.events.logger(), "backend server pauses"; "code" => 533, "backend" => %id,
            "request" => request, "pause_ms" => duration.as_millis());
    }
}

fn record_leaving<A: Adapter>(shared: &Shared<A>, id: &Backend, request: &str) {
    // The response may have come on a connection that was returned to the pool.
    shared.pool.borrow_mut().close(id);
    if shared.steering.borrow_mut().mark_leaving(id) {
        shared.metrics.notices.with_label_values(&["leaving"]).inc();
        slog::info!(shared.events.logger(), "backend server leaves"; "code" => 532, "backend" => %id,
            "request" => request);
    }
}

/// Ends the pauses whose time has passed.
pub fn end_pauses<A: Adapter>(shared: &Shared<A>) {
    let ended = shared.steering.borrow_mut().end_pauses(shared.now());
    for id in ended {
        slog::info!(shared.events.logger(), "pause of backend server ended"; "code" => 534, "backend" => %id);
    }
}
