//! Tests of the rate limit for log lines and of the timeline of one request across several logs.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use logs::{LineLimits, LogBudget, RequestTimeline};
use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, info, o, warn};
use utils::ManualClock;

/// Drain that records levels and messages.
#[derive(Clone, Default)]
struct RecordingDrain(Arc<Mutex<Vec<(Level, String)>>>);

impl Drain for RecordingDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let entry = (line.level(), line.msg().to_string());
        self.0.lock().unwrap().push(entry);
        Ok(())
    }
}

impl RecordingDrain {
    fn count(&self, level: Level) -> usize {
        let lines = self.0.lock().unwrap();
        lines.iter().filter(|(l, _)| *l == level).count()
    }
}

fn limited() -> (Logger, RecordingDrain, Arc<ManualClock>) {
    let (recorded, clock) = (RecordingDrain::default(), Arc::new(ManualClock::default()));
    clock.advance(Duration::from_secs(10));
    let limits = LineLimits { all: 10, routine: 6 };
    let budget = LogBudget::new(recorded.clone(), limits, clock.clone());
    (Logger::root(budget.fuse(), o!()), recorded, clock)
}

#[test]
fn a_flood_of_successes_leaves_room_for_failures() {
    let (log, recorded, _clock) = limited();
    for _ in 0..100 {
        info!(log, "answered");
    }
    for _ in 0..100 {
        warn!(log, "refused");
    }
    assert_eq!(
        (recorded.count(Level::Info), recorded.count(Level::Warning)),
        (6, 4)
    );
}

#[test]
fn lines_left_out_are_counted_in_the_next_second() {
    let (log, recorded, clock) = limited();
    for _ in 0..100 {
        info!(log, "answered");
    }
    clock.advance(Duration::from_secs(1));
    info!(log, "answered");
    let lines = recorded.0.lock().unwrap();
    assert_eq!(lines[6], (Level::Warning, "lines left out".to_owned()));
    assert_eq!(lines[7], (Level::Info, "answered".to_owned()));
}

#[test]
fn no_line_is_added_if_none_was_left_out() {
    let (log, recorded, clock) = limited();
    info!(log, "answered");
    clock.advance(Duration::from_secs(1));
    info!(log, "answered");
    assert_eq!(recorded.count(Level::Warning), 0);
}

#[test]
fn the_timeline_of_a_request_over_several_hosts_is_ordered_by_time() {
    let line = |second: u32, event: &str, request: &str| {
        format!(
            r#"{{"msg":"m","try":1,"request":"{request}","name":"{event}","event":1,"level":"INFO","ts":"2026-12-04T08:00:0{second}Z"}}"#
        )
    };
    let first = [
        line(4, "route_cut", "r1"),
        line(1, "route_placed", "r1"),
        "no line".to_owned(),
    ]
    .join("\n");
    let second = [line(2, "route_placed", "r2"), line(5, "route_placed", "r1")].join("\n");
    let mut timeline = RequestTimeline::default();
    timeline.add("host-1", first.as_bytes(), "r1").unwrap();
    timeline.add("host-2", second.as_bytes(), "r1").unwrap();
    assert_eq!(
        timeline.to_string(),
        "2026-12-04T08:00:01Z  host-1  route_placed  try=1\n\
         2026-12-04T08:00:04Z  host-1  route_cut  try=1\n\
         2026-12-04T08:00:05Z  host-2  route_placed  try=1\n"
    );
}
