//! Time of one tick and of merging one gossip message, by number of members in the failure domain.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

#[path = "inputs/members.rs"]
mod members;

const SIZES: [u32; 4] = [7, 30, 95, 300];

/// Merges a message in which every heartbeat has advanced. The time includes incrementing the counters in the message.
fn merge(c: &mut Criterion) {
    let mut group = c.benchmark_group("membership/merge");
    for count in SIZES {
        let mut receiver = members::fixture(&[count], 0);
        let mut sender = members::fixture(&[count], 1);
        let (_, mut message) = sender.tick().swap_remove(0);
        message.want_all = false;
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                message.members[0].heartbeat += 1;
                for beat in &mut message.beats {
                    beat.low = beat.low.wrapping_add(1);
                }
                receiver.membership.on_gossip(receiver.now, sender.id, black_box(&message));
            });
        });
    }
    group.finish();
}

/// Builds the messages of one period. The time includes merging a new heartbeat of every other daemon before it.
fn tick(c: &mut Criterion) {
    let mut group = c.benchmark_group("membership/tick");
    for count in SIZES {
        let mut sender = members::fixture(&[count], 0);
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| black_box(sender.tick()));
        });
    }
    group.finish();
}

criterion_group!(benches, merge, tick);
criterion_main!(benches);
