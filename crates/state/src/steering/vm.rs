//! Limits of a daemon that follow from the memory and the file descriptors of its VM.

use std::str::FromStr;

use derive_more::Display;

/// Memory in bytes for everything that is not held for clients: program, control plane, log.
const BASE_BYTES: u64 = 24_000_000;

/// Fraction of the memory, as a divisor, that the control plane may need on a large VM.
const BASE_DIVISOR: u64 = 8;

/// Fraction of the memory, as a divisor, for connections.
const CONNECTIONS_DIVISOR: u64 = 7;

/// Memory of a client connection with its connection to a server: both buffers of the HTTP library and the state of the
/// request. Idle connections take 13 KiB, and those with a head of 15 KB in 80 headers 89 KiB.
const CONNECTION_BYTES: u64 = 64 << 10;

/// Maximum number of connections for readiness checks, look-ups and metrics. They last for milliseconds.
const CONTROL_CONNECTIONS: usize = 32;

/// File descriptors for those connections, listeners, the key-value service, health checks and the runtime.
const BASE_FDS: usize = 64 + CONTROL_CONNECTIONS;

/// Size in MB, of 1,000,000 bytes. A fraction in a text is dropped.
///
/// ```
/// use medlarstair_state::steering::vm::Megabytes;
/// assert_eq!("112".parse(), Ok(Megabytes(112)));
/// assert_eq!(Megabytes(112).to_string(), "112 MB");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{_0} MB")]
pub struct Megabytes(pub u64);

impl Megabytes {
    /// Returns the size in bytes.
    pub fn bytes(self) -> u64 {
        self.0.saturating_mul(1_000_000)
    }
}

impl FromStr for Megabytes {
    type Err = std::num::ParseFloatError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        // The conversion saturates, and takes what is not a number as zero.
        s.parse::<f64>().map(|mb| Self(mb as u64))
    }
}

/// Resources of the VM on which a daemon runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmResources {
    /// Memory of the VM.
    pub memory: Megabytes,
    /// Maximum number of open file descriptors.
    pub max_fds: usize,
}

impl VmResources {
    /// Smallest memory with which a daemon starts.
    pub const MIN_MEMORY: Megabytes = Megabytes(40);

    /// Smallest number of file descriptors with which a daemon starts.
    pub const MIN_FDS: usize = 160;
}

impl Default for VmResources {
    fn default() -> Self {
        Self { memory: Megabytes(1_024), max_fds: 16_384 }
    }
}

/// Limits on what a daemon holds for clients and backend servers.
///
/// ```
/// use medlarstair_state::steering::vm::{Megabytes, ResourceLimits, VmResources};
/// let limits = ResourceLimits::of_vm(VmResources { memory: Megabytes(112), max_fds: 2_870 });
/// assert!(limits.body_bytes > 64 << 20);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Memory in bytes for bodies of requests and responses.
    pub body_bytes: u64,
    /// Maximum number of open client connections.
    pub client_connections: usize,
    /// Maximum number of open connections for readiness checks, look-ups and metrics.
    pub control_connections: usize,
    /// Maximum number of idle connections to backend servers.
    pub idle_connections: usize,
}

impl ResourceLimits {
    /// Derives the limits from the resources of the VM.
    ///
    /// Each client connection may need one connection to a server, so both get two fifths of the descriptors, and idle
    /// connections to servers get the rest.
    pub fn of_vm(vm: VmResources) -> Self {
        let memory = vm.memory.bytes();
        let base = BASE_BYTES.max(memory / BASE_DIVISOR);
        let connections = memory / CONNECTIONS_DIVISOR;
        let fds = vm.max_fds.saturating_sub(BASE_FDS);
        let by_memory = usize::try_from(connections / CONNECTION_BYTES).unwrap_or(usize::MAX);
        Self {
            body_bytes: memory.saturating_sub(base + connections),
            client_connections: by_memory.min(fds * 2 / 5),
            control_connections: CONTROL_CONNECTIONS,
            idle_connections: fds / 5,
        }
    }
}
