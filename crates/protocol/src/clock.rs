//! Hybrid logical clock.
//!
//! Events of all daemons are merged into one timeline. Wall clocks alone would order an effect before its cause when
//! two clocks differ, so each message carries this clock and each receipt advances it (Kulkarni et al., "Logical
//! Physical Clocks", 2014).

use serde::{Deserialize, Serialize};

/// A point on the timeline.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HybridTime {
    /// Milliseconds since 1970, never behind a point that was seen before.
    pub wall_ms: u64,
    /// Orders points with the same wall part.
    pub logical: u32,
}

/// Largest lead in milliseconds over the own wall clock that is taken over from another daemon. A daemon with a
/// wrong date must not pull the clocks of all others along.
pub const MAX_LEAD_MS: u64 = 60_000;

/// The clock of one daemon.
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
    /// The next point for a local event or a message to send.
    pub fn now(&mut self, wall_ms: u64) -> HybridTime {
        self.advance(wall_ms, HybridTime::default())
    }

    /// The next point after the receipt of a message that was sent at `remote`.
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
            // A faulty daemon may send a full counter. Wrapping it would take the clock back.
            match floor.logical.checked_add(1) {
                Some(logical) => HybridTime { wall_ms: floor.wall_ms, logical },
                None => HybridTime { wall_ms: floor.wall_ms.saturating_add(1), logical: 0 },
            }
        };
        self.last
    }
}
