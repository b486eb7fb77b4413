//! The headroom check of a drain plan.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use futures_util::future::join_all;
use medlarstair_state::id::{Region, Service};
use medlarstair_state::model::{BackendSpec, DrainScope, ServiceSpec};
use medlarstair_transport::backend::BackendClient;

/// Part of the remaining slots, in percent, that the present load may fill.
const MAX_LOAD_PERCENT: u32 = 90;

/// Time for the load report of a backend server. An operator can wait longer than a periodic poll.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether a drain leaves enough headroom.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum DrainCheck {
    /// It does.
    #[display("the remaining slots carry the load")]
    Fits,
    /// It does not.
    #[display(
        "service {service} in region {region}: {running} requests run, and {MAX_LOAD_PERCENT} % of the remaining {slots} slots \
         carry {carried}; drain less, wait for less load, or force the drain"
    )]
    TooSmall {
        /// The service.
        service: Service,
        /// The region.
        region: Region,
        /// Requests running there.
        running: u32,
        /// Slots that would remain.
        slots: u32,
        /// Requests that these carry.
        carried: u32,
    },
    /// The load of a backend server is not known.
    #[display("{unknown} backend servers do not report their load; try again or force the drain")]
    Unknown {
        /// Number of servers.
        unknown: u32,
    },
    /// Nothing matches the plan.
    #[display("no backend server matches the drain; check the name")]
    NoMatch,
}

#[derive(Debug, Default)]
struct RegionLoad {
    running: u32,
    slots: u32,
    is_drained: bool,
}

/// Asks the backend servers for their load and checks whether the remaining ones carry it, region by region.
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

async fn check_service(client: &BackendClient, spec: &ServiceSpec, scope: &DrainScope) -> DrainCheck {
    let ask = |backend: &BackendSpec| client.health(backend.address, REPORT_TIMEOUT);
    let reports = join_all(spec.backends.iter().map(ask)).await;
    let mut regions = BTreeMap::<&Region, RegionLoad>::new();
    let mut unknown = 0;
    for (backend, report) in spec.backends.iter().zip(reports) {
        let load = regions.entry(&backend.region).or_default();
        if scope.covers(backend) {
            load.is_drained = true;
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
    // When a whole region is drained, its load moves to the others.
    let fully_drained = |load: &RegionLoad| load.is_drained && load.slots == 0;
    let total = regions.values().fold((0, 0), |(run, slots), l| (run + l.running, slots + l.slots));
    for (region, load) in &regions {
        let (running, slots) = if fully_drained(load) { total } else { (load.running, load.slots) };
        let carried = slots * MAX_LOAD_PERCENT / 100;
        if load.is_drained && running > carried {
            let (service, region) = (spec.name.clone(), (*region).clone());
            return DrainCheck::TooSmall { service, region, running, slots, carried };
        }
    }
    DrainCheck::Fits
}
