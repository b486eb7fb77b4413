//! Rate limit for requests to a cold server.
//!
//! The limit holds over all daemons. Only the daemons in the region of a server send to it while it is cold, and each
//! uses an equal share of the limit, so they need no coordination.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Length of the sliding window. Longer than the second to which the limit applies.
const WINDOW: Duration = Duration::from_millis(1_050);

/// Fraction of the limit that the daemons of the region share out. The rest is a margin for daemons whose view of the
/// deployment differs.
const USED_FRACTION: f64 = 0.75;

/// Number of requests that one of `daemons` daemons may send to a cold server per window: its part of the limit
/// `per_second`, rounded down. Zero if there are too many daemons for one request each.
///
/// ```
/// use medlarstair_state::steering::warmup::allowance;
/// assert_eq!(allowance(10.0, 2), 3);
/// assert_eq!(allowance(10.0, 20), 0);
/// ```
pub fn allowance(per_second: f64, daemons: usize) -> usize {
    (per_second * USED_FRACTION / daemons.max(1) as f64).floor() as usize
}

/// Requests that this daemon has recently sent to one server.
#[derive(Debug, Clone, Default)]
pub struct WarmupWindow {
    /// Times of the requests within the window, oldest first.
    sent: VecDeque<Timestamp>,
}

impl WarmupWindow {
    /// Whether the allowance permits another request.
    ///
    /// It permits none until a window has passed since the start of the daemon, where timestamps begin. Before, the daemon
    /// neither knows what its previous process sent nor, after a restart of all daemons, how many there are.
    pub fn allows(&self, now: Timestamp, allowance: usize) -> bool {
        if now.since(Timestamp::ZERO) < WINDOW {
            return false;
        }
        self.sent.iter().filter(|at| now.since(**at) < WINDOW).count() < allowance
    }

    /// Whether this daemon has not sent a request to the server yet.
    ///
    /// Used to favor a server that has just joined. Otherwise the objects that rank it first would stay on the servers
    /// that are warm for them, and it would receive no requests.
    pub fn is_untried(&self) -> bool {
        self.sent.is_empty()
    }

    /// Records a request. Requests to a warm server count as well, because it may become cold within the window.
    pub fn record_send(&mut self, now: Timestamp) {
        self.sent.push_back(now);
        while self.sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.sent.pop_front();
        }
    }
}
