use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::Settings;
use policy::{Fingerprint, Quarantine, Suspicion, TryId, fingerprint};
use serde::Serialize;
use utils::{Digest, HostId, Incarnation, TargetId, WorkspaceId};

/// Time after which a suspect's try that was not reported no longer keeps equal requests waiting.
pub(crate) const MAX_ATTEMPT_TIME: Duration = Duration::from_secs(60);
/// Commands that wait for the control thread.
const QUEUE_LENGTH: usize = 4_096;
/// Scans of the table that fit into the time for which a failure is held back.
const SCANS_UNTIL_VISIBLE: f64 = 1.5;

/// What the control thread brings to the table service.
#[derive(Debug)]
pub(crate) enum TableCommand {
    /// Rows to merge, and who waits for what the table holds then.
    Merge {
        /// The rows.
        rows: Vec<(Fingerprint, Suspicion)>,
        /// Told the merged rows once they are written.
        done: async_channel::Sender<Vec<(Fingerprint, Suspicion)>>,
    },
    /// A row to remove.
    Remove(Fingerprint),
    /// A suspect's try wants a target for which no other suspect's try holds a row, at any host.
    Claim {
        /// The target.
        target: TargetId,
        /// The try.
        id: TryId,
        /// Told whether the try has the target.
        done: async_channel::Sender<bool>,
    },
    /// A try no longer needs its target.
    Release {
        /// The target.
        target: TargetId,
        /// The try.
        id: TryId,
    },
}

/// What operators see of a request that was aboard a crash.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct SuspectState {
    /// Names the request.
    fingerprint: Fingerprint,
    /// Crashes that count.
    crashes: usize,
    /// Targets that crashed.
    targets: Vec<TargetId>,
    /// Whether the request is refused.
    quarantined: bool,
}

/// Requests that were aboard crashes, as this host knows them. The lock is held for a few map operations once or twice a
/// try, and never while waiting.
#[derive(Debug)]
pub(crate) struct Suspects {
    /// Key of the fingerprints.
    key: Digest,
    /// Name of this host.
    host: HostId,
    /// Time from a written row until every host that reads the table knows it.
    pub propagation_time: Duration,
    /// Gives permits.
    quarantine: Mutex<Quarantine>,
    /// Last known run of each target's process.
    incarnations: Mutex<HashMap<TargetId, Incarnation>>,
    /// Number of the next try; starts at random, so that a restarted host does not use a number again.
    next_attempt: AtomicU64,
    /// To the control thread.
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

    /// Names a request.
    pub(crate) fn fingerprint(&self, workspace: &WorkspaceId, body: &[u8]) -> Fingerprint {
        fingerprint(&self.key, workspace, body)
    }

    /// Names a new try of this host.
    pub(crate) fn new_attempt_id(&self) -> TryId {
        TryId {
            host: self.host.clone(),
            number: self.next_attempt.fetch_add(1, Ordering::Relaxed),
        }
    }

    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes which process answers at a target.
    pub(crate) fn record_incarnation(&self, target: &TargetId, incarnation: Incarnation) {
        self.incarnations().insert(target.clone(), incarnation);
    }

    /// The process that answered last at a target.
    pub(crate) fn incarnation(&self, target: &TargetId) -> Option<Incarnation> {
        self.incarnations().get(target).copied()
    }

    fn incarnations(&self) -> MutexGuard<'_, HashMap<TargetId, Incarnation>> {
        self.incarnations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands rows to the control thread. The receiver is told what the table holds once they are written.
    pub(crate) fn merge_rows(
        &self,
        rows: Vec<(Fingerprint, Suspicion)>,
    ) -> async_channel::Receiver<Vec<(Fingerprint, Suspicion)>> {
        let (done, written) = async_channel::bounded(1);
        let _ = self.commands.try_send(TableCommand::Merge { rows, done });
        written
    }

    /// Asks for a target, alone among the suspects of all hosts.
    pub(crate) fn claim(&self, target: TargetId, id: TryId) -> async_channel::Receiver<bool> {
        let (done, granted) = async_channel::bounded(1);
        let _ = self.commands.try_send(TableCommand::Claim { target, id, done });
        granted
    }

    /// Gives a target back.
    pub(crate) fn release(&self, target: TargetId, id: TryId) {
        let _ = self.commands.try_send(TableCommand::Release { target, id });
    }

    /// Removes a row, which clears the request at every host; false if too much waits.
    pub(crate) fn clear(&self, request: Fingerprint) -> bool {
        self.commands.try_send(TableCommand::Remove(request)).is_ok()
    }

    /// What operators see.
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
