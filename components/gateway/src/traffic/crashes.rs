use utils::Monotonic;

use super::request::Call;
use super::state::Traffic;
use crate::Target;
use crate::probe::{Probe, probe};
use crate::quarantine::Crash;
use crate::suspects::{AnswerStage, PartFingerprint, SuspectPart};

/// Capacity of the queue of crashes that wait to be reported to other hosts.
const CRASH_QUEUE_CAPACITY: usize = 256;
/// Capacity of the queue of suspected parts that have succeeded.
const SUCCESS_QUEUE_CAPACITY: usize = 64;

/// The traffic thread's ends of the queues to the control thread.
pub(crate) struct CrashSenders {
    /// Crashes of targets with a request in flight.
    crashed: async_channel::Sender<Crash>,
    /// Suspected parts that have succeeded.
    succeeded: async_channel::Sender<PartFingerprint>,
}

/// The control thread's ends of the queues from the traffic thread.
pub(crate) struct CrashReceivers {
    /// Crashes of targets with a request in flight.
    pub crashed: async_channel::Receiver<Crash>,
    /// Suspected parts that have succeeded.
    pub succeeded: async_channel::Receiver<PartFingerprint>,
}

/// Creates the queues through which the traffic thread reports crashes and successes after crashes.
pub(crate) fn crash_channels() -> (CrashSenders, CrashReceivers) {
    let (crashed_tx, crashed) = async_channel::bounded(CRASH_QUEUE_CAPACITY);
    let (succeeded_tx, succeeded) = async_channel::bounded(SUCCESS_QUEUE_CAPACITY);
    let senders = CrashSenders {
        crashed: crashed_tx,
        succeeded: succeeded_tx,
    };
    (senders, CrashReceivers { crashed, succeeded })
}

/// An attempt that was broken off after the request was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BrokenAttempt {
    /// Time at which the request was sent.
    pub sent_at: Monotonic,
    /// How far the answer had come.
    pub stage: AnswerStage,
    /// Whether the target lost the connection, so that it may have restarted.
    pub is_connection_lost: bool,
}

impl BrokenAttempt {
    /// Marks an attempt that this host broke off because it could not use the answer.
    pub(super) fn on_open_connection(mut self) -> Self {
        self.is_connection_lost = false;
        self
    }
}

/// Records a crash of a target with the request in flight, and reports it to the control thread.
pub(crate) fn record_crash(cx: &Traffic, call: &Call, target: &Target, broken: BrokenAttempt) {
    let now = cx.now();
    if broken.is_connection_lost {
        cx.record_cold_failure(target, now);
    }
    let count = cx.routing().crashes.record_crash(call.fingerprint, now);
    let crash = Crash {
        fingerprint: call.fingerprint,
        address: target.address,
        count,
        run: target.run.clone(),
        stage: broken.stage,
        at: now,
        parts: suspect_parts(cx, call, broken),
    };
    if cx.crashes.crashed.try_send(crash).is_err() {
        cx.telemetry.crash_not_shared(&call.id);
    }
}

/// Returns the parts of a broken request that no other request has succeeded with since it was sent.
fn suspect_parts(cx: &Traffic, call: &Call, broken: BrokenAttempt) -> Vec<SuspectPart> {
    if broken.stage == AnswerStage::Events {
        return Vec::new();
    }
    let routing = cx.routing();
    let successes = &routing.part_successes;
    let parts = call.shared_parts.iter();
    parts
        .filter(|part| !successes.contains_since(part, broken.sent_at))
        .map(|part| SuspectPart {
            part: *part,
            has_succeeded: successes.contains(part),
        })
        .collect()
}

/// Records that a target began to answer a request. A suspected part of its prompt is reported to the control
/// thread.
pub(crate) fn record_success(cx: &Traffic, call: &Call) {
    let now = cx.now();
    cx.routing().part_successes.record(&call.shared_parts, now);
    let view = cx.view.load();
    let is_suspected = |part: &&PartFingerprint| view.parts.suspected.contains(*part);
    for part in call.shared_parts.iter().filter(is_suspected) {
        // If the queue is full, the part's next success is reported.
        let _ = cx.crashes.succeeded.try_send(*part);
    }
}

/// Whether a request that broke just after a target had begun to answer it may be sent again: if the target
/// still runs, or if other requests with the same parts have succeeded meanwhile.
pub(crate) async fn may_send_again(
    cx: &Traffic,
    call: &Call,
    target: &Target,
    broken: BrokenAttempt,
) -> bool {
    if broken.stage != AnswerStage::Head || suspect_parts(cx, call, broken).is_empty() {
        return true;
    }
    probe(target.address).await != Probe::Refuses
}
