//! The daemons of a deployment.
//!
//! Each daemon keeps an entry in the key-value service under a lease, so that the entry of a daemon that dies is deleted
//! by the service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use medlarstair_state::id::{Domain, Region};
use medlarstair_state::steering::capacity::{Capacity, advertised};
use medlarstair_state::steering::engine::DaemonCounts;
use medlarstair_state::steering::poison::Crash;
use medlarstair_transport::kv::{LeaseId, Precondition, RenewableLeaseStore, StoreError, WriteOutcome};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::adapter::Adapter;
use crate::config::Config;
use crate::core::{Core, Phase};
use crate::eventlog::note_failed_call;

/// Beginning of the keys of daemons.
pub const MEMBER_PREFIX: &str = "medlarstair/daemon/";

/// Time after which the entry of a silent daemon is deleted.
const LEASE_TTL: Duration = Duration::from_millis(3_000);

/// Time between renewals. Two may be lost.
const RENEWAL_PERIOD: Duration = Duration::from_millis(900);

/// Time for an answer to a renewal.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for an answer to a report of crashes. Renewal and report fit into the time for a renewal.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which an answer of the directory may be kept.
pub const LOOKUP_TTL: Duration = Duration::from_secs(1);

/// Most addresses in an answer of the directory.
const LOOKUP_ADDRESSES: usize = 64;

/// A daemon of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Region.
    pub region: Region,
    /// Failure domain.
    pub domain: Domain,
    /// Requests per second that it can forward.
    #[serde(default)]
    pub capacity: Capacity,
    /// Requests under which servers crashed, as the daemon saw it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
}

/// The daemons that are known to live.
#[derive(Debug, Clone)]
pub struct Members {
    own_name: Box<str>,
    own: Member,
    others: BTreeMap<Box<str>, Member>,
}

impl Members {
    /// Only the own daemon.
    pub fn new(cfg: &Config) -> Self {
        let own = Member {
            callers: cfg.client_address,
            region: cfg.region.clone(),
            domain: cfg.domain.clone(),
            capacity: cfg.capacity,
            crashes: Vec::new(),
        };
        Self { own_name: cfg.name.clone(), own, others: BTreeMap::new() }
    }

    /// Takes an entry; `None` if it is gone or unreadable.
    pub fn apply(&mut self, name: &str, member: Option<Member>) {
        match member {
            _ if *name == *self.own_name => {}
            Some(member) => {
                self.others.insert(name.into(), member);
            }
            None => {
                self.others.remove(name);
            }
        }
    }

    /// How many daemons there are, the own one included.
    pub fn counts(&self) -> DaemonCounts {
        let near = self.others.values().filter(|m| m.region == self.own.region);
        let capacities: Vec<Capacity> = std::iter::once(&self.own).chain(near).map(|m| m.capacity).collect();
        let is_named = advertised(&capacities);
        let sharing_load =
            if is_named[0] { is_named.iter().filter(|n| **n).count() } else { capacities.len() };
        DaemonCounts { total: self.others.len() + 1, sharing_load }
    }

    /// The daemons that a caller uses: those of its region that are large enough, else all. `own_ready` tells whether the
    /// own one may be named.
    pub fn lookup(&self, region: Option<&Region>, own_ready: bool) -> Vec<SocketAddr> {
        let own = own_ready.then_some(&self.own);
        let all = || own.into_iter().chain(self.others.values());
        let near: Vec<&Member> = all().filter(|m| region.is_none_or(|r| m.region == *r)).collect();
        let chosen = if near.is_empty() { all().collect() } else { near };
        let capacities: Vec<Capacity> = chosen.iter().map(|m| m.capacity).collect();
        let is_named = advertised(&capacities);
        let kept = chosen.iter().zip(is_named).filter(|(_, is_named)| *is_named).map(|(m, _)| m.callers);
        kept.take(LOOKUP_ADDRESSES).collect()
    }
}

/// Keeps the entry of the own daemon until it stops. `regained` is told when the service answers again.
pub async fn keep_entry<A: Adapter, S: RenewableLeaseStore>(
    core: Rc<Core<A>>,
    store: Rc<S>,
    regained: Rc<Notify>,
) {
    let mut held: Option<Held> = None;
    let mut failing = false;
    while core.phase() == Phase::Serving {
        let renewed = match timeout(RENEWAL_TIMEOUT, renew(&core, &*store, held.as_ref())).await {
            Ok(Ok(renewed)) => {
                held = Some(renewed);
                true
            }
            Ok(Err(_)) | Err(_) => false,
        };
        if renewed && failing {
            slog::info!(core.events.logger(), "key-value service answers again"; "code" => 561);
            regained.notify_waiters();
        }
        if !renewed && !failing {
            slog::warn!(core.events.logger(), "key-value service does not answer"; "code" => 560);
        }
        failing = !renewed;
        tokio::select! {
            () = sleep(RENEWAL_PERIOD) => {}
            () = core.stopping.notified() => {}
        }
    }
    if let Some(held) = held
        && let Err(e) = store.revoke_lease(held.lease).await
    {
        slog::warn!(core.events.logger(), "own entry was not deleted"; "code" => 562, "cause" => %e);
    }
}

/// The own entry as the service holds it.
#[derive(Debug, Clone)]
struct Held {
    lease: LeaseId,
    crashes: Vec<Crash>,
}

/// Renews the lease, or creates it with the entry. The entry is written again if there is a crash to report that it lacks.
async fn renew<A: Adapter, S: RenewableLeaseStore>(
    core: &Core<A>,
    store: &S,
    held: Option<&Held>,
) -> Result<Held, StoreError> {
    let crashes = core.steering.borrow().recent_crashes(core.now());
    if let Some(held) = held
        && store.renew_lease(held.lease).await?
    {
        if crashes.iter().all(|crash| held.crashes.contains(crash)) {
            return Ok(held.clone());
        }
        let written = timeout(REPORT_TIMEOUT, write_entry(core, store, held.lease, crashes)).await;
        let cause = match written {
            Ok(Ok(held)) => return Ok(held),
            Ok(Err(e)) => e,
            Err(e) => StoreError::new(e),
        };
        // The entry lives, so the service is not taken to be away; the report is written with the next renewal.
        note_failed_call(core, &cause);
        return Ok(held.clone());
    }
    let lease = store.grant_lease(LEASE_TTL).await?;
    write_entry(core, store, lease, crashes).await
}

async fn write_entry<A: Adapter, S: RenewableLeaseStore>(
    core: &Core<A>,
    store: &S,
    lease: LeaseId,
    crashes: Vec<Crash>,
) -> Result<Held, StoreError> {
    let key = format!("{MEMBER_PREFIX}{}", core.cfg.name);
    let own = Member { crashes: crashes.clone(), ..core.members.borrow().own.clone() };
    let value = serde_json::to_string(&own).map_err(StoreError::new)?;
    match store.put(&key, &value, Precondition::Any, Some(lease)).await {
        WriteOutcome::Done(_) => Ok(Held { lease, crashes }),
        WriteOutcome::Conflict(_) | WriteOutcome::Rejected | WriteOutcome::Unknown => {
            Err(StoreError::new("the own entry was not written"))
        }
    }
}
