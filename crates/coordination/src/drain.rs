//! Capacity check before a drain.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use futures_util::future::join_all;
use medlarstair_state::id::{Region, Service};
use medlarstair_state::model::{BackendSpec, DrainScope, ServiceSpec};
use medlarstair_transport::backend::BackendClient;

/// Maximum utilization of the remaining slots, in percent, at the current load.
const MAX_LOAD_PERCENT: u32 = 90;

/// Timeout of a health request to a backend server. Longer than that of the periodic polls, since an operator can
/// wait.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(3);

/// Result of the capacity check of a drain.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum DrainCheck {
    /// The remaining slots are sufficient.
    #[display("the remaining slots carry the load")]
    Fits,
    /// A region would have too few slots left.
    #[display(
        "service {service} in region {region}: {running} requests run, and {MAX_LOAD_PERCENT} % of the remaining \
         {slots} slots carry {carried}; drain less, wait for less load, or force the drain"
    )]
    TooSmall {
        /// Service with too few slots.
        service: Service,
        /// Drained region, or region of the drained servers.
        region: Region,
        /// Requests running in the region, or in all regions if the region is drained as a whole.
        running: u32,
        /// Slots that would remain, counted over the same regions.
        slots: u32,
        /// Requests that these slots can run within the maximum utilization.
        carried: u32,
    },
    /// The load of at least one backend server is not known.
    #[display("{unknown} backend servers do not report their load; try again or force the drain")]
    Unknown {
        /// Number of backend servers that did not report.
        unknown: u32,
    },
    /// The scope matches no backend server.
    #[display("no backend server matches the drain; check the name")]
    NoMatch,
}

/// Load of a region, and the slots that remain after the drain.
#[derive(Debug, Default)]
struct RegionLoad {
    running: u32,
    slots: u32,
    /// Whether the drain covers a backend server of the region.
    has_drained: bool,
}

/// Queries the load of the backend servers and checks, for each region, whether the remaining ones can take it.
pub async fn check_drain(client: &BackendClient, services: &[ServiceSpec], scope: &DrainScope) -> DrainCheck {
    let mut matched = false;
    for spec in services.iter().filter(|s| s.backends.iter().any(|b| scope.covers(b))) {
        matched = true;
        let result = check_service(client, spec, scope).await;
        if result != DrainCheck::Fits {
            return result;
        }
    }
    if matched { DrainCheck::Fits } else { DrainCheck::NoMatch }
}

/// Checks the regions of one service.
async fn check_service(client: &BackendClient, spec: &ServiceSpec, scope: &DrainScope) -> DrainCheck {
    let ask = |backend: &BackendSpec| client.health(backend.address, HEALTH_TIMEOUT);
    let reports = join_all(spec.backends.iter().map(ask)).await;
    let mut regions = BTreeMap::<&Region, RegionLoad>::new();
    let mut unknown = 0;
    for (backend, report) in spec.backends.iter().zip(reports) {
        let load = regions.entry(&backend.region).or_default();
        if scope.covers(backend) {
            load.has_drained = true;
        } else {
            load.slots += backend.slots.0;
        }
        match report {
            Some(report) => load.running += report.in_use,
            None => unknown += 1,
        }
    }
    if unknown > 0 {
        return DrainCheck::Unknown { unknown };
    }
    // The load of a region that is drained as a whole moves to the other regions.
    let fully_drained = |load: &RegionLoad| load.has_drained && load.slots == 0;
    let total = regions.values().fold((0, 0), |(run, slots), l| (run + l.running, slots + l.slots));
    for (region, load) in &regions {
        let (running, slots) = if fully_drained(load) { total } else { (load.running, load.slots) };
        let carried = slots * MAX_LOAD_PERCENT / 100;
        if load.has_drained && running > carried {
            let (service, region) = (spec.name.clone(), (*region).clone());
            return DrainCheck::TooSmall { service, region, running, slots, carried };
        }
    }
    DrainCheck::Fits
}
