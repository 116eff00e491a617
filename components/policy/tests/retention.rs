use std::time::Duration;

use policy::{Retention, StoredPiece, WriteBack};
use utils::WorkspaceId;

const HOUR: Duration = Duration::from_secs(3_600);

fn learned() -> (Retention, WorkspaceId, WorkspaceId) {
    let (returns, once): (WorkspaceId, WorkspaceId) = ("returns".into(), "once".into());
    let mut retention = Retention::default();
    for n in 0..400_u32 {
        let now = HOUR * n / 4;
        retention.record_use(&returns, utils::digest(&(n % 8).to_le_bytes()), 3, now);
        retention.record_use(&once, utils::digest(&(n + 1_000).to_le_bytes()), 3, now);
    }
    (retention, returns, once)
}

#[test]
fn chance_of_return_follows_the_gaps() {
    let (retention, returns, once) = learned();
    let day = 24 * HOUR;
    assert!(retention.chance(&returns, 3, Duration::ZERO, day) > 0.9);
    assert!(retention.chance(&once, 3, Duration::ZERO, day) < 0.1);
    assert!(retention.chance(&returns, 3, Duration::ZERO, HOUR / 4) < 0.1);
    assert!(retention.chance(&returns, 3, 12 * HOUR, day) < retention.chance(&returns, 3, HOUR, day));
}

#[test]
fn pieces_that_never_return_are_dropped_first() {
    let (retention, returns, once) = learned();
    let now = 100 * HOUR;
    let kept = |n: u32, workspace: &WorkspaceId, depth| StoredPiece {
        piece: utils::digest(&n.to_le_bytes()),
        workspace: workspace.clone(),
        depth,
        bytes: 10,
        recompute_seconds: 0.25,
        used_at: now - HOUR,
    };
    let all = [
        kept(1, &returns, 3),
        kept(2, &once, 3),
        kept(3, &once, 4),
        kept(4, &returns, 4),
    ];
    assert_eq!(retention.victims(&all, 15, now), [all[2].piece, all[1].piece]);
    assert!(retention.victims(&all, 0, now).is_empty());
}

#[test]
fn copies_are_written_only_where_they_pay() {
    let (retention, returns, once) = learned();
    let copy = WriteBack {
        recompute_seconds: 0.25,
        fetch_seconds: 0.1,
        recompute_cost: 0.0,
        write_cost: 0.05,
    };
    assert!(retention.is_worth_writing(&returns, 3, &copy));
    assert!(!retention.is_worth_writing(&once, 3, &copy));
    let over_the_paid_link = WriteBack {
        write_cost: 1.6,
        ..copy
    };
    assert!(!retention.is_worth_writing(&returns, 3, &over_the_paid_link));
}
