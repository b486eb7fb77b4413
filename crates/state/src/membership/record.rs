//! What this daemon knows about one member, and the rules for taking news about it.

use serde::{Deserialize, Serialize};
use std::time::Duration;

use crate::config::Digest;
use crate::time::Timestamp;

use super::message::{CompactHeartbeat, MemberState, boot_tag};

/// Heartbeats by which a member that was considered dead must have advanced to be alive again.
///
/// Gossip about a dead member may still bring the few heartbeats that this daemon missed, at most 5 (one second of
/// spreading). A member that lives has advanced by more than that during the 3 s of silence.
pub(super) const REVIVE_STEPS: u64 = 8;

/// Whether a member is believed to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// It has made progress recently.
    Alive,
    /// No progress for the suspicion time: it gets no loans and no duties.
    Suspect,
    /// No progress for the death time: lookups omit it.
    Dead,
}

/// Times without progress after which a member is suspected and considered dead.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    pub(super) suspect_after: Duration,
    pub(super) dead_after: Duration,
}

#[derive(Debug, Clone)]
pub(super) struct Record {
    /// Whether it is a member of the own domain.
    pub(super) near: bool,
    /// None: not heard from yet.
    pub(super) state: Option<MemberState>,
    /// When this daemon last saw progress, or began to wait for it.
    pub(super) progress_at: Timestamp,
    /// When its incarnation or its leaving was last news to this daemon.
    pub(super) news_at: Option<Timestamp>,
}

/// What became of a beat.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Taken {
    /// It was progress, or no news.
    Known,
    /// The full state is needed first.
    Missing,
}

impl Record {
    pub(super) fn new(now: Timestamp, near: bool) -> Self {
        Self { near, state: None, progress_at: now, news_at: None }
    }

    pub(super) fn liveness(&self, now: Timestamp, limits: Limits) -> Liveness {
        let silent = now.since(self.progress_at);
        if silent >= limits.dead_after {
            Liveness::Dead
        } else if silent >= limits.suspect_after {
            Liveness::Suspect
        } else {
            Liveness::Alive
        }
    }

    /// Takes a full state. `dead` is the present judgement.
    pub(super) fn take_state(&mut self, now: Timestamp, new: &MemberState, dead: bool) {
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
        let needed = if dead { REVIVE_STEPS } else { 1 };
        if new.heartbeat < old.heartbeat.saturating_add(needed) {
            return;
        }
        // Leaving is final for an incarnation.
        let leaving = old.leaving || new.leaving;
        if dead || leaving != old.leaving {
            self.news_at = Some(now);
        }
        *old = MemberState { leaving, ..*new };
        self.progress_at = now;
    }

    fn replace(&mut self, now: Timestamp, state: MemberState) {
        *self = Self { near: self.near, state: Some(state), progress_at: now, news_at: Some(now) };
    }

    /// Takes a beat of a sender whose configuration is `config`.
    pub(super) fn take_beat(
        &mut self,
        now: Timestamp,
        beat: CompactHeartbeat,
        config: &Digest,
        dead: bool,
    ) -> Taken {
        let Some(state) = &mut self.state else { return Taken::Missing };
        if dead || beat.boot_tag() != boot_tag(state.id.boot) {
            return Taken::Missing;
        }
        let advance = beat.low.wrapping_sub((state.heartbeat & 0xff) as u8);
        if advance == 0 || advance > i8::MAX as u8 {
            return Taken::Known;
        }
        state.heartbeat += u64::from(advance);
        if beat.has_senders_config() {
            state.config = *config;
        }
        self.progress_at = now;
        Taken::Known
    }

    /// Whether its incarnation or leaving became known less than `span` ago.
    pub(super) fn is_news(&self, now: Timestamp, span: Duration) -> bool {
        self.news_at.is_some_and(|at| now.since(at) < span)
    }
}
