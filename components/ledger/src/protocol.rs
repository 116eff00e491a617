use charts::{ClaimChart, EventKey, StateKey};
use error_stack::{Report, ResultExt};
use errors::Outcome;
use metadata::{Expect, RowKey, RowVersion};
use utils::{Monotonic, TargetId};

use crate::{
    ClaimRow, ClaimState, Job, LedgerError, RecordedReply, RefusedReason, RowWrite, StoredClaim, Verdict,
};

/// Most inserts that one try sends.
const MAX_INSERTS: u8 = 3;

/// One caller's try at a call; changed only by [`Protocol::step`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// State in the chart.
    state: StateKey,
    /// Key of the call's row.
    key: RowKey,
    /// The claim that the try inserts.
    row: ClaimRow,
    /// End of the claim; read from the clock before the first insert was sent.
    deadline: Option<Monotonic>,
    /// What the next insert expects of the row.
    expect: Expect,
    /// Inserts sent.
    inserts: u8,
    /// Whether an insert may still take effect.
    is_in_doubt: bool,
    /// Version of the own claim, once it is held.
    held: Option<RowVersion>,
    /// The claim of another try, when its target is asked.
    other: Option<StoredClaim>,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// A target is chosen; the call may be claimed.
    Start,
    /// The write took effect.
    Applied(RowVersion),
    /// The write had no effect because of this row, or because there is none.
    Refused(Option<StoredClaim>),
    /// The answer is lost; the write may take effect, also later.
    Lost,
    /// The write was certainly not sent, or the read failed.
    StoreFailed,
    /// The row was read.
    Read(Option<StoredClaim>),
    /// The first byte is about to be sent.
    Send,
    /// The caller is gone or the target can't be used; nothing was sent.
    GiveUp,
    /// The target's whole answer came.
    Answered(RecordedReply),
    /// The call was not sent after all, or the target shows that it did not run it.
    NotRun,
    /// What the target did is not known.
    AnswerLost,
    /// The target says that the call ran, with this answer.
    TargetRan(RecordedReply),
    /// The target can't say that the call ran.
    TargetInconclusive,
}

/// What is to be done next for a try.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Write the row.
    Insert(RowWrite),
    /// Read the row.
    Read(RowKey),
    /// The claim is held; say [`Input::Send`] right before the first byte.
    Hold,
    /// Send the call now.
    Dispatch,
    /// Ask the target that the call went to for the outcome.
    QueryTarget(TargetId),
    /// Tell the caller.
    Respond(Verdict),
}

/// What follows from an input.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Step {
    /// What is to be done next.
    pub effect: Effect,
    /// A write that is made in the background until it is known to have taken effect or to be needless.
    pub job: Option<Job>,
}

/// The rules for calls that must not be repeated, interpreted from the chart.
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
/// let mut call = protocol.start("claim/mill/orders/7", row);
/// let at = Duration::from_secs;
/// assert!(matches!(protocol.step(&mut call, Input::Start, at(0))?.effect, Effect::Insert(_)));
/// assert_eq!(protocol.step(&mut call, Input::Applied(1), at(1))?.effect, Effect::Hold);
/// // The process was paused for longer than the claim is valid.
/// let late = protocol.step(&mut call, Input::Send, at(3))?;
/// assert!(matches!(late.effect, Effect::Respond(_)));
/// # Ok::<(), error_stack::Report<ledger::LedgerError>>(())
/// ```
#[derive(Debug, Clone)]
pub struct Protocol {
    /// The chart and its events.
    chart: ClaimChart,
}

impl Protocol {
    /// Reads the chart that is part of the program.
    ///
    /// # Errors
    /// [`LedgerError::Chart`]
    pub fn load() -> Result<Self, Report<LedgerError>> {
        let chart = ClaimChart::load().change_context(LedgerError::Chart)?;
        Ok(Self { chart })
    }

    /// A new try that will insert `row`.
    pub fn start(&self, key: impl Into<RowKey>, row: ClaimRow) -> Attempt {
        Attempt {
            state: self.chart.chart().initial(),
            key: key.into(),
            row,
            deadline: None,
            expect: Expect::Absent,
            inserts: 0,
            is_in_doubt: false,
            held: None,
            other: None,
        }
    }

    /// What may be told about the try in its present state.
    pub fn outcome(&self, call: &Attempt) -> Outcome {
        self.chart.chart().state(call.state).outcome
    }

    /// Takes an input.
    ///
    /// # Errors
    /// [`LedgerError::OutOfOrder`] if the chart does not allow the input now; the try stays as it is.
    pub fn step(
        &self,
        call: &mut Attempt,
        input: Input,
        now: Monotonic,
    ) -> Result<Step, Report<LedgerError>> {
        let events = &self.chart;
        match input {
            Input::Start => self.start_insert(call, now),
            Input::Applied(version) => self.hold(call, events.insert_applied, version),
            Input::Refused(None) | Input::Read(None) => {
                self.insert_again(call, events.absent, Expect::Absent, now)
            }
            Input::Refused(Some(found)) | Input::Read(Some(found)) => self.find(call, found, now),
            Input::Lost => self.read_back(call),
            Input::StoreFailed => self.refuse(call, events.store_failed, RefusedReason::StoreUnavailable),
            Input::Send => self.send(call, now),
            Input::GiveUp => self.refuse(call, events.give_up, RefusedReason::GaveUp),
            Input::Answered(reply) => self.settle(call, events.answer, reply),
            Input::NotRun => self.refuse(call, events.refuse_by_target, RefusedReason::ByTarget),
            Input::AnswerLost => {
                self.go(call, events.lose)?;
                Ok(step(Effect::QueryTarget(call.row.target.clone())))
            }
            Input::TargetRan(reply) => self.settle(call, events.find_ran, reply),
            Input::TargetInconclusive => self.leave_open(call),
        }
    }

    fn go(&self, call: &mut Attempt, event: EventKey) -> Result<(), Report<LedgerError>> {
        let next = self.chart.chart().next(call.state, event);
        call.state = next.ok_or_else(|| Report::new(LedgerError::OutOfOrder))?;
        Ok(())
    }

    fn start_insert(&self, call: &mut Attempt, now: Monotonic) -> Result<Step, Report<LedgerError>> {
        self.go(call, self.chart.insert)?;
        call.deadline = Some(now + call.row.valid_for());
        Ok(call.insert())
    }

    /// The deadline stays that of the first insert, which may be the one that took effect.
    fn insert_again(
        &self,
        call: &mut Attempt,
        event: EventKey,
        expect: Expect,
        now: Monotonic,
    ) -> Result<Step, Report<LedgerError>> {
        if call.inserts >= MAX_INSERTS || call.has_lapsed(now) {
            return self.refuse(call, self.chart.store_failed, RefusedReason::StoreUnavailable);
        }
        self.go(call, event)?;
        call.expect = expect;
        Ok(call.insert())
    }

    fn read_back(&self, call: &mut Attempt) -> Result<Step, Report<LedgerError>> {
        self.go(call, self.chart.answer_lost)?;
        call.is_in_doubt = true;
        Ok(step(Effect::Read(call.key.clone())))
    }

    fn hold(
        &self,
        call: &mut Attempt,
        event: EventKey,
        version: RowVersion,
    ) -> Result<Step, Report<LedgerError>> {
        self.go(call, event)?;
        call.held = Some(version);
        Ok(step(Effect::Hold))
    }

    fn find(
        &self,
        call: &mut Attempt,
        found: StoredClaim,
        now: Monotonic,
    ) -> Result<Step, Report<LedgerError>> {
        let events = &self.chart;
        if found.row.state == ClaimState::Abandoned {
            return self.insert_again(call, events.find_abandoned, Expect::Version(found.version), now);
        }
        if found.row.attempt == call.row.attempt {
            return self.hold(call, events.find_own, found.version);
        }
        if found.row.body != call.row.body {
            let reused = Verdict::Refused(RefusedReason::KeyReused);
            return self.tell(call, events.find_other_body, reused);
        }
        match found.row.state {
            ClaimState::Settled(reply) => self.tell(call, events.find_settled, Verdict::Reply(reply)),
            ClaimState::Unknown => self.ask(call, events.find_unknown, found),
            _ if found.is_holder_alive => self.tell(call, events.find_living, Verdict::InProgress),
            _ => self.ask(call, events.find_dead, found),
        }
    }

    /// Leaves a try whose caller is gone: a claim that was not used is given up, a call that was sent stays unknown.
    pub fn abort(&self, call: &mut Attempt, now: Monotonic) -> Option<Job> {
        let inputs = [
            Input::Lost,
            Input::StoreFailed,
            Input::GiveUp,
            Input::AnswerLost,
            Input::TargetInconclusive,
        ];
        inputs
            .into_iter()
            .filter_map(|input| self.step(call, input, now).ok())
            .find_map(|step| step.job)
    }

    fn ask(
        &self,
        call: &mut Attempt,
        event: EventKey,
        found: StoredClaim,
    ) -> Result<Step, Report<LedgerError>> {
        self.go(call, event)?;
        let target = found.row.target.clone();
        call.other = Some(found);
        Ok(step(Effect::QueryTarget(target)))
    }

    fn send(&self, call: &mut Attempt, now: Monotonic) -> Result<Step, Report<LedgerError>> {
        if call.has_lapsed(now) {
            return self.refuse(call, self.chart.lapse, RefusedReason::Lapsed);
        }
        self.go(call, self.chart.dispatch)?;
        Ok(step(Effect::Dispatch))
    }

    fn settle(
        &self,
        call: &mut Attempt,
        event: EventKey,
        reply: RecordedReply,
    ) -> Result<Step, Report<LedgerError>> {
        let mut next = self.tell(call, event, Verdict::Reply(reply.clone()))?;
        next.job = call.settlement(ClaimState::Settled(reply));
        Ok(next)
    }

    /// Only the holder writes that the result is not known.
    fn leave_open(&self, call: &mut Attempt) -> Result<Step, Report<LedgerError>> {
        let mut next = self.tell(call, self.chart.find_open, Verdict::Unknown)?;
        if call.other.is_none() {
            next.job = call.settlement(ClaimState::Unknown);
        }
        Ok(next)
    }

    fn tell(
        &self,
        call: &mut Attempt,
        event: EventKey,
        verdict: Verdict,
    ) -> Result<Step, Report<LedgerError>> {
        self.go(call, event)?;
        debug_assert_eq!(self.outcome(call), verdict.outcome());
        Ok(step(Effect::Respond(verdict)))
    }

    fn refuse(
        &self,
        call: &mut Attempt,
        event: EventKey,
        reason: RefusedReason,
    ) -> Result<Step, Report<LedgerError>> {
        let mut next = self.tell(call, event, Verdict::Refused(reason))?;
        if call.is_in_doubt || call.held.is_some() {
            next.job = Some(Job::abandon(&call.key, &call.row, call.held));
        }
        Ok(next)
    }
}

impl Attempt {
    /// End of the claim.
    pub fn deadline(&self) -> Option<Monotonic> {
        self.deadline
    }

    /// The claim that the try inserts.
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
        match &self.other {
            Some(found) => Some(Job::settle(&self.key, found.row.with_state(state), found.version)),
            None => self
                .held
                .map(|version| Job::settle(&self.key, self.row.with_state(state), version)),
        }
    }
}

fn step(effect: Effect) -> Step {
    Step { effect, job: None }
}
