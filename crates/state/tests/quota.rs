//! Quotas over all daemons, in virtual time. Each test states the failure that it guards against.

use std::collections::BTreeSet;
use std::time::Duration;

use medlarstair_state::steering::accounts::{Accounts, Quota, RequestRate};
use medlarstair_state::steering::quota::coordinator::{Coordinator, Terms};
use medlarstair_state::steering::quota::message::{Demand, LeasedShare, Sequence};
use medlarstair_state::steering::quota::{
    AccountKey, Datagram, Grant, QuotaDaemon, QuotaLimits, Quotas, Report, Share,
};
use medlarstair_state::time::Timestamp;

#[path = "quota_support/mod.rs"]
mod support;

use support::{Fleet, accounts, listed};

const DAEMONS: usize = 26;

/// Rate of the quota in requests per second.
const RATE: f64 = 367.0;

/// Usual rate of the account at one daemon.
const USUAL: f64 = RATE / 1.6 / DAEMONS as f64;

/// Tolerance for sums of shares, which are rounded.
const ROUNDING: f64 = 1e-6;

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A fleet whose coordinators grant leases already.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(DAEMONS, accounts(RATE, RATE));
    fleet.run(secs(5.0), |_| USUAL);
    fleet
}

/// Guards against shares that add up to more than the quota, or a quota that is exceeded, if messages are lost, late,
/// duplicated and out of order.
#[test]
fn the_quota_holds_under_message_loss() {
    for (loss, max_delay) in [(0.0, 0.015), (0.3, 0.2), (0.7, 0.9)] {
        let mut fleet = Fleet::new(DAEMONS, accounts(RATE, RATE));
        (fleet.loss, fleet.max_delay) = (loss, secs(max_delay));
        fleet.run(secs(6.0), |_| USUAL);
        fleet.run(secs(10.0), |n| if n % 3 == 0 { USUAL * 20.0 } else { USUAL });
        fleet.run(secs(10.0), |n| if n % 3 == 1 { USUAL * 20.0 } else { 0.0 });
        assert!(fleet.max_share <= 1.0 + ROUNDING, "{loss}: {}", fleet.max_share);
        assert!(fleet.max_excess <= 0.0, "{loss}: {}", fleet.max_excess);
    }
}

/// Guards against requests within the quota that are rejected while the load is usual.
#[test]
fn requests_within_the_quota_are_served() {
    let mut fleet = fleet();
    fleet.reset_served();
    fleet.run(secs(20.0), |_| USUAL);
    let served: f64 = (0..DAEMONS).map(|n| fleet.take_served(n)).sum::<f64>() / DAEMONS as f64;
    assert!(served > 0.99, "{served}");
}

/// Guards against a daemon that takes the shares of others with a flood, and against a flood that is served less than the
/// quota leaves.
#[test]
fn a_flood_at_one_daemon_takes_nothing_from_the_others() {
    let mut fleet = fleet();
    fleet.run(secs(2.0), |n| if n == 3 { 8.0 * RATE / 1.6 } else { USUAL });
    fleet.reset_served();
    fleet.run(secs(10.0), |n| if n == 3 { 8.0 * RATE / 1.6 } else { USUAL });
    for n in (0..DAEMONS).filter(|n| *n != 3) {
        let served = fleet.take_served(n);
        assert!(served > 0.97, "daemon {n}: {served}");
    }
    assert!(fleet.max_excess <= 0.0, "{}", fleet.max_excess);
}

/// Guards against a share that stays where it is idle while another daemon rejects requests.
#[test]
fn an_idle_share_moves_within_a_second() {
    let mut fleet = fleet();
    for to in [1, 2, 7] {
        fleet.run(secs(4.0), |n| if n + 1 == to { RATE / 1.6 } else { 0.0 });
        fleet.run(secs(1.0), |n| if n == to { RATE / 1.6 } else { 0.0 });
        fleet.reset_served();
        fleet.run(secs(1.0), |n| if n == to { RATE / 1.6 } else { 0.0 });
        let served = fleet.take_served(to);
        assert!(served > 0.95, "daemon {to}: {served}");
        assert!(fleet.max_share <= 1.0 + ROUNDING, "{}", fleet.max_share);
    }
}

/// Guards against a coordinator whose death stops the exchange, or whose successor leases what is still in use.
#[test]
fn another_coordinator_takes_over_from_a_dead_one() {
    let mut fleet = fleet();
    let dead = fleet.coordinator();
    fleet.run(secs(2.0), |n| if n % 5 == 0 { RATE } else { 0.0 });
    fleet.kill(dead);
    fleet.run(secs(3.0), |n| if n % 5 == 1 { RATE } else { 0.0 });
    let left = fleet.running();
    // The others learn of the death at different times.
    for n in left.clone() {
        fleet.set_view(n, left.clone());
        fleet.run(secs(0.03), |n| if n % 5 == 1 { RATE } else { 0.0 });
    }
    fleet.run(secs(5.0), |n| if n % 5 == 1 { RATE } else { 0.0 });
    assert_ne!(fleet.coordinator(), dead);
    let (now, account) = (fleet.now, fleet.account.clone());
    let left: Vec<usize> = left.into_iter().filter(|n| n % 5 == 1).collect();
    let leased: f64 = left.iter().filter_map(|n| fleet.quotas(*n).share(now, &account)).sum();
    assert!(leased > 0.7, "{leased}");
    assert!(fleet.max_excess <= 0.0, "{}", fleet.max_excess);
}

/// Guards against a daemon that starts and has more than a floor at once, or takes the coordination of accounts over before
/// the leases of its predecessor have expired.
#[test]
fn a_daemon_that_starts_has_a_floor_only() {
    let mut fleet = fleet();
    for restarted in 0..DAEMONS {
        fleet.start(restarted, (0..DAEMONS).collect());
        fleet.run(secs(0.2), |_| RATE);
        let (now, account) = (fleet.now, fleet.account.clone());
        let share = fleet.quotas(restarted).share(now, &account).unwrap();
        assert!(share <= 0.25 / DAEMONS as f64 + 0.75 / 3.0, "{restarted}: {share}");
    }
    fleet.run(secs(6.0), |_| RATE);
    assert!(fleet.max_share <= 1.0 + ROUNDING, "{}", fleet.max_share);
    assert!(fleet.max_excess <= 0.0, "{}", fleet.max_excess);
}

/// Guards against a quota that counts twice because each side of a partition has a coordinator.
#[test]
fn the_quota_holds_in_a_partition() {
    for with_coordinator in [true, false] {
        let mut fleet = fleet();
        fleet.run(secs(3.0), |_| RATE);
        let coordinator = fleet.coordinator();
        let others = (0..DAEMONS).filter(|n| *n != coordinator).take(DAEMONS / 3);
        let cut: BTreeSet<usize> = others.chain(with_coordinator.then_some(coordinator)).collect();
        (fleet.cut, fleet.off_store) = (cut.clone(), cut.clone());
        fleet.run(secs(3.0), |_| RATE);
        let left: BTreeSet<usize> = (0..DAEMONS).filter(|n| !cut.contains(n)).collect();
        left.iter().for_each(|n| fleet.set_view(*n, left.clone()));
        fleet.run(secs(12.0), |_| RATE);
        assert!(fleet.max_share < 1.1, "{with_coordinator}: {}", fleet.max_share);
        assert!(fleet.max_excess <= 0.0, "{with_coordinator}: {}", fleet.max_excess);
        (fleet.cut, fleet.off_store) = Default::default();
        (0..DAEMONS).for_each(|n| fleet.set_view(n, (0..DAEMONS).collect()));
        fleet.run(secs(8.0), |_| RATE);
        assert!(fleet.max_excess <= 0.0, "{with_coordinator}: {}", fleet.max_excess);
    }
}

/// Guards against a daemon that keeps a lease although it hears from no other daemon.
#[test]
fn a_daemon_without_messages_has_its_floor_only() {
    let mut fleet = fleet();
    let lonely = (fleet.coordinator() + 1) % DAEMONS;
    fleet.run(secs(3.0), |n| if n == lonely { RATE } else { USUAL });
    fleet.cut = BTreeSet::from([lonely]);
    fleet.run(secs(2.2), |n| if n == lonely { RATE } else { USUAL });
    let (now, account) = (fleet.now, fleet.account.clone());
    let share = fleet.quotas(lonely).share(now, &account).unwrap();
    assert!(share <= 0.25 / DAEMONS as f64 + ROUNDING, "{share}");
}

/// Guards against the loss of all leases while the service that lists the daemons is not available.
#[test]
fn leases_are_granted_while_the_list_cannot_be_confirmed() {
    let mut fleet = fleet();
    fleet.off_store = (0..DAEMONS).collect();
    fleet.run(secs(10.0), |_| USUAL);
    fleet.reset_served();
    fleet.run(secs(5.0), |_| USUAL);
    let served: f64 = (0..DAEMONS).map(|n| fleet.take_served(n)).sum::<f64>() / DAEMONS as f64;
    assert!(served > 0.99, "{served}");
}

/// Guards against two coordinators of one quota: the entry of one of them is gone, so that the others report to another, but it
/// hears from most of them.
#[test]
fn a_daemon_whose_entry_is_lost_grants_nothing_until_it_is_listed() {
    let mut fleet = fleet();
    let coordinator = fleet.coordinator();
    let account = fleet.account.clone();
    let mut outstanding_after = |seconds, is_off_store: bool| {
        fleet.off_store = if is_off_store { [coordinator].into() } else { BTreeSet::new() };
        fleet.run(secs(seconds), |_| USUAL);
        let now = fleet.now;
        let outstanding = fleet.quotas(coordinator).outstanding(now, &account);
        if !is_off_store {
            fleet.quotas(coordinator).record_removal();
        }
        outstanding
    };
    assert!(outstanding_after(1.0, false) > 0.0);
    assert!(outstanding_after(2.5, true) <= 0.0);
    assert!(outstanding_after(3.0, false) > 0.0);
}

/// Guards against two coordinators of one quota: a daemon joins, and the coordinator until then does not know it, because only that
/// one is cut off from the service that lists the daemons (review case 14).
#[test]
fn a_daemon_that_joins_does_not_double_a_quota() {
    const DAEMONS: usize = 3;
    for joining in 0..DAEMONS {
        let mut fleet = Fleet::new(DAEMONS, accounts(RATE, RATE / 10.0));
        let left: BTreeSet<usize> = (0..DAEMONS).filter(|n| *n != joining).collect();
        fleet.kill(joining);
        left.iter().for_each(|n| fleet.set_view(*n, left.clone()));
        fleet.run(secs(7.5), |_| RATE / 5.0);
        fleet.run(secs(1.0), |_| 2.0 * RATE);
        let old = fleet.coordinator();
        fleet.off_store = BTreeSet::from([old]);
        fleet.run(secs(0.2), |_| 2.0 * RATE);
        let all: BTreeSet<usize> = (0..DAEMONS).collect();
        fleet.start(joining, all.clone());
        for n in left.into_iter().filter(|n| *n != old) {
            fleet.set_view(n, all.clone());
        }
        fleet.run(secs(6.0), |_| 2.0 * RATE);
        assert!(fleet.max_excess <= 0.0, "{joining}: {}", fleet.max_excess);
    }
}

/// Guards against two coordinators of one quota: a daemon that starts is listed late and counts from the time at which it knew the
/// others.
#[test]
fn a_daemon_grants_nothing_before_the_others_may_know_it() {
    let mut fleet = fleet();
    let coordinator = fleet.coordinator();
    let account = fleet.account.clone();
    fleet.off_store = BTreeSet::from([coordinator]);
    fleet.start(coordinator, (0..DAEMONS).collect());
    for (seconds, may_grant) in [(2.9, false), (2.4, false), (1.0, true)] {
        fleet.run(secs(seconds), |_| USUAL);
        let now = fleet.now;
        let outstanding = fleet.quotas(coordinator).outstanding(now, &account);
        assert_eq!(outstanding > 0.0, may_grant, "{outstanding}");
        fleet.off_store.clear();
    }
}

/// Guards against a daemon that was paused and uses its lease afterwards, while others have it.
#[test]
fn a_paused_daemon_does_not_use_an_expired_lease() {
    let mut fleet = fleet();
    fleet.run(secs(3.0), |n| if n < 2 { RATE } else { 0.0 });
    for pause in [0.5, 1.5, 2.5, 8.0] {
        fleet.paused = BTreeSet::from([0]);
        fleet.run(secs(pause), |n| if n < 2 { RATE } else { 0.0 });
        fleet.paused.clear();
        fleet.run(secs(3.0), |n| if n < 2 { RATE } else { 0.0 });
    }
    assert!(fleet.max_excess <= 0.0, "{}", fleet.max_excess);
}

/// Guards against a small quota that is exceeded because each of many daemons may run at least one request.
#[test]
fn a_small_quota_holds_over_many_daemons() {
    for (daemons, rate, burst) in [(26, 1.0, 0.0), (26, 8.0, 8.0), (103, 2.0, 1.0)] {
        let mut fleet = Fleet::new(daemons, accounts(rate, burst));
        // Long enough for all buckets to be full.
        fleet.now = fleet.now + secs(2_000.0);
        fleet.run(secs(20.0), |_| 5.0);
        assert!(fleet.max_excess <= 0.0, "{daemons}: {}", fleet.max_excess);
    }
}

/// Guards against messages that exceed the control plane budget. Each daemon sends its usual load.
#[test]
fn messages_stay_within_the_budget() {
    for daemons in [26, 103] {
        let mut fleet = Fleet::new(daemons, accounts(RATE, RATE));
        fleet.run(secs(5.0), |_| RATE / 1.6 / daemons as f64);
        (fleet.messages, fleet.bytes) = (0, 0);
        fleet.run(secs(10.0), |_| RATE / 1.6 / daemons as f64);
        let per_daemon = fleet.bytes as f64 / 10.0 / daemons as f64;
        println!("{daemons} daemons: {} messages, {} bytes in 10 s", fleet.messages, fleet.bytes);
        assert!(per_daemon < 400.0, "{per_daemon} bytes per second for one account");
    }
}

fn single(now: Timestamp) -> (Quotas, Accounts) {
    let accounts = accounts(10.0, 10.0);
    let mut quotas = Quotas::new(listed(0).key, QuotaLimits::default(), now, 1);
    quotas.set_accounts(now, &accounts);
    quotas.set_daemons(now, listed(0), (1..4).map(listed).collect());
    (quotas, accounts)
}

/// Guards against a unit that is lost when its request has not run, or that can be returned beyond the capacity.
#[test]
fn units_of_requests_that_did_not_run_are_returned() {
    let (mut quotas, accounts) = single(Timestamp::ZERO);
    let account = accounts.iter().next().unwrap();
    let now = Timestamp::from_millis(20_000);
    quotas.tick(now);
    let mut admitted = 0;
    while quotas.admit(now, account).is_ok() {
        admitted += 1;
    }
    assert!(admitted > 0);
    let exceeded = quotas.admit(now, account).unwrap_err();
    assert!(exceeded.retry_after > Duration::ZERO && exceeded.retry_after <= Duration::from_secs(2));
    for _ in 0..100 {
        quotas.refund_arrival(now, account);
    }
    for _ in 0..admitted {
        assert!(quotas.admit(now, account).is_ok());
    }
    assert!(quotas.admit(now, account).is_err());
}

/// Guards against daemons without an address for messages that have less than an equal share of a quota.
#[test]
fn without_addresses_the_quota_is_split_equally() {
    let (mut quotas, accounts) = single(Timestamp::ZERO);
    let account = accounts.iter().next().unwrap();
    let unreachable = |n| QuotaDaemon { reachable: false, ..listed(n) };
    let now = Timestamp::from_millis(20_000);
    quotas.set_daemons(now, unreachable(0), (1..4).map(unreachable).collect());
    quotas.tick(now);
    let _ = quotas.admit(now, account);
    assert_eq!(quotas.share(now, account), Some(0.25));
}

/// A daemon that reports to another one, the report, and a grant that answers it.
fn report_and_grant(sent_at: Timestamp, share: f32) -> (Quotas, Accounts, Grant) {
    let accounts = accounts(10.0, 10.0);
    for n in 0..4 {
        let mut quotas = Quotas::new(listed(n).key, QuotaLimits::default(), Timestamp::ZERO, 1);
        quotas.set_accounts(Timestamp::ZERO, &accounts);
        quotas.set_daemons(Timestamp::ZERO, listed(n), (0..4).map(listed).collect());
        let account = accounts.iter().next().unwrap();
        while quotas.admit(sent_at, account).is_ok() {}
        let Some(out) = quotas.tick(sent_at).pop() else {
            continue;
        };
        let Datagram::Report(report) = out.datagram else { panic!("only reports are sent") };
        let shares = vec![LeasedShare { account: report.demands[0].account, share: Share(share) }];
        let (from, sequence) = (out.to, Sequence(1));
        let grant = Grant { from, sequence, report: report.sequence, lease_ms: 2_000, shares };
        return (quotas, accounts, grant);
    }
    panic!("one of the daemons is not the coordinator");
}

/// Guards against a lease that lasts longer at its holder than at the coordinator because its message was late, and against
/// an invalid share.
#[test]
fn a_lease_lasts_from_the_time_of_the_report() {
    let sent_at = Timestamp::from_millis(20_000);
    for (share, delay_ms, at_ms, is_leased) in [
        (0.5, 10, 20, true),
        (0.5, 800, 1_990, true),
        (0.5, 800, 2_010, false),
        (0.5, 1_500, 1_600, false),
        (2.0, 10, 20, false),
        (-0.1, 10, 20, false),
        (f32::NAN, 10, 20, false),
        (f32::INFINITY, 10, 20, false),
    ] {
        let (mut quotas, accounts, grant) = report_and_grant(sent_at, share);
        let account = accounts.iter().next().unwrap();
        let delay = Duration::from_millis(delay_ms);
        let received_at = sent_at + delay;
        quotas.tick(received_at);
        quotas.receive(received_at, &Datagram::Grant(grant)).unwrap();
        let floor = 0.25 / 4.0;
        let held = quotas.share(sent_at + Duration::from_millis(at_ms), account).unwrap();
        let expected = if is_leased { floor + f64::from(share) } else { floor };
        assert!((held - expected).abs() < ROUNDING, "{share} {delay_ms} {at_ms}: {held}");
    }
}

/// Guards against a request too much at each of many daemons that have no floor and get a tiny lease.
#[test]
fn the_number_of_leases_without_a_floor_is_limited() {
    let mut coordinator = Coordinator::default();
    let terms = Terms {
        quota: Quota { rate: RequestRate(100.0), burst: 0.0 },
        leased_fraction: 0.75,
        floor: 0.0,
        lease_duration: secs(2.0),
        tolerance: 20.0,
    };
    let demand = Demand { account: AccountKey(1), per_second: 0.1, held: Sequence(0) };
    let mut leased = 0;
    for n in 0..200 {
        let now = Timestamp::from_millis(n);
        let share = coordinator.grant(now, listed(n as usize).key, &demand, Sequence(n + 1), &terms);
        leased += usize::from(share > Share(0.0));
    }
    assert!((1..=5).contains(&leased), "{leased}");
}

/// Guards against messages of strangers, and against invalid numbers, that change a share or cause a panic.
#[test]
fn invalid_messages_have_no_effect() {
    let (mut quotas, accounts) = single(Timestamp::ZERO);
    let account = accounts.iter().next().unwrap();
    let key = AccountKey::from_name(&account.name);
    let now = Timestamp::from_millis(20_000);
    for _ in 0..50 {
        let _ = quotas.admit(now, account);
    }
    let reported = quotas.tick(now).into_iter().find_map(|message| match message.datagram {
        Datagram::Report(report) => Some(report.sequence),
        Datagram::Grant(_) => None,
    });
    assert!(reported.is_some(), "no report was sent");
    let floor = quotas.share(now, account).unwrap();
    let mut sequence = 0;
    for n in [0, 1, 2, 3, 9] {
        for share in [0.5, 2.0, -1.0, f32::NAN, f32::INFINITY] {
            sequence += 1;
            let grant = Grant {
                from: listed(n).key,
                sequence: Sequence(sequence),
                // The coordinator may answer the report, so only the invalid shares name it.
                report: reported.filter(|_| share != 0.5).unwrap_or(Sequence(1 << 16)),
                lease_ms: u32::MAX,
                shares: vec![LeasedShare { account: key, share: Share(share) }],
            };
            drop(quotas.receive(now, &Datagram::Grant(grant)));
            for per_second in [share, f32::MAX] {
                sequence += 1;
                let demand = Demand { account: key, per_second, held: Sequence(u64::MAX) };
                let unknown = Demand { account: AccountKey(7), ..demand };
                let report = Report {
                    from: listed(n).key,
                    sequence: Sequence(sequence),
                    demands: vec![demand, unknown, demand],
                };
                let first = quotas.receive(now, &Datagram::Report(report.clone()));
                assert!(n < 4 && n > 0 || first.is_err());
                assert!(quotas.receive(now, &Datagram::Report(report)).is_err(), "a duplicate is ignored");
            }
        }
    }
    assert!(quotas.share(now, account).unwrap() <= floor + ROUNDING);
    assert!(quotas.outstanding(now, account) <= 0.75 + ROUNDING);
    for length in 0..64 {
        let bytes: Vec<u8> = (0..length).map(|n: u32| (n * 37 + length) as u8).collect();
        drop(postcard::from_bytes::<Datagram>(&bytes));
    }
}
