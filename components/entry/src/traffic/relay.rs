use std::time::Duration;

use bytes::Bytes;
use errors::{Outcome, ProblemKind, events};
use futures_lite::FutureExt;
use futures_lite::stream::unfold;
use http_io::{Body, SseEvent, stream_body};
use hyper::Response;
use policy::{Chosen, TryOutcome};
use slog::info;
use targets::{DraftEvent, DraftRequest, DraftStream, TargetError};
use utils::WeightVersion;

use super::admit::{AdmissionGuard, admit_resumed};
use super::drafts::{Draft, Opened, error_event};
use super::failure::Failure;
use super::in_flight::InFlightGuard;
use super::openai::{Usage, Writer};
use super::respond::id_text;
use super::route::Received;
use super::{Context, respond};
use crate::resume::{ResumePoint, TokenError};

/// Maximum number of consecutive resumes of a stream without a new token.
const MAX_RESUMES: u32 = 3;

/// Relays the events of a draft to its caller and resumes it when the connection or the target fails.
pub(crate) struct Relay {
    /// The generation request that is served.
    draft: Draft,
    /// Target that was chosen for the request.
    chosen: Chosen,
    /// Events of the answer from the target.
    stream: Box<dyn DraftStream>,
    /// First event of `stream`, until it is relayed.
    first: Option<DraftEvent>,
    /// Weight version of the answer.
    version: WeightVersion,
    /// Writes the JSON objects of the answer.
    writer: Writer,
    /// Text received from targets so far, needed to continue at another target. It is already sent if the
    /// answer is streamed; otherwise it is sent as a whole at the end.
    text: String,
    /// Whether `text` contains the answer from its beginning.
    has_full_text: bool,
    /// Number of tokens of the answer so far, with those that the caller had before it resumed.
    offset: u32,
    /// Number of resumes since the last token.
    resumes: u32,
    /// Whether the end of the answer or a failure has been passed on to the caller.
    ended: bool,
    /// Counts the request as open while it is relayed.
    _guard: AdmissionGuard,
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            self.record_caller_gone();
        }
    }
}

/// The next part of an answer.
enum Step {
    /// A token.
    Token(String),
    /// The end of the answer, after all tokens.
    End,
}

impl Relay {
    pub(crate) fn new(draft: Draft, opened: Opened, guard: AdmissionGuard) -> Self {
        let version = opened
            .first
            .start
            .as_ref()
            .map_or(draft.req.weight_version, |s| s.weight_version);
        let writer = draft.writer();
        let offset = draft.req.offset;
        Self {
            chosen: opened.chosen,
            stream: opened.stream,
            first: Some(opened.first),
            version,
            writer,
            text: String::new(),
            has_full_text: offset == 0,
            offset,
            resumes: 0,
            draft,
            ended: false,
            _guard: guard,
        }
    }

    /// Returns the answer as server-sent events. The caller's connection polls the body; a drop before the
    /// end means that the caller has disconnected.
    pub(crate) fn into_body(self) -> Body {
        stream_body(unfold(self, |mut relay| async move {
            let chunk = relay.chunk().await?;
            Some((Ok(chunk), relay))
        }))
    }

    async fn chunk(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        match self.step().await {
            Ok(Step::Token(text)) => Some(self.event(self.writer.token(&text)).to_bytes()),
            Ok(Step::End) => {
                self.record_answered();
                let end = self
                    .event(self.writer.finish(self.usage(), self.finish_reason()))
                    .to_bytes();
                let done = SseEvent {
                    id: None,
                    data: "[DONE]".to_owned(),
                }
                .to_bytes();
                Some([end, done].concat().into())
            }
            Err(failure) => {
                self.record_interrupted(&failure);
                Some(error_event(&failure, &id_text(self.draft.received.id)).to_bytes())
            }
        }
    }

    /// Reads the complete answer and returns it as one object.
    pub(crate) async fn collect(mut self) -> Result<String, Failure> {
        loop {
            match self.step().await {
                Ok(Step::Token(_)) => {}
                Ok(Step::End) => {
                    let whole = self.writer.whole(&self.text, self.usage(), self.finish_reason());
                    self.record_answered();
                    return Ok(whole);
                }
                Err(failure) => {
                    self.record_interrupted(&failure);
                    return Err(failure);
                }
            }
        }
    }

    async fn step(&mut self) -> Result<Step, Failure> {
        loop {
            match self.next().await {
                Ok(event) => {
                    if let Some(step) = self.apply_event(event)? {
                        return Ok(step);
                    }
                }
                Err(error) => self.resume(error).await?,
            }
        }
    }

    async fn next(&mut self) -> Result<DraftEvent, TargetError> {
        if let Some(first) = self.first.take() {
            return Ok(first);
        }
        let limit = Duration::from_millis(self.draft.cx.shared.settings.timeouts.progress_ms);
        let read = async {
            let next = self.stream.next().await.map_err(|e| *e.current_context())?;
            next.ok_or(TargetError::Incomplete)
        };
        let timeout = async {
            smol::Timer::after(limit).await;
            Err(TargetError::TimedOut)
        };
        read.or(timeout).await
    }

    fn apply_event(&mut self, event: DraftEvent) -> Result<Option<Step>, Failure> {
        if let Some(start) = &event.start
            && start.weight_version != self.version
        {
            return Err(self.partial_failure(
                ProblemKind::VersionGone,
                "the answer can not go on at another weight version",
            ));
        }
        if let Some(chunk) = event.chunk {
            if self.offset == self.draft.req.offset && self.resumes == 0 {
                let now = self.draft.cx.shared.clock.now();
                self.draft
                    .cx
                    .shared
                    .metrics
                    .record_first_token(now.saturating_sub(self.draft.began));
            }
            self.offset = chunk.index + 1;
            self.resumes = 0;
            self.text.push_str(&chunk.text);
            return Ok(Some(Step::Token(chunk.text)));
        }
        Ok(event.end.map(|_| Step::End))
    }

    /// Resumes after the stream broke, first on a new connection to the same target, then at another target.
    async fn resume(&mut self, error: TargetError) -> Result<(), Failure> {
        self.resumes += 1;
        if self.resumes > MAX_RESUMES {
            return Err(self.partial_failure(
                ProblemKind::AnswerCut,
                "the answer broke off and could not be resumed",
            ));
        }
        self.draft.req.offset = self.offset;
        self.draft.req.weight_version = self.version;
        self.draft.req.resume_only = true;
        let chosen = self.chosen.clone();
        let failure = match self.draft.send_to_target(&chosen, true).await {
            Ok((stream, first)) => {
                self.log_resumed(error);
                (self.stream, self.first) = (stream, Some(first));
                return Ok(());
            }
            Err(failure) => failure,
        };
        self.draft.may_have_run = true;
        self.draft.record_failure(&chosen, failure);
        self.draft.check_for_crash(&chosen, error).await?;
        self.move_to_other_target().await
    }

    async fn move_to_other_target(&mut self) -> Result<(), Failure> {
        if !self.has_full_text {
            return Err(
                self.partial_failure(ProblemKind::AnswerCut, "the target that held the draft is gone")
            );
        }
        self.draft.req.resume_only = false;
        self.draft.req.continued = self.text.clone();
        self.draft.deadline = self.draft.cx.shared.clock.now() + self.first_event_limit();
        let opened = self.draft.open().await.map_err(|failure| match failure.kind {
            ProblemKind::Quarantined => failure,
            _ => self.partial_failure(
                ProblemKind::AnswerCut,
                "no other target could go on with the answer",
            ),
        })?;
        (self.chosen, self.stream, self.first) = (opened.chosen, opened.stream, Some(opened.first));
        Ok(())
    }

    fn first_event_limit(&self) -> Duration {
        Duration::from_millis(self.draft.cx.shared.settings.timeouts.first_event_ms)
    }

    fn event(&self, data: String) -> SseEvent {
        let point = self.draft.resume_point(&self.chosen, self.version, self.offset);
        SseEvent {
            id: Some(self.draft.cx.shared.token_signer.sign(&point)),
            data,
        }
    }

    fn usage(&self) -> Usage {
        Usage::new(self.draft.req.prompt_tokens, self.offset)
    }

    fn finish_reason(&self) -> &'static str {
        if self.offset >= self.draft.req.max_tokens {
            "length"
        } else {
            "stop"
        }
    }

    /// Returns the failure of an answer that may have run in part. The detail includes the number of tokens
    /// sent.
    fn partial_failure(&self, kind: ProblemKind, detail: &str) -> Failure {
        let detail = format!("{detail}; {} tokens were sent", self.offset);
        Failure {
            kind,
            outcome: Outcome::MayHaveRun,
            detail,
        }
    }

    fn record_answered(&mut self) {
        self.ended = true;
        if let Some(watch) = &mut self.draft.watch {
            watch.record_end(&TryOutcome::Succeeded);
        }
        let shared = &self.draft.cx.shared;
        shared.metrics.record_attempt("ok");
        shared.metrics.record_request("draft", Outcome::Ran);
        shared.metrics.record_tokens(u64::from(self.offset));
        self.draft.record_state("answered", Outcome::Ran, None);
        info!(shared.log, "request answered"; events::ANSWERED,
            "request" => id_text(self.draft.received.id), "target" => &*self.chosen.target,
            "attempts" => self.draft.req.attempt, "tokens" => self.offset, "weight_version" => self.version);
    }

    fn record_caller_gone(&self) {
        let shared = &self.draft.cx.shared;
        self.draft.record_state("streaming", Outcome::MayHaveRun, None);
        info!(shared.log, "caller closed the connection"; events::CALLER_GONE,
            "request" => id_text(self.draft.received.id), "tokens" => self.offset);
    }

    fn record_interrupted(&mut self, failure: &Failure) {
        self.ended = true;
        let shared = &self.draft.cx.shared;
        shared.metrics.record_request("draft", failure.outcome);
        self.draft.record_state("unknown", failure.outcome, None);
        info!(shared.log, "answer ended early"; events::OUTCOME_UNKNOWN,
            "request" => id_text(self.draft.received.id), "problem" => failure.kind.name(),
            "detail" => &failure.detail);
    }

    fn log_resumed(&self, error: TargetError) {
        info!(self.draft.cx.shared.log, "stream resumed"; events::RESUMED,
            "request" => id_text(self.draft.received.id), "target" => &*self.chosen.target,
            "offset" => self.offset, "after" => %error);
    }
}

/// Resumes a stream at the offset of a resume token. Any host may have issued the token.
pub(crate) async fn resume(cx: &Context, received: Received, token: &str) -> Result<Response<Body>, Failure> {
    let opened = cx
        .shared
        .token_signer
        .verify(token, &received.workspace, cx.shared.clock.wall());
    let point = opened.map_err(|e| {
        let kind = match e.current_context() {
            TokenError::Expired => ProblemKind::ExpiredResumeToken,
            TokenError::Forged | TokenError::WrongWorkspace => ProblemKind::InvalidResumeToken,
        };
        Failure::refused(kind, e.current_context().to_string())
    })?;
    let guard = admit_resumed(cx)?;
    let (mut draft, chosen) = resumed_draft(cx, received, point)?;
    draft.in_flight = Some(InFlightGuard::new(&cx.shared, chosen.key, 0));
    let result = draft.send_to_target(&chosen, false).await;
    let (stream, first) = result.map_err(|failure| Failure {
        kind: if failure == TargetError::VersionNotLoaded {
            ProblemKind::VersionGone
        } else {
            ProblemKind::AnswerCut
        },
        outcome: Outcome::MayHaveRun,
        detail: format!("the draft can not be resumed at its target: {failure}"),
    })?;
    let (id, note) = (id_text(draft.received.id), draft.received.view.declared.version);
    let relay = Relay::new(
        draft,
        Opened {
            chosen,
            stream,
            first,
        },
        guard,
    );
    Ok(respond::stream(relay.into_body(), &id, note))
}

fn resumed_draft(
    cx: &Context,
    mut received: Received,
    point: ResumePoint,
) -> Result<(Draft, Chosen), Failure> {
    let targets = &received.view.placement.targets;
    let Some((key, candidate)) = targets.iter().find(|(_, c)| c.address == point.address) else {
        let detail = "the target that held the draft is gone";
        return Err(Failure::may_have_run(ProblemKind::AnswerCut, detail));
    };
    let chosen = Chosen {
        key,
        target: candidate.id.clone(),
        address: candidate.address,
        cost: policy::CostTerms::default(),
        fetches: Vec::new(),
    };
    received.id = point.request_id;
    let req = DraftRequest {
        request_id: point.request_id,
        attempt: point.attempt,
        workspace: point.workspace,
        model: point.model,
        weight_version: point.weight_version,
        prompt: String::new(),
        prompt_tokens: 0,
        pieces: Vec::new(),
        max_tokens: point.max_tokens,
        priority: 0,
        offset: point.offset,
        continued: String::new(),
        resume_only: true,
    };
    let began = cx.shared.clock.now();
    let draft = Draft {
        cx: cx.clone(),
        received,
        req,
        stream: true,
        chat: point.chat,
        began,
        deadline: began,
        excluded: Vec::new(),
        may_have_run: true,
        watch: None,
        in_flight: None,
    };
    Ok((draft, chosen))
}
