use std::time::Duration;

use policy::{Retention, StoredPiece, WriteBack};
use utils::WorkspaceId;

const HOUR: Duration = Duration::from_secs(3_600);

fn trained() -> (Retention, WorkspaceId, WorkspaceId) {
    let (reused, used_once): (WorkspaceId, WorkspaceId) = ("returns".into(), "once".into());
    let mut retention = Retention::default();
    for n in 0..400_u32 {
        let now = HOUR * n / 4;
        retention.record_use(&reused, utils::digest(&(n % 8).to_le_bytes()), 3, now);
        retention.record_use(&used_once, utils::digest(&(n + 1_000).to_le_bytes()), 3, now);
    }
    (retention, reused, used_once)
}

#[test]
fn reuse_probability_follows_the_gaps() {
    let (retention, reused, used_once) = trained();
    let day = 24 * HOUR;
    assert!(retention.reuse_probability(&reused, 3, Duration::ZERO, day) > 0.9);
    assert!(retention.reuse_probability(&used_once, 3, Duration::ZERO, day) < 0.1);
    assert!(retention.reuse_probability(&reused, 3, Duration::ZERO, HOUR / 4) < 0.1);
    assert!(
        retention.reuse_probability(&reused, 3, 12 * HOUR, day)
            < retention.reuse_probability(&reused, 3, HOUR, day)
    );
}

#[test]
fn pieces_that_are_never_reused_are_evicted_first() {
    let (retention, reused, used_once) = trained();
    let now = 100 * HOUR;
    let stored = |n: u32, workspace: &WorkspaceId, depth| StoredPiece {
        piece: utils::digest(&n.to_le_bytes()),
        workspace: workspace.clone(),
        depth,
        bytes: 10,
        recompute_seconds: 0.25,
        used_at: now - HOUR,
    };
    let all = [
        stored(1, &reused, 3),
        stored(2, &used_once, 3),
        stored(3, &used_once, 4),
        stored(4, &reused, 4),
    ];
    assert_eq!(retention.victims(&all, 15, now), [all[2].piece, all[1].piece]);
    assert!(retention.victims(&all, 0, now).is_empty());
}

#[test]
fn copies_are_written_only_if_worth_the_cost() {
    let (retention, reused, used_once) = trained();
    let copy = WriteBack {
        recompute_seconds: 0.25,
        fetch_seconds: 0.1,
        recompute_cost: 0.0,
        write_cost: 0.05,
    };
    assert!(retention.is_worth_writing(&reused, 3, &copy));
    assert!(!retention.is_worth_writing(&used_once, 3, &copy));
    let over_the_paid_link = WriteBack {
        write_cost: 1.6,
        ..copy
    };
    assert!(!retention.is_worth_writing(&reused, 3, &over_the_paid_link));
}
