//! Tests of the limits on what clients and backend servers take from a daemon. Each test states the failure that it guards
//! against.

use std::time::Duration;

use medlarstair_state::steering::clients::{
    Admission, ClientTable, ConnectionPhase, DELIVERY_STALL_TIMEOUT, MAX_DELIVERY_DEADLINE,
};
use medlarstair_state::steering::memory::{HolderKind, MemoryBudget, Reservation, STALL_TIME};
use medlarstair_state::steering::vm::{Megabytes, ResourceLimits, VmResources};
use medlarstair_state::time::Timestamp;

const START: Timestamp = Timestamp::ZERO;

/// Guards against small VMs that cannot hold one body of 64 MiB, and against limits whose sum exceeds the VM.
#[test]
fn limits_fit_the_vm_and_one_body_of_64_mib() {
    for (mb, max_fds) in [(112, 2_870), (360, 8_192), (512, 11_275), (1_024, 160)] {
        let limits = ResourceLimits::of_vm(VmResources { memory: Megabytes(mb), max_fds });
        assert!(MemoryBudget::new(limits.body_bytes).max_reservation() >= 64 << 20, "{mb} MB: {limits:?}");
        assert!(limits.body_bytes + limits.client_connections as u64 * (64 << 10) < mb * 1_000_000);
        assert!(2 * limits.client_connections + limits.idle_connections < max_fds, "{limits:?}");
    }
}

/// Guards against ordinary requests that are refused because stalled or larger uploads hold the memory, and against uploads
/// of one size that evict each other in turn.
#[test]
fn the_least_progressing_upload_gives_way() {
    let mut budget = MemoryBudget::new(1_000_000);
    let open = |budget: &mut MemoryBudget, now, bytes| {
        let id = budget.open(now, HolderKind::Upload);
        (id, budget.reserve(now, id, bytes))
    };
    let (first, _) = open(&mut budget, START, 400_000);
    let (second, _) = open(&mut budget, START, 500_000);
    assert_eq!(open(&mut budget, START, 500_000).1, Reservation::Refused);
    let (small, reservation) = open(&mut budget, START, 200_000);
    assert_eq!(reservation, Reservation::Evict(second), "the largest one");
    assert_eq!(budget.reserve(START, small, 200_000), Reservation::Wait, "one eviction is enough");
    budget.close(second);
    assert_eq!(budget.reserve(START, small, 200_000), Reservation::Granted);
    let later = START + STALL_TIME;
    budget.record_progress(later, small);
    assert_eq!(open(&mut budget, later, 600_000).1, Reservation::Evict(first), "the stalled one");
}

/// Guards against a request that is lost although it may run, or that large requests which wait for servers keep out.
#[test]
fn complete_requests_are_not_evicted_and_leave_room_for_small_ones() {
    let mut budget = MemoryBudget::new(1_000_000);
    let large = budget.open(START, HolderKind::Upload);
    assert_eq!(budget.reserve(START, large, budget.max_reservation()), Reservation::Granted);
    budget.set_kind(START, large, HolderKind::Complete);
    let small = budget.open(START, HolderKind::Upload);
    let later = START + 10 * STALL_TIME;
    assert_eq!(budget.reserve(later, small, 100_000), Reservation::Refused);
    assert_eq!(budget.reserve(later, small, 10_000), Reservation::Granted);
}

/// Guards against idle connections that keep new ones out, against the loss of running requests, and against responses that
/// are held for clients that do not read them.
#[test]
fn idle_connections_give_way_and_unread_responses_are_cut() {
    let mut clients = ClientTable::new(2);
    let Admission::Accepted(running) = clients.admit(START) else { panic!("refused") };
    let Admission::Accepted(idle) = clients.admit(START) else { panic!("refused") };
    clients.set_phase(START, running, ConnectionPhase::Running);
    let Admission::Replaced(new, closed) = clients.admit(START) else { panic!("none replaced") };
    assert_eq!(closed, idle);
    clients.remove(idle);
    clients.set_phase(START, new, ConnectionPhase::Delivering);
    assert_eq!(clients.admit(START), Admission::Refused);
    let later = START + DELIVERY_STALL_TIMEOUT;
    clients.record_written(later - Duration::from_secs(1), new, 1);
    assert_eq!(clients.take_stalled(later), []);
    assert_eq!(clients.take_stalled(later + DELIVERY_STALL_TIMEOUT), [new]);
}

/// Guards against a delivery that is cut although its client is within its deadline, and against one that a client protects for
/// ever by its choice of a deadline.
#[test]
fn a_deadline_protects_a_delivery_for_a_limited_time() {
    let mut clients = ClientTable::new(1);
    let Admission::Accepted(id) = clients.admit(START) else { panic!("refused") };
    clients.set_phase(START, id, ConnectionPhase::Delivering);
    clients.protect_until(START, id, START + 2 * DELIVERY_STALL_TIMEOUT);
    assert_eq!(clients.take_stalled(START + 2 * DELIVERY_STALL_TIMEOUT - Duration::from_millis(1)), []);
    clients.protect_until(START, id, START + Duration::MAX);
    assert_eq!(clients.take_stalled(START + MAX_DELIVERY_DEADLINE - Duration::from_millis(1)), []);
    assert_eq!(clients.take_stalled(START + MAX_DELIVERY_DEADLINE), [id]);
}
