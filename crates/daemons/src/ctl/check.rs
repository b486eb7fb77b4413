//! `medlarctl check`: validates settings files and configuration values without a daemon.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use argh::FromArgs;
use medlarstair::coordination::settings::{Settings, SettingsError};
use medlarstair::protocol::convert::{CONFIG_PREFIX, parse_value};
use medlarstair::state::blocks::BlockTable;
use medlarstair::state::model::ConfigValue;
use serde::Serialize;

use super::{CtlError, Exit, Report};

/// check settings files and configuration values without a daemon
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// a configuration value as KEY=FILE, for example contract/acme=acme.json; may be given several times
    #[argh(option)]
    value: Vec<ValueFile>,
    /// settings files
    #[argh(positional)]
    files: Vec<PathBuf>,
}

#[derive(Debug)]
struct ValueFile {
    key: String,
    file: PathBuf,
}

impl FromStr for ValueFile {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let (key, file) =
            s.split_once('=').ok_or("expected KEY=FILE, for example contract/acme=acme.json")?;
        Ok(Self { key: key.strip_prefix(CONFIG_PREFIX).unwrap_or(key).into(), file: file.into() })
    }
}

#[derive(Debug, Serialize)]
struct CheckResult {
    file: String,
    fault: Option<String>,
}

/// Runs `medlarctl check`.
///
/// # Errors
///
/// If neither a settings file nor a value is given. Invalid files are reported with [`Exit::Invalid`].
pub fn run(args: &CheckArgs) -> Result<Report, CtlError> {
    let mut results = Vec::new();
    for file in &args.files {
        let fault = Settings::read(file).err().map(|e| match e {
            SettingsError::File { source, .. } => format!("cannot be read: {source}"),
            other => other.to_string(),
        });
        results.push(CheckResult { file: file.display().to_string(), fault });
    }
    for ValueFile { key, file } in &args.value {
        results.push(CheckResult { file: file.display().to_string(), fault: check_value(key, file) });
    }
    if results.is_empty() {
        return Err(CtlError::invalid("nothing to check; pass settings files or --value KEY=FILE"));
    }
    let mut text = String::new();
    for CheckResult { file, fault } in &results {
        let _ = writeln!(text, "{file}: {}", fault.as_deref().unwrap_or("valid"));
    }
    let mut report = Report::success(text, &results)?;
    if results.iter().any(|c| c.fault.is_some()) {
        report.exit = Exit::Invalid;
    }
    Ok(report)
}

/// Returns the fault of a value file, `None` if it is valid.
fn check_value(key: &str, file: &Path) -> Option<String> {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return Some(format!("cannot be read: {e}")),
    };
    match parse_value(&format!("{CONFIG_PREFIX}{key}"), &text) {
        // `parse_value` returns blocks unparsed; loading them finds their faults.
        Ok(Some(ConfigValue::Blocks(text))) => {
            BlockTable::default().load_part(key, &text).err().map(|e| e.to_string())
        }
        Ok(Some(_)) => None,
        Ok(None) => Some(format!("{key:?} is not a configuration key")),
        Err(e) => Some(e.to_string()),
    }
}
