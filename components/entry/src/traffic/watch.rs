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
const WAIT: Duration = Duration::from_millis(20);
/// Mean time after which targets of other hosts' suspects are asked for again.
const CLAIM_WAIT: Duration = Duration::from_millis(100);
/// Times that a target is asked whether its process is the same, when a connection broke.
const PROBES: u32 = 3;
/// Time between them.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for rows of suspects to be written.
const WRITE_WAIT: Duration = Duration::from_secs(1);

/// Watches the tries of one draft for crashes of their targets.
pub(crate) struct Watch {
    /// State of all threads.
    shared: Arc<Shared>,
    /// Names the request.
    request: Fingerprint,
    /// The try that is permitted and has not ended.
    open: Option<TryId>,
    /// The target that the try has alone among suspects.
    claimed: Option<(TargetId, TryId)>,
    /// Run of the target's process when the try was placed.
    incarnation: Option<Incarnation>,
    /// Whether a crash was seen.
    crashed: bool,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.end(&TryOutcome::Other);
    }
}

impl Watch {
    pub(crate) fn new(shared: &Arc<Shared>, workspace: &WorkspaceId, body: &[u8]) -> Self {
        Self {
            shared: shared.clone(),
            request: shared.suspects.fingerprint(workspace, body),
            open: None,
            claimed: None,
            incarnation: None,
            crashed: false,
        }
    }

    fn permit(&mut self) -> Permit {
        let id = self.shared.suspects.new_try();
        let now = self.shared.clock.now();
        let permit = self.shared.suspects.register().permit(self.request, &id, now);
        if matches!(permit, Permit::Run | Permit::RunAlone { .. }) {
            self.open = Some(id);
        }
        permit
    }

    /// Notes how the open try ended and tells the other hosts, if the request is suspect.
    pub(crate) fn end(&mut self, end: &TryOutcome) {
        self.release();
        let Some(id) = self.open.take() else { return };
        let suspects = &self.shared.suspects;
        let found = suspects.register().record_end(self.request, &id, end);
        let Some(suspicion) = found else { return };
        if suspicion.is_suspect() {
            suspects.spread(vec![(self.request, suspicion)]);
            return;
        }
        suspects.clear(self.request);
    }

    /// Notes a crash: all that runs on the target is suspect. Returns once the rows are written, or after a bounded wait.
    async fn crash(&mut self, crash: &Crash) {
        self.crashed = true;
        let suspects = &self.shared.suspects;
        let mut rows = suspects.register().record_crash(crash);
        let own = self.open.take();
        let own = own.and_then(|id| {
            let end = TryOutcome::Crashed(crash.clone());
            suspects.register().record_end(self.request, &id, &end)
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
        let Some(id) = self.open.clone() else {
            return false;
        };
        let granted = self.shared.suspects.claim(target.clone(), id.clone());
        let late = async {
            smol::Timer::after(WRITE_WAIT).await;
            None
        };
        let granted = async { granted.recv().await.ok() }.or(late).await;
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
        let written = self.shared.suspects.spread(rows);
        let late = async {
            smol::Timer::after(WRITE_WAIT).await;
            None
        };
        let Some(rows) = async { written.recv().await.ok() }.or(late).await else {
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
        let mut is_refused = false;
        for _ in 0..PROBES {
            match engine.load().await {
                Ok(report) => {
                    let suspects = &self.shared.suspects;
                    suspects.note_incarnation(target, report.incarnation);
                    is_refused = report.incarnation != incarnation;
                    break;
                }
                Err(e) => is_refused = *e.current_context() == TargetError::NotSent,
            }
            smol::Timer::after(PROBE_INTERVAL).await;
        }
        let target = target.clone();
        is_refused.then_some(Crash { target, incarnation })
    }

    /// Takes a target, unless it runs another suspect by now.
    fn take_alone(&self, target: &TargetId) -> bool {
        let mut register = self.shared.suspects.register();
        if register.targets_of_suspects(self.request).contains(target) {
            return false;
        }
        register.set_target(self.request, target);
        true
    }

    fn own_suspicion(&self) -> Option<Suspicion> {
        self.shared.suspects.register().suspicion(&self.request).cloned()
    }

    /// Writes that the open try is about to run. False if the table knows a reason why it must not.
    async fn announce(&mut self) -> bool {
        let Some(known) = self.own_suspicion() else {
            return true;
        };
        let Some(merged) = self.write(vec![(self.request, known)]).await else {
            return true;
        };
        let own = self.open.as_ref();
        let mut others = merged
            .trials
            .difference(&merged.ended)
            .filter(|id| Some(*id) != own);
        if others.next().is_none() && !merged.is_quarantined() {
            return true;
        }
        self.end(&TryOutcome::Other);
        let now = self.shared.clock.now();
        self.shared.suspects.register().merge(self.request, &merged, now);
        false
    }
}

impl Draft {
    /// Chooses a target once the request may run.
    pub(crate) async fn place_watched(&mut self) -> Result<Chosen, Failure> {
        loop {
            let Some(watch) = &mut self.watch else {
                return self.place();
            };
            let placed = match watch.permit() {
                Permit::Run => self.place_first().map(Some),
                Permit::RunAlone { .. } => self.place_alone().await,
                Permit::Wait => Ok(self.place_beside_equal()),
                Permit::Quarantined { .. } => Err(self.quarantined().await),
            };
            if let Some(chosen) = placed? {
                return Ok(chosen);
            }
            self.wait().await?;
        }
    }

    async fn wait(&self) -> Result<(), Failure> {
        if self.cx.shared.clock.now() >= self.due {
            return Err(self.failed("an equal request, or one aboard the same crash, had not ended in time"));
        }
        smol::Timer::after(WAIT).await;
        Ok(())
    }

    fn place_first(&mut self) -> Result<Chosen, Failure> {
        let chosen = self.place()?;
        if let Some(watch) = &mut self.watch {
            let suspects = &watch.shared.suspects;
            suspects.register().set_target(watch.request, &chosen.target);
            watch.incarnation = suspects.incarnation(&chosen.target);
        }
        Ok(chosen)
    }

    /// Goes to the target that runs an equal request, if that is not suspect.
    fn place_beside_equal(&mut self) -> Option<Chosen> {
        let watch = self.watch.as_ref()?;
        let shared = watch.shared.clone();
        let request = watch.request;
        let target = shared.suspects.register().shared_target(&request).cloned()?;
        let view = shared.view.load();
        let others = view.placement.targets.values().map(|t| &t.id);
        let others = others.filter(|id| **id != target).cloned().collect();
        let chosen = self.place_without(others)?;
        let watch = self.watch.as_mut()?;
        let id = shared.suspects.new_try();
        let now = shared.clock.now();
        let mut register = shared.suspects.register();
        if register.shared_target(&request) != Some(&target) {
            return None;
        }
        register.mirror(request, &id, &target, now);
        watch.open = Some(id);
        watch.incarnation = shared.suspects.incarnation(&target);
        Some(chosen)
    }

    /// Waits for a target that runs no other suspect, and writes down that the request runs there.
    async fn place_alone(&mut self) -> Result<Option<Chosen>, Failure> {
        let chosen = self.claim_lone_target().await?;
        let engine = HttpEngine::new(self.cx.engines.clone(), chosen.address);
        let Some(watch) = &mut self.watch else {
            return Ok(None);
        };
        let Ok(report) = engine.load().await else {
            watch.end(&TryOutcome::Other);
            return Ok(None);
        };
        watch
            .shared
            .suspects
            .note_incarnation(&chosen.target, report.incarnation);
        watch.incarnation = Some(report.incarnation);
        Ok(watch.announce().await.then_some(chosen))
    }

    async fn claim_lone_target(&mut self) -> Result<Chosen, Failure> {
        let mut denied = Vec::new();
        loop {
            let Some(chosen) = self.find_lone_target(&denied) else {
                denied.clear();
                smol::Timer::after(CLAIM_WAIT.mul_f64(rand::random_range(0.5..1.5))).await;
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

    fn find_lone_target(&mut self, denied: &[TargetId]) -> Option<Chosen> {
        let watch = self.watch.as_ref()?;
        let mut taken = watch
            .shared
            .suspects
            .register()
            .targets_of_suspects(watch.request);
        taken.extend_from_slice(denied);
        let chosen = self.place_without(taken)?;
        let watch = self.watch.as_ref()?;
        watch.take_alone(&chosen.target).then_some(chosen)
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
    pub(crate) async fn examine(&mut self, chosen: &Chosen, failure: TargetError) -> Result<(), Failure> {
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
            watch.end(&TryOutcome::Other);
            return Ok(());
        };
        watch.crash(&crash).await;
        if watch.own_suspicion().is_some_and(|s| s.is_quarantined()) {
            return Err(self.quarantined().await);
        }
        Ok(())
    }

    /// Waits until other hosts know of a crash that was seen, so that a caller who sends the request there is known.
    pub(crate) async fn wait_until_published(&self) {
        if self.watch.as_ref().is_some_and(|watch| watch.crashed) {
            smol::Timer::after(self.cx.shared.suspects.time_to_spread).await;
        }
    }

    /// The refusal of a quarantined request. It is held back until other hosts know of the crashes.
    async fn quarantined(&self) -> Failure {
        let shared = &self.cx.shared;
        smol::Timer::after(shared.suspects.time_to_spread).await;
        let outcome = match self.sent {
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
