//! Server-sent events that arrive in chunks of any size.

use bytes::Bytes;
use http_io::{HttpError, SseEvent, SseReader, channel_body};
use proptest::collection::vec;
use proptest::prelude::*;

fn read_all(chunks: Vec<Bytes>) -> Result<Vec<SseEvent>, HttpError> {
    smol::block_on(async {
        let (tx, body) = channel_body(chunks.len().max(1));
        for chunk in chunks {
            tx.send(Ok(chunk)).await.unwrap();
        }
        drop(tx);
        let mut reader = SseReader::new(body);
        let mut events = Vec::new();
        while let Some(event) = reader.next().await.map_err(|e| *e.current_context())? {
            events.push(event);
        }
        Ok(events)
    })
}

fn split(bytes: &[u8], cuts: &[usize]) -> Vec<Bytes> {
    let mut cuts: Vec<_> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    cuts.windows(2)
        .map(|w| Bytes::copy_from_slice(&bytes[w[0]..w[1]]))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn events_survive_any_split(
        texts in vec(("[a-z0-9]{0,8}", "[ -~]{1,40}"), 0..6),
        cuts in vec(any::<usize>(), 0..12),
    ) {
        let events: Vec<_> = texts
            .into_iter()
            .map(|(id, data)| SseEvent { id: Some(id), data: data.trim_start().to_owned() })
            .collect();
        let bytes: Vec<u8> = events.iter().flat_map(|e| e.to_bytes().to_vec()).collect();
        prop_assert_eq!(read_all(split(&bytes, &cuts)), Ok(events));
    }

    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in vec(any::<u8>(), 0..400), cuts in vec(any::<usize>(), 0..6)) {
        let _ = read_all(split(&bytes, &cuts));
    }
}

#[test]
fn an_incomplete_event_is_an_error_and_comments_are_not_events() {
    let half = read_all(vec![Bytes::from_static(b"data: half")]);
    assert_eq!(half, Err(HttpError::Interrupted));
    assert_eq!(
        read_all(vec![Bytes::from_static(b"data: half\n")]),
        Err(HttpError::Interrupted)
    );
    let commented = Bytes::from_static(b": still here\n\ndata: x\r\n\r\n");
    assert_eq!(read_all(vec![commented]).unwrap()[0].data, "x");
}

#[test]
fn a_line_over_the_limit_is_an_error() {
    let chunk = Bytes::from(vec![b'a'; 700_000]);
    assert!(matches!(
        read_all(vec![chunk.clone(), chunk]),
        Err(HttpError::TooLarge { .. })
    ));
}

// Guards against an event without end in lines that are each within the limit.
#[test]
fn an_event_over_the_limit_is_an_error() {
    let line = Bytes::from(format!("data: {}\n", "a".repeat(60_000)));
    assert!(matches!(
        read_all(vec![line; 20]),
        Err(HttpError::TooLarge { .. })
    ));
}
