//! `medlarctl fleet`: changes the fleet in two steps.
//!
//! The first step writes a joint value, which contains the new members and, in `previous`, those before the change;
//! each daemon then uses the smaller of its two shares. The second step, `finish`, clears `previous` once every live
//! member has had the joint value in force for as long as loans granted under the previous shares may last. Each daemon
//! measures this time on its own clock.

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

/// Returns for how many seconds the joint value must be in force: the lifetime of a loan plus the margin for clock
/// drift, rounded up because daemons report the age in whole seconds.
fn min_joint_seconds() -> u64 {
    let seconds = with_drift_margin(LOAN_LIFETIME).as_millis().div_ceil(1_000);
    u64::try_from(seconds).unwrap_or(u64::MAX)
}

/// Default maximum wait of `finish` in ms.
const FINISH_LIMIT_MS: u64 = 30_000;

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Configuration key of the fleet value, without its prefix.
const FLEET_CONFIG_KEY: &str = "fleet";

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

/// list the daemons and any change in progress
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowArgs {}

/// add a daemon (first step of a fleet change)
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "add")]
struct AddArgs {
    /// node number of the daemon
    #[argh(option)]
    node: u32,
    /// region of the daemon
    #[argh(option)]
    region: String,
    /// failure domain of the daemon
    #[argh(option)]
    domain: String,
    /// address for messages between daemons
    #[argh(option)]
    peer: SocketAddr,
    /// address for clients and operators
    #[argh(option)]
    http: SocketAddr,
    /// wait until the joint value is in force on all responding daemons
    #[argh(switch)]
    wait: bool,
    /// maximum wait in ms, 4000 by default
    #[argh(option, default = "LIMIT_MS")]
    limit_ms: u64,
}

/// remove a daemon (first step of a fleet change)
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
struct RemoveArgs {
    /// node number of the daemon
    #[argh(option)]
    node: u32,
    /// wait until the joint value is in force on all responding daemons
    #[argh(switch)]
    wait: bool,
    /// maximum wait in ms, 4000 by default
    #[argh(option, default = "LIMIT_MS")]
    limit_ms: u64,
}

/// complete the change in progress (second step)
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "finish")]
struct FinishArgs {
    /// wait until every live daemon has had the joint value in force for long enough
    #[argh(switch)]
    wait: bool,
    /// maximum wait in ms, 30000 by default
    #[argh(option, default = "FINISH_LIMIT_MS")]
    limit_ms: u64,
    /// node number of a daemon whose VM no longer exists; may be given several times
    #[argh(option)]
    gone: Vec<u32>,
}

/// The fleet value and its revision in the key-value service.
struct StoredFleet {
    revision: u64,
    fleet: FleetValue,
}

/// Runs `medlarctl fleet`.
///
/// # Errors
///
/// If the change is refused, conflicts with another one or cannot be completed yet, or no daemon responds.
pub async fn run(api: &ApiClient, args: &FleetArgs) -> Result<Report, CtlError> {
    match &args.command {
        FleetCommand::Show(_) => show(&load_fleet(api).await?),
        FleetCommand::Add(args) => add(api, args).await,
        FleetCommand::Remove(args) => remove(api, args).await,
        FleetCommand::Finish(args) => finish(api, args).await,
    }
}

async fn load_fleet(api: &ApiClient) -> Result<StoredFleet, CtlError> {
    let missing = || {
        CtlError::failed(
            "there is no fleet value yet; write the first one with medlarctl config put fleet FILE",
        )
    };
    let KvEntry { revision, value, .. } = api.config_entry(FLEET_CONFIG_KEY).await?.ok_or_else(missing)?;
    let fleet = serde_json::from_str(&value.ok_or_else(missing)?)
        .map_err(|e| CtlError::failed(format!("cannot parse the fleet value: {e}")))?;
    Ok(StoredFleet { revision, fleet })
}

fn show(StoredFleet { revision, fleet }: &StoredFleet) -> Result<Report, CtlError> {
    let mut text = format!("fleet revision={revision} members={}\n", fleet.members.len());
    for m in &fleet.members {
        let FleetMemberValue { node, region, domain, peer_address, http_address } = m;
        let _ = writeln!(text, "n{node} {region} {domain} http={http_address} peer={peer_address}");
    }
    if !fleet.previous.is_empty() {
        let previous = fleet.previous.iter().map(|m| format!("n{}", m.node)).collect::<Vec<_>>().join(", ");
        let _ = writeln!(text, "change under way; members before it: {previous}");
        text += "complete it with medlarctl fleet finish --wait\n";
    }
    Report::success(text, &json!({ "revision": revision, "fleet": fleet }))
}

async fn add(api: &ApiClient, args: &AddArgs) -> Result<Report, CtlError> {
    let StoredFleet { revision, mut fleet } = load_fleet(api).await?;
    let new = FleetMemberValue {
        node: args.node,
        region: args.region.clone(),
        domain: args.domain.clone(),
        peer_address: args.peer.to_string(),
        http_address: args.http.to_string(),
    };
    let conflicts = |m: &&FleetMemberValue| {
        m.node == new.node || m.peer_address == new.peer_address || m.http_address == new.http_address
    };
    if let Some(found) = fleet.members.iter().find(conflicts) {
        let message =
            format!("n{} has the same number or address; choose another one for the new daemon", found.node);
        return Err(CtlError::invalid(message));
    }
    begin_change(&mut fleet)?;
    fleet.members.push(new);
    write_joint(api, revision, &fleet, args.wait.then_some(args.limit_ms)).await
}

async fn remove(api: &ApiClient, args: &RemoveArgs) -> Result<Report, CtlError> {
    let StoredFleet { revision, mut fleet } = load_fleet(api).await?;
    begin_change(&mut fleet)?;
    fleet.members.retain(|m| m.node != args.node);
    if fleet.members.len() == fleet.previous.len() {
        let message = format!("n{} is not in the fleet; medlarctl fleet show lists the daemons", args.node);
        return Err(CtlError::failed(message));
    }
    write_joint(api, revision, &fleet, args.wait.then_some(args.limit_ms)).await
}

/// Starts a change by copying the members to `previous`. Fails while another change is in progress, since the smaller
/// of two shares is safe only for two sets of members, not for three.
fn begin_change(fleet: &mut FleetValue) -> Result<(), CtlError> {
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
    change::put(api, FLEET_CONFIG_KEY, &mut value, expect, false).await
}

async fn write_joint(
    api: &ApiClient,
    expect: u64,
    fleet: &FleetValue,
    wait_ms: Option<u64>,
) -> Result<Report, CtlError> {
    let revision = write(api, expect, fleet).await?;
    let message = format!(
        "the joint fleet value has revision {revision}; complete the change with medlarctl fleet finish --wait\n"
    );
    report_change(api, message, &Target::Written { key: FLEET_CONFIG_KEY.into(), revision }, wait_ms).await
}

/// Why a daemon does not yet permit the second step.
enum Obstacle {
    /// The joint value must be in force for `seconds` more.
    JointValueTooRecent {
        seconds: u64,
    },
    /// The daemon does not hold the joint value.
    JointValueMissing,
    NotResponding,
    /// The operator declared the daemon gone, but another daemon does not consider it dead.
    StillAlive,
}

async fn finish(api: &ApiClient, args: &FinishArgs) -> Result<Report, CtlError> {
    let mut stored = load_fleet(api).await?;
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
        // The daemons complete a change themselves if the VM list shows that the missing VMs are gone.
        stored = load_fleet(api).await?;
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
            Obstacle::JointValueTooRecent { seconds } => {
                write!(text, "\n  n{node} needs the joint value in force for {seconds} s more")
            }
            Obstacle::JointValueMissing => write!(text, "\n  n{node} does not hold the joint value"),
            Obstacle::NotResponding => {
                write!(text, "\n  n{node} does not respond; if its VM no longer exists, add --gone {node}")
            }
            Obstacle::StillAlive => {
                write!(text, "\n  n{node} is declared gone, but another daemon does not consider it dead")
            }
        };
    }
    text + "\nuse --wait to wait for it"
}

async fn obstacles(
    api: &ApiClient,
    stored: &StoredFleet,
    gone: &[u32],
) -> Result<BTreeMap<u32, Obstacle>, CtlError> {
    let StoredFleet { revision, fleet } = stored;
    let daemons = api.daemons().await?;
    let nodes = fleet.members.iter().chain(&fleet.previous).map(|m| m.node).collect::<BTreeSet<_>>();
    let seen_alive = nodes_seen_alive(api, &daemons).await;
    let check = async |node: u32| {
        let response = match daemons.get(&node) {
            Some(at) => api.get(*at, "/ops/held/fleet").await,
            None => None,
        };
        match response {
            None if !gone.contains(&node) => Some(Obstacle::NotResponding),
            None => seen_alive.contains(&node).then_some(Obstacle::StillAlive),
            Some(response) => match response.json::<KvEntry>() {
                Ok(entry) if entry.revision == *revision => {
                    let seconds = min_joint_seconds().saturating_sub(response.age_s.unwrap_or(0));
                    (seconds > 0).then_some(Obstacle::JointValueTooRecent { seconds })
                }
                _ => Some(Obstacle::JointValueMissing),
            },
        }
    };
    let found = join_all(nodes.iter().map(|node| check(*node))).await;
    Ok(nodes.into_iter().zip(found).filter_map(|(node, found)| found.map(|o| (node, o))).collect())
}

/// Returns the daemons that at least one other daemon does not consider dead.
async fn nodes_seen_alive(api: &ApiClient, daemons: &BTreeMap<u32, SocketAddr>) -> BTreeSet<u32> {
    let fetch = |at: &SocketAddr| api.get_json::<InForceReport>(*at, "/ops/in-force");
    let reports = join_all(daemons.values().map(fetch)).await;
    let others = reports.iter().flatten().flat_map(|r| r.members.iter().filter(|m| m.node != r.node));
    others.filter(|m| m.liveness != "dead").map(|m| m.node).collect()
}
