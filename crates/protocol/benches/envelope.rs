//! Benchmarks of sealing and opening a message.

use std::hint::black_box;

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use medlarstair_protocol::clock::HybridTime;
use medlarstair_protocol::envelope::{Channel, Opener, Sealer};
use medlarstair_protocol::key::KeyRing;
use medlarstair_state::id::{Boot, Incarnation, NodeId};

const SIZES: [(Channel, usize); 3] =
    [(Channel::Datagram, 100), (Channel::Datagram, 1_000), (Channel::Stream, 64 << 10)];
const RECEIVER: NodeId = NodeId(2);

/// Returns a string, which is encoded as one block like the body of a forwarded request.
fn payload(bytes: usize) -> Box<str> {
    "x".repeat(bytes).into()
}

fn envelope(c: &mut Criterion) {
    let keys = KeyRing::parse(&"0a".repeat(32)).expect("the key is valid");
    let me = Incarnation { node: NodeId(1), boot: Boot(1) };
    let at = HybridTime { wall_ms: 1_700_000_000_000, logical: 0 };
    let mut group = c.benchmark_group("envelope");
    for (channel, bytes) in SIZES {
        let payload = payload(bytes);
        let mut sealer = Sealer::new(keys.clone(), me);
        let mut opener = Opener::new(keys.clone(), RECEIVER);
        group.throughput(Throughput::Bytes(bytes as u64));
        group.bench_function(BenchmarkId::new("seal", bytes), |b| {
            b.iter(|| sealer.seal(channel, RECEIVER, at, black_box(&payload)).expect("it fits"));
        });
        group.bench_function(BenchmarkId::new("open", bytes), |b| {
            // Each message is accepted only once, so each iteration opens a new one.
            let next_message = || sealer.seal(channel, RECEIVER, at, &payload).expect("it fits");
            b.iter_batched(
                next_message,
                |buf| opener.open::<Box<str>>(channel, &buf).expect("it is valid"),
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, envelope);
criterion_main!(benches);
