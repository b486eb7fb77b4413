//! Monotonic and wall clocks.

use std::time::{SystemTime, UNIX_EPOCH};

use medlarstair_state::time::Timestamp;
use rustix::time::{ClockId, Timespec, clock_gettime};

/// Monotonic clock that includes the time during which the machine was suspended (`CLOCK_BOOTTIME`), so that a loan
/// expires even if its holder was suspended. Copies share the same start.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    start_us: u64,
}

impl BootClock {
    /// Starts a clock at zero.
    ///
    /// ```
    /// use medlarstair_transport::clock::BootClock;
    /// let clock = BootClock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self { start_us: boot_micros() }
    }

    /// Returns the time since [`start`](Self::start).
    pub fn now(&self) -> Timestamp {
        Timestamp(boot_micros() - self.start_us)
    }
}

fn boot_micros() -> u64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    // This clock is never negative.
    tv_sec.unsigned_abs() * 1_000_000 + tv_nsec.unsigned_abs() / 1_000
}

/// Returns the wall clock in milliseconds since the Unix epoch, or zero if it is set to an earlier date.
pub fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
