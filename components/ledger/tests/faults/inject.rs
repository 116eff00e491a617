//! Injects faults and ends them at random times.

use crate::host::Host;
use crate::sim::{Event, HOSTS, Sim};
use crate::world::{Fault, TARGETS, random_millis};
use rand::RngExt;

impl Sim {
    pub(crate) fn begin_fault(&mut self, fault: Fault) {
        let victim = self.rng.random_range(0..HOSTS);
        let length = random_millis(&mut self.rng, 300, 4_000);
        match fault {
            Fault::HostKilled => self.kill(victim),
            Fault::TargetKilled => self.world.targets[victim % TARGETS].is_down = true,
            Fault::StoreDown => self.world.is_store_down = true,
            Fault::AnswerLost => self.world.is_losing_answers = true,
            Fault::ConnectionSilent => self.world.is_connection_silent = true,
            Fault::HolderPaused => {
                self.hosts[victim].paused_from = self.now;
                self.hosts[victim].paused_until = self.now + length;
            }
        }
        self.schedule_after(length, None, Event::FaultEnd { fault, victim });
    }

    pub(crate) fn end_fault(&mut self, fault: Fault, victim: usize) {
        match fault {
            Fault::TargetKilled => self.world.targets[victim % TARGETS].is_down = false,
            Fault::StoreDown => self.world.is_store_down = false,
            Fault::AnswerLost => self.world.is_losing_answers = false,
            Fault::ConnectionSilent => self.world.is_connection_silent = false,
            Fault::HostKilled | Fault::HolderPaused => {}
        }
        if self.callers.iter().any(|caller| caller.last.is_none()) {
            let wait = random_millis(&mut self.rng, 100, 2_000);
            self.schedule_after(wait, None, Event::Fault { fault });
        }
    }

    /// Kills a host and starts a new incarnation under its name. The connections of its callers break, and
    /// the callers send their requests again.
    pub(crate) fn kill(&mut self, victim: usize) {
        let incarnation = self.hosts[victim].incarnation + 1;
        let old = std::mem::replace(&mut self.hosts[victim], Host::new(incarnation));
        self.hosts[victim].replaced_at = Some(self.now);
        for in_flight in old.in_flight.into_values() {
            let wait = random_millis(&mut self.rng, 1, 100);
            self.schedule_after(wait, None, Event::Caller { key: in_flight.key });
        }
    }
}
