//! Gossip messages and their encoded size.
//!
//! A full [`MemberState`] takes 31 bytes as a rule and up to [`MEMBER_BYTES`]. A table of 95 of them, sent 15 times a
//! second, would need 44 kB/s. A [`CompactHeartbeat`] carries the same news about a member whose incarnation the receiver knows
//! in 3 bytes, so a message has full states only of its sender and of members that have just changed.

use serde::{Deserialize, Serialize};

use crate::config::Digest;
use crate::id::{Boot, Domain, Incarnation, NodeId};

/// Largest encoded gossip message in bytes: a datagram of 1,200 bytes less 80 for the envelope.
pub const GOSSIP_MAX_BYTES: usize = 1_120;

/// Largest encoded member state in bytes: node 5, boot 10, heartbeat 10, leaving 1, digest 5 + 10 + 10.
pub const MEMBER_BYTES: usize = 51;

/// Most dead members that a summary names. With more, the domain is cut off or being replaced as a whole.
pub const DEAD_MAX: usize = 32;

/// Largest encoded gossip message without entries in bytes: three lengths and a flag.
const EMPTY_BYTES: usize = 3 * 3 + 1;

/// What a member says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// The member.
    pub id: Incarnation,
    /// Counts the gossip periods of this incarnation.
    pub heartbeat: u64,
    /// Whether it is stopping as planned.
    pub leaving: bool,
    /// Its configuration in force.
    pub config: Digest,
}

/// Progress of a member whose incarnation the receiver knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactHeartbeat {
    /// Node id less that of the beat before it in the message.
    pub step: u32,
    /// Lowest 7 bits of the boot, and in the highest bit whether its configuration digest is that of the sender.
    pub tag: u8,
    /// Lowest 8 bits of the heartbeat. The receiver has seen one less than 128 periods (25.6 s) ago, because only
    /// live members are relayed.
    pub low: u8,
}

/// Lowest bits of a boot, which tell the incarnations of a member apart in a [`CompactHeartbeat`].
pub(super) fn boot_tag(boot: Boot) -> u8 {
    (boot.0 & 0x7f) as u8
}

impl CompactHeartbeat {
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

    pub(super) fn has_senders_config(self) -> bool {
        self.tag & Self::SAME_CONFIG != 0
    }
}

/// Encoded size of a beat in bytes: 3 for a step below 128, up to 7.
fn beat_bytes(step: u32) -> usize {
    let bits = 32 - (step | 1).leading_zeros() as usize;
    bits.div_ceil(7) + 2
}

/// What a delegate says about its failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// The failure domain.
    pub domain: Domain,
    /// Its delegates; the first is the one that made the summary.
    pub delegates: Vec<MemberState>,
    /// Number of live members.
    pub live: u16,
    /// Number of live members that have the configuration of the first delegate in force.
    pub in_force: u16,
    /// Dead members by node, the first [`DEAD_MAX`] of them.
    pub dead: Vec<NodeId>,
}

impl DomainSummary {
    /// Largest encoded size in bytes.
    pub(super) fn max_bytes(&self) -> usize {
        2 + self.domain.as_str().len() + self.delegates.len() * MEMBER_BYTES + 2 * 3 + 1 + self.dead.len() * 5
    }
}

/// One gossip message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Full states; the first is that of the sender.
    pub members: Vec<MemberState>,
    /// Summaries of failure domains.
    pub domains: Vec<DomainSummary>,
    /// Progress of other members, ordered by node.
    pub beats: Vec<CompactHeartbeat>,
    /// Whether the sender misses full states and asks for all of them.
    pub want_all: bool,
}

/// Fills messages up to [`GOSSIP_MAX_BYTES`].
#[derive(Clone)]
pub(super) struct Packer {
    sender: MemberState,
    done: Vec<Gossip>,
    message: Gossip,
    bytes: usize,
    last_beat: NodeId,
}

impl Packer {
    pub(super) fn new(sender: MemberState) -> Self {
        let message = Gossip { members: vec![sender], ..Gossip::default() };
        Self { sender, done: Vec::new(), message, bytes: EMPTY_BYTES + MEMBER_BYTES, last_beat: NodeId(0) }
    }

    /// Starts another message if the current one has no room for `bytes`.
    fn reserve(&mut self, bytes: usize) {
        if self.bytes + bytes <= GOSSIP_MAX_BYTES {
            return;
        }
        let next = Gossip { members: vec![self.sender], ..Gossip::default() };
        self.done.push(std::mem::replace(&mut self.message, next));
        self.bytes = EMPTY_BYTES + MEMBER_BYTES;
        self.last_beat = NodeId(0);
    }

    pub(super) fn member(&mut self, state: MemberState) {
        self.reserve(MEMBER_BYTES);
        self.bytes += MEMBER_BYTES;
        self.message.members.push(state);
    }

    pub(super) fn domain(&mut self, summary: DomainSummary) {
        let bytes = summary.max_bytes();
        self.reserve(bytes);
        self.bytes += bytes;
        self.message.domains.push(summary);
    }

    /// Adds a beat; the calls are in the order of the nodes.
    pub(super) fn beat(&mut self, state: &MemberState) {
        let longest = beat_bytes(state.id.node.0);
        self.reserve(longest);
        let beat = CompactHeartbeat::new(state, self.last_beat, &self.sender.config);
        self.bytes += beat_bytes(beat.step);
        self.last_beat = state.id.node;
        self.message.beats.push(beat);
    }

    pub(super) fn finish(mut self) -> Vec<Gossip> {
        self.done.push(self.message);
        self.done
    }
}
