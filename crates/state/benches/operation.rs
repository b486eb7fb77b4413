//! Time and memory of the operation table, and time of configuration maps, by number of entries.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use medlarstair_state::config::{ConfigMap, Entry};
use medlarstair_state::id::{Boot, Fingerprint, Incarnation, NodeId, RequestId, Revision};
use medlarstair_state::operation::{
    AttemptOutcome, BeginOutcome, Minute, OperationConfig, OperationRequest, OperationTable,
    RETENTION_MINUTES, RecordedAnswer, Token,
};
use medlarstair_state::time::Timestamp;

const TABLE_SIZES: [usize; 3] = [1_000, 10_000, 100_000];
const CONFIG_SIZES: [usize; 3] = [100, 1_000, 10_000];
/// Size of a short JSON answer.
const BODY_BYTES: usize = 256;
const START: u32 = 29_000_000;

/// A table that receives the same number of operations in each minute, so that its size stays constant.
struct ConstantSizeTable {
    table: OperationTable,
    minute: u32,
    sequence: u64,
}

impl ConstantSizeTable {
    fn new(entries: usize) -> Self {
        let me = Incarnation { node: NodeId(1), boot: Boot(1) };
        let cfg =
            OperationConfig { max_entries: usize::MAX, max_bytes: usize::MAX, ..OperationConfig::default() };
        let mut table = Self { table: OperationTable::new(me, cfg), minute: 0, sequence: 0 };
        for _ in 0..RETENTION_MINUTES {
            table.run_minute(entries / RETENTION_MINUTES as usize);
        }
        table
    }

    /// Begins and finishes `operations` new operations in the next minute and returns the time that they took,
    /// including the expiry of the oldest minute.
    fn run_minute(&mut self, operations: usize) -> Duration {
        self.minute += 1;
        let now = Timestamp::ZERO + Duration::from_secs(60) * self.minute;
        let minute = Minute(START + self.minute);
        let prefix = self.table.token_prefix(minute);
        let mut work: Vec<(Token, OperationRequest, RecordedAnswer)> = Vec::with_capacity(operations);
        for _ in 0..operations {
            self.sequence += 1;
            let token = format!("{prefix}order-{:08}", self.sequence).parse().expect("a valid token");
            let id = RequestId(self.sequence);
            let customer = "wholesaler-1".parse().expect("a valid name");
            let req = OperationRequest { id, customer, fingerprint: Fingerprint(self.sequence) };
            let body = vec![b'x'; BODY_BYTES];
            let content_type = "application/json".into();
            work.push((token, req, RecordedAnswer { status: 200, content_type, body, omitted: false }));
        }
        let start = Instant::now();
        self.table.expire(now);
        for (token, req, answer) in work {
            let begin = self.table.begin(now, minute, &token, &req);
            assert!(matches!(begin, BeginOutcome::Run));
            self.table.finish(now, req.id, AttemptOutcome::Answered(answer));
        }
        start.elapsed()
    }
}

fn operations(c: &mut Criterion) {
    let mut group = c.benchmark_group("operation/begin_finish");
    group.sample_size(20).measurement_time(Duration::from_secs(3));
    for entries in TABLE_SIZES {
        let mut table = ConstantSizeTable::new(entries);
        let per_minute = entries / RETENTION_MINUTES as usize;
        group.bench_function(BenchmarkId::from_parameter(entries), |b| {
            b.iter_custom(|iterations| {
                let minutes = iterations.div_ceil(per_minute as u64);
                let total: Duration = (0..minutes).map(|_| table.run_minute(per_minute)).sum();
                total.mul_f64(iterations as f64 / (minutes * per_minute as u64) as f64)
            });
        });
    }
    group.finish();
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("the kernel reports memory use");
    let pages: usize =
        statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).expect("a number of pages");
    pages * 4_096
}

/// Prints the bytes per entry, as counted by the table and as measured by the growth of the resident set.
fn memory(_: &mut Criterion) {
    for entries in TABLE_SIZES {
        let before = resident_bytes();
        let tables: Vec<ConstantSizeTable> =
            (0..TABLE_SIZES[2] / entries).map(|_| ConstantSizeTable::new(entries)).collect();
        let resident = (resident_bytes() - before) / TABLE_SIZES[2];
        let counted = tables[0].table.bytes() / entries;
        println!(
            "operation/bytes_per_entry/{entries}: {counted} counted, {resident} resident, of which {BODY_BYTES} body"
        );
        // The memory is not freed, so that the next size cannot reuse it and appear smaller.
        std::mem::forget(tables);
    }
}

fn entry(n: usize, revision: u64) -> Entry {
    let value = Some("x".repeat(512).into());
    Entry { key: format!("contract/customer-{n:05}").into(), revision: Revision(revision), value }
}

fn config_map(keys: usize) -> ConfigMap {
    let mut map = ConfigMap::new();
    for n in 0..keys {
        map.merge(entry(n, n as u64 + 1));
    }
    map
}

fn config(c: &mut Criterion) {
    let mut group = c.benchmark_group("config");
    group.sample_size(20).measurement_time(Duration::from_secs(3));
    for keys in CONFIG_SIZES {
        let mut map = config_map(keys);
        let mut revision = keys as u64;
        let mut next = || {
            revision += 1;
            entry(revision as usize * 7_919 % keys, revision)
        };
        group.bench_function(BenchmarkId::new("offer_newer", keys), |b| {
            b.iter_batched(&mut next, |entry| map.merge(entry), BatchSize::SmallInput);
        });
        let (full, mut incomplete) = (config_map(keys), config_map(keys - 1));
        group.bench_function(BenchmarkId::new("digest_comparison", keys), |b| {
            b.iter(|| black_box(&full).digest() == black_box(&incomplete).digest());
        });
        group.bench_function(BenchmarkId::new("find_difference", keys), |b| {
            b.iter(|| full.missing_from(&incomplete.summary()).len());
        });
        incomplete.merge(entry(keys - 1, keys as u64));
        assert_eq!(full.digest(), incomplete.digest());
    }
    group.finish();
}

criterion_group!(benches, memory, operations, config);
criterion_main!(benches);
