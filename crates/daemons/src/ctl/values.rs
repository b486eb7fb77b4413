//! `medlarctl contract`, `service` and `config`: read and change configuration values.
//!
//! `get` prints the value with its revision in the field `revision`, and `put` requires that the key still has that
//! revision. A change by another operator between the two is therefore detected and not overwritten.

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

/// Field that passes the revision from `get` to `put`. It is not stored.
const REVISION_FIELD: &str = "revision";

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
    /// file with the value, as printed by get; its field "revision", if any, is the revision that the key must have
    #[argh(positional)]
    file: PathBuf,
    /// revision that the key must have, 0 if it must not exist; by default that in the file, else the current one
    #[argh(option)]
    expect: Option<u64>,
    /// wait until the change is in force on all responding daemons
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
    /// revision that the key must have; the current one by default
    #[argh(option)]
    expect: Option<u64>,
    /// wait until the change is in force on all responding daemons
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
/// If the name does not exist, a value or file is not valid, a change conflicts or is refused, or no daemon responds.
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
/// If the name does not exist, a value or file is not valid, a change conflicts or is refused, or no daemon responds.
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
/// If the name does not exist, a value or file is not valid, a change conflicts or is refused, or no daemon responds.
pub async fn config(api: &ApiClient, args: &ConfigArgs) -> Result<Report, CtlError> {
    match &args.command {
        ContractCommand::Get(args) => get(api, FULL_KEY, &args.name).await,
        ContractCommand::Put(args) => {
            // Only the two steps of a fleet change ensure that no limit is exceeded.
            if args.name == FLEET_CONFIG_KEY && api.config_entry(FLEET_CONFIG_KEY).await?.is_some() {
                return Err(CtlError::invalid(
                    "the fleet value exists and cannot be replaced; use medlarctl fleet add, remove and finish",
                ));
            }
            put(api, FULL_KEY, args).await
        }
        ContractCommand::List(_) => list(api, FULL_KEY).await,
        ContractCommand::Delete(args) if [FLEET_CONFIG_KEY, "topology"].contains(&args.name.as_str()) => {
            Err(CtlError::invalid(format!(
                "{} cannot be deleted: the daemons cannot serve requests without it",
                args.name
            )))
        }
        ContractCommand::Delete(args) => delete(api, FULL_KEY, args).await,
    }
}

/// Kind for which the name is the full key.
const FULL_KEY: &str = "config";

/// Configuration key of the fleet value, without its prefix.
const FLEET_CONFIG_KEY: &str = "fleet";

/// Prefix of the keys whose values are lines of text instead of JSON.
const BLOCKS_PREFIX: &str = "blocks/";

fn key_of(kind: &str, name: &str) -> String {
    if kind == FULL_KEY { name.to_owned() } else { format!("{kind}/{name}") }
}

fn not_found(kind: &str, name: &str) -> CtlError {
    CtlError::failed(format!("there is no {kind} {name}; medlarctl {kind} list shows the names"))
}

async fn get(api: &ApiClient, kind: &str, name: &str) -> Result<Report, CtlError> {
    let key = key_of(kind, name);
    let found = api.config_entry(&key).await?.ok_or_else(|| not_found(kind, name))?;
    if key.starts_with(BLOCKS_PREFIX) {
        return Report::success(found.value.clone().unwrap_or_default(), &found);
    }
    let mut value = parse(found.value.as_deref().unwrap_or("null"), kind)?;
    if let Some(fields) = value.as_object_mut() {
        fields.insert(REVISION_FIELD.into(), found.revision.into());
    }
    Report::success(format!("{value:#}\n"), &value)
}

fn parse(text: &str, what: &str) -> Result<Value, CtlError> {
    serde_json::from_str(text).map_err(|e| CtlError::invalid(format!("{what}: invalid JSON: {e}")))
}

async fn put(api: &ApiClient, kind: &str, args: &PutArgs) -> Result<Report, CtlError> {
    let key = key_of(kind, &args.name);
    let text = read_file(&args.file)?;
    let revision = if key.starts_with(BLOCKS_PREFIX) {
        let expect = expected_revision(api, &key, args.expect).await?;
        change::put_text(api, &key, &text, expect).await?
    } else {
        let mut value = parse(&text, &args.file.display().to_string())?;
        let revision_in_file =
            value.as_object_mut().and_then(|fields| fields.remove(REVISION_FIELD)).and_then(|r| r.as_u64());
        let expect = expected_revision(api, &key, args.expect.or(revision_in_file)).await?;
        change::put(api, &key, &mut value, expect, false).await?
    };
    let message = format!("{key} has revision {revision}\n");
    report_change(api, message, &Target::Written { key, revision }, args.wait.then_some(args.limit_ms)).await
}

/// Returns the given revision or, if there is none, the current one of the key, 0 if it does not exist.
async fn expected_revision(api: &ApiClient, key: &str, given: Option<u64>) -> Result<u64, CtlError> {
    match given {
        Some(expect) => Ok(expect),
        None => Ok(api.config_entry(key).await?.map_or(0, |found| found.revision)),
    }
}

fn read_file(path: &Path) -> Result<String, CtlError> {
    std::fs::read_to_string(path)
        .map_err(|e| CtlError::invalid(format!("cannot read {}: {e}", path.display())))
}

async fn delete(api: &ApiClient, kind: &str, args: &DeleteArgs) -> Result<Report, CtlError> {
    let key = key_of(kind, &args.name);
    let found = api.config_entry(&key).await?.ok_or_else(|| not_found(kind, &args.name))?;
    change::delete(api, &key, args.expect.unwrap_or(found.revision)).await?;
    let message = format!("{key} is deleted\n");
    report_change(api, message, &Target::Deleted { key }, args.wait.then_some(args.limit_ms)).await
}

/// One line of a list.
#[derive(Debug, Serialize)]
pub struct ListEntry {
    /// Name below the kind, or the full key without its prefix.
    pub name: String,
    /// Revision of the key in the key-value service.
    pub revision: u64,
}

/// Returns the keys below `kind/`, or all keys if the kind is `config`.
///
/// # Errors
///
/// If no daemon responds or the key-value service does not.
pub async fn list_entries(api: &ApiClient, kind: &str) -> Result<Vec<ListEntry>, CtlError> {
    let list = api.get_from_any("/ops/config").await?.json::<KvList>()?;
    let prefix = if kind == FULL_KEY { CONFIG_PREFIX.to_owned() } else { format!("{CONFIG_PREFIX}{kind}/") };
    let entry = |e: &KvEntry| {
        let name = e.key.strip_prefix(&prefix)?.to_owned();
        Some(ListEntry { name, revision: e.revision })
    };
    Ok(list.entries.iter().filter_map(entry).collect())
}

/// Lists the keys below `kind/`.
///
/// # Errors
///
/// As for [`list_entries`].
pub async fn list(api: &ApiClient, kind: &str) -> Result<Report, CtlError> {
    let entries = list_entries(api, kind).await?;
    let mut text = String::new();
    for ListEntry { name, revision } in &entries {
        let _ = writeln!(text, "{name} revision={revision}");
    }
    Report::success(text, &entries)
}
