//! Changes to the fleet value that are proposed because of the platform's VM list.

use std::collections::BTreeSet;
use std::time::Duration;

use medlarstair_state::config::Entry;
use medlarstair_state::id::{Boot, Incarnation, NodeId, Revision};
use medlarstair_state::ledger::{LOAN_LIFETIME, with_drift_margin};
use medlarstair_state::membership::{Gossip, MemberState};
use medlarstair_state::model::{ConfigValue, Fleet, FleetMember};
use medlarstair_state::node::{
    ConfigSource, Effect, Event, Node, NodeConfig, ParsedEntry, PeerMessage, PlatformVms,
};
use medlarstair_state::operation::Minute;
use medlarstair_state::time::Timestamp;

/// Timeout after which the daemon of a VM that is missing from the VM list counts as gone. Taken from the design page
/// and not from the code, so that a change of the code is noticed.
const VM_GONE_TIMEOUT: Duration = Duration::from_secs(30);

fn member(node: u32) -> FleetMember {
    FleetMember {
        node: NodeId(node),
        region: "muscat".parse().unwrap(),
        domain: format!("muscat-{node}").parse().unwrap(),
        peer_address: format!("127.0.0.{node}:7946").parse().unwrap(),
        http_address: format!("127.0.0.{node}:8080").parse().unwrap(),
    }
}

fn fleet(members: &[u32], previous: &[u32]) -> Fleet {
    let list = |nodes: &[u32]| nodes.iter().map(|n| member(*n)).collect();
    Fleet { members: list(members), previous: list(previous) }
}

/// Daemon 1, which receives heartbeats only from the daemons in `alive`.
struct SingleDaemon {
    node: Node,
    now: Timestamp,
    alive: Vec<u32>,
}

impl SingleDaemon {
    fn new(first: Fleet) -> Self {
        let cfg = NodeConfig {
            me: Incarnation { node: NodeId(1), boot: Boot(1) },
            region: "muscat".parse().unwrap(),
            domain: "muscat-1".parse().unwrap(),
            epoch: Minute(0),
            seed: 1,
        };
        let mut daemon =
            Self { node: Node::new(cfg, Timestamp::ZERO), now: Timestamp::ZERO, alive: Vec::new() };
        let entry = Entry { key: "config/fleet".into(), revision: Revision(5), value: Some("".into()) };
        let entries = vec![ParsedEntry { entry, value: Some(ConfigValue::Fleet(first)) }];
        daemon.handle(Event::Config { entries, source: ConfigSource::Store });
        daemon
    }

    fn handle(&mut self, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.node.handle(self.now, event, &mut out);
        out
    }

    fn deliver_heartbeats(&mut self) {
        let config = self.node.view(self.now).config_digest;
        for node in self.alive.clone() {
            let from = Incarnation { node: NodeId(node), boot: Boot(1) };
            let heartbeat = self.now.0 / 1_000;
            let state = MemberState { id: from, heartbeat, leaving: false, config };
            let gossip = Gossip { members: vec![state], ..Gossip::default() };
            self.handle(Event::Message { from, message: PeerMessage::Heartbeat(gossip) });
        }
    }

    /// Advances the time by up to `span`. Returns the first proposal and the time that passed before it, or `None` if
    /// there was no proposal. `listed` are the VMs in the list; without it, no list arrives.
    fn run_until_proposal(&mut self, span: Duration, listed: Option<&[u32]>) -> Option<(Duration, Fleet)> {
        let (start, mut next_list) = (self.now, self.now);
        while self.now.since(start) < span {
            if let Some(listed) = listed.filter(|_| self.now >= next_list) {
                let nodes = listed.iter().map(|n| NodeId(*n)).collect();
                self.handle(Event::Vms(PlatformVms { nodes, leaving: BTreeSet::new() }));
                next_list = self.now + Duration::from_secs(1);
            }
            if self.now.0.is_multiple_of(200_000) {
                self.deliver_heartbeats();
            }
            for effect in self.handle(Event::Tick) {
                if let Effect::ProposeFleet { fleet, expect } = effect {
                    assert_eq!(expect, Revision(5));
                    return Some((self.now.since(start), fleet));
                }
            }
            self.now = self.now + Duration::from_millis(10);
        }
        None
    }
}

const MINUTE: Duration = Duration::from_secs(60);

/// Guards against shares that stay with a daemon whose VM is gone, and against a daemon that loses its shares before
/// the timeout.
#[test]
fn daemon_whose_vm_is_gone_leaves_the_fleet_in_a_joint_value() {
    let mut daemon = SingleDaemon::new(fleet(&[1, 2, 3], &[]));
    assert_eq!(daemon.run_until_proposal(MINUTE, Some(&[1, 2, 3])), None, "all VMs are listed");
    let (after, proposed) = daemon.run_until_proposal(MINUTE, Some(&[1, 2])).expect("a proposal");
    assert!(after >= VM_GONE_TIMEOUT - Duration::from_secs(1), "proposed after {after:?}");
    assert_eq!(proposed, fleet(&[1, 2], &[1, 2, 3]));
}

/// Guards against removing daemons from the fleet because the VM list is unavailable or not complete yet.
#[test]
fn nobody_leaves_the_fleet_without_a_recent_list_that_named_it_before() {
    let mut daemon = SingleDaemon::new(fleet(&[1, 2, 3], &[]));
    assert_eq!(daemon.run_until_proposal(MINUTE, Some(&[1, 2])), None, "daemon 3 was never listed");
    let mut daemon = SingleDaemon::new(fleet(&[1, 2, 3], &[]));
    daemon.alive = vec![2];
    assert_eq!(daemon.run_until_proposal(Duration::from_secs(5), Some(&[1, 2, 3])), None);
    assert_eq!(daemon.run_until_proposal(MINUTE, None), None, "the list is not available");
}

/// Guards against shares that grow while another daemon may still use its share under the previous fleet value.
#[test]
fn joint_value_ends_only_after_a_loan_lifetime() {
    let mut daemon = SingleDaemon::new(fleet(&[1, 2], &[1, 2, 3]));
    assert_eq!(daemon.run_until_proposal(Duration::from_secs(5), Some(&[1, 2, 3])), None);
    assert_eq!(
        daemon.run_until_proposal(MINUTE, Some(&[1, 2])),
        None,
        "daemon 2 has not confirmed the joint value"
    );
    let mut daemon = SingleDaemon::new(fleet(&[1], &[1, 2]));
    assert_eq!(daemon.run_until_proposal(Duration::from_secs(5), Some(&[1, 2])), None);
    let (after, proposed) = daemon.run_until_proposal(MINUTE, Some(&[1])).expect("a proposal");
    assert_eq!(proposed, fleet(&[1], &[]));
    let least = VM_GONE_TIMEOUT - Duration::from_secs(1) + with_drift_margin(LOAN_LIFETIME);
    assert!(after >= least, "proposed after {after:?}, not {least:?}");
}
