//! The requests that wait in the queue of one service.
//!
//! Indexes by server and by time limit keep the cost of a change independent of the number of waiting requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::Backend;
use crate::steering::engine::call::{Call, QueueTicket};
use crate::steering::plan::Priority;
use crate::time::Timestamp;

/// A queued request.
#[derive(Debug, Clone)]
struct QueuedRequest {
    call: Call,
    /// The server that was selected when the request was last checked, and was at capacity.
    awaited_server: Backend,
    /// Deadline until which the request is held.
    hold_until: Timestamp,
}

/// The queue of one service.
#[derive(Debug, Clone, Default)]
pub(super) struct WaitingRequests {
    requests: BTreeMap<QueueTicket, QueuedRequest>,
    by_server: BTreeMap<Backend, BTreeSet<QueueTicket>>,
    by_limit: BTreeSet<(Timestamp, QueueTicket)>,
    by_priority: BTreeMap<Priority, usize>,
}

impl WaitingRequests {
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Numbers of requests of each priority that is at least as urgent as this one.
    pub(super) fn ahead(&self, priority: Priority) -> impl Iterator<Item = (Priority, usize)> {
        self.by_priority.range(..=priority).map(|(priority, count)| (*priority, *count))
    }

    pub(super) fn insert(&mut self, ticket: QueueTicket, call: Call, server: Backend, hold_until: Timestamp) {
        self.by_server.entry(server.clone()).or_default().insert(ticket);
        self.by_limit.insert((hold_until, ticket));
        *self.by_priority.entry(ticket.priority).or_default() += 1;
        self.requests.insert(ticket, QueuedRequest { call, awaited_server: server, hold_until });
    }

    pub(super) fn remove(&mut self, ticket: QueueTicket) -> Option<Call> {
        let queued = self.requests.remove(&ticket)?;
        self.by_limit.remove(&(queued.hold_until, ticket));
        self.remove_from_server(ticket, &queued.awaited_server);
        if let Some(count) = self.by_priority.get_mut(&ticket.priority) {
            *count -= 1;
            if *count == 0 {
                self.by_priority.remove(&ticket.priority);
            }
        }
        Some(queued.call)
    }

    fn remove_from_server(&mut self, ticket: QueueTicket, server: &Backend) {
        let Some(tickets) = self.by_server.get_mut(server) else {
            return;
        };
        tickets.remove(&ticket);
        if tickets.is_empty() {
            self.by_server.remove(server);
        }
    }

    /// Lets a request wait for another server. Returns whether it waited for a different one.
    pub(super) fn set_awaited_server(&mut self, ticket: QueueTicket, server: Backend) -> bool {
        let Some(queued) = self.requests.get_mut(&ticket) else {
            return false;
        };
        if queued.awaited_server == server {
            return false;
        }
        let previous = std::mem::replace(&mut queued.awaited_server, server.clone());
        self.by_server.entry(server).or_default().insert(ticket);
        self.remove_from_server(ticket, &previous);
        true
    }

    pub(super) fn get(&self, ticket: QueueTicket) -> Option<&Call> {
        self.requests.get(&ticket).map(|queued| &queued.call)
    }

    /// Deadline until which a request is held.
    pub(super) fn hold_until(&self, ticket: QueueTicket) -> Option<Timestamp> {
        self.requests.get(&ticket).map(|queued| queued.hold_until)
    }

    /// The first request whose time limit has passed.
    pub(super) fn first_expired(&self, now: Timestamp) -> Option<QueueTicket> {
        self.by_limit.first().filter(|(limit, _)| *limit <= now).map(|(_, ticket)| *ticket)
    }

    /// Servers for which requests wait.
    pub(super) fn awaited_servers(&self) -> impl Iterator<Item = &Backend> {
        self.by_server.keys()
    }

    /// The most urgent request that waits for a server.
    pub(super) fn first_for(&self, server: &Backend) -> Option<QueueTicket> {
        self.by_server.get(server)?.first().copied()
    }
}
