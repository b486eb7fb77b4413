//! Planned stop of this daemon: it leaves the lookups, finishes its requests and hands its operation table over.

use std::time::Duration;

use crate::id::NodeId;
use crate::node::{Effect, LOOKUP_TTL, Node, Notice, PeerMessage};
use crate::operation::{HandoverTable, ImportProgress};
use crate::routing::Policy;
use crate::time::Timestamp;

/// Grace period in which a leaving daemon still takes requests: callers may cache a lookup for [`LOOKUP_TTL`], and it
/// may have been answered by a daemon that learned of the leave up to a second late.
pub const LEAVING_GRACE_PERIOD: Duration = Duration::from_secs(LOOKUP_TTL.as_secs() + 1);

/// Interval between two attempts to hand over the operation table.
const HANDOVER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of the handover, after which the daemon exits without it. Its operations then get an unknown outcome when
/// they are resent.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Size in bytes of the parts into which the operation table is split. Each part must fit in one frame.
const HANDOVER_PART_BYTES: usize = 512 << 10;

/// Number of times that the successor is announced, since datagrams can be lost.
const ANNOUNCEMENT_COUNT: u8 = 5;

/// Phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopPhase {
    /// No stop is planned.
    Serving,
    /// Lookups no longer name this daemon; callers with a cached lookup are still served.
    Leaving { until: Timestamp },
    /// New requests are refused; running ones are finished.
    Finishing,
    /// The operation table is being sent to a successor.
    HandingOver { since: Timestamp, next_attempt: Timestamp },
    /// The successor is being announced to the other daemons.
    Announcing { successor: NodeId, remaining: u8 },
    /// The stop is complete.
    Ended,
}

impl StopPhase {
    /// Whether new requests and loan requests are refused in this phase.
    pub(super) fn refuses_requests(self) -> bool {
        !matches!(self, Self::Serving | Self::Leaving { .. })
    }
}

impl<P: Policy + Default> Node<P> {
    /// Whether a planned stop is in progress. Responses then ask callers to close their connections.
    pub fn is_leaving(&self) -> bool {
        self.stop != StopPhase::Serving
    }

    /// Begins a planned stop. Has no effect if one is in progress.
    pub(super) fn on_stop(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.stop != StopPhase::Serving {
            return;
        }
        self.membership.set_leaving();
        self.stop = StopPhase::Leaving { until: now + LEAVING_GRACE_PERIOD };
        out.push(Effect::Notice(Notice::StopBegan));
    }

    /// Performs the work of the current phase, and enters the next phase when its condition is met.
    pub(super) fn advance_stop(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        match self.stop {
            StopPhase::Serving | StopPhase::Ended => {}
            StopPhase::Leaving { until } => {
                if now >= until {
                    self.operations.begin_stop();
                    self.stop = StopPhase::Finishing;
                }
            }
            StopPhase::Finishing => {
                if self.requests.is_empty() {
                    self.stop = StopPhase::HandingOver { since: now, next_attempt: now };
                }
            }
            StopPhase::HandingOver { since, next_attempt } => {
                self.advance_handover(now, since, next_attempt, out)
            }
            StopPhase::Announcing { successor, remaining } => {
                self.announce_successor(successor, remaining, out)
            }
        }
    }

    /// Sends the operation table to a successor, repeatedly until it is acknowledged. Ends the stop without a handover
    /// if there is no successor or the timeout has passed.
    fn advance_handover(
        &mut self,
        now: Timestamp,
        since: Timestamp,
        next_attempt: Timestamp,
        out: &mut Vec<Effect>,
    ) {
        if now.since(since) >= HANDOVER_TIMEOUT {
            return self.finish_stop(out);
        }
        if now < next_attempt {
            return;
        }
        let Some(to) = self.choose_successor(now) else {
            return self.finish_stop(out);
        };
        self.stop = StopPhase::HandingOver { since, next_attempt: now + HANDOVER_RETRY_INTERVAL };
        let Some(successor) = self.membership.member_state(to).map(|m| m.id) else {
            return;
        };
        match self.operations.export(now, self.current_minute(now), successor) {
            Some(table) => {
                self.handed_over_owners = table.covers.iter().map(|c| c.owner).collect();
                out.push(Effect::Handover { to, parts: table.split(HANDOVER_PART_BYTES) });
            }
            // The table was already sent to another daemon, whose acknowledgement may have been lost.
            None => self.finish_stop(out),
        }
    }

    /// Returns the nearest live daemon that is not leaving: one of the same failure domain, else of the same region,
    /// else any.
    fn choose_successor(&self, now: Timestamp) -> Option<NodeId> {
        let usable = |node: NodeId| {
            node != self.cfg.me.node
                && self.is_alive(now, node)
                && self.membership.member_state(node).is_none_or(|member| !member.leaving)
        };
        let distance =
            |m: &crate::model::FleetMember| (m.domain != self.cfg.domain, m.region != self.cfg.region);
        let members = self.fleet.members.iter().filter(|m| usable(m.node));
        members.min_by_key(|m| (distance(m), m.node)).map(|m| m.node)
    }

    /// Imports a part of another daemon's operation table and acknowledges it.
    pub(super) fn on_handover(&mut self, now: Timestamp, table: HandoverTable, out: &mut Vec<Effect>) {
        let owner = table.owner;
        let Ok(imported) = self.operations.import(now, table) else {
            return;
        };
        out.push(Effect::AcceptHandover);
        if imported == ImportProgress::Complete {
            out.push(Effect::Notice(Notice::TookOver { owner }));
        }
    }

    pub(super) fn on_handover_acknowledged(&mut self, successor: NodeId, out: &mut Vec<Effect>) {
        if !matches!(self.stop, StopPhase::HandingOver { .. }) {
            return;
        }
        for owner in &self.handed_over_owners {
            self.operations.set_successor(*owner, successor);
        }
        self.stop = StopPhase::Announcing { successor, remaining: ANNOUNCEMENT_COUNT };
        out.push(Effect::Notice(Notice::HandedOver { successor }));
    }

    /// Announces the successor to all daemons once, or ends the stop if no announcements remain.
    fn announce_successor(&mut self, successor: NodeId, remaining: u8, out: &mut Vec<Effect>) {
        if remaining == 0 {
            return self.finish_stop(out);
        }
        self.stop = StopPhase::Announcing { successor, remaining: remaining - 1 };
        for member in self.fleet.members.iter().filter(|m| m.node != self.cfg.me.node) {
            let message = PeerMessage::Leaving { owners: self.handed_over_owners.clone(), successor };
            out.push(Effect::Send { to: member.node, message });
        }
    }

    fn finish_stop(&mut self, out: &mut Vec<Effect>) {
        self.stop = StopPhase::Ended;
        out.push(Effect::Notice(Notice::StopEnded));
        out.push(Effect::Exit);
    }
}
