//! Settings of a gateway daemon, read from an INI file.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use ini::Ini;
use medlarstair_coordination::ini_reader::{IniReader, SettingsError};
use medlarstair_coordination::settings::LogLevel;
use medlarstair_state::id::{Domain, Region};
use medlarstair_state::steering::SteeringConfig;
use medlarstair_state::steering::capacity::Capacity;
use medlarstair_state::steering::engine::RoundTrips;
use medlarstair_state::steering::retries::RetryLimits;

use crate::eventlog::LogLimits;

/// Settings of a daemon.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the daemon, unique in the deployment.
    pub name: Box<str>,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: Domain,
    /// Region of each failure domain.
    pub domains: BTreeMap<Domain, Region>,
    /// Where callers send requests.
    pub client_address: SocketAddr,
    /// Where the platform asks for readiness.
    pub readiness_address: SocketAddr,
    /// Where callers look up daemons.
    pub directory_address: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics_address: Option<SocketAddr>,
    /// Requests per second that its VM can forward.
    pub capacity: Capacity,
    /// Address of the platform's key-value service.
    pub store_address: SocketAddr,
    /// Time from the request to stop to the end of the process.
    pub grace_period: Duration,
    /// Largest change of the part of requests that a region serves, from one window to the next.
    pub max_shift: f64,
    /// Bound on repeated sends.
    pub retries: RetryLimits,
    /// Factor on the request rate of cold servers.
    pub cold_overrun: f64,
    /// Requests per second to a cold server beyond its rate.
    pub cold_slack: f64,
    /// Level of the log.
    pub log_level: LogLevel,
    /// Bounds of the log's volume.
    pub log_limits: LogLimits,
}

/// The text is not a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a time is a number with its unit, ms or s")]
pub struct ParseDurationError;

/// A time as text: a number with the unit `ms` or `s`.
///
/// ```
/// use std::time::Duration;
/// use medlarstair_gateway::config::DurationText;
/// assert_eq!("2.5s".parse(), Ok(DurationText(Duration::from_millis(2500))));
/// assert_eq!("40ms".parse(), Ok(DurationText(Duration::from_millis(40))));
/// assert!("40".parse::<DurationText>().is_err());
/// assert!("-1s".parse::<DurationText>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DurationText(pub Duration);

impl FromStr for DurationText {
    type Err = ParseDurationError;

    fn from_str(s: &str) -> Result<Self, ParseDurationError> {
        let (number, scale) = match s.strip_suffix("ms") {
            Some(number) => (number, 0.001),
            None => (s.strip_suffix('s').ok_or(ParseDurationError)?, 1.0),
        };
        let number: f64 = number.parse().map_err(|_| ParseDurationError)?;
        Duration::try_from_secs_f64(number * scale).map(Self).map_err(|_| ParseDurationError)
    }
}

impl Config {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with every fault that was found.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text =
            fs::read_to_string(path).map_err(|source| SettingsError::File { path: path.into(), source })?;
        Self::parse(&text)
    }

    /// Checks the text of a file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with every fault that was found.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let ini = Ini::load_from_str(text).map_err(|source| SettingsError::Syntax { source })?;
        let mut reader = IniReader::new(&ini);
        let config = read_config(&mut reader);
        reader.finish(config)
    }

    /// Settings of the steering logic.
    pub fn steering(&self) -> SteeringConfig {
        SteeringConfig {
            region: self.region.clone(),
            domain: self.domain.clone(),
            max_shift: self.max_shift,
            retries: self.retries,
            cold_overrun: self.cold_overrun,
            cold_slack: self.cold_slack,
            round_trips: RoundTrips::default(),
        }
    }
}

fn read_config(r: &mut IniReader<'_>) -> Option<Config> {
    // Every value is read before any is required, so that all faults are found.
    let name = r.required::<String>("node", "name");
    let region = r.required("node", "region");
    let domain = r.required("node", "domain");
    let domains = read_domains(r);
    let callers = r.required("listen", "callers");
    let ready = r.required("listen", "ready");
    let directory = r.optional("listen", "directory");
    let metrics = r.optional("listen", "metrics");
    let capacity = read_capacity(r);
    let store = r.required("platform", "store");
    let grace = r.required::<DurationText>("limits", "grace");
    let max_shift = r.required("limits", "max_shift");
    let ratio = r.required("limits", "retry_ratio");
    let window = r.required::<DurationText>("limits", "retry_window");
    let slack = r.required("limits", "retry_slack");
    let cold_overrun = r.required("limits", "cold_overrun");
    let cold_slack = r.required("limits", "cold_slack");
    let log_level = r.optional("log", "level").unwrap_or(LogLevel::Info);
    let volume = LogLimits::default();
    let log_limits = LogLimits {
        sample_every: r.optional("log", "sample_every").unwrap_or(volume.sample_every),
        lines_per_second: r.optional("log", "lines_per_second").unwrap_or(volume.lines_per_second),
    };
    Some(Config {
        name: name?.into(),
        region: region?,
        domain: domain?,
        domains,
        client_address: callers?,
        readiness_address: ready?,
        directory_address: directory,
        metrics_address: metrics,
        capacity,
        store_address: store?,
        grace_period: grace?.0,
        max_shift: max_shift?,
        retries: RetryLimits { ratio: ratio?, window: window?.0, slack: slack? },
        cold_overrun: cold_overrun?,
        cold_slack: cold_slack?,
        log_level,
        log_limits,
    })
}

/// The size of the VM is known as a whole or not at all.
fn read_capacity(r: &mut IniReader<'_>) -> Capacity {
    let mut size = |key| -> Option<f64> {
        let value = r.optional("vm", key)?;
        if value > 0.0 {
            return Some(value);
        }
        r.add_error("vm", key, "must be above zero");
        None
    };
    let (share, speed, link) = (size("cpu_share"), size("core_speed"), size("link_mbps"));
    match (share, link) {
        (Some(share), Some(link)) => Capacity::of_vm(share * speed.unwrap_or(1.0), link),
        (None, None) => Capacity::default(),
        (Some(_), None) => {
            r.add_error("vm", "link_mbps", "is needed beside cpu_share");
            Capacity::default()
        }
        (None, Some(_)) => {
            r.add_error("vm", "cpu_share", "is needed beside link_mbps");
            Capacity::default()
        }
    }
}

fn read_domains(r: &mut IniReader<'_>) -> BTreeMap<Domain, Region> {
    let mut domains = BTreeMap::new();
    for (domain, region) in r.free_form_section("domains") {
        match (domain.parse(), region.parse()) {
            (Ok(domain), Ok(region)) => {
                domains.insert(domain, region);
            }
            (Err(e), _) | (_, Err(e)) => r.add_error("domains", domain, e),
        }
    }
    domains
}
