use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::UNIX_EPOCH;

use async_channel::{Receiver, Sender};
use metadata::RowKey;
use smol::Timer;
use smol::future::or;
use utils::{Digest, Monotonic, TargetId};

use crate::writer::{Op, Shared};
use crate::{
    Attempt, AttemptId, CallKey, ClaimRow, ClaimState, Effect, Input, Job, LedgerStats, RecordedReply,
    RefusedReason, RowWrite, Step, StoredClaim, Verdict, WriteResult,
};

/// A caller's try at a call that must not be repeated.
#[derive(Debug, Clone)]
pub struct NewCall {
    /// What the call is known by.
    pub key: CallKey,
    /// Identifier of this try, unique over all hosts.
    pub attempt: AttemptId,
    /// Target that the call will go to.
    pub target: TargetId,
    /// Digest of the call's body.
    pub body: Digest,
}

/// What became of a try to claim a call.
#[must_use]
pub enum BeginResult {
    /// The call is claimed and may be sent.
    Held(HeldClaim),
    /// An earlier try may have run; its target is to be asked.
    QueryTarget(OutcomeQuery),
    /// The caller is to be told.
    Decided(Verdict),
}

/// What became of a call that was sent.
#[must_use]
pub enum CallEnd {
    /// The target's whole answer came.
    Answered(RecordedReply),
    /// Nothing was sent after all, or the target shows that it did not run the call.
    NotRun,
    /// The result is not known.
    Lost,
}

/// What follows from the end of a call.
#[must_use]
pub enum EndResult {
    /// The caller is to be told.
    Decided(Verdict),
    /// The target is to be asked what it did.
    QueryTarget(OutcomeQuery),
}

/// Claims calls, for the traffic threads. Cheap to clone.
#[derive(Clone)]
pub struct LedgerHandle {
    /// Shared with the writer.
    shared: Arc<Shared>,
    /// Writes for the writer.
    tx: Sender<Op>,
}

/// A claim under which nothing was sent yet. Dropping it gives the claim up.
#[must_use]
pub struct HeldClaim(Box<OpenTry>);

/// A call that was sent. Dropping it records that the result is not known.
#[must_use]
pub struct SentCall(Box<OpenTry>);

/// A call whose result its target may know.
#[must_use]
pub struct OutcomeQuery {
    /// The target.
    pub target: TargetId,
    /// The try.
    call: Box<OpenTry>,
}

/// A try with its place in the backlog; cleans up when it is dropped.
struct OpenTry {
    /// The try.
    call: Attempt,
    /// Access to the writer.
    ledger: LedgerHandle,
    /// Whether a job took over the place in the backlog.
    is_handed_over: bool,
    /// Tells when that job is done.
    written: Option<Receiver<()>>,
}

impl LedgerHandle {
    pub(crate) fn new(shared: Arc<Shared>, tx: Sender<Op>) -> Self {
        Self { shared, tx }
    }

    /// Counters.
    pub fn stats(&self) -> &LedgerStats {
        &self.shared.stats
    }

    /// Ends the writer once every settlement is written; new calls are refused.
    pub fn close(&self) {
        self.tx.close();
    }

    /// Claims a call. Nothing may be sent before the claim is held.
    pub async fn begin(&self, call: NewCall) -> BeginResult {
        if self.shared.is_open() {
            return BeginResult::Decided(Verdict::Refused(RefusedReason::StoreUnavailable));
        }
        let Some(mut open) = self.open(&call) else {
            return BeginResult::Decided(Verdict::Refused(RefusedReason::BacklogFull));
        };
        let mut input = Input::Start;
        loop {
            input = match open.step(input) {
                Some(Effect::Insert(write)) => self.insert(write).await,
                Some(Effect::Read(key)) => self.read_back(key).await,
                Some(Effect::Hold) => return BeginResult::Held(HeldClaim(Box::new(open))),
                Some(Effect::QueryTarget(target)) => {
                    return BeginResult::QueryTarget(OutcomeQuery {
                        target,
                        call: Box::new(open),
                    });
                }
                Some(Effect::Respond(verdict)) => return BeginResult::Decided(verdict),
                // The chart allows no other effect before a claim is held.
                Some(Effect::Dispatch) | None => {
                    return BeginResult::Decided(Verdict::Refused(RefusedReason::StoreUnavailable));
                }
            };
        }
    }

    /// Takes a place in the backlog, so that a settlement always finds room.
    fn open(&self, call: &NewCall) -> Option<OpenTry> {
        let limit = self.shared.settings.backlog;
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
            valid_ms: self.shared.settings.claim_valid.as_millis() as u64,
            claimed_at_ms: self.wall_ms(),
            state: ClaimState::Claimed,
        };
        Some(OpenTry {
            call: self.shared.protocol.start(call.key.row_key(), row),
            ledger: self.clone(),
            is_handed_over: false,
            written: None,
        })
    }

    async fn insert(&self, write: RowWrite) -> Input {
        let (tx, rx) = async_channel::bounded(1);
        if self.tx.send(Op::Insert(Box::new(write), tx)).await.is_err() {
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
        let rows = shared.wait_for(read, shared.settings.read_back_timeout).await;
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
        let since = self.shared.clock.wall().duration_since(UNIX_EPOCH);
        since.unwrap_or_default().as_millis() as u64
    }

    fn now(&self) -> Monotonic {
        self.shared.clock.now()
    }
}

impl HeldClaim {
    /// To be called right before the first byte is sent; the call may be sent only if this succeeds.
    ///
    /// # Errors
    /// The verdict for the caller if the claim is no longer valid, for example after the process was paused.
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
    /// Records what became of the call.
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
            Some(Effect::QueryTarget(target)) => {
                EndResult::QueryTarget(OutcomeQuery { target, call: self.0 })
            }
            _ => EndResult::Decided(Verdict::Unknown),
        }
    }
}

impl OutcomeQuery {
    /// Takes the target's answer: the reply if it says that the call ran, `None` if it does not or can't say.
    pub async fn resolve(mut self, reply: Option<RecordedReply>) -> Verdict {
        let input = reply.map_or(Input::TargetInconclusive, Input::TargetRan);
        match self.call.step(input) {
            Some(Effect::Respond(verdict)) => {
                self.call.wait_until_written().await;
                verdict
            }
            _ => Verdict::Unknown,
        }
    }
}

impl OpenTry {
    fn step(&mut self, input: Input) -> Option<Effect> {
        let now = self.ledger.now();
        self.step_at(input, now)
    }

    fn step_at(&mut self, input: Input, now: Monotonic) -> Option<Effect> {
        let Step { effect, job } = self
            .ledger
            .shared
            .protocol
            .step(&mut self.call, input, now)
            .ok()?;
        self.hand_over(job);
        Some(effect)
    }

    fn hand_over(&mut self, job: Option<Job>) {
        let Some(job) = job else {
            return;
        };
        // The channel has room for the whole backlog; it is closed only after all handles are gone.
        let (tx, rx) = async_channel::bounded(1);
        self.is_handed_over = self.ledger.tx.try_send(Op::Job(Box::new(job), tx)).is_ok();
        self.written = Some(rx).filter(|_| self.is_handed_over);
    }

    /// Waits for a little while until the result is recorded, so that other hosts replay it.
    async fn wait_until_written(&mut self) {
        let shared = &self.ledger.shared;
        let Some(written) = self.written.take().filter(|_| !shared.is_open()) else {
            return;
        };
        let late = async {
            Timer::after(shared.settings.settle_wait).await;
        };
        let done = async {
            let _ = written.recv().await;
        };
        or(done, late).await;
    }
}

impl Drop for OpenTry {
    fn drop(&mut self) {
        if !self.is_handed_over {
            let job = self
                .ledger
                .shared
                .protocol
                .abort(&mut self.call, self.ledger.now());
            self.hand_over(job);
        }
        if !self.is_handed_over {
            self.ledger.shared.stats.backlog.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
