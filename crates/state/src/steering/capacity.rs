//! Selection of the daemons that are advertised to clients.
//!
//! The VMs of a deployment differ in size. A few large responses saturate the link of a small VM, and its clients wait
//! for the link. While the larger daemons of a region can carry its load, only these are advertised.
//!
//! Load pattern: many daemons in front of many servers. A daemon learns the load of a server only from the responses to
//! its own requests, so its estimates are as old as the time between two of them. With fewer daemons in use, each
//! observes a larger part of the load, reuses its connections more often, and has a larger part of each shared limit.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Estimated number of requests per second that a daemon can forward.
///
/// ```
/// use medlarstair_state::steering::capacity::Capacity;
/// assert_eq!(Capacity::of_vm(0.5, 200.0), Capacity(500.0));
/// assert_eq!(Capacity::of_vm(0.5, 10.0), Capacity(100.0));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Display, FromStr, Serialize, Deserialize)]
pub struct Capacity(pub f64);

/// CPU time in seconds to forward one request.
const CORE_SECONDS_PER_REQUEST: f64 = 0.001;

/// Traffic of one request on the link of a daemon, in megabits in each direction.
const MEGABITS_PER_REQUEST: f64 = 0.1;

/// Capacity, as a fraction of that of the largest daemon, below which a daemon is held in reserve.
const MIN_FRACTION_OF_LARGEST: f64 = 0.5;

/// Minimum fraction of the capacity of a region that the advertised daemons must have.
const MIN_ADVERTISED_FRACTION: f64 = 0.4;

/// Minimum number of daemons for which the rest of a region is held in reserve, so that the loss of one leaves others.
const MIN_ADVERTISED_DAEMONS: usize = 3;

impl Capacity {
    /// Capacity of a VM with `cores` CPU cores and a link of `link_mbps` megabits per second. The scarcer one is the
    /// limit.
    pub fn of_vm(cores: f64, link_mbps: f64) -> Self {
        Self((cores / CORE_SECONDS_PER_REQUEST).min(link_mbps / MEGABITS_PER_REQUEST))
    }
}

impl Default for Capacity {
    /// Capacity of a VM that does not report its size.
    fn default() -> Self {
        Self(100.0)
    }
}

/// Whether each of the daemons of a region is advertised to clients, in the order of `capacities`.
///
/// Small daemons are held in reserve while enough larger ones are running.
///
/// ```
/// use medlarstair_state::steering::capacity::{Capacity, advertised};
/// let capacities = [500.0, 500.0, 500.0, 100.0].map(Capacity);
/// assert_eq!(advertised(&capacities), [true, true, true, false]);
/// assert_eq!(advertised(&capacities[1..]), [true, true, true]);
/// ```
pub fn advertised(capacities: &[Capacity]) -> Vec<bool> {
    let largest = capacities.iter().map(|c| c.0).fold(0.0, f64::max);
    let total: f64 = capacities.iter().map(|c| c.0).sum();
    let large: Vec<bool> = capacities.iter().map(|c| c.0 >= largest * MIN_FRACTION_OF_LARGEST).collect();
    let large_capacities =
        || capacities.iter().zip(&large).filter(|(_, is_large)| **is_large).map(|(c, _)| c.0);
    if large_capacities().count() >= MIN_ADVERTISED_DAEMONS
        && large_capacities().sum::<f64>() >= total * MIN_ADVERTISED_FRACTION
    {
        return large;
    }
    vec![true; capacities.len()]
}
