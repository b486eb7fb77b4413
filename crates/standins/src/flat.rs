//! Deployments of any number of daemons without a link relay, for capacity measurements.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use crate::backend::{BackendConfig, BackendServer};
use crate::deployment::{BackendPlan, Deployment, Endpoint, EntryPlan, RATE_PERCENT, ServicePlan};
use crate::kv::KvService;
use crate::relay::Place;
use crate::values;
use crate::vms::VmListService;
use crate::worker::Worker;

/// Host addresses used in each /24 network.
const HOSTS_PER_NETWORK: usize = 200;
/// Third octet of the first network of backend servers.
const BACKEND_NETWORK: usize = 100;
/// Third octet of the network of the platform.
const PLATFORM_NETWORK: usize = 250;

/// Size of a flat deployment.
#[derive(Debug, Clone, Copy)]
pub struct FlatSize {
    /// Number of entry daemons, at least 2.
    pub daemons: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of backend servers of the only service.
    pub backends: usize,
    /// Typical run time of a request in ms, at least 1.
    pub run_ms: u64,
}

/// Running stand-ins of a flat deployment. Dropping the value stops them.
#[derive(Debug)]
pub struct RunningFlat {
    /// Key-value service of the platform.
    pub kv: KvService,
    /// VM list of the platform.
    pub vms: VmListService,
    /// Backend servers in the order of the deployment.
    pub backends: Vec<BackendServer>,
}

fn endpoint(block: u8, network: usize, i: usize, port: u16) -> Endpoint {
    let ip =
        Ipv4Addr::new(127, block, (network + i / HOSTS_PER_NETWORK) as u8, (1 + i % HOSTS_PER_NETWORK) as u8);
    let real = SocketAddr::from((ip, port));
    Endpoint { real, front: real }
}

/// Returns the place of the `i`-th daemon or backend server. Domains are assigned round-robin, and each region has a
/// contiguous range of domains.
fn place(size: FlatSize, i: usize) -> Place {
    let domain = i % size.domains;
    let region = domain * size.regions / size.domains;
    Place { region: format!("r{}", region + 1), name: format!("d{}", domain + 1) }
}

/// Returns a deployment of the given size in `127.<block>.0.0/16`. Clients connect to the processes directly and not
/// through a relay, so links have no delay.
pub fn deployment(size: FlatSize, block: u8) -> Deployment {
    let entries = (0..size.daemons).map(|i| EntryPlan {
        node: i as u32 + 1,
        name: format!("n{}", i + 1),
        place: place(size, i),
        outgoing: endpoint(block, 1, i, 0).real.ip(),
        http: endpoint(block, 1, i, 8080),
        peer: endpoint(block, 1, i, 7946),
    });
    let backends = (0..size.backends).map(|i| BackendPlan {
        name: format!("desk-{}", i + 1),
        place: place(size, i),
        http: endpoint(block, BACKEND_NETWORK, i, 8080),
    });
    let service = ServicePlan {
        name: "desk".into(),
        typical_run_ms: size.run_ms,
        max_deadline_ms: 2_000,
        backends: backends.collect(),
    };
    Deployment {
        name: "flat".into(),
        block,
        regions: (1..=size.regions).map(|r| format!("r{r}")).collect(),
        customers: vec!["acme".into()],
        domain_delay_ms: 0,
        region_delay_ms: 0,
        client_delay_ms: 0,
        region_kbit: 280_000,
        rate_percent: RATE_PERCENT,
        backend: BackendConfig::default(),
        services: vec![service],
        entries: entries.collect(),
        kv: endpoint(block, PLATFORM_NETWORK, 0, 2379),
        vms: endpoint(block, PLATFORM_NETWORK, 1, 2380),
        relay: endpoint(block, PLATFORM_NETWORK, 2, 2381).real,
    }
}

/// Starts the stand-ins of a flat deployment with the initial keys in the key-value service. The caller starts the
/// entry daemons.
///
/// # Errors
///
/// Fails if an address is in use or a thread cannot be started.
pub fn start(deployment: &Deployment) -> io::Result<RunningFlat> {
    let (platform, servers) = (Worker::start()?, Worker::start()?);
    let kv = KvService::start(&platform, deployment.kv.real)?;
    for (key, value) in values::initial_entries(deployment) {
        kv.put(&key, &value.to_string());
    }
    let vms = VmListService::start(&platform, deployment.vms.real, deployment.vm_listing())?;
    let mut backends = Vec::new();
    for service in &deployment.services {
        let config = BackendConfig { run_ms: service.typical_run_ms, ..deployment.backend.clone() };
        for plan in &service.backends {
            backends.push(BackendServer::start(&servers, plan.http.real, config.clone())?);
        }
    }
    Ok(RunningFlat { kv, vms, backends })
}
