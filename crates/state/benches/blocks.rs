//! Benchmarks of lookups in the block table and of the replacement of one part.

use std::hint::black_box;
use std::net::IpAddr;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ipnet::IpNet;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[path = "inputs/blocks.rs"]
mod inputs;

/// Blocks per part. The text of a part then has about 64 kB.
const PER_PART: usize = 2_500;

/// Returns `count` random addresses, each inside a randomly chosen block.
fn addresses(blocks: &[(IpNet, u16)], count: usize) -> Vec<IpAddr> {
    let mut rng = Pcg64Mcg::seed_from_u64(41);
    let mut out = Vec::with_capacity(count);
    for _ in 0..count {
        out.push(match blocks[rng.random_range(0..blocks.len())].0 {
            IpNet::V4(net) => {
                let host = rng.random::<u32>() & u32::from(net.hostmask());
                IpAddr::V4((u32::from(net.addr()) | host).into())
            }
            IpNet::V6(net) => {
                let host = rng.random::<u128>() & u128::from(net.hostmask());
                IpAddr::V6((u128::from(net.addr()) | host).into())
            }
        });
    }
    out
}

fn lookup(c: &mut Criterion) {
    let mut group = c.benchmark_group("blocks/lookup");
    for count in [39_000, 390_000, 3_900_000] {
        let blocks = inputs::blocks(count);
        let addresses = addresses(&blocks, 1 << 20);
        let table = inputs::table(&blocks, PER_PART);
        let mut i = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                i = (i + 1) % addresses.len();
                black_box(table.lookup(addresses[i]));
            });
        });
    }
    group.finish();
}

fn replace(c: &mut Criterion) {
    let mut group = c.benchmark_group("blocks/replace_part");
    group.sample_size(20);
    for count in [39_000, 390_000, 3_900_000] {
        let blocks = inputs::blocks(count);
        let mut table = inputs::table(&blocks, PER_PART);
        let text = inputs::text(&blocks[..PER_PART]);
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| table.load_part("00000", &text).expect("the text is valid"));
        });
    }
    group.finish();
}

criterion_group!(benches, lookup, replace);
criterion_main!(benches);
