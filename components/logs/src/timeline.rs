use std::fmt;
use std::io::BufRead;

use error_stack::{Report, ResultExt};
use serde::Deserialize;
use serde_json::{Map, Value};

/// A log can not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{source_name} can not be read")]
pub struct TimelineError {
    /// Name of the log.
    source_name: String,
}

/// A line that names the request.
#[derive(Debug, Clone, PartialEq)]
pub struct TimelineEntry {
    /// Time that the host wrote, RFC 3339.
    pub time: String,
    /// Name of the log, that is of the host.
    pub log: String,
    /// Name of the event.
    pub event: String,
    /// What the line says beside that.
    pub details: Map<String, Value>,
}

/// What the logs of several hosts tell of one request, by time.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RequestTimeline {
    /// The lines.
    pub lines: Vec<TimelineEntry>,
}

/// A line as `slog-json` writes it.
#[derive(Debug, Deserialize)]
struct RawLine {
    ts: String,
    name: String,
    request: String,
    #[serde(flatten)]
    details: Map<String, Value>,
}

impl RequestTimeline {
    /// Adds the lines of a log that name a request. Lines of another form are passed over: other programs write to the
    /// same stream.
    ///
    /// # Errors
    /// [`TimelineError`] if the log can not be read to its end.
    ///
    /// ```
    /// let log = r#"{"msg":"refused","request":"r1","name":"route_refused","ts":"2026-12-04T08:00:00Z","event":5002,"level":"WARN"}"#;
    /// let mut story = logs::RequestTimeline::default();
    /// story.add("host-1", log.as_bytes(), "r1").unwrap();
    /// assert_eq!(story.lines[0].event, "route_refused");
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
                self.lines.push(told(log, raw));
            }
        }
        self.lines.sort_by(|a, b| a.time.cmp(&b.time));
        Ok(())
    }
}

fn told(log: &str, raw: RawLine) -> TimelineEntry {
    let mut details = raw.details;
    for known in ["msg", "level", "event"] {
        details.remove(known);
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
