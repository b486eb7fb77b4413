//! Settings of a daemon, read from an INI file.
//!
//! A file is checked in full: all faults are listed at once with section and key, and unknown keys are refused, since a
//! misspelt key would otherwise be ignored in silence.

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

/// Most threads that serve callers.
const HTTP_WORKERS_MAX: usize = 64;

/// Shortest accepted operator token in characters.
const TOKEN_MIN_CHARS: usize = 16;

/// Another daemon that can be asked for the configuration at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// Its number.
    pub node: NodeId,
    /// Its peer address.
    pub address: SocketAddr,
}

/// The text is not of the form `n<node>@<address>:<port>`.
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

/// Level of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Invalid only.
    Error,
    /// Invalid and degraded service.
    Warning,
    /// All numbered events.
    Info,
    /// Details for development.
    Debug,
}

/// The text is not a log level.
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

/// Settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of the daemon.
    pub node: NodeId,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: Domain,
    /// Where callers and operators connect.
    pub http_address: SocketAddr,
    /// Where other daemons connect (UDP and TCP).
    pub peer_address: SocketAddr,
    /// Source address of connections to backend servers and daemons.
    pub source_ip: Option<IpAddr>,
    /// Threads that serve callers.
    pub http_workers: usize,
    /// Address of the key-value service.
    pub store_url: Box<str>,
    /// Address of the VM list.
    pub vm_list_url: Option<Box<str>>,
    /// Daemons to ask for the configuration at start.
    pub seeds: Vec<Seed>,
    /// Keys of messages between daemons.
    pub keys: KeyRing,
    /// Token of operator calls.
    pub operator_token: OperatorToken,
    /// Level of the log.
    pub log_level: LogLevel,
    /// File to which the events of the decision logic are recorded.
    pub trace_file: Option<PathBuf>,
}

/// Token that operator calls carry.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorToken(Box<str>);

/// Hides the token, so that it never reaches a log.
impl fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorToken")
    }
}

impl OperatorToken {
    /// Whether `given` is the token. Compares hashes, so that the time does not tell how much of a guess matches.
    pub fn matches(&self, given: &str) -> bool {
        blake3::hash(self.0.as_bytes()) == blake3::hash(given.as_bytes())
    }
}

impl Settings {
    /// Reads and checks a settings file and the key files that it names. Relative paths start at its folder.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with every fault that was found.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text =
            fs::read_to_string(path).map_err(|source| SettingsError::File { path: path.into(), source })?;
        Self::parse(&text, path.parent().unwrap_or(Path::new(".")))
    }

    /// Checks the text of a settings file. `folder` is where relative paths start.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with every fault that was found.
    pub fn parse(text: &str, folder: &Path) -> Result<Self, SettingsError> {
        let ini = Ini::load_from_str(text).map_err(|source| SettingsError::Syntax { source })?;
        let mut reader = SettingsReader { ini: IniReader::new(&ini), folder };
        let settings = reader.settings();
        reader.ini.finish(settings)
    }
}

/// Reads the sections of a daemon's file. Relative paths start at `folder`.
struct SettingsReader<'a> {
    ini: IniReader<'a>,
    folder: &'a Path,
}

impl SettingsReader<'_> {
    fn settings(&mut self) -> Option<Settings> {
        // Every value is read before any is required, so that all faults are found.
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
        let trace_file = self.ini.raw_value("log", "trace_file").map(|p| self.folder.join(p));
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
        let path = self.folder.join(self.ini.required::<String>(section, key)?);
        let parsed = fs::read_to_string(&path).map_err(|e| e.to_string()).and_then(|text| parse(&text));
        match parsed {
            Ok(value) => Some(value),
            Err(e) => {
                // The value is not shown: somebody may have put the secret itself in place of the name of its file.
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
