//! Changes of the fleet, in two steps.
//!
//! The first step writes the joint value, which holds the new members and in `previous` those before the change; each
//! daemon then uses the smaller of its two shares. The second step, `finish`, removes `previous` after every live
//! member has had the joint value in force for as long as loans under the old division may last. The age is measured
//! by each daemon on its own clock.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use argh::FromArgs;
use futures_util::future::join_all;
use medlarstair::protocol::border::{FleetMemberValue, FleetValue, InForceReport, KvEntry};
use medlarstair::state::ledger::{LOAN_LIFETIME, with_drift_margin};
use serde_json::json;
use tokio::time::sleep;

use super::api::ApiClient;
use super::in_force::{LIMIT_MS, Target, report_change};
use super::{CtlError, Exit, Report, change};

/// Seconds for which the joint value must be in force: the lifetime of a loan plus the drift margin. The age is told in
/// whole seconds, so this is rounded up.
fn joint_seconds() -> u64 {
    let seconds = with_drift_margin(LOAN_LIFETIME).as_millis().div_ceil(1_000);
    u64::try_from(seconds).unwrap_or(u64::MAX)
}

/// Default limit in ms of the wait of `finish`.
const FINISH_LIMIT_MS: u64 = 30_000;

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Configuration key of the fleet.
const KEY: &str = "fleet";

/// show and change the fleet
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct FleetArgs {
    #[argh(subcommand)]
    command: FleetCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum FleetCommand {
    Show(ShowArgs),
    Add(AddArgs),
    Remove(RemoveArgs),
    Finish(FinishArgs),
}

/// list the daemons and the change under way
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowArgs {}

/// first step: add a daemon
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "add")]
struct AddArgs {
    /// its number
    #[argh(option)]
    node: u32,
    /// its region
    #[argh(option)]
    region: String,
    /// its failure domain
    #[argh(option)]
    domain: String,
    /// address of messages between daemons
    #[argh(option)]
    peer: SocketAddr,
    /// address that callers use
    #[argh(option)]
    http: SocketAddr,
    /// wait until the joint value is in force
    #[argh(switch)]
    wait: bool,
    /// maximum wait in ms, 4000 by default
    #[argh(option, default = "LIMIT_MS")]
    limit_ms: u64,
}

/// first step: remove a daemon
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
struct RemoveArgs {
    /// its number
    #[argh(option)]
    node: u32,
    /// wait until the joint value is in force
    #[argh(switch)]
    wait: bool,
    /// maximum wait in ms, 4000 by default
    #[argh(option, default = "LIMIT_MS")]
    limit_ms: u64,
}

/// second step: complete the change under way
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "finish")]
struct FinishArgs {
    /// wait until every live daemon has had the joint value in force long enough
    #[argh(switch)]
    wait: bool,
    /// maximum wait in ms, 30000 by default
    #[argh(option, default = "FINISH_LIMIT_MS")]
    limit_ms: u64,
    /// number of a daemon whose VM no longer exists; may be given several times
    #[argh(option)]
    gone: Vec<u32>,
}

struct Stored {
    revision: u64,
    fleet: FleetValue,
}

/// Runs `medlarctl fleet`.
///
/// # Errors
///
/// See the exit codes.
pub async fn run(api: &ApiClient, args: &FleetArgs) -> Result<Report, CtlError> {
    match &args.command {
        FleetCommand::Show(_) => show(&stored(api).await?),
        FleetCommand::Add(args) => add(api, args).await,
        FleetCommand::Remove(args) => remove(api, args).await,
        FleetCommand::Finish(args) => finish(api, args).await,
    }
}

async fn stored(api: &ApiClient) -> Result<Stored, CtlError> {
    let missing = || {
        CtlError::failed(
            "there is no fleet value yet; write the first one with medlarctl config put fleet FILE",
        )
    };
    let KvEntry { revision, value, .. } = api.config_entry(KEY).await?.ok_or_else(missing)?;
    let fleet = serde_json::from_str(&value.ok_or_else(missing)?)
        .map_err(|e| CtlError::failed(format!("the fleet value cannot be read: {e}")))?;
    Ok(Stored { revision, fleet })
}

fn show(Stored { revision, fleet }: &Stored) -> Result<Report, CtlError> {
    let mut text = format!("fleet revision={revision} members={}\n", fleet.members.len());
    for m in &fleet.members {
        let FleetMemberValue { node, region, domain, peer_address, http_address } = m;
        let _ = writeln!(text, "n{node} {region} {domain} http={http_address} peer={peer_address}");
    }
    if !fleet.previous.is_empty() {
        let before = fleet.previous.iter().map(|m| format!("n{}", m.node)).collect::<Vec<_>>().join(", ");
        let _ = writeln!(text, "change under way; members before it: {before}");
        text += "complete it with medlarctl fleet finish --wait\n";
    }
    Report::success(text, &json!({ "revision": revision, "fleet": fleet }))
}

async fn add(api: &ApiClient, args: &AddArgs) -> Result<Report, CtlError> {
    let Stored { revision, mut fleet } = stored(api).await?;
    let new = FleetMemberValue {
        node: args.node,
        region: args.region.clone(),
        domain: args.domain.clone(),
        peer_address: args.peer.to_string(),
        http_address: args.http.to_string(),
    };
    let clashes = |m: &&FleetMemberValue| {
        m.node == new.node || m.peer_address == new.peer_address || m.http_address == new.http_address
    };
    if let Some(found) = fleet.members.iter().find(clashes) {
        let message = format!("n{} has the same number or address; give the new daemon its own", found.node);
        return Err(CtlError::invalid(message));
    }
    begin(&mut fleet)?;
    fleet.members.push(new);
    write_joint(api, revision, &fleet, args.wait.then_some(args.limit_ms)).await
}

async fn remove(api: &ApiClient, args: &RemoveArgs) -> Result<Report, CtlError> {
    let Stored { revision, mut fleet } = stored(api).await?;
    begin(&mut fleet)?;
    fleet.members.retain(|m| m.node != args.node);
    if fleet.members.len() == fleet.previous.len() {
        let message = format!("n{} is not in the fleet; medlarctl fleet show lists the daemons", args.node);
        return Err(CtlError::failed(message));
    }
    write_joint(api, revision, &fleet, args.wait.then_some(args.limit_ms)).await
}

/// A third division must not join the two of a change under way, since the shares are safe for two only.
fn begin(fleet: &mut FleetValue) -> Result<(), CtlError> {
    if !fleet.previous.is_empty() {
        let message =
            "another fleet change is under way; complete it with medlarctl fleet finish --wait first";
        return Err(CtlError::failed(message));
    }
    fleet.previous = fleet.members.clone();
    Ok(())
}

async fn write(api: &ApiClient, expect: u64, fleet: &FleetValue) -> Result<u64, CtlError> {
    let mut value = serde_json::to_value(fleet).map_err(|e| CtlError::failed(e.to_string()))?;
    change::put(api, KEY, &mut value, expect, false).await
}

async fn write_joint(
    api: &ApiClient,
    expect: u64,
    fleet: &FleetValue,
    wait_ms: Option<u64>,
) -> Result<Report, CtlError> {
    let revision = write(api, expect, fleet).await?;
    let done = format!(
        "the joint fleet value has revision {revision}; complete the change with medlarctl fleet finish --wait\n"
    );
    report_change(api, done, &Target::Written { key: KEY.into(), revision }, wait_ms).await
}

/// What still stands against the second step at one daemon.
enum Obstacle {
    Younger { seconds: u64 },
    Behind,
    Silent,
    NotGone,
}

async fn finish(api: &ApiClient, args: &FinishArgs) -> Result<Report, CtlError> {
    let mut stored = stored(api).await?;
    if stored.fleet.previous.is_empty() {
        return Report::success("no fleet change is under way\n", &json!({ "revision": stored.revision }));
    }
    let limit = if args.wait { Duration::from_millis(args.limit_ms) } else { Duration::ZERO };
    let started = Instant::now();
    let revision = loop {
        let obstacles = obstacles(api, &stored, &args.gone).await?;
        if obstacles.is_empty() {
            stored.fleet.previous.clear();
            break write(api, stored.revision, &stored.fleet).await?;
        }
        if started.elapsed() >= limit {
            return Err(CtlError::new(Exit::NotInForce, describe(&obstacles)));
        }
        sleep(POLL_INTERVAL).await;
        // The daemons complete a change themselves when the VM list tells them enough.
        stored = self::stored(api).await?;
        if stored.fleet.previous.is_empty() {
            break stored.revision;
        }
    };
    Report::success(
        format!("the fleet change is complete at revision {revision}\n"),
        &json!({ "revision": revision }),
    )
}

fn describe(obstacles: &BTreeMap<u32, Obstacle>) -> String {
    let mut text = "the fleet change cannot be completed yet:".to_owned();
    for (node, obstacle) in obstacles {
        let _ = match obstacle {
            Obstacle::Younger { seconds } => write!(text, "\n  n{node} needs {seconds} s more"),
            Obstacle::Behind => write!(text, "\n  n{node} does not hold the joint value"),
            Obstacle::Silent => {
                write!(text, "\n  n{node} does not answer; if its VM no longer exists, add --gone {node}")
            }
            Obstacle::NotGone => write!(text, "\n  n{node} is given as gone, but other daemons hear from it"),
        };
    }
    text + "\nuse --wait to wait"
}

async fn obstacles(
    api: &ApiClient,
    stored: &Stored,
    gone: &[u32],
) -> Result<BTreeMap<u32, Obstacle>, CtlError> {
    let Stored { revision, fleet } = stored;
    let daemons = api.daemons().await?;
    let nodes = fleet.members.iter().chain(&fleet.previous).map(|m| m.node).collect::<BTreeSet<_>>();
    let heard = heard_of(api, &daemons).await;
    let check = async |node: u32| {
        let answer = match daemons.get(&node) {
            Some(at) => api.get(*at, "/ops/held/fleet").await,
            None => None,
        };
        match answer {
            None if !gone.contains(&node) => Some(Obstacle::Silent),
            None => heard.contains(&node).then_some(Obstacle::NotGone),
            Some(answer) => match answer.json::<KvEntry>() {
                Ok(entry) if entry.revision == *revision => {
                    let seconds = joint_seconds().saturating_sub(answer.age_s.unwrap_or(0));
                    (seconds > 0).then_some(Obstacle::Younger { seconds })
                }
                _ => Some(Obstacle::Behind),
            },
        }
    };
    let found = join_all(nodes.iter().map(|node| check(*node))).await;
    Ok(nodes.into_iter().zip(found).filter_map(|(node, found)| found.map(|o| (node, o))).collect())
}

/// Daemons that any other daemon does not consider dead.
async fn heard_of(api: &ApiClient, daemons: &BTreeMap<u32, SocketAddr>) -> BTreeSet<u32> {
    let ask = |at: &SocketAddr| api.get_json::<InForceReport>(*at, "/ops/in-force");
    let reports = join_all(daemons.values().map(ask)).await;
    let others = reports.iter().flatten().flat_map(|r| r.members.iter().filter(|m| m.node != r.node));
    others.filter(|m| m.liveness != "dead").map(|m| m.node).collect()
}
