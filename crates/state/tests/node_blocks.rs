//! Client blocks are kept once, in the table, and still reach other daemons.

use medlarstair_state::config::Entry;
use medlarstair_state::id::{Boot, Incarnation, NodeId, Revision};
use medlarstair_state::model::{ConfigValue, Topology};
use medlarstair_state::node::{ConfigSource, Effect, Event, Node, NodeConfig, Notice, ParsedEntry};
use medlarstair_state::operation::Minute;
use medlarstair_state::time::Timestamp;

const PART: &str = "config/blocks/gulf";
const TEXT: &str = "192.0.2.0/24 muscat\n192.0.2.128/25 sohar\n2001:db8::/48 salalah\n";

fn node(number: u32) -> Node {
    let cfg = NodeConfig {
        me: Incarnation { node: NodeId(number), boot: Boot(1) },
        region: "muscat".parse().unwrap(),
        domain: "muscat-1".parse().unwrap(),
        epoch: Minute(0),
        seed: 1,
    };
    Node::new(cfg, Timestamp::ZERO)
}

fn entry(key: &str, revision: u64, value: &str) -> Entry {
    Entry { key: key.into(), revision: Revision(revision), value: Some(value.into()) }
}

/// Feeds entries as the daemon does, and returns the keys that were not valid.
fn feed(node: &mut Node, entries: Vec<Entry>) -> Vec<Box<str>> {
    let parse = |entry: Entry| {
        let text = entry.value.clone();
        let value = text.map(|text| match entry.key.starts_with("config/blocks/") {
            true => ConfigValue::Blocks(text),
            false => ConfigValue::Topology(Topology::default()),
        });
        ParsedEntry { entry, value }
    };
    let entries = entries.into_iter().map(parse).collect();
    let mut out = Vec::new();
    node.handle(Timestamp::ZERO, Event::Config { entries, source: ConfigSource::Peer }, &mut out);
    let invalid = |effect| match effect {
        Effect::Notice(Notice::ConfigInvalid { key, .. }) => Some(key),
        _ => None,
    };
    out.into_iter().filter_map(invalid).collect()
}

fn region(node: &Node, ip: &str) -> Option<String> {
    let view = node.view(Timestamp::ZERO);
    view.blocks.lookup(ip.parse().unwrap()).map(|region| region.to_string())
}

/// Guards against a part that is lost, changed or of another revision when it is passed on from the table.
#[test]
fn a_loaded_part_reaches_another_daemon() {
    let (mut first, mut second) = (node(1), node(2));
    assert!(feed(&mut first, vec![entry(PART, 5, TEXT), entry("config/topology", 4, "{}")]).is_empty());
    assert_eq!(first.config_entry(PART), Some(entry(PART, 5, TEXT)));
    let missing = first.config_entries_newer_than(&second.config_summary());
    assert!(feed(&mut second, missing).is_empty());
    assert_eq!(second.config_summary(), first.config_summary());
    assert_eq!(second.view(Timestamp::ZERO).config_digest, first.view(Timestamp::ZERO).config_digest);
    assert_eq!(region(&second, "192.0.2.200").as_deref(), Some("sohar"));
    assert!(first.config_entries_newer_than(&second.config_summary()).is_empty());
    assert_eq!(first.config_keys_before(Revision(6)), second.config_keys_before(Revision(6)));
    assert_eq!(first.config_keys_before(Revision(6)).len(), 2, "a part without its text is not deleted");
}

/// Guards against the text of an earlier valid part that is passed on under the revision of an invalid one.
#[test]
fn an_invalid_part_is_passed_on_as_it_is() {
    let (mut first, mut second) = (node(1), node(2));
    feed(&mut first, vec![entry(PART, 5, TEXT)]);
    let broken = entry(PART, 6, "192.0.2.0/24\n");
    assert_eq!(feed(&mut first, vec![broken.clone()]), [PART.into()]);
    assert_eq!(region(&first, "192.0.2.200").as_deref(), Some("sohar"), "the last valid part stays in force");
    let missing = first.config_entries_newer_than(&second.config_summary());
    assert_eq!(missing, [broken]);
    assert_eq!(feed(&mut second, missing), [PART.into()]);
    assert_eq!(region(&second, "192.0.2.200"), None);
    assert!(feed(&mut first, vec![entry(PART, 7, "192.0.2.0/24 muscat\n")]).is_empty());
    assert_eq!(region(&first, "192.0.2.200").as_deref(), Some("muscat"));
}

/// Guards against a deletion that brings the part back or is passed on as a part.
#[test]
fn a_deleted_part_stays_deleted() {
    let (mut first, second) = (node(1), node(2));
    feed(&mut first, vec![entry(PART, 5, TEXT)]);
    let deleted = Entry { value: None, ..entry(PART, 6, "") };
    feed(&mut first, vec![deleted.clone(), entry(PART, 5, TEXT)]);
    assert_eq!(first.config_entries_newer_than(&second.config_summary()), [deleted]);
    assert_eq!(region(&first, "192.0.2.200"), None);
}

/// Guards against an answer that exceeds a frame: it was never sent, so a new daemon got nothing from its peers.
#[test]
fn a_large_configuration_arrives_in_several_answers() {
    const FRAME_BYTES: usize = (1 << 20) + (60 << 10);
    let (mut first, mut second) = (node(1), node(2));
    let part = |i: u32| {
        let lines = (0..2_500).map(|j| format!("10.{}.{}.{}/32 muscat\n", i, j / 250, j % 250));
        entry(&format!("config/blocks/{i:03}"), u64::from(i) + 1, &lines.collect::<String>())
    };
    feed(&mut first, (0..60).map(part).collect());
    feed(&mut first, vec![entry("config/topology", 70, "{}")]);
    let mut answers = 0;
    loop {
        let missing = first.config_entries_newer_than(&second.config_summary());
        if missing.is_empty() {
            break;
        }
        let bytes = missing.iter().map(|e| e.key.len() + e.value.as_ref().map_or(0, |v| v.len()) + 20);
        assert!(bytes.sum::<usize>() <= FRAME_BYTES);
        assert!(answers > 0 || &*missing[0].key == "config/topology", "blocks come last");
        assert!(feed(&mut second, missing).is_empty());
        answers += 1;
    }
    assert!(answers > 1, "the configuration exceeds one answer");
    assert_eq!(second.view(Timestamp::ZERO).config_digest, first.view(Timestamp::ZERO).config_digest);
}
