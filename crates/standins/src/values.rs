//! JSON values of the initial configuration keys of a deployment.
//!
//! The field names are those of the configuration model in the `state` crate. Durations are integers in ms (`*_ms`),
//! rates are in requests/s and bandwidths in kbit/s.

use serde_json::{Value, json};

use crate::deployment::{Deployment, ServicePlan};

/// Change id of all initial values.
const CHANGE_ID: &str = "initial";
/// Minimum share of slot time for standard requests in percent, the default of the design.
const STANDARD_FLOOR: u8 = 10;
/// Minimum share of slot time for bulk requests in percent, the default of the design.
const BULK_FLOOR: u8 = 5;

/// Returns all initial keys with their values.
pub fn initial_entries(deployment: &Deployment) -> Vec<(String, Value)> {
    let mut values =
        vec![("config/topology".into(), topology(deployment)), ("config/fleet".into(), fleet(deployment))];
    for customer in &deployment.customers {
        values.push((format!("config/contract/{customer}"), contract(deployment, customer)));
    }
    for plan in &deployment.services {
        values.push((format!("config/service/{}", plan.name), service(deployment, plan)));
    }
    values
}

/// Returns the value of `contract/<customer>`. The rate per service is `rate_percent` of the capacity of the service,
/// and a quarter of that rate may be shifted between regions.
pub fn contract(deployment: &Deployment, customer: &str) -> Value {
    let mut services = Vec::new();
    for plan in &deployment.services {
        let slots = plan.backends.len() as u64 * u64::from(deployment.backend.slots);
        let rate = slots * 1_000 * deployment.rate_percent / plan.typical_run_ms / 100;
        services.push(json!({
            "service": plan.name,
            "rate": rate,
            "shift_cap": rate / 4,
            "max_deadline_ms": plan.max_deadline_ms,
        }));
    }
    json!({ "change_id": CHANGE_ID, "customer": customer, "services": services })
}

/// Returns the value of `service/<name>`. The addresses of the backend servers are those on the relay.
pub fn service(deployment: &Deployment, plan: &ServicePlan) -> Value {
    let mut backends = Vec::new();
    for backend in &plan.backends {
        backends.push(json!({
            "name": backend.name,
            "region": backend.place.region,
            "domain": backend.place.name,
            "address": backend.http.front,
            "slots": deployment.backend.slots,
        }));
    }
    json!({
        "change_id": CHANGE_ID,
        "name": plan.name,
        "standard_floor": STANDARD_FLOOR,
        "bulk_floor": BULK_FLOOR,
        "typical_run_ms": plan.typical_run_ms,
        "backends": backends,
    })
}

/// Returns the value of `topology`, which has a link for each ordered pair of regions.
pub fn topology(deployment: &Deployment) -> Value {
    let mut links = Vec::new();
    for from in &deployment.regions {
        for to in deployment.regions.iter().filter(|to| *to != from) {
            links.push(json!({
                "from": from,
                "to": to,
                "bandwidth": deployment.region_kbit,
                "delay_ms": deployment.region_delay_ms,
            }));
        }
    }
    json!({ "change_id": CHANGE_ID, "links": links })
}

/// Returns the value of `fleet`, which has every entry daemon with its addresses on the relay.
pub fn fleet(deployment: &Deployment) -> Value {
    let mut members = Vec::new();
    for entry in &deployment.entries {
        members.push(json!({
            "node": entry.node,
            "region": entry.place.region,
            "domain": entry.place.name,
            "peer_address": entry.peer.front,
            "http_address": entry.http.front,
        }));
    }
    json!({ "change_id": CHANGE_ID, "members": members, "previous": [] })
}
