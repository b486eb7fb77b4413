//! Conversion between the border types and the types of the decision logic.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use medlarstair_state::blocks::BlockTable;
use medlarstair_state::id::{Backend, Domain, NodeId, Region};
use medlarstair_state::model::{
    BackendSpec, ConfigValue, Contract, DrainScope, Fleet, FleetMember, KbitPerSecond, LinkSpec,
    MAX_RUN_TIME, Percent, RequestsPerSecond, ServiceSpec, ServiceTerms, Slots, Topology,
};

use crate::border::{
    BackendValue, ContractValue, DrainKind, DrainValue, FleetMemberValue, FleetValue, LinkValue,
    ServiceTermsValue, ServiceValue, TopologyValue,
};

/// A value of the key-value service is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{field}: {problem}")]
pub struct ConvertError {
    field: Box<str>,
    problem: Box<str>,
}

impl ConvertError {
    fn new(field: &str, problem: impl ToString) -> Self {
        Self { field: field.into(), problem: problem.to_string().into() }
    }
}

/// Longest accepted contract value list, so that one value cannot exhaust a daemon.
const MAX_LIST: usize = 10_000;

/// Prefix of all configuration keys in the key-value service.
pub const CONFIG_PREFIX: &str = "config/";

/// Parses a value by its key. `Ok(None)` means that the key is not a configuration key.
///
/// # Errors
///
/// [`ConvertError`] names the field and what is wrong with it.
///
/// ```
/// use medlarstair_protocol::convert::parse_value;
/// let json = r#"{"change_id":"c1","links":[]}"#;
/// assert!(parse_value("config/topology", json).unwrap().is_some());
/// assert!(parse_value("config/contract/acme", "{}").is_err());
/// assert!(parse_value("claim/acme/k1", "x").unwrap().is_none());
/// ```
pub fn parse_value(key: &str, value: &str) -> Result<Option<ConfigValue>, ConvertError> {
    let Some(key) = key.strip_prefix(CONFIG_PREFIX) else {
        return Ok(None);
    };
    let (kind, name) = key.split_once('/').unwrap_or((key, ""));
    let value = match kind {
        "contract" => {
            ConfigValue::Contract(named(contract(&json(value)?)?, name, |c| c.customer.to_string())?)
        }
        "service" => ConfigValue::Service(named(service(&json(value)?)?, name, |s| s.name.to_string())?),
        "topology" => ConfigValue::Topology(topology(&json(value)?)?),
        "fleet" => ConfigValue::Fleet(fleet(&json(value)?)?),
        "drain" => ConfigValue::Drain(named(drain(&json(value)?)?, name, drain_name)?),
        "blocks" => ConfigValue::Blocks(blocks(value)?),
        _ => return Ok(None),
    };
    Ok(Some(value))
}

fn json<T: serde::de::DeserializeOwned>(value: &str) -> Result<T, ConvertError> {
    serde_json::from_str(value).map_err(|e| ConvertError::new("value", e))
}

fn named<T>(value: T, name: &str, own_name: impl Fn(&T) -> String) -> Result<T, ConvertError> {
    let own = own_name(&value);
    if own != name {
        return Err(ConvertError::new("name", format!("the value is of {own:?}, the key of {name:?}")));
    }
    Ok(value)
}

/// The end of a drain is the deletion of its key, which names the scope. A value of another scope would stay in force.
fn drain_name(scope: &DrainScope) -> String {
    format!("{}/{}", scope.kind(), scope.name())
}

fn field<T: std::str::FromStr<Err: ToString>>(field: &str, text: &str) -> Result<T, ConvertError> {
    text.parse().map_err(|e: T::Err| ConvertError::new(field, e.to_string()))
}

fn list<A, B>(
    field: &str,
    items: &[A],
    f: impl Fn(&A) -> Result<B, ConvertError>,
) -> Result<Vec<B>, ConvertError> {
    if items.len() > MAX_LIST {
        return Err(ConvertError::new(field, format!("more than {MAX_LIST} items")));
    }
    items.iter().map(f).collect()
}

fn unique<T: Ord>(field: &str, items: impl Iterator<Item = T>) -> Result<(), ConvertError> {
    let mut items = items.collect::<Vec<_>>();
    items.sort();
    if items.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err(ConvertError::new(field, "an entry is listed twice"));
    }
    Ok(())
}

/// Converts a contract.
///
/// # Errors
///
/// [`ConvertError`] for an invalid name, a deadline of zero or above [`MAX_RUN_TIME`] or a service listed twice.
pub fn contract(value: &ContractValue) -> Result<Contract, ConvertError> {
    let services = list("services", &value.services, terms)?;
    unique("services", services.iter().map(|s| &s.service))?;
    Ok(Contract {
        customer: field("customer", &value.customer)?,
        change_id: value.change_id.as_str().into(),
        services,
    })
}

fn terms(value: &ServiceTermsValue) -> Result<ServiceTerms, ConvertError> {
    let max_deadline = Duration::from_millis(value.max_deadline_ms.into());
    if max_deadline.is_zero() || max_deadline > MAX_RUN_TIME {
        return Err(ConvertError::new(
            "max_deadline_ms",
            format!("must be 1 to {}", MAX_RUN_TIME.as_millis()),
        ));
    }
    Ok(ServiceTerms {
        service: field("service", &value.service)?,
        rate: RequestsPerSecond(value.rate),
        shift_cap: RequestsPerSecond(value.shift_cap),
        max_deadline,
    })
}

/// Checks a part of the client blocks.
///
/// # Errors
///
/// [`ConvertError`] names the first line that is not valid.
pub fn blocks(value: &str) -> Result<Box<str>, ConvertError> {
    BlockTable::default().load_part("", value).map_err(|e| ConvertError::new("value", e))?;
    Ok(value.into())
}

/// Converts a service.
///
/// # Errors
///
/// [`ConvertError`] for an invalid name or address, floors above 100 % together or a backend server listed twice.
pub fn service(value: &ServiceValue) -> Result<ServiceSpec, ConvertError> {
    let backends = list("backends", &value.backends, backend)?;
    unique("backends", backends.iter().map(|b| &b.name))?;
    if u16::from(value.standard_floor) + u16::from(value.bulk_floor) > 100 {
        return Err(ConvertError::new("bulk_floor", "the floors exceed 100 % together"));
    }
    if value.typical_run_ms == 0 {
        return Err(ConvertError::new("typical_run_ms", "must be at least 1"));
    }
    Ok(ServiceSpec {
        name: field("name", &value.name)?,
        standard_floor: Percent(value.standard_floor),
        bulk_floor: Percent(value.bulk_floor),
        typical_run: Duration::from_millis(value.typical_run_ms.into()),
        backends,
    })
}

fn backend(value: &BackendValue) -> Result<BackendSpec, ConvertError> {
    Ok(BackendSpec {
        name: field("backends.name", &value.name)?,
        region: field("backends.region", &value.region)?,
        domain: field("backends.domain", &value.domain)?,
        address: field::<SocketAddr>("backends.address", &value.address)?,
        slots: Slots(value.slots),
    })
}

/// Converts the topology.
///
/// # Errors
///
/// [`ConvertError`] for an invalid region name.
pub fn topology(value: &TopologyValue) -> Result<Topology, ConvertError> {
    let links = list("links", &value.links, link)?;
    unique("links", links.iter().map(|l| (&l.from, &l.to)))?;
    Ok(Topology { links })
}

fn link(value: &LinkValue) -> Result<LinkSpec, ConvertError> {
    Ok(LinkSpec {
        from: field::<Region>("links.from", &value.from)?,
        to: field::<Region>("links.to", &value.to)?,
        bandwidth: KbitPerSecond(value.bandwidth),
        delay: Duration::from_millis(value.delay_ms.into()),
    })
}

/// Converts the fleet.
///
/// # Errors
///
/// [`ConvertError`] for an invalid name or address or a node listed twice.
pub fn fleet(value: &FleetValue) -> Result<Fleet, ConvertError> {
    Ok(Fleet {
        members: members("members", &value.members)?,
        previous: members("previous", &value.previous)?,
    })
}

fn members(name: &str, values: &[FleetMemberValue]) -> Result<Vec<FleetMember>, ConvertError> {
    let mut members = list(name, values, member)?;
    members.sort_by_key(|m| m.node);
    unique(name, members.iter().map(|m| m.node))?;
    Ok(members)
}

fn member(value: &FleetMemberValue) -> Result<FleetMember, ConvertError> {
    Ok(FleetMember {
        node: NodeId(value.node),
        region: field("members.region", &value.region)?,
        domain: field("members.domain", &value.domain)?,
        peer_address: field("members.peer_address", &value.peer_address)?,
        http_address: field("members.http_address", &value.http_address)?,
    })
}

/// The border value of a fleet.
pub fn fleet_value(fleet: &Fleet, change_id: &str) -> FleetValue {
    let value = |m: &FleetMember| FleetMemberValue {
        node: m.node.0,
        region: m.region.to_string(),
        domain: m.domain.to_string(),
        peer_address: m.peer_address.to_string(),
        http_address: m.http_address.to_string(),
    };
    FleetValue {
        change_id: change_id.to_owned(),
        members: fleet.members.iter().map(value).collect(),
        previous: fleet.previous.iter().map(value).collect(),
    }
}

/// Converts a drain.
///
/// # Errors
///
/// [`ConvertError`] for an invalid name.
pub fn drain(value: &DrainValue) -> Result<DrainScope, ConvertError> {
    Ok(match value.kind {
        DrainKind::Backend => DrainScope::Backend(field::<Backend>("name", &value.name)?),
        DrainKind::Domain => DrainScope::Domain(field::<Domain>("name", &value.name)?),
        DrainKind::Region => DrainScope::Region(field::<Region>("name", &value.name)?),
    })
}
