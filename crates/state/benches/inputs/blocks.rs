//! Deterministic client blocks for the block benchmark and the memory example.

use std::net::{Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use medlarstair_state::blocks::BlockTable;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of regions in a deployment of the size that the system is designed for.
pub const REGIONS: u16 = 19;

/// Distribution of IPv4 prefix lengths per thousand blocks. Three quarters are /24 or longer, as in public routing
/// tables.
const LENGTHS_V4: [(u8, u32); 9] =
    [(24, 690), (23, 100), (22, 110), (21, 35), (20, 20), (19, 10), (18, 3), (25, 16), (28, 16)];

/// Distribution of IPv6 prefix lengths per thousand blocks.
const LENGTHS_V6: [(u8, u32); 6] = [(48, 560), (44, 90), (40, 100), (36, 50), (32, 150), (56, 50)];

/// Draws a prefix length from a distribution per thousand.
fn random_prefix_length<R: Rng>(rng: &mut R, table: &[(u8, u32)]) -> u8 {
    let mut remaining = rng.random_range(0..1000);
    for &(len, weight) in table {
        if remaining < weight {
            return len;
        }
        remaining -= weight;
    }
    table[0].0
}

/// Returns `count` client blocks in address order. Four fifths are IPv4; one tenth of these lie inside the previous
/// block.
///
/// Consecutive blocks belong to the same region in runs of 50 on average.
pub fn blocks(count: usize) -> Vec<(IpNet, u16)> {
    let mut rng = Pcg64Mcg::seed_from_u64(39);
    let mut out = Vec::with_capacity(count);
    let mut region = 0;
    // Gaps keep the address density independent of `count`.
    let mut v4: u32 = 0x0100_0000;
    while out.len() < count * 4 / 5 {
        if rng.random_range(0..50) == 0 {
            region = rng.random_range(0..REGIONS);
        }
        let len = random_prefix_length(&mut rng, &LENGTHS_V4);
        let size = 1_u32 << (32 - len);
        let gap = if rng.random_range(0..4) == 0 { 1024 } else { 0 };
        v4 = (v4 + gap).next_multiple_of(size);
        out.push((Ipv4Net::new_assert(Ipv4Addr::from(v4), len).into(), region));
        if len <= 22 && rng.random_range(0..2) == 0 {
            let inner = Ipv4Net::new_assert(Ipv4Addr::from(v4 + 256), 24);
            out.push((inner.into(), rng.random_range(0..REGIONS)));
        }
        v4 += size;
    }
    let mut v6: u128 = 0x2001_0000_u128 << 96;
    while out.len() < count {
        if rng.random_range(0..50) == 0 {
            region = rng.random_range(0..REGIONS);
            // Each provider's allocation starts at a new /32.
            v6 = v6.next_multiple_of(1 << 96);
        }
        let len = random_prefix_length(&mut rng, &LENGTHS_V6);
        let size = 1_u128 << (128 - len);
        v6 = v6.next_multiple_of(size);
        out.push((Ipv6Net::new_assert(Ipv6Addr::from(v6), len).into(), region));
        v6 += size;
    }
    out.truncate(count);
    out
}

/// Text of a part that contains `blocks`.
pub fn text(blocks: &[(IpNet, u16)]) -> String {
    blocks.iter().map(|(net, region)| format!("{net} region-{region}\n")).collect()
}

/// Loads `blocks` into a table, `per_part` blocks to a part.
pub fn table(blocks: &[(IpNet, u16)], per_part: usize) -> BlockTable {
    let mut table = BlockTable::default();
    for (i, part) in blocks.chunks(per_part).enumerate() {
        table.load_part(&format!("{i:05}"), &text(part)).expect("the text is valid");
    }
    table
}
