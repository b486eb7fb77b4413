//! Tests of the load balancing over backend servers.

use std::collections::BTreeSet;
use std::time::Duration;

use medlarstair_state::id::Backend;
use medlarstair_state::model::{BackendSpec, DrainScope, Slots};
use medlarstair_state::routing::{
    AttemptEnd, BackendSelector, Candidate, LeastReportedLoad, LoadReport, Policy, Random, RoundRobin,
    TwoChoices,
};
use medlarstair_state::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const LATENCY: Duration = Duration::from_millis(20);

fn specs(count: usize) -> Vec<BackendSpec> {
    let spec = |i: usize| BackendSpec {
        name: format!("b{i}").parse().unwrap(),
        region: format!("r{}", i % 2).parse().unwrap(),
        domain: format!("d{}", i % 4).parse().unwrap(),
        address: format!("127.0.0.1:{}", 9000 + i).parse().unwrap(),
        slots: Slots(3),
    };
    (0..count).map(spec).collect()
}

fn idle_candidates(specs: &[BackendSpec]) -> Vec<Candidate<'_>> {
    let candidate = |backend| Candidate { backend, free: 1, usable: 1, same_region: true };
    specs.iter().map(|spec| candidate(&spec.name)).collect()
}

fn report(boot: u64, in_use: u32) -> LoadReport {
    LoadReport { boot, in_use, slots: 3, draining: false, age: Duration::ZERO }
}

/// Guards against wrong state transitions of circuit breaker, slow start and load reports.
#[test]
fn attempts_and_reports_decide_what_a_server_accepts() {
    let specs = specs(1);
    let name = &specs[0].name;
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut selector = BackendSelector::new();
    for (number, row) in include_str!("data/attempts.txt").lines().enumerate() {
        let row = row.trim();
        if row.is_empty() || row.starts_with('#') {
            continue;
        }
        if row.starts_with("reset") {
            selector = BackendSelector::new();
            selector.set_backends(Timestamp::ZERO, &specs);
            continue;
        }
        let fields: Vec<&str> = row.split_whitespace().collect();
        let (event, expected) = fields[1..].split_at(fields.len() - 3);
        let mut now = Timestamp::from_millis(fields[0].parse().unwrap());
        let times = event.get(1).and_then(|n| n.parse().ok()).unwrap_or(1);
        let candidate = Candidate { backend: name, free: 1, usable: 1, same_region: true };
        for _ in 0..times {
            let end = match event[0] {
                "ran" => AttemptEnd::Ran { latency: LATENCY },
                "error" => AttemptEnd::ServerError { latency: LATENCY },
                "shed" => AttemptEnd::Shed,
                "refused" | "fail-trials" => AttemptEnd::NotConnected,
                "timeout" => AttemptEnd::TimedOut,
                "cancelled" => AttemptEnd::Cancelled,
                _ => break,
            };
            if event[0] == "fail-trials" {
                assert!(selector.select(now, &mut rng, &[candidate], None).is_some(), "row {}", number + 1);
            }
            selector.on_attempt_end(now, name, &end);
            if event[0] == "fail-trials" && times > 1 {
                now = now + Duration::from_secs(31);
            }
        }
        if event[0] == "pick" {
            assert_eq!(selector.select(now, &mut rng, &[candidate], None), Some(name), "row {}", number + 1);
        }
        if event[0] == "report" {
            let value =
                |key| event.iter().find_map(|f| f.strip_prefix(key)).map(|v: &str| v.parse().unwrap());
            let age = Duration::from_millis(value("age=").unwrap_or(0));
            let draining = event.contains(&"draining");
            let report = LoadReport { draining, age, ..report(value("boot=").unwrap(), 0) };
            selector.on_report(now, name, &report);
        }
        let now = Timestamp::from_millis(fields[0].parse().unwrap());
        let cap = match selector.slot_cap(now, name) {
            u32::MAX => "-".to_owned(),
            cap => cap.to_string(),
        };
        let accepts = if selector.accepts(now, name) { "yes" } else { "no" };
        assert_eq!([accepts, &cap], expected, "row {}", number + 1);
    }
}

/// Simulates four servers after slow start, with 3 slots each and one request every 3 ms, and returns the fraction of
/// the requests that server 0 gets.
///
/// Server 0 ends each `every`-th request with `failure` after `failure_time` and always reports that it is idle. All
/// other requests end successfully after 20 ms, and the other servers report their actual load.
fn failing_server_share<P: Policy>(
    policy: P,
    failure: AttemptEnd,
    failure_time: Duration,
    every: u32,
) -> f64 {
    let specs = specs(4);
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut selector = BackendSelector::with_policy(policy);
    selector.set_backends(Timestamp::ZERO, &specs);
    for spec in &specs {
        for s in 0..4 {
            let ran = AttemptEnd::Ran { latency: LATENCY };
            selector.on_attempt_end(Timestamp::from_millis(s * 1000), &spec.name, &ran);
        }
    }
    let mut running: BTreeSet<(Timestamp, usize, u64, bool)> = BTreeSet::new();
    let (mut selections, mut to_failing) = (0, 0);
    for step in 0..5_000 {
        let now = Timestamp::from_millis(4_000 + 3 * step);
        while let Some((end, i, _, fails)) = running.first().copied().filter(|(end, ..)| *end <= now) {
            running.pop_first();
            let ended = if fails { failure } else { AttemptEnd::Ran { latency: LATENCY } };
            selector.on_attempt_end(end, &specs[i].name, &ended);
        }
        let in_flight = |i| running.iter().filter(|(_, server, ..)| *server == i).count() as u32;
        for (i, spec) in specs.iter().enumerate().filter(|_| step % 100 == 0) {
            let in_use = if i == 0 { 0 } else { in_flight(i) };
            selector.on_report(now, &spec.name, &report(1, in_use));
        }
        let candidates: Vec<Candidate<'_>> = specs
            .iter()
            .enumerate()
            .map(|(i, s)| Candidate {
                backend: &s.name,
                free: 3 - in_flight(i),
                usable: 3,
                same_region: true,
            })
            .collect();
        let Some(selected) = selector.select(now, &mut rng, &candidates, None) else { continue };
        let i = specs.iter().position(|s| s.name == *selected).unwrap();
        selections += 1;
        to_failing += u32::from(i == 0);
        let fails = i == 0 && to_failing % every == 0;
        running.insert((now + if fails { failure_time } else { LATENCY }, i, step, fails));
    }
    f64::from(to_failing) / f64::from(selections)
}

/// Guards against a server that attracts work because its errors are fast, or because it reports to be idle while
/// requests to it time out. It may get at most half of an even share. The baseline policies, which must give it more,
/// show that the scenario is effective.
#[test]
fn failing_servers_do_not_attract_work() {
    let fast = Duration::from_millis(1);
    let fast_error = AttemptEnd::ServerError { latency: fast };
    let error = AttemptEnd::ServerError { latency: LATENCY };
    let cases = [
        (fast_error, fast, 1),
        (AttemptEnd::TimedOut, 10 * LATENCY, 1),
        (error, LATENCY, 3),
        (fast_error, fast, 3),
    ];
    for (end, after, every) in cases {
        let two_choices = failing_server_share(TwoChoices, end, after, every);
        let random = failing_server_share(Random, end, after, every);
        let round_robin = failing_server_share(RoundRobin::default(), end, after, every);
        let least_reported = failing_server_share(LeastReportedLoad, end, after, every);
        let figures =
            format!("{end:?}: {two_choices:.3}, baselines {random:.3} {round_robin:.3} {least_reported:.3}");
        assert!(two_choices <= 0.125, "{figures}");
        assert!(
            two_choices < random && two_choices < round_robin && two_choices < least_reported,
            "{figures}"
        );
    }
}

/// Guards against a failing server that takes all queued requests while the other servers are full. It gets one trial
/// request per second.
#[test]
fn failing_server_gets_one_trial_a_second() {
    let specs = specs(3);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut selector = BackendSelector::new();
    selector.set_backends(Timestamp::ZERO, &specs);
    let error = AttemptEnd::ServerError { latency: Duration::from_millis(1) };
    for _ in 0..5 {
        selector.on_attempt_end(Timestamp::ZERO, &specs[0].name, &error);
    }
    let mut trials = 0;
    for ms in 0..10_000 {
        let now = Timestamp::from_millis(ms);
        if selector.select(now, &mut rng, &idle_candidates(&specs)[..1], None).is_some() {
            selector.on_attempt_end(now, &specs[0].name, &error);
            trials += 1;
        }
    }
    assert_eq!(trials, 10);
}

/// Guards against a service that gets no work because all its servers fail, which is probably the fault of the requests.
#[test]
fn servers_that_all_fail_are_not_held_back() {
    let specs = specs(3);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut selector = BackendSelector::new();
    selector.set_backends(Timestamp::ZERO, &specs);
    for ms in 0..500 {
        let now = Timestamp::from_millis(ms);
        let selected =
            selector.select(now, &mut rng, &idle_candidates(&specs), None).expect("a server").clone();
        selector.on_attempt_end(now, &selected, &AttemptEnd::ServerError { latency: LATENCY });
    }
}

/// Guards against old reports that attract work: a report is ignored after 3 s.
#[test]
fn old_reports_count_as_absent() {
    let specs = specs(2);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut selector = BackendSelector::with_policy(LeastReportedLoad);
    selector.set_backends(Timestamp::ZERO, &specs);
    let candidates = idle_candidates(&specs);
    selector.on_report(Timestamp::ZERO, &specs[1].name, &report(1, 0));
    for (ms, in_use, expected) in [(3_000, 1, 1), (3_001, 1, 0), (9_000, 2, 0)] {
        let now = Timestamp::from_millis(ms);
        selector.on_report(now, &specs[0].name, &report(1, in_use));
        assert_eq!(
            selector.select(now, &mut rng, &candidates, None),
            Some(&specs[expected].name),
            "at {ms} ms"
        );
    }
}

/// Guards against a recovered server that gets no work because of its old statistics.
#[test]
fn recovered_servers_get_work_again() {
    let specs = specs(4);
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    let mut selector = BackendSelector::new();
    selector.set_backends(Timestamp::ZERO, &specs);
    for spec in &specs {
        selector.on_attempt_end(Timestamp::ZERO, &spec.name, &AttemptEnd::Ran { latency: LATENCY });
    }
    for _ in 0..20 {
        selector.on_attempt_end(Timestamp::ZERO, &specs[0].name, &AttemptEnd::Ran { latency: 10 * LATENCY });
        selector.on_attempt_end(
            Timestamp::ZERO,
            &specs[0].name,
            &AttemptEnd::ServerError { latency: LATENCY },
        );
    }
    let mut selections = 0;
    for ms in (0..60_000).step_by(10) {
        let now = Timestamp::from_millis(ms);
        let selected =
            selector.select(now, &mut rng, &idle_candidates(&specs), None).expect("a server").clone();
        selections += u32::from(ms >= 50_000 && selected == specs[0].name);
        selector.on_attempt_end(now, &selected, &AttemptEnd::Ran { latency: LATENCY });
    }
    assert!(selections > 125, "{selections} of 1000 requests, less than half of an even share");
}

/// Guards against selecting another region or the failed server while a better candidate can take the request.
#[test]
fn own_region_first_and_failed_server_last() {
    let specs = specs(3);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut selector = BackendSelector::new();
    selector.set_backends(Timestamp::ZERO, &specs);
    let mut select = |free: [u32; 3], avoid: Option<usize>| {
        let candidate = |i: usize| Candidate {
            backend: &specs[i].name,
            free: free[i],
            usable: free[i],
            same_region: i != 2,
        };
        let candidates = [candidate(0), candidate(1), candidate(2)];
        let selected = selector.select(Timestamp::ZERO, &mut rng, &candidates, avoid.map(|i| &specs[i].name));
        selected.map(|name| specs.iter().position(|s| s.name == *name).unwrap())
    };
    for _ in 0..50 {
        assert_ne!(select([1, 1, 1], None), Some(2));
        assert_eq!(select([1, 1, 1], Some(0)), Some(1));
    }
    assert_eq!(select([1, 0, 1], Some(0)), Some(2));
    assert_eq!(select([1, 0, 0], Some(0)), Some(0));
    assert_eq!(select([0, 0, 0], None), None);
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(19),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against selecting a server that is being removed, has no free slot or is at its slow-start cap, whatever
    /// its reports say.
    #[test]
    fn picked_servers_accept_work(
        steps in prop::collection::vec((0..8usize, 0..9u8, 0..4u32, 0..4u32, 0..1500u64), 1..80),
    ) {
        let specs = specs(8);
        let mut rng = Pcg64Mcg::seed_from_u64(2);
        let mut selector = BackendSelector::new();
        selector.set_backends(Timestamp::ZERO, &specs);
        let mut now = Timestamp::ZERO;
        let mut out_of_service = BTreeSet::new();
        for (i, action, free, used, wait_ms) in steps {
            now = now + Duration::from_millis(wait_ms);
            let spec = &specs[i];
            match action {
                0 => {
                    out_of_service = BTreeSet::from([spec.name.clone()]);
                    selector.set_leaving(&out_of_service);
                }
                1 => {
                    selector.set_drains(&BTreeSet::from([DrainScope::Domain(spec.domain.clone())]));
                    selector.set_leaving(&BTreeSet::new());
                    let drained = specs.iter().filter(|s| s.domain == spec.domain);
                    out_of_service = drained.map(|s| s.name.clone()).collect();
                }
                2 => {
                    selector.set_leaving(&BTreeSet::new());
                    selector.set_drains(&BTreeSet::new());
                    out_of_service.clear();
                }
                3 => selector.on_report(now, &spec.name, &LoadReport { draining: true, ..report(1, 0) }),
                4 => selector.on_report(now, &spec.name, &report(u64::from(free), 0)),
                5 => for _ in 0..5 { selector.on_attempt_end(now, &spec.name, &AttemptEnd::NotConnected) },
                _ => selector.on_attempt_end(now, &spec.name, &AttemptEnd::Ran { latency: LATENCY }),
            }
            let candidates: Vec<Candidate<'_>> = specs.iter().map(|s| {
                Candidate { backend: &s.name, free, usable: free + used, same_region: s.region == spec.region }
            }).collect();
            let accepting: Vec<bool> = specs.iter().map(|s| selector.accepts(now, &s.name)).collect();
            let Some(selected) = selector.select(now, &mut rng, &candidates, Some(&spec.name)) else { continue };
            let selected: Backend = selected.clone();
            let position = specs.iter().position(|s| s.name == selected).unwrap();
            prop_assert!(accepting[position] && !out_of_service.contains(&selected));
            prop_assert!(free > 0);
            selector.on_attempt_end(now, &selected, &AttemptEnd::Cancelled);
            prop_assert!(used < selector.slot_cap(now, &selected));
        }
    }
}
