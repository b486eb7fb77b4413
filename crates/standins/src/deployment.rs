//! The two deployments of the design document at full size, on loopback addresses.
//!
//! A deployment uses one block `127.<block>.0.0/16`, so that deployments with different blocks can run at the same
//! time. Each failure domain, the clients of each region and the platform have a /24 network in the block. Each process
//! has a real address, on which it listens, and a front address on the relay, to which its clients connect.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::backend::{BackendConfig, BackendServer};
use crate::kv::KvService;
use crate::relay::{Front, LinkBandwidth, LinkDelay, Place, PlaceNetwork, Relay, RelayConfig};
use crate::settings;
use crate::values;
use crate::vms::{Vm, VmKind, VmListFaults, VmListService, VmListing, VmState};
use crate::worker::Worker;

/// Number of entry VMs per region, 7 in total.
const ENTRIES: [usize; 3] = [2, 2, 3];
const DOMAINS_PER_REGION: usize = 2;
/// Third octet of the network of the platform.
const PLATFORM_NETWORK: u8 = 200;
/// Time in ms after which connections over a cut link are closed. The design does not define it.
const STALL_MS: u64 = 5_000;
/// Rate of each contract in percent of the capacity of a service.
pub(crate) const RATE_PERCENT: u64 = 50;
/// Lag of the VM list in ms.
const VM_LIST_LAG_MS: u64 = 5_000;

/// Addresses of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Address on which the process listens.
    pub real: SocketAddr,
    /// Address on the relay to which clients connect. Without a relay it is the real address.
    pub front: SocketAddr,
}

impl Endpoint {
    /// The front uses `port`, and the process listens on `port` + 10,000.
    fn new(ip: Ipv4Addr, port: u16) -> Self {
        Self { real: (ip, port + 10_000).into(), front: (ip, port).into() }
    }

    /// Returns the relay front for this listener.
    fn relay_front(self, udp: bool) -> Front {
        Front { front: self.front, target: self.real, udp }
    }
}

/// Entry VM and its daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPlan {
    /// Node number of the daemon, starting at 1.
    pub node: u32,
    /// Name in the VM list.
    pub name: String,
    /// Region and failure domain.
    pub place: Place,
    /// Local address of outgoing connections of the daemon.
    pub outgoing: IpAddr,
    /// HTTP listener for callers and operators.
    pub http: Endpoint,
    /// TCP and UDP listener for other daemons.
    pub peer: Endpoint,
}

/// Backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendPlan {
    /// Name in the VM list and in the value of the service.
    pub name: String,
    /// Region and failure domain.
    pub place: Place,
    /// HTTP listener.
    pub http: Endpoint,
}

/// Service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: String,
    /// Typical run time of a request in ms, at least 1.
    pub typical_run_ms: u64,
    /// Maximum deadline in contracts in ms.
    pub max_deadline_ms: u64,
    /// Backend servers of the service.
    pub backends: Vec<BackendPlan>,
}

/// A deployment with all addresses, also the content of `deployment.json`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deployment {
    /// `consortium`, `authority` or `flat`.
    pub name: String,
    /// Second octet of all loopback addresses.
    pub block: u8,
    /// Regions. The platform is in the first one.
    pub regions: Vec<String>,
    /// Customers, each of which has one contract.
    pub customers: Vec<String>,
    /// Rate of each contract in percent of the capacity of a service.
    pub rate_percent: u64,
    /// One-way delay between the failure domains of a region in ms.
    pub domain_delay_ms: u64,
    /// One-way delay between regions in ms.
    pub region_delay_ms: u64,
    /// One-way delay between clients and the failure domains of their region in ms.
    pub client_delay_ms: u64,
    /// Bandwidth from one region to another in kbit/s.
    pub region_kbit: u64,
    /// Configuration of each backend server. Its run time is replaced by the typical run time of the service.
    pub backend: BackendConfig,
    /// Services with their backend servers.
    pub services: Vec<ServicePlan>,
    /// Entry VMs in the order of their node numbers.
    pub entries: Vec<EntryPlan>,
    /// Listener of the key-value service.
    pub kv: Endpoint,
    /// Listener of the VM list.
    pub vms: Endpoint,
    /// Listen address of the control interface of the relay.
    pub relay: SocketAddr,
}

/// Parameters that differ between the deployments.
struct Parameters {
    name: &'static str,
    regions: [&'static str; 3],
    customers: [&'static str; 3],
    region_delay_ms: u64,
    client_delay_ms: u64,
    region_kbit: u64,
    connections: usize,
    /// Name, number of backend servers, typical run time in ms and maximum deadline in ms.
    services: [(&'static str, usize, u64, u64); 2],
}

const CONSORTIUM: Parameters = Parameters {
    name: "consortium",
    regions: ["muscat", "sohar", "salalah"],
    customers: ["muscat-wholesale", "sohar-wholesale", "salalah-wholesale"],
    region_delay_ms: 12,
    client_delay_ms: 1,
    region_kbit: 4_000_000,
    connections: 360,
    services: [("trade-counter", 20, 40, 2_000), ("catalogue", 12, 120, 10_000)],
};

const AUTHORITY: Parameters = Parameters {
    name: "authority",
    regions: ["south-east", "far-north", "central-west"],
    customers: ["coastal-rescue", "wildlife-hospitals", "field-stations"],
    region_delay_ms: 35,
    client_delay_ms: 3,
    region_kbit: 280_000,
    connections: 390,
    services: [("booking-desk", 20, 40, 2_000), ("archive", 16, 150, 10_000)],
};

impl Deployment {
    /// Returns the Consortium deployment.
    ///
    /// ```
    /// let consortium = medlarstair_standins::Deployment::consortium(11);
    /// assert_eq!((consortium.entries.len(), consortium.total_slots()), (7, 96));
    /// ```
    pub fn consortium(block: u8) -> Self {
        Self::new(&CONSORTIUM, block)
    }

    /// Returns the Authority deployment.
    pub fn authority(block: u8) -> Self {
        Self::new(&AUTHORITY, block)
    }

    /// Returns the deployment with the given name, or `None` if it is neither `consortium` nor `authority`.
    pub fn named(name: &str, block: u8) -> Option<Self> {
        match name {
            "consortium" => Some(Self::consortium(block)),
            "authority" => Some(Self::authority(block)),
            _ => None,
        }
    }

    fn new(parameters: &Parameters, block: u8) -> Self {
        let ip = |network: u8, host: usize| Ipv4Addr::new(127, block, network, host as u8);
        let domain = |region: usize, domain: usize| Place {
            region: parameters.regions[region].into(),
            name: format!("{}-{}", parameters.regions[region], domain + 1),
        };
        let mut entries = Vec::new();
        for (region, count) in ENTRIES.into_iter().enumerate() {
            for i in 0..count {
                let node = entries.len() + 1;
                let vm = ip(domain_network(region, i % DOMAINS_PER_REGION), 10 + node);
                entries.push(EntryPlan {
                    node: node as u32,
                    name: format!("n{node}"),
                    place: domain(region, i % DOMAINS_PER_REGION),
                    outgoing: vm.into(),
                    http: Endpoint::new(vm, 8080),
                    peer: Endpoint::new(vm, 7946),
                });
            }
        }
        let mut services = Vec::new();
        for (s, (name, count, typical_run_ms, max_deadline_ms)) in parameters.services.into_iter().enumerate()
        {
            let mut backends = Vec::new();
            for i in 0..count {
                let (region, d) = (i % 3, i / 3 % DOMAINS_PER_REGION);
                let vm = ip(domain_network(region, d), 100 + 50 * s + i);
                backends.push(BackendPlan {
                    name: format!("{name}-{}", i + 1),
                    place: domain(region, d),
                    http: Endpoint::new(vm, 8080),
                });
            }
            services.push(ServicePlan { name: name.into(), typical_run_ms, max_deadline_ms, backends });
        }
        let owned = |names: [&str; 3]| names.map(String::from).to_vec();
        Self {
            name: parameters.name.into(),
            block,
            regions: owned(parameters.regions),
            customers: owned(parameters.customers),
            rate_percent: RATE_PERCENT,
            domain_delay_ms: 1,
            region_delay_ms: parameters.region_delay_ms,
            client_delay_ms: parameters.client_delay_ms,
            region_kbit: parameters.region_kbit,
            backend: BackendConfig {
                slots: 3,
                connections: parameters.connections,
                connect_ms: 1,
                cold_ms: 2_000,
                cold_factor: 3,
                ..BackendConfig::default()
            },
            services,
            entries,
            kv: Endpoint::new(ip(PLATFORM_NETWORK, 1), 2379),
            vms: Endpoint::new(ip(PLATFORM_NETWORK, 2), 2380),
            relay: (ip(PLATFORM_NETWORK, 3), 2381).into(),
        }
    }

    /// Returns the number of slots of all backend servers.
    pub fn total_slots(&self) -> u32 {
        self.backends().count() as u32 * self.backend.slots
    }

    /// Returns the backend servers of all services.
    pub fn backends(&self) -> impl Iterator<Item = &BackendPlan> {
        self.services.iter().flat_map(|service| &service.backends)
    }

    /// Returns the local address of outgoing connections of the clients of a region, or `None` for an unknown region.
    pub fn client_ip(&self, region: &str) -> Option<IpAddr> {
        let place =
            self.places().into_iter().find(|p| p.place.region == region && p.place.name == "clients")?;
        let [a, b, c, _] = place.network.octets();
        Some(Ipv4Addr::new(a, b, c, 1).into())
    }

    /// Returns the platform, and for each region the failure domains `region/region-1` and `region/region-2` and the
    /// place `region/clients`.
    pub fn places(&self) -> Vec<PlaceNetwork> {
        let place = |region: &String, name: String, network: u8| PlaceNetwork {
            place: Place { region: region.clone(), name },
            network: Ipv4Addr::new(127, self.block, network, 0),
        };
        let mut places = vec![place(&self.regions[0], "platform".into(), PLATFORM_NETWORK)];
        for (r, region) in self.regions.iter().enumerate() {
            for d in 0..DOMAINS_PER_REGION {
                places.push(place(region, format!("{region}-{}", d + 1), domain_network(r, d)));
            }
            places.push(place(region, "clients".into(), domain_network(r, 8)));
        }
        places
    }

    /// Returns the relay configuration with all links and fronts.
    pub fn relay_config(&self) -> RelayConfig {
        let places = self.places();
        let mut delays = Vec::new();
        let mut bandwidths = Vec::new();
        for from in places.iter().map(|p| &p.place) {
            for to in places.iter().map(|p| &p.place).filter(|to| *to != from) {
                let involves_clients = from.name == "clients" || to.name == "clients";
                let delay_ms = match (involves_clients, from.region == to.region) {
                    (true, true) => self.client_delay_ms,
                    (true, false) => self.client_delay_ms + self.region_delay_ms,
                    (false, true) => self.domain_delay_ms,
                    (false, false) => self.region_delay_ms,
                };
                delays.push(LinkDelay { from: from.clone(), to: to.clone(), delay_ms });
            }
        }
        for from in &self.regions {
            for to in self.regions.iter().filter(|to| *to != from) {
                bandwidths.push(LinkBandwidth { from: from.clone(), to: to.clone(), kbit: self.region_kbit });
            }
        }
        let mut fronts = vec![self.kv.relay_front(false), self.vms.relay_front(false)];
        for entry in &self.entries {
            fronts.extend([entry.http.relay_front(false), entry.peer.relay_front(true)]);
        }
        fronts.extend(self.backends().map(|backend| backend.http.relay_front(false)));
        RelayConfig { places, delays, bandwidths, fronts, stall_ms: STALL_MS, seed: 1 }
    }

    /// Returns all VMs with the state live.
    pub fn vm_listing(&self) -> VmListing {
        let vm = |name: &String, kind| Vm { name: name.clone(), kind, state: VmState::Live };
        let mut vms: Vec<_> = self.entries.iter().map(|entry| vm(&entry.name, VmKind::Entry)).collect();
        vms.extend(self.backends().map(|backend| vm(&backend.name, VmKind::Backend)));
        VmListing { vms }
    }

    /// Writes `deployment.json` (this value), `kv/<key>.json` for each initial key, and the settings files, peer key and
    /// operator token of the daemons in `settings/`.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written.
    pub fn write(&self, dir: &Path) -> io::Result<()> {
        let mut files = vec![("deployment".to_string(), serde_json::to_value(self)?)];
        for (key, value) in values::initial_entries(self) {
            files.push((format!("kv/{key}"), value));
        }
        for (name, value) in files {
            let path = dir.join(format!("{name}.json"));
            if let Some(parent) = path.parent() {
                std::fs::create_dir_all(parent)?;
            }
            std::fs::write(path, serde_json::to_vec_pretty(&value)?)?;
        }
        settings::write(self, &dir.join("settings"))
    }

    /// Starts all stand-ins with the initial keys in the key-value service. The caller starts the entry daemons.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or a thread cannot be started.
    pub fn start(&self) -> io::Result<RunningDeployment> {
        let (platform, servers, links) = (Worker::start()?, Worker::start()?, Worker::start()?);
        let kv = KvService::start(&platform, self.kv.real)?;
        for (key, value) in values::initial_entries(self) {
            kv.put(&key, &value.to_string());
        }
        let vms = VmListService::start(&platform, self.vms.real, self.vm_listing())?;
        vms.set_faults(VmListFaults { lag_ms: VM_LIST_LAG_MS });
        let mut backends = BTreeMap::new();
        for service in &self.services {
            let config = BackendConfig { run_ms: service.typical_run_ms, ..self.backend.clone() };
            for plan in &service.backends {
                let server = BackendServer::start(&servers, plan.http.real, config.clone())?;
                backends.insert(plan.name.clone(), server);
            }
        }
        let relay = Relay::start(&links, self.relay, self.relay_config())?;
        Ok(RunningDeployment { kv, vms, backends, relay })
    }
}

/// Running stand-ins of a deployment. Dropping the value stops them.
#[derive(Debug)]
pub struct RunningDeployment {
    /// Key-value service of the platform.
    pub kv: KvService,
    /// VM list of the platform.
    pub vms: VmListService,
    /// Backend servers by name.
    pub backends: BTreeMap<String, BackendServer>,
    /// Link relay.
    pub relay: Relay,
}

/// Returns the third octet of the network of a failure domain: 11, 12, 21 and so on. Domain 8 is the network of the
/// clients of the region: 19, 29 and so on.
fn domain_network(region: usize, domain: usize) -> u8 {
    (10 * (region + 1) + domain + 1) as u8
}
