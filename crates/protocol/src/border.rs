//! Types of the external API, generated from `schema/border.json`.
//!
//! Do not edit; run `cargo run -p medlarstair-codegen`.

#![allow(missing_docs, clippy::all)]

///Response of a backend server to a health check.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct BackendHealth {
    ///Identifier of the server process, which changes with every start.
    pub boot: u64,
    ///Whether the backend server is shutting down.
    pub draining: bool,
    ///Number of requests that the backend server is running.
    pub in_use: u32,
    ///Maximum number of requests that it runs concurrently.
    pub slots: u32,
}
///A backend server.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct BackendValue {
    ///IP address and port at which it accepts requests.
    pub address: ::std::string::String,
    ///Failure domain in which the backend server runs.
    pub domain: ::std::string::String,
    ///Name of the backend server, unique in its service.
    pub name: ::std::string::String,
    ///Region in which the backend server runs.
    pub region: ::std::string::String,
    ///Maximum number of requests that it runs concurrently.
    pub slots: u32,
}
///Value of `contract/<customer>`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ContractValue {
    ///Unique ID of the change that wrote the value.
    pub change_id: ::std::string::String,
    ///Name of the customer, as in the key.
    pub customer: ::std::string::String,
    ///Terms for each service that the customer may use.
    pub services: ::std::vec::Vec<ServiceTermsValue>,
}
///What a drain covers: a backend server, a failure domain or a region.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum DrainKind {
    #[serde(rename = "backend")]
    Backend,
    #[serde(rename = "domain")]
    Domain,
    #[serde(rename = "region")]
    Region,
}
impl ::std::fmt::Display for DrainKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Backend => f.write_str("backend"),
            Self::Domain => f.write_str("domain"),
            Self::Region => f.write_str("region"),
        }
    }
}
impl ::std::str::FromStr for DrainKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "backend" => Ok(Self::Backend),
            "domain" => Ok(Self::Domain),
            "region" => Ok(Self::Region),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for DrainKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for DrainKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Value of `drain/<kind>/<name>`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct DrainValue {
    ///Unique ID of the change that wrote the value.
    pub change_id: ::std::string::String,
    pub kind: DrainKind,
    ///Name of the backend server, failure domain or region.
    pub name: ::std::string::String,
}
///A daemon of the fleet.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct FleetMemberValue {
    ///Failure domain in which the daemon runs.
    pub domain: ::std::string::String,
    ///IP address and port at which it accepts the requests of callers.
    pub http_address: ::std::string::String,
    ///Number of the daemon, unique in the fleet.
    pub node: u32,
    ///IP address and port at which it receives messages of other daemons.
    pub peer_address: ::std::string::String,
    ///Region in which the daemon runs.
    pub region: ::std::string::String,
}
///Value of `fleet`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct FleetValue {
    ///Unique ID of the change that wrote the value.
    pub change_id: ::std::string::String,
    ///Daemons of the fleet.
    pub members: ::std::vec::Vec<FleetMemberValue>,
    ///Daemons before the fleet change in progress; empty if there is none.
    pub previous: ::std::vec::Vec<FleetMemberValue>,
}
///Distribution of the configuration among the daemons.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct InForceReport {
    ///Highest configuration revision that the reporting daemon holds.
    pub highest_revision: u64,
    ///Number of daemons with the same configuration as the reporting daemon.
    pub in_force: u32,
    ///State of each daemon of the fleet.
    pub members: ::std::vec::Vec<MemberReport>,
    ///Number of the reporting daemon.
    pub node: u32,
    ///Number of daemons in the fleet.
    pub total: u32,
}
///A key of the key-value service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct KvEntry {
    ///Full name of the key.
    pub key: ::std::string::String,
    ///Revision of the last change of the key.
    pub revision: u64,
    ///Value of the key; null if the key was deleted.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub value: ::std::option::Option<::std::string::String>,
}
///Keys with a common prefix.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct KvList {
    ///Entries with the prefix.
    pub entries: ::std::vec::Vec<KvEntry>,
    ///Revision of the service at the time of the response.
    pub revision: u64,
}
///Response to a write: the new revision, or after a conflict the current one.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct KvWritten {
    ///New or current revision of the key.
    pub revision: u64,
}
///State of a limit at one daemon.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct LimitReport {
    ///Slots in use, or the mean use of a rate limit in its units per second.
    pub in_use: u32,
    ///Key of the limit, for example `slots/<backend>`.
    pub key: ::std::string::String,
    ///Base share of the daemon, before loans.
    pub share: u32,
    ///Units that the daemon may use now, after loans.
    pub usable: u32,
}
///Network link from one region to another.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct LinkValue {
    ///Bandwidth in kbit/s.
    pub bandwidth: u32,
    ///One-way delay in ms.
    pub delay_ms: u32,
    ///Region in which the traffic originates.
    pub from: ::std::string::String,
    ///Region to which the traffic goes.
    pub to: ::std::string::String,
}
///Response to a lookup.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct LookupAnswer {
    ///Entry VMs that the caller may use, the preferred ones first.
    pub entries: ::std::vec::Vec<LookupEntry>,
    ///Prefix for the caller's operation tokens: that of the first entry VM, or empty without entry VMs.
    pub token_prefix: ::std::string::String,
    ///TTL of the response in the cache of the caller, in ms.
    pub ttl_ms: u32,
}
///An entry VM that a caller may use.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct LookupEntry {
    ///IP address and port at which the entry VM accepts requests.
    pub address: ::std::string::String,
    ///Number of the daemon on the entry VM.
    pub node: u32,
    ///Prefix of the operation tokens that this entry VM owns.
    pub token_prefix: ::std::string::String,
    ///Weight in the distribution of the caller's requests; with 0, the entry VM is used only if all others fail.
    pub weight: u32,
}
///State of one daemon as seen by another.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct MemberReport {
    ///Failure domain in which the daemon runs.
    pub domain: ::std::string::String,
    ///Whether the daemon holds the same configuration as the reporting daemon.
    pub in_force: bool,
    ///Liveness of the daemon: `alive`, `suspect` or `dead`.
    pub liveness: ::std::string::String,
    ///Number of the daemon.
    pub node: u32,
}
///State of a daemon for operators.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct OpsReport {
    ///Boot number of the daemon.
    pub boot: u64,
    ///Whether a graceful shutdown is in progress.
    pub leaving: bool,
    ///Limits of which the daemon has a share or a loan.
    pub limits: ::std::vec::Vec<LimitReport>,
    ///Number of the daemon.
    pub node: u32,
    ///Number of entries in the operation table.
    pub operations: u32,
    ///Number of requests that have not been answered yet and are not in a queue.
    pub running: u32,
    ///Number of requests that wait in the queues.
    pub waiting: u32,
}
///Whether a request has run.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Outcome {
    #[serde(rename = "not-run")]
    NotRun,
    #[serde(rename = "ran")]
    Ran,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not-run"),
            Self::Ran => f.write_str("ran"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for Outcome {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not-run" => Ok(Self::NotRun),
            "ran" => Ok(Self::Ran),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Outcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Outcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Body of a response that the daemon gives in place of a backend server.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct RefusalBody {
    ///Human-readable reason.
    pub message: ::std::string::String,
    pub outcome: Outcome,
    ///Machine-readable reason, a fixed word.
    pub reason: ::std::string::String,
    ///`Retry-After` delay in ms. Absent if no delay is recommended.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u32>,
}
///Terms of a contract for one service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ServiceTermsValue {
    ///Maximum time from the arrival of a request to its deadline, in ms.
    pub max_deadline_ms: u32,
    ///Limit on all requests, in requests/s.
    pub rate: u32,
    ///Name of the service.
    pub service: ::std::string::String,
    ///Limit on requests that leave any one region, in requests/s.
    pub shift_cap: u32,
}
///Value of `service/<name>`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ServiceValue {
    ///Backend servers of the service.
    pub backends: ::std::vec::Vec<BackendValue>,
    ///Minimum share of slot time for waiting bulk requests, in percent.
    pub bulk_floor: u8,
    ///Unique ID of the change that wrote the value.
    pub change_id: ::std::string::String,
    ///Name of the service, as in the key.
    pub name: ::std::string::String,
    ///Minimum share of slot time for waiting standard requests, in percent.
    pub standard_floor: u8,
    ///Typical run time of a request, in ms.
    pub typical_run_ms: u32,
}
///Events of one daemon, oldest first.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Timeline {
    ///Events, oldest first.
    pub events: ::std::vec::Vec<TimelineEvent>,
}
///An event of the timeline.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct TimelineEvent {
    ///Boot number of that daemon.
    pub boot: u64,
    ///Number of the event in docs/events.md.
    pub code: u32,
    ///Fields of the event as `key=value` pairs.
    pub detail: ::std::string::String,
    ///Logical part of the hybrid time, which orders events with the same wall part.
    pub logical: u32,
    ///Name of the event.
    pub name: ::std::string::String,
    ///Number of the daemon that recorded the event.
    pub node: u32,
    ///Wall part of the hybrid time, in ms since the Unix epoch.
    pub wall_ms: u64,
}
///Value of `topology`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct TopologyValue {
    ///Unique ID of the change that wrote the value.
    pub change_id: ::std::string::String,
    ///Network links between regions.
    pub links: ::std::vec::Vec<LinkValue>,
}
///What runs on a VM: a daemon (entry VM) or a backend server.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum VmKind {
    #[serde(rename = "entry")]
    Entry,
    #[serde(rename = "backend")]
    Backend,
}
impl ::std::fmt::Display for VmKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Entry => f.write_str("entry"),
            Self::Backend => f.write_str("backend"),
        }
    }
}
impl ::std::str::FromStr for VmKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "entry" => Ok(Self::Entry),
            "backend" => Ok(Self::Backend),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for VmKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for VmKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///List of the platform's VMs.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct VmList {
    ///All VMs that the platform reports.
    pub vms: ::std::vec::Vec<VmValue>,
}
///State of a VM as the platform reports it.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum VmState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for VmState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for VmState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for VmState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for VmState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A VM of the platform.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct VmValue {
    pub kind: VmKind,
    ///Name of the VM: that of its backend server, or `n` followed by the number of its daemon.
    pub name: ::std::string::String,
    pub state: VmState,
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
