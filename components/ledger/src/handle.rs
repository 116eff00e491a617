use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::UNIX_EPOCH;

use async_channel::{Receiver, Sender};
use metadata::RowKey;
use smol::Timer;
use smol::future::or;
use utils::{Digest, Monotonic, TargetId};

use crate::writer::{Shared, WriteRequest};
use crate::{
    Attempt, AttemptId, CallKey, ClaimRow, ClaimState, Effect, Input, Job, LedgerStats, RecordedReply,
    RefusedReason, RowWrite, Step, StoredClaim, Verdict, WriteResult,
};

/// Description of one attempt of a caller at a call that must not be repeated.
#[derive(Debug, Clone)]
pub struct NewCall {
    /// Identity of the call.
    pub key: CallKey,
    /// Identifier of this attempt, unique across all hosts.
    pub attempt: AttemptId,
    /// Target that the call will be sent to.
    pub target: TargetId,
    /// Digest of the call's body.
    pub body: Digest,
}

/// Result of [`LedgerHandle::begin`], before anything is sent: what the caller of `begin` has to do next.
#[must_use]
pub enum BeginResult {
    /// The call is claimed and may be sent.
    Held(HeldClaim),
    /// An earlier attempt may have run; its target has to be queried.
    QueryTarget(OutcomeQuery),
    /// The attempt ended with a verdict for the caller.
    Decided(Verdict),
}

/// What the entry host observed of a call that it tried to send; the input of [`SentCall::end`].
#[must_use]
pub enum CallEnd {
    /// The target's whole answer was received.
    Answered(RecordedReply),
    /// Nothing was sent, or the target proves that it did not run the call.
    NotRun,
    /// The result is unknown.
    Lost,
}

/// Result of [`SentCall::end`]: the verdict, or a query to the target that is needed to reach it.
#[must_use]
pub enum EndResult {
    /// The attempt ended with a verdict for the caller.
    Decided(Verdict),
    /// The result is unknown; the target has to be queried.
    QueryTarget(OutcomeQuery),
}

/// Handle with which the traffic threads claim calls and record their results. Cheap to clone.
#[derive(Clone)]
pub struct LedgerHandle {
    /// State shared with the writer.
    shared: Arc<Shared>,
    /// Channel to the writer.
    tx: Sender<WriteRequest>,
}

/// A held claim under which nothing was sent yet. Dropping it abandons the claim.
#[must_use]
pub struct HeldClaim(Box<PendingAttempt>);

/// A call that was sent. Dropping it records the result as unknown.
#[must_use]
pub struct SentCall(Box<PendingAttempt>);

/// Query to a target for the result of a call.
#[must_use]
pub struct OutcomeQuery {
    /// Target to query.
    pub target: TargetId,
    /// Attempt that waits for the result.
    attempt: Box<PendingAttempt>,
}

/// An attempt in flight, counted in the backlog. Dropping it ends the attempt and releases its slot in the
/// backlog.
struct PendingAttempt {
    /// State of the attempt.
    attempt: Attempt,
    /// Handle to the writer.
    ledger: LedgerHandle,
    /// Whether a job owns the slot in the backlog.
    is_handed_over: bool,
    /// Receives a message when that job is done.
    written: Option<Receiver<()>>,
}

impl LedgerHandle {
    pub(crate) fn new(shared: Arc<Shared>, tx: Sender<WriteRequest>) -> Self {
        Self { shared, tx }
    }

    /// Returns the counters of the ledger.
    pub fn stats(&self) -> &LedgerStats {
        &self.shared.stats
    }

    /// Closes the channel to the writer; new calls are refused. The writer stops once every settlement in the
    /// channel is written.
    pub fn close(&self) {
        self.tx.close();
    }

    /// Claims a call. The call must not be sent unless the result is [`BeginResult::Held`].
    pub async fn begin(&self, call: NewCall) -> BeginResult {
        if self.shared.is_unavailable() {
            return BeginResult::Decided(Verdict::Refused(RefusedReason::StoreUnavailable));
        }
        let Some(mut pending) = self.reserve(&call) else {
            return BeginResult::Decided(Verdict::Refused(RefusedReason::BacklogFull));
        };
        let mut input = Input::Start;
        loop {
            input = match pending.step(input) {
                Some(Effect::Insert(write)) => self.insert(write).await,
                Some(Effect::Read(key)) => self.read_back(key).await,
                Some(Effect::Hold) => return BeginResult::Held(HeldClaim(Box::new(pending))),
                Some(Effect::QueryTarget(target)) => {
                    return BeginResult::QueryTarget(OutcomeQuery {
                        target,
                        attempt: Box::new(pending),
                    });
                }
                Some(Effect::Respond(verdict)) => return BeginResult::Decided(verdict),
                // Unreachable with a valid chart: it allows no other effect before a claim is held.
                Some(Effect::Dispatch) | None => {
                    return BeginResult::Decided(Verdict::Refused(RefusedReason::StoreUnavailable));
                }
            };
        }
    }

    /// Reserves a slot in the backlog, which guarantees room in the channel for the settlement. Returns
    /// `None` if the backlog is full.
    fn reserve(&self, call: &NewCall) -> Option<PendingAttempt> {
        let limit = self.shared.settings.max_backlog;
        let backlog = &self.shared.stats.backlog;
        if backlog.fetch_add(1, Ordering::Relaxed) >= limit {
            backlog.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        let row = ClaimRow {
            attempt: call.attempt,
            holder: self.shared.holder.clone(),
            target: call.target.clone(),
            body: call.body,
            valid_ms: self.shared.settings.claim_validity.as_millis() as u64,
            claimed_at_ms: self.wall_ms(),
            state: ClaimState::Claimed,
        };
        Some(PendingAttempt {
            attempt: self.shared.protocol.start(call.key.row_key(), row),
            ledger: self.clone(),
            is_handed_over: false,
            written: None,
        })
    }

    async fn insert(&self, write: RowWrite) -> Input {
        let (tx, rx) = async_channel::bounded(1);
        if self
            .tx
            .send(WriteRequest::Insert(Box::new(write), tx))
            .await
            .is_err()
        {
            return Input::StoreFailed;
        }
        match rx.recv().await {
            Ok(WriteResult::Applied(version)) => Input::Applied(version),
            Ok(WriteResult::Refused(found)) => Input::Refused(found),
            Ok(WriteResult::Lost) | Err(_) => Input::Lost,
            Ok(WriteResult::NotSent | WriteResult::Malformed) => Input::StoreFailed,
        }
    }

    async fn read_back(&self, key: RowKey) -> Input {
        let shared = &self.shared;
        shared.stats.reads.fetch_add(1, Ordering::Relaxed);
        let read = shared.table.read(vec![key]);
        let rows = shared.with_timeout(read, shared.settings.read_back_timeout).await;
        match rows.ok().and_then(|rows| rows.into_iter().next()) {
            Some(Some(row)) => match StoredClaim::parse(&row, &*shared.is_alive) {
                Ok(found) => Input::Read(Some(found)),
                Err(_) => Input::StoreFailed,
            },
            Some(None) => Input::Read(None),
            None => Input::StoreFailed,
        }
    }

    fn wall_ms(&self) -> u64 {
        let since_epoch = self.shared.clock.wall().duration_since(UNIX_EPOCH);
        since_epoch.unwrap_or_default().as_millis() as u64
    }

    fn now(&self) -> Monotonic {
        self.shared.clock.now()
    }
}

impl HeldClaim {
    /// Checks the claim's deadline. Call it right before the first byte is sent, and send the call only if it
    /// succeeds.
    ///
    /// # Errors
    /// Returns the verdict for the caller if the claim has lapsed or would lapse within
    /// [`LedgerSettings::send_margin`](crate::LedgerSettings::send_margin), for example after the process was
    /// paused.
    pub fn dispatch(mut self) -> Result<SentCall, Verdict> {
        let margin = self.0.ledger.shared.settings.send_margin;
        let first_byte = self.0.ledger.now() + margin;
        match self.0.step_at(Input::Send, first_byte) {
            Some(Effect::Dispatch) => Ok(SentCall(self.0)),
            Some(Effect::Respond(verdict)) => Err(verdict),
            _ => Err(Verdict::Refused(RefusedReason::Lapsed)),
        }
    }
}

impl SentCall {
    /// Records the result of the call.
    pub async fn end(mut self, end: CallEnd) -> EndResult {
        let input = match end {
            CallEnd::Answered(reply) => Input::Answered(reply),
            CallEnd::NotRun => Input::NotRun,
            CallEnd::Lost => Input::AnswerLost,
        };
        match self.0.step(input) {
            Some(Effect::Respond(verdict)) => {
                self.0.wait_until_written().await;
                EndResult::Decided(verdict)
            }
            Some(Effect::QueryTarget(target)) => EndResult::QueryTarget(OutcomeQuery {
                target,
                attempt: self.0,
            }),
            _ => EndResult::Decided(Verdict::Unknown),
        }
    }
}

impl OutcomeQuery {
    /// Records the target's answer to the query: the reply if the target reports that the call ran, else
    /// `None`.
    pub async fn resolve(mut self, reply: Option<RecordedReply>) -> Verdict {
        let input = reply.map_or(Input::TargetInconclusive, Input::TargetRan);
        match self.attempt.step(input) {
            Some(Effect::Respond(verdict)) => {
                self.attempt.wait_until_written().await;
                verdict
            }
            _ => Verdict::Unknown,
        }
    }
}

impl PendingAttempt {
    fn step(&mut self, input: Input) -> Option<Effect> {
        let now = self.ledger.now();
        self.step_at(input, now)
    }

    fn step_at(&mut self, input: Input, now: Monotonic) -> Option<Effect> {
        let Step { effect, job } = self
            .ledger
            .shared
            .protocol
            .step(&mut self.attempt, input, now)
            .ok()?;
        self.hand_over(job);
        Some(effect)
    }

    fn hand_over(&mut self, job: Option<Job>) {
        let Some(job) = job else {
            return;
        };
        // The channel has room for the whole backlog, so sending fails only once the channel is closed.
        let (tx, rx) = async_channel::bounded(1);
        self.is_handed_over = self
            .ledger
            .tx
            .try_send(WriteRequest::Job(Box::new(job), tx))
            .is_ok();
        self.written = Some(rx).filter(|_| self.is_handed_over);
    }

    /// Waits until the settlement is written, at most for the settle timeout. Other hosts can replay the
    /// answer after that.
    async fn wait_until_written(&mut self) {
        let shared = &self.ledger.shared;
        let Some(written) = self.written.take().filter(|_| !shared.is_unavailable()) else {
            return;
        };
        let expired = async {
            Timer::after(shared.settings.settle_timeout).await;
        };
        let done = async {
            let _ = written.recv().await;
        };
        or(done, expired).await;
    }
}

impl Drop for PendingAttempt {
    fn drop(&mut self) {
        if !self.is_handed_over {
            let job = self
                .ledger
                .shared
                .protocol
                .abort(&mut self.attempt, self.ledger.now());
            self.hand_over(job);
        }
        if !self.is_handed_over {
            self.ledger.shared.stats.backlog.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
