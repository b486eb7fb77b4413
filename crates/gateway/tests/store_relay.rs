//! Tests of the decisions about announcements of changes. Each test states the failure that it guards against.

use std::time::Duration;

use medlarstair_gateway::store_relay::{Announcement, Position, Reaction, Source, StoreRelay, split};
use medlarstair_state::config::Entry;
use medlarstair_state::id::{Era, Revision};
use medlarstair_state::time::Timestamp;

const NOW: Timestamp = Timestamp::from_millis(10_000);

fn at(era: u64, revision: u64) -> Position {
    Position { era: Era(era), revision: Revision(revision) }
}

fn entry(revision: u64) -> Entry {
    Entry { key: format!("k/{revision}").into(), revision: Revision(revision), value: Some("v".into()) }
}

fn announcement(after: u64, position: Position, changes: Vec<Entry>) -> Announcement {
    Announcement { position, after: Revision(after), changes, response_age_ms: 0, outage: None }
}

/// Guards against changes that are applied with a gap, twice or in the wrong order after lost, repeated and late datagrams.
#[test]
fn changes_are_applied_without_a_gap_only() {
    let mut relay = StoreRelay::default();
    let mut receive = |after, revision, applied| {
        let message = announcement(after, at(1, revision), vec![entry(revision)]);
        relay.receive(NOW, true, &message, applied)
    };
    assert_eq!(receive(5, 6, at(1, 5)), Reaction::Apply);
    assert_eq!(receive(5, 6, at(1, 6)), Reaction::Ignore, "repeated");
    assert_eq!(receive(4, 7, at(1, 6)), Reaction::Apply, "overlapping");
    assert_eq!(receive(8, 9, at(1, 7)), Reaction::Fetch, "after a lost one");
    assert_eq!(receive(7, 8, at(1, 9)), Reaction::Ignore, "late");
    assert_eq!(receive(0, 9, Position::default()), Reaction::Fetch, "before the listing");
    assert_eq!(relay.source(NOW, true, at(1, 7)), Source::Fetch);
    relay.record_fetched(at(1, 9));
    assert!(matches!(relay.source(NOW, true, at(1, 9)), Source::Wait(_)));
}

/// Guards against a daemon that waits for a relay that is silent, or whose own calls fail.
#[test]
fn a_daemon_without_a_relay_watches_by_itself() {
    let mut relay = StoreRelay::default();
    let idle = announcement(5, at(1, 5), Vec::new());
    assert_eq!(relay.receive(NOW, false, &idle, at(1, 5)), Reaction::Ignore);
    assert_eq!(relay.source(NOW, true, at(1, 5)), Source::Watch, "a relay of another failure domain");
    relay.receive(NOW, true, &idle, at(1, 5));
    assert_eq!(relay.source(NOW, false, at(1, 5)), Source::Watch);
    assert!(matches!(relay.source(NOW + Duration::from_secs(1), true, at(1, 5)), Source::Wait(_)));
    assert_eq!(relay.source(NOW + Duration::from_millis(1_300), true, at(1, 5)), Source::Watch);
}

/// Guards against a daemon that trusts a relay which is cut off from the service and goes on announcing (review case 13), and
/// against one that is misled by the older one of two relays.
#[test]
fn a_relay_is_believed_only_while_its_own_responses_are_recent() {
    const PERIOD_MS: u32 = 500;
    let announce = |relay: &mut StoreRelay, now, age| {
        let idle = Announcement { response_age_ms: age, ..announcement(5, at(1, 5), Vec::new()) };
        relay.receive(now, true, &idle, at(1, 5));
    };
    let mut relay = StoreRelay::default();
    // The service last responded to the relay at NOW.
    for n in 0..6 {
        announce(&mut relay, NOW + Duration::from_millis((n * PERIOD_MS).into()), n * PERIOD_MS);
    }
    assert!(matches!(relay.source(NOW + Duration::from_secs(1), true, at(1, 5)), Source::Wait(_)));
    let late = NOW + Duration::from_millis(1_300);
    assert_eq!(relay.source(late, true, at(1, 5)), Source::Watch);
    assert!(!relay.is_heard(late));
    announce(&mut relay, late, 100);
    announce(&mut relay, late, 1_300);
    assert!(relay.is_heard(late + Duration::from_millis(500)), "another relay had a later response");
}

/// Guards against changes of different eras that are mixed, and against a relay that has not seen a restoration yet.
#[test]
fn an_announcement_of_another_era_is_not_applied() {
    let mut relay = StoreRelay::default();
    let earlier = announcement(8, at(1, 9), vec![entry(9)]);
    assert_eq!(relay.receive(NOW, true, &earlier, at(2, 8)), Reaction::Ignore);
    assert!(!relay.is_heard(NOW));
    let later = announcement(3, at(3, 4), vec![entry(4)]);
    assert_eq!(relay.receive(NOW, true, &later, at(2, 8)), Reaction::Fetch);
}

/// Guards against announcements that are too long, and against a gap between them.
#[test]
fn changes_are_split_without_a_gap() {
    let changes: Vec<Entry> = (11..111).rev().map(entry).collect();
    let parts = split(Revision(10), at(1, 120), changes, 500);
    assert!(parts.len() > 4);
    let mut applied = at(1, 10);
    for part in parts {
        assert!(part.changes.len() <= 20, "{}", part.changes.len());
        assert_eq!(StoreRelay::default().receive(NOW, true, &part, applied), Reaction::Apply);
        applied = part.position;
    }
    assert_eq!(applied, at(1, 120));
}

/// Guards against a change that is too large for an announcement, and lost because another one of the same transaction, and so
/// of the same revision, is announced.
#[test]
fn a_revision_is_announced_as_a_whole_or_not_at_all() {
    let large = |key: &str| Entry { key: key.into(), value: Some("x".repeat(600).into()), ..entry(12) };
    for changes in [vec![entry(11), entry(12), large("a")], vec![large("a"), entry(11), entry(12)]] {
        let mut relay = StoreRelay::default();
        let mut applied = at(1, 10);
        for part in split(Revision(10), at(1, 12), changes, 500) {
            if relay.receive(NOW, true, &part, applied) == Reaction::Apply {
                applied = part.position;
            }
        }
        assert_eq!(applied, at(1, 11));
        assert_eq!(relay.source(NOW, true, applied), Source::Fetch);
    }
}
