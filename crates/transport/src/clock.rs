//! Clocks of a daemon.

use std::time::{SystemTime, UNIX_EPOCH};

use medlarstair_state::time::Timestamp;
use rustix::time::{ClockId, Timespec, clock_gettime};

/// A clock that also counts the time for which the machine was suspended, so that a loan expires although its holder
/// was paused. Copies share the same start.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    start: u64,
}

impl BootClock {
    /// A clock that starts now.
    ///
    /// ```
    /// use medlarstair_transport::clock::BootClock;
    /// let clock = BootClock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self { start: boot_micros() }
    }

    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp(boot_micros() - self.start)
    }
}

fn boot_micros() -> u64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    // The kernel reports a non-negative time for this clock.
    tv_sec.unsigned_abs() * 1_000_000 + tv_nsec.unsigned_abs() / 1_000
}

/// Wall clock in milliseconds since 1970; zero if it is set to an earlier date.
pub fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
