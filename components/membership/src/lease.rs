use std::time::Duration;

use metadata::{Committed, Expect, RowVersion, Transaction};
use utils::{Epoch, Monotonic, TargetId};

use crate::{Identity, LeaseRow, LoadSlot};

/// Key of the row that holds the lease for orders to targets.
pub const ORDERS_KEY: &str = "orders/lease";

/// Times and limits of the lease; must be the same at all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseRules {
    /// Time for which a write of the row extends the lease.
    pub length: Duration,
    /// Time before the end of the lease at which orders stop; covers the time between the check and the send.
    pub margin: Duration,
    /// Maximum time from sending an order to its effect.
    pub max_order_latency: Duration,
    /// Maximum number of weight loads at once, over all hosts.
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

/// Result of a write to the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// The write took effect; the row has this version.
    Applied(RowVersion),
    /// The write took no effect.
    Refused,
    /// The answer was lost; the write may have taken effect.
    Unknown,
}

/// An input of the lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeaseInput {
    /// Time has passed.
    Tick {
        /// Whether this host should hold the lease.
        wanted: bool,
    },
    /// The row was read; `None` if it does not exist.
    Read(Option<(LeaseRow, RowVersion)>),
    /// The read failed.
    ReadFailed,
    /// A write has ended, with or without an answer.
    Written(WriteOutcome),
    /// A load should start. It may be ordered once its slot is written in the row.
    Start(LoadSlot),
    /// The load at a target has ended, or the target no longer exists.
    End(TargetId),
    /// The table service was restored from an older copy; what was read and written before may be lost.
    Restored {
        /// Lowest fencing token that no holder has had before.
        first_epoch: Epoch,
    },
}

/// A request to the table service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeaseEffect {
    /// Read the row.
    Read,
    /// Write the row if it has the expected version and its last write is the expected one.
    Write {
        /// Expected state of the row.
        expect: Expect,
        /// Identity of the expected last write, if it has one.
        replaced: Option<String>,
        /// New content of the row.
        row: LeaseRow,
    },
}

/// A write without an answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingWrite {
    /// Time before the write was sent.
    sent_at: Monotonic,
    /// Content of the write.
    row: LeaseRow,
    /// Whether the answer was lost.
    answer_lost: bool,
}

/// The row as this host last read or wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ObservedRow {
    /// Content; `None` if the row does not exist.
    row: Option<LeaseRow>,
    /// Version; 0 if the row does not exist.
    version: RowVersion,
    /// Time at which this host first observed this version.
    at: Monotonic,
}

/// State of the lease for orders to targets at one host.
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
    /// Identity of this host.
    own: Identity,
    /// Times and limits.
    rules: LeaseRules,
    /// The last observed row; `None` if it is not known.
    observed: Option<ObservedRow>,
    /// A write without an answer.
    pending: Option<PendingWrite>,
    /// Whether a read is in flight.
    reading: bool,
    /// Number of the last write of this host.
    last_write: u64,
    /// Fencing token and end of the lease, while this host holds it.
    held: Option<(Epoch, Monotonic)>,
    /// Time before which inherited targets that do not check fencing tokens get no order.
    inherited_blocked_until: Monotonic,
    /// Targets of the loads that were in the row when this host took the lease. Only these may have an order
    /// of the previous holder in flight, as a load is ordered only while its slot is in the row.
    inherited: Vec<TargetId>,
    /// Whether a holder of before a restore may have orders in flight at any target.
    inherits_unknown: bool,
    /// Lowest fencing token since the table service was last restored.
    first_epoch: Epoch,
    /// Loads to add to the row with the next write.
    starting: Vec<LoadSlot>,
    /// Targets whose loads the next write removes from the row.
    ending: Vec<TargetId>,
}

impl OrderLease {
    /// Creates the state of a host that has not read the row.
    pub fn new(own: Identity, rules: LeaseRules) -> Self {
        Self {
            own,
            rules,
            observed: None,
            pending: None,
            reading: false,
            last_write: 0,
            held: None,
            inherited_blocked_until: Duration::ZERO,
            inherited: Vec::new(),
            inherits_unknown: false,
            first_epoch: 0,
            starting: Vec::new(),
            ending: Vec::new(),
        }
    }

    /// Processes an input; returns the next request to the table service, if any.
    pub fn step(&mut self, input: LeaseInput, now: Monotonic) -> Option<LeaseEffect> {
        match input {
            LeaseInput::Tick { wanted } => return self.tick(wanted, now),
            LeaseInput::Read(found) => self.handle_read(found, now),
            LeaseInput::ReadFailed => self.reading = false,
            LeaseInput::Written(outcome) => self.handle_written(outcome, now),
            LeaseInput::Start(slot) => self.start(slot),
            LeaseInput::End(target) => self.end(target),
            LeaseInput::Restored { first_epoch } => self.restored(first_epoch),
        }
        None
    }

    /// Returns the fencing token for an order to a target if an order may be sent now. Must be called right
    /// before sending.
    pub fn epoch_for(&self, target: &TargetId, checks_epochs: bool, now: Monotonic) -> Option<Epoch> {
        let (epoch, until) = self.held?;
        let is_in_time = now + self.rules.margin < until;
        let is_inherited = self.inherits_unknown || self.inherited.contains(target);
        let is_unblocked = checks_epochs || now >= self.inherited_blocked_until || !is_inherited;
        (is_in_time && is_unblocked).then_some(epoch)
    }

    /// Returns the loads in the row; only these may be ordered.
    pub fn loads(&self) -> &[LoadSlot] {
        self.row().map_or(&[], |row| &row.loads)
    }

    /// Returns the number of loads that can be added.
    pub fn free_slots(&self) -> usize {
        let used = self.loads().len() + self.starting.len();
        self.rules.limit.saturating_sub(used)
    }

    /// Returns whether this host holds the lease.
    pub fn is_held(&self, now: Monotonic) -> bool {
        self.held.is_some_and(|(_, until)| now < until)
    }

    fn tick(&mut self, wanted: bool, now: Monotonic) -> Option<LeaseEffect> {
        if self.held.is_some_and(|(_, until)| now >= until) {
            self.held = None;
            self.starting.clear();
        }
        if self.reading || self.pending.as_ref().is_some_and(|p| !p.answer_lost) {
            return None;
        }
        if self.pending.is_some() || self.observed.is_none() {
            return wanted.then(|| self.read());
        }
        if !wanted {
            return None;
        }
        if self.is_own_row() {
            return self.is_write_due(now).then(|| self.write(now));
        }
        let lapsed = self.observed.as_ref().is_some_and(|s| self.has_lapsed(s, now));
        Some(if lapsed { self.write(now) } else { self.read() })
    }

    fn read(&mut self) -> LeaseEffect {
        self.reading = true;
        LeaseEffect::Read
    }

    /// Returns whether at least a third of the lease has passed, or loads have changed.
    fn is_write_due(&self, now: Monotonic) -> bool {
        let is_fresh = self
            .held
            .is_some_and(|(_, until)| now + self.rules.length * 2 / 3 < until);
        !is_fresh || !self.starting.is_empty() || !self.ending.is_empty()
    }

    /// Returns whether the lease of the observed row has expired. The holder measures its length from before
    /// the write, this host from after the write was observed, which is never earlier. A restored table service may have
    /// lost the row of a holder that does not know of the restore yet.
    fn has_lapsed(&self, observed: &ObservedRow, now: Monotonic) -> bool {
        let was_never_held = observed.row.is_none() && self.first_epoch == 0;
        was_never_held || now >= observed.at + self.rules.length
    }

    fn write(&mut self, now: Monotonic) -> LeaseEffect {
        self.last_write += 1;
        let row = self.next_row();
        let version = self.observed.as_ref().map_or(0, |s| s.version);
        let expect = match version {
            0 => Expect::Absent,
            version => Expect::Version(version),
        };
        self.pending = Some(PendingWrite {
            sent_at: now,
            row: row.clone(),
            answer_lost: false,
        });
        LeaseEffect::Write {
            expect,
            replaced: self.row().and_then(LeaseRow::identity),
            row,
        }
    }

    fn next_row(&self) -> LeaseRow {
        let current = self.row();
        let epoch = match current {
            Some(row) if self.is_own_row() && row.epoch >= self.first_epoch => row.epoch,
            Some(row) => row.epoch.saturating_add(1).max(self.first_epoch),
            None => self.first_epoch.max(1),
        };
        let mut loads = current.map(|row| row.loads.clone()).unwrap_or_default();
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
            write: self.last_write,
            loads,
            is_identified: true,
        }
    }

    fn handle_written(&mut self, outcome: WriteOutcome, now: Monotonic) {
        match outcome {
            WriteOutcome::Applied(version) => {
                if let Some(pending) = self.pending.take() {
                    self.confirm_write(pending, version, now);
                }
            }
            WriteOutcome::Refused => {
                self.pending = None;
                self.observed = None;
                self.held = None;
                self.starting.clear();
            }
            WriteOutcome::Unknown => {
                if let Some(pending) = &mut self.pending {
                    pending.answer_lost = true;
                }
            }
        }
    }

    /// Records that a write of this host took effect. The lease runs from the time before the write was sent.
    fn confirm_write(&mut self, pending: PendingWrite, version: RowVersion, now: Monotonic) {
        if self.held.is_none() {
            self.inherited_blocked_until = pending.sent_at + self.rules.max_order_latency;
            self.inherited = self.loads().iter().map(|slot| slot.target.clone()).collect();
            let last_epoch = self.row().map_or(0, |row| row.epoch);
            self.inherits_unknown = last_epoch < self.first_epoch;
        }
        self.held = Some((pending.row.epoch, pending.sent_at + self.rules.length));
        let written = &pending.row.loads;
        self.starting.retain(|slot| !written.contains(slot));
        self.ending
            .retain(|target| written.iter().any(|l| l.target == *target));
        self.observed = Some(ObservedRow {
            row: Some(pending.row),
            version,
            at: now,
        });
    }

    fn handle_read(&mut self, found: Option<(LeaseRow, RowVersion)>, now: Monotonic) {
        self.reading = false;
        let unconfirmed = self.pending.take_if(|p| p.answer_lost);
        let (row, version) = match found {
            Some((row, version)) => (Some(row), version),
            None => (None, 0),
        };
        if let (Some(pending), Some(row)) = (unconfirmed, &row)
            && pending.row == *row
        {
            self.confirm_write(pending, version, now);
            return;
        }
        if self.observed.as_ref().is_some_and(|s| s.version == version) {
            return;
        }
        self.held = None;
        self.observed = Some(ObservedRow {
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

    /// Forgets the row and ends the lease: another host may take it by what the restored service has.
    fn restored(&mut self, first_epoch: Epoch) {
        self.first_epoch = self.first_epoch.max(first_epoch);
        self.observed = None;
        self.pending = None;
        self.reading = false;
        self.held = None;
        self.starting.clear();
        self.ending.clear();
    }

    fn row(&self) -> Option<&LeaseRow> {
        self.observed.as_ref().and_then(|s| s.row.as_ref())
    }

    fn is_own_row(&self) -> bool {
        self.row()
            .is_some_and(|row| row.holder == self.own.id && row.incarnation == self.own.incarnation)
    }
}

impl LeaseEffect {
    /// Returns the transaction of a write.
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
