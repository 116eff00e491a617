use std::time::Duration;

use errors::{Outcome, ProblemKind, events};
use futures_lite::FutureExt;
use http_io::{Body, SseEvent};
use hyper::{Method, Response};
use policy::{Chosen, FailedTry, Placement, PlacementRequest, RetryDecision};
use slog::{info, warn};
use targets::{DraftEvent, DraftRequest, DraftStream, Engine, HttpEngine, TargetError};
use utils::{Monotonic, TargetId, WeightVersion};

use super::admit::admit;
use super::failure::Failure;
use super::import::import;
use super::in_flight::InFlightGuard;
use super::openai::{ChatBody, CompletionBody, Prompt, Writer};
use super::relay::Relay;
use super::respond::id_text;
use super::route::{Received, check_serving};
use super::watch::CrashWatch;
use super::{Context, respond};
use crate::cache::piece_ids;
use crate::observe::Observation;
use crate::outcomes::RequestRecord;
use crate::resume::ResumePoint;
use crate::view::View;

/// Number of bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of targets that are tried for a draft.
const MAX_TARGETS: u32 = 4;
/// HTTP status of an engine that does not hold the draft to resume.
const STATUS_NO_SUCH_DRAFT: u16 = 404;

/// A stream and its first event.
type FirstEvent = (Box<dyn DraftStream>, DraftEvent);

/// A draft request that is being served.
pub(crate) struct Draft {
    /// Context of the traffic thread.
    pub cx: Context,
    /// Request as received from the caller.
    pub received: Received,
    /// Request for the engine.
    pub req: DraftRequest,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the answer has the chat format.
    pub chat: bool,
    /// When the request began.
    pub began: Monotonic,
    /// Deadline of the first token.
    pub deadline: Monotonic,
    /// Targets that failed and are excluded from placement.
    pub excluded: Vec<TargetId>,
    /// Whether a target may have run the request.
    pub may_have_run: bool,
    /// Watches the attempts for crashes of their targets; `None` for a resumed draft.
    pub watch: Option<CrashWatch>,
    /// Counts the draft as in flight at the target that it was last sent to.
    pub in_flight: Option<InFlightGuard>,
}

/// A draft whose first event has arrived.
pub(crate) struct Opened {
    /// Placement of the draft.
    pub chosen: Chosen,
    /// Remaining events of the draft.
    pub stream: Box<dyn DraftStream>,
    /// The first event.
    pub first: DraftEvent,
}

/// Answers a completion request, or resumes its stream if the request has a resume token.
pub(crate) async fn answer(cx: &Context, received: Received) -> Result<Response<Body>, Failure> {
    if received.method != Method::POST {
        return Err(Failure::refused(ProblemKind::MethodNotAllowed, "use POST"));
    }
    if let Some(token) = received.headers.get("last-event-id") {
        let token = token.to_str().unwrap_or_default().to_owned();
        return super::relay::resume(cx, received, &token).await;
    }
    check_serving(cx, &received.view)?;
    let prompt = parse(&received)?;
    let draft = Draft::new(cx, received, prompt)?;
    draft.run().await
}

fn parse(received: &Received) -> Result<Prompt, Failure> {
    let malformed = |e: serde_json::Error| Failure::refused(ProblemKind::MalformedRequest, e.to_string());
    if received.path == "/v1/chat/completions" {
        let body: ChatBody = serde_json::from_slice(&received.body).map_err(malformed)?;
        return Ok(body.into());
    }
    let body: CompletionBody = serde_json::from_slice(&received.body).map_err(malformed)?;
    Ok(body.into())
}

impl Draft {
    fn new(cx: &Context, mut received: Received, prompt: Prompt) -> Result<Self, Failure> {
        let body = std::mem::take(&mut received.body);
        let declared = &received.view.declared;
        let found = declared.deployments.get_key_value(prompt.model.as_str());
        let Some((model, deployment)) = found.filter(|(_, d)| d.is_open_to(&received.workspace)) else {
            return Err(Failure::refused(ProblemKind::UnknownModel, prompt.model));
        };
        let prompt_tokens = u32::try_from(prompt.text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX);
        let limit = cx.shared.settings.limits.prompt_tokens;
        if prompt_tokens > limit {
            let detail = format!("{prompt_tokens} tokens; at most {limit} are allowed");
            return Err(Failure::refused(ProblemKind::PromptTooLong, detail));
        }
        let secret = &cx.shared.settings.secrets.pieces;
        let pieces = piece_ids(secret, &received.workspace, model, deployment, &prompt.text);
        let began = cx.shared.clock.now();
        let priority = declared
            .workspaces
            .get(&received.workspace)
            .map_or(0, |w| w.priority);
        let req = DraftRequest {
            request_id: received.id,
            attempt: 0,
            workspace: received.workspace.clone(),
            model: model.clone(),
            weight_version: deployment.weight_version,
            prompt_tokens,
            prompt: prompt.text,
            pieces,
            max_tokens: prompt.max_tokens.clamp(1, deployment.max_tokens),
            priority,
            offset: 0,
            continued: String::new(),
            resume_only: false,
        };
        let deadline = began + deployment.first_token_deadline();
        let (cx, stream, chat) = (cx.clone(), prompt.stream, prompt.chat);
        let watch = CrashWatch::new(&cx.shared, &received.workspace, &body);
        Ok(Self {
            cx,
            received,
            req,
            stream,
            chat,
            began,
            deadline,
            excluded: Vec::new(),
            may_have_run: false,
            watch: Some(watch),
            in_flight: None,
        })
    }

    async fn run(mut self) -> Result<Response<Body>, Failure> {
        let workspaces = &self.received.view.declared.workspaces;
        let limits = workspaces
            .get(&self.req.workspace)
            .map(|w| w.limits)
            .unwrap_or_default();
        let guard = admit(&self.cx, &self.req.workspace, &limits, self.req.prompt_tokens)?;
        let opened = self.open().await?;
        let (id, note) = (id_text(self.received.id), self.received.view.declared.version);
        if !self.stream {
            let relay = Relay::new(self, opened, guard);
            let whole = relay.collect().await?;
            let mut res = respond::json(&(), Outcome::Ran, &id, note);
            *res.body_mut() = http_io::full_body(whole);
            return Ok(res);
        }
        let relay = Relay::new(self, opened, guard);
        Ok(respond::stream(relay.into_body(), &id, note))
    }

    /// Places and sends the draft, with retries at other targets, until the first event arrives.
    pub(crate) async fn open(&mut self) -> Result<Opened, Failure> {
        for target_number in 1..=MAX_TARGETS {
            let chosen = self.place_when_permitted().await?;
            let tokens = self.req.prompt_tokens;
            self.in_flight = Some(InFlightGuard::new(&self.cx.shared, chosen.key, tokens));
            let time_left = self.deadline.saturating_sub(self.cx.shared.clock.now());
            import(&self.cx, &chosen, self.req.weight_version, time_left).await;
            let failure = match self.wait_for_first_event(&chosen).await {
                Ok((stream, first)) => {
                    self.report_prefilled(&chosen);
                    self.cx.shared.retries.record_success(target_number > 1);
                    return Ok(Opened {
                        chosen,
                        stream,
                        first,
                    });
                }
                Err(failure) => failure,
            };
            self.record_failure(&chosen, failure);
            self.check_for_crash(&chosen, failure).await?;
            if !self.wait_for_retry(target_number).await {
                break;
            }
        }
        self.wait_for_propagation().await;
        Err(self.request_failure("no target answered"))
    }

    /// Reports to the control thread that the target has the prompt in its cache.
    fn report_prefilled(&self, chosen: &Chosen) {
        if self.req.pieces.is_empty() {
            return;
        }
        self.cx.shared.observer.send(Observation::Prefilled {
            key: chosen.key,
            workspace: self.req.workspace.clone(),
            weight_version: self.req.weight_version,
            pieces: self.req.pieces.as_slice().into(),
        });
    }

    /// Waits until the draft can be retried. Returns `false` if the retry policy denies a retry.
    async fn wait_for_retry(&self, targets_tried: u32) -> bool {
        let shared = &self.cx.shared;
        let failed = FailedTry {
            attempt: targets_tried,
            max_attempts: MAX_TARGETS,
            is_idempotent: true,
            is_not_run: !self.may_have_run,
            failed_at: shared.clock.now(),
            due: self.deadline,
            expected: Duration::ZERO,
        };
        loop {
            let next = shared.retries.decide(&failed, shared.clock.now());
            info!(shared.log, "retry decided"; events::RETRY_DECIDED,
                "request" => id_text(self.received.id), "decision" => ?next.decision,
                "time_left" => ?next.time_left, "budget_left" => next.budget_left);
            let (after, is_retry) = match next.decision {
                RetryDecision::Retry { after } => (after, true),
                RetryDecision::Hold { after } => (after, false),
                RetryDecision::Stop(_) => return false,
            };
            smol::Timer::after(after).await;
            if is_retry {
                return true;
            }
        }
    }

    /// Sends the draft to one target and waits for its first event. If a connection times out before the
    /// deadline of the first token, a new connection to the same target resumes the draft. If the target does
    /// not hold the draft, it is sent again.
    async fn wait_for_first_event(&mut self, chosen: &Chosen) -> Result<FirstEvent, TargetError> {
        let mut result = self.send_to_target(chosen, false).await;
        loop {
            match result {
                Err(TargetError::TimedOut) if self.cx.shared.clock.now() < self.deadline => {
                    self.may_have_run = true;
                    self.req.resume_only = true;
                }
                Err(TargetError::Refused(STATUS_NO_SUCH_DRAFT)) if self.req.resume_only => {
                    self.req.resume_only = false;
                }
                other => {
                    self.req.resume_only = false;
                    return other;
                }
            }
            result = self.send_to_target(chosen, true).await;
        }
    }

    /// Sends the draft to one target on one connection and waits for the first event, up to the progress
    /// timeout.
    pub(crate) async fn send_to_target(
        &mut self,
        chosen: &Chosen,
        new_connection: bool,
    ) -> Result<FirstEvent, TargetError> {
        self.req.attempt += 1;
        let engine = HttpEngine::new(self.cx.engines.clone(), chosen.address);
        let shared = &self.cx.shared;
        let limit = Duration::from_millis(shared.settings.timeouts.progress_ms);
        let req = self.req.clone();
        let open = async {
            let opened = match new_connection {
                true => engine.draft_on_new_connection(req).await,
                false => engine.draft(req).await,
            };
            let mut stream = opened.map_err(|e| *e.current_context())?;
            let first = stream.next().await.map_err(|e| *e.current_context())?;
            first.map(|first| (stream, first)).ok_or(TargetError::Incomplete)
        };
        let timeout = async {
            smol::Timer::after(limit).await;
            Err(TargetError::TimedOut)
        };
        open.or(timeout).await
    }

    /// Records a failed attempt and excludes its target from the next placements.
    pub(crate) fn record_failure(&mut self, chosen: &Chosen, failure: TargetError) {
        self.may_have_run |= !failure.is_not_run();
        self.excluded.push(chosen.target.clone());
        let shared = &self.cx.shared;
        shared.metrics.record_attempt("failed");
        let key = chosen.key;
        shared.observer.send(Observation::Failed { key, failure });
        warn!(shared.log, "attempt failed"; events::ATTEMPT_FAILED,
            "request" => id_text(self.received.id), "attempt" => self.req.attempt,
            "target" => &*chosen.target, "failure" => %failure);
    }

    /// Returns the failure of the whole request. Its outcome depends on whether an attempt may have run.
    pub(crate) fn request_failure(&self, detail: &str) -> Failure {
        let failure = if self.may_have_run {
            Failure::may_have_run
        } else {
            Failure::refused
        };
        failure(
            if self.may_have_run {
                ProblemKind::TargetFailed
            } else {
                ProblemKind::NoTarget
            },
            detail,
        )
    }

    /// Fails if the release notes now in force do not allow the draft to start on a target. A draft with
    /// tokens already sent is not checked.
    fn check_allowed(&self, view: &View) -> Result<(), Failure> {
        if self.req.offset > 0 {
            return Ok(());
        }
        check_serving(&self.cx, view).map_err(|refused| self.failure_from_refusal(refused))?;
        let deployment = view.enforced.deployment(&self.req.model);
        let is_allowed = deployment.is_some_and(|deployment| {
            let versions = deployment.weight_versions();
            versions.contains(&self.req.weight_version) && deployment.is_open_to(&self.req.workspace)
        });
        if is_allowed && view.declared.workspaces.contains_key(&self.req.workspace) {
            return Ok(());
        }
        let detail = "a release note changed what the workspace may use";
        Err(self.failure_from_refusal(Failure::refused(ProblemKind::UnknownModel, detail)))
    }

    /// Returns the refusal itself if no attempt may have run, else the failure of the whole request.
    fn failure_from_refusal(&self, refused: Failure) -> Failure {
        match self.may_have_run {
            true => self.request_failure(&refused.detail),
            false => refused,
        }
    }

    /// Chooses a target under the current view.
    pub(crate) fn place(&self) -> Result<Chosen, Failure> {
        let shared = &self.cx.shared;
        let view = shared.view.load();
        self.check_allowed(&view)?;
        let now = shared.clock.now();
        let (workspace, model) = (&self.req.workspace, &self.req.model);
        let cost = view
            .declared
            .workspaces
            .get(workspace)
            .map(|w| w.cost)
            .unwrap_or_default();
        let req = PlacementRequest {
            workspace,
            model,
            weight_version: self.req.weight_version,
            pieces: &self.req.pieces,
            prompt_tokens: self.req.prompt_tokens,
            region: &shared.settings.host.region,
            excluded: &self.excluded,
            time_left: self.deadline.saturating_sub(now),
            first_token_weight: cost.first_token,
            recomputed_weight: cost.recomputed,
            link_weight: cost.link,
            seed: self.received.id as u64 ^ shared.incarnation,
        };
        let rules = &view.declared;
        let allowed = |c: &policy::Candidate| rules.allows(workspace, model, &c.region, &c.failure_domain);
        let placement = shared.placer.place(&view.placement, &req, &allowed, now);
        self.log_placement(&placement);
        placement
            .chosen
            .ok_or_else(|| self.request_failure("no live target serves the model at this version"))
    }

    fn log_placement(&self, placement: &Placement) {
        let shared = &self.cx.shared;
        let explained = serde_json::to_string(placement).unwrap_or_default();
        info!(shared.log, "request placed"; events::PLACED,
            "request" => id_text(self.received.id), "attempt" => self.req.attempt + 1, "placement" => &explained);
        self.record_state("placed", self.request_failure("").outcome, Some(explained));
    }

    /// Records the state of the request, for later lookups.
    pub(crate) fn record_state(&self, state: &'static str, outcome: Outcome, placement: Option<String>) {
        let workspace = self.received.workspace.clone();
        let record = RequestRecord {
            workspace,
            state,
            outcome,
            placement,
        };
        self.cx.shared.outcomes.record(self.received.id, record);
    }

    /// Returns the writer of the answer's JSON objects.
    pub(crate) fn writer(&self) -> Writer {
        Writer {
            id: format!("cmpl-{}", id_text(self.received.id)),
            model: self.req.model.to_string(),
            created: self.wall_seconds(),
            chat: self.chat,
        }
    }

    /// Returns the wall clock time in seconds since 1970.
    pub(crate) fn wall_seconds(&self) -> u64 {
        let since = self.cx.shared.clock.wall().duration_since(std::time::UNIX_EPOCH);
        since.unwrap_or_default().as_secs()
    }

    /// Returns the point from which the stream can be resumed after `offset` tokens.
    pub(crate) fn resume_point(&self, chosen: &Chosen, version: WeightVersion, offset: u32) -> ResumePoint {
        ResumePoint {
            request_id: self.received.id,
            workspace: self.req.workspace.clone(),
            model: self.req.model.clone(),
            weight_version: version,
            address: chosen.address,
            attempt: self.req.attempt,
            offset,
            max_tokens: self.req.max_tokens,
            chat: self.chat,
            began: self.wall_seconds(),
        }
    }
}

/// Returns the event that reports a failure at the end of a stream.
pub(crate) fn error_event(failure: &Failure, id: &str) -> SseEvent {
    let problem = serde_json::json!({ "error": failure.problem(id) });
    SseEvent {
        id: None,
        data: problem.to_string(),
    }
}
