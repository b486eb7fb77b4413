//! `medlarctl in-force`: shows on which daemons a change is in force.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use argh::FromArgs;
use awc::http::StatusCode;
use futures_util::future::join_all;
use medlarstair::protocol::border::{InForceReport, KvEntry};
use serde::Serialize;
use tokio::time::sleep;

use super::api::ApiClient;
use super::{CtlError, Exit, Report};

/// Default maximum wait in ms: the time within which a change is expected to be in force on all daemons.
pub const LIMIT_MS: u64 = 4_000;

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// show on which daemons the configuration is in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "in-force")]
pub struct InForceArgs {
    /// wait until it is in force on all responding daemons
    #[argh(switch)]
    pub wait: bool,
    /// maximum wait in ms, 4000 by default
    #[argh(option, default = "LIMIT_MS")]
    pub limit_ms: u64,
    /// configuration key, for example contract/acme; all keys by default
    #[argh(option)]
    pub key: Option<String>,
}

/// What must be in force.
#[derive(Debug, Clone)]
pub enum Target {
    /// The most recent configuration that any daemon holds.
    All,
    /// A revision of a key, or a later one.
    Written {
        /// Configuration key without its prefix.
        key: String,
        /// Lowest revision that counts as in force.
        revision: u64,
    },
    /// The deletion of a key.
    Deleted {
        /// Configuration key without its prefix.
        key: String,
    },
}

/// Whether a daemon holds a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeState {
    /// The daemon holds the change.
    InForce,
    /// The daemon responds but does not hold the change.
    Behind,
    /// The daemon does not respond, or its response cannot be parsed.
    Unreachable,
}

/// A daemon and whether it holds a change.
#[derive(Debug, Serialize)]
pub struct DaemonState {
    node: u32,
    state: ChangeState,
}

/// On which daemons a change is in force.
#[derive(Debug, Serialize)]
pub struct Rollout {
    in_force: usize,
    total: usize,
    daemons: Vec<DaemonState>,
}

impl Rollout {
    fn new(daemons: Vec<DaemonState>) -> Self {
        let in_force = daemons.iter().filter(|d| d.state == ChangeState::InForce).count();
        Self { in_force, total: daemons.len(), daemons }
    }

    /// Whether every responding daemon holds the change. Without any response the rollout is not complete.
    fn is_complete(&self) -> bool {
        self.in_force > 0 && self.daemons.iter().all(|d| d.state != ChangeState::Behind)
    }

    /// Returns one line: `in force on n of m`, followed by the names of the other daemons.
    pub fn text(&self) -> String {
        let mut text = format!("in force on {} of {}", self.in_force, self.total);
        for (state, word) in [(ChangeState::Behind, "not yet on"), (ChangeState::Unreachable, "unreachable")]
        {
            let named = self.daemons.iter().filter(|d| d.state == state);
            let names = named.map(|d| format!("n{}", d.node)).collect::<Vec<_>>();
            if !names.is_empty() {
                text += &format!("; {word}: {}", names.join(", "));
            }
        }
        text + "\n"
    }
}

/// Runs `medlarctl in-force`.
///
/// # Errors
///
/// If no daemon responds.
pub async fn run(api: &ApiClient, args: &InForceArgs) -> Result<Report, CtlError> {
    let target = match &args.key {
        None => Target::All,
        Some(key) => match api.config_entry(key).await? {
            Some(entry) => Target::Written { key: key.clone(), revision: entry.revision },
            None => Target::Deleted { key: key.clone() },
        },
    };
    let limit = if args.wait { Duration::from_millis(args.limit_ms) } else { Duration::ZERO };
    let rollout = wait(api, &target, limit).await?;
    rollout_report(String::new(), &rollout, args.wait)
}

/// Polls all daemons until the target is in force on all responding ones or `limit` has passed.
///
/// # Errors
///
/// If no daemon responds.
pub async fn wait(api: &ApiClient, target: &Target, limit: Duration) -> Result<Rollout, CtlError> {
    let started = Instant::now();
    let daemons = api.daemons().await?;
    loop {
        let rollout = query(api, target, daemons.iter().map(|(node, at)| (*node, *at))).await;
        if rollout.is_complete() || started.elapsed() >= limit {
            return Ok(rollout);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Creates the report of a rollout, with its text after `prefix`. The exit code is [`Exit::NotInForce`] if `waited` and
/// the rollout is not complete.
///
/// # Errors
///
/// If the rollout cannot be serialized as JSON, which does not happen.
pub fn rollout_report(prefix: String, rollout: &Rollout, waited: bool) -> Result<Report, CtlError> {
    let mut report = Report::success(prefix + &rollout.text(), rollout)?;
    if waited && !rollout.is_complete() {
        report.exit = Exit::NotInForce;
        report.text += "not in force on all responding daemons in time; run medlarctl in-force --wait again, and \
                        check the logs of the daemons named above if this persists\n";
    }
    Ok(report)
}

async fn query(
    api: &ApiClient,
    target: &Target,
    daemons: impl Iterator<Item = (u32, SocketAddr)>,
) -> Rollout {
    match target {
        Target::All => query_all(api, daemons).await,
        Target::Written { key, revision } => {
            let has_change = |e: Option<&KvEntry>| e.is_some_and(|e| e.revision >= *revision);
            query_key(api, key, daemons, has_change).await
        }
        Target::Deleted { key } => {
            let has_change = |e: Option<&KvEntry>| e.is_none_or(|e| e.value.is_none());
            query_key(api, key, daemons, has_change).await
        }
    }
}

async fn query_key(
    api: &ApiClient,
    key: &str,
    daemons: impl Iterator<Item = (u32, SocketAddr)>,
    has_change: impl Fn(Option<&KvEntry>) -> bool,
) -> Rollout {
    let path = format!("/ops/held/{key}");
    let query_daemon = async |node: u32, at: SocketAddr| {
        let state = match api.get(at, &path).await {
            Some(response) if response.status == StatusCode::NOT_FOUND => change_state(has_change(None)),
            Some(response) => response
                .json()
                .map_or(ChangeState::Unreachable, |entry| change_state(has_change(Some(&entry)))),
            None => ChangeState::Unreachable,
        };
        DaemonState { node, state }
    };
    Rollout::new(join_all(daemons.map(|(node, at)| query_daemon(node, at))).await)
}

fn change_state(has_change: bool) -> ChangeState {
    if has_change { ChangeState::InForce } else { ChangeState::Behind }
}

/// Compares all daemons with the one that holds the highest revision. The report of that daemon lists which others hold
/// the same configuration.
async fn query_all(api: &ApiClient, daemons: impl Iterator<Item = (u32, SocketAddr)>) -> Rollout {
    let query_daemon =
        async |node: u32, at: SocketAddr| (node, api.get_json::<InForceReport>(at, "/ops/in-force").await);
    let reports = join_all(daemons.map(|(node, at)| query_daemon(node, at))).await;
    let received = reports.iter().filter_map(|(_, report)| report.as_ref());
    let newest = received.max_by_key(|report| report.highest_revision);
    let in_force = |node: u32| {
        let members = newest.map_or(&[][..], |report| &report.members);
        members.iter().any(|m| m.node == node && m.in_force)
    };
    let state = |node: u32, responded: bool| {
        if responded { change_state(in_force(node)) } else { ChangeState::Unreachable }
    };
    let daemons =
        reports.iter().map(|(node, r)| DaemonState { node: *node, state: state(*node, r.is_some()) });
    Rollout::new(daemons.collect())
}

/// Reports a change: `message` and, if `wait_ms` is given, on which daemons it is in force after waiting for at most
/// that time.
///
/// # Errors
///
/// If no daemon responds.
pub async fn report_change(
    api: &ApiClient,
    message: String,
    target: &Target,
    wait_ms: Option<u64>,
) -> Result<Report, CtlError> {
    match wait_ms {
        Some(ms) => rollout_report(message, &wait(api, target, Duration::from_millis(ms)).await?, true),
        None => {
            let revision = match target {
                Target::Written { revision, .. } => Some(*revision),
                _ => None,
            };
            Report::success(message, &serde_json::json!({ "revision": revision }))
        }
    }
}
