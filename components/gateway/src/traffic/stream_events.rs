use bytes::{Bytes, BytesMut};

/// Longest event that is held back until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Position in a stream of events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Id of the last whole event that was passed on.
    pub last_event: Option<String>,
    /// Whole events that were passed on.
    pub events: u64,
}

/// Splits a stream at event boundaries, which lets another target resume after the last whole event.
///
/// ```
/// use gateway::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
/// assert_eq!(splitter.progress().last_event.as_deref(), Some("1"));
/// assert!(!splitter.is_between_events());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of the event that is not whole yet.
    buf: BytesMut,
    /// Position after the events that were passed on.
    progress: Progress,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after `last_event`.
    pub fn resume_after(last_event: Option<String>) -> Self {
        Self {
            buf: BytesMut::new(),
            progress: Progress {
                last_event,
                events: 0,
            },
        }
    }

    /// Adds bytes and returns all events that are now whole.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buf.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buf) else {
            // An event above the limit is passed on in pieces; the stream can not be resumed within it.
            let is_endless = self.buf.len() > MAX_EVENT_BYTES;
            return if is_endless {
                self.buf.split().freeze()
            } else {
                Bytes::new()
            };
        };
        let whole = self.buf.split_to(end).freeze();
        self.count_events(&whole);
        whole
    }

    /// Returns the position in the stream.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Whether no part of an event is held back.
    pub fn is_between_events(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the bytes held back at the end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Discards the partial event, for a stream that another target resumes.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
    }

    fn count_events(&mut self, whole: &[u8]) {
        for line in whole.split(|b| *b == b'\n') {
            if line.is_empty() {
                self.progress.events += 1;
                continue;
            }
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = String::from_utf8_lossy(id).trim().to_owned();
                self.progress.last_event = Some(id);
            }
        }
        // The empty piece after the last line break is not an event.
        self.progress.events = self.progress.events.saturating_sub(1);
    }
}

/// Returns the end of the last whole event, which an empty line terminates.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let plain = rfind(buf, b"\n\n").map(|at| at + 2);
    let crlf = rfind(buf, b"\r\n\r\n").map(|at| at + 4);
    plain.max(crlf)
}

fn rfind(buf: &[u8], end: &[u8]) -> Option<usize> {
    buf.windows(end.len()).rposition(|window| window == end)
}
