//! The replay window agrees with a model that remembers every message.

use std::collections::{BTreeMap, BTreeSet};

use medlarstair_protocol::replay::{MAX_SENDERS, ReplayGuard, WINDOW};
use medlarstair_state::id::{Boot, Incarnation, NodeId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Default)]
struct Model {
    latest: BTreeMap<NodeId, Boot>,
    seen: BTreeMap<Incarnation, BTreeSet<u64>>,
}

impl Model {
    fn accept(&mut self, sender: Incarnation, sequence: u64) -> bool {
        let latest = self.latest.entry(sender.node).or_insert(sender.boot);
        if sender.boot < *latest {
            return false;
        }
        *latest = sender.boot;
        let seen = self.seen.entry(sender).or_default();
        let too_old = seen.last().is_some_and(|highest| sequence.saturating_add(WINDOW) <= *highest);
        !too_old && seen.insert(sequence)
    }
}

/// Sequences near each other, at the edges of the window and far ahead.
fn sequences() -> impl Strategy<Value = u64> {
    prop_oneof![
        4 => 0..40_u64,
        4 => WINDOW - 20..WINDOW + 20,
        2 => 2 * WINDOW..2 * WINDOW + 70,
        1 => 0..10 * WINDOW,
    ]
}

/// Guards against a message accepted twice or after the window, and against a new one that is refused.
#[test]
fn the_window_follows_the_model() {
    let cfg = Config { cases: 1_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(cfg, TestRng::from_seed(RngAlgorithm::ChaCha, &[23; 32]));
    let arrivals = proptest::collection::vec((0..2_u32, 0..3_u64, sequences()), 1..120);
    let check = |arrivals: Vec<(u32, u64, u64)>| {
        let (mut guard, mut model) = (ReplayGuard::default(), Model::default());
        for (node, boot, sequence) in arrivals {
            // Boots change seldom, so that a window fills.
            let sender = Incarnation { node: NodeId(node), boot: Boot(boot / 2) };
            assert_eq!(guard.accept(sender, sequence), model.accept(sender, sequence), "{sender} {sequence}");
        }
        Ok(())
    };
    runner.run(&arrivals, check).unwrap();
}

/// Guards against memory that grows with invented senders, and against known senders that are then refused.
#[test]
fn the_number_of_senders_is_bounded() {
    let mut guard = ReplayGuard::default();
    let sender = |node: usize| Incarnation { node: NodeId(node as u32), boot: Boot(1) };
    for node in 0..MAX_SENDERS {
        assert!(guard.accept(sender(node), 1));
    }
    assert!(!guard.accept(sender(MAX_SENDERS), 1));
    assert!(guard.accept(sender(0), 2));
}
