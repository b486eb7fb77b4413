//! Tests of the lookup table from client blocks to regions.

use std::net::IpAddr;

use ipnet::IpNet;
use medlarstair_state::blocks::BlockTable;
use proptest::prelude::*;

fn region(blocks: &BlockTable, ip: &str) -> Option<String> {
    blocks.lookup(ip.parse().unwrap()).map(ToString::to_string)
}

/// Guards against lookups that return a shorter prefix or a prefix of the other address family.
#[test]
fn longest_prefix_answers() {
    let mut blocks = BlockTable::default();
    let text = "10.0.0.0/8 muscat\n10.1.0.0/16 sohar\n10.1.2.3/32 salalah\n2001:db8::/32 sohar\n\
                2001:db8:1::/48 muscat\n";
    assert_eq!(blocks.load_part("a", text), Ok(5));
    let cases = [
        ("10.2.0.1", Some("muscat")),
        ("10.1.255.255", Some("sohar")),
        ("10.1.2.3", Some("salalah")),
        ("10.1.2.4", Some("sohar")),
        ("::ffff:10.1.2.3", Some("salalah")),
        ("11.0.0.0", None),
        ("9.255.255.255", None),
        ("2001:db8:1:ffff::1", Some("muscat")),
        ("2001:db8:2::", Some("sohar")),
        ("2001:db9::", None),
        ("::10.1.2.3", None),
    ];
    for (ip, expected) in cases {
        assert_eq!(region(&blocks, ip).as_deref(), expected, "{ip}");
    }
}

/// Guards against a part that hides the blocks of another one, and against results that depend on the load order.
#[test]
fn parts_are_independent() {
    let parts = [("a", "10.0.0.0/8 muscat\n"), ("b", "10.0.0.0/8 sohar\n10.5.0.0/16 salalah\n")];
    for order in [[0, 1], [1, 0]] {
        let mut blocks = BlockTable::default();
        for i in order {
            blocks.load_part(parts[i].0, parts[i].1).unwrap();
        }
        assert_eq!(region(&blocks, "10.1.0.0").as_deref(), Some("muscat"));
        assert_eq!(region(&blocks, "10.5.0.0").as_deref(), Some("salalah"));
        assert!(blocks.remove_part("a"));
        assert!(!blocks.remove_part("a"));
        assert_eq!(region(&blocks, "10.1.0.0").as_deref(), Some("sohar"));
        assert!(blocks.remove_part("b"));
        assert!(blocks.is_empty());
        assert_eq!(region(&blocks, "10.5.0.0"), None);
    }
}

/// Guards against a partially loaded part, blocks left over from a replaced part, and changes to an existing clone.
#[test]
fn replacing_a_part_is_atomic() {
    let mut blocks = BlockTable::default();
    blocks.load_part("a", "10.0.0.0/8 muscat\n").unwrap();
    let snapshot = blocks.clone();
    let err = blocks.load_part("a", "10.0.0.0/8 sohar\n11.0.0.0/8 sohar\n12.0.0.0/7\n").unwrap_err();
    assert_eq!(err.line(), 3);
    assert_eq!(region(&blocks, "10.0.0.1").as_deref(), Some("muscat"));
    assert_eq!(region(&blocks, "11.0.0.1"), None);
    blocks.load_part("a", "11.0.0.0/8 sohar\n").unwrap();
    assert_eq!(region(&blocks, "10.0.0.1"), None);
    assert_eq!(region(&blocks, "11.0.0.1").as_deref(), Some("sohar"));
    assert_eq!(region(&snapshot, "10.0.0.1").as_deref(), Some("muscat"));
}

/// Guards against invalid lines that are accepted or reported with a wrong line number.
#[test]
fn errors_name_the_line() {
    let cases = [
        ("10.0.0.0/8", "line 2: expected 'prefix region'"),
        ("", "line 2: expected 'prefix region'"),
        ("10.0.0/8 sohar", "line 2: invalid prefix \"10.0.0/8\""),
        ("10.0.0.0/33 sohar", "line 2: invalid prefix \"10.0.0.0/33\""),
        ("10.0.0.1/8 sohar", "line 2: prefix 10.0.0.1/8 has address bits beyond its length"),
        ("2001:db8::1/32 sohar", "line 2: prefix 2001:db8::1/32 has address bits beyond its length"),
        ("10.0.0.0/8 Sohar", "line 2: invalid region \"Sohar\""),
        ("10.0.0.0/8 sohar x", "line 2: invalid region \"sohar x\""),
        ("1.0.0.0/8 sohar", "line 2: prefix 1.0.0.0/8 occurs twice"),
    ];
    for (line, expected) in cases {
        let text = format!("1.0.0.0/8 muscat\n{line}\n2.0.0.0/8 muscat\n");
        let err = BlockTable::default().load_part("a", &text).unwrap_err();
        assert_eq!(err.to_string(), expected);
    }
}

fn net() -> impl Strategy<Value = IpNet> {
    // Few distinct values, so that prefixes are often nested or equal.
    let v4 = (0_u32..8, 0_u32..4, 5_u8..=32).prop_map(|(high, low, len)| {
        let addr = IpAddr::V4((high << 29 | low << 14).into());
        IpNet::new(addr, len).unwrap().trunc()
    });
    let v6 = (0_u128..4, 0_u128..4, 3_u8..=128).prop_map(|(high, low, len)| {
        let addr = IpAddr::V6((0x2000 << 112 | high << 96 | low << 40).into());
        IpNet::new(addr, len).unwrap().trunc()
    });
    prop_oneof![v4, v6]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(39),
        ..ProptestConfig::default()
    })]

    /// Guards against lookups that differ from a linear search of all blocks, and against generated text that does not
    /// load into an equal table.
    #[test]
    fn agrees_with_a_linear_search(
        parts in proptest::collection::vec(proptest::collection::btree_set(net(), 0..12), 1..6),
        probes in proptest::collection::vec(net(), 20),
    ) {
        let mut blocks = BlockTable::default();
        let mut copy = BlockTable::default();
        let mut all = Vec::new();
        for (i, part) in parts.iter().enumerate().rev() {
            let lines = part.iter().enumerate().map(|(j, net)| format!("{net} r{}\n", (i + j) % 5));
            blocks.load_part(&i.to_string(), &lines.collect::<String>()).unwrap();
            copy.load_part(&i.to_string(), &blocks.part_text(&i.to_string()).unwrap()).unwrap();
            all.extend(part.iter().enumerate().map(|(j, net)| (*net, i, (i + j) % 5)));
        }
        prop_assert_eq!(blocks.len(), all.len());
        for probe in probes {
            let ip = probe.addr();
            let matching = all.iter().filter(|(net, _, _)| net.contains(&ip));
            let best = matching.min_by_key(|(net, part, _)| (128 - net.prefix_len(), *part));
            let expected = best.map(|(_, _, region)| format!("r{region}"));
            prop_assert_eq!(blocks.lookup(ip).map(ToString::to_string), expected);
            prop_assert_eq!(blocks.lookup(ip), copy.lookup(ip));
        }
    }
}
