//! Specification of orders that a host sends while it holds a lease. It runs the daemon's own transition
//! functions.

mod world;

use std::time::Duration;

use membership::{Identity, LeaseEffect, LeaseInput, LeaseRow, LeaseRules, OrderLease, WriteOutcome};
use metadata::Expect;
use utils::{Epoch, Monotonic, TargetId};

use crate::Spec;

/// Number of hosts that compete for the lease.
const HOSTS: usize = 2;
/// Number of targets; none of them checks fencing tokens.
const TARGETS: usize = 2;
/// Maximum number of writes of a host.
const MAX_WRITES: u64 = 2;
/// Lease rules of the model; one second is one tick of its clock.
const RULES: LeaseRules = LeaseRules {
    length: Duration::from_secs(2),
    margin: Duration::from_secs(1),
    max_order_latency: Duration::from_secs(1),
    limit: 1,
};

/// Specification of two hosts that both load weights on two targets.
#[derive(Debug, Clone)]
pub struct Orders {
    /// Length of a run, in ticks of the clock.
    ticks: u64,
    /// Number of the table service's answers that may be lost.
    losses: u8,
    /// Number of times that a host may be replaced.
    replacements: u8,
    /// Fault that is built into the model.
    mutant: Option<OrdersMutant>,
}

/// A fault built into the model, which the exploration must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrdersMutant {
    /// A holder sends orders up to the end of its lease.
    NoMargin,
    /// A new holder does not wait until the previous holder's orders have arrived.
    NoWait,
    /// A host takes a lost answer as success.
    NoReadBack,
    /// A host measures the lease from the answer to its write instead of from the write.
    MeasuredFromAnswer,
    /// A new holder does not take over the loads in progress.
    LoadsNotTakenOver,
}

/// A property that must hold in every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrdersInvariant {
    /// No order takes effect at a target after an order of a later holder.
    NoConflict,
    /// The number of concurrent loads stays within the limit.
    LoadsWithinLimit,
    /// No order is sent after the lease has lapsed.
    NoOrderAfterLapse,
}

/// A call to the table service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Call {
    /// A write that has not taken effect.
    Write(Write),
    /// A write that has taken effect or was refused, with its answer.
    Written(Write, WriteOutcome),
}

/// A conditional write.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    /// Condition on the row.
    expect: Expect,
    /// New content of the row.
    row: LeaseRow,
    /// Time at which the host requested the write, in ticks.
    asked_at: u64,
}

/// An order that was checked against the lease and is about to be sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CheckedOrder {
    target: usize,
    epoch: Epoch,
    at: u64,
}

/// An order that was sent and has not arrived.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct InFlightOrder {
    target: usize,
    epoch: Epoch,
    sent_at: u64,
}

/// State of a host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Host {
    /// The daemon's state of the lease.
    lease: OrderLease,
    /// Pending call to the table service.
    call: Option<Call>,
    /// Order that is about to be sent.
    checked: Option<CheckedOrder>,
    /// Whether this host has sent an order to each target.
    ordered: [bool; TARGETS],
    /// Time between the last write and its answer, in ticks; only [`OrdersMutant::MeasuredFromAnswer`] sets
    /// it.
    answer_time: u64,
}

/// State of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Target {
    /// Highest fencing token of the orders that took effect.
    epoch: Epoch,
    /// Whether a load is in progress.
    loading: bool,
    /// Whether the version is loaded.
    loaded: bool,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrdersWorld {
    /// The clock, in ticks.
    now: u64,
    /// Lease row, its version and the time of its last write in ticks.
    row: Option<(LeaseRow, u64, u64)>,
    /// The hosts.
    hosts: Vec<Host>,
    /// The targets.
    targets: [Target; TARGETS],
    /// Orders that were sent and have not arrived.
    in_flight: Vec<InFlightOrder>,
    /// Writes that may still take effect although their host no longer waits for the answer.
    late_writes: Vec<Write>,
    /// Number of answers that may still be lost.
    losses: u8,
    /// Number of times that a host may still be replaced.
    replacements: u8,
    /// Whether an order took effect at a target after an order with a higher fencing token.
    has_conflict: bool,
    /// Whether a host without a valid lease sent an order.
    sent_after_lapse: bool,
}

/// A step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrdersAction {
    /// The clock advances by one second, also while hosts are paused.
    AdvanceClock,
    /// A host records the loads that have ended, plans the next load and steps its lease; a read is answered
    /// immediately.
    StepHost(usize),
    /// The table service applies a host's write.
    ApplyWrite(usize),
    /// The table service's answer arrives.
    Answer(usize),
    /// The answer to a write is lost, before or after the write takes effect.
    LoseAnswer(usize),
    /// A late write takes effect.
    ApplyLateWrite,
    /// A host checks its lease before it sends an order to a target.
    Check(usize, usize),
    /// A host sends the order that it checked.
    Send(usize),
    /// An order arrives and takes effect.
    Arrive(usize),
    /// A load ends.
    Finish(usize),
    /// A host's process ends and a new process with the same name starts.
    Replace(usize),
}

impl Orders {
    /// Builds the specification over `ticks` seconds with at most `losses` lost answers and `replacements`
    /// replaced hosts.
    ///
    /// ```
    /// use specs::{Orders, explore};
    ///
    /// assert!(explore(&Orders::new(1, 0, 0)).broken().is_none());
    /// ```
    pub fn new(ticks: u64, losses: u8, replacements: u8) -> Self {
        Self {
            ticks,
            losses,
            replacements,
            mutant: None,
        }
    }

    /// Builds a fault into the model.
    pub fn with_mutant(mut self, mutant: OrdersMutant) -> Self {
        self.mutant = Some(mutant);
        self
    }

    fn has(&self, mutant: OrdersMutant) -> bool {
        self.mutant == Some(mutant)
    }

    fn rules(&self) -> LeaseRules {
        let mut rules = RULES;
        if self.has(OrdersMutant::NoMargin) {
            rules.margin = Duration::ZERO;
        }
        if self.has(OrdersMutant::NoWait) {
            rules.max_order_latency = Duration::ZERO;
        }
        rules
    }

    fn host(&self, number: usize, incarnation: u64) -> Host {
        let own = Identity {
            id: format!("entry-{number}").into(),
            region: "north".into(),
            incarnation,
        };
        Host {
            lease: OrderLease::new(own, self.rules()),
            call: None,
            checked: None,
            ordered: [false; TARGETS],
            answer_time: 0,
        }
    }

    /// Returns the outcome that a host assumes when the answer to a write is lost.
    fn lost_outcome(&self, write: &Write) -> WriteOutcome {
        if !self.has(OrdersMutant::NoReadBack) {
            return WriteOutcome::Unknown;
        }
        match write.expect {
            Expect::Absent => WriteOutcome::Applied(1),
            Expect::Version(version) => WriteOutcome::Applied(version + 1),
        }
    }

    fn step_host(&self, world: &mut OrdersWorld, h: usize) -> Option<()> {
        if world.hosts[h].call.is_some() {
            return None;
        }
        world.end_loads(h);
        world.plan_load(h);
        let at = seconds(world.now);
        let host = &mut world.hosts[h];
        match host.lease.step(LeaseInput::Tick { wanted: true }, at) {
            Some(LeaseEffect::Read) => {
                let found = self.read_result(world.row.as_ref());
                world.hosts[h].lease.step(LeaseInput::Read(found), at);
            }
            Some(LeaseEffect::Write { row, .. }) if row.write > MAX_WRITES => return None,
            Some(LeaseEffect::Write { expect, row, .. }) => {
                let asked_at = world.now;
                host.call = Some(Call::Write(Write {
                    expect,
                    row,
                    asked_at,
                }));
            }
            None => {}
        }
        Some(())
    }

    /// Returns the row and version that a host reads.
    fn read_result(&self, row: Option<&(LeaseRow, u64, u64)>) -> Option<(LeaseRow, u64)> {
        let (mut row, version, _) = row?.clone();
        if self.has(OrdersMutant::LoadsNotTakenOver) {
            row.loads.clear();
        }
        Some((row, version))
    }

    fn answer(&self, world: &mut OrdersWorld, h: usize) -> Option<()> {
        let host = &mut world.hosts[h];
        let call = host.call.take_if(|c| matches!(c, Call::Written(..)))?;
        let Call::Written(write, outcome) = call else {
            return None;
        };
        if self.has(OrdersMutant::MeasuredFromAnswer) {
            host.answer_time = world.now - write.asked_at;
        }
        host.lease.step(LeaseInput::Written(outcome), seconds(world.now));
        Some(())
    }

    fn lose_answer(&self, world: &mut OrdersWorld, h: usize) -> Option<()> {
        world.losses = world.losses.checked_sub(1)?;
        let host = &mut world.hosts[h];
        let write = match host.call.take()? {
            Call::Write(write) => {
                world.late_writes.push(write.clone());
                write
            }
            Call::Written(write, _) => write,
        };
        let outcome = self.lost_outcome(&write);
        host.lease.step(LeaseInput::Written(outcome), seconds(world.now));
        Some(())
    }

    fn replace(&self, world: &mut OrdersWorld, h: usize) -> Option<()> {
        world.replacements = world.replacements.checked_sub(1)?;
        if let Some(Call::Write(write)) = world.hosts[h].call.take() {
            world.late_writes.push(write);
        }
        world.hosts[h] = self.host(h, 2);
        Some(())
    }

    fn apply(&self, world: &mut OrdersWorld, action: OrdersAction) -> Option<()> {
        match action {
            OrdersAction::AdvanceClock => world.advance_clock(self.ticks),
            OrdersAction::StepHost(h) => self.step_host(world, h),
            OrdersAction::ApplyWrite(h) => world.apply_write(h),
            OrdersAction::Answer(h) => self.answer(world, h),
            OrdersAction::LoseAnswer(h) => self.lose_answer(world, h),
            OrdersAction::ApplyLateWrite => {
                let write = world.late_writes.pop()?;
                world.write(&write);
                Some(())
            }
            OrdersAction::Check(h, t) => world.check_order(h, t),
            OrdersAction::Send(h) => world.send_order(h),
            OrdersAction::Arrive(i) => world.deliver_order(i),
            OrdersAction::Finish(t) => world.finish_load(t),
            OrdersAction::Replace(h) => self.replace(world, h),
        }
    }
}

impl Spec for Orders {
    type State = OrdersWorld;
    type Action = OrdersAction;
    type Invariant = OrdersInvariant;

    fn initial(&self) -> Vec<OrdersWorld> {
        vec![OrdersWorld {
            now: 0,
            row: None,
            hosts: (0..HOSTS).map(|number| self.host(number, 1)).collect(),
            targets: [Target::default(); TARGETS],
            in_flight: Vec::new(),
            late_writes: Vec::new(),
            losses: self.losses,
            replacements: self.replacements,
            has_conflict: false,
            sent_after_lapse: false,
        }]
    }

    fn steps(&self, state: &OrdersWorld) -> Vec<(OrdersAction, OrdersWorld)> {
        enabled_actions(state)
            .into_iter()
            .filter_map(|action| {
                let mut next = state.clone();
                self.apply(&mut next, action)?;
                (next != *state).then_some((action, next))
            })
            .collect()
    }

    fn violated(&self, state: &OrdersWorld) -> Option<OrdersInvariant> {
        let loading = state.targets.iter().filter(|t| t.loading).count();
        if state.has_conflict {
            return Some(OrdersInvariant::NoConflict);
        }
        if loading > RULES.limit {
            return Some(OrdersInvariant::LoadsWithinLimit);
        }
        state
            .sent_after_lapse
            .then_some(OrdersInvariant::NoOrderAfterLapse)
    }
}

fn enabled_actions(state: &OrdersWorld) -> Vec<OrdersAction> {
    // The hosts differ only in their names, so faults of the first host cover those of the second.
    let mut actions = vec![
        OrdersAction::AdvanceClock,
        OrdersAction::ApplyLateWrite,
        OrdersAction::LoseAnswer(0),
        OrdersAction::Replace(0),
    ];
    for h in 0..HOSTS {
        actions.extend([
            OrdersAction::StepHost(h),
            OrdersAction::ApplyWrite(h),
            OrdersAction::Answer(h),
            OrdersAction::Send(h),
        ]);
        actions.extend((0..TARGETS).map(|t| OrdersAction::Check(h, t)));
    }
    actions.extend((0..TARGETS).map(OrdersAction::Finish));
    actions.extend((0..state.in_flight.len()).map(OrdersAction::Arrive));
    actions
}

fn seconds(n: u64) -> Monotonic {
    Duration::from_secs(n)
}

fn target(number: usize) -> TargetId {
    format!("engine-{number}").into()
}
