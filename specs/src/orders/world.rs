use std::time::Duration;

use membership::{LeaseInput, LoadSlot, WriteOutcome};
use metadata::Expect;
use utils::Epoch;

use super::{Call, CheckedOrder, InFlightOrder, OrdersWorld, RULES, TARGETS, Write, seconds, target};

impl OrdersWorld {
    /// Advances the clock, unless an order must be sent or must arrive first to meet its time limit.
    pub(super) fn advance_clock(&mut self, ticks: u64) -> Option<()> {
        let in_time = |since: u64, most: Duration| self.now < since + most.as_secs();
        let arrive_in_time = self
            .in_flight
            .iter()
            .all(|f| in_time(f.sent_at, RULES.max_order_latency));
        let checked = self.hosts.iter().filter_map(|h| h.checked.as_ref());
        let sent_in_time = checked.into_iter().all(|c| in_time(c.at, RULES.margin));
        if !arrive_in_time || !sent_in_time || self.now >= ticks {
            return None;
        }
        self.now += 1;
        Some(())
    }

    pub(super) fn apply_write(&mut self, h: usize) -> Option<()> {
        let Call::Write(write) = self.hosts[h].call.clone()? else {
            return None;
        };
        let outcome = self.write(&write);
        self.hosts[h].call = Some(Call::Written(write, outcome));
        Some(())
    }

    pub(super) fn write(&mut self, write: &Write) -> WriteOutcome {
        let version = self.row.as_ref().map_or(0, |(_, version, _)| *version);
        let expected = match write.expect {
            Expect::Absent => 0,
            Expect::Version(version) => version,
        };
        if version != expected {
            return WriteOutcome::Refused;
        }
        self.row = Some((write.row.clone(), version + 1, self.now));
        WriteOutcome::Applied(version + 1)
    }

    /// Plans a load; each host starts the search at a different target.
    pub(super) fn plan_load(&mut self, h: usize) {
        let Some(t) = (0..TARGETS)
            .map(|i| (i + h) % TARGETS)
            .find(|t| !self.targets[*t].loaded)
        else {
            return;
        };
        let slot = LoadSlot {
            target: target(t),
            model: "draft".into(),
            version: 2,
        };
        let at = seconds(self.now);
        self.hosts[h].lease.step(LeaseInput::Start(slot), at);
    }

    pub(super) fn end_loads(&mut self, h: usize) {
        let at = seconds(self.now);
        for t in (0..TARGETS).filter(|t| self.targets[*t].loaded) {
            self.hosts[h].lease.step(LeaseInput::End(target(t)), at);
        }
    }

    pub(super) fn check_order(&mut self, h: usize, t: usize) -> Option<()> {
        let now = self.now;
        let host = &mut self.hosts[h];
        let is_written = host.lease.loads().iter().any(|slot| slot.target == target(t));
        if host.ordered[t] || host.checked.is_some() || !is_written {
            return None;
        }
        let epoch = host
            .lease
            .epoch_for(&target(t), false, seconds(now.saturating_sub(host.answer_time)))?;
        host.checked = Some(CheckedOrder {
            target: t,
            epoch,
            at: now,
        });
        Some(())
    }

    pub(super) fn send_order(&mut self, h: usize) -> Option<()> {
        let checked = self.hosts[h].checked.take()?;
        self.hosts[h].ordered[checked.target] = true;
        self.sent_after_lapse |= !self.is_leased_to(h, checked.epoch);
        self.in_flight.push(InFlightOrder {
            target: checked.target,
            epoch: checked.epoch,
            sent_at: self.now,
        });
        Some(())
    }

    /// Returns whether a host holds the lease at `epoch` now according to the row.
    fn is_leased_to(&self, h: usize, epoch: Epoch) -> bool {
        self.row.as_ref().is_some_and(|(row, _, written_at)| {
            *row.holder == *format!("entry-{h}")
                && row.epoch == epoch
                && seconds(self.now) < seconds(*written_at) + RULES.length
        })
    }

    pub(super) fn deliver_order(&mut self, i: usize) -> Option<()> {
        if i >= self.in_flight.len() {
            return None;
        }
        let order = self.in_flight.remove(i);
        let target = &mut self.targets[order.target];
        self.has_conflict |= order.epoch < target.epoch;
        target.epoch = target.epoch.max(order.epoch);
        target.loading = !target.loaded;
        Some(())
    }

    pub(super) fn finish_load(&mut self, t: usize) -> Option<()> {
        let target = &mut self.targets[t];
        if !target.loading {
            return None;
        }
        target.loading = false;
        target.loaded = true;
        Some(())
    }
}
