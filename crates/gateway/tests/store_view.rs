//! Tests of what is applied of a restored copy of the key-value service. Each test states the failure that it guards against.

use std::time::Duration;

use medlarstair_gateway::store_view::{StoreView, Verdict};
use medlarstair_state::config::Entry;
use medlarstair_state::id::{Era, Revision};
use medlarstair_state::time::Timestamp;

const KEY: &str = "a";

const NOW: Timestamp = Timestamp::from_millis(10_000);

fn entry(revision: u64, value: Option<&str>) -> Entry {
    Entry { key: KEY.into(), revision: Revision(revision), value: value.map(Into::into) }
}

/// A view of era 1 that has seen the key at revision 50.
fn view() -> StoreView {
    let mut view = StoreView::default();
    let change = view.begin_listing(Era(1), Revision(50), [KEY].into());
    assert!(!change.is_restored, "the first listing is no restoration");
    assert_eq!(view.record(NOW, &entry(50, Some("x"))), Verdict::Apply);
    view
}

/// Guards against revisions of different eras that are compared.
#[test]
fn revisions_are_compared_within_an_era_only() {
    let mut view = view();
    assert_eq!(view.record(NOW, &entry(49, Some("late"))), Verdict::Outdated);
    assert!(view.begin_listing(Era(2), Revision(20), [KEY].into()).is_restored);
    assert_eq!(view.record(NOW, &entry(20, Some("copy"))), Verdict::Copied);
    assert_eq!(view.record(NOW, &entry(21, Some("new"))), Verdict::Apply);
    assert_eq!(view.record(NOW, &entry(20, Some("copy"))), Verdict::Outdated);
    assert!(!view.begin_listing(Era(2), Revision(22), [KEY].into()).is_restored, "a second listing");
}

/// Guards against a withdrawn key that returns with an older copy, also with a second one, or never returns.
#[test]
fn a_withdrawn_key_is_withheld_until_it_is_written() {
    let mut view = view();
    assert_eq!(view.record(NOW, &entry(51, None)), Verdict::Apply);
    view.record_withdrawal(NOW, KEY);
    for era in [2, 3] {
        view.begin_listing(Era(era), Revision(50), [KEY].into());
        assert_eq!(view.record(NOW, &entry(50, Some("x"))), Verdict::Withheld, "era {era}");
    }
    assert_eq!(view.record(NOW, &entry(51, Some("x"))), Verdict::Apply);
    view.begin_listing(Era(4), Revision(51), [KEY].into());
    assert_eq!(view.record(NOW, &entry(51, Some("x"))), Verdict::Copied);
}

/// Guards against a missing key that is lost at once, kept for ever, or deleted although it was written again.
#[test]
fn a_missing_key_is_kept_for_the_grace_period() {
    let due = NOW + Duration::from_secs(2);
    for is_written in [false, true] {
        let mut view = view();
        let change = view.begin_listing(Era(2), Revision(20), [].into());
        assert_eq!(change.missing, [KEY.into()]);
        view.defer_deletion(KEY, due);
        let again = view.begin_listing(Era(2), Revision(21), [].into());
        assert!(again.missing.is_empty(), "a second listing does not end the grace period");
        if is_written {
            assert_eq!(view.record(NOW, &entry(22, Some("x"))), Verdict::Apply);
        }
        assert!(view.take_due_deletions(NOW).is_empty());
        let deletions = view.take_due_deletions(due);
        assert_eq!(deletions.len(), usize::from(!is_written));
        for deletion in deletions {
            assert_eq!(view.record(due, &deletion), Verdict::Apply);
        }
    }
}

/// Guards against memory that grows with the number of keys that were ever withdrawn, and against the loss of the latest.
#[test]
fn withdrawals_are_bounded() {
    let mut view = view();
    for n in 0..8_200_u64 {
        view.record_withdrawal(NOW + Duration::from_micros(n), &format!("b/{n}"));
    }
    view.begin_listing(Era(2), Revision(50), ["b/0", "b/8199"].into());
    let copied = |key: &str| Entry { key: key.into(), ..entry(1, Some("x")) };
    assert_eq!(view.record(NOW, &copied("b/0")), Verdict::Copied);
    assert_eq!(view.record(NOW, &copied("b/8199")), Verdict::Withheld);
}
