//! Benchmarks of the work for each request of an account, by the number of accounts.

use std::hint::black_box;
use std::rc::Rc;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use medlarstair_state::steering::accounts::{Account, AccountSpec, Accounts};
use medlarstair_state::steering::quota::{DaemonKey, QuotaDaemon, QuotaLimits, Quotas};
use medlarstair_state::time::Timestamp;

/// Numbers of accounts of a deployment and of a large fleet.
const ACCOUNTS: [usize; 2] = [74, 100_000];

/// Number of other daemons.
const DAEMONS: usize = 25;

fn key_of(n: usize) -> String {
    format!("dedev3nax7u27gx{n:08}")
}

fn accounts(count: usize) -> Accounts {
    let specs = (0..count).map(|n| AccountSpec {
        name: format!("account-{n}").into(),
        keys: vec![key_of(n).parse().expect("a valid key")],
        quota_rate: 1e6,
        burst: 1e6,
        ..AccountSpec::default()
    });
    Accounts::new(specs.collect())
}

/// Each iteration looks up one key that exists and one that does not.
fn key_lookup(c: &mut Criterion) {
    let mut group = c.benchmark_group("key lookup");
    for count in ACCOUNTS {
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            let accounts = accounts(count);
            let keys: Vec<String> = (0..count).map(key_of).collect();
            let mut n = 0;
            b.iter(|| {
                n = (n + 7_919) % count;
                black_box(accounts.of_key(keys[n].as_bytes()));
                black_box(accounts.of_key(&keys[n].as_bytes()[1..]))
            });
        });
    }
    group.finish();
}

/// Each iteration counts the arrival and the send of one request.
fn quota_check(c: &mut Criterion) {
    let mut group = c.benchmark_group("quota check");
    for count in ACCOUNTS {
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            let accounts = accounts(count);
            let list: Vec<Rc<Account>> = accounts.iter().cloned().collect();
            let daemon = |n: usize| {
                let key = DaemonKey::from_name(&format!("daemon-{n}"));
                QuotaDaemon { key, advertised: true, reachable: true }
            };
            let own = daemon(0);
            let mut quotas = Quotas::new(own.key, QuotaLimits::default(), Timestamp::ZERO, 1);
            quotas.set_accounts(Timestamp::ZERO, &accounts);
            quotas.set_daemons(Timestamp::ZERO, own, (1..=DAEMONS).map(daemon).collect());
            let mut n = 0;
            let mut now = Timestamp::from_millis(10_000);
            b.iter(|| {
                n = (n + 7_919) % count;
                now.0 += 100;
                black_box(quotas.admit(now, &list[n]).is_ok() && quotas.send(now, &list[n]).is_ok())
            });
        });
    }
    group.finish();
}

criterion_group!(benches, key_lookup, quota_check);
criterion_main!(benches);
