//! `medlarctl drain`: drains of backend servers, failure domains and regions, which then receive no new requests.

use argh::FromArgs;
use medlarstair::protocol::border::{DrainKind, DrainValue};

use super::api::ApiClient;
use super::in_force::{LIMIT_MS, Target, report_change};
use super::{CtlError, Report, change, values};

/// add, remove and list drains
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    #[argh(subcommand)]
    command: DrainCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum DrainCommand {
    Add(AddArgs),
    Remove(RemoveArgs),
    List(ListArgs),
}

/// send no new requests to a backend server, failure domain or region
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "add")]
struct AddArgs {
    /// kind of the drained unit: backend, domain or region
    #[argh(positional)]
    kind: KindArg,
    #[argh(positional)]
    name: String,
    /// skip the check that the remaining slots can carry the load
    #[argh(switch)]
    force: bool,
    /// wait until the change is in force on all responding daemons
    #[argh(switch)]
    wait: bool,
    /// maximum wait in ms, 4000 by default
    #[argh(option, default = "LIMIT_MS")]
    limit_ms: u64,
}

/// remove a drain
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
struct RemoveArgs {
    /// kind of the drained unit: backend, domain or region
    #[argh(positional)]
    kind: KindArg,
    #[argh(positional)]
    name: String,
    /// wait until the change is in force on all responding daemons
    #[argh(switch)]
    wait: bool,
    /// maximum wait in ms, 4000 by default
    #[argh(option, default = "LIMIT_MS")]
    limit_ms: u64,
}

/// list the drains
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {}

#[derive(Debug, Clone, Copy)]
struct KindArg(DrainKind);

impl std::str::FromStr for KindArg {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        s.parse().map(Self).map_err(|_| "expected backend, domain or region".to_owned())
    }
}

/// Runs `medlarctl drain`.
///
/// # Errors
///
/// If the drain is refused or does not exist, or no daemon responds.
pub async fn run(api: &ApiClient, args: &DrainArgs) -> Result<Report, CtlError> {
    match &args.command {
        DrainCommand::Add(args) => add(api, args).await,
        DrainCommand::Remove(args) => remove(api, args).await,
        DrainCommand::List(_) => values::list(api, "drain").await,
    }
}

async fn add(api: &ApiClient, args: &AddArgs) -> Result<Report, CtlError> {
    let key = format!("drain/{}/{}", args.kind.0, args.name);
    let wait = args.wait.then_some(args.limit_ms);
    if let Some(found) = api.config_entry(&key).await? {
        let message = format!("{key} exists already at revision {}\n", found.revision);
        return report_change(api, message, &Target::Written { key, revision: found.revision }, wait).await;
    }
    let value = DrainValue { change_id: String::new(), kind: args.kind.0, name: args.name.clone() };
    let mut value = serde_json::to_value(value).map_err(|e| CtlError::failed(e.to_string()))?;
    let revision = change::put(api, &key, &mut value, 0, args.force).await?;
    let message = format!("{key} has revision {revision}\n");
    report_change(api, message, &Target::Written { key, revision }, wait).await
}

async fn remove(api: &ApiClient, args: &RemoveArgs) -> Result<Report, CtlError> {
    let key = format!("drain/{}/{}", args.kind.0, args.name);
    let Some(found) = api.config_entry(&key).await? else {
        let message = format!(
            "there is no drain of {} {}; medlarctl drain list shows all drains",
            args.kind.0, args.name
        );
        return Err(CtlError::failed(message));
    };
    change::delete(api, &key, found.revision).await?;
    let message = format!("{key} is removed\n");
    report_change(api, message, &Target::Deleted { key }, args.wait.then_some(args.limit_ms)).await
}
