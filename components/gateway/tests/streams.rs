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

// Guards against the start of an event that counts as the end of a complete stream.
#[test]
fn a_stream_is_inside_an_event_until_an_empty_line() {
    for rest in [
        "d",
        "data: a",
        "data: a\n",
        "data: a\r\n",
        "data: a\r",
        ": c\ndata: a\n",
    ] {
        let mut splitter = EventSplitter::default();
        splitter.push(STREAM);
        splitter.push(rest.as_bytes());
        assert!(!splitter.is_between_events(), "{rest:?}");
    }
}

// Guards against a comment that was broken off and counts as whole.
#[test]
fn a_stream_that_ends_inside_a_comment_line_is_not_between_events() {
    let mut splitter = EventSplitter::default();
    splitter.push(STREAM);
    splitter.push(b": by");
    assert!(!splitter.is_between_events());
}

// Guards against line breaks and comments that count as the start of an event.
#[test]
fn empty_lines_and_comments_are_between_events() {
    for rest in [
        "",
        "\n",
        "\r\n",
        "\r",
        "\n\n\n",
        "\r\n\r\n\r\n",
        ": c\n",
        ": c\r\n",
        ": a\n: b\n",
    ] {
        let mut splitter = EventSplitter::default();
        let mut passed = splitter.push(STREAM).to_vec();
        passed.extend(splitter.push(rest.as_bytes()));
        assert!(splitter.is_between_events(), "{rest:?}");
        passed.extend(splitter.finish());
        assert_eq!(passed, [STREAM, rest.as_bytes()].concat(), "{rest:?}");
    }
}

// Guards against a whole event with unusual line breaks that counts as broken off at the end.
#[test]
fn any_line_breaks_end_an_event() {
    for event in ["data: a\r\r", "data: a\n\r\n", "data: a\r\n\n", "data: a\r\n\r\n"] {
        let mut splitter = EventSplitter::default();
        splitter.push(event.as_bytes());
        assert!(splitter.is_between_events(), "{event:?}");
    }
}

// Guards against events that are miscounted or held back because of their line breaks.
#[test]
fn events_are_counted_with_any_line_breaks() {
    for end in ["\n", "\r\n", "\r"] {
        let stream = String::from_utf8(STREAM.to_vec()).unwrap().replace('\n', end);
        for size in 1..=stream.len() {
            let mut splitter = EventSplitter::default();
            let passed: Vec<u8> = stream
                .as_bytes()
                .chunks(size)
                .flat_map(|piece| splitter.push(piece))
                .collect();
            let progress = splitter.progress();
            assert_eq!(
                (progress.events, progress.last_event.as_deref()),
                (3, Some("3")),
                "{end:?}, pieces of {size}"
            );
            assert!(splitter.is_between_events(), "{end:?}, pieces of {size}");
            assert_eq!(
                [passed, splitter.finish().to_vec()].concat(),
                stream.as_bytes(),
                "{end:?}, pieces of {size}"
            );
        }
    }
}

// Guards against empty lines and comments that count as events.
#[test]
fn empty_lines_and_comments_are_not_counted() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"\n\n: ping\n\ndata: a\n\n\n: ping\n\n");
    assert_eq!(splitter.progress().events, 1);
}

// Guards against a long event whose start has been passed on and that counts as the end of a complete stream.
#[test]
fn a_stream_is_inside_a_long_event_until_its_end() {
    for end in ["\n\n", "\r\n\r\n", "\r\r"] {
        let mut splitter = EventSplitter::default();
        let (first, rest) = end.split_at(end.len() / 2);
        let start = format!("data: {}{first}", "x".repeat(2 << 20));
        let mut passed = splitter.push(start.as_bytes()).to_vec();
        assert!(!passed.is_empty());
        assert!(!splitter.is_between_events(), "{end:?}");
        passed.extend(splitter.push(rest.as_bytes()));
        assert!(splitter.is_between_events(), "{end:?}");
        assert!(passed == (start + rest).into_bytes(), "{end:?}");
        assert_eq!(splitter.progress().events, 1, "{end:?}");
    }
}

/// Guards against the buffer of a long event that stays in memory after the event was passed on.
#[test]
fn a_long_event_leaves_no_large_buffer() {
    for end in ["", "\n\n"] {
        let mut splitter = EventSplitter::default();
        let event = format!("data: {}{end}", "x".repeat(2 << 20));
        let pieces = event.as_bytes().chunks(8 << 10);
        let passed: Vec<u8> = pieces.flat_map(|piece| splitter.push(piece)).collect();
        assert!(event.as_bytes().starts_with(&passed));
        splitter.push(&vec![b'x'; 2 << 20]);
        assert!(splitter.held_bytes() < 1_000, "{} bytes", splitter.held_bytes());
    }
}

// Guards against work that grows with the square of an event's length and holds up all other requests of the thread.
#[test]
fn an_event_without_end_in_pieces_of_one_byte_is_split_at_its_bound() {
    let mut splitter = EventSplitter::default();
    let passed = (0..(1 << 20) + 1).find_map(|_| Some(splitter.push(b"x")).filter(|part| !part.is_empty()));
    assert_eq!(passed.map(|part| part.len()), Some((1 << 20) - 1));
    let ends = [
        splitter.push(b"\r"),
        splitter.push(b"\n"),
        splitter.push(b"\r"),
        splitter.push(b"\n"),
    ];
    assert_eq!(ends.concat(), b"xx\r\n\r\n");
    assert!(splitter.is_between_events());
}
