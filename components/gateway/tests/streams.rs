//! Cutting streams of events at their ends, whatever pieces they arrive in.

use gateway::EventCutter;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn pieces_of_any_size_give_the_same_bytes_and_progress() {
    for size in 1..=STREAM.len() {
        let mut cutter = EventCutter::default();
        let passed: Vec<u8> = STREAM.chunks(size).flat_map(|piece| cutter.push(piece)).collect();
        assert_eq!(passed, STREAM, "pieces of {size}");
        assert_eq!(cutter.progress().events, 3);
        assert_eq!(cutter.progress().last_event.as_deref(), Some("3"));
        assert!(cutter.is_between_events());
    }
}

#[test]
fn a_broken_event_is_held_back_and_forgotten() {
    let mut cutter = EventCutter::default();
    let passed = cutter.push(&STREAM[..25]);
    assert_eq!(&passed[..], &STREAM[..15]);
    cutter.drop_partial();
    assert_eq!(cutter.progress().last_event.as_deref(), Some("1"));
    assert!(cutter.finish().is_empty());
}

#[test]
fn a_continued_stream_starts_after_what_the_caller_has() {
    let cutter = EventCutter::after(Some("12".to_owned()));
    assert_eq!(cutter.progress().last_event.as_deref(), Some("12"));
}
