use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::Settings;
use policy::{Fingerprint, Quarantine, Suspicion, TryId, fingerprint};
use serde::Serialize;
use utils::{Digest, HostId, Incarnation, TargetId, WorkspaceId};

/// Time after which a suspect's try that was not reported no longer keeps equal requests waiting.
pub(crate) const LONGEST_TRY: Duration = Duration::from_secs(60);
/// News that wait for the control thread.
const QUEUE_LENGTH: usize = 4_096;
/// Scans of the table that fit into the time for which a failure is held back.
const SCANS_BEFORE_TOLD: f64 = 1.5;

/// What the control thread brings to the table service.
#[derive(Debug)]
pub(crate) enum News {
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
    pub time_to_spread: Duration,
    /// Gives permits.
    register: Mutex<Quarantine>,
    /// Last known run of each target's process.
    incarnations: Mutex<HashMap<TargetId, Incarnation>>,
    /// Number of the next try; starts at random, so that a restarted host does not use a number again.
    next_try: AtomicU64,
    /// To the control thread.
    news: async_channel::Sender<News>,
}

impl Suspects {
    pub(crate) fn new(
        settings: &Settings,
        incarnation: Incarnation,
    ) -> (Self, async_channel::Receiver<News>) {
        let (news, rx) = async_channel::bounded(QUEUE_LENGTH);
        let scan_interval = Duration::from_millis(settings.platform.head_interval_ms);
        let suspects = Self {
            key: settings.secrets.pieces,
            host: settings.host.id.clone(),
            time_to_spread: scan_interval.mul_f64(SCANS_BEFORE_TOLD),
            register: Mutex::new(Quarantine::new(LONGEST_TRY)),
            incarnations: Mutex::default(),
            next_try: AtomicU64::new(incarnation),
            news,
        };
        (suspects, rx)
    }

    /// Names a request.
    pub(crate) fn fingerprint(&self, workspace: &WorkspaceId, body: &[u8]) -> Fingerprint {
        fingerprint(&self.key, workspace, body)
    }

    /// Names a new try of this host.
    pub(crate) fn new_try(&self) -> TryId {
        TryId {
            host: self.host.clone(),
            number: self.next_try.fetch_add(1, Ordering::Relaxed),
        }
    }

    pub(crate) fn register(&self) -> MutexGuard<'_, Quarantine> {
        self.register.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes which process answers at a target.
    pub(crate) fn note_incarnation(&self, target: &TargetId, incarnation: Incarnation) {
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
    pub(crate) fn spread(
        &self,
        rows: Vec<(Fingerprint, Suspicion)>,
    ) -> async_channel::Receiver<Vec<(Fingerprint, Suspicion)>> {
        let (done, written) = async_channel::bounded(1);
        let _ = self.news.try_send(News::Merge { rows, done });
        written
    }

    /// Asks for a target, alone among the suspects of all hosts.
    pub(crate) fn claim(&self, target: TargetId, id: TryId) -> async_channel::Receiver<bool> {
        let (done, granted) = async_channel::bounded(1);
        let _ = self.news.try_send(News::Claim { target, id, done });
        granted
    }

    /// Gives a target back.
    pub(crate) fn release(&self, target: TargetId, id: TryId) {
        let _ = self.news.try_send(News::Release { target, id });
    }

    /// Removes a row, which clears the request at every host; false if too much waits.
    pub(crate) fn clear(&self, request: Fingerprint) -> bool {
        self.news.try_send(News::Remove(request)).is_ok()
    }

    /// What operators see.
    pub(crate) fn states(&self) -> Vec<SuspectState> {
        let register = self.register();
        let states = register.suspects().map(|(request, suspicion)| SuspectState {
            fingerprint: *request,
            crashes: suspicion.crash_count(),
            targets: suspicion.crashes.iter().map(|c| c.target.clone()).collect(),
            quarantined: suspicion.is_quarantined(),
        });
        states.collect()
    }
}
