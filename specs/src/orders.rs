//! Orders under a lease, over the daemon's own transition functions.

mod world;

use std::time::Duration;

use membership::{Identity, LeaseEffect, LeaseInput, LeaseRow, LeaseRules, OrderLease, WriteOutcome};
use metadata::Expect;
use utils::{Epoch, Monotonic, TargetId};

use crate::Spec;

/// Hosts that want the lease at once.
const HOSTS: usize = 2;
/// Targets; all of them ignore fencing numbers.
const TARGETS: usize = 2;
/// Most writes of a host.
const WRITES: u64 = 2;
/// Times and limits of the model; one second is one tick of its clock.
const RULES: LeaseRules = LeaseRules {
    length: Duration::from_secs(2),
    margin: Duration::from_secs(1),
    max_order_latency: Duration::from_secs(1),
    limit: 1,
};

/// Two hosts that both want to load weights on two targets.
#[derive(Debug, Clone)]
pub struct Orders {
    /// Ticks of the clock.
    ticks: u64,
    /// Answers of the table service that may be lost.
    losses: u8,
    /// Hosts that may be replaced.
    kills: u8,
    /// A fault of the code.
    mutant: Option<OrdersMutant>,
}

/// A fault that the exploration must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrdersMutant {
    /// Orders are sent up to the end of the lease.
    NoMargin,
    /// A new holder does not wait for the orders of the old one.
    NoWait,
    /// A lost answer counts as success.
    NoReadBack,
    /// The lease runs from the answer to its write.
    MeasuredFromAnswer,
    /// A new holder starts with no loads.
    LoadsNotTakenOver,
}

/// What must hold in every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrdersInvariant {
    /// No order takes effect at a target after an order of a later holder.
    NoConflict,
    /// At most the stated number of loads run at once.
    LoadsWithinLimit,
    /// No order is sent after the lease has lapsed.
    NoOrderAfterLapse,
}

/// A call to the table service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Call {
    /// A write before it took place.
    Write(Write),
    /// A write with its answer.
    Written(Write, WriteOutcome),
}

/// A conditional write.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    /// What the row must be.
    expect: Expect,
    /// New content.
    row: LeaseRow,
    /// When it was asked for.
    asked_at: u64,
}

/// An order between its check and its send.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Checked {
    target: usize,
    epoch: Epoch,
    at: u64,
}

/// An order on its way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Flying {
    target: usize,
    epoch: Epoch,
    sent_at: u64,
}

/// A host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Host {
    /// Its part in the lease, as in the daemon.
    lease: OrderLease,
    /// Its call to the table service.
    call: Option<Call>,
    /// An order that is about to be sent.
    checked: Option<Checked>,
    /// Targets that got an order from this host.
    ordered: [bool; TARGETS],
    /// Time between the last write and its answer, for the mutant that measures from the answer.
    answer_time: u64,
}

/// A target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Target {
    /// Highest fencing number of the orders that took effect.
    epoch: Epoch,
    /// Whether weights are loading.
    loading: bool,
    /// Whether the version is there.
    loaded: bool,
}

/// All that decides what happens next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrdersWorld {
    /// Clock.
    now: u64,
    /// Row with its version and the time of its last write.
    row: Option<(LeaseRow, u64, u64)>,
    /// Hosts.
    hosts: Vec<Host>,
    /// Targets.
    targets: [Target; TARGETS],
    /// Orders on their way.
    flying: Vec<Flying>,
    /// Writes that will take place although their host has given them up.
    late: Vec<Write>,
    /// Answers that may still be lost.
    losses: u8,
    /// Hosts that may still be replaced.
    kills: u8,
    /// Whether an old order took effect after a newer one.
    conflict: bool,
    /// Whether an order was sent without a lease.
    lapsed: bool,
}

/// One step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrdersAction {
    /// A second passes; any host may be paused meanwhile.
    Pass,
    /// A host takes in what loads have ended, plans the next one and looks at its lease; a read is answered at once.
    Tick(usize),
    /// The table service carries out a host's call.
    Serve(usize),
    /// The table service's answer arrives.
    Answer(usize),
    /// The answer to a write is lost, before or after its effect.
    Lose(usize),
    /// A write that was given up takes place.
    ServeLate,
    /// A host checks that it may send an order.
    Check(usize, usize),
    /// A host sends the order that it checked.
    Send(usize),
    /// An order takes effect.
    Arrive(usize),
    /// A load ends.
    Finish(usize),
    /// A host is replaced under the same name.
    Replace(usize),
}

impl Orders {
    /// The specification over `ticks` seconds with lost answers and replaced hosts.
    ///
    /// ```
    /// use specs::{Orders, explore};
    ///
    /// assert!(explore(&Orders::new(1, 0, 0)).broken().is_none());
    /// ```
    pub fn new(ticks: u64, losses: u8, kills: u8) -> Self {
        Self {
            ticks,
            losses,
            kills,
            mutant: None,
        }
    }

    /// The same with a fault.
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

    /// The outcome that a host takes from an answer that was lost.
    fn lost_outcome(&self, write: &Write) -> WriteOutcome {
        if !self.has(OrdersMutant::NoReadBack) {
            return WriteOutcome::Unknown;
        }
        match write.expect {
            Expect::Absent => WriteOutcome::Applied(1),
            Expect::Version(version) => WriteOutcome::Applied(version + 1),
        }
    }

    fn tick(&self, world: &mut OrdersWorld, h: usize) -> Option<()> {
        if world.hosts[h].call.is_some() {
            return None;
        }
        world.see_ends(h);
        world.plan(h);
        let at = seconds(world.now);
        let host = &mut world.hosts[h];
        match host.lease.step(LeaseInput::Tick { wanted: true }, at) {
            Some(LeaseEffect::Read) => {
                let found = self.found(world.row.as_ref());
                world.hosts[h].lease.step(LeaseInput::Read(found), at);
            }
            Some(LeaseEffect::Write { row, .. }) if row.write > WRITES => return None,
            Some(LeaseEffect::Write { expect, row }) => {
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

    /// What a read finds.
    fn found(&self, row: Option<&(LeaseRow, u64, u64)>) -> Option<(LeaseRow, u64)> {
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

    fn lose(&self, world: &mut OrdersWorld, h: usize) -> Option<()> {
        world.losses = world.losses.checked_sub(1)?;
        let host = &mut world.hosts[h];
        let write = match host.call.take()? {
            Call::Write(write) => {
                world.late.push(write.clone());
                write
            }
            Call::Written(write, _) => write,
        };
        let outcome = self.lost_outcome(&write);
        host.lease.step(LeaseInput::Written(outcome), seconds(world.now));
        Some(())
    }

    fn replace(&self, world: &mut OrdersWorld, h: usize) -> Option<()> {
        world.kills = world.kills.checked_sub(1)?;
        if let Some(Call::Write(write)) = world.hosts[h].call.take() {
            world.late.push(write);
        }
        world.hosts[h] = self.host(h, 2);
        Some(())
    }

    fn take(&self, world: &mut OrdersWorld, action: OrdersAction) -> Option<()> {
        match action {
            OrdersAction::Pass => world.pass(self.ticks),
            OrdersAction::Tick(h) => self.tick(world, h),
            OrdersAction::Serve(h) => world.serve(h),
            OrdersAction::Answer(h) => self.answer(world, h),
            OrdersAction::Lose(h) => self.lose(world, h),
            OrdersAction::ServeLate => {
                let write = world.late.pop()?;
                world.write(&write);
                Some(())
            }
            OrdersAction::Check(h, t) => world.check(h, t),
            OrdersAction::Send(h) => world.send(h),
            OrdersAction::Arrive(i) => world.arrive(i),
            OrdersAction::Finish(t) => world.finish(t),
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
            flying: Vec::new(),
            late: Vec::new(),
            losses: self.losses,
            kills: self.kills,
            conflict: false,
            lapsed: false,
        }]
    }

    fn steps(&self, state: &OrdersWorld) -> Vec<(OrdersAction, OrdersWorld)> {
        actions(state)
            .into_iter()
            .filter_map(|action| {
                let mut next = state.clone();
                self.take(&mut next, action)?;
                (next != *state).then_some((action, next))
            })
            .collect()
    }

    fn violated(&self, state: &OrdersWorld) -> Option<OrdersInvariant> {
        let loading = state.targets.iter().filter(|t| t.loading).count();
        if state.conflict {
            return Some(OrdersInvariant::NoConflict);
        }
        if loading > RULES.limit {
            return Some(OrdersInvariant::LoadsWithinLimit);
        }
        state.lapsed.then_some(OrdersInvariant::NoOrderAfterLapse)
    }
}

fn actions(state: &OrdersWorld) -> Vec<OrdersAction> {
    // The hosts differ in nothing but their names, so that one fault may as well strike the first.
    let mut actions = vec![
        OrdersAction::Pass,
        OrdersAction::ServeLate,
        OrdersAction::Lose(0),
        OrdersAction::Replace(0),
    ];
    for h in 0..HOSTS {
        actions.extend([
            OrdersAction::Tick(h),
            OrdersAction::Serve(h),
            OrdersAction::Answer(h),
            OrdersAction::Send(h),
        ]);
        actions.extend((0..TARGETS).map(|t| OrdersAction::Check(h, t)));
    }
    actions.extend((0..TARGETS).map(OrdersAction::Finish));
    actions.extend((0..state.flying.len()).map(OrdersAction::Arrive));
    actions
}

fn seconds(n: u64) -> Monotonic {
    Duration::from_secs(n)
}

fn target(number: usize) -> TargetId {
    format!("engine-{number}").into()
}
