//! `medlarctl stop`: stops a daemon gracefully.

use std::time::{Duration, Instant};

use argh::FromArgs;
use awc::http::{Method, StatusCode};
use serde_json::json;
use tokio::time::sleep;

use super::api::{ApiClient, WRITE_TIMEOUT};
use super::{CtlError, Exit, Report};

/// Default maximum wait in ms for a daemon to exit. It serves clients with a cached lookup for 6 s, running requests
/// take at most 10 s, and a failed handover is abandoned after 5 s.
const LIMIT_MS: u64 = 30_000;

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// stop a daemon without interrupting requests
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "stop")]
pub struct StopArgs {
    /// node number of the daemon
    #[argh(option)]
    node: u32,
    /// wait until the daemon has exited
    #[argh(switch)]
    wait: bool,
    /// maximum wait in ms, 30000 by default
    #[argh(option, default = "LIMIT_MS")]
    limit_ms: u64,
}

/// Runs `medlarctl stop`.
///
/// # Errors
///
/// If the daemon is not in the fleet, does not respond, refuses the stop or does not exit in time.
pub async fn run(api: &ApiClient, args: &StopArgs) -> Result<Report, CtlError> {
    let node = args.node;
    let daemons = api.daemons().await?;
    let Some(at) = daemons.get(&node) else {
        return Err(CtlError::failed(format!(
            "n{node} is not in the fleet; medlarctl fleet show lists the daemons"
        )));
    };
    let Some(response) = api.request(*at, Method::POST, "/ops/stop", None, WRITE_TIMEOUT).await else {
        let message =
            format!("n{node} at {at} does not respond; if its VM is gone, remove it from the fleet");
        return Err(CtlError::new(Exit::Unreachable, message));
    };
    if response.status != StatusCode::ACCEPTED {
        response.json::<serde_json::Value>()?;
        return Err(CtlError::failed(format!("n{node} returned {}", response.status)));
    }
    if !args.wait {
        return Report::success(format!("n{node} is stopping\n"), &json!({ "node": node, "ended": false }));
    }
    let (started, limit) = (Instant::now(), Duration::from_millis(args.limit_ms));
    while api.get(*at, "/status").await.is_some() {
        if started.elapsed() >= limit {
            let message = format!("n{node} is still stopping; check its log and medlarctl timeline");
            return Err(CtlError::failed(message));
        }
        sleep(POLL_INTERVAL).await;
    }
    Report::success(format!("n{node} has ended\n"), &json!({ "node": node, "ended": true }))
}
