//! Requests that exceed the rate limit of a contract are refused with a usable Retry-After time.

use std::time::Duration;

use medlarstair_state::config::Entry;
use medlarstair_state::id::{Boot, Fingerprint, Incarnation, NodeId, Rank, RequestId, Revision};
use medlarstair_state::model::{
    ConfigValue, Contract, Fleet, FleetMember, Percent, RequestsPerSecond, ServiceSpec, ServiceTerms,
};
use medlarstair_state::node::{
    ConfigSource, Effect, Event, Idempotency, IncomingRequest, Node, NodeConfig, ParsedEntry, Reason,
};
use medlarstair_state::operation::Minute;
use medlarstair_state::time::Timestamp;

fn entry(key: &str, revision: u64, value: ConfigValue) -> ParsedEntry {
    let entry = Entry { key: key.into(), revision: Revision(revision), value: Some("".into()) };
    ParsedEntry { entry, value: Some(value) }
}

fn single_daemon(rate: u32) -> Node {
    let me = Incarnation { node: NodeId(1), boot: Boot(1) };
    let (region, domain) = ("muscat".parse().unwrap(), "muscat-1".parse().unwrap());
    let cfg = NodeConfig { me, region, domain, epoch: Minute(0), seed: 1 };
    let member = FleetMember {
        node: NodeId(1),
        region: cfg.region.clone(),
        domain: cfg.domain.clone(),
        peer_address: "127.0.0.1:7946".parse().unwrap(),
        http_address: "127.0.0.1:8080".parse().unwrap(),
    };
    let spec = ServiceSpec {
        name: "desk".parse().unwrap(),
        standard_floor: Percent(10),
        bulk_floor: Percent(5),
        typical_run: Duration::from_millis(40),
        backends: Vec::new(),
    };
    let terms = ServiceTerms {
        service: spec.name.clone(),
        rate: RequestsPerSecond(rate),
        shift_cap: RequestsPerSecond(0),
        max_deadline: Duration::from_secs(2),
    };
    let customer = "acme".parse().unwrap();
    let contract = Contract { customer, change_id: "c1".into(), services: vec![terms] };
    let entries = vec![
        entry("config/fleet", 1, ConfigValue::Fleet(Fleet { members: vec![member], previous: Vec::new() })),
        entry("config/service/desk", 2, ConfigValue::Service(spec)),
        entry("config/contract/acme", 3, ConfigValue::Contract(contract)),
    ];
    let mut node = Node::new(cfg, Timestamp::ZERO);
    node.handle(Timestamp::ZERO, Event::Config { entries, source: ConfigSource::Store }, &mut Vec::new());
    node
}

/// Guards against rate limit refusals with a Retry-After of zero or without bound. Tokens reserved for higher ranks
/// made the wait zero, and a rate of zero made it infinite.
#[test]
fn rate_refusals_name_a_usable_time() {
    for rate in [0, 1, 10, 200] {
        let mut node = single_daemon(rate);
        let now = Timestamp::from_millis(2_000);
        let mut out = Vec::new();
        for id in 0..300 {
            let req = IncomingRequest {
                id: RequestId(id),
                customer: "acme".parse().unwrap(),
                service: "desk".parse().unwrap(),
                rank: Rank::Bulk,
                deadline: Duration::from_secs(2),
                idempotency: Idempotency::Repeatable,
                fingerprint: Fingerprint(id),
                body_bytes: 0,
                resent: false,
                forwarded: false,
                evidence: None,
            };
            node.handle(now, Event::Request(req), &mut out);
        }
        let mut refusals = 0;
        for effect in out {
            let Effect::Refuse { refusal, .. } = effect else { continue };
            if refusal.reason != Reason::RateLimit {
                continue;
            }
            let wait = refusal.retry_after.expect("a time to return");
            let usable = Duration::from_millis(100)..=Duration::from_secs(60);
            assert!(usable.contains(&wait), "rate {rate}: {wait:?}");
            refusals += 1;
        }
        assert!(refusals > 0, "rate {rate}: nothing was refused");
    }
}
