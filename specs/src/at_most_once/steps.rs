use std::time::Duration;

use ledger::{
    AttemptId, ClaimRow, ClaimState, Effect, Holder, Input, Job, JobStep, RecordedBody, RecordedReply,
    Verdict, WriteResult,
};
use utils::Monotonic;

use super::world::{HOSTS, LAST_MOMENT, OpenTry};
use super::{AtMostOnce, CallMutant, World, WorldAction};

/// Time for which a claim is valid, in milliseconds.
const VALID_MS: u64 = 1;
/// Key of the call's row.
const ROW: &str = "claim";

/// Every step that is possible.
pub(crate) fn all(spec: &AtMostOnce, world: &World) -> Vec<(WorldAction, World)> {
    let actions = offered(spec, world);
    let taken = actions.into_iter().filter_map(|action| {
        let mut next = world.clone();
        take(spec, &mut next, &action)?;
        next.normalize();
        (next != *world).then_some((action, next))
    });
    taken.collect()
}

fn offered(spec: &AtMostOnce, world: &World) -> Vec<WorldAction> {
    let mut actions = Vec::new();
    for host in 0..HOSTS {
        offer_host(spec, world, host, &mut actions);
    }
    for index in 0..world.late.len() {
        for is_duplicate in [false, true] {
            actions.push(WorldAction::LateWrite { index, is_duplicate });
        }
    }
    actions.extend(
        world
            .arriving
            .iter()
            .map(|number| WorldAction::Run { number: *number }),
    );
    if world.now < LAST_MOMENT {
        actions.push(WorldAction::Tick);
    }
    actions
}

fn offer_host(spec: &AtMostOnce, world: &World, host: usize, actions: &mut Vec<WorldAction>) {
    match &world.hosts[host].open {
        Some(open) => offer_try(world, host, &open.next, actions),
        None if world.tries < spec.tries => actions.push(WorldAction::Arrive {
            host,
            number: world.tries,
        }),
        None => {}
    }
    if !world.hosts[host].jobs.is_empty() {
        actions.push(WorldAction::Job {
            host,
            is_answer_lost: false,
        });
        if world.losses > 0 {
            actions.push(WorldAction::Job {
                host,
                is_answer_lost: true,
            });
        }
    }
    if world.kills > 0 {
        actions.push(WorldAction::Replace { host });
    }
}

fn offer_try(world: &World, host: usize, next: &Effect, actions: &mut Vec<WorldAction>) {
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
        Effect::Hold => actions.extend([WorldAction::Send { host }, WorldAction::GiveUp { host }]),
        Effect::Dispatch => actions.extend([
            WorldAction::Answer { host },
            WorldAction::RefusedByTarget { host },
            WorldAction::LoseAnswer { host },
        ]),
        Effect::Ask(_) => {
            for can_say in [false, true] {
                actions.push(WorldAction::Ask { host, can_say });
            }
        }
        Effect::Tell(_) => {}
    }
}

/// Takes a step; `None` if it is not possible.
fn take(spec: &AtMostOnce, world: &mut World, action: &WorldAction) -> Option<()> {
    match *action {
        WorldAction::Arrive { host, number } => arrive(spec, world, host, number),
        WorldAction::Write { host } => {
            let result = write(spec, world, host)?;
            input(spec, world, host, result)
        }
        WorldAction::WriteThenLose { host } => {
            write(spec, world, host)?;
            lose(spec, world, host)
        }
        WorldAction::Delay { host } => {
            let Effect::Insert(write) = &world.hosts[host].open.as_ref()?.next else {
                return None;
            };
            world.late.push(write.clone());
            lose(spec, world, host)
        }
        WorldAction::StoreFails { host } => input(spec, world, host, Input::StoreFailed),
        WorldAction::Read { host, is_suspected } => {
            let found = world.found(is_suspected);
            input(spec, world, host, Input::Read(found))
        }
        WorldAction::Send { host } => send(spec, world, host),
        WorldAction::GiveUp { host } => input(spec, world, host, Input::GiveUp),
        WorldAction::Answer { host } => {
            let number = world.hosts[host].open.as_ref()?.number;
            (world.ran[usize::from(number)] > 0).then_some(())?;
            input(spec, world, host, Input::Answered(reply()))
        }
        WorldAction::RefusedByTarget { host } => {
            let number = world.hosts[host].open.as_ref()?.number;
            let at = world.arriving.iter().position(|n| *n == number)?;
            world.arriving.remove(at);
            input(spec, world, host, Input::NotRun)
        }
        WorldAction::LoseAnswer { host } => lose_answer(spec, world, host),
        WorldAction::Ask { host, can_say } => {
            let says = can_say && world.has_run();
            let answer = if says {
                Input::TargetRan(reply())
            } else {
                Input::TargetOpen
            };
            input(spec, world, host, answer)
        }
        WorldAction::LateWrite { index, is_duplicate } => {
            let write = world.late[index].clone();
            if !is_duplicate {
                world.late.remove(index);
            }
            world.apply(&write, spec.mutant);
            Some(())
        }
        WorldAction::Job { host, is_answer_lost } => job(spec, world, host, is_answer_lost),
        WorldAction::Run { number } => {
            world.arriving.retain(|n| *n != number);
            world.ran[usize::from(number)] += 1;
            Some(())
        }
        WorldAction::Replace { host } => {
            world.kills -= 1;
            world.hosts[host].incarnation += 1;
            world.hosts[host].open = None;
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
    world.tries += 1;
    let is_other = spec.has_other_body && number + 1 == spec.tries;
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
        .step(&mut call, Input::Start, moment(world.now))
        .ok()?;
    world.hosts[host].open = Some(OpenTry {
        number,
        call,
        next: step.effect,
    });
    Some(())
}

/// Makes the write that a try waits for.
fn write(spec: &AtMostOnce, world: &mut World, host: usize) -> Option<Input> {
    let Effect::Insert(write) = world.hosts[host].open.as_ref()?.next.clone() else {
        return None;
    };
    match world.apply(&write, spec.mutant) {
        WriteResult::Applied(version) => Some(Input::Applied(version)),
        WriteResult::Refused(found) => Some(Input::Refused(found)),
        _ => None,
    }
}

fn lose(spec: &AtMostOnce, world: &mut World, host: usize) -> Option<()> {
    world.losses -= 1;
    match spec.mutant {
        Some(CallMutant::SkipReadBack) => input(spec, world, host, Input::Applied(world.version)),
        _ => input(spec, world, host, Input::Lost),
    }
}

fn send(spec: &AtMostOnce, world: &mut World, host: usize) -> Option<()> {
    let open = world.hosts[host].open.as_mut()?;
    let now = match spec.mutant {
        Some(CallMutant::DispatchAfterLapse) => Monotonic::ZERO,
        _ => moment(world.now),
    };
    let is_late = open
        .call
        .deadline()
        .is_none_or(|deadline| moment(world.now) >= deadline);
    let number = open.number;
    take_step(spec, world, host, Input::Send, now)?;
    let open = world.hosts[host].open.as_ref();
    if open.is_some_and(|open| open.next == Effect::Dispatch) {
        world.arriving.push(number);
        world.is_sent_late |= is_late;
    }
    Some(())
}

fn lose_answer(spec: &AtMostOnce, world: &mut World, host: usize) -> Option<()> {
    let number = world.hosts[host].open.as_ref()?.number;
    match spec.mutant {
        Some(CallMutant::RetryAfterDispatch) if !world.arriving.contains(&number) => {
            world.arriving.push(number);
            Some(())
        }
        Some(CallMutant::GuessNotRun) => input(spec, world, host, Input::NotRun),
        _ => input(spec, world, host, Input::AnswerLost),
    }
}

fn input(spec: &AtMostOnce, world: &mut World, host: usize, input: Input) -> Option<()> {
    if spec.mutant == Some(CallMutant::AbandonOthers)
        && let Input::Refused(Some(found)) = &input
        && found.row.state == ClaimState::Claimed
    {
        let job = Job::abandon(&ROW.to_owned(), &found.row, Some(found.version));
        world.hosts[host].jobs.push(job);
    }
    let now = moment(world.now);
    take_step(spec, world, host, input, now)
}

fn take_step(spec: &AtMostOnce, world: &mut World, host: usize, input: Input, now: Monotonic) -> Option<()> {
    let open = world.hosts[host].open.as_mut()?;
    let step = spec.protocol.step(&mut open.call, input, now).ok()?;
    let number = usize::from(open.number);
    open.next = step.effect.clone();
    world.hosts[host].jobs.extend(step.job);
    if let Effect::Tell(verdict) = step.effect {
        tell(world, host, number, &verdict);
    }
    Some(())
}

fn tell(world: &mut World, host: usize, number: usize, verdict: &Verdict) {
    world.told[number] = Some(verdict.outcome());
    world.hosts[host].open = None;
}

fn job(spec: &AtMostOnce, world: &mut World, host: usize, is_answer_lost: bool) -> Option<()> {
    let mut job = world.hosts[host].jobs.remove(0);
    let mut result = world.apply(job.write(), spec.mutant);
    if is_answer_lost {
        world.losses -= 1;
        result = WriteResult::Lost;
    }
    if job.step(&result) == JobStep::Again {
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

fn moment(now: u64) -> Monotonic {
    Duration::from_millis(now)
}
