//! Cost of the share ledger by number of limits and daemons.

use std::hint::black_box;
use std::time::Duration;

use criterion::{
    BatchSize, BenchmarkGroup, Criterion, criterion_group, criterion_main, measurement::WallTime,
};
use medlarstair_state::id::{Boot, Incarnation, NodeId, Region};
use medlarstair_state::ledger::{Ledger, LimitKey, LoanId, LoanItem, LoanRequest, LoanReturn, LoanTarget};
use medlarstair_state::ledger::{Scope, Units};
use medlarstair_state::model::{Fleet, FleetMember};
use medlarstair_state::time::Timestamp;

/// Later than every loan of an earlier boot, so that the ledger spends and lends.
const NOW: Timestamp = Timestamp::from_millis(60_000);

fn region(n: usize) -> Region {
    format!("region-{}", n % 3).parse().unwrap()
}

fn fleet(daemons: usize) -> Fleet {
    let address = "127.0.0.1:7000".parse().unwrap();
    let member = |n: usize| FleetMember {
        node: NodeId(n as u32),
        region: region(n),
        domain: format!("domain-{}", n % 6).parse().unwrap(),
        peer_address: address,
        http_address: address,
    };
    Fleet { members: (0..daemons).map(member).collect(), previous: Vec::new() }
}

/// A third each of slots, rates and shifts.
fn limit(n: usize) -> (LimitKey, Scope) {
    let customer = format!("customer-{n}").parse().unwrap();
    let service = "stock".parse().unwrap();
    match n % 3 {
        0 => {
            let scope = Scope::Home { region: region(0), domain: "domain-0".parse().unwrap() };
            (LimitKey::Slots(format!("backend-{n}").parse().unwrap()), scope)
        }
        1 => (LimitKey::Rate(customer, service), Scope::Fleet),
        _ => (LimitKey::Shift(customer, service, region(0)), Scope::Region(region(0))),
    }
}

fn ledger(keys: usize, fleet: &Fleet) -> Ledger {
    let mut ledger = Ledger::new(Incarnation { node: NodeId(0), boot: Boot(1) }, Timestamp::ZERO);
    ledger.set_fleet(NOW, fleet);
    for n in 0..keys {
        let (key, scope) = limit(n);
        ledger.set_limit(NOW, key, Units(100_003), scope);
    }
    ledger
}

fn acquire(group: &mut BenchmarkGroup<'_, WallTime>, keys: usize, fleet: &Fleet) {
    let mut ledger = ledger(keys, fleet);
    let (key, _) = limit(1);
    group.bench_function(name("acquire and release", keys, fleet), |b| {
        b.iter(|| {
            let hold = ledger.acquire(NOW, black_box(&key), Units(1)).unwrap();
            ledger.release(NOW, hold);
        });
    });
}

fn lend(group: &mut BenchmarkGroup<'_, WallTime>, keys: usize, fleet: &Fleet) {
    let mut ledger = ledger(keys, fleet);
    let (key, _) = limit(1);
    let borrower = Incarnation { node: NodeId(1), boot: Boot(1) };
    let mut sequence = 0;
    let mut now = NOW;
    group.bench_function(name("lend and take back", keys, fleet), |b| {
        b.iter(|| {
            sequence += 1;
            // One loan per millisecond: returned loans are remembered for about a second.
            now = now + Duration::from_millis(1);
            let id = LoanId { borrower, sequence };
            let want = LoanTarget::Limit(key.clone());
            let req = LoanRequest { id, lender: NodeId(0), want, units: Units(1), renews: None };
            let grant = ledger.lend(now, &req, &[LoanItem { key: key.clone(), units: Units(1) }]);
            ledger.on_return(now, &LoanReturn { id, accepted: true });
            grant
        });
    });
}

fn set_fleet(group: &mut BenchmarkGroup<'_, WallTime>, keys: usize, fleet: &Fleet) {
    group.bench_function(name("set fleet", keys, fleet), |b| {
        b.iter_batched_ref(
            || ledger(keys, fleet),
            |ledger| ledger.set_fleet(NOW, black_box(fleet)),
            BatchSize::LargeInput,
        );
    });
}

fn name(what: &str, keys: usize, fleet: &Fleet) -> String {
    format!("{what}/{keys} keys/{} daemons", fleet.members.len())
}

fn bench(c: &mut Criterion) {
    let mut group = c.benchmark_group("ledger");
    group
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(500));
    for keys in [10, 100, 1_000] {
        for daemons in [7, 70, 280] {
            let fleet = fleet(daemons);
            acquire(&mut group, keys, &fleet);
            lend(&mut group, keys, &fleet);
            set_fleet(&mut group, keys, &fleet);
        }
    }
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
