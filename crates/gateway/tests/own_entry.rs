//! Tests of what a daemon knows of its own entry. Each test states the failure that it guards against.

use medlarstair_gateway::own_entry::OwnEntry;
use medlarstair_gateway::store_relay::Position;
use medlarstair_state::id::{Era, Revision};
use medlarstair_transport::kv::Precondition;

fn at(era: u64, revision: u64) -> Position {
    Position { era: Era(era), revision: Revision(revision) }
}

/// An entry that was written at revision 10 of era 1.
fn written() -> OwnEntry {
    let mut entry = OwnEntry::default();
    entry.begin_write();
    entry.record_written(at(1, 10));
    entry.finish_write();
    entry
}

/// Guards against a write without a condition, which replaces a newer one if it is carried out late.
#[test]
fn each_write_has_the_last_known_state_as_its_condition() {
    let mut entry = OwnEntry::default();
    assert_eq!(entry.begin_write(), Precondition::Absent);
    entry.record_conflict(at(1, 7));
    assert_eq!(entry.begin_write(), Precondition::Revision(Revision(7)));
    entry.record_conflict(at(1, 0));
    assert_eq!(entry.begin_write(), Precondition::Absent);
    entry.record_written(at(1, 10));
    assert_eq!(entry.begin_write(), Precondition::Revision(Revision(10)));
    entry.record_seen(at(1, 12), true);
    assert_eq!(entry.begin_write(), Precondition::Revision(Revision(12)));
    entry.record_seen(at(1, 11), false);
    assert_eq!(entry.begin_write(), Precondition::Revision(Revision(12)), "a late announcement");
}

/// Guards against a deletion, a write of another process and a restoration that go unnoticed, and against a loss that is
/// reported although nothing changed.
#[test]
fn a_change_after_the_own_write_is_a_loss() {
    for (position, exists, is_lost) in [
        (at(1, 10), true, false),
        (at(1, 9), false, false),
        (at(1, 11), false, true),
        (at(1, 11), true, true),
        (at(2, 3), true, true),
        (at(2, 3), false, true),
    ] {
        let mut entry = written();
        assert_eq!(entry.record_seen(position, exists), is_lost, "{position:?} {exists}");
        assert_eq!(entry.is_lost(), is_lost, "{position:?} {exists}");
    }
}

/// Guards against a write that is repeated because the watch reports it before its response, and against a loss during a write
/// that is forgotten.
#[test]
fn a_write_in_progress_is_judged_by_its_response() {
    for (seen, exists, is_lost) in [(at(1, 15), true, false), (at(1, 16), false, true)] {
        let mut entry = written();
        entry.begin_write();
        assert!(!entry.record_seen(seen, exists), "{seen:?}");
        entry.record_written(at(1, 15));
        entry.finish_write();
        assert_eq!(entry.is_lost(), is_lost, "{seen:?}");
    }
}
