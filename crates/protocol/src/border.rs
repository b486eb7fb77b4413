//! Types of the external API, generated from `schema/border.json`.
//!
//! Do not edit; run `cargo run -p medlarstair-codegen`.

#![allow(missing_docs, clippy::all)]

///Answer of a backend server to a health request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct BackendHealth {
    ///Changes with every start of the server.
    pub boot: u64,
    ///Whether the server is leaving.
    pub draining: bool,
    ///Requests running.
    pub in_use: u32,
    ///Requests that can run at a time.
    pub slots: u32,
}
///One backend server.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct BackendValue {
    ///IP address and port.
    pub address: ::std::string::String,
    ///Its failure domain.
    pub domain: ::std::string::String,
    ///Its name.
    pub name: ::std::string::String,
    ///Its region.
    pub region: ::std::string::String,
    ///Requests that it runs at a time.
    pub slots: u32,
}
///Value of `contract/<customer>`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ContractValue {
    ///Identifies the change that wrote the value.
    pub change_id: ::std::string::String,
    ///The customer.
    pub customer: ::std::string::String,
    ///Terms per service.
    pub services: ::std::vec::Vec<ServiceTermsValue>,
}
///What a drain takes out of service.
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
    ///Identifies the change that wrote the value.
    pub change_id: ::std::string::String,
    pub kind: DrainKind,
    ///Name of the backend server, failure domain or region.
    pub name: ::std::string::String,
}
///One daemon of the fleet.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct FleetMemberValue {
    ///Its failure domain.
    pub domain: ::std::string::String,
    ///Address that callers use.
    pub http_address: ::std::string::String,
    ///Its number.
    pub node: u32,
    ///Address of messages between daemons.
    pub peer_address: ::std::string::String,
    ///Its region.
    pub region: ::std::string::String,
}
///Value of `fleet`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct FleetValue {
    ///Identifies the change that wrote the value.
    pub change_id: ::std::string::String,
    ///The daemons.
    pub members: ::std::vec::Vec<FleetMemberValue>,
    ///The daemons before the change that is under way; empty when none is.
    pub previous: ::std::vec::Vec<FleetMemberValue>,
}
///Where the configuration is in force.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct InForceReport {
    ///Highest revision that it holds.
    pub highest_revision: u64,
    ///Daemons with the same configuration.
    pub in_force: u32,
    ///The daemons by name.
    pub members: ::std::vec::Vec<MemberReport>,
    ///The daemon that answers.
    pub node: u32,
    ///Daemons of the fleet.
    pub total: u32,
}
///One key of the key-value service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct KvEntry {
    ///The key.
    pub key: ::std::string::String,
    ///Revision of the last change.
    pub revision: u64,
    ///The value; null if the key was deleted.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub value: ::std::option::Option<::std::string::String>,
}
///Keys with a common prefix.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct KvList {
    ///The entries.
    pub entries: ::std::vec::Vec<KvEntry>,
    ///Revision of the service at the time of the answer.
    pub revision: u64,
}
///Answer to a write: the new revision, or after a conflict the current one.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct KvWritten {
    ///The revision.
    pub revision: u64,
}
///State of one limit at one daemon.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct LimitReport {
    ///Units in use.
    pub in_use: u32,
    ///The limit.
    pub key: ::std::string::String,
    ///Base share.
    pub share: u32,
    ///Units that may be used now.
    pub usable: u32,
}
///Link from one region to another.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct LinkValue {
    ///Bandwidth in kbit/s.
    pub bandwidth: u32,
    ///One-way delay in ms.
    pub delay_ms: u32,
    ///Where traffic leaves.
    pub from: ::std::string::String,
    ///Where traffic arrives.
    pub to: ::std::string::String,
}
///Answer to a lookup.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct LookupAnswer {
    ///Entry VMs, the best first.
    pub entries: ::std::vec::Vec<LookupEntry>,
    ///Prefix of operation tokens.
    pub token_prefix: ::std::string::String,
    ///Time for which the answer may be cached, in ms.
    pub ttl_ms: u32,
}
///One entry VM that a caller may use.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct LookupEntry {
    ///IP address and port.
    pub address: ::std::string::String,
    ///Number of its daemon.
    pub node: u32,
    ///Prefix of operation tokens that this entry VM owns.
    pub token_prefix: ::std::string::String,
    ///Relative share of requests; 0 means only when all others fail.
    pub weight: u32,
}
///What a daemon knows about another.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct MemberReport {
    ///Its failure domain.
    pub domain: ::std::string::String,
    ///Whether it holds the same configuration.
    pub in_force: bool,
    ///alive, suspect or dead.
    pub liveness: ::std::string::String,
    ///Its number.
    pub node: u32,
}
///State of one daemon for operators.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct OpsReport {
    ///Its boot.
    pub boot: u64,
    ///Whether a planned stop is under way.
    pub leaving: bool,
    ///Limits with a share or a loan.
    pub limits: ::std::vec::Vec<LimitReport>,
    ///The daemon.
    pub node: u32,
    ///Entries of the operation table.
    pub operations: u32,
    ///Requests running.
    pub running: u32,
    ///Requests in queues.
    pub waiting: u32,
}
///What is known about a request.
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
///Body of each answer that is not the backend server's own.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct RefusalBody {
    ///Why, in words.
    pub message: ::std::string::String,
    pub outcome: Outcome,
    ///Why, as a fixed word.
    pub reason: ::std::string::String,
    ///When to try again, in ms.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u32>,
}
///What a contract grants for one service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ServiceTermsValue {
    ///Longest time that a request may take, in ms.
    pub max_deadline_ms: u32,
    ///Limit on all requests, in requests/s.
    pub rate: u32,
    ///The service.
    pub service: ::std::string::String,
    ///Limit on requests that leave any one region, in requests/s.
    pub shift_cap: u32,
}
///Value of `service/<name>`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ServiceValue {
    ///The backend servers.
    pub backends: ::std::vec::Vec<BackendValue>,
    ///Slot time that waiting bulk work keeps, in percent.
    pub bulk_floor: u8,
    ///Identifies the change that wrote the value.
    pub change_id: ::std::string::String,
    ///The service.
    pub name: ::std::string::String,
    ///Slot time that waiting standard work keeps, in percent.
    pub standard_floor: u8,
    ///Typical run time of a request, in ms.
    pub typical_run_ms: u32,
}
///Events of one daemon, oldest first.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Timeline {
    ///The events.
    pub events: ::std::vec::Vec<TimelineEvent>,
}
///One event of the timeline.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct TimelineEvent {
    ///Its boot.
    pub boot: u64,
    ///Number of the event in docs/events.md.
    pub code: u32,
    ///Details as key=value pairs.
    pub detail: ::std::string::String,
    ///Hybrid clock, logical part.
    pub logical: u32,
    ///Name of the event.
    pub name: ::std::string::String,
    ///The daemon.
    pub node: u32,
    ///Hybrid clock, wall part, ms since 1970.
    pub wall_ms: u64,
}
///Value of `topology`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct TopologyValue {
    ///Identifies the change that wrote the value.
    pub change_id: ::std::string::String,
    ///Links between regions.
    pub links: ::std::vec::Vec<LinkValue>,
}
///Kind of a VM.
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
///The platform's list of VMs.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct VmList {
    ///The VMs.
    pub vms: ::std::vec::Vec<VmValue>,
}
///State of a VM.
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
///One VM of the platform.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct VmValue {
    pub kind: VmKind,
    ///Name of the VM: that of its backend server, or `n` and the number of its daemon.
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
