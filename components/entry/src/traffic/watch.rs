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

/// Time between two looks at whether a try may run.
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Mean time after which targets of other hosts' suspects are asked for again.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Times that a target is asked whether its process is the same, when a connection broke.
const MAX_PROBES: u32 = 3;
/// Time between them.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for rows of suspects to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Watches the tries of one draft for crashes of their targets.
pub(crate) struct CrashWatch {
    /// State of all threads.
    shared: Arc<Shared>,
    /// Names the request.
    request: Fingerprint,
    /// The try that is permitted and has not ended.
    current_attempt: Option<TryId>,
    /// The target that the try has alone among suspects.
    claimed: Option<(TargetId, TryId)>,
    /// Run of the target's process when the try was placed.
    incarnation: Option<Incarnation>,
    /// Whether a crash was seen.
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

    /// Notes how the open try ended and tells the other hosts, if the request is suspect.
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

    /// Notes a crash: all that runs on the target is suspect. Returns once the rows are written, or after a bounded wait.
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

    /// Asks for a target, alone among the suspects of all hosts. A table service that does not answer does not keep the
    /// try from running; only the suspects of this host are then left out.
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

    /// Writes rows; returns what the table says about this request, or `None` if it did not answer in time.
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

    /// Whether the target's process ended since the try was placed. A broken connection alone says nothing: the target
    /// must answer as another process, or refuse every new connection.
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

    /// Takes a target, unless it runs another suspect by now.
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

    /// Writes that the open try is about to run. False if the table knows a reason why it must not.
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
    /// Chooses a target once the request may run.
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

    /// Goes to the target that runs an equal request, if that is not suspect.
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

    /// Waits for a target that runs no other suspect, and writes down that the request runs there.
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

    /// Places the draft with more targets left out, if any is left.
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

    /// Finds out whether a failed try was aboard a crash. Fails if the request is quarantined by that.
    pub(crate) async fn check_for_crash(
        &mut self,
        chosen: &Chosen,
        failure: TargetError,
    ) -> Result<(), Failure> {
        let Some(watch) = &mut self.watch else {
            return Ok(());
        };
        let engine = HttpEngine::new(self.cx.engines.clone(), chosen.address);
        let is_broken = matches!(failure, TargetError::Interrupted | TargetError::CutShort);
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

    /// Waits until other hosts know of a crash that was seen, so that a caller who sends the request there is known.
    pub(crate) async fn wait_for_propagation(&self) {
        if self.watch.as_ref().is_some_and(|watch| watch.crash_seen) {
            smol::Timer::after(self.cx.shared.suspects.propagation_time).await;
        }
    }

    /// The refusal of a quarantined request. It is held back until other hosts know of the crashes.
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
    info!(shared.log, "request aboard a crash"; event,
        "fingerprint" => %request, "crashes" => suspicion.crash_count());
}
