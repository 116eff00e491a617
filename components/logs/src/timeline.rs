use std::fmt;
use std::io::BufRead;

use error_stack::{Report, ResultExt};
use serde::Deserialize;
use serde_json::{Map, Value};

/// Error of reading a log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{source_name} can not be read")]
pub struct TimelineError {
    /// Name of the log.
    source_name: String,
}

/// A log line about the request.
#[derive(Debug, Clone, PartialEq)]
pub struct TimelineEntry {
    /// Timestamp in the line, as in RFC 3339.
    pub time: String,
    /// Name of the log, which identifies the host.
    pub log: String,
    /// Name of the event.
    pub event: String,
    /// Remaining key-value pairs of the line.
    pub details: Map<String, Value>,
}

/// Log lines of several hosts about one request, ordered by time.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RequestTimeline {
    /// The lines, ordered by timestamp.
    pub lines: Vec<TimelineEntry>,
}

/// A log line in the format of `slog-json`.
#[derive(Debug, Deserialize)]
struct RawLine {
    ts: String,
    name: String,
    request: String,
    #[serde(flatten)]
    details: Map<String, Value>,
}

impl RequestTimeline {
    /// Adds the lines of a log about a request. Lines in another format are skipped, because other programs
    /// write to the same stream.
    ///
    /// # Errors
    /// Returns [`TimelineError`] if the log can not be read to its end.
    ///
    /// ```
    /// let log = r#"{"msg":"refused","request":"r1","name":"route_refused","ts":"2026-12-04T08:00:00Z","event":5002,"level":"WARN"}"#;
    /// let mut timeline = logs::RequestTimeline::default();
    /// timeline.add("host-1", log.as_bytes(), "r1").unwrap();
    /// assert_eq!(timeline.lines[0].event, "route_refused");
    /// ```
    pub fn add(&mut self, log: &str, text: impl BufRead, request: &str) -> Result<(), Report<TimelineError>> {
        for line in text.lines() {
            let line = line.change_context_lazy(|| TimelineError {
                source_name: log.to_owned(),
            })?;
            let Ok(raw) = serde_json::from_str::<RawLine>(&line) else {
                continue;
            };
            if raw.request == request {
                self.lines.push(timeline_entry(log, raw));
            }
        }
        self.lines.sort_by(|a, b| a.time.cmp(&b.time));
        Ok(())
    }
}

fn timeline_entry(log: &str, raw: RawLine) -> TimelineEntry {
    let mut details = raw.details;
    for key in ["msg", "level", "event"] {
        details.remove(key);
    }
    TimelineEntry {
        time: raw.ts,
        log: log.to_owned(),
        event: raw.name,
        details,
    }
}

impl fmt::Display for RequestTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            write!(f, "{}  {}  {}", line.time, line.log, line.event)?;
            for (name, value) in &line.details {
                match value.as_str() {
                    Some(text) => write!(f, "  {name}={text}")?,
                    None => write!(f, "  {name}={value}")?,
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
