use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::Settings;
use policy::{Fingerprint, Quarantine, Suspicion, TryId, fingerprint};
use serde::Serialize;
use utils::{Digest, HostId, Incarnation, TargetId, WorkspaceId};

/// Time after which an attempt without a reported outcome no longer blocks equal requests or its target.
pub(crate) const MAX_ATTEMPT_TIME: Duration = Duration::from_secs(60);
/// Maximum number of commands queued for the control thread.
const QUEUE_LENGTH: usize = 4_096;
/// Number of scan intervals after which every host has read a written row. A failure is held back that long.
const SCANS_UNTIL_VISIBLE: f64 = 1.5;

/// A change to the table service that the control thread makes for a traffic thread.
#[derive(Debug)]
pub(crate) enum TableCommand {
    /// Merges rows into the table.
    Merge {
        /// The rows.
        rows: Vec<(Fingerprint, Suspicion)>,
        /// Receives the merged rows once they are written.
        done: async_channel::Sender<Vec<(Fingerprint, Suspicion)>>,
    },
    /// Removes the row of a request.
    Remove(Fingerprint),
    /// Claims a target for an attempt of a suspect. It is granted if no attempt of another suspect holds the
    /// target's row, at any host.
    Claim {
        /// The target.
        target: TargetId,
        /// The attempt.
        id: TryId,
        /// Receives whether the claim is granted.
        done: async_channel::Sender<bool>,
    },
    /// Releases the claim of an attempt.
    Release {
        /// The target.
        target: TargetId,
        /// The attempt.
        id: TryId,
    },
}

/// State of a suspect, for operators. A suspect is a request that ran on a target when it crashed.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct SuspectState {
    /// Fingerprint of the request.
    fingerprint: Fingerprint,
    /// Number of crashes that are not excused.
    crashes: usize,
    /// Targets that crashed while they ran the request.
    targets: Vec<TargetId>,
    /// Whether the request is quarantined, which means that it is refused.
    quarantined: bool,
}

/// Suspects known to this host: requests that ran on a target when it crashed. The lock is held for a few map
/// operations once or twice per attempt, and never across an await.
#[derive(Debug)]
pub(crate) struct Suspects {
    /// Key of the fingerprints.
    key: Digest,
    /// Identifier of this host.
    host: HostId,
    /// Time from writing a row until every host that can read the table has read it.
    pub propagation_time: Duration,
    /// Crash histories and running attempts; decides which attempts may run.
    quarantine: Mutex<Quarantine>,
    /// Last known incarnation of each target's process.
    incarnations: Mutex<HashMap<TargetId, Incarnation>>,
    /// Number of the next attempt. It starts at the incarnation, so a restarted host does not reuse numbers.
    next_attempt: AtomicU64,
    /// Sender of commands to the control thread.
    commands: async_channel::Sender<TableCommand>,
}

impl Suspects {
    pub(crate) fn new(
        settings: &Settings,
        incarnation: Incarnation,
    ) -> (Self, async_channel::Receiver<TableCommand>) {
        let (commands, rx) = async_channel::bounded(QUEUE_LENGTH);
        let scan_interval = Duration::from_millis(settings.platform.head_interval_ms);
        let suspects = Self {
            key: settings.secrets.pieces,
            host: settings.host.id.clone(),
            propagation_time: scan_interval.mul_f64(SCANS_UNTIL_VISIBLE),
            quarantine: Mutex::new(Quarantine::new(MAX_ATTEMPT_TIME)),
            incarnations: Mutex::default(),
            next_attempt: AtomicU64::new(incarnation),
            commands,
        };
        (suspects, rx)
    }

    /// Returns the fingerprint of a request.
    pub(crate) fn fingerprint(&self, workspace: &WorkspaceId, body: &[u8]) -> Fingerprint {
        fingerprint(&self.key, workspace, body)
    }

    /// Returns the identifier of a new attempt of this host.
    pub(crate) fn new_attempt_id(&self) -> TryId {
        TryId {
            host: self.host.clone(),
            number: self.next_attempt.fetch_add(1, Ordering::Relaxed),
        }
    }

    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the incarnation of the process that answered at a target.
    pub(crate) fn record_incarnation(&self, target: &TargetId, incarnation: Incarnation) {
        self.incarnations().insert(target.clone(), incarnation);
    }

    /// Returns the incarnation of the process that last answered at a target.
    pub(crate) fn incarnation(&self, target: &TargetId) -> Option<Incarnation> {
        self.incarnations().get(target).copied()
    }

    fn incarnations(&self) -> MutexGuard<'_, HashMap<TargetId, Incarnation>> {
        self.incarnations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends rows to the control thread, which merges them into the table. The receiver yields the merged
    /// rows once they are written.
    pub(crate) fn merge_rows(
        &self,
        rows: Vec<(Fingerprint, Suspicion)>,
    ) -> async_channel::Receiver<Vec<(Fingerprint, Suspicion)>> {
        let (done, written) = async_channel::bounded(1);
        let _ = self.commands.try_send(TableCommand::Merge { rows, done });
        written
    }

    /// Claims a target exclusively among the suspects of all hosts. The receiver yields whether it is
    /// granted.
    pub(crate) fn claim(&self, target: TargetId, id: TryId) -> async_channel::Receiver<bool> {
        let (done, granted) = async_channel::bounded(1);
        let _ = self.commands.try_send(TableCommand::Claim { target, id, done });
        granted
    }

    /// Releases the claim of an attempt on a target.
    pub(crate) fn release(&self, target: TargetId, id: TryId) {
        let _ = self.commands.try_send(TableCommand::Release { target, id });
    }

    /// Queues the removal of a request's row, which clears the request at every host. Returns `false` if the
    /// queue is full.
    pub(crate) fn clear(&self, request: Fingerprint) -> bool {
        self.commands.try_send(TableCommand::Remove(request)).is_ok()
    }

    /// Returns the state of all suspects, for operators.
    pub(crate) fn states(&self) -> Vec<SuspectState> {
        let quarantine = self.quarantine();
        let states = quarantine.suspects().map(|(request, suspicion)| SuspectState {
            fingerprint: *request,
            crashes: suspicion.crash_count(),
            targets: suspicion.crashes.iter().map(|c| c.target.clone()).collect(),
            quarantined: suspicion.is_quarantined(),
        });
        states.collect()
    }
}
