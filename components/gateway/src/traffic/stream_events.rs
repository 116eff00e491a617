use bytes::{Bytes, BytesMut};

/// Longest event kept back until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// How far a stream got.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Identifier of the last whole event that was passed on.
    pub last_event: Option<String>,
    /// Whole events that were passed on.
    pub events: u64,
}

/// Cuts a stream of events at their ends, so that another target can go on after the last whole one.
///
/// ```
/// use gateway::EventSplitter;
///
/// let mut cutter = EventSplitter::default();
/// assert_eq!(cutter.push(b"id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
/// assert_eq!(cutter.progress().last_event.as_deref(), Some("1"));
/// assert!(!cutter.is_between_events());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of an event that is not whole.
    buf: BytesMut,
    /// What was passed on.
    progress: Progress,
}

impl EventSplitter {
    /// Goes on after an event that the caller has already.
    pub fn resume_after(last_event: Option<String>) -> Self {
        Self {
            buf: BytesMut::new(),
            progress: Progress {
                last_event,
                events: 0,
            },
        }
    }

    /// Takes bytes; gives back the whole events among what it holds.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buf.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buf) else {
            // An event without an end can't be resumed; it is passed on as it is.
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

    /// How far the stream got.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Whether no part of an event is held back.
    pub fn is_between_events(&self) -> bool {
        self.buf.is_empty()
    }

    /// What is held back; the stream has ended.
    pub fn finish(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Forgets what is held back, for a stream that goes on elsewhere.
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
        // The empty piece behind the last line break is no event.
        self.progress.events = self.progress.events.saturating_sub(1);
    }
}

/// Where the last whole event ends: behind an empty line.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let plain = rfind(buf, b"\n\n").map(|at| at + 2);
    let crlf = rfind(buf, b"\r\n\r\n").map(|at| at + 4);
    plain.max(crlf)
}

fn rfind(buf: &[u8], end: &[u8]) -> Option<usize> {
    buf.windows(end.len()).rposition(|window| window == end)
}
