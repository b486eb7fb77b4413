//! Contracts, services and other configuration values.
//!
//! `get` prints the value with its revision in the field `revision`, and `put` expects the key to have that revision
//! still. So a change of another operator between the two is noticed and never overwritten.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use medlarstair::protocol::border::{KvEntry, KvList};
use medlarstair::protocol::convert::CONFIG_PREFIX;
use serde::Serialize;
use serde_json::Value;

use super::api::ApiClient;
use super::in_force::{LIMIT_MS, Target, report_change};
use super::{CtlError, Report, change};

/// Field that carries the revision from `get` to `put`.
const REVISION: &str = "revision";

/// read and change contracts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "contract")]
pub struct ContractArgs {
    #[argh(subcommand)]
    command: ContractCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ContractCommand {
    Get(GetArgs),
    Put(PutArgs),
    List(ListArgs),
    Delete(DeleteArgs),
}

/// read and change services
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceArgs {
    #[argh(subcommand)]
    command: ServiceCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ServiceCommand {
    Get(GetArgs),
    Put(PutArgs),
    List(ListArgs),
}

/// read and change any configuration value by its key, for example topology or blocks/1
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    #[argh(subcommand)]
    command: ContractCommand,
}

/// print a value with its revision
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
struct GetArgs {
    #[argh(positional)]
    name: String,
}

/// write a value from a file
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
struct PutArgs {
    #[argh(positional)]
    name: String,
    /// JSON file, as printed by get; its field "revision" is the one that the key must have
    #[argh(positional)]
    file: PathBuf,
    /// revision that the key must have, 0 if it must not exist; without it and the field, the present one
    #[argh(option)]
    expect: Option<u64>,
    /// wait until the change is in force
    #[argh(switch)]
    wait: bool,
    /// maximum wait in ms, 4000 by default
    #[argh(option, default = "LIMIT_MS")]
    limit_ms: u64,
}

/// list names and revisions
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {}

/// delete a value
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete")]
struct DeleteArgs {
    #[argh(positional)]
    name: String,
    /// revision that the key must have; the present one by default
    #[argh(option)]
    expect: Option<u64>,
    /// wait until the change is in force
    #[argh(switch)]
    wait: bool,
    /// maximum wait in ms, 4000 by default
    #[argh(option, default = "LIMIT_MS")]
    limit_ms: u64,
}

/// Runs `medlarctl contract`.
///
/// # Errors
///
/// See the exit codes.
pub async fn contract(api: &ApiClient, args: &ContractArgs) -> Result<Report, CtlError> {
    match &args.command {
        ContractCommand::Get(args) => get(api, "contract", &args.name).await,
        ContractCommand::Put(args) => put(api, "contract", args).await,
        ContractCommand::List(_) => list(api, "contract").await,
        ContractCommand::Delete(args) => delete(api, "contract", args).await,
    }
}

/// Runs `medlarctl service`.
///
/// # Errors
///
/// See the exit codes.
pub async fn service(api: &ApiClient, args: &ServiceArgs) -> Result<Report, CtlError> {
    match &args.command {
        ServiceCommand::Get(args) => get(api, "service", &args.name).await,
        ServiceCommand::Put(args) => put(api, "service", args).await,
        ServiceCommand::List(_) => list(api, "service").await,
    }
}

/// Runs `medlarctl config`.
///
/// # Errors
///
/// See the exit codes.
pub async fn config(api: &ApiClient, args: &ConfigArgs) -> Result<Report, CtlError> {
    match &args.command {
        ContractCommand::Get(args) => get(api, ANY, &args.name).await,
        ContractCommand::Put(args) => {
            // Only the two steps of a fleet change keep every limit.
            if args.name == FLEET && api.config_entry(FLEET).await?.is_some() {
                return Err(CtlError::invalid(
                    "change the fleet with medlarctl fleet add, remove and finish",
                ));
            }
            put(api, ANY, args).await
        }
        ContractCommand::List(_) => list(api, ANY).await,
        ContractCommand::Delete(args) if [FLEET, "topology"].contains(&args.name.as_str()) => Err(
            CtlError::invalid(format!("{} cannot be deleted: nothing could be served without it", args.name)),
        ),
        ContractCommand::Delete(args) => delete(api, ANY, args).await,
    }
}

/// Kind of a name that is a whole key.
const ANY: &str = "config";

/// Key of the fleet.
const FLEET: &str = "fleet";

/// Prefix of the keys whose values are lines of text.
const BLOCKS: &str = "blocks/";

fn key_of(kind: &str, name: &str) -> String {
    if kind == ANY { name.to_owned() } else { format!("{kind}/{name}") }
}

fn missing(kind: &str, name: &str) -> CtlError {
    CtlError::failed(format!("there is no {kind} {name}; medlarctl {kind} list shows the names"))
}

async fn get(api: &ApiClient, kind: &str, name: &str) -> Result<Report, CtlError> {
    let key = key_of(kind, name);
    let found = api.config_entry(&key).await?.ok_or_else(|| missing(kind, name))?;
    if key.starts_with(BLOCKS) {
        return Report::success(found.value.clone().unwrap_or_default(), &found);
    }
    let mut value = parse(found.value.as_deref().unwrap_or("null"), kind)?;
    if let Some(fields) = value.as_object_mut() {
        fields.insert(REVISION.into(), found.revision.into());
    }
    Report::success(format!("{value:#}\n"), &value)
}

fn parse(text: &str, what: &str) -> Result<Value, CtlError> {
    serde_json::from_str(text).map_err(|e| CtlError::invalid(format!("{what}: not JSON: {e}")))
}

async fn put(api: &ApiClient, kind: &str, args: &PutArgs) -> Result<Report, CtlError> {
    let key = key_of(kind, &args.name);
    let text = read(&args.file)?;
    let revision = if key.starts_with(BLOCKS) {
        let expect = expected(api, &key, args.expect).await?;
        change::put_text(api, &key, &text, expect).await?
    } else {
        let mut value = parse(&text, &args.file.display().to_string())?;
        let noted = value.as_object_mut().and_then(|fields| fields.remove(REVISION)).and_then(|r| r.as_u64());
        let expect = expected(api, &key, args.expect.or(noted)).await?;
        change::put(api, &key, &mut value, expect, false).await?
    };
    let done = format!("{key} has revision {revision}\n");
    report_change(api, done, &Target::Written { key, revision }, args.wait.then_some(args.limit_ms)).await
}

/// The given revision, or else the present one.
async fn expected(api: &ApiClient, key: &str, given: Option<u64>) -> Result<u64, CtlError> {
    match given {
        Some(expect) => Ok(expect),
        None => Ok(api.config_entry(key).await?.map_or(0, |found| found.revision)),
    }
}

fn read(path: &Path) -> Result<String, CtlError> {
    std::fs::read_to_string(path)
        .map_err(|e| CtlError::invalid(format!("cannot read {}: {e}", path.display())))
}

async fn delete(api: &ApiClient, kind: &str, args: &DeleteArgs) -> Result<Report, CtlError> {
    let key = key_of(kind, &args.name);
    let found = api.config_entry(&key).await?.ok_or_else(|| missing(kind, &args.name))?;
    change::delete(api, &key, args.expect.unwrap_or(found.revision)).await?;
    let done = format!("{key} is deleted\n");
    report_change(api, done, &Target::Deleted { key }, args.wait.then_some(args.limit_ms)).await
}

/// One line of a list.
#[derive(Debug, Serialize)]
pub struct Listed {
    /// The key without its prefix.
    pub name: String,
    /// Its revision.
    pub revision: u64,
}

/// The keys below `kind/`, or all.
///
/// # Errors
///
/// If no daemon answers, or the key-value service does not.
pub async fn listed(api: &ApiClient, kind: &str) -> Result<Vec<Listed>, CtlError> {
    let list = api.get_from_any("/ops/config").await?.json::<KvList>()?;
    let prefix = if kind == ANY { CONFIG_PREFIX.to_owned() } else { format!("{CONFIG_PREFIX}{kind}/") };
    let named = |e: &KvEntry| {
        let name = e.key.strip_prefix(&prefix)?.to_owned();
        Some(Listed { name, revision: e.revision })
    };
    Ok(list.entries.iter().filter_map(named).collect())
}

/// Lists the keys below `kind/`.
///
/// # Errors
///
/// As for [`listed`].
pub async fn list(api: &ApiClient, kind: &str) -> Result<Report, CtlError> {
    let listed = listed(api, kind).await?;
    let mut text = String::new();
    for Listed { name, revision } in &listed {
        let _ = writeln!(text, "{name} revision={revision}");
    }
    Report::success(text, &listed)
}
