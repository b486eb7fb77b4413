//! Where a change is in force.

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

/// Default limit in ms: the time within which a change is in force everywhere.
pub const LIMIT_MS: u64 = 4_000;

/// Pause between two polls.
const POLL: Duration = Duration::from_millis(100);

/// show on which daemons the configuration is in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "in-force")]
pub struct InForceArgs {
    /// wait until it is in force on all reachable daemons
    #[argh(switch)]
    pub wait: bool,
    /// limit of the wait in ms, 4000 by default
    #[argh(option, default = "LIMIT_MS")]
    pub limit_ms: u64,
    /// a configuration key, for example contract/acme; all keys by default
    #[argh(option)]
    pub key: Option<String>,
}

/// What must be in force.
#[derive(Debug, Clone)]
pub enum Target {
    /// Everything that any daemon holds.
    All,
    /// This revision of a key, or a later one.
    Written {
        /// The key without its prefix.
        key: String,
        /// The revision.
        revision: u64,
    },
    /// The deletion of a key.
    Deleted {
        /// The key without its prefix.
        key: String,
    },
}

/// What is known about one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Held {
    /// It holds the change.
    InForce,
    /// It answers and does not hold the change.
    Behind,
    /// It does not answer.
    Unreachable,
}

/// One daemon.
#[derive(Debug, Serialize)]
pub struct DaemonState {
    node: u32,
    state: Held,
}

/// Where a change is in force.
#[derive(Debug, Serialize)]
pub struct Spread {
    in_force: usize,
    total: usize,
    daemons: Vec<DaemonState>,
}

impl Spread {
    fn new(daemons: Vec<DaemonState>) -> Self {
        let in_force = daemons.iter().filter(|d| d.state == Held::InForce).count();
        Self { in_force, total: daemons.len(), daemons }
    }

    /// Whether every daemon that answers holds the change. A spread without any answer is not settled.
    fn is_settled(&self) -> bool {
        self.in_force > 0 && self.daemons.iter().all(|d| d.state != Held::Behind)
    }

    /// One line: `in force on n of m`, and the others by name.
    pub fn text(&self) -> String {
        let mut text = format!("in force on {} of {}", self.in_force, self.total);
        for (state, word) in [(Held::Behind, "not yet on"), (Held::Unreachable, "unreachable")] {
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
/// If no daemon answers or the key does not exist.
pub async fn run(api: &ApiClient, args: &InForceArgs) -> Result<Report, CtlError> {
    let target = match &args.key {
        None => Target::All,
        Some(key) => match api.config_entry(key).await? {
            Some(entry) => Target::Written { key: key.clone(), revision: entry.revision },
            None => Target::Deleted { key: key.clone() },
        },
    };
    let limit = if args.wait { Duration::from_millis(args.limit_ms) } else { Duration::ZERO };
    let spread = wait(api, &target, limit).await?;
    report(String::new(), &spread, args.wait)
}

/// Polls all daemons until the target is in force on all that answer, at most for `limit`.
///
/// # Errors
///
/// If no daemon answers.
pub async fn wait(api: &ApiClient, target: &Target, limit: Duration) -> Result<Spread, CtlError> {
    let started = Instant::now();
    let daemons = api.daemons().await?;
    loop {
        let spread = poll(api, target, daemons.iter().map(|(node, at)| (*node, *at))).await;
        if spread.is_settled() || started.elapsed() >= limit {
            return Ok(spread);
        }
        sleep(POLL).await;
    }
}

/// The report of a spread, after `before`.
///
/// # Errors
///
/// None in practice: a spread can be written as JSON.
pub fn report(before: String, spread: &Spread, waited: bool) -> Result<Report, CtlError> {
    let mut report = Report::success(before + &spread.text(), spread)?;
    if waited && !spread.is_settled() {
        report.exit = Exit::NotInForce;
        report.text += "not in force everywhere in time; run medlarctl in-force --wait again, and look at the \
                        log of the daemons named if it stays so\n";
    }
    Ok(report)
}

async fn poll(api: &ApiClient, target: &Target, daemons: impl Iterator<Item = (u32, SocketAddr)>) -> Spread {
    match target {
        Target::All => poll_all(api, daemons).await,
        Target::Written { key, revision } => {
            let is_held = |e: Option<&KvEntry>| e.is_some_and(|e| e.revision >= *revision);
            poll_key(api, key, daemons, is_held).await
        }
        Target::Deleted { key } => {
            let is_gone = |e: Option<&KvEntry>| e.is_none_or(|e| e.value.is_none());
            poll_key(api, key, daemons, is_gone).await
        }
    }
}

async fn poll_key(
    api: &ApiClient,
    key: &str,
    daemons: impl Iterator<Item = (u32, SocketAddr)>,
    is_held: impl Fn(Option<&KvEntry>) -> bool,
) -> Spread {
    let path = format!("/ops/held/{key}");
    let ask = async |node: u32, at: SocketAddr| {
        let state = match api.get(at, &path).await {
            Some(answer) if answer.status == StatusCode::NOT_FOUND => held(is_held(None)),
            Some(answer) => answer.json().map_or(Held::Unreachable, |entry| held(is_held(Some(&entry)))),
            None => Held::Unreachable,
        };
        DaemonState { node, state }
    };
    Spread::new(join_all(daemons.map(|(node, at)| ask(node, at))).await)
}

fn held(is_held: bool) -> Held {
    if is_held { Held::InForce } else { Held::Behind }
}

/// Compares all daemons with the one that holds the highest revision. Its report tells which others hold the same
/// entries.
async fn poll_all(api: &ApiClient, daemons: impl Iterator<Item = (u32, SocketAddr)>) -> Spread {
    let ask =
        async |node: u32, at: SocketAddr| (node, api.get_json::<InForceReport>(at, "/ops/in-force").await);
    let reports = join_all(daemons.map(|(node, at)| ask(node, at))).await;
    let answered = reports.iter().filter_map(|(_, report)| report.as_ref());
    let newest = answered.max_by_key(|report| report.highest_revision);
    let in_force = |node: u32| {
        let members = newest.map_or(&[][..], |report| &report.members);
        members.iter().any(|m| m.node == node && m.in_force)
    };
    let state = |node: u32, answers: bool| if answers { held(in_force(node)) } else { Held::Unreachable };
    let daemons =
        reports.iter().map(|(node, r)| DaemonState { node: *node, state: state(*node, r.is_some()) });
    Spread::new(daemons.collect())
}

/// Ends a change: its text, and with `wait` where it is in force.
///
/// # Errors
///
/// If no daemon answers.
pub async fn after_change(
    api: &ApiClient,
    done: String,
    target: &Target,
    wait_ms: Option<u64>,
) -> Result<Report, CtlError> {
    match wait_ms {
        Some(ms) => report(done, &wait(api, target, Duration::from_millis(ms)).await?, true),
        None => {
            let revision = match target {
                Target::Written { revision, .. } => Some(*revision),
                _ => None,
            };
            Report::success(done, &serde_json::json!({ "revision": revision }))
        }
    }
}
