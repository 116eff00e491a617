use std::collections::BTreeSet;
use std::ops::Range;

use directory::{Directory, Reread, shard_of};
use policy::{CacheIndex, CandidateKey, StoreKey};
use proptest::prelude::*;
use slotmap::SlotMap;
use targets::{CacheEvent, CacheEvents, CacheSnapshot, Catalogue, PieceId};
use utils::HostId;

fn piece(n: u32) -> PieceId {
    utils::digest(&n.to_le_bytes())
}

fn target_key() -> CandidateKey {
    SlotMap::<CandidateKey, ()>::with_key().insert(())
}

fn store_key() -> StoreKey {
    SlotMap::<StoreKey, ()>::with_key().insert(())
}

fn events(incarnation: u64, first: u64, events: &[CacheEvent]) -> CacheEvents {
    CacheEvents {
        incarnation,
        first,
        events: events.to_vec(),
    }
}

fn catalogue(incarnation: u64, next: u64, stored: &[PieceId], dropped: &[PieceId]) -> Catalogue {
    Catalogue {
        incarnation,
        next,
        stored: stored.to_vec(),
        dropped: dropped.to_vec(),
        free_bytes: 0,
    }
}

fn confirmed(directory: &Directory, target: CandidateKey, pieces: &[PieceId]) -> u16 {
    directory.view().copies(pieces).target(target).confirmed
}

#[test]
fn gap_makes_entries_unconfirmed_until_a_snapshot() {
    let (mut directory, target) = (Directory::default(), target_key());
    let pieces = [piece(0), piece(1)];
    let stored = pieces.map(CacheEvent::Stored);
    assert_eq!(
        directory.apply_events(target, &events(1, 0, &stored)),
        Reread::NotNeeded
    );
    assert_eq!(confirmed(&directory, target, &pieces), 2);

    assert_eq!(directory.apply_events(target, &events(1, 5, &[])), Reread::Needed);
    let copy = directory.view().copies(&pieces).target(target);
    assert_eq!((copy.confirmed, copy.likely), (0, 2));

    let snapshot = CacheSnapshot {
        incarnation: 1,
        next: 6,
        pieces: vec![pieces[0]],
    };
    directory.apply_snapshot(target, &snapshot);
    let copy = directory.view().copies(&pieces).target(target);
    assert_eq!((copy.confirmed, copy.likely), (1, 1));
    assert_eq!(directory.next_event(target), 6);
}

#[test]
fn restarted_engine_holds_nothing() {
    let (mut directory, target) = (Directory::default(), target_key());
    let stored = [CacheEvent::Stored(piece(0))];
    let _ = directory.apply_events(target, &events(1, 0, &stored));
    let _ = directory.apply_events(target, &events(2, 0, &[]));
    assert_eq!(confirmed(&directory, target, &[piece(0)]), 0);
}

#[test]
fn expected_pieces_are_never_confirmed() {
    let (mut directory, target) = (Directory::default(), target_key());
    directory.add_expected(target, &[piece(0)]);
    let copy = directory.view().copies(&[piece(0)]).target(target);
    assert_eq!((copy.confirmed, copy.likely), (0, 1));
    directory.forget_expected(target);
    assert!(directory.view().copies(&[piece(0)]).targets().is_empty());
}

#[test]
fn pieces_that_a_run_found_uncached_are_removed_after_a_missed_eviction() {
    let (mut directory, target) = (Directory::default(), target_key());
    let pieces = [piece(0), piece(1), piece(2)];
    let _ = directory.apply_events(target, &events(1, 0, &pieces.map(CacheEvent::Stored)));
    directory.remove_uncached(target, &pieces, 1);
    assert_eq!(confirmed(&directory, target, &pieces), 1);
}

#[test]
fn restarted_store_is_read_again_from_the_start() {
    let (mut directory, store) = (Directory::default(), store_key());
    let _ = directory.apply_catalogue(store, 0, &catalogue(1, 1, &[piece(0)], &[]));
    assert_eq!(directory.view().copies(&[piece(0)]).stores().len(), 1);
    let reread = directory.apply_catalogue(store, 1, &catalogue(2, 1, &[], &[]));
    assert_eq!(reread, Reread::Needed);
    assert!(directory.view().copies(&[piece(0)]).stores().is_empty());
    let reread = directory.apply_catalogue(store, 0, &catalogue(2, 2, &[piece(0)], &[]));
    assert_eq!(reread, Reread::NotNeeded);
    assert_eq!(directory.view().copies(&[piece(0)]).stores().len(), 1);
}

#[test]
fn shards_of_a_lost_host_are_taken_over_and_read_again() {
    let hosts: BTreeSet<HostId> = (0..9).map(|n| HostId::from(format!("entry-{n}"))).collect();
    let lost = hosts.iter().next().cloned();
    let fewer: BTreeSet<HostId> = hosts.iter().skip(1).cloned().collect();
    let snapshot = CacheSnapshot {
        incarnation: 1,
        next: 0,
        pieces: (0..1_000).map(piece).collect(),
    };
    let mut copies = 0;
    for host in &fewer {
        let (mut directory, target) = (Directory::sharded(host.clone()), target_key());
        let _ = directory.set_hosts(&hosts);
        directory.apply_snapshot(target, &snapshot);
        assert_eq!(directory.set_hosts(&fewer), Reread::Needed);
        assert_eq!(directory.stale_targets().count(), 1);
        directory.apply_snapshot(target, &snapshot);
        copies += directory.footprint().pieces;
        assert_eq!(directory.set_hosts(&fewer), Reread::NotNeeded);
    }
    assert!(lost.is_some());
    assert_eq!(copies, 2_000);
    assert!(directory::owners(shard_of(&piece(0)), fewer.iter().map(|h| &**h)).count() == 2);
}

#[test]
fn memory_stays_within_the_target() {
    let mut directory = Directory::default();
    let target = target_key();
    for step in 1..=20_u32 {
        let from = (step - 1) * 25_000;
        let stored: Vec<_> = (from..step * 25_000)
            .map(|n| CacheEvent::Stored(piece(n)))
            .collect();
        let _ = directory.apply_events(target, &events(1, u64::from(from), &stored));
        let footprint = directory.footprint();
        assert_eq!(footprint.pieces, (step * 25_000) as usize);
        assert!(footprint.bytes <= 24 * footprint.pieces, "{footprint:?}");
    }
}

/// A change at the engine, or an exchange between it and the directory.
#[derive(Debug, Clone)]
enum Step {
    Store(u32),
    Evict(u32),
    Restart,
    Read { lost: Range<usize> },
    Snapshot,
    Sweep,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0_u32..12).prop_map(Step::Store),
        4 => (0_u32..12).prop_map(Step::Evict),
        1 => Just(Step::Restart),
        4 => (0_usize..4, 0_usize..3).prop_map(|(at, n)| Step::Read { lost: at..at + n }),
        1 => Just(Step::Snapshot),
        1 => Just(Step::Sweep),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    /// Guards against a directory that diverges from an engine through lost events, restarts and sweeps.
    /// Confirmed pieces must have been stored by the engine's current process; after a snapshot the directory
    /// equals the engine.
    #[test]
    fn directory_follows_an_engine_through_gaps_and_restarts(steps in steps()) {
        let (mut directory, target) = (Directory::default(), target_key());
        let other = {
            let mut keys = SlotMap::<CandidateKey, ()>::with_key();
            keys.insert(());
            keys.insert(())
        };
        let mut cached = BTreeSet::new();
        let mut log: Vec<CacheEvent> = Vec::new();
        let mut incarnation = 1;
        let mut read_incarnation = 0;
        for step in steps {
            match step {
                Step::Store(n) => if cached.insert(n) { log.push(CacheEvent::Stored(piece(n))) },
                Step::Evict(n) => if cached.remove(&n) { log.push(CacheEvent::Evicted(piece(n))) },
                Step::Restart => {
                    incarnation += 1;
                    cached.clear();
                    log.clear();
                }
                Step::Read { lost } => {
                    let from = if read_incarnation == incarnation { directory.next_event(target) } else { 0 };
                    let from = (from as usize + lost.len()).min(log.len()).max(from as usize);
                    let _ = directory.apply_events(target, &events(incarnation, from as u64, &log[from..]));
                    read_incarnation = incarnation;
                }
                Step::Snapshot => {
                    let pieces = cached.iter().map(|n| piece(*n)).collect();
                    directory.apply_snapshot(target, &CacheSnapshot { incarnation, next: log.len() as u64, pieces });
                    read_incarnation = incarnation;
                }
                Step::Sweep => for _ in 0..256 {
                    let _ = directory.apply_events(other, &events(1, 0, &[]));
                },
            }
            let stored_once = |n: u32| log.contains(&CacheEvent::Stored(piece(n)));
            for n in 0..12 {
                if confirmed(&directory, target, &[piece(n)]) == 1 && read_incarnation == incarnation {
                    prop_assert!(stored_once(n));
                }
            }
        }
        let pieces = cached.iter().map(|n| piece(*n)).collect();
        directory.apply_snapshot(target, &CacheSnapshot { incarnation, next: log.len() as u64, pieces });
        for n in 0..12 {
            let is_confirmed = confirmed(&directory, target, &[piece(n)]) == 1;
            prop_assert_eq!(is_confirmed, cached.contains(&n));
        }
    }
}
