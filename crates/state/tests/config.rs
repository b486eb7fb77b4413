//! Configuration maps keep the newest entry of each key and converge when they exchange entries.

use medlarstair_state::config::{ConfigMap, Entry, MergeOutcome};
use medlarstair_state::id::Revision;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn entry(key: &str, revision: u64, value: &str) -> Entry {
    let value = (value != "-").then(|| value.into());
    Entry { key: key.into(), revision: Revision(revision), value }
}

fn keys<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> Vec<&'a str> {
    entries.into_iter().map(|entry| &*entry.key).collect()
}

/// Guards against a merge that stores an older entry, loses a tombstone or replaces a value at an equal revision.
#[test]
fn offers_follow_the_table() {
    let mut map = ConfigMap::new();
    let lines = include_str!("data/config_offers.txt").lines().filter(|line| !line.starts_with('#'));
    for line in lines {
        let [key, revision, value, expected, stored] = line.split_whitespace().collect::<Vec<_>>()[..] else {
            panic!("five fields: {line}");
        };
        let outcome = map.merge(entry(key, revision.parse().unwrap(), value));
        assert_eq!(format!("{outcome:?}").to_lowercase(), expected, "{line}");
        assert_eq!(map.get(key).unwrap().value.as_deref(), (stored != "-").then_some(stored), "{line}");
    }
    assert_eq!(map.conflicts(), 1);
    assert_eq!(keys(map.with_prefix("contract/")), ["contract/acme", "contract/acme2"]);
    assert_eq!(keys(&map.entries_after(Revision(3))), ["contract/acme", "drain/region/oman"]);
    assert_eq!((map.digest().entries, map.digest().highest), (4, Revision(13)));
}

/// Guards against an exchange that misses entries below the receiver's highest revision, with the number of entries
/// that a map has to support.
#[test]
fn ten_thousand_keys_are_exchanged() {
    let (mut full, mut part) = (ConfigMap::new(), ConfigMap::new());
    for n in 1..=10_000 {
        let entry = entry(&format!("contract/c{n}"), n, "{}");
        if n % 7 != 0 {
            part.merge(entry.clone());
        }
        full.merge(entry);
    }
    let missing = full.missing_from(&part.summary());
    assert_eq!(missing.len(), 10_000 / 7);
    missing.into_iter().for_each(|entry| assert_eq!(part.merge(entry), MergeOutcome::Newer));
    assert_eq!(part.digest(), full.digest());
    assert!(full.missing_from(&part.summary()).is_empty());
}

#[derive(Debug, Clone)]
enum Step {
    /// The service writes a key; the change reaches at most one map.
    Write { key: u8, deletes: bool, seen_by: Option<usize> },
    /// An earlier entry arrives late, again, or from a service restored from a backup.
    Replay { write: usize, to: usize },
    /// One map sends the entries that the other lacks. Only those whose bit is set in `arrives` are delivered.
    Exchange { from: usize, to: usize, arrives: u32, reversed: bool },
}

const MAPS: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..6u8, any::<bool>(), proptest::option::of(0..MAPS))
            .prop_map(|(key, deletes, seen_by)| Step::Write { key, deletes, seen_by }),
        (any::<usize>(), 0..MAPS).prop_map(|(write, to)| Step::Replay { write, to }),
        (0..MAPS, 0..MAPS, any::<u32>(), any::<bool>())
            .prop_map(|(from, to, arrives, reversed)| Step::Exchange { from, to, arrives, reversed }),
    ]
}

/// Merges `entry` and checks that the revision of its key does not decrease.
fn merge_checked(map: &mut ConfigMap, entry: &Entry) {
    let before = map.get(&entry.key).map(|stored| stored.revision);
    let outcome = map.merge(entry.clone());
    let after = map.get(&entry.key).map(|stored| stored.revision);
    assert_eq!(after, before.max(Some(entry.revision)), "a map stored an older entry or ignored a newer one");
    assert_eq!(outcome == MergeOutcome::Newer, after > before);
}

fn check(steps: Vec<Step>) {
    let mut maps = vec![ConfigMap::new(); MAPS];
    let mut log: Vec<Entry> = Vec::new();
    for step in steps {
        match step {
            Step::Write { key, deletes, seen_by } => {
                let revision = log.len() as u64 + 1;
                let value = if deletes { "-".into() } else { revision.to_string() };
                log.push(entry(&format!("key/{key}"), revision, &value));
                seen_by.into_iter().for_each(|map| merge_checked(&mut maps[map], log.last().unwrap()));
            }
            Step::Replay { write, to } => {
                if let Some(entry) = write.checked_rem(log.len()).map(|write| &log[write]) {
                    merge_checked(&mut maps[to], entry);
                }
            }
            Step::Exchange { from, to, arrives, reversed } => {
                let mut missing = maps[from].missing_from(&maps[to].summary());
                if reversed {
                    missing.reverse();
                }
                let arrived = missing.iter().enumerate().filter(|(n, _)| arrives >> (n % 32) & 1 == 1);
                arrived.for_each(|(_, entry)| merge_checked(&mut maps[to], entry));
            }
        }
    }
    for round in 0..2 * MAPS {
        let (from, to) = (round % MAPS, (round + 1) % MAPS);
        for entry in maps[from].missing_from(&maps[to].summary()) {
            assert_eq!(maps[to].merge(entry), MergeOutcome::Newer);
        }
    }
    for map in &maps[1..] {
        assert_eq!(map.digest(), maps[0].digest(), "maps that exchanged all entries have equal digests");
        assert!(map.iter().eq(maps[0].iter()), "maps that exchanged all entries have equal entries");
        assert_eq!(map.conflicts(), 0);
    }
    let mut rebuilt = ConfigMap::new();
    maps[0].entries_after(Revision(0)).into_iter().rev().for_each(|entry| {
        rebuilt.merge(entry);
    });
    assert_eq!(rebuilt.digest(), maps[0].digest(), "the digest must not depend on the order of merges");
}

/// Guards against lost, reordered, repeated or stale entries that prevent maps from converging or revert one to an
/// older value.
#[test]
fn maps_converge_and_never_go_back() {
    let cfg = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(cfg, TestRng::from_seed(RngAlgorithm::ChaCha, &[6; 32]));
    let steps = proptest::collection::vec(step(), 1..60);
    let run = |steps| {
        check(steps);
        Ok(())
    };
    runner.run(&steps, run).unwrap();
}

/// Guards against a digest or comparison that depends on whether the text of a value is still stored.
#[test]
fn a_forgotten_value_changes_no_digest() {
    let mut map = ConfigMap::new();
    for n in 1..=3 {
        map.merge(entry(&format!("blocks/{n}"), n, "text"));
    }
    map.merge(entry("blocks/3", 4, "-"));
    let (digest, summary) = (map.digest(), map.summary());
    ["blocks/1", "blocks/3", "blocks/9"].iter().for_each(|key| map.discard_value(key));
    assert_eq!((map.digest(), map.summary()), (digest, summary));
    assert!(
        map.is_value_discarded("blocks/1") && !map.is_value_discarded("blocks/3"),
        "a deletion has no text"
    );
    assert!(map.get("blocks/1").unwrap().value.is_some() && map.get("blocks/9").is_none());
    assert_eq!(map.merge(entry("blocks/1", 1, "text")), MergeOutcome::Same);
    assert_eq!(map.conflicts(), 0);
    assert_eq!(map.merge(entry("blocks/1", 5, "new")), MergeOutcome::Newer);
    assert!(!map.is_value_discarded("blocks/1"));
}
