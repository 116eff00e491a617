//! The records of stream origins that a host has made, in virtual time.

use std::time::Duration;

use gateway::{OriginKey, OriginRecords, OriginWrite, Position, StreamOrigin};

const S: Duration = Duration::from_secs(1);
/// Longer than any backoff.
const BACKOFF: Duration = Duration::from_secs(3);
const LIFETIME: Duration = Duration::from_secs(30);

fn origin(request: &str, software: &str) -> StreamOrigin {
    StreamOrigin {
        key: OriginKey::of("mill", request),
        service: "chat".into(),
        software: software.into(),
    }
}

/// Adds a record; returns whether it was taken, and the receiver of the message that it is written.
fn add(
    records: &mut OriginRecords,
    origin: StreamOrigin,
    now: Duration,
) -> (bool, async_channel::Receiver<()>) {
    let (tx, rx) = async_channel::bounded(1);
    (records.add(origin, tx, now), rx)
}

/// Writes all records that are due in an era; returns them.
fn write_all(records: &mut OriginRecords, era: u64, now: Duration) -> Vec<StreamOrigin> {
    let mut written = Vec::new();
    while let Some(write) = records.take_write(now) {
        written.extend(write.origins.iter().cloned());
        records.finish_write(write, Some(Position::new(era, 1)), now);
    }
    written
}

fn fail(records: &mut OriginRecords, write: OriginWrite, now: Duration) {
    records.finish_write(write, None, now);
}

// Guards against an event that leaves before its record is in the store, and against a record that is given up.
#[test]
fn a_record_waits_out_a_store_that_rejects_it() {
    let mut records = OriginRecords::default();
    let (_, rx) = add(&mut records, origin("r1", "2"), S);
    let mut now = S;
    for _ in 0..8 {
        let write = records.take_write(now).unwrap();
        assert!(
            records.take_write(now).is_none(),
            "the record is written twice at once"
        );
        fail(&mut records, write, now);
        assert!(records.take_write(now).is_none(), "no backoff");
        assert!(rx.is_empty() && !rx.is_closed());
        assert!(records.next_write_at().unwrap() <= now + BACKOFF);
        now += BACKOFF;
    }
    assert_eq!(write_all(&mut records, 1, now), [origin("r1", "2")]);
    assert_eq!(rx.try_recv(), Ok(()));
    assert_eq!(records.next_write_at(), None);
}

// Guards against streams that are never again placed at a version because its last record expired in an outage.
#[test]
fn writes_no_longer_fail_once_the_records_of_an_outage_have_expired() {
    let mut records = OriginRecords::default();
    add(&mut records, origin("r1", "2"), S);
    let write = records.take_write(S).unwrap();
    fail(&mut records, write, S);
    assert!(records.is_failing());
    let now = S + LIFETIME;
    records.expire(LIFETIME, now);
    assert!(records.take_write(now).is_none());
    assert!(
        !records.is_failing(),
        "no record will show that the store is back"
    );
}

// Guards against one call for each record, and against a record that waits although its part is free.
#[test]
fn records_that_arrive_during_a_call_share_the_next_one() {
    let mut records = OriginRecords::default();
    let first = origin("r0", "2");
    let same_part = (1..).map(|n| origin(&format!("r{n}"), "2"));
    let same_part = same_part.filter(|other| other.key.part() == first.key.part());
    add(&mut records, first.clone(), S);
    let write = records.take_write(S).unwrap();
    assert_eq!(write.origins, std::slice::from_ref(&first));
    let others: Vec<_> = same_part.take(150).collect();
    for other in &others {
        add(&mut records, other.clone(), S);
    }
    assert!(records.take_write(S).is_none());
    records.finish_write(write, Some(Position::new(1, 1)), S);
    let next = records.take_write(S).unwrap();
    assert_eq!(next.origins, others[..100]);
    records.finish_write(next, Some(Position::new(1, 2)), S);
    assert_eq!(records.take_write(S).unwrap().origins, others[100..]);
}

// Guards against a stream that is taken for another version's after the store came back from an older copy.
#[test]
fn a_restored_store_gets_the_records_again() {
    let mut records = OriginRecords::default();
    add(&mut records, origin("r1", "2"), S);
    assert_eq!(write_all(&mut records, 1, S).len(), 1);
    assert!(records.has_written_again(1));
    // The call began before the store was restored.
    let (_, rx) = add(&mut records, origin("r2", "2"), S);
    let late = records.take_write(S).unwrap();
    records.record_era(2);
    assert!(!records.has_written_again(2));
    records.finish_write(late, Some(Position::new(1, 9)), S);
    assert!(rx.is_empty());
    let mut again = write_all(&mut records, 2, S);
    again.sort_by_key(|origin| origin.key);
    let mut expected = [origin("r1", "2"), origin("r2", "2")];
    expected.sort_by_key(|origin| origin.key);
    assert_eq!(again, expected);
    assert!(records.has_written_again(2) && !rx.is_empty());
}

// Guards against a stream that is refused after a restore because its host, or the one that has a copy, has not said at which
// version it began.
#[test]
fn origins_that_are_held_are_written_only_once_the_store_is_restored() {
    let mut records = OriginRecords::default();
    records.record_era(1);
    let (own, copied) = (origin("r1", "1"), origin("r2", "2"));
    records.hold(own.clone(), S);
    assert!(records.hold_copy(copied.clone(), S));
    assert!(
        !records.hold_copy(origin("r2", "1"), S),
        "the first origin is final"
    );
    assert!(records.take_write(S).is_none());
    // Copies are not passed on.
    assert_eq!(records.take_uncopied(), std::slice::from_ref(&own));
    records.put_back_uncopied(std::slice::from_ref(&own));
    assert_eq!(records.take_uncopied(), std::slice::from_ref(&own));
    assert!(!records.has_uncopied());
    records.record_era(2);
    let mut written = write_all(&mut records, 2, S);
    written.sort_by_key(|origin| origin.key);
    let mut expected = [own.clone(), copied];
    expected.sort_by_key(|origin| origin.key);
    assert_eq!(written, expected);
    // A stream of which a record is needed after all.
    records.hold(origin("r3", "1"), S);
    let (is_taken, rx) = add(&mut records, origin("r3", "1"), S);
    assert!(is_taken);
    assert_eq!(write_all(&mut records, 2, S), [origin("r3", "1")]);
    assert_eq!(rx.try_recv(), Ok(()));
    records.expire(LIFETIME, S + LIFETIME);
    assert!(records.is_empty());
}

// Guards against two records of one stream, of which the first one's write may be performed last.
#[test]
fn the_first_record_of_a_stream_is_final() {
    let mut records = OriginRecords::default();
    assert!(add(&mut records, origin("r1", "2"), S).0);
    assert!(!add(&mut records, origin("r1", "3"), S).0);
    write_all(&mut records, 1, S);
    let (is_taken, rx) = add(&mut records, origin("r1", "2"), S);
    assert!(is_taken);
    assert_eq!(rx.try_recv(), Ok(()));
    assert_eq!(records.get(&origin("r1", "").key), Some(&origin("r1", "2")));
}

// Guards against records that stay in the store, and against a record of a failed call that is not removed.
#[test]
fn records_are_removed_by_age() {
    let mut records = OriginRecords::default();
    add(&mut records, origin("r1", "2"), S);
    let write = records.take_write(S).unwrap();
    fail(&mut records, write, S);
    let (_, rx) = add(&mut records, origin("r2", "2"), 2 * S);
    records.expire(LIFETIME, S + LIFETIME);
    assert!(records.get(&origin("r1", "").key).is_none() && !rx.is_closed());
    records.expire(LIFETIME, 2 * S + LIFETIME);
    assert!(rx.is_closed(), "the request still waits");
    assert!(
        records.take_write(100 * S).is_none(),
        "an expired record is written"
    );
    assert_eq!(records.take_removals(S + LIFETIME), []);
    // No call has written the other one.
    let keys = records.take_removals(200 * S);
    assert_eq!(keys, [origin("r1", "").key]);
    records.put_back_removals(&keys, 200 * S);
    assert_eq!(records.take_removals(200 * S), []);
    assert_eq!(records.take_removals(220 * S), keys);
}
