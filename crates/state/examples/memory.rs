//! Prints the memory of the client block table and of the membership, the bytes that the
//! membership sends, the size of the fleet value and what a daemon holds with all client blocks in force.
//!
//! `cargo run --release -p medlarstair-state --example memory`

use std::net::{Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use medlarstair_state::blocks::BlockTable;
use medlarstair_state::config::Entry;
use medlarstair_state::id::{Boot, Incarnation, NodeId, Revision};
use medlarstair_state::model::ConfigValue;
use medlarstair_state::node::{ConfigSource, Event, Node, NodeConfig, ParsedEntry};
use medlarstair_state::operation::Minute;
use medlarstair_state::routing::TwoChoices;
use medlarstair_state::time::Timestamp;
use peak_alloc::PeakAlloc;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[path = "../benches/inputs/blocks.rs"]
mod inputs;
#[path = "../benches/inputs/members.rs"]
mod members;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// `count` IPv4 /24 blocks, one per /22 at random, with a region each: no neighbour shares a trie node.
fn scattered(count: usize) -> Vec<(IpNet, u16)> {
    let mut rng = Pcg64Mcg::seed_from_u64(40);
    let mut out = Vec::with_capacity(count);
    for i in 0..count {
        let at = (i as u32) << 10 | rng.random_range(0..4) << 8;
        out.push((Ipv4Net::new_assert(Ipv4Addr::from(at), 24).into(), rng.random_range(0..inputs::REGIONS)));
    }
    out
}

/// `count` IPv6 /48 blocks, one per /40 at random.
fn scattered_v6(count: usize) -> Vec<(IpNet, u16)> {
    let mut rng = Pcg64Mcg::seed_from_u64(42);
    let mut out = Vec::with_capacity(count);
    for i in 0..count {
        let at = (0x2001 << 112) + ((i as u128) << 88) + (rng.random_range(0..256) << 80);
        let net = Ipv6Net::new_assert(Ipv6Addr::from(at), 48);
        out.push((net.into(), rng.random_range(0..inputs::REGIONS)));
    }
    out
}

fn block_table(name: &str, per_part: usize, blocks: &[(IpNet, u16)]) {
    let before = ALLOCATOR.current_usage();
    let mut table: BlockTable = inputs::table(blocks, per_part);
    let bytes = ALLOCATOR.current_usage() - before;
    let text = inputs::text(&blocks[..per_part]);
    ALLOCATOR.reset_peak_usage();
    let held = ALLOCATOR.current_usage();
    table.load_part("00000", &text).expect("the text is valid");
    let extra = ALLOCATOR.peak_usage() - held;
    let count = blocks.len() as f64;
    println!(
        "blocks {name} count={} per_part={per_part} text_bytes_per_block={:.1} part_text_kB={:.0} \
         table_MB={:.1} bytes_per_block={:.1} replace_peak_kB={:.0}",
        blocks.len(),
        inputs::text(blocks).len() as f64 / count,
        text.len() as f64 / 1e3,
        bytes as f64 / 1e6,
        bytes as f64 / count,
        extra as f64 / 1e3,
    );
}

/// Bytes of IP and UDP headers and of the envelope (see the protocol crate) per message.
const HEADER_BYTES: usize = 28 + 45;

fn is_delegate(member: &members::MemberFixture) -> bool {
    member.membership.delegates(member.now).contains(&member.id.node)
}

/// Size of the fleet value, which must stay under one megabyte, without and with the members before a change.
fn fleet_value(size: u32) {
    let mut fleet = members::fleets::fleet(&[size]);
    let plain = serde_json::to_string(&fleet).expect("it encodes").len();
    fleet.previous = fleet.members.clone();
    let changing = serde_json::to_string(&fleet).expect("it encodes").len();
    println!(
        "fleet members={size} value_kB={:.1} during_change_kB={:.1}",
        plain as f64 / 1e3,
        changing as f64 / 1e3
    );
}

/// What a daemon holds after all parts have come into force, texts that it keeps included.
fn node_with_blocks(count: usize, per_part: usize) {
    let blocks = inputs::blocks(count);
    let before = ALLOCATOR.current_usage();
    let cfg = NodeConfig {
        me: Incarnation { node: NodeId(1), boot: Boot(1) },
        region: "r1".parse().expect("the name is valid"),
        domain: "d1".parse().expect("the name is valid"),
        epoch: Minute(0),
        seed: 1,
    };
    let mut node = Node::<TwoChoices>::new(cfg, Timestamp::ZERO);
    for (i, part) in blocks.chunks(per_part).enumerate() {
        let text: Box<str> = inputs::text(part).into();
        let (key, revision) = (format!("config/blocks/{i:05}").into(), Revision(i as u64 + 1));
        let entry = Entry { key, revision, value: Some(text.clone()) };
        let entries = vec![ParsedEntry { entry, value: Some(ConfigValue::Blocks(text)) }];
        let event = Event::Config { entries, source: ConfigSource::Peer };
        node.handle(Timestamp::ZERO, event, &mut Vec::new());
    }
    let bytes = ALLOCATOR.current_usage() - before;
    println!("node blocks={count} per_part={per_part} MB={:.1}", bytes as f64 / 1e6);
}

fn membership(domains: &[u32], index: usize) {
    let before = ALLOCATOR.current_usage();
    let mut member = members::fixture(domains, index);
    let bytes = ALLOCATOR.current_usage() - before;
    let fleet: u32 = domains.iter().sum();
    let delegate = is_delegate(&member);
    let ticks = 50;
    let (mut messages, mut payload) = (0, 0);
    for _ in 0..ticks {
        for (_, gossip) in member.tick() {
            messages += 1;
            payload += postcard::to_stdvec(&gossip).expect("it encodes").len();
        }
    }
    let per_second = 5.0 / f64::from(ticks);
    println!(
        "membership fleet={fleet} domains={} own={} delegate={delegate} kB={:.0} messages_per_s={:.1} \
         payload_B_per_s={:.0} with_headers_B_per_s={:.0}",
        domains.len(),
        domains[0],
        bytes as f64 / 1e3,
        messages as f64 * per_second,
        payload as f64 * per_second,
        (payload + messages * HEADER_BYTES) as f64 * per_second,
    );
}

fn main() {
    for count in [7, 30, 95, 300] {
        membership(&[count], 0);
    }
    membership(&[2, 1, 1, 1, 1, 1], 0);
    let design_size = [&[95; 36][..], &[94; 20]].concat();
    let delegates = (0..95).map(|i| (is_delegate(&members::fixture(&design_size, i)), i));
    let (mut duty, mut none) = (None, None);
    for (is_delegate, i) in delegates {
        let slot = if is_delegate { &mut duty } else { &mut none };
        slot.get_or_insert(i);
    }
    for i in [duty, none].into_iter().flatten() {
        membership(&design_size, i);
    }
    for size in [7, 95, 5_300] {
        fleet_value(size);
    }
    for count in [39_000, 390_000, 3_900_000] {
        node_with_blocks(count, 2_500);
        let blocks = inputs::blocks(count);
        for per_part in [2_500, 39_000] {
            block_table("clustered", per_part, &blocks);
        }
        block_table("scattered", 2_500, &scattered(count));
        block_table("scattered_v6", 2_500, &scattered_v6(count));
    }
}
