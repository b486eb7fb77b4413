//! Demand by which the home regions of objects are chosen.
//!
//! Load pattern: the load of a region rises and falls by half within a minute, and at its peak the region is too small
//! for all objects of its clients. Each move of an object to another home makes it cold, so objects that move away at
//! the peak stay away: the demand used here follows a rise within a second and a fall within minutes. This also
//! suppresses the sampling error of a daemon, which observes only its share of the demand.

use std::time::Duration;

use crate::time::Timestamp;

/// Time constant with which the demand follows a higher one.
const RISE_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Time constant with which the demand follows a lower one.
const FALL_TIME_CONSTANT: Duration = Duration::from_secs(30);

/// Demand of a service for slots, smoothed for the choice of home regions.
#[derive(Debug, Clone, Copy, Default)]
pub struct HomeDemand {
    /// Smoothed number of slots in use.
    slots: f64,
    updated_at: Option<Timestamp>,
}

impl HomeDemand {
    /// Updates the smoothed demand with the current number of slots in use.
    ///
    /// ```
    /// use medlarstair_state::steering::home_demand::HomeDemand;
    /// use medlarstair_state::time::Timestamp;
    /// let mut demand = HomeDemand::default();
    /// demand.update(Timestamp::from_millis(0), 10.0);
    /// demand.update(Timestamp::from_millis(1_000), 2.0);
    /// assert!(demand.slots(2.0) > 9.0);
    /// ```
    pub fn update(&mut self, now: Timestamp, current: f64) {
        let Some(updated_at) = self.updated_at.replace(now) else {
            self.slots = current;
            return;
        };
        let time_constant = if current > self.slots { RISE_TIME_CONSTANT } else { FALL_TIME_CONSTANT };
        let elapsed = now.since(updated_at).as_secs_f64() / time_constant.as_secs_f64();
        self.slots = current + (self.slots - current) * (-elapsed).exp();
    }

    /// Number of slots to plan for, at least the `current` number in use.
    pub fn slots(&self, current: f64) -> f64 {
        self.slots.max(current)
    }
}
