//! Deployments of any number of daemons without a link relay, for measurements of capacity.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use crate::backend::{BackendConfig, BackendServer};
use crate::deployment::{BackendPlan, Deployment, Endpoint, EntryPlan, RATE_PERCENT, ServicePlan};
use crate::kv::KvService;
use crate::relay::Place;
use crate::values;
use crate::vms::VmListService;
use crate::worker::Worker;

/// Addresses used per third octet.
const PER_NETWORK: usize = 200;
/// First third octet of the backend servers.
const BACKEND_NETWORK: usize = 100;
/// Third octet of the platform.
const PLATFORM_NETWORK: usize = 250;

/// Size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct FlatSize {
    /// Entry daemons, at least 2.
    pub daemons: usize,
    /// Failure domains.
    pub domains: usize,
    /// Regions.
    pub regions: usize,
    /// Backend servers of the only service.
    pub backends: usize,
    /// Typical run time of a request in ms.
    pub run_ms: u64,
}

/// Stand-ins of a flat deployment; dropping it stops them.
#[derive(Debug)]
pub struct RunningFlat {
    /// Key-value service.
    pub kv: KvService,
    /// VM list.
    pub vms: VmListService,
    /// Backend servers.
    pub backends: Vec<BackendServer>,
}

fn endpoint(block: u8, network: usize, i: usize, port: u16) -> Endpoint {
    let ip = Ipv4Addr::new(127, block, (network + i / PER_NETWORK) as u8, (1 + i % PER_NETWORK) as u8);
    let real = SocketAddr::from((ip, port));
    Endpoint { real, front: real }
}

/// The place of the `i`-th of anything: domains in turn, and the domains of a region next to each other.
fn place(size: FlatSize, i: usize) -> Place {
    let domain = i % size.domains;
    let region = domain * size.regions / size.domains;
    Place { region: format!("r{}", region + 1), name: format!("d{}", domain + 1) }
}

/// A deployment of that size in `127.<block>.0.0/16`. Fronts are real addresses, so there are no delays.
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

/// Starts the stand-ins of a flat deployment. The entry daemons are the caller's.
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
