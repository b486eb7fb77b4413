//! Tests of the decision whether a deleted entry is a result of an outage. Each test states the failure that it guards
//! against.

use std::time::Duration;

use medlarstair_gateway::store_outage::StoreOutage;
use medlarstair_state::id::Revision;
use medlarstair_state::time::Timestamp;

/// Limit within which a running server restores its entry after an outage, as the platform specifies it.
const RESTORE: Duration = Duration::from_secs(2);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// An outage from 1 s to 9 s, at whose end the service has the revision 70.
fn long_outage() -> StoreOutage {
    let mut outage = StoreOutage::default();
    outage.record_success(at(1_000), Revision(40));
    outage.record_failure();
    outage.record_failure();
    outage.record_success(at(9_000), Revision(70));
    outage
}

/// Guards against the loss of running servers whose entries expired in an outage: they have time to restore them, counted
/// from the end of the outage.
#[test]
fn a_deletion_of_an_outage_is_deferred_until_servers_have_restored_their_entries() {
    let outage = long_outage();
    for now in [9_000, 9_100, 10_500] {
        let removal = outage.removal_time(at(now), Revision(70));
        assert!(removal >= at(9_000) + RESTORE, "{now} ms: {removal}");
        assert!(removal <= at(9_000) + RESTORE + Duration::from_millis(500), "{now} ms: {removal}");
    }
    assert_eq!(outage.removal_time(at(20_000), Revision(70)), at(20_000), "the time has passed");
}

/// Guards against requests to a server that left after an outage, although its deletion is the first change that the daemon
/// hears of (review case 3).
#[test]
fn a_deletion_after_an_outage_is_in_effect_at_once() {
    let outage = long_outage();
    for now in [9_500, 13_500, 60_000] {
        assert_eq!(outage.removal_time(at(now), Revision(71)), at(now), "{now} ms");
    }
    assert_eq!(StoreOutage::default().removal_time(at(7), Revision(1)), at(7));
}

/// Guards against a cut watch, or one call that got no response, that counts as an outage in which entries expire.
#[test]
fn a_call_that_is_repeated_at_once_is_no_outage() {
    let mut outage = StoreOutage::default();
    outage.record_success(at(10_000), Revision(69));
    // Renewals of the lease get responses while the watch waits.
    outage.record_response(at(10_900));
    outage.record_failure();
    assert_eq!(outage.removal_time(at(11_050), Revision(69)), at(11_050));
    outage.record_success(at(11_120), Revision(70));
    for revision in [70, 71] {
        assert_eq!(outage.removal_time(at(11_200), Revision(revision)), at(11_200), "revision {revision}");
    }
}

/// Guards against an outage that is noticed late, because no call was made in it, and is then taken for a short one.
#[test]
fn an_outage_is_measured_from_the_last_response() {
    let mut outage = StoreOutage::default();
    outage.record_success(at(10_000), Revision(69));
    outage.record_failure();
    outage.record_success(at(13_000), Revision(70));
    assert!(outage.removal_time(at(13_000), Revision(70)) > at(13_000));
}

/// Guards against a second outage that is measured from the first one, and against a renewal of the lease that ends an outage
/// of which the changes have not been received.
#[test]
fn each_outage_is_measured_from_its_own_last_response() {
    let mut outage = long_outage();
    outage.record_response(at(30_000));
    outage.record_failure();
    outage.record_response(at(30_050));
    assert!(outage.is_ongoing());
    outage.record_success(at(30_100), Revision(90));
    assert_eq!(outage.removal_time(at(30_200), Revision(89)), at(30_200));
}

/// Guards against a daemon that missed an outage, because another one watches for it, and drops running servers at its end; and
/// against a report that hides the daemon's own later outage.
#[test]
fn a_reported_outage_counts_like_an_own_one() {
    let report = long_outage().recent(at(9_400)).unwrap();
    assert_eq!(long_outage().recent(at(12_000)), None, "entries have been restored");
    let mut outage = StoreOutage::default();
    outage.record_success(at(500), Revision(40));
    outage.record_report(at(9_400), report);
    assert_eq!(outage.removal_time(at(9_400), Revision(70)), at(9_000) + Duration::from_millis(2_200));
    assert_eq!(outage.removal_time(at(9_400), Revision(71)), at(9_400));
    let mut failing = StoreOutage::default();
    failing.record_failure();
    failing.record_report(at(9_400), report);
    assert!(failing.is_ongoing());
}

/// Guards against a server that left and gets requests on, because a daemon takes the outage of another one for that of the
/// service, although it got responses itself meanwhile (review case 15).
#[test]
fn an_outage_of_another_daemon_defers_no_removal() {
    let report = long_outage().recent(at(9_400)).unwrap();
    for responses in [[1_500, 3_000, 4_500, 6_000, 7_500], [1_200, 2_900, 4_800, 6_700, 8_500]] {
        let mut outage = StoreOutage::default();
        responses.iter().for_each(|ms| outage.record_response(at(*ms)));
        outage.record_report(at(9_400), report);
        for revision in [69, 70, 71] {
            assert_eq!(outage.removal_time(at(9_400), Revision(revision)), at(9_400), "{responses:?}");
        }
        assert_eq!(outage.recent(at(9_400)), None, "the report is passed on");
    }
}

/// Guards against a server that left and gets requests on, because only this daemon is cut off from the service: another one
/// announces that it gets responses.
#[test]
fn an_outage_of_this_daemon_alone_defers_no_removal() {
    let mut outage = StoreOutage::default();
    outage.record_success(at(1_000), Revision(40));
    outage.record_failure();
    for ms in (1_500..9_000).step_by(500) {
        outage.record_relayed_response(at(ms));
        assert_eq!(outage.removal_time(at(ms + 100), Revision(60)), at(ms + 100), "{ms} ms");
    }
    assert!(outage.is_ongoing());
    outage.record_success(at(9_000), Revision(70));
    assert_eq!(outage.removal_time(at(9_100), Revision(70)), at(9_100));
    assert_eq!(outage.recent(at(9_100)), None);
}

/// Guards against running servers that are dropped at the end of an outage for all: the first response of another daemon, or a
/// renewal of the lease, does not make the outage shorter.
#[test]
fn the_first_response_after_an_outage_does_not_hide_it() {
    let outage_for_all = || {
        let mut outage = StoreOutage::default();
        outage.record_success(at(1_000), Revision(40));
        outage.record_failure();
        outage
    };
    let mut outage = outage_for_all();
    outage.record_relayed_response(at(9_000));
    assert!(outage.removal_time(at(9_010), Revision(69)) >= at(9_000) + RESTORE);
    outage.record_success(at(9_050), Revision(70));
    assert!(outage.removal_time(at(9_060), Revision(70)) >= at(9_000) + RESTORE);
    let mut outage = outage_for_all();
    outage.record_response(at(9_000));
    outage.record_success(at(9_050), Revision(70));
    assert!(outage.removal_time(at(9_060), Revision(70)) >= at(9_000) + RESTORE);
    let mut outage = outage_for_all();
    outage.record_report(at(9_000), long_outage().recent(at(9_000)).unwrap());
    outage.record_relayed_response(at(9_000));
    assert!(outage.removal_time(at(9_010), Revision(70)) >= at(9_000) + RESTORE);
    outage.record_success(at(9_050), Revision(72));
    assert_eq!(outage.removal_time(at(9_500), Revision(72)), at(9_500), "deleted after the outage");
}

/// Guards against running servers that are dropped at the end of an outage for all, because a renewal of the lease got a response
/// before the relay did, and no call of this daemon had failed by then.
#[test]
fn a_response_just_before_the_end_of_a_reported_outage_does_not_hide_it() {
    let report = long_outage().recent(at(9_400)).unwrap();
    let mut outage = StoreOutage::default();
    outage.record_success(at(1_100), Revision(40));
    outage.record_response(at(8_700));
    outage.record_report(at(9_400), report);
    assert!(outage.removal_time(at(9_400), Revision(70)) >= at(9_000) + RESTORE);
    assert_eq!(outage.removal_time(at(9_400), Revision(71)), at(9_400));
}
