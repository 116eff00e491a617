use std::time::Duration;

use ledger::{
    AttemptId, ClaimRow, ClaimState, Effect, Holder, Input, Job, JobStep, RecordedBody, RecordedReply,
    Verdict, WriteResult,
};
use utils::Monotonic;

use super::world::{ActiveAttempt, HOSTS, MAX_TIME};
use super::{AtMostOnce, CallMutant, World, WorldAction};

/// Validity of a claim, in milliseconds; one millisecond is one step of the clock.
const VALID_MS: u64 = 1;
/// Key of the call's row.
const ROW: &str = "claim";

/// Returns every possible step with the state that it leads to.
pub(crate) fn successors(spec: &AtMostOnce, world: &World) -> Vec<(WorldAction, World)> {
    let actions = enabled_actions(spec, world);
    let taken = actions.into_iter().filter_map(|action| {
        let mut next = world.clone();
        apply(spec, &mut next, &action)?;
        next.normalize();
        (next != *world).then_some((action, next))
    });
    taken.collect()
}

fn enabled_actions(spec: &AtMostOnce, world: &World) -> Vec<WorldAction> {
    let mut actions = Vec::new();
    for host in 0..HOSTS {
        push_host_actions(spec, world, host, &mut actions);
    }
    for index in 0..world.late_writes.len() {
        for is_duplicate in [false, true] {
            actions.push(WorldAction::LateWrite { index, is_duplicate });
        }
    }
    actions.extend(
        world
            .in_flight
            .iter()
            .map(|number| WorldAction::Run { number: *number }),
    );
    if world.now < MAX_TIME {
        actions.push(WorldAction::Tick);
    }
    actions
}

fn push_host_actions(spec: &AtMostOnce, world: &World, host: usize, actions: &mut Vec<WorldAction>) {
    match &world.hosts[host].attempt {
        Some(attempt) => push_attempt_actions(world, host, &attempt.next, actions),
        None if world.attempts < spec.attempts => actions.push(WorldAction::Arrive {
            host,
            number: world.attempts,
        }),
        None => {}
    }
    if !world.hosts[host].jobs.is_empty() {
        actions.push(WorldAction::RunJob {
            host,
            is_answer_lost: false,
        });
        if world.losses > 0 {
            actions.push(WorldAction::RunJob {
                host,
                is_answer_lost: true,
            });
        }
    }
    if world.replacements > 0 {
        actions.push(WorldAction::Replace { host });
    }
}

fn push_attempt_actions(world: &World, host: usize, next: &Effect, actions: &mut Vec<WorldAction>) {
    match next {
        Effect::Insert(_) => {
            actions.push(WorldAction::Write { host });
            actions.push(WorldAction::StoreFails { host });
            if world.losses > 0 {
                actions.push(WorldAction::WriteThenLose { host });
                actions.push(WorldAction::Delay { host });
            }
        }
        Effect::Read(_) => {
            for is_suspected in [false, true] {
                actions.push(WorldAction::Read { host, is_suspected });
            }
            actions.push(WorldAction::StoreFails { host });
        }
        Effect::Hold => actions.extend([WorldAction::Send { host }, WorldAction::Cancel { host }]),
        Effect::Dispatch => actions.extend([
            WorldAction::Answer { host },
            WorldAction::RefusedByTarget { host },
            WorldAction::LoseAnswer { host },
        ]),
        Effect::QueryTarget(_) => {
            for can_answer in [false, true] {
                actions.push(WorldAction::QueryTarget { host, can_answer });
            }
        }
        Effect::Respond(_) => {}
    }
}

/// Applies a step; returns `None` if the step is not possible.
fn apply(spec: &AtMostOnce, world: &mut World, action: &WorldAction) -> Option<()> {
    match *action {
        WorldAction::Arrive { host, number } => arrive(spec, world, host, number),
        WorldAction::Write { host } => {
            let result = write(spec, world, host)?;
            apply_input(spec, world, host, result)
        }
        WorldAction::WriteThenLose { host } => {
            write(spec, world, host)?;
            lose_write_answer(spec, world, host)
        }
        WorldAction::Delay { host } => {
            let Effect::Insert(write) = &world.hosts[host].attempt.as_ref()?.next else {
                return None;
            };
            world.late_writes.push(write.clone());
            lose_write_answer(spec, world, host)
        }
        WorldAction::StoreFails { host } => apply_input(spec, world, host, Input::StoreFailed),
        WorldAction::Read { host, is_suspected } => {
            let found = world.found(is_suspected);
            apply_input(spec, world, host, Input::Read(found))
        }
        WorldAction::Send { host } => send(spec, world, host),
        WorldAction::Cancel { host } => apply_input(spec, world, host, Input::GiveUp),
        WorldAction::Answer { host } => {
            let number = world.hosts[host].attempt.as_ref()?.number;
            (world.run_counts[usize::from(number)] > 0).then_some(())?;
            apply_input(spec, world, host, Input::Answered(reply()))
        }
        WorldAction::RefusedByTarget { host } => {
            let number = world.hosts[host].attempt.as_ref()?.number;
            let at = world.in_flight.iter().position(|n| *n == number)?;
            world.in_flight.remove(at);
            apply_input(spec, world, host, Input::NotRun)
        }
        WorldAction::LoseAnswer { host } => lose_answer(spec, world, host),
        WorldAction::QueryTarget { host, can_answer } => {
            let answers = can_answer && world.has_run();
            let answer = if answers {
                Input::TargetRan(reply())
            } else {
                Input::TargetInconclusive
            };
            apply_input(spec, world, host, answer)
        }
        WorldAction::LateWrite { index, is_duplicate } => {
            let write = world.late_writes[index].clone();
            if !is_duplicate {
                world.late_writes.remove(index);
            }
            world.apply(&write, spec.mutant);
            Some(())
        }
        WorldAction::RunJob { host, is_answer_lost } => run_job(spec, world, host, is_answer_lost),
        WorldAction::Run { number } => {
            world.in_flight.retain(|n| *n != number);
            world.run_counts[usize::from(number)] += 1;
            Some(())
        }
        WorldAction::Replace { host } => {
            world.replacements -= 1;
            world.hosts[host].incarnation += 1;
            world.hosts[host].attempt = None;
            world.hosts[host].jobs.clear();
            Some(())
        }
        WorldAction::Tick => {
            world.now += 1;
            Some(())
        }
    }
}

fn arrive(spec: &AtMostOnce, world: &mut World, host: usize, number: u8) -> Option<()> {
    world.attempts += 1;
    let is_other = spec.has_other_body && number + 1 == spec.attempts;
    let row = ClaimRow {
        attempt: AttemptId(u128::from(number)),
        holder: Holder {
            host: World::host_name(host).into(),
            incarnation: world.hosts[host].incarnation,
        },
        target: "target".into(),
        body: utils::digest(&[u8::from(is_other)]),
        valid_ms: VALID_MS,
        claimed_at_ms: 0,
        state: ClaimState::Claimed,
    };
    let mut call = spec.protocol.start(ROW, row);
    let step = spec
        .protocol
        .step(&mut call, Input::Start, model_time(world.now))
        .ok()?;
    world.hosts[host].attempt = Some(ActiveAttempt {
        number,
        call,
        next: step.effect,
    });
    Some(())
}

/// Applies the write that a host's attempt waits for and returns the input for its answer.
fn write(spec: &AtMostOnce, world: &mut World, host: usize) -> Option<Input> {
    let Effect::Insert(write) = world.hosts[host].attempt.as_ref()?.next.clone() else {
        return None;
    };
    match world.apply(&write, spec.mutant) {
        WriteResult::Applied(version) => Some(Input::Applied(version)),
        WriteResult::Refused(found) => Some(Input::Refused(found)),
        _ => None,
    }
}

fn lose_write_answer(spec: &AtMostOnce, world: &mut World, host: usize) -> Option<()> {
    world.losses -= 1;
    match spec.mutant {
        Some(CallMutant::SkipReadBack) => apply_input(spec, world, host, Input::Applied(world.version)),
        _ => apply_input(spec, world, host, Input::Lost),
    }
}

fn send(spec: &AtMostOnce, world: &mut World, host: usize) -> Option<()> {
    let attempt = world.hosts[host].attempt.as_mut()?;
    let now = match spec.mutant {
        Some(CallMutant::DispatchAfterLapse) => Monotonic::ZERO,
        _ => model_time(world.now),
    };
    let is_late = attempt
        .call
        .deadline()
        .is_none_or(|deadline| model_time(world.now) >= deadline);
    let number = attempt.number;
    step_attempt(spec, world, host, Input::Send, now)?;
    let attempt = world.hosts[host].attempt.as_ref();
    if attempt.is_some_and(|attempt| attempt.next == Effect::Dispatch) {
        world.in_flight.push(number);
        world.is_sent_late |= is_late;
    }
    Some(())
}

fn lose_answer(spec: &AtMostOnce, world: &mut World, host: usize) -> Option<()> {
    let number = world.hosts[host].attempt.as_ref()?.number;
    match spec.mutant {
        Some(CallMutant::RetryAfterDispatch) if !world.in_flight.contains(&number) => {
            world.in_flight.push(number);
            Some(())
        }
        Some(CallMutant::GuessNotRun) => apply_input(spec, world, host, Input::NotRun),
        _ => apply_input(spec, world, host, Input::AnswerLost),
    }
}

fn apply_input(spec: &AtMostOnce, world: &mut World, host: usize, input: Input) -> Option<()> {
    if spec.mutant == Some(CallMutant::AbandonOthers)
        && let Input::Refused(Some(found)) = &input
        && found.row.state == ClaimState::Claimed
    {
        let job = Job::abandon(&ROW.to_owned(), &found.row, Some(found.version));
        world.hosts[host].jobs.push(job);
    }
    let now = model_time(world.now);
    step_attempt(spec, world, host, input, now)
}

fn step_attempt(
    spec: &AtMostOnce,
    world: &mut World,
    host: usize,
    input: Input,
    now: Monotonic,
) -> Option<()> {
    let attempt = world.hosts[host].attempt.as_mut()?;
    let step = spec.protocol.step(&mut attempt.call, input, now).ok()?;
    let number = usize::from(attempt.number);
    attempt.next = step.effect.clone();
    world.hosts[host].jobs.extend(step.job);
    if let Effect::Respond(verdict) = step.effect {
        report_outcome(world, host, number, &verdict);
    }
    Some(())
}

fn report_outcome(world: &mut World, host: usize, number: usize, verdict: &Verdict) {
    world.reported[number] = Some(verdict.outcome());
    world.hosts[host].attempt = None;
}

fn run_job(spec: &AtMostOnce, world: &mut World, host: usize, is_answer_lost: bool) -> Option<()> {
    let mut job = world.hosts[host].jobs.remove(0);
    let mut result = world.apply(job.write(), spec.mutant);
    if is_answer_lost {
        world.losses -= 1;
        result = WriteResult::Lost;
    }
    if job.step(&result) == JobStep::Retry {
        world.hosts[host].jobs.push(job);
    }
    Some(())
}

fn reply() -> RecordedReply {
    RecordedReply {
        status: 200,
        content_type: String::new(),
        body: RecordedBody::Text(String::new()),
    }
}

fn model_time(now: u64) -> Monotonic {
    Duration::from_millis(now)
}
