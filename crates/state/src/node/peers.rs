//! Messages from other daemons, heartbeats and the distribution of crash evidence.

use std::time::Duration;

use crate::config::Digest;
use crate::id::{Incarnation, NodeId};
use crate::membership::Gossip;
use crate::node::{Effect, Node, Notice, PeerMessage};
use crate::quarantine::Evidence;
use crate::routing::Policy;
use crate::time::Timestamp;

/// Interval between heartbeats.
pub(super) const GOSSIP_PERIOD: Duration = Duration::from_millis(200);

/// Number of heartbeat intervals at which crash evidence is resent. They cover one second, in which a caller can resend
/// a request a few times.
const EVIDENCE_RESENDS: u8 = 5;

/// Minimum time between two fetches from the same daemon.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(300);

impl<P: Policy + Default> Node<P> {
    /// Handles a message from another daemon. Ignores one whose content does not belong to the sender.
    pub(super) fn on_message(
        &mut self,
        now: Timestamp,
        from: Incarnation,
        message: PeerMessage,
        out: &mut Vec<Effect>,
    ) {
        match message {
            PeerMessage::Heartbeat(gossip) => self.on_heartbeat(now, from, &gossip, out),
            PeerMessage::ConfigPush(entries) => self.on_config_push(from.node, &entries, now, out),
            // The envelope authenticates the sender. A daemon may send messages about its own loans only.
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
        if theirs != self.entries.digest() && self.may_have_newer_entries(&theirs) {
            self.fetch_config(now, from.node, out);
        }
    }

    /// Whether a daemon with this digest may have newer entries. With a lower highest revision it has nothing to offer;
    /// with an equal one it may still hold other keys.
    fn may_have_newer_entries(&self, theirs: &Digest) -> bool {
        theirs.highest >= self.entries.digest().highest
    }

    /// Fetches newer entries from a daemon, at most once per [`MIN_FETCH_INTERVAL`].
    fn fetch_config(&mut self, now: Timestamp, from: NodeId, out: &mut Vec<Effect>) {
        let too_soon = self.last_fetches.get(&from).is_some_and(|at| now < *at + MIN_FETCH_INTERVAL);
        if too_soon {
            return;
        }
        self.last_fetches.insert(from, now);
        out.push(Effect::FetchConfig { from });
    }

    /// Sends heartbeats and does the other work of a gossip period, if one is due.
    pub(super) fn run_gossip_round(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if now < self.next_gossip {
            return;
        }
        self.next_gossip = now + GOSSIP_PERIOD;
        for (to, gossip) in self.membership.tick(now, &mut self.rng, self.entries.digest()) {
            out.push(Effect::Send { to, message: PeerMessage::Heartbeat(gossip) });
        }
        self.resend_evidence(now, out);
        self.report_liveness_changes(now, out);
        self.update_watcher_role(now, out);
        self.request_limit_loans(now, out);
    }

    fn report_liveness_changes(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        for member in self.fleet.members.iter().filter(|m| m.node != self.cfg.me.node) {
            let liveness = self.membership.liveness(now, member.node);
            if self.reported_liveness.insert(member.node, liveness) == Some(liveness) {
                continue;
            }
            out.push(Effect::Notice(Notice::LivenessChanged { node: member.node, liveness }));
        }
    }

    /// Starts or stops watching the key-value service if the role of this daemon has changed.
    fn update_watcher_role(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let watching = self.membership.watchers(now).contains(&self.cfg.me.node);
        if watching == self.is_watcher {
            return;
        }
        self.is_watcher = watching;
        out.push(Effect::Watch(watching));
        out.push(Effect::Notice(Notice::WatcherChanged { watching }));
    }

    /// Sends crash evidence to every daemon, now and at the next heartbeats, since datagrams can be lost.
    pub(super) fn publish_evidence(&mut self, evidence: &Evidence, out: &mut Vec<Effect>) {
        self.evidence_resends.insert(evidence.fingerprint, EVIDENCE_RESENDS);
        self.broadcast_evidence(evidence, out);
    }

    /// Sends crash evidence to every other daemon. Daemons that seem to have failed get it as well, since one that is
    /// paused processes it when it resumes.
    fn broadcast_evidence(&self, evidence: &Evidence, out: &mut Vec<Effect>) {
        for member in self.fleet.members.iter().filter(|m| m.node != self.cfg.me.node) {
            let message = PeerMessage::Evidence(evidence.clone());
            out.push(Effect::Send { to: member.node, message });
        }
    }

    /// Sends the evidence again for which resends remain.
    fn resend_evidence(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        for (fingerprint, remaining) in std::mem::take(&mut self.evidence_resends) {
            let Some(evidence) = self.quarantine.evidence(now, fingerprint) else {
                continue;
            };
            self.broadcast_evidence(&evidence, out);
            if remaining > 1 {
                self.evidence_resends.insert(fingerprint, remaining - 1);
            }
        }
    }
}
