//! Division of the leased fraction of one quota by its coordinator.
//!
//! The coordinator counts each share that it granted as outstanding until the lease expires, or until the daemon confirms a
//! later grant. It grants only what is not outstanding, so shares never add up to more than the leased part. Daemons with a
//! small demand get what they ask for first, so one daemon that asks for more takes nothing from the others.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::steering::accounts::Quota;
use crate::steering::quota::message::{Demand, Sequence};
use crate::steering::quota::{DaemonKey, Share};
use crate::time::Timestamp;

/// Rate that a daemon gets beyond its demand, in standard deviations of the number of requests in a second, if they arrive
/// independently of each other.
const HEADROOM_DEVIATIONS: f64 = 2.0;

/// Rate in requests per second that a daemon with any demand gets in addition.
const MIN_HEADROOM: f64 = 1.0;

/// Interval between divisions. Each takes time in proportion to the number of daemons.
const DIVISION_PERIOD: Duration = Duration::from_millis(100);

/// Fraction of the tolerance of a quota for daemons without a floor, each of whose leases allows at least one request at once.
const LEASE_TOLERANCE_FRACTION: f64 = 0.2;

/// A grant whose lease may still be in use.
#[derive(Debug, Clone, Copy)]
struct Outstanding {
    sequence: Sequence,
    share: f64,
    expires_at: Timestamp,
}

/// A daemon that reported demand.
#[derive(Debug, Clone)]
struct Client {
    /// Share that the daemon should have beyond its floor.
    wanted: f64,
    reported_at: Timestamp,
    has_floor: bool,
    outstanding: Vec<Outstanding>,
    /// Share that this daemon adds to the total of outstanding shares.
    counted: f64,
}

impl Client {
    /// Removes the grants that are no longer in use: those that expired, and those before the confirmed one.
    fn prune(&mut self, now: Timestamp, confirmed: Sequence) {
        self.outstanding.retain(|o| o.expires_at > now && o.sequence >= confirmed);
    }

    /// The largest share that the daemon may be using.
    fn max_outstanding(&self) -> f64 {
        self.outstanding.iter().map(|o| o.share).fold(0.0, f64::max)
    }
}

/// What the coordinator needs to know of a quota and of the fleet to answer a report.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// The quota.
    pub quota: Quota,
    /// Fraction of the quota that is leased.
    pub leased_fraction: f64,
    /// Floor of the daemon that reports.
    pub floor: f64,
    /// Duration of a lease.
    pub lease_duration: Duration,
    /// Number of requests by which the quota may be exceeded.
    pub tolerance: f64,
}

/// Division of the leased fraction of one quota.
#[derive(Debug, Clone, Default)]
pub struct Coordinator {
    clients: BTreeMap<DaemonKey, Client>,
    /// Sum of the shares that may be in use.
    total: f64,
    /// Largest share that a daemon gets.
    level: f64,
    divided_at: Option<Timestamp>,
}

impl Coordinator {
    /// Answers the demand of a daemon with the share that it may use from now on.
    pub fn grant(
        &mut self,
        now: Timestamp,
        from: DaemonKey,
        demand: &Demand,
        sequence: Sequence,
        terms: &Terms,
    ) -> Share {
        self.record_demand(now, from, demand, terms);
        if self.divided_at.is_none_or(|at| now.since(at) >= DIVISION_PERIOD) {
            self.divide(now, terms);
        }
        let may_hold = self.may_hold(from, terms);
        let Some(client) = self.clients.get_mut(&from) else {
            return Share::default();
        };
        client.prune(now, demand.held);
        let others = (self.total - client.counted).max(0.0);
        let wanted = if may_hold { client.wanted.min(self.level) } else { 0.0 };
        // Rounded down, so that the sum of the shares is not rounded up.
        let share = (wanted.min(terms.leased_fraction - others).max(0.0) as f32).next_down().max(0.0);
        let expires_at = now + terms.lease_duration;
        client.outstanding.push(Outstanding { sequence, share: f64::from(share), expires_at });
        client.counted = client.max_outstanding();
        self.total = others + client.counted;
        Share(share)
    }

    fn record_demand(&mut self, now: Timestamp, from: DaemonKey, demand: &Demand, terms: &Terms) {
        let per_second = f64::from(demand.per_second);
        let has_demand = per_second > 0.0 && per_second.is_finite();
        let headroom = HEADROOM_DEVIATIONS * per_second.sqrt() + MIN_HEADROOM;
        let rate = if has_demand { per_second + headroom } else { 0.0 };
        let client = self.clients.entry(from).or_insert_with(|| Client {
            wanted: 0.0,
            reported_at: now,
            has_floor: false,
            outstanding: Vec::new(),
            counted: 0.0,
        });
        client.wanted = (rate / terms.quota.rate.0 - terms.floor).clamp(0.0, 1.0);
        client.reported_at = now;
        client.has_floor = terms.floor > 0.0;
    }

    /// Removes daemons without a lease, and computes the level to which the demands can be granted.
    fn divide(&mut self, now: Timestamp, terms: &Terms) {
        self.divided_at = Some(now);
        self.total = 0.0;
        for client in self.clients.values_mut() {
            client.prune(now, Sequence(0));
            client.counted = client.max_outstanding();
            self.total += client.counted;
        }
        self.clients
            .retain(|_, c| !c.outstanding.is_empty() || now.since(c.reported_at) < terms.lease_duration);
        let mut wanted: Vec<f64> = self.clients.values().map(|c| c.wanted).collect();
        wanted.sort_by(f64::total_cmp);
        self.level = level(&wanted, terms.leased_fraction);
    }

    /// Whether the daemon may hold a lease. Each one without a floor can have one request more at once than its share
    /// allows, so their number is limited.
    fn may_hold(&self, from: DaemonKey, terms: &Terms) -> bool {
        if terms.floor > 0.0 {
            return true;
        }
        let limit =
            1.0 + LEASE_TOLERANCE_FRACTION * terms.tolerance + terms.leased_fraction * terms.quota.burst;
        let others = self.clients.iter().filter(|(k, c)| **k != from && !c.has_floor && c.counted > 0.0);
        (others.count() as f64) < limit.floor()
    }

    /// Whether no lease can be in use.
    pub fn is_idle(&self, now: Timestamp) -> bool {
        self.clients.values().flat_map(|c| &c.outstanding).all(|o| o.expires_at <= now)
    }

    /// Sum of the shares that daemons may be using.
    pub fn outstanding(&self, now: Timestamp) -> f64 {
        let in_use = |c: &Client| {
            let active = c.outstanding.iter().filter(|o| o.expires_at > now);
            active.map(|o| o.share).fold(0.0, f64::max)
        };
        self.clients.values().map(in_use).sum()
    }
}

/// The largest level such that the sum of the demands, each limited to the level, is at most `available`. The demands are in
/// ascending order.
fn level(wanted: &[f64], available: f64) -> f64 {
    let mut left = available;
    for (n, demand) in wanted.iter().enumerate() {
        let equal_part = left / (wanted.len() - n) as f64;
        if *demand > equal_part {
            return equal_part;
        }
        left -= demand;
    }
    available
}
