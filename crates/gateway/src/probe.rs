//! Active health checks of backend servers whose state is uncertain.
//!
//! Responses to forwarded requests already show the load and health of a server, so only servers that failed or may have
//! become cold are probed.

use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use medlarstair_state::steering::BackendEntry;
use tokio::time::timeout;

use crate::adapter::{Adapter, HealthReport};
use crate::body::RequestBody;
use crate::notices;
use crate::pool::ServerConnection;
use crate::shared::Shared;

/// Timeout for a health check, including opening the connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum size of the response body of a health check in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Name of a health check in log lines that name a request.
const HEALTH_CHECK: &str = "health-check";

/// Starts a task for each health check that is due.
pub fn start_due<A: Adapter>(shared: &Rc<Shared<A>>) {
    let due = shared.steering.borrow_mut().start_due_probes(shared.now());
    for server in due {
        let shared = Rc::clone(shared);
        actix_rt::spawn(async move {
            let report = timeout(PROBE_TIMEOUT, probe(&shared, &server)).await.ok().flatten();
            let now = shared.now();
            let mut steering = shared.steering.borrow_mut();
            if let Some(load) = report.as_ref().and_then(|r| r.load) {
                steering.record_load(now, &server.id, load);
            }
            steering.record_probe(now, &server.id, report.map(|r| r.cold_remaining));
        });
    }
}

/// Sends a health check. Returns `None` if it failed or another server responded.
async fn probe<A: Adapter>(shared: &Shared<A>, server: &BackendEntry) -> Option<HealthReport> {
    let path = {
        let steering = shared.steering.borrow();
        steering.plan()?.service(&server.service)?.health_path.clone()
    };
    let mut connection = ServerConnection::open(server.address, PROBE_TIMEOUT).await.ok()?;
    let req = Request::get(&*path).header("host", server.address.to_string());
    let req = req.body(RequestBody::default()).ok()?;
    let response = connection.exchange(req, MAX_BODY_BYTES).await.ok()?;
    let metadata = shared.adapter.parse_response(response.head.status, &response.head.headers);
    notices::record(shared, &server.id, &metadata, HEALTH_CHECK);
    let report = shared.adapter.parse_health_response(response.head.status, &response.head.headers)?;
    if report.backend.as_ref().is_some_and(|id| *id != server.id) {
        shared.steering.borrow_mut().mark_misdirected(&server.id);
        return None;
    }
    shared.pool.borrow_mut().put(shared.now(), &server.id, connection, &response.head.headers);
    Some(report)
}
