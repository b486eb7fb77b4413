//! Fleet definition for the membership tests, benchmark and memory example.

use medlarstair_state::config::Digest;
use medlarstair_state::id::{NodeId, Revision};
use medlarstair_state::model::{Fleet, FleetMember};

/// Digest of the initial configuration.
pub const CONFIG: Digest = Digest { entries: 40, highest: Revision(70_000), hash: 0x9e37_79b9_7f4a_7c15 };

/// Builds a fleet with `domains[i]` daemons in domain i. Node ids start at 1000, as in a large fleet.
pub fn fleet(domains: &[u32]) -> Fleet {
    let mut members = Vec::new();
    for (i, &count) in domains.iter().enumerate() {
        for _ in 0..count {
            members.push(FleetMember {
                node: NodeId(1000 + members.len() as u32),
                region: format!("region-{}", i / 2).parse().expect("a valid name"),
                domain: format!("domain-{i}").parse().expect("a valid name"),
                peer_address: "127.0.0.1:1".parse().expect("an address"),
                http_address: "127.0.0.1:2".parse().expect("an address"),
            });
        }
    }
    Fleet { members, previous: Vec::new() }
}
