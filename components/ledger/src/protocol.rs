use charts::{ClaimChart, EventKey, StateKey};
use error_stack::{Report, ResultExt};
use errors::Outcome;
use metadata::{Expect, RowKey, RowVersion};
use utils::{Monotonic, TargetId};

use crate::{
    ClaimRow, ClaimState, Job, LedgerError, RecordedReply, RefusedReason, RowWrite, StoredClaim, Verdict,
};

/// Maximum number of inserts per attempt.
const MAX_INSERTS: u8 = 3;

/// State of one attempt at a call; changed only by [`Protocol::step`] and [`Protocol::abort`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// Current state in the chart.
    state: StateKey,
    /// Key of the call's row.
    key: RowKey,
    /// Claim that the attempt inserts.
    row: ClaimRow,
    /// End of the claim's validity, computed from the time before the first insert; `None` before that
    /// insert.
    deadline: Option<Monotonic>,
    /// Condition of the next insert on the present row.
    expect: Expect,
    /// Number of inserts sent.
    inserts: u8,
    /// Whether the answer to an insert was lost, so that the insert may still take effect.
    has_uncertain_insert: bool,
    /// Row version of the attempt's claim; `None` until the claim is held.
    held_version: Option<RowVersion>,
    /// Claim of another attempt whose target is queried for the outcome.
    other_claim: Option<StoredClaim>,
}

/// Event that advances an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// A target was chosen; the attempt starts to claim the call.
    Start,
    /// The insert took effect; holds the new row version.
    Applied(RowVersion),
    /// The insert's condition did not hold; holds the present row, if there is one.
    Refused(Option<StoredClaim>),
    /// No answer to the insert was received; it may have taken effect or may still do so later.
    Lost,
    /// The insert was not sent, or the read failed.
    StoreFailed,
    /// The row was read; `None` if it does not exist.
    Read(Option<StoredClaim>),
    /// The first byte of the call is about to be sent.
    Send,
    /// The caller disconnected or the target is not usable; nothing was sent.
    GiveUp,
    /// The target's whole answer was received.
    Answered(RecordedReply),
    /// The call was not sent, or the target proves that it did not run it.
    NotRun,
    /// The call was sent and its result is unknown.
    AnswerLost,
    /// The queried target reports that the call ran; holds its answer.
    TargetRan(RecordedReply),
    /// The query to the target did not establish that the call ran.
    TargetInconclusive,
}

/// Next action for an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Write the claim's row.
    Insert(RowWrite),
    /// Read the call's row.
    Read(RowKey),
    /// The claim is held; pass [`Input::Send`] right before the first byte is sent.
    Hold,
    /// Send the call now.
    Dispatch,
    /// Query the target that the call was sent to for the outcome.
    QueryTarget(TargetId),
    /// Report the verdict to the caller.
    Respond(Verdict),
}

/// Result of an input.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Step {
    /// Next action.
    pub effect: Effect,
    /// Background write, retried until it has taken effect or a newer row makes it obsolete.
    pub job: Option<Job>,
}

/// State machine for calls that must not be repeated, interpreted from the chart of claims.
///
/// ```
/// use std::time::Duration;
/// use ledger::{AttemptId, ClaimRow, ClaimState, Effect, Holder, Input, Protocol};
///
/// let protocol = Protocol::load()?;
/// let row = ClaimRow {
///     attempt: AttemptId(1),
///     holder: Holder { host: "entry-1".into(), incarnation: 1 },
///     target: "desk-1".into(),
///     body: utils::digest(b"order 20 bales"),
///     valid_ms: 2_000,
///     claimed_at_ms: 0,
///     state: ClaimState::Claimed,
/// };
/// let mut attempt = protocol.start("claim/mill/orders/7", row);
/// let at = Duration::from_secs;
/// assert!(matches!(protocol.step(&mut attempt, Input::Start, at(0))?.effect, Effect::Insert(_)));
/// assert_eq!(protocol.step(&mut attempt, Input::Applied(1), at(1))?.effect, Effect::Hold);
/// // The process was paused beyond the claim's validity.
/// let late = protocol.step(&mut attempt, Input::Send, at(3))?;
/// assert!(matches!(late.effect, Effect::Respond(_)));
/// # Ok::<(), error_stack::Report<ledger::LedgerError>>(())
/// ```
#[derive(Debug, Clone)]
pub struct Protocol {
    /// Chart of claims and the keys of its events.
    chart: ClaimChart,
}

impl Protocol {
    /// Loads the chart embedded in the program.
    ///
    /// # Errors
    /// Returns [`LedgerError::Chart`] if the chart is invalid.
    pub fn load() -> Result<Self, Report<LedgerError>> {
        let chart = ClaimChart::load().change_context(LedgerError::Chart)?;
        Ok(Self { chart })
    }

    /// Creates an attempt that will insert `row`.
    pub fn start(&self, key: impl Into<RowKey>, row: ClaimRow) -> Attempt {
        Attempt {
            state: self.chart.chart().initial(),
            key: key.into(),
            row,
            deadline: None,
            expect: Expect::Absent,
            inserts: 0,
            has_uncertain_insert: false,
            held_version: None,
            other_claim: None,
        }
    }

    /// Returns the outcome that may be reported in the attempt's current state.
    pub fn outcome(&self, attempt: &Attempt) -> Outcome {
        self.chart.chart().state(attempt.state).outcome
    }

    /// Advances the attempt with an input.
    ///
    /// # Errors
    /// Returns [`LedgerError::OutOfOrder`] if the chart does not allow the input in the current state; the
    /// attempt is unchanged then.
    pub fn step(
        &self,
        attempt: &mut Attempt,
        input: Input,
        now: Monotonic,
    ) -> Result<Step, Report<LedgerError>> {
        let events = &self.chart;
        match input {
            Input::Start => self.start_insert(attempt, now),
            Input::Applied(version) => self.hold(attempt, events.insert_applied, version),
            Input::Refused(None) | Input::Read(None) => {
                self.insert_again(attempt, events.absent, Expect::Absent, now)
            }
            Input::Refused(Some(found)) | Input::Read(Some(found)) => self.handle_row(attempt, found, now),
            Input::Lost => self.read_back(attempt),
            Input::StoreFailed => self.refuse(attempt, events.store_failed, RefusedReason::StoreUnavailable),
            Input::Send => self.send(attempt, now),
            Input::GiveUp => self.refuse(attempt, events.give_up, RefusedReason::GaveUp),
            Input::Answered(reply) => self.settle(attempt, events.answer, reply),
            Input::NotRun => self.refuse(attempt, events.refuse_by_target, RefusedReason::ByTarget),
            Input::AnswerLost => {
                self.transition(attempt, events.lose)?;
                Ok(step(Effect::QueryTarget(attempt.row.target.clone())))
            }
            Input::TargetRan(reply) => self.settle(attempt, events.find_ran, reply),
            Input::TargetInconclusive => self.end_unknown(attempt),
        }
    }

    fn transition(&self, attempt: &mut Attempt, event: EventKey) -> Result<(), Report<LedgerError>> {
        let next = self.chart.chart().next(attempt.state, event);
        attempt.state = next.ok_or_else(|| Report::new(LedgerError::OutOfOrder))?;
        Ok(())
    }

    fn start_insert(&self, attempt: &mut Attempt, now: Monotonic) -> Result<Step, Report<LedgerError>> {
        self.transition(attempt, self.chart.insert)?;
        attempt.deadline = Some(now + attempt.row.valid_for());
        Ok(attempt.insert())
    }

    /// Sends another insert. The deadline is not extended, because the first insert may be the one that took
    /// effect.
    fn insert_again(
        &self,
        attempt: &mut Attempt,
        event: EventKey,
        expect: Expect,
        now: Monotonic,
    ) -> Result<Step, Report<LedgerError>> {
        if attempt.inserts >= MAX_INSERTS || attempt.has_lapsed(now) {
            return self.refuse(attempt, self.chart.store_failed, RefusedReason::StoreUnavailable);
        }
        self.transition(attempt, event)?;
        attempt.expect = expect;
        Ok(attempt.insert())
    }

    fn read_back(&self, attempt: &mut Attempt) -> Result<Step, Report<LedgerError>> {
        self.transition(attempt, self.chart.answer_lost)?;
        attempt.has_uncertain_insert = true;
        Ok(step(Effect::Read(attempt.key.clone())))
    }

    fn hold(
        &self,
        attempt: &mut Attempt,
        event: EventKey,
        version: RowVersion,
    ) -> Result<Step, Report<LedgerError>> {
        self.transition(attempt, event)?;
        attempt.held_version = Some(version);
        Ok(step(Effect::Hold))
    }

    fn handle_row(
        &self,
        attempt: &mut Attempt,
        found: StoredClaim,
        now: Monotonic,
    ) -> Result<Step, Report<LedgerError>> {
        let events = &self.chart;
        if found.row.state == ClaimState::Abandoned {
            return self.insert_again(
                attempt,
                events.find_abandoned,
                Expect::Version(found.version),
                now,
            );
        }
        if found.row.attempt == attempt.row.attempt {
            return self.hold(attempt, events.find_own, found.version);
        }
        if found.row.body != attempt.row.body {
            let reused = Verdict::Refused(RefusedReason::KeyReused);
            return self.respond(attempt, events.find_other_body, reused);
        }
        match found.row.state {
            ClaimState::Settled(reply) => self.respond(attempt, events.find_settled, Verdict::Reply(reply)),
            ClaimState::Unknown => self.query_target(attempt, events.find_unknown, found),
            _ if found.is_holder_alive => self.respond(attempt, events.find_living, Verdict::InProgress),
            _ => self.query_target(attempt, events.find_dead, found),
        }
    }

    /// Ends an attempt whose caller disconnected: a claim under which nothing was sent is abandoned, and a
    /// call that was sent is recorded as unknown. Returns the background write for that, if one is needed.
    pub fn abort(&self, attempt: &mut Attempt, now: Monotonic) -> Option<Job> {
        let inputs = [
            Input::Lost,
            Input::StoreFailed,
            Input::GiveUp,
            Input::AnswerLost,
            Input::TargetInconclusive,
        ];
        inputs
            .into_iter()
            .filter_map(|input| self.step(attempt, input, now).ok())
            .find_map(|step| step.job)
    }

    fn query_target(
        &self,
        attempt: &mut Attempt,
        event: EventKey,
        found: StoredClaim,
    ) -> Result<Step, Report<LedgerError>> {
        self.transition(attempt, event)?;
        let target = found.row.target.clone();
        attempt.other_claim = Some(found);
        Ok(step(Effect::QueryTarget(target)))
    }

    fn send(&self, attempt: &mut Attempt, now: Monotonic) -> Result<Step, Report<LedgerError>> {
        if attempt.has_lapsed(now) {
            return self.refuse(attempt, self.chart.lapse, RefusedReason::Lapsed);
        }
        self.transition(attempt, self.chart.dispatch)?;
        Ok(step(Effect::Dispatch))
    }

    fn settle(
        &self,
        attempt: &mut Attempt,
        event: EventKey,
        reply: RecordedReply,
    ) -> Result<Step, Report<LedgerError>> {
        let mut next = self.respond(attempt, event, Verdict::Reply(reply.clone()))?;
        next.job = attempt.settlement(ClaimState::Settled(reply));
        Ok(next)
    }

    /// Ends the attempt with an unknown result. Only the claim's holder records that the result is unknown.
    fn end_unknown(&self, attempt: &mut Attempt) -> Result<Step, Report<LedgerError>> {
        let mut next = self.respond(attempt, self.chart.find_open, Verdict::Unknown)?;
        if attempt.other_claim.is_none() {
            next.job = attempt.settlement(ClaimState::Unknown);
        }
        Ok(next)
    }

    fn respond(
        &self,
        attempt: &mut Attempt,
        event: EventKey,
        verdict: Verdict,
    ) -> Result<Step, Report<LedgerError>> {
        self.transition(attempt, event)?;
        debug_assert_eq!(self.outcome(attempt), verdict.outcome());
        Ok(step(Effect::Respond(verdict)))
    }

    fn refuse(
        &self,
        attempt: &mut Attempt,
        event: EventKey,
        reason: RefusedReason,
    ) -> Result<Step, Report<LedgerError>> {
        let mut next = self.respond(attempt, event, Verdict::Refused(reason))?;
        if attempt.has_uncertain_insert || attempt.held_version.is_some() {
            next.job = Some(Job::abandon(&attempt.key, &attempt.row, attempt.held_version));
        }
        Ok(next)
    }
}

impl Attempt {
    /// Returns the end of the claim's validity; `None` before the first insert.
    pub fn deadline(&self) -> Option<Monotonic> {
        self.deadline
    }

    /// Returns the claim that the attempt inserts.
    pub fn row(&self) -> &ClaimRow {
        &self.row
    }

    fn has_lapsed(&self, now: Monotonic) -> bool {
        self.deadline.is_none_or(|deadline| now >= deadline)
    }

    fn insert(&mut self) -> Step {
        self.inserts += 1;
        step(Effect::Insert(RowWrite {
            key: self.key.clone(),
            expect: self.expect,
            row: self.row.clone(),
        }))
    }

    fn settlement(&self, state: ClaimState) -> Option<Job> {
        match &self.other_claim {
            Some(found) => Some(Job::settle(&self.key, found.row.with_state(state), found.version)),
            None => self
                .held_version
                .map(|version| Job::settle(&self.key, self.row.with_state(state), version)),
        }
    }
}

fn step(effect: Effect) -> Step {
    Step { effect, job: None }
}
