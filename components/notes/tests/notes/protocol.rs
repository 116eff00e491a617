//! Tests of the replica, the acknowledgement tracker and the enforced notes.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{host, note, terms};
use notes::{
    AckTracker, Declared, EnforcedNotesBuilder, HeadChange, HeadRead, NoteEcho, NoteReplica, NoteState,
    RegionRoster, ReplicaEffect, Terms, apply,
};

const MS: Duration = Duration::from_millis(1);

fn head_read(revision: u64, head: u64, staged: Option<u64>) -> HeadRead {
    let terms = Arc::new(terms(&["a", "b", "c"], 2));
    let known = |seq| HeadChange {
        seq,
        version: seq,
        terms: terms.clone(),
    };
    HeadRead {
        revision,
        head: known(head),
        staged: staged.map(known),
    }
}

fn replica() -> NoteReplica {
    NoteReplica::new("a".into(), 1, "gwynedd".into())
}

fn echo(nonce: u64, head: u64, staged: Option<u64>) -> NoteEcho {
    let state = NoteState {
        head,
        staged,
        version: head,
    };
    NoteEcho {
        nonce,
        incarnation: 1,
        state,
    }
}

#[test]
fn a_host_takes_no_new_work_before_its_first_read() {
    let mut replica = replica();
    assert!(!replica.may_take_new_work(Duration::ZERO));
    let effects = replica.on_head_read(10 * MS, &head_read(1, 1, None));
    assert_eq!(effects, [ReplicaEffect::Publish]);
    assert!(replica.may_take_new_work(109 * MS));
    assert!(!replica.may_take_new_work(110 * MS));
}

#[test]
fn peers_extend_service_from_when_their_probe_was_sent() {
    let mut replica = replica();
    replica.on_head_read(Duration::ZERO, &head_read(1, 1, None));
    replica.on_probe(500 * MS, "b".into(), 7);
    assert!(replica.on_echo(&"b".into(), &echo(8, 1, None)).is_empty());
    assert!(!replica.may_take_new_work(550 * MS));
    replica.on_echo(&"b".into(), &echo(7, 1, None));
    assert!(replica.may_take_new_work(599 * MS));
    assert!(!replica.may_take_new_work(600 * MS));
    let mut other_run = echo(9, 1, None);
    other_run.incarnation = 2;
    replica.on_probe(700 * MS, "b".into(), 9);
    replica.on_echo(&"b".into(), &other_run);
    assert!(!replica.may_take_new_work(710 * MS));
}

#[test]
fn a_peer_that_is_ahead_does_not_count() {
    let mut replica = replica();
    replica.on_head_read(Duration::ZERO, &head_read(1, 1, None));
    replica.on_probe(500 * MS, "b".into(), 7);
    let effects = replica.on_echo(&"b".into(), &echo(7, 1, Some(2)));
    assert_eq!(effects, [ReplicaEffect::ReadHead]);
    assert!(!replica.may_take_new_work(501 * MS));
}

#[test]
fn a_replica_ignores_reads_that_are_older_than_its_state() {
    let mut replica = replica();
    replica.on_head_read(Duration::ZERO, &head_read(5, 1, Some(2)));
    assert_eq!(replica.unacknowledged(), Some(2));
    let late = head_read(4, 1, None);
    assert!(replica.on_head_read(MS, &late).is_empty());
    assert_eq!(replica.enforced_changes(), [1, 2]);
    replica.on_peer_state(&echo(0, 2, None).state);
    assert_eq!(replica.enforced_changes(), [2]);
    assert!(replica.on_head_read(2 * MS, &head_read(5, 1, Some(2))).is_empty());
    assert_eq!(replica.state().head, 2);
}

#[test]
fn acceptance_names_the_region_that_has_not_confirmed() {
    let roster = |names: &[&str]| RegionRoster {
        serving: 2,
        members: names.iter().map(|name| ((*name).into(), 1)).collect(),
    };
    let regions = [
        ("gwynedd".into(), roster(&["a", "b", "c"])),
        ("glamorgan".into(), roster(&["d", "e", "f"])),
    ];
    let terms = Terms {
        freshness_ms: 100,
        lapse_ms: 1_000,
        regions: regions.into(),
    };
    let mut tracker = AckTracker::new(2, Arc::new(terms), Duration::ZERO);
    let mut rows: Vec<_> = ["a", "b", "d"].map(|name| host(name, 1)).into();
    rows.iter_mut().for_each(|row| row.acknowledged = 2);
    rows[2].region = "glamorgan".into();
    tracker.on_hosts(50 * MS, &rows);
    let status = tracker.status();
    assert_eq!(status.ready_at, None);
    assert_eq!(status.regions["gwynedd"].ready_at, Some(150 * MS));
    assert_eq!(status.regions["glamorgan"].missing, ["e".into(), "f".into()]);
    let mut stopped = host("e", 1);
    stopped.region = "glamorgan".into();
    stopped.is_stopped = true;
    tracker.on_hosts(200 * MS, &[stopped]);
    assert!(!tracker.is_ready(299 * MS));
    assert!(tracker.is_ready(300 * MS));
}

#[test]
fn a_minority_does_not_block_for_longer_than_the_lapse_period() {
    let mut tracker = AckTracker::new(2, Arc::new(terms(&["a", "b", "c", "d"], 1)), Duration::ZERO);
    let mut rows = ["a", "b"].map(|name| host(name, 1));
    rows.iter_mut().for_each(|row| row.acknowledged = 2);
    tracker.on_hosts(50 * MS, &rows);
    assert_eq!(tracker.status().regions["gwynedd"].ready_at, Some(1_050 * MS));
}

fn base() -> Declared {
    let digests = ["mill", "yard"].map(|name| utils::digest(name.as_bytes()));
    let text = format!(
        "id: first\nbase: 0\nadd:\n  workspaces:\n    mill: {{key_digests: [{}]}}\n    yard: {{key_digests: [{}]}}\n  deployments:\n    quotes: {{weight_version: 3}}\n    tags: {{weight_version: 3, workspaces: [mill]}}\n  services:\n    orders: {{repeatable: true}}\n  rules:\n    local: {{regions: [gwynedd]}}\n",
        digests[0], digests[1]
    );
    apply(&Declared::default(), &note(&text)).unwrap()
}

#[test]
fn a_staged_note_narrows_at_once_and_widens_later() {
    let head = base();
    let staged = note(
        "id: b\nbase: 1\nadd:\n  workspaces: {quay: {}}\nchange:\n  workspaces: {mill: {limits: {open_streams: 5}, priority: 3}}\n  deployments:\n    quotes: {weight_version: 5, oldest_weight_version: 2, max_tokens: 9}\n    tags: {weight_version: 4, workspaces: [mill]}\n  services: {orders: {repeatable: false}}\n  rules: {local: {regions: [gwynedd, glamorgan]}}\nwithdraw:\n  workspaces: [yard]\n",
    );
    let mut builder = EnforcedNotesBuilder::default();
    let state = NoteState {
        head: 1,
        staged: Some(2),
        version: 1,
    };
    let both = builder.build(state, &head, Some(&staged), 10 * MS);
    assert!(both.may_take_new_work(9 * MS) && !both.may_take_new_work(10 * MS));
    assert!(both.workspace_by_key(&utils::digest(b"yard")).is_none());
    assert!(both.workspace_by_key(&utils::digest(b"mill")).is_none());
    let mill = &both.declared().workspaces["mill"];
    assert_eq!((mill.limits.open_streams, mill.priority), (5, 3));
    let quotes = both.deployment("quotes").unwrap();
    assert_eq!((quotes.weight_versions(), quotes.max_tokens), (3..=3, 9));
    assert!(both.deployment("tags").is_none());
    assert!(!both.service("orders").unwrap().repeatable);
    assert!(!both.allows("mill", "quotes", "glamorgan", "c1"));
    assert!(!both.declared().workspaces.contains_key("quay"));

    let after = apply(&head, &staged).unwrap();
    let state = NoteState {
        head: 2,
        staged: None,
        version: 2,
    };
    let accepted = builder.build(state, &after, None, 20 * MS);
    assert!(accepted.allows("mill", "quotes", "glamorgan", "c1"));
    assert!(accepted.declared().workspaces.contains_key("quay"));
    assert!(accepted.workspace_by_key(&utils::digest(b"yard")).is_none());
}

#[test]
fn a_key_that_moves_between_workspaces_is_found_in_one() {
    let head = base();
    let digest = utils::digest(b"mill");
    let moved = note(&format!(
        "id: b\nbase: 1\nchange:\n  workspaces:\n    mill: {{}}\n    yard: {{key_digests: [{digest}]}}\n"
    ));
    let mut builder = EnforcedNotesBuilder::default();
    let state = |head| NoteState {
        head,
        staged: None,
        version: head,
    };
    let before = builder.build(state(1), &head, None, MS);
    assert_eq!(&**before.workspace_by_key(&digest).unwrap().1, "mill");
    let after = builder.build(state(2), &apply(&head, &moved).unwrap(), None, MS);
    assert_eq!(&**after.workspace_by_key(&digest).unwrap().1, "yard");
}
