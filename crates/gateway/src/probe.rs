//! Health checks of servers whose state is in doubt.
//!
//! Answers to requests tell the load and health of a server, so only servers that failed, or may have become cold, are
//! asked.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use medlarstair_state::steering::BackendEntry;
use medlarstair_transport::http1::ClientConnection;
use tokio::time::timeout;

use crate::adapter::{Adapter, HealthReport};
use crate::core::Core;

/// Time for a health check, the connection included.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest answer to a health check.
const BODY_MAX_BYTES: usize = 64 << 10;

/// Starts the health checks that are due.
pub fn start_due<A: Adapter>(core: &Rc<Core<A>>) {
    let due = core.steering.borrow_mut().start_due_probes(core.now());
    for server in due {
        let core = Rc::clone(core);
        actix_rt::spawn(async move {
            let notes = timeout(PROBE_TIMEOUT, probe(&core, &server)).await.ok().flatten();
            let now = core.now();
            let mut steering = core.steering.borrow_mut();
            if let Some(load) = notes.as_ref().and_then(|n| n.load) {
                steering.record_load(now, &server.id, load);
            }
            steering.record_probe(now, &server.id, notes.map(|n| n.cold_remaining));
        });
    }
}

async fn probe<A: Adapter>(core: &Core<A>, server: &BackendEntry) -> Option<HealthReport> {
    let path = {
        let steering = core.steering.borrow();
        steering.plan()?.service(&server.service)?.health_path.clone()
    };
    let mut link = ClientConnection::open(server.address, PROBE_TIMEOUT).await.ok()?;
    let req = Request::get(&*path).header("host", server.address.to_string());
    let req = req.body(Full::<Bytes>::default()).ok()?;
    let answer = link.exchange(req, BODY_MAX_BYTES).await.ok()?;
    let notes = core.adapter.parse_health_response(answer.head.status, &answer.head.headers)?;
    if notes.backend.as_ref().is_some_and(|id| *id != server.id) {
        core.steering.borrow_mut().mark_misdirected(&server.id);
        return None;
    }
    core.pool.borrow_mut().put(core.now(), &server.id, link, &answer.head.headers);
    Some(notes)
}
