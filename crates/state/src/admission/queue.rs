//! Queue of one rank, which serves the customers round-robin.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::Ticket;
use crate::id::Customer;
use crate::time::Timestamp;

/// Time constant of [`DecayingSum`].
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Number of customers without waiting requests above which the state of inactive ones is discarded.
const MAX_IDLE_CUSTOMERS: usize = 256;

/// Sum whose terms decay exponentially with a time constant of 1 s.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingSum {
    value: f64,
    updated: Timestamp,
}

impl DecayingSum {
    pub(super) fn get(&self, now: Timestamp) -> f64 {
        self.value * (-now.since(self.updated).as_secs_f64() / DECAY_TIME_CONSTANT.as_secs_f64()).exp()
    }

    pub(super) fn add(&mut self, now: Timestamp, term: f64) {
        *self = Self { value: self.get(now) + term, updated: self.updated.max(now) };
    }
}

/// Order of service: by round, then by arrival. Round 0 contains the requests that were put back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    round: u64,
    sequence: u64,
}

/// A waiting ticket with the limits on its waiting time.
#[derive(Debug, Clone)]
pub(super) struct QueueEntry {
    pub(super) ticket: Ticket,
    /// Value of the rank's wait clock, in microseconds, at which the wait budget is exhausted.
    pub(super) wait_clock_limit: u64,
    /// Latest time at which the request may start.
    pub(super) latest_start: Timestamp,
}

/// State of one customer in the queue.
#[derive(Debug, Clone, Default)]
struct CustomerState {
    /// Waiting requests in the order of service.
    keys: VecDeque<Key>,
    /// Round of the customer's next request.
    next_round: u64,
    /// Number of recently started requests.
    started: DecayingSum,
}

/// Queue of one rank. Each customer may start one request per round, so the first request of a customer waits for at
/// most one request of every other customer.
#[derive(Debug, Clone, Default)]
pub(super) struct RankQueue {
    entries: BTreeMap<Key, QueueEntry>,
    customers: BTreeMap<Customer, CustomerState>,
    by_clock: BTreeSet<(u64, Key)>,
    by_time: BTreeSet<(Timestamp, Key)>,
    /// Round of the request that was started last.
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

    /// Round in which a new request of `customer` would be served.
    fn round_of_next(&self, customer: &Customer) -> u64 {
        self.customers.get(customer).map_or(0, |state| state.next_round).max(self.round).max(1)
    }

    /// Number of waiting requests that would be served before a new request of `customer`.
    pub(super) fn ahead_of_next(&self, customer: &Customer) -> usize {
        let end = Key { round: self.round_of_next(customer), sequence: u64::MAX };
        self.entries.range(..=end).count()
    }

    /// Adds a request after the other requests of its customer.
    pub(super) fn push(&mut self, waiting: QueueEntry) -> Key {
        let round = self.round_of_next(&waiting.ticket.customer);
        self.insert(round, waiting)
    }

    /// Puts a request that `pop` returned back at the front of the queue.
    pub(super) fn push_front(&mut self, now: Timestamp, waiting: QueueEntry) -> Key {
        if let Some(state) = self.customers.get_mut(&waiting.ticket.customer) {
            state.started.add(now, -1.0);
        }
        self.insert(0, waiting)
    }

    fn insert(&mut self, round: u64, waiting: QueueEntry) -> Key {
        self.sequence += 1;
        let key = Key { round, sequence: self.sequence };
        let state = self.customers.entry(waiting.ticket.customer.clone()).or_default();
        if round == 0 {
            state.keys.push_front(key);
        } else {
            state.keys.push_back(key);
            state.next_round = round + 1;
        }
        self.by_clock.insert((waiting.wait_clock_limit, key));
        self.by_time.insert((waiting.latest_start, key));
        self.entries.insert(key, waiting);
        key
    }

    /// Removes and returns the request to start next.
    pub(super) fn pop(&mut self, now: Timestamp) -> Option<QueueEntry> {
        let (&key, _) = self.entries.first_key_value()?;
        let waiting = self.unlink(key)?;
        self.round = self.round.max(key.round);
        if let Some(state) = self.customers.get_mut(&waiting.ticket.customer) {
            state.started.add(now, 1.0);
        }
        if self.customers.len() > MAX_IDLE_CUSTOMERS + self.entries.len() {
            self.customers.retain(|_, state| !state.keys.is_empty() || state.started.get(now) > 0.05);
        }
        Some(waiting)
    }

    fn unlink(&mut self, key: Key) -> Option<QueueEntry> {
        let waiting = self.entries.remove(&key)?;
        self.by_clock.remove(&(waiting.wait_clock_limit, key));
        self.by_time.remove(&(waiting.latest_start, key));
        if let Some(state) = self.customers.get_mut(&waiting.ticket.customer) {
            state.keys.retain(|k| *k != key);
        }
        Some(waiting)
    }

    /// Removes a request that will not start. If it was the customer's last one, its round becomes available to the
    /// customer's next request.
    pub(super) fn remove(&mut self, key: Key) -> Option<QueueEntry> {
        let waiting = self.unlink(key)?;
        if let Some(state) = self.customers.get_mut(&waiting.ticket.customer)
            && state.next_round == key.round + 1
        {
            state.next_round = key.round;
        }
        Some(waiting)
    }

    /// Removes and returns one request that may no longer start. `clock` is the rank's wait clock in microseconds.
    pub(super) fn pop_expired(&mut self, now: Timestamp, clock: u64) -> Option<QueueEntry> {
        let by_clock = self.by_clock.first().filter(|(end, _)| *end < clock).map(|(_, key)| *key);
        let by_time = || self.by_time.first().filter(|(end, _)| *end < now).map(|(_, key)| *key);
        let key = by_clock.or_else(by_time)?;
        self.remove(key)
    }

    /// Finds the request to displace so that a request of `customer` can be admitted: the newest request of the
    /// customer with the most waiting requests. The flag tells whether it would be served before the new request. `None` if
    /// `customer` would then have more waiting requests than that customer.
    ///
    /// If both would have equal numbers, the customer that started more requests recently is displaced. Without this
    /// rule, the customer that sends most would occupy a queue of one or two entries.
    pub(super) fn displaceable(&self, now: Timestamp, customer: &Customer) -> Option<(Key, bool)> {
        let usage = |state: &CustomerState| (state.keys.len(), state.started.get(now));
        let own_usage = self.customers.get(customer).map_or((0, 0.0), usage);
        let mut max_usage = (0, 0.0);
        let mut newest = None;
        for (other, state) in &self.customers {
            if other == customer || state.keys.is_empty() || usage(state) <= max_usage {
                continue;
            }
            max_usage = usage(state);
            newest = state.keys.back().copied();
        }
        let may_displace = max_usage.0 > own_usage.0 + 1
            || (max_usage.0 == own_usage.0 + 1 && max_usage.1 > own_usage.1 + 1.0);
        let key = newest.filter(|_| may_displace)?;
        Some((key, key.round <= self.round_of_next(customer)))
    }

    /// Whether requests of `customer` are waiting in this queue.
    pub(super) fn has_requests_of(&self, customer: &Customer) -> bool {
        self.customers.get(customer).is_some_and(|state| !state.keys.is_empty())
    }
}
