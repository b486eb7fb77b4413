//! Time to create the view of a daemon, by fleet size.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use medlarstair_state::config::Entry;
use medlarstair_state::id::{Boot, Incarnation, NodeId, Revision};
use medlarstair_state::model::{ConfigValue, Fleet, FleetMember, KbitPerSecond, LinkSpec, Topology};
use medlarstair_state::node::{ConfigSource, Event, Node, NodeConfig, ParsedEntry};
use medlarstair_state::operation::Minute;
use medlarstair_state::routing::TwoChoices;
use medlarstair_state::time::Timestamp;

/// Numbers of daemons, failure domains and regions.
const SIZES: [(u32, u32, u32); 3] = [(7, 6, 3), (300, 6, 3), (5_300, 56, 19)];

/// Early enough that members that have sent no heartbeat yet do not count as suspected.
const NOW: Timestamp = Timestamp::from_millis(100);

fn member(n: u32, domains: u32, regions: u32) -> FleetMember {
    let domain = n % domains;
    FleetMember {
        node: NodeId(n),
        region: format!("r{}", domain * regions / domains).parse().expect("the name is valid"),
        domain: format!("d{domain}").parse().expect("the name is valid"),
        peer_address: "127.0.0.1:1".parse().expect("the address is valid"),
        http_address: "127.0.0.1:2".parse().expect("the address is valid"),
    }
}

fn topology(regions: u32) -> Topology {
    let name = |r: u32| format!("r{r}").parse().expect("the name is valid");
    let pairs = (0..regions).flat_map(|from| (0..regions).map(move |to| (from, to)));
    let link = |(from, to)| LinkSpec {
        from: name(from),
        to: name(to),
        bandwidth: KbitPerSecond(280_000),
        delay: std::time::Duration::from_millis(35),
    };
    Topology { links: pairs.filter(|(from, to)| from != to).map(link).collect() }
}

fn node((count, domains, regions): (u32, u32, u32)) -> Node {
    let me = member(0, domains, regions);
    let (region, domain) = (me.region, me.domain);
    let me = Incarnation { node: me.node, boot: Boot(1) };
    let mut node = Node::<TwoChoices>::new(
        NodeConfig { me, region, domain, epoch: Minute(0), seed: 1 },
        Timestamp::ZERO,
    );
    let members = (0..count).map(|n| member(n, domains, regions)).collect();
    let values = [
        ("config/topology", ConfigValue::Topology(topology(regions))),
        ("config/fleet", ConfigValue::Fleet(Fleet { members, previous: Vec::new() })),
    ];
    let parsed = values.into_iter().enumerate().map(|(i, (key, value))| {
        let entry = Entry { key: key.into(), revision: Revision(i as u64 + 1), value: Some("{}".into()) };
        ParsedEntry { entry, value: Some(value) }
    });
    let event = Event::Config { entries: parsed.collect(), source: ConfigSource::Peer };
    node.handle(NOW, event, &mut Vec::new());
    node
}

fn bench_view(c: &mut Criterion) {
    let mut group = c.benchmark_group("node");
    for size in SIZES {
        let node = node(size);
        group.bench_function(BenchmarkId::new("view", size.0), |b| b.iter(|| black_box(node.view(NOW))));
    }
    group.finish();
}

criterion_group!(benches, bench_view);
criterion_main!(benches);
