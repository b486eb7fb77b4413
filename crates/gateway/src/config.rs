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
use medlarstair_state::steering::quota::QuotaLimits;
use medlarstair_state::steering::retries::RetryLimits;
use medlarstair_state::steering::vm::{Megabytes, VmResources};

use crate::eventlog::LogLimits;

/// Limit within which a change must take effect if the settings give no limit.
const DEFAULT_MAX_CHANGE_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of file descriptors that the settings can allow.
const MAX_FDS: f64 = 1_048_576.0;

/// Settings of a daemon.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the daemon, unique in the deployment. It identifies the daemon's entry and its log lines.
    pub name: Box<str>,
    /// Region in which the daemon runs.
    pub region: Region,
    /// Failure domain in which the daemon runs.
    pub domain: Domain,
    /// Region of each failure domain of the deployment.
    pub domains: BTreeMap<Domain, Region>,
    /// Listening address for client requests. It is published to clients by look-ups.
    pub client_address: SocketAddr,
    /// Listening address for readiness checks by the platform, and for look-ups.
    pub readiness_address: SocketAddr,
    /// Additional listening address for look-ups of daemons by clients. `None` if there is none.
    pub directory_address: Option<SocketAddr>,
    /// Listening address for metrics. `None` if they are not served.
    pub metrics_address: Option<SocketAddr>,
    /// Listening address for datagrams of other daemons. `None` if this daemon exchanges none; it then watches the key-value
    /// service by itself, and each daemon has an equal share of each quota.
    pub peer_address: Option<SocketAddr>,
    /// Requests per second that the daemon's VM can forward, estimated from its CPU share and link speed. A default if these
    /// are not set.
    pub capacity: Capacity,
    /// Memory and file descriptors of the daemon's VM.
    pub vm: VmResources,
    /// Address of the platform's key-value service.
    pub store_address: SocketAddr,
    /// Grace period of a shutdown: the process must exit within it after the termination signal.
    pub grace_period: Duration,
    /// Limit within which a change in the key-value service must take effect: the smaller one of the limits for the
    /// configuration and for leaving backend servers.
    pub max_change_delay: Duration,
    /// Maximum fraction of the requests that may move between regions from one window to the next.
    pub max_shift: f64,
    /// Limits on retries to backend servers.
    pub retries: RetryLimits,
    /// Factor by which the request rate of a cold server may exceed its configured rate.
    pub cold_overrun: f64,
    /// Requests per second that a cold server may receive in addition to its configured rate times `cold_overrun`.
    pub cold_slack: f64,
    /// Tolerance of the quotas of client accounts.
    pub quota_limits: QuotaLimits,
    /// Lowest level that is logged.
    pub log_level: LogLevel,
    /// Limits on the volume of the log.
    pub log_limits: LogLimits,
    /// Optional settings that are placeholders of a template, as `section.key`. They count as absent.
    pub unfilled: Vec<Box<str>>,
}

/// The text is not a valid duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a duration must be a number with the unit ms or s")]
pub struct ParseDurationError;

/// A duration that is parsed from a non-negative number with the unit `ms` or `s`.
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the file cannot be read, or listing every invalid setting.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text =
            fs::read_to_string(path).map_err(|source| SettingsError::File { path: path.into(), source })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the text is not valid INI, or listing every invalid setting.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let ini = Ini::load_from_str(text).map_err(|source| SettingsError::Syntax { source })?;
        let mut reader = IniReader::new(&ini);
        let config = read_config(&mut reader);
        let config = reader.finish(config)?;
        Ok(Self { unfilled: unfilled_settings(&ini), ..config })
    }

    /// The part of the settings that the steering logic uses.
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
    // Every setting is read before the first missing one returns `None`, so that all errors are reported together.
    let name = r.required::<String>("node", "name");
    let region = r.required("node", "region");
    let domain = r.required("node", "domain");
    let domains = read_domains(r);
    let callers = r.required("listen", "callers");
    let ready = r.required("listen", "ready");
    let directory = r.optional("listen", "directory");
    let metrics = r.optional("listen", "metrics");
    let peers = read_peer_address(r);
    let capacity = read_capacity(r);
    let vm = read_vm_resources(r);
    let store = r.required("platform", "store");
    let grace = r.required::<DurationText>("limits", "grace");
    let config_apply = read_change_delay(r, "config_apply");
    let drain = read_change_delay(r, "drain");
    let max_shift = r.required("limits", "max_shift");
    let ratio = r.required("limits", "retry_ratio");
    let window = r.required::<DurationText>("limits", "retry_window");
    let slack = r.required("limits", "retry_slack");
    let cold_overrun = r.required("limits", "cold_overrun");
    let cold_slack = r.required("limits", "cold_slack");
    let quota_limits = read_quota_limits(r);
    let log_level = r.optional("log", "level").unwrap_or(LogLevel::Info);
    let default_limits = LogLimits::default();
    let log_limits = LogLimits {
        sample_every: r.optional("log", "sample_every").unwrap_or(default_limits.sample_every),
        lines_per_second: r.optional("log", "lines_per_second").unwrap_or(default_limits.lines_per_second),
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
        peer_address: peers,
        capacity,
        vm,
        store_address: store?,
        grace_period: grace?.0,
        max_change_delay: [config_apply, drain]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(DEFAULT_MAX_CHANGE_DELAY),
        max_shift: max_shift?,
        retries: RetryLimits { ratio: ratio?, window: window?.0, slack: slack? },
        cold_overrun: cold_overrun?,
        cold_slack: cold_slack?,
        quota_limits,
        log_level,
        log_limits,
        unfilled: Vec::new(),
    })
}

/// Whether a value is a placeholder of a template, which its writer does not know.
fn is_placeholder(text: &str) -> bool {
    text.contains("{{")
}

/// Returns the settings that are placeholders, as `section.key`.
fn unfilled_settings(ini: &Ini) -> Vec<Box<str>> {
    let mut unfilled = Vec::new();
    for (section, properties) in ini.iter() {
        for (key, _) in properties.iter().filter(|(_, value)| is_placeholder(value)) {
            unfilled.push(format!("{}.{key}", section.unwrap_or_default()).into());
        }
    }
    unfilled
}

/// Reads a setting for which an empty value or a placeholder counts as absent, as a template without a value leaves it.
fn optional_or_empty<T: FromStr<Err: ToString>>(
    r: &mut IniReader<'_>,
    section: &'static str,
    key: &'static str,
) -> Option<T> {
    let text = r.raw_value(section, key)?;
    if text.is_empty() || is_placeholder(text) {
        return None;
    }
    r.optional(section, key)
}

/// Reads the address for messages of other daemons. One with an empty port counts as absent, as a template without a free
/// port leaves it.
fn read_peer_address(r: &mut IniReader<'_>) -> Option<SocketAddr> {
    if r.raw_value("listen", "peers")?.ends_with(':') {
        return None;
    }
    optional_or_empty(r, "listen", "peers")
}

/// Reads the tolerance of quotas.
fn read_quota_limits(r: &mut IniReader<'_>) -> QuotaLimits {
    let default = QuotaLimits::default();
    let window = optional_or_empty::<DurationText>(r, "limits", "quota_window").map(|text| text.0);
    if window.is_some_and(|window| window.is_zero()) {
        r.add_error("limits", "quota_window", "must be greater than zero");
    }
    let mut tolerance = |key| {
        let value = optional_or_empty::<f64>(r, "limits", key)?;
        if (0.0..f64::INFINITY).contains(&value) {
            return Some(value);
        }
        r.add_error("limits", key, "must be a number of at least zero");
        None
    };
    QuotaLimits {
        window: window.unwrap_or(default.window),
        overrun: tolerance("quota_overrun").unwrap_or(default.overrun),
        slack: tolerance("quota_slack").unwrap_or(default.slack),
    }
}

/// Reads a limit on the time within which a change must take effect.
fn read_change_delay(r: &mut IniReader<'_>, key: &'static str) -> Option<Duration> {
    let delay = r.optional::<DurationText>("limits", key)?.0;
    if delay.is_zero() {
        r.add_error("limits", key, "must be greater than zero");
    }
    Some(delay)
}

/// Estimates the capacity of the VM from its CPU share and link speed, which must be set together or not at all.
fn read_capacity(r: &mut IniReader<'_>) -> Capacity {
    let mut positive = |key| -> Option<f64> {
        let value = r.optional("vm", key)?;
        if value > 0.0 {
            return Some(value);
        }
        r.add_error("vm", key, "must be greater than zero");
        None
    };
    let (cpu_share, core_speed, link_mbps) =
        (positive("cpu_share"), positive("core_speed"), positive("link_mbps"));
    match (cpu_share, link_mbps) {
        (Some(cpu_share), Some(link_mbps)) => {
            Capacity::of_vm(cpu_share * core_speed.unwrap_or(1.0), link_mbps)
        }
        (None, None) => Capacity::default(),
        (Some(_), None) => {
            r.add_error("vm", "link_mbps", "must be set if cpu_share is set");
            Capacity::default()
        }
        (None, Some(_)) => {
            r.add_error("vm", "cpu_share", "must be set if link_mbps is set");
            Capacity::default()
        }
    }
}

/// Reads the memory and the file descriptors of the VM. An empty value counts as absent.
fn read_vm_resources(r: &mut IniReader<'_>) -> VmResources {
    let default = VmResources::default();
    // A platform may render numbers with a fraction.
    let max_fds = optional_or_empty::<f64>(r, "vm", "max_fds");
    if max_fds.is_some_and(|fds| !(0.0..=MAX_FDS).contains(&fds)) {
        r.add_error("vm", "max_fds", format!("must be at most {MAX_FDS}"));
    }
    let vm = VmResources {
        memory: optional_or_empty::<Megabytes>(r, "vm", "memory_mb").unwrap_or(default.memory),
        max_fds: max_fds.map_or(default.max_fds, |fds| fds.min(MAX_FDS) as usize),
    };
    if vm.memory < VmResources::MIN_MEMORY {
        r.add_error("vm", "memory_mb", format!("must be at least {}", VmResources::MIN_MEMORY.0));
    }
    if vm.max_fds < VmResources::MIN_FDS {
        r.add_error("vm", "max_fds", format!("must be at least {}", VmResources::MIN_FDS));
    }
    vm
}

/// Reads the region of each failure domain.
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
