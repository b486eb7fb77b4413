//! Baselines: callers that choose backend servers themselves, without daemons.

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

/// Who steers the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Policy {
    /// The entry daemons.
    Medlarstair,
    /// The caller: a random backend server of its region.
    Random,
    /// The caller: the backend servers of its region in turn.
    RoundRobin,
    /// The caller: the backend server of its region with the lowest polled load.
    LeastLoad,
    /// One queue per service with exact knowledge of free slots; first come, first served, without ranks.
    FirstCome,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 5] =
        [Self::Medlarstair, Self::Random, Self::RoundRobin, Self::LeastLoad, Self::FirstCome];
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let named = Self::ALL.into_iter().find(|policy| policy.to_string() == s);
        named.ok_or_else(|| {
            let names = Self::ALL.map(|policy| policy.to_string()).join(", ");
            format!("the policies are {names}")
        })
    }
}

/// One backend server.
#[derive(Debug)]
pub struct Server {
    /// Its name.
    pub name: Box<str>,
    /// Its region.
    pub region: Box<str>,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where it listens; polls and run logs are read here, so that links do not disturb them.
    pub real: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Load in its last polled report.
    pub reported: AtomicU32,
}

/// The backend servers of one service.
#[derive(Debug)]
pub struct Pool {
    /// The service.
    pub service: Box<str>,
    /// Its backend servers.
    pub servers: Vec<Server>,
    next: AtomicUsize,
    /// Free slots of the first-come queue, served in the order of arrival.
    pub queue: Semaphore,
    own: Mutex<Vec<u32>>,
}

impl Pool {
    /// The pools of a deployment.
    ///
    /// # Errors
    ///
    /// An address is not on the local machine.
    pub fn of(deployment: &Deployment) -> Result<Vec<Self>, LoadError> {
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
                    reported: AtomicU32::new(0),
                });
            }
            let slots = servers.iter().map(|s| s.slots as usize).sum();
            pools.push(Self {
                service: service.name.as_str().into(),
                own: Mutex::new(vec![0; servers.len()]),
                servers,
                next: AtomicUsize::new(0),
                queue: Semaphore::new(slots),
            });
        }
        Ok(pools)
    }

    fn own(&self) -> MutexGuard<'_, Vec<u32>> {
        self.own.lock().expect("no holder of the lock panics")
    }

    /// Chooses a backend server for a caller in `region`. Each pick is ended by [`Pool::end`].
    pub fn pick(&self, policy: Policy, region: &str, rng: &mut impl Rng) -> Option<usize> {
        let everywhere = policy == Policy::FirstCome;
        let eligible = (0..self.servers.len()).filter(|i| everywhere || *self.servers[*i].region == *region);
        let eligible = eligible.collect::<Vec<_>>();
        if eligible.is_empty() {
            return None;
        }
        let start = match policy {
            Policy::RoundRobin => self.next.fetch_add(1, Ordering::Relaxed),
            _ => rng.random_range(0..eligible.len()),
        };
        let rotated = (0..eligible.len()).map(|i| eligible[(start + i) % eligible.len()]);
        let mut own = self.own();
        let picked = match policy {
            Policy::LeastLoad => rotated.min_by_key(|i| self.servers[*i].reported.load(Ordering::Relaxed)),
            Policy::FirstCome => rotated.min_by_key(|i| (own[*i], *self.servers[*i].region != *region)),
            _ => rotated.into_iter().next(),
        }?;
        own[picked] += 1;
        Some(picked)
    }

    /// Ends a pick.
    pub fn end(&self, picked: usize) {
        self.own()[picked] -= 1;
    }
}
