//! Messages of other daemons, and what is told to them.

use std::time::Duration;

use crate::config::Digest;
use crate::id::{Incarnation, NodeId};
use crate::membership::Gossip;
use crate::node::{Effect, Node, Notice, PeerMessage};
use crate::quarantine::Evidence;
use crate::routing::Policy;
use crate::time::Timestamp;

/// Period of the heartbeats.
pub(super) const GOSSIP_PERIOD: Duration = Duration::from_millis(200);

/// Heartbeats with which crash evidence is sent again: one second, in which a caller can resend a few times.
const EVIDENCE_REPEATS: u8 = 5;

/// Least time between two fetches from the same daemon.
const FETCH_PAUSE: Duration = Duration::from_millis(300);

impl<P: Policy + Default> Node<P> {
    pub(super) fn on_message(
        &mut self,
        now: Timestamp,
        from: Incarnation,
        message: PeerMessage,
        out: &mut Vec<Effect>,
    ) {
        match message {
            PeerMessage::Heartbeat(gossip) => self.on_heartbeat(now, from, &gossip, out),
            PeerMessage::ConfigPush(entries) => self.on_push(from.node, &entries, now, out),
            // The envelope authenticates the sender; a daemon speaks about its own loans only.
            PeerMessage::LoanRequest(req) if req.id.borrower == from => self.on_loan_request(now, &req, out),
            PeerMessage::LoanGrant(grant) if grant.lender == from => self.on_loan_grant(now, &grant, out),
            PeerMessage::LoanReturn(ret) if ret.id.borrower == from => self.ledger.on_return(now, &ret),
            PeerMessage::LoanAudit(audit) if audit.lender == from => {
                let answer = self.ledger.on_audit(now, &audit);
                out.push(Effect::Send { to: from.node, message: PeerMessage::LoanAuditAnswer(answer) });
            }
            PeerMessage::LoanAuditAnswer(answer) if answer.borrower == from.node => {
                self.ledger.on_audit_answer(now, &answer);
            }
            PeerMessage::Evidence(evidence) => self.quarantine.merge(now, &evidence),
            PeerMessage::Leaving { owners, successor }
                if owners.first() == Some(&from) && successor != self.cfg.me.node =>
            {
                for owner in owners {
                    self.operations.set_successor(owner, successor);
                }
            }
            _ => {}
        }
    }

    fn on_heartbeat(&mut self, now: Timestamp, from: Incarnation, gossip: &Gossip, out: &mut Vec<Effect>) {
        self.membership.on_gossip(now, from, gossip);
        let Some(theirs) = self.membership.member_state(from.node).map(|m| m.config) else {
            return;
        };
        if theirs != self.entries.digest() && self.may_hold_newer(&theirs) {
            self.fetch(now, from.node, out);
        }
    }

    /// A daemon with an older highest revision has nothing to offer; with an equal one it may hold other keys.
    fn may_hold_newer(&self, theirs: &Digest) -> bool {
        theirs.highest >= self.entries.digest().highest
    }

    fn fetch(&mut self, now: Timestamp, from: NodeId, out: &mut Vec<Effect>) {
        let paused = self.fetches.get(&from).is_some_and(|at| now < *at + FETCH_PAUSE);
        if paused {
            return;
        }
        self.fetches.insert(from, now);
        out.push(Effect::FetchConfig { from });
    }

    pub(super) fn gossip(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if now < self.next_gossip {
            return;
        }
        self.next_gossip = now + GOSSIP_PERIOD;
        for (to, gossip) in self.membership.tick(now, &mut self.rng, self.entries.digest()) {
            out.push(Effect::Send { to, message: PeerMessage::Heartbeat(gossip) });
        }
        self.repeat_evidence(now, out);
        self.note_liveness(now, out);
        self.choose_watchers(now, out);
        self.seek_limits(now, out);
    }

    fn note_liveness(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        for member in self.fleet.members.iter().filter(|m| m.node != self.cfg.me.node) {
            let liveness = self.membership.liveness(now, member.node);
            if self.liveness.insert(member.node, liveness) == Some(liveness) {
                continue;
            }
            out.push(Effect::Notice(Notice::LivenessChanged { node: member.node, liveness }));
        }
    }

    fn choose_watchers(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let watching = self.membership.watchers(now).contains(&self.cfg.me.node);
        if watching == self.watching {
            return;
        }
        self.watching = watching;
        out.push(Effect::Watch(watching));
        out.push(Effect::Notice(Notice::WatcherChanged { watching }));
    }

    /// Sends crash evidence to every daemon, now and with the next heartbeats, since datagrams get lost.
    pub(super) fn send_evidence(&mut self, evidence: &Evidence, out: &mut Vec<Effect>) {
        self.evidence_repeats.insert(evidence.fingerprint, EVIDENCE_REPEATS);
        self.spread_evidence(evidence, out);
    }

    /// Suspected daemons get it as well: one that is paused handles it when it resumes.
    fn spread_evidence(&self, evidence: &Evidence, out: &mut Vec<Effect>) {
        for member in self.fleet.members.iter().filter(|m| m.node != self.cfg.me.node) {
            let message = PeerMessage::Evidence(evidence.clone());
            out.push(Effect::Send { to: member.node, message });
        }
    }

    fn repeat_evidence(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        for (fingerprint, left) in std::mem::take(&mut self.evidence_repeats) {
            let Some(evidence) = self.quarantine.evidence(now, fingerprint) else {
                continue;
            };
            self.spread_evidence(&evidence, out);
            if left > 1 {
                self.evidence_repeats.insert(fingerprint, left - 1);
            }
        }
    }
}
