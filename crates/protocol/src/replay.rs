//! Protection against replayed messages.

use std::collections::HashMap;

use medlarstair_state::id::{Boot, Incarnation, NodeId};

/// Sequence numbers that are remembered per sender. Older messages are refused.
pub const WINDOW: u64 = 1024;

const WORDS: usize = (WINDOW / 64) as usize;

/// Most senders that are remembered, so that a holder of the key cannot exhaust the memory with invented senders.
pub const MAX_SENDERS: usize = 16_384;

#[derive(Debug)]
struct Window {
    boot: Boot,
    highest: u64,
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
            self.forget_until(sequence);
        }
        let (word, bit) = position(sequence);
        let fresh = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        fresh
    }

    fn forget_until(&mut self, sequence: u64) {
        if sequence - self.highest >= WINDOW {
            self.seen = [0; WORDS];
        } else {
            for skipped in self.highest + 1..=sequence {
                let (word, bit) = position(skipped);
                self.seen[word] &= !bit;
            }
        }
        self.highest = sequence;
    }
}

fn position(sequence: u64) -> (usize, u64) {
    let slot = sequence % WINDOW;
    ((slot / 64) as usize, 1 << (slot % 64))
}

/// Remembers which messages have arrived.
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
    /// Whether the message is new. A message of an earlier boot than the latest seen is not.
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
