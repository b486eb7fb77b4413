//! Compares the replay window with a model that stores every received sequence number.

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

/// Sequence numbers close to each other, at the edges of the window and far ahead.
fn sequence_numbers() -> impl Strategy<Value = u64> {
    prop_oneof![
        4 => 0..40_u64,
        4 => WINDOW - 20..WINDOW + 20,
        2 => 2 * WINDOW..2 * WINDOW + 70,
        1 => 0..10 * WINDOW,
    ]
}

/// Guards against a message that is accepted twice or when too old, and against a new message that is rejected.
#[test]
fn the_window_agrees_with_the_model() {
    let cfg = Config { cases: 1_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(cfg, TestRng::from_seed(RngAlgorithm::ChaCha, &[23; 32]));
    let arrivals = proptest::collection::vec((0..2_u32, 0..3_u64, sequence_numbers()), 1..120);
    let check = |arrivals: Vec<(u32, u64, u64)>| {
        let (mut guard, mut model) = (ReplayGuard::default(), Model::default());
        for (node, boot, sequence) in arrivals {
            // Boots change rarely, so that windows fill up.
            let sender = Incarnation { node: NodeId(node), boot: Boot(boot / 2) };
            assert_eq!(guard.accept(sender, sequence), model.accept(sender, sequence), "{sender} {sequence}");
        }
        Ok(())
    };
    runner.run(&arrivals, check).unwrap();
}

/// Guards against memory use that grows with made-up senders, and against rejecting known senders at the limit.
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
