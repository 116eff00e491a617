//! Records the software version that began a stream before its first event is passed on.

use std::time::Duration;

use super::origins::Recording;
use super::request::Call;
use super::state::Traffic;
use crate::declared::RetrySafety;
use crate::software::{OriginKey, RecordNeed, StreamOrigin};
use crate::{Target, View};

/// Longest time that the first event waits for a record without which the stream could later be mistaken for one of another
/// version.
const REQUIRED_RECORD_WAIT: Duration = Duration::from_secs(2);
/// Longest time that it waits for a record without which the stream could only not be resumed by its caller.
const WANTED_RECORD_WAIT: Duration = Duration::from_millis(300);

/// A record that is being written while the target reads the prompt.
pub(super) struct OriginRecord {
    recording: Recording,
    need: RecordNeed,
}

impl OriginRecord {
    /// Starts the record of a stream that begins at a target; `None` if it needs none.
    pub(super) fn begin(cx: &Traffic, call: &Call, target: &Target) -> Option<Self> {
        if !call.begins_resumable_stream() {
            return None;
        }
        let need = cx.view.load().record_need(&call.service, &target.software);
        if need == RecordNeed::None {
            return None;
        }
        Some(Self {
            recording: cx.origins.record(origin_of(call, target)),
            need,
        })
    }

    /// Waits for the record; returns whether the first event may be passed on.
    pub(super) async fn allows_first_event(mut self, time_left: Duration) -> bool {
        let limit = match self.need {
            RecordNeed::Required => REQUIRED_RECORD_WAIT,
            RecordNeed::Wanted | RecordNeed::None => WANTED_RECORD_WAIT,
        };
        let is_written = self.recording.wait(limit.min(time_left)).await;
        is_written || self.need != RecordNeed::Required
    }
}

/// Holds the origin of a stream whose first event arrives from a target and that needs no record, while other versions are
/// listed: should the store be restored, a missing record says nothing.
pub(super) fn hold_origin(cx: &Traffic, call: &Call, target: &Target) {
    let view = cx.view.load();
    let has_others = view
        .software
        .get(&call.service)
        .is_some_and(|known| known.has_others);
    if has_others && call.begins_resumable_stream() {
        cx.origins.hold(origin_of(call, target));
    }
}

fn origin_of(call: &Call, target: &Target) -> StreamOrigin {
    let workspace = call.workspace.as_ref().map_or("", |workspace| &workspace.name);
    StreamOrigin {
        key: OriginKey::of(workspace, &call.id),
        service: call.service.clone(),
        software: target.software.clone(),
    }
}

/// Returns the version that a new stream must begin at while no record can be written: that of streams without one, while
/// its targets are listed.
pub(super) fn unrecordable_rule<'a>(cx: &Traffic, view: &'a View, call: &Call) -> Option<&'a str> {
    if !call.begins_resumable_stream() || !cx.origins.is_failing() {
        return None;
    }
    let software = view.software.get(&call.service)?;
    let baseline = software.baseline.as_deref();
    baseline.filter(|_| software.is_baseline_listed)
}

impl Call {
    /// Whether the request begins a stream that its caller could resume, which takes an id.
    fn begins_resumable_stream(&self) -> bool {
        self.software.is_none()
            && !self.id.is_empty()
            && self.route.retry_safety == RetrySafety::Stream { resumable: true }
    }
}
