use std::sync::Arc;
use std::time::Duration;

use errors::{Outcome, ProblemKind, events};
use futures_lite::FutureExt;
use policy::{Chosen, Crash, Fingerprint, Permit, Suspicion, TryId, TryOutcome};
use slog::{info, warn};
use targets::{Engine, HttpEngine, TargetError};
use utils::{Incarnation, TargetId, WorkspaceId};

use super::drafts::Draft;
use super::failure::Failure;
use crate::shared::Shared;

/// Interval at which a waiting attempt checks again whether it may run.
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Mean delay before targets whose claim was denied are claimed again. The delay is jittered by 50 %.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of probes for the incarnation of a target's process after a connection broke.
const MAX_PROBES: u32 = 3;
/// Delay after each probe without an answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of writes and claims in the table service.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Watches the attempts of one draft for crashes of their targets.
pub(crate) struct CrashWatch {
    /// State shared by all threads.
    shared: Arc<Shared>,
    /// Fingerprint of the request.
    request: Fingerprint,
    /// Attempt that is permitted and has not ended.
    current_attempt: Option<TryId>,
    /// Target that the attempt has claimed exclusively among suspects.
    claimed: Option<(TargetId, TryId)>,
    /// Incarnation of the target's process when the attempt was placed.
    incarnation: Option<Incarnation>,
    /// Whether a target crashed while it ran the draft.
    crash_seen: bool,
}

impl Drop for CrashWatch {
    fn drop(&mut self) {
        self.record_end(&TryOutcome::Other);
    }
}

impl CrashWatch {
    pub(crate) fn new(shared: &Arc<Shared>, workspace: &WorkspaceId, body: &[u8]) -> Self {
        Self {
            shared: shared.clone(),
            request: shared.suspects.fingerprint(workspace, body),
            current_attempt: None,
            claimed: None,
            incarnation: None,
            crash_seen: false,
        }
    }

    fn permit(&mut self) -> Permit {
        let id = self.shared.suspects.new_attempt_id();
        let now = self.shared.clock.now();
        let permit = self.shared.suspects.quarantine().permit(self.request, &id, now);
        if matches!(permit, Permit::Run | Permit::RunAlone { .. }) {
            self.current_attempt = Some(id);
        }
        permit
    }

    /// Records how the current attempt ended. If the request has a crash history, the table service is
    /// updated: the row of a suspect is written, and the row of a request that is no longer a suspect is
    /// removed.
    pub(crate) fn record_end(&mut self, end: &TryOutcome) {
        self.release();
        let Some(id) = self.current_attempt.take() else {
            return;
        };
        let suspects = &self.shared.suspects;
        let found = suspects.quarantine().record_end(self.request, &id, end);
        let Some(suspicion) = found else { return };
        if suspicion.is_suspect() {
            suspects.merge_rows(vec![(self.request, suspicion)]);
            return;
        }
        suspects.clear(self.request);
    }

    /// Records a crash. All requests that ran on the target become suspects. Returns once their rows are
    /// written, or after [`WRITE_TIMEOUT`].
    async fn record_crash(&mut self, crash: &Crash) {
        self.crash_seen = true;
        let suspects = &self.shared.suspects;
        let mut rows = suspects.quarantine().record_crash(crash);
        let own = self.current_attempt.take();
        let own = own.and_then(|id| {
            let end = TryOutcome::Crashed(crash.clone());
            suspects.quarantine().record_end(self.request, &id, &end)
        });
        rows.retain(|(request, _)| *request != self.request);
        rows.extend(own.map(|suspicion| (self.request, suspicion)));
        for (request, suspicion) in &rows {
            log_suspicion(&self.shared, request, suspicion);
        }
        self.write(rows).await;
        self.release();
    }

    fn release(&mut self) {
        if let Some((target, id)) = self.claimed.take() {
            self.shared.suspects.release(target, id);
        }
    }

    /// Claims a target exclusively among the suspects of all hosts. If the table service does not answer in
    /// time, the claim counts as granted, and the attempt avoids only the suspects that this host knows.
    async fn claim(&mut self, target: &TargetId) -> bool {
        let Some(id) = self.current_attempt.clone() else {
            return false;
        };
        let granted = self.shared.suspects.claim(target.clone(), id.clone());
        let timeout = async {
            smol::Timer::after(WRITE_TIMEOUT).await;
            None
        };
        let granted = async { granted.recv().await.ok() }.or(timeout).await;
        if granted.is_none() {
            warn!(self.shared.log, "target not claimed in time"; events::SUSPECTS_UNWRITTEN, "target" => &**target);
        }
        let is_granted = granted.unwrap_or(true);
        if is_granted {
            self.claimed = Some((target.clone(), id));
        }
        is_granted
    }

    /// Writes rows and returns the merged row of this request, or `None` if it was not written in time.
    async fn write(&self, rows: Vec<(Fingerprint, Suspicion)>) -> Option<Suspicion> {
        let count = rows.len();
        let written = self.shared.suspects.merge_rows(rows);
        let timeout = async {
            smol::Timer::after(WRITE_TIMEOUT).await;
            None
        };
        let Some(rows) = async { written.recv().await.ok() }.or(timeout).await else {
            warn!(self.shared.log, "suspects not written in time"; events::SUSPECTS_UNWRITTEN, "count" => count);
            return None;
        };
        let own = rows.into_iter().find(|(request, _)| *request == self.request);
        own.map(|(_, suspicion)| suspicion)
    }

    /// Returns the crash if the target's process has ended since the attempt was placed. A broken connection
    /// is not enough: the target must answer with another incarnation, or refuse new connections up to the
    /// last probe.
    async fn find_crash(&self, engine: &HttpEngine, target: &TargetId) -> Option<Crash> {
        let incarnation = self.incarnation?;
        let mut has_crashed = false;
        for _ in 0..MAX_PROBES {
            match engine.load().await {
                Ok(report) => {
                    let suspects = &self.shared.suspects;
                    suspects.record_incarnation(target, report.incarnation);
                    has_crashed = report.incarnation != incarnation;
                    break;
                }
                Err(e) => has_crashed = *e.current_context() == TargetError::NotSent,
            }
            smol::Timer::after(PROBE_INTERVAL).await;
        }
        let target = target.clone();
        has_crashed.then_some(Crash { target, incarnation })
    }

    /// Sets the target of this request, unless the target runs another suspect. Returns whether it was set.
    fn set_exclusive_target(&self, target: &TargetId) -> bool {
        let mut quarantine = self.shared.suspects.quarantine();
        if quarantine.targets_of_suspects(self.request).contains(target) {
            return false;
        }
        quarantine.set_target(self.request, target);
        true
    }

    fn own_suspicion(&self) -> Option<Suspicion> {
        self.shared
            .suspects
            .quarantine()
            .suspicion(&self.request)
            .cloned()
    }

    /// Writes to the table that the current attempt starts. Returns `false` if the merged row forbids it,
    /// because another attempt of the request is running or the request is quarantined.
    async fn record_start(&mut self) -> bool {
        let Some(suspicion) = self.own_suspicion() else {
            return true;
        };
        let Some(merged) = self.write(vec![(self.request, suspicion)]).await else {
            return true;
        };
        let own = self.current_attempt.as_ref();
        let mut others = merged
            .trials
            .difference(&merged.ended)
            .filter(|id| Some(*id) != own);
        if others.next().is_none() && !merged.is_quarantined() {
            return true;
        }
        self.record_end(&TryOutcome::Other);
        let now = self.shared.clock.now();
        self.shared
            .suspects
            .quarantine()
            .merge(self.request, &merged, now);
        false
    }
}

impl Draft {
    /// Waits until the request is permitted to run and chooses a target.
    pub(crate) async fn place_when_permitted(&mut self) -> Result<Chosen, Failure> {
        loop {
            let Some(watch) = &mut self.watch else {
                return self.place();
            };
            let placed = match watch.permit() {
                Permit::Run => self.place_normally().map(Some),
                Permit::RunAlone { .. } => self.place_alone().await,
                Permit::Wait => Ok(self.place_with_equal_request()),
                Permit::Quarantined { .. } => Err(self.quarantined_failure().await),
            };
            if let Some(chosen) = placed? {
                return Ok(chosen);
            }
            self.wait().await?;
        }
    }

    async fn wait(&self) -> Result<(), Failure> {
        if self.cx.shared.clock.now() >= self.deadline {
            return Err(
                self.request_failure("an equal request, or one aboard the same crash, had not ended in time")
            );
        }
        smol::Timer::after(PERMIT_POLL_INTERVAL).await;
        Ok(())
    }

    fn place_normally(&mut self) -> Result<Chosen, Failure> {
        let chosen = self.place()?;
        if let Some(watch) = &mut self.watch {
            let suspects = &watch.shared.suspects;
            suspects.quarantine().set_target(watch.request, &chosen.target);
            watch.incarnation = suspects.incarnation(&chosen.target);
        }
        Ok(chosen)
    }

    /// Chooses the target that runs an equal request, if that request is not a suspect.
    fn place_with_equal_request(&mut self) -> Option<Chosen> {
        let watch = self.watch.as_ref()?;
        let shared = watch.shared.clone();
        let request = watch.request;
        let target = shared.suspects.quarantine().shared_target(&request).cloned()?;
        let view = shared.view.load();
        let others = view.placement.targets.values().map(|t| &t.id);
        let others = others.filter(|id| **id != target).cloned().collect();
        let chosen = self.place_without(others)?;
        let watch = self.watch.as_mut()?;
        let id = shared.suspects.new_attempt_id();
        let now = shared.clock.now();
        let mut quarantine = shared.suspects.quarantine();
        if quarantine.shared_target(&request) != Some(&target) {
            return None;
        }
        quarantine.mirror(request, &id, &target, now);
        watch.current_attempt = Some(id);
        watch.incarnation = shared.suspects.incarnation(&target);
        Some(chosen)
    }

    /// Claims a target that runs no other suspect, and writes to the table that the attempt starts there.
    /// Returns `None` if the target does not answer or the table forbids the attempt.
    async fn place_alone(&mut self) -> Result<Option<Chosen>, Failure> {
        let chosen = self.claim_exclusive_target().await?;
        let engine = HttpEngine::new(self.cx.engines.clone(), chosen.address);
        let Some(watch) = &mut self.watch else {
            return Ok(None);
        };
        let Ok(report) = engine.load().await else {
            watch.record_end(&TryOutcome::Other);
            return Ok(None);
        };
        watch
            .shared
            .suspects
            .record_incarnation(&chosen.target, report.incarnation);
        watch.incarnation = Some(report.incarnation);
        Ok(watch.record_start().await.then_some(chosen))
    }

    async fn claim_exclusive_target(&mut self) -> Result<Chosen, Failure> {
        let mut denied = Vec::new();
        loop {
            let Some(chosen) = self.find_exclusive_target(&denied) else {
                denied.clear();
                smol::Timer::after(CLAIM_RETRY_DELAY.mul_f64(rand::random_range(0.5..1.5))).await;
                self.wait().await?;
                continue;
            };
            if let Some(watch) = &mut self.watch
                && watch.claim(&chosen.target).await
            {
                return Ok(chosen);
            }
            denied.push(chosen.target);
        }
    }

    fn find_exclusive_target(&mut self, denied: &[TargetId]) -> Option<Chosen> {
        let watch = self.watch.as_ref()?;
        let mut taken = watch
            .shared
            .suspects
            .quarantine()
            .targets_of_suspects(watch.request);
        taken.extend_from_slice(denied);
        let chosen = self.place_without(taken)?;
        let watch = self.watch.as_ref()?;
        watch.set_exclusive_target(&chosen.target).then_some(chosen)
    }

    /// Places the draft with `targets` excluded in addition to those that failed. Returns `None` if no target
    /// remains.
    fn place_without(&mut self, targets: Vec<TargetId>) -> Option<Chosen> {
        let failed = self.excluded.len();
        self.excluded.extend(targets);
        let view = self.cx.shared.view.load();
        let mut ids = view.placement.targets.values().map(|t| &t.id);
        let chosen = match ids.all(|id| self.excluded.contains(id)) {
            true => None,
            false => self.place().ok(),
        };
        self.excluded.truncate(failed);
        chosen
    }

    /// Checks whether the target of a failed attempt has crashed, and records the crash. Fails if the request
    /// is quarantined as a result.
    pub(crate) async fn check_for_crash(
        &mut self,
        chosen: &Chosen,
        failure: TargetError,
    ) -> Result<(), Failure> {
        let Some(watch) = &mut self.watch else {
            return Ok(());
        };
        let engine = HttpEngine::new(self.cx.engines.clone(), chosen.address);
        let is_broken = matches!(failure, TargetError::Interrupted | TargetError::Incomplete);
        let crash = match is_broken {
            true => watch.find_crash(&engine, &chosen.target).await,
            false => None,
        };
        let Some(crash) = crash else {
            watch.record_end(&TryOutcome::Other);
            return Ok(());
        };
        watch.record_crash(&crash).await;
        if watch.own_suspicion().is_some_and(|s| s.is_quarantined()) {
            return Err(self.quarantined_failure().await);
        }
        Ok(())
    }

    /// If a target crashed, waits until the other hosts have read the crash. They then recognize the request
    /// if the caller sends it to them.
    pub(crate) async fn wait_for_propagation(&self) {
        if self.watch.as_ref().is_some_and(|watch| watch.crash_seen) {
            smol::Timer::after(self.cx.shared.suspects.propagation_time).await;
        }
    }

    /// Returns the refusal of a quarantined request, after the time in which the other hosts read its
    /// crashes.
    async fn quarantined_failure(&self) -> Failure {
        let shared = &self.cx.shared;
        smol::Timer::after(shared.suspects.propagation_time).await;
        let outcome = match self.may_have_run {
            true => Outcome::MayHaveRun,
            false => Outcome::NotRun,
        };
        Failure {
            kind: ProblemKind::Quarantined,
            outcome,
            detail: "the request was aboard two crashes of targets; see the operators' page".to_owned(),
        }
    }
}

fn log_suspicion(shared: &Shared, request: &Fingerprint, suspicion: &Suspicion) {
    let event = match suspicion.is_quarantined() {
        true => events::REQUEST_QUARANTINED,
        false => events::REQUEST_SUSPECTED,
    };
    info!(shared.log, "request ran on a target that crashed"; event,
        "fingerprint" => %request, "crashes" => suspicion.crash_count());
}
