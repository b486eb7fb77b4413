//! Bounds the requests per second to a cold server.
//!
//! The bound holds over all daemons. Only the daemons of the server's region use it while it is cold, and each spends
//! an equal part, so no agreement is needed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Window of the bound.
const WINDOW: Duration = Duration::from_millis(1_050);

/// Part of the bound that the daemons of the region plan with. The rest is for daemons whose beliefs differ.
const USABLE: f64 = 0.75;

/// Requests per window of one daemon to one cold server: its part of `per_second`, at least one if the region's daemons
/// are few enough.
///
/// ```
/// use medlarstair_state::steering::warmup::allowance;
/// assert_eq!(allowance(10.0, 2), 3);
/// assert_eq!(allowance(10.0, 20), 0);
/// ```
pub fn allowance(per_second: f64, daemons: usize) -> usize {
    (per_second * USABLE / daemons.max(1) as f64).floor() as usize
}

/// Recent requests of this daemon to one server.
#[derive(Debug, Clone, Default)]
pub struct WarmupWindow {
    sent: VecDeque<Timestamp>,
}

impl WarmupWindow {
    /// Whether one more request fits.
    pub fn allows(&self, now: Timestamp, allowance: usize) -> bool {
        self.sent.iter().filter(|at| now.since(**at) < WINDOW).count() < allowance
    }

    /// Whether the server has got no request yet. Objects that prefer a server which has just joined would otherwise stay
    /// where they are warm, and the server would get none.
    pub fn is_untried(&self) -> bool {
        self.sent.is_empty()
    }

    /// A request was sent. Counted while the server is warm too, since it may turn cold within the window.
    pub fn sent(&mut self, now: Timestamp) {
        self.sent.push_back(now);
        while self.sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.sent.pop_front();
        }
    }
}
