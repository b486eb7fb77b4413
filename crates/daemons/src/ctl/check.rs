//! Checks of settings files and configuration values, without a daemon.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use argh::FromArgs;
use medlarstair::coordination::settings::{Settings, SettingsError};
use medlarstair::protocol::convert::{CONFIG_PREFIX, parse_value};
use medlarstair::state::blocks::Blocks;
use medlarstair::state::model::ConfigValue;
use serde::Serialize;

use super::{CtlError, Exit, Report};

/// check settings files and configuration values
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// a configuration value as KEY=FILE, for example contract/acme=acme.json; may be given several times
    #[argh(option)]
    value: Vec<KeyFile>,
    /// settings files
    #[argh(positional)]
    files: Vec<PathBuf>,
}

#[derive(Debug)]
struct KeyFile {
    key: String,
    file: PathBuf,
}

impl FromStr for KeyFile {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let (key, file) = s.split_once('=').ok_or("use KEY=FILE, for example contract/acme=acme.json")?;
        Ok(Self { key: key.strip_prefix(CONFIG_PREFIX).unwrap_or(key).into(), file: file.into() })
    }
}

#[derive(Debug, Serialize)]
struct Checked {
    file: String,
    fault: Option<String>,
}

/// Runs `medlarctl check`.
///
/// # Errors
///
/// If nothing is to be checked.
pub fn run(args: &CheckArgs) -> Result<Report, CtlError> {
    let mut checked = Vec::new();
    for file in &args.files {
        let fault = Settings::read(file).err().map(|e| match e {
            SettingsError::File { source, .. } => format!("cannot be read: {source}"),
            other => other.to_string(),
        });
        checked.push(Checked { file: file.display().to_string(), fault });
    }
    for KeyFile { key, file } in &args.value {
        checked.push(Checked { file: file.display().to_string(), fault: value_fault(key, file) });
    }
    if checked.is_empty() {
        return Err(CtlError::invalid("nothing to check; name settings files or give --value KEY=FILE"));
    }
    let mut text = String::new();
    for Checked { file, fault } in &checked {
        let _ = writeln!(text, "{file}: {}", fault.as_deref().unwrap_or("valid"));
    }
    let mut report = Report::success(text, &checked)?;
    if checked.iter().any(|c| c.fault.is_some()) {
        report.exit = Exit::Invalid;
    }
    Ok(report)
}

fn value_fault(key: &str, file: &Path) -> Option<String> {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return Some(format!("cannot be read: {e}")),
    };
    match parse_value(&format!("{CONFIG_PREFIX}{key}"), &text) {
        // Blocks are parsed where they are loaded.
        Ok(Some(ConfigValue::Blocks(text))) => {
            Blocks::default().load_part(key, &text).err().map(|e| e.to_string())
        }
        Ok(Some(_)) => None,
        Ok(None) => Some(format!("{key:?} is not a configuration key")),
        Err(e) => Some(e.to_string()),
    }
}
