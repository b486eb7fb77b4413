//! Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014).
//!
//! Events of all daemons are merged into one timeline. With wall clocks alone, an effect could be ordered before its
//! cause if two clocks differ. Therefore each message carries the sender's hybrid time, and the receiver advances its
//! clock past it.

use serde::{Deserialize, Serialize};

/// Hybrid time; ordered first by its wall part, then by its logical part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HybridTime {
    /// Wall part in milliseconds since the Unix epoch; never less than that of an earlier time of the same clock.
    pub wall_ms: u64,
    /// Logical part, which orders times with the same wall part.
    pub logical: u32,
}

/// Maximum lead of a received time over the local wall clock, in milliseconds. A time further ahead is ignored, so that
/// a daemon with a wrong date does not advance the clocks of all others.
pub const MAX_LEAD_MS: u64 = 60_000;

/// Hybrid logical clock of one daemon.
///
/// ```
/// use medlarstair_protocol::clock::HybridClock;
/// let mut clock = HybridClock::default();
/// let first = clock.now(1_000);
/// let second = clock.now(1_000);
/// assert!(first < second);
/// let received = clock.observe(second, 900);
/// assert!(second < received);
/// ```
#[derive(Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Advances the clock for a local event or a message to send. `wall_ms` is the present wall clock.
    pub fn now(&mut self, wall_ms: u64) -> HybridTime {
        self.advance(wall_ms, HybridTime::default())
    }

    /// Advances the clock after receiving a message sent at `remote`. `wall_ms` is the present wall clock.
    pub fn observe(&mut self, remote: HybridTime, wall_ms: u64) -> HybridTime {
        if remote.wall_ms > wall_ms.saturating_add(MAX_LEAD_MS) {
            return self.now(wall_ms);
        }
        self.advance(wall_ms, remote)
    }

    fn advance(&mut self, wall_ms: u64, remote: HybridTime) -> HybridTime {
        let floor = self.last.max(remote);
        self.last = if wall_ms > floor.wall_ms {
            HybridTime { wall_ms, logical: 0 }
        } else {
            // A faulty daemon may send the maximum counter. Wrapping around would move the clock backwards.
            match floor.logical.checked_add(1) {
                Some(logical) => HybridTime { wall_ms: floor.wall_ms, logical },
                None => HybridTime { wall_ms: floor.wall_ms.saturating_add(1), logical: 0 },
            }
        };
        self.last
    }
}
