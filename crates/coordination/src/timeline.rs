//! Recent events of this daemon, for the timeline over all processes.
//!
//! VMs keep nothing, so events stay in memory; `medlarctl timeline` collects and merges them.

use std::collections::VecDeque;

use medlarstair_protocol::border::TimelineEvent;
use medlarstair_protocol::clock::HybridTime;
use medlarstair_state::id::Incarnation;
use medlarstair_state::node::Notice;

/// Events that are kept.
const EVENTS_MAX: usize = 8_192;

/// Recent events, oldest first.
#[derive(Debug)]
pub struct Timeline {
    me: Incarnation,
    events: VecDeque<TimelineEvent>,
}

impl Timeline {
    /// An empty timeline of `me`.
    pub fn new(me: Incarnation) -> Self {
        Self { me, events: VecDeque::new() }
    }

    /// Adds an event; the oldest one is dropped when there are too many.
    pub fn record(&mut self, at: HybridTime, notice: &Notice) {
        if self.events.len() == EVENTS_MAX {
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

    /// The events from `since_ms` on, oldest first.
    pub fn since(&self, since_ms: u64) -> Vec<TimelineEvent> {
        self.events.iter().filter(|e| e.wall_ms >= since_ms).cloned().collect()
    }
}
