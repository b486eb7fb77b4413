//! Configuration values as the decision logic uses them.
//!
//! The JSON forms in the key-value service are the generated border types of the protocol crate, which convert
//! into these.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, From, FromStr};
use serde::{Deserialize, Serialize};

use crate::id::{Backend, Customer, Domain, NodeId, Region, Service};

/// Longest deadline that a contract may set. Nothing runs longer, so loans are over after this time.
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

/// Number of requests that a backend server runs at a time.
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

/// Part of a whole in percent, 0 to 100.
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

/// What one contract grants for one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceTerms {
    /// The service.
    pub service: Service,
    /// Limit on all requests of the customer to the service.
    pub rate: RequestsPerSecond,
    /// Limit on requests that leave any one region for another.
    pub shift_cap: RequestsPerSecond,
    /// Longest time a request may take; at most [`MAX_RUN_TIME`].
    pub max_deadline: Duration,
}

/// The contract of one customer. Every limit on the customer's traffic follows from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Contract {
    /// The customer.
    pub customer: Customer,
    /// Identifies the change that wrote this value.
    pub change_id: Box<str>,
    /// Terms per service.
    pub services: Vec<ServiceTerms>,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendSpec {
    /// Its name.
    pub name: Backend,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: Domain,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests it runs at a time.
    pub slots: Slots,
}

/// One service and the backend servers that provide it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The service.
    pub name: Service,
    /// Part of slot time that waiting standard work keeps.
    pub standard_floor: Percent,
    /// Part of slot time that waiting bulk work keeps.
    pub bulk_floor: Percent,
    /// Typical time that a request runs, used until it has been measured.
    pub typical_run: Duration,
    /// The backend servers.
    pub backends: Vec<BackendSpec>,
}

/// Link from one region to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkSpec {
    /// Where traffic leaves.
    pub from: Region,
    /// Where traffic arrives.
    pub to: Region,
    /// Bandwidth for all traffic.
    pub bandwidth: KbitPerSecond,
    /// One-way delay.
    pub delay: Duration,
}

/// Regions and the links between them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Topology {
    /// Links; a missing pair of regions exchanges no requests.
    pub links: Vec<LinkSpec>,
}

/// One daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetMember {
    /// Its number.
    pub node: NodeId,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: Domain,
    /// Address of messages between daemons (UDP and TCP).
    pub peer_address: SocketAddr,
    /// Address that callers use.
    pub http_address: SocketAddr,
}

/// The daemons among which limits are divided.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Ordered by node.
    pub members: Vec<FleetMember>,
    /// Members before the change that is under way; empty when none is. A share is then the minimum of both
    /// divisions, so that daemons on two consecutive fleet values never exceed a limit together.
    pub previous: Vec<FleetMember>,
}

/// What a drain takes out of service.
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
    /// Kind of the scope in configuration keys.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Backend(_) => "backend",
            Self::Domain(_) => "domain",
            Self::Region(_) => "region",
        }
    }

    /// Name of what is drained.
    pub fn name(&self) -> &str {
        match self {
            Self::Backend(name) => name.as_str(),
            Self::Domain(name) => name.as_str(),
            Self::Region(name) => name.as_str(),
        }
    }

    /// Whether a backend server is taken out of service.
    pub fn covers(&self, backend: &BackendSpec) -> bool {
        match self {
            Self::Backend(name) => *name == backend.name,
            Self::Domain(name) => *name == backend.domain,
            Self::Region(name) => *name == backend.region,
        }
    }
}

/// What a configuration key holds.
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
    /// `config/blocks/<part>`: lines `prefix region`.
    Blocks(Box<str>),
}
