use std::time::Duration;

use metadata::{Committed, Expect, RowVersion, Transaction};
use serde::{Deserialize, Serialize};
use utils::{Epoch, HostId, Incarnation, ModelId, Monotonic, TargetId, WeightVersion};

use crate::Identity;

/// Key of the row that holds the lease for orders to targets.
pub const ORDERS_KEY: &str = "orders/lease";

/// A weight load that was ordered and is not known to have ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LoadSlot {
    /// The target.
    pub target: TargetId,
    /// The model.
    pub model: ModelId,
    /// The version that is loaded.
    pub version: WeightVersion,
}

/// Content of the lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who may give orders.
    pub holder: HostId,
    /// Run of the holder's process.
    pub incarnation: Incarnation,
    /// Fencing number; grows with each new holder.
    pub epoch: Epoch,
    /// Number of the holder's write, to know a write again whose answer was lost.
    pub write: u64,
    /// Weight loads that count against the limit, whoever ordered them.
    pub loads: Vec<LoadSlot>,
}

/// Times and limits that all hosts must share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseRules {
    /// How long a write of the row lets its holder give orders.
    pub length: Duration,
    /// Orders stop this long before the lease lapses; covers the time between the check and the send.
    pub margin: Duration,
    /// Longest time from sending an order to its effect.
    pub max_order_latency: Duration,
    /// Most weight loads at once, over all hosts.
    pub limit: usize,
}

impl Default for LeaseRules {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(10),
            margin: Duration::from_secs(1),
            max_order_latency: Duration::from_secs(5),
            limit: 2,
        }
    }
}

/// What the table service said about a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// It took effect with this version.
    Applied(RowVersion),
    /// It took no effect.
    Refused,
    /// Its answer is lost; it may have taken effect.
    Unknown,
}

/// What the lease is told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeaseInput {
    /// Time has passed; `wanted` says whether this host should hold the lease.
    Tick {
        /// Whether this host owns the orders.
        wanted: bool,
    },
    /// The row was read; `None` if there is none.
    Read(Option<(LeaseRow, RowVersion)>),
    /// The read failed.
    ReadFailed,
    /// A write was answered, or not.
    Written(WriteOutcome),
    /// A load should start; it counts when its slot has been written.
    Start(LoadSlot),
    /// A load has ended, or its target is gone.
    End(TargetId),
}

/// What the lease asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeaseEffect {
    /// Read the row.
    Read,
    /// Write the row, if it still has the expected version.
    Write {
        /// What the row must be.
        expect: Expect,
        /// Its new content.
        row: LeaseRow,
    },
}

/// A write that is not answered so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Pending {
    /// Before the write was sent.
    asked_at: Monotonic,
    /// What is written.
    row: LeaseRow,
    /// Whether the answer is lost.
    lost: bool,
}

/// The row as this host last read or wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seen {
    /// Content; `None` if there is no row.
    row: Option<LeaseRow>,
    /// Version; 0 if there is no row.
    version: RowVersion,
    /// When this version was first seen.
    at: Monotonic,
}

/// One host's part in the lease for orders.
///
/// ```
/// use std::time::Duration;
/// use membership::{Identity, LeaseEffect, LeaseInput, LeaseRules, OrderLease};
///
/// let own = Identity { id: "entry-1".into(), region: "north".into(), incarnation: 1 };
/// let mut lease = OrderLease::new(own, LeaseRules::default());
/// let effect = lease.step(LeaseInput::Tick { wanted: true }, Duration::ZERO);
/// assert_eq!(effect, Some(LeaseEffect::Read));
/// assert_eq!(lease.epoch_for(&"engine-1".into(), false, Duration::ZERO), None);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrderLease {
    /// Who this host is.
    own: Identity,
    /// Times and limits.
    rules: LeaseRules,
    /// The row.
    seen: Option<Seen>,
    /// A write without an answer.
    pending: Option<Pending>,
    /// Whether a read is under way.
    reading: bool,
    /// Number of the last write.
    writes: u64,
    /// Until when this host may give orders, with the fencing number.
    held: Option<(Epoch, Monotonic)>,
    /// Inherited targets that ignore fencing numbers get no order before this time.
    waits_until: Monotonic,
    /// Targets of the loads that stood in the row when this host took the lease. Only these may have an order of the last
    /// holder on its way, as a load is ordered only while it is written.
    inherited: Vec<TargetId>,
    /// Loads to add with the next write.
    starting: Vec<LoadSlot>,
    /// Loads to remove with the next write.
    ending: Vec<TargetId>,
}

impl OrderLease {
    /// A host that knows nothing about the row.
    pub fn new(own: Identity, rules: LeaseRules) -> Self {
        Self {
            own,
            rules,
            seen: None,
            pending: None,
            reading: false,
            writes: 0,
            held: None,
            waits_until: Duration::ZERO,
            inherited: Vec::new(),
            starting: Vec::new(),
            ending: Vec::new(),
        }
    }

    /// Takes an input; says what to ask of the table service.
    pub fn step(&mut self, input: LeaseInput, now: Monotonic) -> Option<LeaseEffect> {
        match input {
            LeaseInput::Tick { wanted } => return self.tick(wanted, now),
            LeaseInput::Read(found) => self.take_read(found, now),
            LeaseInput::ReadFailed => self.reading = false,
            LeaseInput::Written(outcome) => self.take_written(outcome, now),
            LeaseInput::Start(slot) => self.start(slot),
            LeaseInput::End(target) => self.end(target),
        }
        None
    }

    /// The fencing number for an order to a target, if one may be sent now. Check it right before sending.
    pub fn epoch_for(&self, target: &TargetId, checks_epochs: bool, now: Monotonic) -> Option<Epoch> {
        let (epoch, until) = self.held?;
        let in_time = now + self.rules.margin < until;
        let waited = checks_epochs || now >= self.waits_until || !self.inherited.contains(target);
        (in_time && waited).then_some(epoch)
    }

    /// Loads that are written in the row; only these may be ordered.
    pub fn loads(&self) -> &[LoadSlot] {
        self.row().map_or(&[], |row| &row.loads)
    }

    /// Loads that may still be added.
    pub fn free_slots(&self) -> usize {
        let used = self.loads().len() + self.starting.len();
        self.rules.limit.saturating_sub(used)
    }

    /// Whether this host holds the lease.
    pub fn is_held(&self, now: Monotonic) -> bool {
        self.held.is_some_and(|(_, until)| now < until)
    }

    fn tick(&mut self, wanted: bool, now: Monotonic) -> Option<LeaseEffect> {
        if self.held.is_some_and(|(_, until)| now >= until) {
            self.held = None;
            self.starting.clear();
        }
        if self.reading || self.pending.as_ref().is_some_and(|p| !p.lost) {
            return None;
        }
        if self.pending.is_some() || self.seen.is_none() {
            return wanted.then(|| self.read());
        }
        if !wanted {
            return None;
        }
        if self.is_mine() {
            return self.is_write_due(now).then(|| self.write(now));
        }
        let lapsed = self.seen.as_ref().is_some_and(|s| self.has_lapsed(s, now));
        Some(if lapsed { self.write(now) } else { self.read() })
    }

    fn read(&mut self) -> LeaseEffect {
        self.reading = true;
        LeaseEffect::Read
    }

    /// Whether a third of the lease is used up, or loads have changed.
    fn is_write_due(&self, now: Monotonic) -> bool {
        let fresh = self
            .held
            .is_some_and(|(_, until)| now + self.rules.length * 2 / 3 < until);
        !fresh || !self.starting.is_empty() || !self.ending.is_empty()
    }

    /// The holder measured from before its write; this host measures from after it saw the write's effect.
    fn has_lapsed(&self, seen: &Seen, now: Monotonic) -> bool {
        seen.row.is_none() || now >= seen.at + self.rules.length
    }

    fn write(&mut self, now: Monotonic) -> LeaseEffect {
        self.writes += 1;
        let row = self.next_row();
        let version = self.seen.as_ref().map_or(0, |s| s.version);
        let expect = match version {
            0 => Expect::Absent,
            version => Expect::Version(version),
        };
        self.pending = Some(Pending {
            asked_at: now,
            row: row.clone(),
            lost: false,
        });
        LeaseEffect::Write { expect, row }
    }

    fn next_row(&self) -> LeaseRow {
        let known = self.row();
        let epoch = match known {
            Some(row) if self.is_mine() => row.epoch,
            Some(row) => row.epoch + 1,
            None => 1,
        };
        let mut loads = known.map(|row| row.loads.clone()).unwrap_or_default();
        loads.retain(|slot| !self.ending.contains(&slot.target));
        for slot in &self.starting {
            if loads.len() < self.rules.limit && !loads.iter().any(|l| l.target == slot.target) {
                loads.push(slot.clone());
            }
        }
        LeaseRow {
            holder: self.own.id.clone(),
            incarnation: self.own.incarnation,
            epoch,
            write: self.writes,
            loads,
        }
    }

    fn take_written(&mut self, outcome: WriteOutcome, now: Monotonic) {
        match outcome {
            WriteOutcome::Applied(version) => {
                if let Some(pending) = self.pending.take() {
                    self.hold(pending, version, now);
                }
            }
            WriteOutcome::Refused => {
                self.pending = None;
                self.seen = None;
                self.held = None;
                self.starting.clear();
            }
            WriteOutcome::Unknown => {
                if let Some(pending) = &mut self.pending {
                    pending.lost = true;
                }
            }
        }
    }

    /// Takes over a row that this host wrote; the lease runs from before the write was sent.
    fn hold(&mut self, pending: Pending, version: RowVersion, now: Monotonic) {
        if self.held.is_none() {
            self.waits_until = pending.asked_at + self.rules.max_order_latency;
            self.inherited = self.loads().iter().map(|slot| slot.target.clone()).collect();
        }
        self.held = Some((pending.row.epoch, pending.asked_at + self.rules.length));
        let written = &pending.row.loads;
        self.starting.retain(|slot| !written.contains(slot));
        self.ending
            .retain(|target| written.iter().any(|l| l.target == *target));
        self.seen = Some(Seen {
            row: Some(pending.row),
            version,
            at: now,
        });
    }

    fn take_read(&mut self, found: Option<(LeaseRow, RowVersion)>, now: Monotonic) {
        self.reading = false;
        let lost = self.pending.take_if(|p| p.lost);
        let (row, version) = match found {
            Some((row, version)) => (Some(row), version),
            None => (None, 0),
        };
        if let (Some(pending), Some(row)) = (lost, &row)
            && pending.row == *row
        {
            self.hold(pending, version, now);
            return;
        }
        if self.seen.as_ref().is_some_and(|s| s.version == version) {
            return;
        }
        self.held = None;
        self.seen = Some(Seen {
            row,
            version,
            at: now,
        });
    }

    fn start(&mut self, slot: LoadSlot) {
        let known = self
            .loads()
            .iter()
            .chain(&self.starting)
            .any(|l| l.target == slot.target);
        if !known && self.free_slots() > 0 {
            self.starting.push(slot);
        }
    }

    fn end(&mut self, target: TargetId) {
        let known = self.loads().iter().any(|l| l.target == target);
        if known && !self.ending.contains(&target) {
            self.ending.push(target);
        }
    }

    fn row(&self) -> Option<&LeaseRow> {
        self.seen.as_ref().and_then(|s| s.row.as_ref())
    }

    fn is_mine(&self) -> bool {
        self.row()
            .is_some_and(|row| row.holder == self.own.id && row.incarnation == self.own.incarnation)
    }
}

impl LeaseEffect {
    /// The transaction of a write.
    pub fn transaction(expect: Expect, row: &LeaseRow) -> Transaction {
        let value = serde_json::to_value(row).unwrap_or_default();
        Transaction::default().put(ORDERS_KEY, expect, value)
    }
}

impl From<Committed> for WriteOutcome {
    fn from(committed: Committed) -> Self {
        match committed {
            Committed::Applied { version } => Self::Applied(version),
            Committed::Refused { .. } => Self::Refused,
        }
    }
}
