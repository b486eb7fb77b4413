//! Conversion between the types of the external API and the types of the decision logic.

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

/// Error converting a configuration value; names the invalid field.
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

/// Maximum number of items in a list, so that a single value cannot exhaust the memory of a daemon.
const MAX_LIST_ITEMS: usize = 10_000;

/// Prefix of all configuration keys in the key-value service.
pub const CONFIG_PREFIX: &str = "config/";

/// Parses a configuration value according to its key. `Ok(None)` if the key is not a configuration key.
///
/// # Errors
///
/// [`ConvertError`] for the first invalid field, or if the value is for another name than the key.
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
            ConfigValue::Contract(require_name(contract(&json(value)?)?, name, |c| c.customer.to_string())?)
        }
        "service" => {
            ConfigValue::Service(require_name(service(&json(value)?)?, name, |s| s.name.to_string())?)
        }
        "topology" => ConfigValue::Topology(topology(&json(value)?)?),
        "fleet" => ConfigValue::Fleet(fleet(&json(value)?)?),
        "drain" => ConfigValue::Drain(require_name(drain(&json(value)?)?, name, drain_name)?),
        "blocks" => ConfigValue::Blocks(blocks(value)?),
        _ => return Ok(None),
    };
    Ok(Some(value))
}

fn json<T: serde::de::DeserializeOwned>(value: &str) -> Result<T, ConvertError> {
    serde_json::from_str(value).map_err(|e| ConvertError::new("value", e))
}

fn require_name<T>(value: T, key_name: &str, name_of: impl Fn(&T) -> String) -> Result<T, ConvertError> {
    let value_name = name_of(&value);
    if value_name != key_name {
        return Err(ConvertError::new(
            "name",
            format!("the value is of {value_name:?}, the key of {key_name:?}"),
        ));
    }
    Ok(value)
}

/// Returns the name that the key of a drain must have. A drain is ended by deleting its key; if the value had another
/// scope than the key, that scope would remain drained.
fn drain_name(scope: &DrainScope) -> String {
    format!("{}/{}", scope.kind(), scope.name())
}

fn parse_field<T: std::str::FromStr<Err: ToString>>(field: &str, text: &str) -> Result<T, ConvertError> {
    text.parse().map_err(|e: T::Err| ConvertError::new(field, e.to_string()))
}

fn convert_list<A, B>(
    field: &str,
    items: &[A],
    convert: impl Fn(&A) -> Result<B, ConvertError>,
) -> Result<Vec<B>, ConvertError> {
    if items.len() > MAX_LIST_ITEMS {
        return Err(ConvertError::new(field, format!("more than {MAX_LIST_ITEMS} items")));
    }
    items.iter().map(convert).collect()
}

fn require_unique<T: Ord>(field: &str, items: impl Iterator<Item = T>) -> Result<(), ConvertError> {
    let mut items = items.collect::<Vec<_>>();
    items.sort();
    if items.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err(ConvertError::new(field, "an entry is listed twice"));
    }
    Ok(())
}

/// Converts the contract of a customer.
///
/// # Errors
///
/// [`ConvertError`] for an invalid name, a deadline of zero or above [`MAX_RUN_TIME`] or a service listed twice.
pub fn contract(value: &ContractValue) -> Result<Contract, ConvertError> {
    let services = convert_list("services", &value.services, terms)?;
    require_unique("services", services.iter().map(|s| &s.service))?;
    Ok(Contract {
        customer: parse_field("customer", &value.customer)?,
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
        service: parse_field("service", &value.service)?,
        rate: RequestsPerSecond(value.rate),
        shift_cap: RequestsPerSecond(value.shift_cap),
        max_deadline,
    })
}

/// Validates one part of the table of client address blocks and returns its text.
///
/// # Errors
///
/// [`ConvertError`] for the first invalid line.
pub fn blocks(value: &str) -> Result<Box<str>, ConvertError> {
    BlockTable::default().load_part("", value).map_err(|e| ConvertError::new("value", e))?;
    Ok(value.into())
}

/// Converts a service and its backend servers.
///
/// # Errors
///
/// [`ConvertError`] for an invalid name or address, floors that add up to more than 100 %, a typical run time of zero
/// or a backend server listed twice.
pub fn service(value: &ServiceValue) -> Result<ServiceSpec, ConvertError> {
    let backends = convert_list("backends", &value.backends, backend)?;
    require_unique("backends", backends.iter().map(|b| &b.name))?;
    if u16::from(value.standard_floor) + u16::from(value.bulk_floor) > 100 {
        return Err(ConvertError::new("bulk_floor", "the floors exceed 100 % together"));
    }
    if value.typical_run_ms == 0 {
        return Err(ConvertError::new("typical_run_ms", "must be at least 1"));
    }
    Ok(ServiceSpec {
        name: parse_field("name", &value.name)?,
        standard_floor: Percent(value.standard_floor),
        bulk_floor: Percent(value.bulk_floor),
        typical_run: Duration::from_millis(value.typical_run_ms.into()),
        backends,
    })
}

fn backend(value: &BackendValue) -> Result<BackendSpec, ConvertError> {
    Ok(BackendSpec {
        name: parse_field("backends.name", &value.name)?,
        region: parse_field("backends.region", &value.region)?,
        domain: parse_field("backends.domain", &value.domain)?,
        address: parse_field::<SocketAddr>("backends.address", &value.address)?,
        slots: Slots(value.slots),
    })
}

/// Converts the links between regions.
///
/// # Errors
///
/// [`ConvertError`] for an invalid region name or a link listed twice.
pub fn topology(value: &TopologyValue) -> Result<Topology, ConvertError> {
    let links = convert_list("links", &value.links, link)?;
    require_unique("links", links.iter().map(|l| (&l.from, &l.to)))?;
    Ok(Topology { links })
}

fn link(value: &LinkValue) -> Result<LinkSpec, ConvertError> {
    Ok(LinkSpec {
        from: parse_field::<Region>("links.from", &value.from)?,
        to: parse_field::<Region>("links.to", &value.to)?,
        bandwidth: KbitPerSecond(value.bandwidth),
        delay: Duration::from_millis(value.delay_ms.into()),
    })
}

/// Converts the fleet of daemons; the members are sorted by number.
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
    let mut members = convert_list(name, values, member)?;
    members.sort_by_key(|m| m.node);
    require_unique(name, members.iter().map(|m| m.node))?;
    Ok(members)
}

fn member(value: &FleetMemberValue) -> Result<FleetMember, ConvertError> {
    Ok(FleetMember {
        node: NodeId(value.node),
        region: parse_field("members.region", &value.region)?,
        domain: parse_field("members.domain", &value.domain)?,
        peer_address: parse_field("members.peer_address", &value.peer_address)?,
        http_address: parse_field("members.http_address", &value.http_address)?,
    })
}

/// Converts a fleet to its API value. `change_id` identifies the change that writes the value.
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

/// Converts the scope of a drain.
///
/// # Errors
///
/// [`ConvertError`] for an invalid name.
pub fn drain(value: &DrainValue) -> Result<DrainScope, ConvertError> {
    Ok(match value.kind {
        DrainKind::Backend => DrainScope::Backend(parse_field::<Backend>("name", &value.name)?),
        DrainKind::Domain => DrainScope::Domain(parse_field::<Domain>("name", &value.name)?),
        DrainKind::Region => DrainScope::Region(parse_field::<Region>("name", &value.name)?),
    })
}
