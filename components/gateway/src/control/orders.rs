use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use error_stack::Report;
use errors::events;
use membership::{
    Identity, LeaseEffect, LeaseInput, LeaseRow, LeaseRules, LoadSlot, OrderLease, WriteOutcome,
};
use metadata::Expect;
use slog::{info, warn};
use utils::Epoch;

use super::Control;
use crate::ports::{
    Expected, Record, RecordWrite, RecordWritten, RunningRequests, StoreError, Table, WeightsOrder,
    WriteIdentity,
};
use crate::weights::{Rollout, RolloutAction, RolloutInput, is_overdue};
use crate::{DesiredWeights, Position, Target};

/// Key of the lease's row.
const LEASE_KEY: &str = "lease";
/// Length of the lease after a write of its row.
const LEASE_LENGTH: Duration = Duration::from_millis(2_100);
/// Time before the end of the lease at which orders stop.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Most load slots in the row.
const MAX_LOADS: usize = 64;
/// Number of hosts that contend for the lease.
const CONTENDERS: usize = 3;
/// Interval between steps of the lease holder.
const HOLDER_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between steps of a host that does not hold the lease.
const STANDBY_INTERVAL: Duration = Duration::from_millis(700);
/// How running requests are treated at an engine that loads new weights.
const RUNNING_REQUESTS: RunningRequests = RunningRequests::Continue;
/// Bits of a fencing token that count the holders within an era of the store.
const EPOCH_BITS: u32 = 32;
/// Name of the duty for which the contenders are ranked.
const DUTY: &[u8] = b"orders";

/// State of the lease for orders and the rollout at this host.
struct Orders {
    /// State of the control thread.
    control: Arc<Control>,
    /// The lease.
    lease: Mutex<OrderLease>,
    /// Progress of the rollout.
    rollout: Mutex<Rollout>,
    /// Load slots in the lease's row at the last step.
    known_slots: Mutex<Vec<LoadSlot>>,
    /// Era of the store in which the lease's row was read.
    era: AtomicU64,
}

/// Returns the lowest fencing token of an era. A restored store has older tokens, so those of each era are above
/// all earlier ones.
const fn first_epoch(era: u64) -> Epoch {
    era << EPOCH_BITS
}

/// Returns the largest fencing token that a row at this position can have: tokens grow by one with each holder, and
/// each holder writes the row.
const fn largest_epoch(position: Position) -> Epoch {
    first_epoch(position.era()).saturating_add(position.version())
}

/// Returns a row in place of one that can not be used. The next holder's token is above all earlier ones.
fn unknown_holder(epoch: Epoch) -> LeaseRow {
    LeaseRow {
        holder: "".into(),
        incarnation: 0,
        epoch,
        write: 0,
        loads: Vec::new(),
        is_identified: false,
    }
}

/// Contends for the lease for orders and gives orders while this host holds it.
pub(crate) async fn run_orders(control: Arc<Control>) {
    let settings = &control.traffic.settings;
    let own = Identity {
        id: settings.name.clone(),
        region: settings.region.clone(),
        incarnation: control.incarnation,
    };
    let rules = LeaseRules {
        length: LEASE_LENGTH,
        margin: LEASE_MARGIN,
        max_order_latency: settings.bounds.order_lease,
        limit: MAX_LOADS,
    };
    let orders = Arc::new(Orders {
        control,
        lease: Mutex::new(OrderLease::new(own, rules)),
        rollout: Mutex::new(Rollout::new(rules.max_order_latency)),
        known_slots: Mutex::default(),
        era: AtomicU64::new(0),
    });
    loop {
        orders.step().await;
        let pause = if orders.is_holder() {
            HOLDER_INTERVAL
        } else {
            STANDBY_INTERVAL
        };
        smol::Timer::after(pause).await;
    }
}

impl Orders {
    fn lease(&self) -> MutexGuard<'_, OrderLease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn rollout(&self) -> MutexGuard<'_, Rollout> {
        self.rollout.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn era(&self) -> u64 {
        self.era.load(Ordering::Acquire)
    }

    /// Ends the lease of an earlier era.
    fn enter_era(&self, era: u64) {
        if self.era.fetch_max(era, Ordering::AcqRel) < era {
            let now = self.control.traffic.now();
            let restored = LeaseInput::Restored {
                first_epoch: first_epoch(era),
            };
            self.lease().step(restored, now);
        }
    }

    fn is_holder(&self) -> bool {
        self.lease().is_held(self.control.traffic.now())
    }

    /// Returns whether this host contends for the lease while no host holds it. Entries of failed hosts may
    /// rank first for a while; once weights are overdue, every host with engines in its view contends.
    fn is_contender(&self) -> bool {
        let traffic = &self.control.traffic;
        let view = traffic.view.load();
        let has_engines = view.targets.values().flatten().any(|t| !t.models.is_empty());
        if !has_engines || traffic.is_draining() {
            return false;
        }
        view.owns(DUTY, &traffic.settings.name, CONTENDERS) || is_overdue(&view, traffic.now())
    }

    async fn step(self: &Arc<Self>) {
        let era = self.control.cached_state().era();
        self.enter_era(era);
        let was_holder = self.is_holder();
        let wanted = was_holder && !self.control.traffic.is_draining() || self.is_contender();
        self.step_lease(wanted).await;
        let is_holder = self.is_holder();
        self.control.traffic.telemetry.lease(is_holder);
        if is_holder && !was_holder {
            self.rollout().restart();
            info!(self.control.traffic.log, "lease taken"; events::LEASE_TAKEN);
        }
        if is_holder {
            self.step_rollout().await;
        }
    }

    async fn step_lease(&self, wanted: bool) {
        let now = self.control.traffic.now();
        let effect = self.lease().step(LeaseInput::Tick { wanted }, now);
        let input = match effect {
            None => return,
            Some(LeaseEffect::Read) => match self.read_row().await {
                Ok(found) => LeaseInput::Read(found),
                Err(_) => LeaseInput::ReadFailed,
            },
            Some(LeaseEffect::Write {
                expect,
                replaced,
                row,
            }) => LeaseInput::Written(self.write_row(expect, replaced, &row).await),
        };
        let now = self.control.traffic.now();
        self.lease().step(input, now);
    }

    async fn read_row(&self) -> Result<Option<(LeaseRow, u64)>, Report<StoreError>> {
        let snapshot = self.control.store.read(Table::Orders).await;
        self.control.record_store_call(snapshot.is_ok());
        let snapshot = snapshot?;
        self.enter_era(snapshot.position.era());
        let mut records = snapshot.records.into_iter();
        let record = records.find(|record| record.key == LEASE_KEY);
        Ok(record.and_then(|record| self.lease_row(&record)))
    }

    /// Decodes the lease's row with its version. A row that another writer has left counts as that of an unknown holder.
    fn lease_row(&self, record: &Record) -> Option<(LeaseRow, u64)> {
        let version = record.position.version();
        let value = record.value.as_deref()?;
        let largest = largest_epoch(record.position);
        let row = serde_json::from_slice(value).ok();
        let row = row.filter(|row: &LeaseRow| row.epoch <= largest);
        if row.is_none() {
            warn!(self.control.traffic.log, "row can not be used"; events::RECORD_UNUSABLE,
                "key" => &record.key, "version" => version, "bytes" => value.len());
        }
        Some((row.unwrap_or_else(|| unknown_holder(largest)), version))
    }

    async fn write_row(&self, expect: Expect, replaced: Option<String>, row: &LeaseRow) -> WriteOutcome {
        let write = RecordWrite {
            table: Table::Orders,
            key: LEASE_KEY.to_owned(),
            expect: match expect {
                Expect::Absent => Expected::Absent,
                Expect::Version(version) => Expected::At(Position::new(self.era(), version)),
            },
            value: serde_json::to_vec(row).ok(),
            identity: row.identity().map(|new| WriteIdentity { replaced, new }),
        };
        match self.control.store.write(write).await {
            Ok(RecordWritten::Applied(position)) if position.era() > self.era() => {
                self.enter_era(position.era());
                WriteOutcome::Refused
            }
            Ok(RecordWritten::Applied(position)) => WriteOutcome::Applied(position.version()),
            Ok(RecordWritten::Refused) => WriteOutcome::Refused,
            Err(_) => WriteOutcome::Unknown,
        }
    }

    async fn step_rollout(self: &Arc<Self>) {
        let now = self.control.traffic.now();
        let view = self.control.traffic.view.load_full();
        let loads = self.lease().loads().to_vec();
        self.log_new_slots(&loads);
        let orders = self.rollout().next(&view, &loads, now);
        let mut calls = Vec::new();
        for order in orders {
            match order {
                RolloutAction::Start(slot) => {
                    self.lease().step(LeaseInput::Start(slot), now);
                }
                RolloutAction::End(target) => {
                    self.lease().step(LeaseInput::End(target), now);
                }
                RolloutAction::GiveUp(target) => {
                    warn!(self.control.traffic.log, "load slot given up"; events::LOAD_SLOT_GIVEN_UP,
                        "target" => &*target);
                    self.lease().step(LeaseInput::End(target), now);
                }
                RolloutAction::Query(target) => {
                    let orders = self.clone();
                    calls.push(self.control.ex.spawn(async move { orders.query(&target).await }));
                }
                RolloutAction::Load {
                    target,
                    weights,
                    revision,
                } => {
                    let orders = self.clone();
                    let call = async move { orders.load(&target, weights, revision).await };
                    calls.push(self.control.ex.spawn(call));
                }
            }
        }
        for call in calls {
            call.detach();
        }
    }

    /// Logs the load slots that the lease's row has since the last step.
    fn log_new_slots(&self, loads: &[LoadSlot]) {
        let mut known = self.known_slots.lock().unwrap_or_else(PoisonError::into_inner);
        for slot in loads.iter().filter(|slot| !known.contains(slot)) {
            info!(self.control.traffic.log, "load slot reserved"; events::LOAD_SLOT_RESERVED,
                "target" => &*slot.target, "model" => &*slot.model, "version" => slot.version,
                "reserved" => loads.len());
        }
        loads.clone_into(&mut known);
    }

    async fn query(&self, target: &Target) {
        let report = self.control.engines.report(target.address).await;
        let input = match report {
            Ok(report) if report.born_ms == target.born_ms => RolloutInput::Reported(report),
            _ => RolloutInput::NoReport,
        };
        self.rollout().handle(target, input);
    }

    async fn load(&self, target: &Target, weights: DesiredWeights, revision: u64) {
        let is_fenced = self.control.traffic.settings.bounds.is_fenced;
        // Checked right before the send: a process that was paused must not give an order with an expired
        // lease.
        let epoch = {
            let era = self.control.cached_state().era();
            self.enter_era(era);
            let now = self.control.traffic.now();
            self.lease().epoch_for(&target.run, is_fenced, now)
        };
        let Some(epoch) = epoch else {
            self.rollout().handle(
                target,
                RolloutInput::Ordered(Some(crate::ports::OrderAnswer::Conflict)),
            );
            return;
        };
        let order = WeightsOrder {
            instance: target.instance.clone(),
            model: weights.model.clone(),
            version: weights.version,
            running: RUNNING_REQUESTS,
            holder: self.control.traffic.settings.name.to_string(),
            epoch,
            revision,
        };
        let answer = self.control.engines.order(target.address, order).await;
        info!(self.control.traffic.log, "weights ordered"; events::WEIGHTS_ORDERED,
            "target" => &target.instance, "model" => &*weights.model, "version" => weights.version, "epoch" => epoch,
            "revision" => revision, "answer" => format!("{:?}", answer.as_ref().ok()));
        self.rollout().handle(target, RolloutInput::Ordered(answer.ok()));
    }
}
