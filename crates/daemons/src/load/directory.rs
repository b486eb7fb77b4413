//! Lookup of the entry VMs for a customer and service.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use awc::Client;
use medlarstair::protocol::border::LookupAnswer;
use rand::{Rng, RngExt};

use super::error::LoadError;

/// Delay after which the next entry VM is asked.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Entry VM listed by a lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Address to which requests are sent.
    pub address: SocketAddr,
    /// Relative share of requests. With 0 the entry VM is used only after the others have failed.
    pub weight: u32,
    /// Prefix of the operation tokens owned by this entry VM.
    pub token_prefix: Box<str>,
}

/// Response to a lookup, valid for a limited time.
#[derive(Debug, Clone)]
pub struct Lookup {
    entries: Vec<Entry>,
    /// End of the validity.
    pub expires: Instant,
}

impl Lookup {
    /// Converts a response received at `now`.
    ///
    /// # Errors
    ///
    /// An address is invalid or not a loopback address.
    pub fn new(answer: &LookupAnswer, now: Instant) -> Result<Self, LoadError> {
        let mut entries = Vec::new();
        for entry in &answer.entries {
            let address =
                entry.address.parse::<SocketAddr>().map_err(|e| LoadError::invalid(e.to_string()))?;
            check_loopback(address.ip())?;
            let token_prefix = entry.token_prefix.as_str().into();
            entries.push(Entry { address, weight: entry.weight, token_prefix });
        }
        Ok(Self { entries, expires: now + Duration::from_millis(answer.ttl_ms.into()) })
    }

    /// Returns the entry VMs in the order in which a request tries them: first one chosen at random by weight, then
    /// the others as listed.
    pub fn order(&self, rng: &mut impl Rng) -> Vec<&Entry> {
        let mut order = self.entries.iter().collect::<Vec<_>>();
        let total = order.iter().map(|e| e.weight).sum::<u32>();
        if total == 0 {
            return order;
        }
        let mut point = rng.random_range(0..total);
        let first = order.iter().position(|e| {
            let found = point < e.weight;
            point = point.saturating_sub(e.weight);
            found
        });
        let first = order.remove(first.unwrap_or(0));
        order.insert(0, first);
        order
    }
}

/// Asks the entry VMs at `addresses` in turn and returns the first valid response; `None` if there is none.
pub async fn fetch_lookup(
    client: &Client,
    addresses: &[SocketAddr],
    customer: &str,
    service: &str,
) -> Option<Lookup> {
    for address in addresses {
        let url = format!("http://{address}/v1/lookup?customer={customer}&service={service}");
        let Ok(mut res) = client.get(url).timeout(LOOKUP_TIMEOUT).send().await else {
            continue;
        };
        let Ok(answer) = res.json::<LookupAnswer>().await else {
            continue;
        };
        if let Ok(lookup) = Lookup::new(&answer, Instant::now()) {
            return Some(lookup);
        }
    }
    None
}

/// Checks that an address is on the local machine. Addresses from files and lookups are checked, because the tool must
/// not send load to other machines.
///
/// # Errors
///
/// The address is outside 127.0.0.0/8.
///
/// ```
/// use medlarstair_daemons::load::directory::check_loopback;
///
/// assert!(check_loopback("127.11.12.3".parse().unwrap()).is_ok());
/// assert!(check_loopback("192.0.2.1".parse().unwrap()).is_err());
/// ```
pub fn check_loopback(ip: IpAddr) -> Result<(), LoadError> {
    match ip {
        IpAddr::V4(v4) if v4.is_loopback() => Ok(()),
        _ => Err(LoadError::NotLoopback(ip)),
    }
}
