//! When faults begin and end.

use crate::host::Host;
use crate::sim::{Event, HOSTS, Sim};
use crate::world::{Fault, TARGETS, millis};
use rand::RngExt;

impl Sim {
    pub(crate) fn begin_fault(&mut self, fault: Fault) {
        let victim = self.rng.random_range(0..HOSTS);
        let length = millis(&mut self.rng, 300, 4_000);
        match fault {
            Fault::HostKilled => self.kill(victim),
            Fault::TargetKilled => self.world.targets[victim % TARGETS].is_down = true,
            Fault::StoreDown => self.world.is_store_down = true,
            Fault::AnswerLost => self.world.is_losing_answers = true,
            Fault::ConnectionSilent => self.world.is_silent = true,
            Fault::HolderPaused => {
                self.hosts[victim].paused_from = self.now;
                self.hosts[victim].paused_until = self.now + length;
            }
        }
        self.at(length, None, Event::FaultEnd { fault, victim });
    }

    pub(crate) fn end_fault(&mut self, fault: Fault, victim: usize) {
        match fault {
            Fault::TargetKilled => self.world.targets[victim % TARGETS].is_down = false,
            Fault::StoreDown => self.world.is_store_down = false,
            Fault::AnswerLost => self.world.is_losing_answers = false,
            Fault::ConnectionSilent => self.world.is_silent = false,
            Fault::HostKilled | Fault::HolderPaused => {}
        }
        if self.callers.iter().any(|caller| caller.last.is_none()) {
            let wait = millis(&mut self.rng, 100, 2_000);
            self.at(wait, None, Event::Fault { fault });
        }
    }

    /// A host dies and a new one takes its name; its callers see their connections break and send again.
    pub(crate) fn kill(&mut self, victim: usize) {
        let incarnation = self.hosts[victim].incarnation + 1;
        let old = std::mem::replace(&mut self.hosts[victim], Host::new(incarnation));
        self.hosts[victim].died_at = Some(self.now);
        for open in old.open.into_values() {
            let wait = millis(&mut self.rng, 1, 100);
            self.at(wait, None, Event::Caller { key: open.key });
        }
    }
}
