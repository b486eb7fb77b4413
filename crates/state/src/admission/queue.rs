//! Waiting requests of one rank, customers in turn.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::Ticket;
use crate::id::Customer;
use crate::time::Timestamp;

/// Time constant of the decaying sums.
const DECAY: Duration = Duration::from_secs(1);

/// Customers without waiting requests are forgotten beyond this number.
const IDLE_CUSTOMERS: usize = 256;

/// Sum whose terms lose weight exponentially with a time constant of 1 s.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Decaying {
    value: f64,
    at: Timestamp,
}

impl Decaying {
    pub(super) fn get(&self, now: Timestamp) -> f64 {
        self.value * (-now.since(self.at).as_secs_f64() / DECAY.as_secs_f64()).exp()
    }

    pub(super) fn add(&mut self, now: Timestamp, term: f64) {
        *self = Self { value: self.get(now) + term, at: self.at.max(now) };
    }
}

/// Order of service: the round first, then the order of arrival. Round 0 holds requests that were put back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    round: u64,
    sequence: u64,
}

/// A ticket with its limits on waiting.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    /// Reading of the rank's wait clock, in microseconds, at which the wait budget is used up.
    pub(super) clock_end: u64,
    /// Last time at which it may start.
    pub(super) latest_start: Timestamp,
}

#[derive(Debug, Clone, Default)]
struct Lane {
    keys: VecDeque<Key>,
    next_round: u64,
    /// Requests started recently.
    started: Decaying,
}

/// Queue of one rank. Each customer gets one request per round, so that a newcomer waits for at most one
/// request of every other customer.
#[derive(Debug, Clone, Default)]
pub(super) struct RankQueue {
    entries: BTreeMap<Key, Waiting>,
    lanes: BTreeMap<Customer, Lane>,
    by_clock: BTreeSet<(u64, Key)>,
    by_time: BTreeSet<(Timestamp, Key)>,
    round: u64,
    sequence: u64,
}

impl RankQueue {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn round_of_next(&self, customer: &Customer) -> u64 {
        self.lanes.get(customer).map_or(0, |lane| lane.next_round).max(self.round).max(1)
    }

    /// Number of waiting requests that are served before the next one of `customer`.
    pub(super) fn ahead_of_next(&self, customer: &Customer) -> usize {
        let end = Key { round: self.round_of_next(customer), sequence: u64::MAX };
        self.entries.range(..=end).count()
    }

    /// Adds a request as the last of its customer.
    pub(super) fn push(&mut self, waiting: Waiting) -> Key {
        let round = self.round_of_next(&waiting.ticket.customer);
        self.insert(round, waiting)
    }

    /// Adds a request that `pop` returned before all others.
    pub(super) fn push_first(&mut self, now: Timestamp, waiting: Waiting) -> Key {
        if let Some(lane) = self.lanes.get_mut(&waiting.ticket.customer) {
            lane.started.add(now, -1.0);
        }
        self.insert(0, waiting)
    }

    fn insert(&mut self, round: u64, waiting: Waiting) -> Key {
        self.sequence += 1;
        let key = Key { round, sequence: self.sequence };
        let lane = self.lanes.entry(waiting.ticket.customer.clone()).or_default();
        if round == 0 {
            lane.keys.push_front(key);
        } else {
            lane.keys.push_back(key);
            lane.next_round = round + 1;
        }
        self.by_clock.insert((waiting.clock_end, key));
        self.by_time.insert((waiting.latest_start, key));
        self.entries.insert(key, waiting);
        key
    }

    /// Takes out the request to start next.
    pub(super) fn pop(&mut self, now: Timestamp) -> Option<Waiting> {
        let (&key, _) = self.entries.first_key_value()?;
        let waiting = self.unlink(key)?;
        self.round = self.round.max(key.round);
        if let Some(lane) = self.lanes.get_mut(&waiting.ticket.customer) {
            lane.started.add(now, 1.0);
        }
        if self.lanes.len() > IDLE_CUSTOMERS + self.entries.len() {
            self.lanes.retain(|_, lane| !lane.keys.is_empty() || lane.started.get(now) > 0.05);
        }
        Some(waiting)
    }

    fn unlink(&mut self, key: Key) -> Option<Waiting> {
        let waiting = self.entries.remove(&key)?;
        self.by_clock.remove(&(waiting.clock_end, key));
        self.by_time.remove(&(waiting.latest_start, key));
        if let Some(lane) = self.lanes.get_mut(&waiting.ticket.customer) {
            lane.keys.retain(|k| *k != key);
        }
        Some(waiting)
    }

    /// Takes out a request that will not start. The customer keeps the turn if it was its last one.
    pub(super) fn remove(&mut self, key: Key) -> Option<Waiting> {
        let waiting = self.unlink(key)?;
        if let Some(lane) = self.lanes.get_mut(&waiting.ticket.customer)
            && lane.next_round == key.round + 1
        {
            lane.next_round = key.round;
        }
        Some(waiting)
    }

    /// Takes out one request that may no longer start.
    pub(super) fn pop_expired(&mut self, now: Timestamp, clock: u64) -> Option<Waiting> {
        let by_clock = self.by_clock.first().filter(|(end, _)| *end < clock).map(|(_, key)| *key);
        let by_time = || self.by_time.first().filter(|(end, _)| *end < now).map(|(_, key)| *key);
        let key = by_clock.or_else(by_time)?;
        self.remove(key)
    }

    /// The newest request of the customer that holds most of the queue, which may make room for `customer`,
    /// and whether it is served before the next one of `customer`. `None` if `customer` would then hold more
    /// than that one.
    ///
    /// With equal parts the one that started more requests recently yields. Without this rule a queue of one
    /// or two entries would belong to whoever sends most.
    pub(super) fn displaceable(&self, now: Timestamp, customer: &Customer) -> Option<(Key, bool)> {
        let held = |lane: &Lane| (lane.keys.len(), lane.started.get(now));
        let mine = self.lanes.get(customer).map_or((0, 0.0), held);
        let mut most = (0, 0.0);
        let mut holder = None;
        for (other, lane) in &self.lanes {
            if other == customer || lane.keys.is_empty() || held(lane) <= most {
                continue;
            }
            most = held(lane);
            holder = lane.keys.back().copied();
        }
        let yields = most.0 > mine.0 + 1 || (most.0 == mine.0 + 1 && most.1 > mine.1 + 1.0);
        let key = holder.filter(|_| yields)?;
        Some((key, key.round <= self.round_of_next(customer)))
    }

    /// Whether `customer` holds requests here.
    pub(super) fn holds(&self, customer: &Customer) -> bool {
        self.lanes.get(customer).is_some_and(|lane| !lane.keys.is_empty())
    }
}
