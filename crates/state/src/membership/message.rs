//! Gossip messages and their encoded size.
//!
//! A full [`MemberState`] usually takes 31 bytes and at most [`MEMBER_BYTES`]. Sending 95 of them 15 times a second
//! would need 44 kB/s. A [`CompactHeartbeat`] conveys the advance of a member whose incarnation the receiver knows in 3
//! bytes, so a message contains full states only of its sender and of recently changed members.

use serde::{Deserialize, Serialize};

use crate::config::Digest;
use crate::id::{Boot, Domain, Incarnation, NodeId};

/// Maximum encoded size of a gossip message in bytes: a datagram of 1,200 bytes less 80 for the envelope.
pub const GOSSIP_MAX_BYTES: usize = 1_120;

/// Maximum encoded size of a member state in bytes: node 5, boot 10, heartbeat 10, leaving 1, digest 5 + 10 + 10.
pub const MEMBER_BYTES: usize = 51;

/// Maximum number of dead members that a summary lists. With more dead members, the whole domain is usually unreachable
/// or being replaced.
pub const DEAD_MAX: usize = 32;

/// Maximum encoded size in bytes of a gossip message without entries: three lengths and a flag.
const EMPTY_BYTES: usize = 3 * 3 + 1;

/// State that a member announces about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// The member and its boot.
    pub id: Incarnation,
    /// Number of gossip periods since the start of this incarnation.
    pub heartbeat: u64,
    /// Whether it is going through a planned stop. Once set, it stays set for the incarnation.
    pub leaving: bool,
    /// Digest of its configuration in force.
    pub config: Digest,
}

/// Heartbeat of a member whose incarnation the receiver knows, in 3 to 7 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactHeartbeat {
    /// Node id, as the difference from that of the preceding entry in the message; from 0 for the first.
    pub step: u32,
    /// Lowest 7 bits of the boot. The highest bit tells whether the member's configuration digest equals the sender's.
    pub tag: u8,
    /// Lowest 8 bits of the heartbeat. They are unambiguous because only live members are relayed, so the receiver has
    /// seen a heartbeat less than 128 periods (25.6 s) old.
    pub low: u8,
}

/// Lowest 7 bits of a boot, which distinguish the incarnations of a member in a [`CompactHeartbeat`].
pub(super) fn boot_tag(boot: Boot) -> u8 {
    (boot.0 & 0x7f) as u8
}

impl CompactHeartbeat {
    /// Bit of `tag` that is set if the configuration digests are equal.
    const SAME_CONFIG: u8 = 0x80;

    pub(super) fn new(state: &MemberState, previous: NodeId, sender: &Digest) -> Self {
        let same = if state.config == *sender { Self::SAME_CONFIG } else { 0 };
        Self {
            step: state.id.node.0 - previous.0,
            tag: boot_tag(state.id.boot) | same,
            low: (state.heartbeat & 0xff) as u8,
        }
    }

    pub(super) fn boot_tag(self) -> u8 {
        self.tag & !Self::SAME_CONFIG
    }

    /// Whether the member has the configuration of the sender.
    pub(super) fn has_senders_config(self) -> bool {
        self.tag & Self::SAME_CONFIG != 0
    }
}

/// Encoded size in bytes of a [`CompactHeartbeat`]: 3 for a step below 128, at most 7.
fn heartbeat_bytes(step: u32) -> usize {
    let bits = 32 - (step | 1).leading_zeros() as usize;
    bits.div_ceil(7) + 2
}

/// Summary of a failure domain by one of its delegates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// The failure domain.
    pub domain: Domain,
    /// Its delegates. The first is the reporter, which made the summary.
    pub delegates: Vec<MemberState>,
    /// Number of live members.
    pub live: u16,
    /// Number of live members that have the configuration of the reporter in force.
    pub in_force: u16,
    /// The dead members with the lowest node ids, at most [`DEAD_MAX`].
    pub dead: Vec<NodeId>,
}

impl DomainSummary {
    /// Upper bound of the encoded size in bytes.
    pub(super) fn max_bytes(&self) -> usize {
        2 + self.domain.as_str().len() + self.delegates.len() * MEMBER_BYTES + 2 * 3 + 1 + self.dead.len() * 5
    }
}

/// A gossip message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Full states. The first is the state of the sender.
    pub members: Vec<MemberState>,
    /// Summaries of failure domains.
    pub domains: Vec<DomainSummary>,
    /// Heartbeats of other members, in ascending order of node id.
    pub beats: Vec<CompactHeartbeat>,
    /// Whether the sender lacks full states and requests all of them.
    pub want_all: bool,
}

/// Distributes entries over messages of at most [`GOSSIP_MAX_BYTES`].
#[derive(Clone)]
pub(super) struct GossipBuilder {
    sender: MemberState,
    finished: Vec<Gossip>,
    /// The message to which entries are added.
    message: Gossip,
    /// Upper bound of the encoded size of `message`.
    bytes: usize,
    /// Node of the last compact heartbeat in `message`.
    last_node: NodeId,
}

impl GossipBuilder {
    pub(super) fn new(sender: MemberState) -> Self {
        let message = Gossip { members: vec![sender], ..Gossip::default() };
        Self {
            sender,
            finished: Vec::new(),
            message,
            bytes: EMPTY_BYTES + MEMBER_BYTES,
            last_node: NodeId(0),
        }
    }

    /// Starts a new message if the current one has no room for `bytes`.
    fn reserve(&mut self, bytes: usize) {
        if self.bytes + bytes <= GOSSIP_MAX_BYTES {
            return;
        }
        let next = Gossip { members: vec![self.sender], ..Gossip::default() };
        self.finished.push(std::mem::replace(&mut self.message, next));
        self.bytes = EMPTY_BYTES + MEMBER_BYTES;
        self.last_node = NodeId(0);
    }

    /// Adds a full state.
    pub(super) fn add_state(&mut self, state: MemberState) {
        self.reserve(MEMBER_BYTES);
        self.bytes += MEMBER_BYTES;
        self.message.members.push(state);
    }

    /// Adds the summary of a domain.
    pub(super) fn add_summary(&mut self, summary: DomainSummary) {
        let bytes = summary.max_bytes();
        self.reserve(bytes);
        self.bytes += bytes;
        self.message.domains.push(summary);
    }

    /// Adds a compact heartbeat. The calls must be in ascending order of node id.
    pub(super) fn add_heartbeat(&mut self, state: &MemberState) {
        let longest = heartbeat_bytes(state.id.node.0);
        self.reserve(longest);
        let beat = CompactHeartbeat::new(state, self.last_node, &self.sender.config);
        self.bytes += heartbeat_bytes(beat.step);
        self.last_node = state.id.node;
        self.message.beats.push(beat);
    }

    /// Returns all messages; there is at least one.
    pub(super) fn finish(mut self) -> Vec<Gossip> {
        self.finished.push(self.message);
        self.finished
    }
}
