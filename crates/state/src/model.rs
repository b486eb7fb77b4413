//! Configuration values as used by the decision logic.
//!
//! The JSON representation in the key-value service is defined by generated types of the protocol crate, which are
//! converted into these types.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, From, FromStr};
use serde::{Deserialize, Serialize};

use crate::id::{Backend, Customer, Domain, NodeId, Region, Service};

/// Longest deadline that a contract may set. No request runs longer, so borrowed capacity is no longer in use after
/// this time.
pub const MAX_RUN_TIME: Duration = Duration::from_secs(10);

/// Requests per second.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
pub struct RequestsPerSecond(pub u32);

/// Bandwidth in kbit/s.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
pub struct KbitPerSecond(pub u32);

/// Number of requests that a backend server runs concurrently.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
pub struct Slots(pub u32);

/// Percentage, normally 0 to 100. The type does not enforce the range.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
pub struct Percent(pub u8);

/// Limits that a contract sets for one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceTerms {
    /// The service.
    pub service: Service,
    /// Limit on the customer's requests to the service in all regions together.
    pub rate: RequestsPerSecond,
    /// Limit on the requests that are sent from a region to other regions, for each region.
    pub shift_cap: RequestsPerSecond,
    /// Longest deadline of a request; at most [`MAX_RUN_TIME`].
    pub max_deadline: Duration,
}

/// Contract of a customer, from which all limits on the customer's traffic are derived.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Contract {
    /// The customer.
    pub customer: Customer,
    /// Identifier of the change that wrote this value.
    pub change_id: Box<str>,
    /// Limits per service.
    pub services: Vec<ServiceTerms>,
}

/// Configuration of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendSpec {
    /// Name of the server.
    pub name: Backend,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: Domain,
    /// Address and port on which it accepts requests.
    pub address: SocketAddr,
    /// Number of requests that it runs concurrently.
    pub slots: Slots,
}

/// Configuration of a service and of the backend servers that provide it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The service.
    pub name: Service,
    /// Minimum share of slot time for standard work while such work is waiting.
    pub standard_floor: Percent,
    /// Minimum share of slot time for bulk work while such work is waiting.
    pub bulk_floor: Percent,
    /// Assumed run time of a request, used until run times have been measured.
    pub typical_run: Duration,
    /// The backend servers.
    pub backends: Vec<BackendSpec>,
}

/// Network link from one region to another, in one direction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkSpec {
    /// Region from which traffic is sent.
    pub from: Region,
    /// Region that receives it.
    pub to: Region,
    /// Bandwidth for all traffic on the link together.
    pub bandwidth: KbitPerSecond,
    /// One-way delay.
    pub delay: Duration,
}

/// Regions and the links between them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Topology {
    /// Links. Without a link, no requests are sent from one region to the other.
    pub links: Vec<LinkSpec>,
}

/// A daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetMember {
    /// Node number of the daemon.
    pub node: NodeId,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: Domain,
    /// Address for messages between daemons (UDP and TCP).
    pub peer_address: SocketAddr,
    /// Address for HTTP requests of callers.
    pub http_address: SocketAddr,
}

/// The daemons among which every limit is divided.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Sorted by node.
    pub members: Vec<FleetMember>,
    /// Members before the change in progress; empty if there is none. During a change, a share is the minimum over both
    /// member lists, so that daemons which use two consecutive fleet values do not exceed a limit together.
    pub previous: Vec<FleetMember>,
}

/// What a drain removes from service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DrainScope {
    /// One backend server.
    Backend(Backend),
    /// All backend servers of a failure domain.
    Domain(Domain),
    /// All backend servers of a region.
    Region(Region),
}

impl DrainScope {
    /// Name of the kind of scope, as in configuration keys.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Backend(_) => "backend",
            Self::Domain(_) => "domain",
            Self::Region(_) => "region",
        }
    }

    /// Name of the drained server, domain or region.
    pub fn name(&self) -> &str {
        match self {
            Self::Backend(name) => name.as_str(),
            Self::Domain(name) => name.as_str(),
            Self::Region(name) => name.as_str(),
        }
    }

    /// Whether the drain applies to `backend`.
    pub fn covers(&self, backend: &BackendSpec) -> bool {
        match self {
            Self::Backend(name) => *name == backend.name,
            Self::Domain(name) => *name == backend.domain,
            Self::Region(name) => *name == backend.region,
        }
    }
}

/// Parsed value of a configuration key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigValue {
    /// `config/contract/<customer>`
    Contract(Contract),
    /// `config/service/<name>`
    Service(ServiceSpec),
    /// `config/topology`
    Topology(Topology),
    /// `config/fleet`
    Fleet(Fleet),
    /// `config/drain/<kind>/<name>`
    Drain(DrainScope),
    /// `config/blocks/<part>`: lines of the form `prefix region`.
    Blocks(Box<str>),
}
