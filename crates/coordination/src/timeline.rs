//! Recent events of this daemon, one part of the timeline over all processes.
//!
//! VMs have no persistent storage, so events are kept in memory. `medlarctl timeline` collects and merges them.

use std::collections::VecDeque;

use medlarstair_protocol::border::TimelineEvent;
use medlarstair_protocol::clock::HybridTime;
use medlarstair_state::id::Incarnation;
use medlarstair_state::node::Notice;

/// Maximum number of events kept.
const MAX_EVENTS: usize = 8_192;

/// Bounded buffer of recent events, oldest first.
#[derive(Debug)]
pub struct Timeline {
    me: Incarnation,
    events: VecDeque<TimelineEvent>,
}

impl Timeline {
    /// Creates an empty timeline of the daemon `me`.
    pub fn new(me: Incarnation) -> Self {
        Self { me, events: VecDeque::new() }
    }

    /// Appends an event. If the buffer is full, the oldest event is dropped.
    pub fn record(&mut self, at: HybridTime, notice: &Notice) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(TimelineEvent {
            wall_ms: at.wall_ms,
            logical: at.logical,
            node: self.me.node.0,
            boot: self.me.boot.0,
            code: notice.code(),
            name: notice.name().to_owned(),
            detail: notice.to_string(),
        });
    }

    /// Returns the events from `since_ms` on, in milliseconds since the Unix epoch, oldest first.
    pub fn since(&self, since_ms: u64) -> Vec<TimelineEvent> {
        self.events.iter().filter(|e| e.wall_ms >= since_ms).cloned().collect()
    }
}
