//! Protection against replayed messages by a sliding window of sequence numbers.

use std::collections::HashMap;

use medlarstair_state::id::{Boot, Incarnation, NodeId};

/// Size of the replay window in sequence numbers for each sender. Older messages are rejected.
pub const WINDOW: u64 = 1024;

/// Number of words in the bit set of a window.
const WORDS: usize = (WINDOW / 64) as usize;

/// Maximum number of senders with a window, so that a holder of the key cannot exhaust the memory with made-up senders.
/// Messages of further senders are rejected.
pub const MAX_SENDERS: usize = 16_384;

#[derive(Debug)]
struct Window {
    boot: Boot,
    /// Highest sequence number received.
    highest: u64,
    /// Bit set of the received sequence numbers, by sequence number modulo [`WINDOW`].
    seen: [u64; WORDS],
}

impl Window {
    fn new(boot: Boot) -> Self {
        Self { boot, highest: 0, seen: [0; WORDS] }
    }

    fn accept(&mut self, sequence: u64) -> bool {
        if self.highest.saturating_sub(sequence) >= WINDOW {
            return false;
        }
        if sequence > self.highest {
            self.advance_to(sequence);
        }
        let (word, bit) = bit_position(sequence);
        let is_new = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        is_new
    }

    fn advance_to(&mut self, sequence: u64) {
        if sequence - self.highest >= WINDOW {
            self.seen = [0; WORDS];
        } else {
            for skipped in self.highest + 1..=sequence {
                let (word, bit) = bit_position(skipped);
                self.seen[word] &= !bit;
            }
        }
        self.highest = sequence;
    }
}

/// Returns the index of the word and the mask of the bit for a sequence number.
fn bit_position(sequence: u64) -> (usize, u64) {
    let offset = sequence % WINDOW;
    ((offset / 64) as usize, 1 << (offset % 64))
}

/// Replay windows of all senders, for one channel.
///
/// ```
/// use medlarstair_protocol::replay::ReplayGuard;
/// use medlarstair_state::id::{Boot, Incarnation, NodeId};
/// let mut guard = ReplayGuard::default();
/// let sender = Incarnation { node: NodeId(1), boot: Boot(1) };
/// assert!(guard.accept(sender, 1));
/// assert!(!guard.accept(sender, 1));
/// ```
#[derive(Debug, Default)]
pub struct ReplayGuard {
    windows: HashMap<NodeId, Window>,
}

impl ReplayGuard {
    /// Marks a message as received and returns whether it is new. Messages of an earlier boot than the latest received
    /// one are not new.
    pub fn accept(&mut self, sender: Incarnation, sequence: u64) -> bool {
        if self.windows.len() >= MAX_SENDERS && !self.windows.contains_key(&sender.node) {
            return false;
        }
        let window = self.windows.entry(sender.node).or_insert_with(|| Window::new(sender.boot));
        if sender.boot < window.boot {
            return false;
        }
        if sender.boot > window.boot {
            *window = Window::new(sender.boot);
        }
        window.accept(sequence)
    }
}
