//! Splitting streams at event boundaries, for any sizes of the received pieces.

use gateway::EventSplitter;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn pieces_of_any_size_give_the_same_bytes_and_progress() {
    for size in 1..=STREAM.len() {
        let mut splitter = EventSplitter::default();
        let passed: Vec<u8> = STREAM
            .chunks(size)
            .flat_map(|piece| splitter.push(piece))
            .collect();
        assert_eq!(passed, STREAM, "pieces of {size}");
        assert_eq!(splitter.progress().events, 3);
        assert_eq!(splitter.progress().last_event.as_deref(), Some("3"));
        assert!(splitter.is_between_events());
    }
}

#[test]
fn a_partial_event_is_held_back_and_discarded() {
    let mut splitter = EventSplitter::default();
    let passed = splitter.push(&STREAM[..25]);
    assert_eq!(&passed[..], &STREAM[..15]);
    splitter.discard_partial();
    assert_eq!(splitter.progress().last_event.as_deref(), Some("1"));
    assert!(splitter.finish().is_empty());
}

#[test]
fn a_resumed_stream_starts_after_the_callers_last_event() {
    let splitter = EventSplitter::resume_after(Some("12".to_owned()));
    assert_eq!(splitter.progress().last_event.as_deref(), Some("12"));
}
