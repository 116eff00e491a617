//! Decisions on the memory budget, without connections or clocks.

use std::time::Duration;

use policy::{Grant, Holder, HolderPhase, MemoryBudget, MemoryRequest, choose_to_close};

const MIB: usize = 1 << 20;
const NOW: Duration = Duration::from_secs(100);

fn holder(key: u32, phase: HolderPhase, bytes: usize, quiet_ms: u64) -> Holder<u32> {
    Holder {
        key,
        phase,
        bytes,
        started_at: NOW - Duration::from_millis(quiet_ms),
        progress_at: NOW - Duration::from_millis(quiet_ms),
        is_leaving: false,
    }
}

fn request(body: usize) -> MemoryRequest<u32> {
    MemoryRequest { holder: 0, body }
}

/// Guards against the eviction of a caller that keeps sending, or of a request that may run.
#[test]
fn the_longest_stalled_body_is_evicted_first_and_a_running_request_never() {
    let budget = MemoryBudget::new(8 * MIB);
    let holders = [
        holder(1, HolderPhase::Body, MIB, 10),
        holder(2, HolderPhase::Body, MIB, 900),
        holder(3, HolderPhase::Body, MIB, 2_000),
        holder(4, HolderPhase::Running, 4 * MIB, 60_000),
        holder(5, HolderPhase::Answering, MIB, 60_000),
        holder(6, HolderPhase::Idle, MIB, 60_000),
    ];
    let grant = budget.decide(request(MIB), 7 * MIB + 1, holders, NOW);
    assert_eq!(grant, Grant::Granted { evict: vec![3] });
    let grant = budget.decide(request(MIB), 10 * MIB, holders, NOW);
    assert_eq!(grant, Grant::Granted { evict: vec![3, 2, 6] });
    assert_eq!(
        budget.decide(request(MIB), 11 * MIB, holders, NOW),
        Grant::Refused
    );
}

/// Guards against callers that hold the budget by sending a byte now and then, and against callers at full speed that
/// evict each other in turns.
#[test]
fn the_slowest_body_is_evicted_when_none_is_stalled() {
    let budget = MemoryBudget::new(8 * MIB);
    let sending = |key, age_s| Holder {
        started_at: NOW - Duration::from_secs(age_s),
        ..holder(key, HolderPhase::Body, 3 * MIB, 10)
    };
    let holders = [sending(1, 30), sending(2, 60), sending(3, 1), sending(0, 20)];
    let grant = budget.decide(request(MIB), 9 * MIB, holders, NOW);
    assert_eq!(grant, Grant::Granted { evict: vec![2] });
    let holders = [sending(1, 30), sending(2, 60), sending(3, 1), sending(0, 90)];
    let grant = budget.decide(request(MIB), 9 * MIB, holders, NOW);
    assert_eq!(grant, Grant::Refused);
}

/// Guards against evicting more and more holders while the first ones are still releasing their memory.
#[test]
fn memory_on_its_way_out_counts_as_free() {
    let budget = MemoryBudget::new(8 * MIB);
    let mut leaving = holder(1, HolderPhase::Body, 2 * MIB, 5_000);
    leaving.is_leaving = true;
    let other = holder(2, HolderPhase::Body, 2 * MIB, 4_000);
    let grant = budget.decide(request(MIB), 8 * MIB, [leaving, other], NOW);
    assert_eq!(grant, Grant::Granted { evict: vec![] });
}

/// Guards against a crowd of large bodies that leaves no room for ordinary requests.
#[test]
fn a_part_of_the_budget_is_not_for_large_bodies() {
    let budget = MemoryBudget::new(8 * MIB);
    assert!(!budget.has_room(7 * MIB + 1, MIB));
    assert!(budget.has_room(7 * MIB + 1, 72 << 10));
    assert!(!budget.has_room(8 * MIB + 1, 72 << 10));
}

/// Guards against overflow and an empty budget on a machine with any memory.
#[test]
fn every_machine_has_a_budget() {
    for memory in [0, 1, 28 << 20, 88 << 20, 512 << 20, usize::MAX] {
        let budget = MemoryBudget::for_machine(memory);
        assert!(budget.capacity() >= 4 * MIB && budget.capacity() <= memory.max(8 * MIB));
        assert!(!budget.has_room(usize::MAX, usize::MAX));
    }
}

/// Guards against closing a connection with a request when an idle one is open.
#[test]
fn the_longest_idle_connection_is_closed_for_a_new_one() {
    let busy = holder(1, HolderPhase::Running, 0, 9_000);
    let head = holder(2, HolderPhase::Head, 0, 8_000);
    let idle = [
        holder(3, HolderPhase::Idle, 0, 50),
        holder(4, HolderPhase::Idle, 0, 60),
    ];
    let stalled = holder(5, HolderPhase::Body, 0, 9_500);
    let sending = holder(6, HolderPhase::Body, 0, 10);
    let all = [busy, stalled, sending, head, idle[0], idle[1]];
    assert_eq!(choose_to_close(all, 1, NOW), [4]);
    assert_eq!(choose_to_close(all, 9, NOW), [4, 3, 2, 5]);
    assert_eq!(choose_to_close([busy, sending], 1, NOW), [0; 0]);
}
