use bytes::{Bytes, BytesMut};

/// Longest event that is held back until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Line breaks of which the second ends an empty line. Longer combinations with `\r\n` end in one of these.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
/// Size from which bytes that are passed on take the buffer with them, so that the rest does not keep it alive.
const LARGE_PART_BYTES: usize = 16 << 10;
/// Longest incomplete part of an event's end, in bytes.
const MAX_PARTIAL_END: usize = 2;

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
    /// Whether the start of the event in `buf` was passed on.
    is_split: bool,
    /// Whether any event was passed on in pieces. Its id may be unknown.
    had_split: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after `last_event`.
    pub fn resume_after(last_event: Option<String>) -> Self {
        Self {
            progress: Progress {
                last_event,
                events: 0,
            },
            ..Self::default()
        }
    }

    /// Adds bytes and returns all events that are now whole.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        // The bytes that are held back contain no event's end, at most the start of one.
        let searched = self.buf.len().saturating_sub(MAX_PARTIAL_END);
        self.buf.extend_from_slice(bytes);
        let found = last_event_end(&self.buf[searched..]);
        let Some(end) = found.map(|end| searched + end) else {
            return self.split_long_event();
        };
        let whole = self.split_off(end);
        self.count_events(&whole);
        self.is_split = false;
        whole
    }

    fn split_off(&mut self, end: usize) -> Bytes {
        let part = self.buf.split_to(end).freeze();
        if part.len() > LARGE_PART_BYTES {
            self.buf = BytesMut::from(&self.buf[..]);
        }
        part
    }

    /// Returns the position in the stream.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Whether a stream that ends here is complete: nothing is held back but empty lines and whole comments.
    pub fn is_between_events(&self) -> bool {
        !self.is_split && !ends_inside_event(&self.buf)
    }

    /// Whether another target can resume the stream: the caller's position is after a known event, or before
    /// the first.
    pub fn is_resumable(&self) -> bool {
        let is_known = self.progress.last_event.is_some() || self.progress.events == 0;
        is_known && !self.had_split
    }

    /// Returns the bytes held back at the end of a complete stream.
    pub fn finish(&mut self) -> Bytes {
        self.split_off(self.buf.len())
    }

    /// Returns the size of the buffer for bytes that are held back until their event is whole.
    pub fn held_bytes(&self) -> usize {
        self.buf.capacity()
    }

    /// Discards the partial event, for a stream that another target resumes.
    pub fn discard_partial(&mut self) {
        self.buf = BytesMut::new();
    }

    /// Passes on the start of an event above the limit; holds back a shorter one.
    fn split_long_event(&mut self) -> Bytes {
        if self.buf.len() <= MAX_EVENT_BYTES {
            return Bytes::new();
        }
        self.is_split = true;
        self.had_split = true;
        // The last bytes may belong to the event's end.
        self.split_off(self.buf.len() - MAX_PARTIAL_END)
    }

    fn count_events(&mut self, whole: &[u8]) {
        let mut is_inside = self.is_split;
        let mut rest = whole;
        while let Some((line, after)) = split_line(rest) {
            if line.is_empty() && is_inside {
                self.progress.events += 1;
            }
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = String::from_utf8_lossy(id).trim().to_owned();
                self.progress.last_event = Some(id);
            }
            is_inside = is_inside_after(line, is_inside);
            rest = after;
        }
    }
}

/// Whether bytes that start between events end inside an event or a line.
fn ends_inside_event(buf: &[u8]) -> bool {
    let mut is_inside = false;
    let mut rest = buf;
    while let Some((line, after)) = split_line(rest) {
        is_inside = is_inside_after(line, is_inside);
        rest = after;
    }
    is_inside || !rest.is_empty()
}

/// Whether a stream is inside an event after a line: an empty line ends an event, and a comment is no part of one.
fn is_inside_after(line: &[u8], is_inside: bool) -> bool {
    match line.first() {
        None => false,
        Some(b':') => is_inside,
        Some(_) => true,
    }
}

/// Splits off the first whole line, which `\n`, `\r\n` or `\r` ends.
fn split_line(buf: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = buf.iter().position(|b| matches!(b, b'\n' | b'\r'))?;
    let (line, rest) = buf.split_at(end);
    let after = rest.strip_prefix(b"\r\n").or_else(|| rest.get(1..))?;
    Some((line, after))
}

/// Returns the end of the last whole event, which an empty line terminates.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let ends = EVENT_ENDS.iter();
    ends.filter_map(|end| rfind(buf, end).map(|at| at + end.len()))
        .max()
}

fn rfind(buf: &[u8], end: &[u8]) -> Option<usize> {
    buf.windows(end.len()).rposition(|window| window == end)
}
