//! Drains: backend servers, failure domains and regions that get no new work.

use argh::FromArgs;
use medlarstair::protocol::border::{DrainKind, DrainValue};

use super::api::ApiClient;
use super::in_force::{LIMIT_MS, Target, after_change};
use super::{CtlError, Report, change, values};

/// plan and end drains
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

/// give no new work to a backend server, failure domain or region
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "add")]
struct AddArgs {
    /// backend, domain or region
    #[argh(positional)]
    kind: Kind,
    #[argh(positional)]
    name: String,
    /// accept the drain without a check that the remaining slots carry the load
    #[argh(switch)]
    force: bool,
    /// wait until the change is in force
    #[argh(switch)]
    wait: bool,
    /// limit of the wait in ms, 4000 by default
    #[argh(option, default = "LIMIT_MS")]
    limit_ms: u64,
}

/// end a drain
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
struct RemoveArgs {
    /// backend, domain or region
    #[argh(positional)]
    kind: Kind,
    #[argh(positional)]
    name: String,
    /// wait until the change is in force
    #[argh(switch)]
    wait: bool,
    /// limit of the wait in ms, 4000 by default
    #[argh(option, default = "LIMIT_MS")]
    limit_ms: u64,
}

/// list the drains
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {}

#[derive(Debug, Clone, Copy)]
struct Kind(DrainKind);

impl std::str::FromStr for Kind {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        s.parse().map(Self).map_err(|_| "use backend, domain or region".to_owned())
    }
}

/// Runs `medlarctl drain`.
///
/// # Errors
///
/// See the exit codes.
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
        let done = format!("{key} exists already at revision {}\n", found.revision);
        return after_change(api, done, &Target::Written { key, revision: found.revision }, wait).await;
    }
    let value = DrainValue { change_id: String::new(), kind: args.kind.0, name: args.name.clone() };
    let mut value = serde_json::to_value(value).map_err(|e| CtlError::failed(e.to_string()))?;
    let revision = change::put(api, &key, &mut value, 0, args.force).await?;
    let done = format!("{key} has revision {revision}\n");
    after_change(api, done, &Target::Written { key, revision }, wait).await
}

async fn remove(api: &ApiClient, args: &RemoveArgs) -> Result<Report, CtlError> {
    let key = format!("drain/{}/{}", args.kind.0, args.name);
    let Some(found) = api.config_entry(&key).await? else {
        let message =
            format!("there is no drain of {} {}; medlarctl drain list shows all", args.kind.0, args.name);
        return Err(CtlError::failed(message));
    };
    change::delete(api, &key, found.revision).await?;
    let done = format!("{key} is removed\n");
    after_change(api, done, &Target::Deleted { key }, args.wait.then_some(args.limit_ms)).await
}
