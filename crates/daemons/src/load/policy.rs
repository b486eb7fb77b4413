//! Policies for selecting destinations: the daemons, and baselines that select backend servers without them.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};

use derive_more::Display;
use medlarstair_standins::Deployment;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use super::error::LoadError;

/// How the destinations of requests are selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Policy {
    /// The daemons of the entry VMs select the backend server.
    Medlarstair,
    /// A random backend server in the region of the caller.
    Random,
    /// The backend servers in the region of the caller in turn.
    RoundRobin,
    /// The backend server in the region of the caller with the lowest load at the last poll.
    LeastLoad,
    /// One first-come, first-served queue per service that knows the free slots exactly and ignores ranks.
    FirstCome,
}

impl Policy {
    /// All policies, in the order in which error messages list them.
    pub const ALL: [Self; 5] =
        [Self::Medlarstair, Self::Random, Self::RoundRobin, Self::LeastLoad, Self::FirstCome];
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let named = Self::ALL.into_iter().find(|policy| policy.to_string() == s);
        named.ok_or_else(|| {
            let names = Self::ALL.map(|policy| policy.to_string()).join(", ");
            format!("unknown policy; known policies are {names}")
        })
    }
}

/// Backend server as a destination of requests.
#[derive(Debug)]
pub struct Server {
    /// Name from the deployment.
    pub name: Box<str>,
    /// Region of its VM.
    pub region: Box<str>,
    /// Relay address, to which requests are sent.
    pub front: SocketAddr,
    /// Listen address, used for polls and run logs, so that link faults do not affect them.
    pub real: SocketAddr,
    /// Number of requests that it executes concurrently.
    pub slots: u32,
    /// Slots in use at the last poll; `u32::MAX` if the server did not respond. Set by the monitor.
    pub reported_load: AtomicU32,
}

/// Backend servers of one service.
#[derive(Debug)]
pub struct Pool {
    /// Name of the service.
    pub service: Box<str>,
    /// Backend servers; the pool identifies them by their index.
    pub servers: Vec<Server>,
    /// Start of the next round-robin choice.
    next_index: AtomicUsize,
    /// Free slots of all servers, acquired in order of arrival. Only used by [`Policy::FirstCome`].
    pub free_slots: Semaphore,
    /// Picks that have not been released, by server.
    in_flight: Mutex<Vec<u32>>,
}

impl Pool {
    /// Creates the pools of a deployment.
    ///
    /// # Errors
    ///
    /// An address is not a loopback address.
    pub fn from_deployment(deployment: &Deployment) -> Result<Vec<Self>, LoadError> {
        let mut pools = Vec::new();
        for service in &deployment.services {
            let mut servers = Vec::new();
            for plan in &service.backends {
                super::directory::check_loopback(plan.http.front.ip())?;
                super::directory::check_loopback(plan.http.real.ip())?;
                servers.push(Server {
                    name: plan.name.as_str().into(),
                    region: plan.place.region.as_str().into(),
                    front: plan.http.front,
                    real: plan.http.real,
                    slots: deployment.backend.slots,
                    reported_load: AtomicU32::new(0),
                });
            }
            let slots = servers.iter().map(|s| s.slots as usize).sum();
            pools.push(Self {
                service: service.name.as_str().into(),
                in_flight: Mutex::new(vec![0; servers.len()]),
                servers,
                next_index: AtomicUsize::new(0),
                free_slots: Semaphore::new(slots),
            });
        }
        Ok(pools)
    }

    fn in_flight(&self) -> MutexGuard<'_, Vec<u32>> {
        self.in_flight.lock().expect("no holder of the lock panics")
    }

    /// Selects a backend server for a caller in `region`; `None` if there is none. Each pick must be returned by
    /// [`Pool::release`].
    pub fn pick(&self, policy: Policy, region: &str, rng: &mut impl Rng) -> Option<usize> {
        let any_region = policy == Policy::FirstCome;
        let eligible = (0..self.servers.len()).filter(|i| any_region || *self.servers[*i].region == *region);
        let eligible = eligible.collect::<Vec<_>>();
        if eligible.is_empty() {
            return None;
        }
        let start = match policy {
            Policy::RoundRobin => self.next_index.fetch_add(1, Ordering::Relaxed),
            _ => rng.random_range(0..eligible.len()),
        };
        let rotated = (0..eligible.len()).map(|i| eligible[(start + i) % eligible.len()]);
        let mut in_flight = self.in_flight();
        let server = match policy {
            Policy::LeastLoad => {
                rotated.min_by_key(|i| self.servers[*i].reported_load.load(Ordering::Relaxed))
            }
            Policy::FirstCome => rotated.min_by_key(|i| (in_flight[*i], *self.servers[*i].region != *region)),
            _ => rotated.into_iter().next(),
        }?;
        in_flight[server] += 1;
        Some(server)
    }

    /// Returns a pick.
    pub fn release(&self, server: usize) {
        self.in_flight()[server] -= 1;
    }
}
