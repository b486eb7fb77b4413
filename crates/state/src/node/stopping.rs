//! The planned stop of this daemon.

use std::time::Duration;

use crate::id::NodeId;
use crate::node::{Effect, LOOKUP_TTL, Node, Notice, PeerMessage};
use crate::operation::{HandoverTable, ImportProgress};
use crate::routing::Policy;
use crate::time::Timestamp;

/// Time for which a leaving daemon takes requests: callers may hold a lookup for its lifetime, and the lookup may have
/// been answered by a daemon that had not heard of the leave for a second.
pub const LEAVE_SERVING: Duration = Duration::from_secs(LOOKUP_TTL.as_secs() + 1);

/// Time between two attempts to hand the operation table over.
const HANDOVER_PAUSE: Duration = Duration::from_millis(500);

/// Time after which the daemon ends without a handover. Resends of its operations then get an unknown outcome.
const HANDOVER_GIVE_UP: Duration = Duration::from_secs(5);

/// Size of the parts of an operation table. A part must fit one frame.
const HANDOVER_PART_BYTES: usize = 512 << 10;

/// Datagrams get lost, so the announcement of the successor is repeated.
const ANNOUNCEMENTS: u8 = 5;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopPhase {
    /// No stop is planned.
    Serving,
    /// Other daemons no longer name this one; callers with a cached lookup are still served.
    Leaving { until: Timestamp },
    /// New requests are refused; running ones end.
    Finishing,
    /// The operation table goes to a successor.
    HandingOver { since: Timestamp, next: Timestamp },
    /// The successor is announced.
    Announcing { successor: NodeId, left: u8 },
    /// All is done.
    Ended,
}

impl StopPhase {
    pub(super) fn refuses_requests(self) -> bool {
        !matches!(self, Self::Serving | Self::Leaving { .. })
    }
}

impl<P: Policy + Default> Node<P> {
    /// Whether a planned stop is under way. Answers then tell callers to close their connections.
    pub fn is_leaving(&self) -> bool {
        self.stop != StopPhase::Serving
    }

    pub(super) fn on_stop(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if self.stop != StopPhase::Serving {
            return;
        }
        self.membership.set_leaving();
        self.stop = StopPhase::Leaving { until: now + LEAVE_SERVING };
        out.push(Effect::Notice(Notice::StopBegan));
    }

    pub(super) fn step_stop(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
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
                    self.stop = StopPhase::HandingOver { since: now, next: now };
                }
            }
            StopPhase::HandingOver { since, next } => self.step_handover(now, since, next, out),
            StopPhase::Announcing { successor, left } => self.announce(successor, left, out),
        }
    }

    fn step_handover(&mut self, now: Timestamp, since: Timestamp, next: Timestamp, out: &mut Vec<Effect>) {
        if now.since(since) >= HANDOVER_GIVE_UP {
            return self.end(out);
        }
        if now < next {
            return;
        }
        let Some(to) = self.choose_successor(now) else {
            return self.end(out);
        };
        self.stop = StopPhase::HandingOver { since, next: now + HANDOVER_PAUSE };
        let Some(successor) = self.membership.member_state(to).map(|m| m.id) else {
            return;
        };
        match self.operations.export(now, self.minute(now), successor) {
            Some(table) => {
                self.handed_over = table.covers.iter().map(|c| c.owner).collect();
                out.push(Effect::Handover { to, parts: table.split(HANDOVER_PART_BYTES) });
            }
            // The table went to another daemon before, whose acknowledgement may be lost.
            None => self.end(out),
        }
    }

    /// The nearest live daemon: of the own failure domain, else of the own region, else any.
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
        for owner in &self.handed_over {
            self.operations.set_successor(*owner, successor);
        }
        self.stop = StopPhase::Announcing { successor, left: ANNOUNCEMENTS };
        out.push(Effect::Notice(Notice::HandedOver { successor }));
    }

    fn announce(&mut self, successor: NodeId, left: u8, out: &mut Vec<Effect>) {
        if left == 0 {
            return self.end(out);
        }
        self.stop = StopPhase::Announcing { successor, left: left - 1 };
        for member in self.fleet.members.iter().filter(|m| m.node != self.cfg.me.node) {
            let message = PeerMessage::Leaving { owners: self.handed_over.clone(), successor };
            out.push(Effect::Send { to: member.node, message });
        }
    }

    fn end(&mut self, out: &mut Vec<Effect>) {
        self.stop = StopPhase::Ended;
        out.push(Effect::Notice(Notice::StopEnded));
        out.push(Effect::Exit);
    }
}
