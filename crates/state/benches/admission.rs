//! Benchmarks of the admission queues, the backend selection and the status text.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use medlarstair_state::admission::{AdmissionConfig, AdmissionQueues, Ticket};
use medlarstair_state::id::{Backend, Rank, RequestId};
use medlarstair_state::model::{BackendSpec, Percent, Slots};
use medlarstair_state::routing::{AttemptEnd, BackendSelector, Candidate, LoadReport};
use medlarstair_state::status::{Decision, Reason, StatusLine, StatusView, Verdict, render};
use medlarstair_state::time::Timestamp;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Enqueues and dequeues one request per iteration, so that the number of waiting requests does not change.
fn enqueue_and_dequeue(c: &mut Criterion) {
    let mut group = c.benchmark_group("offer+next");
    for waiting in [10, 100, 1_000] {
        group.bench_function(BenchmarkId::from_parameter(waiting), |b| {
            let hour = Duration::from_secs(3600);
            let cfg = AdmissionConfig {
                floors: [Percent(0), Percent(10), Percent(5)],
                wait_budget: [hour; 3],
                typical_run: Duration::from_millis(40),
            };
            let mut now = Timestamp::from_millis(1);
            let mut queues = AdmissionQueues::new(cfg, now);
            let mut id = 0;
            let mut ticket = |now: Timestamp| {
                id += 1;
                Ticket {
                    request: RequestId(id),
                    customer: format!("customer-{}", id % 20).parse().unwrap(),
                    rank: Rank::ALL[(id % 3) as usize],
                    deadline: now + hour,
                    queued_at: now,
                }
            };
            for _ in 0..waiting {
                queues.enqueue(now, ticket(now), 15);
            }
            b.iter(|| {
                now = now + Duration::from_micros(100);
                black_box(queues.enqueue(now, ticket(now), 15));
                if let Some(started) = black_box(queues.dequeue(now)) {
                    queues.on_finished(now, started.rank, Duration::from_millis(40));
                }
            });
            let still_waiting: usize = Rank::ALL.iter().map(|rank| queues.waiting(*rank)).sum();
            assert_eq!(still_waiting, waiting);
        });
    }
    group.finish();
}

fn select(c: &mut Criterion) {
    let mut group = c.benchmark_group("pick");
    for count in [4, 32, 256] {
        let specs: Vec<BackendSpec> = (0..count)
            .map(|i| BackendSpec {
                name: format!("desk-{i}").parse().unwrap(),
                region: "muscat".parse().unwrap(),
                domain: "muscat-1".parse().unwrap(),
                address: format!("127.0.0.1:{}", 9000 + i).parse().unwrap(),
                slots: Slots(3),
            })
            .collect();
        let mut now = Timestamp::from_millis(1);
        let mut selector = BackendSelector::new();
        selector.set_backends(now, &specs);
        for (i, spec) in specs.iter().enumerate() {
            let latency = Duration::from_millis(20 + i as u64 % 7);
            selector.on_attempt_end(now, &spec.name, &AttemptEnd::Ran { latency });
            let in_use = i as u32 % 3;
            let report = LoadReport { boot: 1, in_use, slots: 3, draining: false, age: Duration::ZERO };
            selector.on_report(now, &spec.name, &report);
        }
        let candidate =
            |backend: &'static Backend| Candidate { backend, free: 3, usable: 3, same_region: true };
        let names: &'static [BackendSpec] = specs.leak();
        let candidates: Vec<Candidate<'_>> = names.iter().map(|s| candidate(&s.name)).collect();
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                now = now + Duration::from_micros(100);
                black_box(selector.select(now, &mut rng, black_box(&candidates), None))
            });
        });
    }
    group.finish();
}

fn render_status(c: &mut Criterion) {
    let mut group = c.benchmark_group("render");
    for count in [10, 100, 1_000] {
        let lines = (0..count).map(|i| StatusLine {
            customer: format!("customer-{}", i * 7 % count).parse().unwrap(),
            service: "trade-counter".parse().unwrap(),
            decision: match i % 3 {
                0 => Decision { verdict: Verdict::Send, reason: Reason::Ok },
                1 => Decision {
                    verdict: Verdict::Wait { retry_after: Duration::from_millis(250) },
                    reason: Reason::Rate,
                },
                _ => Decision {
                    verdict: Verdict::Elsewhere { region: "salalah".parse().unwrap() },
                    reason: Reason::Load,
                },
            },
            load: Percent(i as u8 % 100),
        });
        let view = StatusView { lines: lines.collect() };
        group.bench_function(BenchmarkId::from_parameter(count), |b| b.iter(|| render(black_box(&view))));
    }
    group.finish();
}

criterion_group!(benches, enqueue_and_dequeue, select, render_status);
criterion_main!(benches);
