//! Settings of an entry daemon, read from an INI file.
//!
//! All errors of a file are reported at once with section and key. Unknown keys are rejected, since a misspelt key
//! would otherwise be ignored silently.

use std::fmt;
use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::str::FromStr;

use derive_more::{Display, Error};
use ini::Ini;
use medlarstair_protocol::key::KeyRing;
use medlarstair_state::id::{Domain, NodeId, Region};

use crate::ini_reader::IniReader;
pub use crate::ini_reader::{InvalidSetting, SettingsError};

/// Maximum number of HTTP worker threads.
const HTTP_WORKERS_MAX: usize = 64;

/// Minimum length of the operator token in characters.
const TOKEN_MIN_CHARS: usize = 16;

/// A daemon from which the configuration can be fetched at start-up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// Number of the daemon.
    pub node: NodeId,
    /// Address on which it receives messages of other daemons.
    pub address: SocketAddr,
}

/// Error parsing a [`Seed`]: the text is not of the form `n<node>@<address>:<port>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a seed has the form n<node>@<address>:<port>")]
pub struct SeedError;

impl FromStr for Seed {
    type Err = SeedError;

    fn from_str(s: &str) -> Result<Self, SeedError> {
        let (node, address) = s.strip_prefix('n').and_then(|s| s.split_once('@')).ok_or(SeedError)?;
        let node = node.parse().map_err(|_| SeedError)?;
        Ok(Self { node, address: address.parse().map_err(|_| SeedError)? })
    }
}

/// Minimum severity of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and degraded service.
    Warning,
    /// Also every event of the event catalogue.
    Info,
    /// Also details for development.
    Debug,
}

/// Error parsing a [`LogLevel`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a log level is one of error, warning, info, debug")]
pub struct LogLevelError;

impl FromStr for LogLevel {
    type Err = LogLevelError;

    fn from_str(s: &str) -> Result<Self, LogLevelError> {
        match s {
            "error" => Ok(Self::Error),
            "warning" => Ok(Self::Warning),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err(LogLevelError),
        }
    }
}

/// Settings of an entry daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of the daemon, unique in the deployment.
    pub node: NodeId,
    /// Region in which the daemon runs.
    pub region: Region,
    /// Failure domain in which the daemon runs.
    pub domain: Domain,
    /// Listen address for callers and operators.
    pub http_address: SocketAddr,
    /// Listen address for other daemons, UDP and TCP.
    pub peer_address: SocketAddr,
    /// Source address of outgoing connections; `None` lets the system choose.
    pub source_ip: Option<IpAddr>,
    /// Number of HTTP worker threads.
    pub http_workers: usize,
    /// Base URL of the key-value service.
    pub store_url: Box<str>,
    /// URL of the platform's VM list; `None` if the list is not polled.
    pub vm_list_url: Option<Box<str>>,
    /// Daemons from which the configuration is fetched at start-up, in this order.
    pub seeds: Vec<Seed>,
    /// Keys that authenticate messages between daemons.
    pub keys: KeyRing,
    /// Bearer token of operator requests.
    pub operator_token: OperatorToken,
    /// Minimum severity of log lines.
    pub log_level: LogLevel,
    /// Trace file of the decision logic's events; `None` if they are not recorded.
    pub trace_file: Option<PathBuf>,
}

/// Bearer token of operator requests.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorToken(Box<str>);

/// Omits the token, so that it is never logged.
impl fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorToken")
    }
}

impl OperatorToken {
    /// Returns whether `given` is the token. Compares hashes, so that timing does not reveal how much of a guess
    /// matches.
    pub fn matches(&self, given: &str) -> bool {
        blake3::hash(self.0.as_bytes()) == blake3::hash(given.as_bytes())
    }
}

impl Settings {
    /// Reads and validates a settings file and the secret files that it names. Relative paths are resolved against the
    /// directory of the settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the file cannot be read, or with all its errors.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text =
            fs::read_to_string(path).map_err(|source| SettingsError::File { path: path.into(), source })?;
        Self::parse(&text, path.parent().unwrap_or(Path::new(".")))
    }

    /// Validates the text of a settings file. Relative paths are resolved against `directory`.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with all errors of the file.
    pub fn parse(text: &str, directory: &Path) -> Result<Self, SettingsError> {
        let ini = Ini::load_from_str(text).map_err(|source| SettingsError::Syntax { source })?;
        let mut reader = SettingsReader { ini: IniReader::new(&ini), directory };
        let settings = reader.settings();
        reader.ini.finish(settings)
    }
}

/// Reads the sections of a settings file. Relative paths are resolved against `directory`.
struct SettingsReader<'a> {
    ini: IniReader<'a>,
    directory: &'a Path,
}

impl SettingsReader<'_> {
    fn settings(&mut self) -> Option<Settings> {
        // Read every value before the first `?`, so that all errors are collected.
        let node = self.ini.required("node", "id");
        let region = self.ini.required("node", "region");
        let domain = self.ini.required("node", "domain");
        let http_address = self.ini.required("listen", "http");
        let peer_address = self.ini.required("listen", "peer");
        let source_ip = self.ini.optional("listen", "source");
        let http_workers = self.http_workers();
        let store_url = self.ini.url("platform", "store");
        let has_vm_list_url = self.ini.contains_key("platform", "vms");
        let vm_list_url = self
            .ini
            .raw_value("platform", "vms")
            .is_some()
            .then(|| self.ini.url("platform", "vms"))
            .flatten();
        let seeds = self.seeds();
        let keys =
            self.read_file("security", "key_file", |text| KeyRing::parse(text).map_err(|e| e.to_string()));
        let operator_token = self.read_file("security", "operator_token_file", parse_token);
        let log_level = self.ini.optional("log", "level").unwrap_or(LogLevel::Info);
        let trace_file = self.ini.raw_value("log", "trace_file").map(|p| self.directory.join(p));
        if has_vm_list_url && vm_list_url.is_none() {
            return None;
        }
        Some(Settings {
            node: node?,
            region: region?,
            domain: domain?,
            http_address: http_address?,
            peer_address: peer_address?,
            source_ip,
            http_workers,
            store_url: store_url?,
            vm_list_url,
            seeds,
            keys: keys?,
            operator_token: operator_token?,
            log_level,
            trace_file,
        })
    }

    fn http_workers(&mut self) -> usize {
        let workers = self.ini.optional("listen", "http_workers").unwrap_or(2);
        if !(1..=HTTP_WORKERS_MAX).contains(&workers) {
            self.ini.add_error("listen", "http_workers", format!("must be 1 to {HTTP_WORKERS_MAX}"));
        }
        workers
    }

    fn seeds(&mut self) -> Vec<Seed> {
        let Some(text) = self.ini.raw_value("peers", "seeds") else {
            return Vec::new();
        };
        let mut seeds = Vec::new();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match part.parse() {
                Ok(seed) => seeds.push(seed),
                Err(e) => self.ini.add_error("peers", "seeds", format!("{part:?}: {e}")),
            }
        }
        seeds
    }

    fn read_file<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        let path = self.directory.join(self.ini.required::<String>(section, key)?);
        let parsed = fs::read_to_string(&path).map_err(|e| e.to_string()).and_then(|text| parse(&text));
        match parsed {
            Ok(value) => Some(value),
            Err(e) => {
                // The value is not shown: it may be the secret itself, given by mistake in place of the file name.
                self.ini.add_error(section, key, format!("the file that it names: {e}"));
                None
            }
        }
    }
}

fn parse_token(text: &str) -> Result<OperatorToken, String> {
    let token = text.trim();
    if token.chars().count() < TOKEN_MIN_CHARS || token.contains(char::is_whitespace) {
        return Err(format!("a token has at least {TOKEN_MIN_CHARS} characters and no spaces"));
    }
    Ok(OperatorToken(token.into()))
}
