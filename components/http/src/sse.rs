use bytes::{Buf, Bytes, BytesMut};
use error_stack::Report;
use http_body_util::BodyExt;

use crate::HttpError;

/// Maximum length of a line in an event stream, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Maximum length of an event with all its lines, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A server-sent event.
///
/// ```
/// let event = http_io::SseEvent { id: Some("7".into()), data: "hello".into() };
/// assert_eq!(event.to_bytes().as_ref(), b"id: 7\ndata: hello\n\n");
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The `id` field.
    pub id: Option<String>,
    /// The `data` field; must not contain a line break.
    pub data: String,
}

impl SseEvent {
    /// Returns the event in wire format.
    pub fn to_bytes(&self) -> Bytes {
        let id_len = self.id.as_ref().map_or(0, |id| id.len() + 5);
        let mut buf = Vec::with_capacity(id_len + self.data.len() + 8);
        if let Some(id) = &self.id {
            buf.extend_from_slice(b"id: ");
            buf.extend_from_slice(id.as_bytes());
            buf.push(b'\n');
        }
        buf.extend_from_slice(b"data: ");
        buf.extend_from_slice(self.data.as_bytes());
        buf.extend_from_slice(b"\n\n");
        Bytes::from(buf)
    }
}

/// Reads server-sent events from a body.
pub struct SseReader<B> {
    /// Body that contains the events.
    body: B,
    /// Bytes that were read and not yet parsed.
    buf: BytesMut,
}

impl<B: hyper::body::Body<Data = Bytes> + Unpin> SseReader<B> {
    /// Builds a reader for a body that has not been read from.
    pub fn new(body: B) -> Self {
        Self {
            body,
            buf: BytesMut::new(),
        }
    }

    /// Reads the next event; returns `None` at the end of the body.
    ///
    /// # Errors
    /// [`HttpError::Interrupted`] if the body ends within an event or fails, [`HttpError::TooLarge`] if a
    /// line or an event exceeds the maximum length.
    pub async fn next(&mut self) -> Result<Option<SseEvent>, Report<HttpError>> {
        let mut event = SseEvent::default();
        let mut has_fields = false;
        let mut event_bytes = 0;
        loop {
            let Some(line) = self.read_line().await? else {
                return if has_fields {
                    Err(Report::new(HttpError::Interrupted))
                } else {
                    Ok(None)
                };
            };
            if line.is_empty() {
                if has_fields {
                    return Ok(Some(event));
                }
                continue;
            }
            event_bytes += line.len();
            if event_bytes > MAX_EVENT_BYTES {
                return Err(Report::new(HttpError::TooLarge {
                    limit: MAX_EVENT_BYTES,
                }));
            }
            has_fields |= store_field(&mut event, &line);
        }
    }

    async fn read_line(&mut self) -> Result<Option<Bytes>, Report<HttpError>> {
        let mut searched = 0;
        loop {
            if let Some(end) = self.buf[searched..].iter().position(|b| *b == b'\n') {
                let mut line = self.buf.split_to(searched + end).freeze();
                self.buf.advance(1);
                if line.last() == Some(&b'\r') {
                    line.truncate(line.len() - 1);
                }
                return Ok(Some(line));
            }
            searched = self.buf.len();
            if searched > MAX_LINE_BYTES {
                return Err(Report::new(HttpError::TooLarge {
                    limit: MAX_LINE_BYTES,
                }));
            }
            match self.body.frame().await {
                None if self.buf.is_empty() => return Ok(None),
                None => return Err(Report::new(HttpError::Interrupted)),
                Some(Err(_)) => return Err(Report::new(HttpError::Interrupted)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

/// Stores a field of an event; returns false for comments and unsupported fields.
fn store_field(event: &mut SseEvent, line: &[u8]) -> bool {
    let text = String::from_utf8_lossy(line);
    let Some((name, value)) = text.split_once(':') else {
        return false;
    };
    let value = value.strip_prefix(' ').unwrap_or(value);
    match name {
        "id" => event.id = Some(value.to_owned()),
        "data" => event.data.push_str(value),
        _ => return false,
    }
    true
}
