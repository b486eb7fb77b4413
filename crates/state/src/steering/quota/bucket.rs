//! Token bucket of one account at one daemon.
//!
//! A request takes a token when it arrives, so that it is rejected before its body is read, and another one when it is sent.
//! The second count keeps the limit if requests that waited in the queue are sent together.

use crate::time::Timestamp;

/// Tokens of one account for arrivals and for sends, filled at the same rate.
#[derive(Debug, Clone)]
pub struct QuotaBucket {
    arrivals: f64,
    sends: f64,
    updated: Timestamp,
}

impl QuotaBucket {
    /// Creates a bucket that was empty at `since`.
    pub fn new(since: Timestamp) -> Self {
        Self { arrivals: 0.0, sends: 0.0, updated: since }
    }

    /// Adds the tokens that were earned at `rate` per second until `now`, up to `capacity`. Tokens in excess of it are
    /// removed, since the daemon that now has the share may earn them again.
    pub fn fill(&mut self, now: Timestamp, rate: f64, capacity: f64) {
        let earned = now.since(self.updated).as_secs_f64() * rate;
        self.arrivals = (self.arrivals + earned).min(capacity);
        self.sends = (self.sends + earned).min(capacity);
        self.updated = self.updated.max(now);
    }

    /// Takes a token for a request that arrives.
    pub fn take_arrival(&mut self) -> bool {
        take(&mut self.arrivals)
    }

    /// Takes a token for a request that is sent.
    pub fn take_send(&mut self) -> bool {
        take(&mut self.sends)
    }

    /// Returns the token of a request that has not run.
    pub fn refund_arrival(&mut self) {
        self.arrivals += 1.0;
    }

    /// Returns the token of a send that has not run.
    pub fn refund_send(&mut self) {
        self.sends += 1.0;
    }

    /// Number of tokens that are missing for the next arrival.
    pub fn missing(&self) -> f64 {
        (1.0 - self.arrivals).max(0.0)
    }
}

fn take(tokens: &mut f64) -> bool {
    if *tokens < 1.0 {
        return false;
    }
    *tokens -= 1.0;
    true
}
