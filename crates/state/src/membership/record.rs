//! The record of one member and the rules for merging gossip into it.

use serde::{Deserialize, Serialize};
use std::time::Duration;

use crate::config::Digest;
use crate::time::Timestamp;

use super::message::{CompactHeartbeat, MemberState, boot_tag};

/// Number of heartbeats by which a dead member must have advanced to be considered alive again.
///
/// Gossip about a dead member may still contain heartbeats from before its death that this daemon has missed, at most 5
/// because they spread within one second. A live member has advanced by more than that during the 3 s without progress.
pub(super) const REVIVAL_HEARTBEATS: u64 = 8;

/// Assessment by this daemon of whether a member is running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// The heartbeat of the member has advanced recently.
    Alive,
    /// The heartbeat has not advanced for [`suspect_after`](super::MembershipConfig::suspect_after). The member gets no
    /// loans and is neither delegate nor watcher.
    Suspect,
    /// The heartbeat has not advanced for [`dead_after`](super::MembershipConfig::dead_after). Lookups omit the member.
    Dead,
}

/// Timeouts for an advance of a member's heartbeat, after which the member is suspected and considered dead.
#[derive(Debug, Clone, Copy)]
pub(super) struct Timeouts {
    pub(super) suspect_after: Duration,
    pub(super) dead_after: Duration,
}

/// What this daemon knows about one member.
#[derive(Debug, Clone)]
pub(super) struct Record {
    /// Whether the member is in the failure domain of this daemon.
    pub(super) in_own_domain: bool,
    /// The latest known state. `None` if the member has not been heard from.
    pub(super) state: Option<MemberState>,
    /// Time at which this daemon last saw the heartbeat advance, or started to wait for the first one.
    pub(super) progress_at: Timestamp,
    /// Time at which this daemon last learned of a new incarnation, of the revival of a dead member or of a member's
    /// leaving. `None` before the first state.
    pub(super) changed_at: Option<Timestamp>,
}

/// Result of merging a compact heartbeat.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum HeartbeatMerge {
    /// The heartbeat refers to the known incarnation; it was merged, or was not newer.
    StateKnown,
    /// The full state is needed first: the incarnation is unknown or considered dead.
    StateMissing,
}

impl Record {
    pub(super) fn new(now: Timestamp, in_own_domain: bool) -> Self {
        Self { in_own_domain, state: None, progress_at: now, changed_at: None }
    }

    pub(super) fn liveness(&self, now: Timestamp, timeouts: Timeouts) -> Liveness {
        let silent = now.since(self.progress_at);
        if silent >= timeouts.dead_after {
            Liveness::Dead
        } else if silent >= timeouts.suspect_after {
            Liveness::Suspect
        } else {
            Liveness::Alive
        }
    }

    /// Merges a full state. `dead` tells whether the member is currently considered dead.
    pub(super) fn merge_state(&mut self, now: Timestamp, new: &MemberState, dead: bool) {
        let Some(old) = &mut self.state else {
            self.replace(now, *new);
            return;
        };
        if new.id.boot != old.id.boot {
            if new.id.boot > old.id.boot {
                self.replace(now, *new);
            }
            return;
        }
        let needed = if dead { REVIVAL_HEARTBEATS } else { 1 };
        if new.heartbeat < old.heartbeat.saturating_add(needed) {
            return;
        }
        // An incarnation that is leaving does not return to normal operation.
        let leaving = old.leaving || new.leaving;
        if dead || leaving != old.leaving {
            self.changed_at = Some(now);
        }
        *old = MemberState { leaving, ..*new };
        self.progress_at = now;
    }

    /// Starts over with the state of a new incarnation.
    fn replace(&mut self, now: Timestamp, state: MemberState) {
        *self = Self {
            in_own_domain: self.in_own_domain,
            state: Some(state),
            progress_at: now,
            changed_at: Some(now),
        };
    }

    /// Merges a compact heartbeat from a sender whose configuration is `config`.
    pub(super) fn merge_heartbeat(
        &mut self,
        now: Timestamp,
        beat: CompactHeartbeat,
        config: &Digest,
        dead: bool,
    ) -> HeartbeatMerge {
        let Some(state) = &mut self.state else { return HeartbeatMerge::StateMissing };
        if dead || beat.boot_tag() != boot_tag(state.id.boot) {
            return HeartbeatMerge::StateMissing;
        }
        let advance = beat.low.wrapping_sub((state.heartbeat & 0xff) as u8);
        if advance == 0 || advance > i8::MAX as u8 {
            return HeartbeatMerge::StateKnown;
        }
        state.heartbeat += u64::from(advance);
        if beat.has_senders_config() {
            state.config = *config;
        }
        self.progress_at = now;
        HeartbeatMerge::StateKnown
    }

    /// Whether the time since [`Record::changed_at`] is less than `span`.
    pub(super) fn is_recently_changed(&self, now: Timestamp, span: Duration) -> bool {
        self.changed_at.is_some_and(|at| now.since(at) < span)
    }
}
