//! Membership of the daemons in a deployment.
//!
//! Each daemon keeps an entry in the key-value service under a lease, so that the service deletes the entry if the daemon
//! fails.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use medlarstair_state::id::{Domain, Era, Region};
use medlarstair_state::steering::capacity::{Capacity, advertised};
use medlarstair_state::steering::engine::DaemonCounts;
use medlarstair_state::steering::poison::Crash;
use medlarstair_state::steering::quota::{DaemonKey, QuotaDaemon};
use medlarstair_transport::kv::{LeaseId, Precondition, RenewableLeaseStore, StoreError, WriteOutcome};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::adapter::Adapter;
use crate::config::Config;
use crate::eventlog::log_store_failure;
use crate::shared::{Phase, Shared};
use crate::store_relay::choose_relay;

/// Prefix of the keys of daemons. The name of the daemon follows.
pub const MEMBER_PREFIX: &str = "medlarstair/daemon/";

/// TTL of the lease under which a daemon keeps its entry. The service deletes the entry when the TTL has passed since the
/// last renewal. Two renewals may time out before one succeeds.
const LEASE_TTL: Duration = Duration::from_millis(4_500);

/// TTL of the lease if the daemons exchange messages, so that most of them renew it rarely.
const RELAYED_LEASE_TTL: Duration = Duration::from_millis(5_000);

/// Interval between renewals of the lease. They also show whether the service responds.
const RENEWAL_PERIOD: Duration = Duration::from_millis(900);

/// Interval between renewals of a daemon whose relay announces that the service responds. Two renewals without a response
/// end 4.65 s after the last one with a response, within [`RELAYED_LEASE_TTL`].
const FOLLOWER_RENEWAL_PERIOD: Duration = Duration::from_millis(2_250);

/// Interval before a failed renewal is repeated. It bounds how late the end of an outage is noticed.
const RENEWAL_RETRY_PERIOD: Duration = Duration::from_millis(300);

/// Timeout for a renewal of the lease, including a report of crashes.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout for a report of crashes. It leaves time for the renewal itself within [`RENEWAL_TIMEOUT`].
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// TTL of the response to a look-up in the caches of clients.
pub const LOOKUP_TTL: Duration = Duration::from_secs(1);

/// Maximum number of addresses in the response to a look-up.
const MAX_LOOKUP_ADDRESSES: usize = 64;

/// Entry of a daemon in the key-value service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Address at which the daemon accepts client requests.
    pub callers: SocketAddr,
    /// Region in which the daemon runs.
    pub region: Region,
    /// Failure domain in which the daemon runs.
    pub domain: Domain,
    /// Requests per second that the daemon can forward. Absent means a default.
    #[serde(default)]
    pub capacity: Capacity,
    /// Address for datagrams of other daemons. Absent if the daemon exchanges none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<SocketAddr>,
    /// Requests during which a backend server crashed, as this daemon observed. Absent means none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// Era of the key-value service in which the entry was written. Zero if the service reports none.
    #[serde(default)]
    pub era: Era,
}

/// This daemon and the others that have an entry in the key-value service.
#[derive(Debug, Clone)]
pub struct Members {
    local_name: Box<str>,
    local: Member,
    others: BTreeMap<Box<str>, Member>,
    /// Addresses of the others for quota messages.
    peer_addresses: BTreeMap<DaemonKey, SocketAddr>,
}

impl Members {
    /// Creates a membership of this daemon alone.
    pub fn new(cfg: &Config) -> Self {
        let local = Member {
            callers: cfg.client_address,
            region: cfg.region.clone(),
            domain: cfg.domain.clone(),
            capacity: cfg.capacity,
            peers: cfg.peer_address,
            crashes: Vec::new(),
            era: Era::default(),
        };
        Self { local_name: cfg.name.clone(), local, others: BTreeMap::new(), peer_addresses: BTreeMap::new() }
    }

    /// Applies an entry. `member` is `None` if the entry was deleted or is malformed. The entry of this daemon is ignored.
    pub fn apply(&mut self, name: &str, member: Option<Member>) {
        if *name != *self.local_name {
            let key = DaemonKey::from_name(name);
            match member.as_ref().and_then(|m| m.peers) {
                Some(address) => self.peer_addresses.insert(key, address),
                None => self.peer_addresses.remove(&key),
            };
        }
        match member {
            _ if *name == *self.local_name => {}
            Some(member) => {
                self.others.insert(name.into(), member);
            }
            None => {
                self.others.remove(name);
            }
        }
    }

    /// Whether this daemon watches the key-value service for its failure domain, or exchanges no messages.
    pub fn is_relay(&self) -> bool {
        self.local.peers.is_none() || self.relay_of(&self.local.domain) == Some(&*self.local_name)
    }

    /// Name of the daemon that watches the key-value service for a failure domain. `None` if no daemon there exchanges
    /// messages.
    fn relay_of(&self, domain: &Domain) -> Option<&str> {
        let in_domain = self.all().filter(|(_, m)| m.domain == *domain && m.peers.is_some());
        choose_relay(in_domain.map(|(name, _)| name))
    }

    /// All daemons with their names.
    fn all(&self) -> impl Iterator<Item = (&str, &Member)> {
        let others = self.others.iter().map(|(name, member)| (&**name, member));
        others.chain([(&*self.local_name, &self.local)])
    }

    /// Addresses to which this daemon announces changes if it is a relay: those of its failure domain, and the relays of the
    /// other failure domains of the region.
    pub fn followers(&self) -> Vec<SocketAddr> {
        let domains: BTreeSet<&Domain> =
            self.others.values().filter(|m| m.region == self.local.region).map(|m| &m.domain).collect();
        let relays: Vec<&str> = domains.iter().filter_map(|domain| self.relay_of(domain)).collect();
        let receives = |name: &str, member: &Member| {
            member.domain == self.local.domain
                || (member.region == self.local.region && relays.contains(&name))
        };
        self.others.iter().filter(|(name, m)| receives(name, m)).filter_map(|(_, m)| m.peers).collect()
    }

    /// Failure domain of the daemon of this region with a given address for datagrams. `None` if there is none.
    pub fn domain_of_peer(&self, address: SocketAddr) -> Option<&Domain> {
        let in_region = self.others.values().find(|m| m.peers == Some(address));
        in_region.filter(|m| m.region == self.local.region).map(|m| &m.domain)
    }

    /// Failure domain of this daemon.
    pub fn domain(&self) -> &Domain {
        &self.local.domain
    }

    /// Counts the daemons, this one included: all of them, and those that share the load of this daemon's region.
    pub fn counts(&self) -> DaemonCounts {
        let in_region = self.others.values().filter(|m| m.region == self.local.region);
        let capacities: Vec<Capacity> =
            std::iter::once(&self.local).chain(in_region).map(|m| m.capacity).collect();
        let is_advertised = advertised(&capacities);
        let sharing_load =
            if is_advertised[0] { is_advertised.iter().filter(|n| **n).count() } else { capacities.len() };
        DaemonCounts { total: self.others.len() + 1, sharing_load }
    }

    /// Describes this daemon and the others for the division of quotas.
    pub fn quota_daemons(&self) -> (QuotaDaemon, Vec<QuotaDaemon>) {
        let mut regions: BTreeMap<&Region, Vec<(&str, &Member)>> = BTreeMap::new();
        regions.entry(&self.local.region).or_default().push((&self.local_name, &self.local));
        for (name, member) in &self.others {
            regions.entry(&member.region).or_default().push((name, member));
        }
        let own_key = DaemonKey::from_name(&self.local_name);
        let mut own = QuotaDaemon { key: own_key, advertised: true, reachable: self.local.peers.is_some() };
        let mut others = Vec::with_capacity(self.others.len());
        for members in regions.values() {
            let capacities: Vec<Capacity> = members.iter().map(|(_, m)| m.capacity).collect();
            for ((name, member), is_advertised) in members.iter().zip(advertised(&capacities)) {
                let key = DaemonKey::from_name(name);
                let daemon =
                    QuotaDaemon { key, advertised: is_advertised, reachable: member.peers.is_some() };
                if key == own_key {
                    own = daemon;
                } else {
                    others.push(daemon);
                }
            }
        }
        (own, others)
    }

    /// Address at which another daemon receives quota messages. `None` if it is not listed or receives none.
    pub fn peer_address(&self, key: DaemonKey) -> Option<SocketAddr> {
        self.peer_addresses.get(&key).copied()
    }

    /// Addresses of the daemons that a client should use. These are the daemons of `region` or, if it has none, of all
    /// regions, without those that are held in reserve because of their small capacity. `local_ready` tells whether this
    /// daemon may be included.
    pub fn lookup(&self, region: Option<&Region>, local_ready: bool) -> Vec<SocketAddr> {
        let local = local_ready.then_some(&self.local);
        let all = || local.into_iter().chain(self.others.values());
        let in_region: Vec<&Member> = all().filter(|m| region.is_none_or(|r| m.region == *r)).collect();
        let candidates = if in_region.is_empty() { all().collect() } else { in_region };
        let capacities: Vec<Capacity> = candidates.iter().map(|m| m.capacity).collect();
        let is_advertised = advertised(&capacities);
        let kept = candidates
            .iter()
            .zip(is_advertised)
            .filter(|(_, is_advertised)| *is_advertised)
            .map(|(m, _)| m.callers);
        kept.take(MAX_LOOKUP_ADDRESSES).collect()
    }
}

/// Maintains the entry of this daemon until a graceful shutdown begins, and then deletes it. `store_recovered` is notified
/// when the service responds again after an outage.
pub async fn maintain_registration<A: Adapter, S: RenewableLeaseStore>(
    shared: Rc<Shared<A>>,
    store: Rc<S>,
    store_recovered: Rc<Notify>,
) {
    let mut registration: Option<Registration> = None;
    let mut failing = false;
    let mut era = store.era();
    while shared.phase() == Phase::Serving {
        // Created before the renewal, so that a shutdown that begins during it is not missed.
        let shutdown_started = shared.shutdown_started.notified();
        let store_restored = shared.store_restored.notified();
        let called_at = shared.now();
        let result = timeout(RENEWAL_TIMEOUT, renew(&shared, &*store, registration.as_ref())).await;
        let renewed = match result.map_err(StoreError::new).flatten() {
            Ok(renewed) => {
                registration = Some(renewed);
                true
            }
            Err(e) => {
                log_store_failure(&shared, &e);
                false
            }
        };
        if renewed {
            shared.quotas.borrow_mut().record_registration(called_at);
            shared.store_outage.borrow_mut().record_response(shared.now());
        } else {
            shared.store_outage.borrow_mut().record_failure();
        }
        let known_era = std::mem::replace(&mut era, store.era());
        if known_era != era && known_era != Era::default() {
            // A pending watch may wait for revisions that the restored service does not have.
            store_recovered.notify_waiters();
        }
        if renewed && failing {
            slog::info!(shared.events.logger(), "key-value service answers again"; "code" => 561);
            store_recovered.notify_waiters();
        }
        if !renewed && !failing {
            slog::warn!(shared.events.logger(), "key-value service does not answer"; "code" => 560);
        }
        failing = !renewed;
        tokio::select! {
            () = wait_for_renewal(&shared, registration.as_ref(), renewed) => {}
            () = shutdown_started => {}
            () = store_restored => {}
        }
    }
    // The restored service may have given the number of an earlier era's lease to another daemon.
    if let Some(registration) = registration.filter(|r| r.era == store.era())
        && let Err(e) = store.revoke_lease(registration.lease).await
    {
        slog::warn!(shared.events.logger(), "own entry was not deleted"; "code" => 562, "cause" => %e);
    }
}

/// Waits until the next renewal is due. A daemon whose relay announces that the service responds renews rarely, unless it has a
/// crash to report.
async fn wait_for_renewal<A: Adapter>(
    shared: &Shared<A>,
    registration: Option<&Registration>,
    renewed: bool,
) {
    if !renewed {
        return sleep(RENEWAL_RETRY_PERIOD).await;
    }
    let mut waited = Duration::ZERO;
    while waited < FOLLOWER_RENEWAL_PERIOD {
        let step = RENEWAL_PERIOD.min(FOLLOWER_RENEWAL_PERIOD - waited);
        sleep(step).await;
        waited += step;
        if !shared.follows_relay() || registration.is_none_or(|r| r.lacks_crash(shared)) {
            return;
        }
    }
}

/// The entry of this daemon as it was last written.
#[derive(Debug, Clone)]
struct Registration {
    lease: LeaseId,
    /// Era in which the lease was granted.
    era: Era,
    crashes: Vec<Crash>,
}

impl Registration {
    /// Whether a crash is to be reported that the entry lacks.
    fn lacks_crash<A: Adapter>(&self, shared: &Shared<A>) -> bool {
        let crashes = shared.steering.borrow().recent_crashes(shared.now());
        crashes.iter().any(|crash| !self.crashes.contains(crash))
    }
}

/// Renews the lease, or creates a lease and the entry if there is none. The entry is rewritten if it lacks a crash that is
/// to be reported.
async fn renew<A: Adapter, S: RenewableLeaseStore>(
    shared: &Shared<A>,
    store: &S,
    registration: Option<&Registration>,
) -> Result<Registration, StoreError> {
    let crashes = shared.steering.borrow().recent_crashes(shared.now());
    if let Some(registration) = registration.filter(|r| r.era == store.era())
        && renew_lease(shared, store, registration.lease).await?
        && registration.era == store.era()
    {
        if !registration.lacks_crash(shared) {
            return Ok(registration.clone());
        }
        let written =
            timeout(REPORT_TIMEOUT, write_registration(shared, store, registration.lease, crashes)).await;
        let cause = match written {
            Ok(Ok(registration)) => return Ok(registration),
            Ok(Err(e)) => e,
            Err(e) => StoreError::new(e),
        };
        // The lease was renewed, so this is not an outage of the service. The next renewal retries the report.
        log_store_failure(shared, &cause);
        return Ok(registration.clone());
    }
    let ttl = if shared.cfg.peer_address.is_some() { RELAYED_LEASE_TTL } else { LEASE_TTL };
    let granted = store.grant_lease(ttl).await;
    count_call(shared, "grant", granted.is_ok());
    write_registration(shared, store, granted?, crashes).await
}

async fn renew_lease<A: Adapter, S: RenewableLeaseStore>(
    shared: &Shared<A>,
    store: &S,
    lease: LeaseId,
) -> Result<bool, StoreError> {
    let renewed = store.renew_lease(lease).await;
    count_call(shared, "renew", renewed.is_ok());
    renewed
}

/// Counts a call that concerns the own entry.
fn count_call<A: Adapter>(shared: &Shared<A>, kind: &str, succeeded: bool) {
    let result = if succeeded { "done" } else { "failed" };
    shared.metrics.store_calls.with_label_values(&[kind, result]).inc();
}

/// Writes the entry of this daemon with the crashes under the lease.
async fn write_registration<A: Adapter, S: RenewableLeaseStore>(
    shared: &Shared<A>,
    store: &S,
    lease: LeaseId,
    crashes: Vec<Crash>,
) -> Result<Registration, StoreError> {
    let (key, era) = (format!("{MEMBER_PREFIX}{}", shared.cfg.name), store.era());
    let local = Member { crashes: crashes.clone(), era, ..shared.members.borrow().local.clone() };
    let value = serde_json::to_string(&local).map_err(StoreError::new)?;
    let outcome = store.put(&key, &value, Precondition::Any, Some(lease)).await;
    count_call(shared, "put", matches!(outcome, WriteOutcome::Done(_)));
    match outcome {
        WriteOutcome::Done(_) => Ok(Registration { lease, era, crashes }),
        WriteOutcome::Conflict(_) | WriteOutcome::Rejected | WriteOutcome::Unknown => {
            Err(StoreError::new("the entry of this daemon was not written"))
        }
    }
}
