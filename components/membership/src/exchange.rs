use utils::{HostId, Monotonic};

use crate::{
    Body, Demand, Effect, Heartbeat, HostStatus, HostTag, MAX_PAYLOAD_BYTES, Membership, MembershipEvent,
    Quarantined, Rumour, TargetSummary,
};

/// Maximum size of an encoded heartbeat without its notes and lists, in bytes.
const FIXED_BYTES: usize = 48;
/// Maximum size of an encoded [`Rumour`], in bytes.
const RUMOUR_BYTES: usize = 22;
/// Maximum size of an encoded [`Quarantined`], in bytes.
const QUARANTINED_BYTES: usize = 17;
/// Size of an encoded [`Demand`], in bytes.
const DEMAND_BYTES: usize = 6;
/// Size of an encoded [`TargetSummary`], in bytes.
const SUMMARY_BYTES: usize = 10;
/// Maximum number of rumours in a heartbeat.
const MAX_RUMOURS: usize = 4;
/// Maximum number of quarantined requests in a heartbeat.
const MAX_QUARANTINED: usize = 1;
/// Maximum number of workspaces whose demand a heartbeat carries.
const MAX_DEMAND: usize = 3;
/// Maximum size of the encoded state of the release notes, in bytes; a longer state is not sent.
const MAX_NOTES_BYTES: usize = 64;

/// Free bytes of a heartbeat.
struct FreeBytes(usize);

impl FreeBytes {
    /// Returns how many items of `bytes` bytes fit, at most `max`.
    fn items_that_fit(&self, bytes: usize, max: usize) -> usize {
        max.min(self.0 / bytes)
    }

    fn consume(&mut self, bytes: usize) {
        self.0 = self.0.saturating_sub(bytes);
    }
}

impl Membership {
    /// Sends a heartbeat with as many queued updates as fit.
    pub(crate) fn send(&mut self, to: &HostId, body: Body, now: Monotonic, effects: &mut Vec<Effect>) {
        let mut heartbeat = Heartbeat::new(self.own.incarnation, body);
        heartbeat.revision = self.revision;
        heartbeat.leaving = self.leaving;
        let mut free = FreeBytes(MAX_PAYLOAD_BYTES - FIXED_BYTES);
        if self.notes.len() <= MAX_NOTES_BYTES {
            heartbeat.notes.clone_from(&self.notes);
            free.consume(self.notes.len());
        }
        heartbeat.rumours = self.next_rumours(to, &mut free);
        heartbeat.quarantined = self.next_quarantined(&mut free, now);
        heartbeat.demand = self.next_demand(&mut free);
        heartbeat.targets = self.next_summaries(&mut free, now);
        let to = to.clone();
        effects.push(Effect::Send { to, heartbeat });
    }

    /// Applies the updates in a received heartbeat.
    pub(crate) fn apply_gossip(
        &mut self,
        from: &HostId,
        heartbeat: Heartbeat,
        probe_sent: Option<Monotonic>,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) {
        for rumour in &heartbeat.rumours {
            self.apply_rumour(rumour, now, effects);
        }
        for summary in &heartbeat.targets {
            let read_at = Self::time_at_age(summary.age, now);
            self.apply_summary(*summary, read_at, now, effects);
        }
        for entry in heartbeat.quarantined {
            effects.push(Effect::QuarantineReceived(entry));
        }
        if !heartbeat.demand.is_empty() {
            effects.push(Effect::DemandReceived {
                from: from.clone(),
                demand: heartbeat.demand,
            });
        }
        effects.push(Effect::NotesReceived {
            from: from.clone(),
            region: self.peers.get(from).map(|p| p.listed.region.clone()),
            incarnation: heartbeat.incarnation,
            probe_sent,
            notes: heartbeat.notes,
        });
    }

    fn apply_rumour(&mut self, rumour: &Rumour, now: Monotonic, effects: &mut Vec<Effect>) {
        if rumour.host == HostTag::of(&self.own.id) {
            self.refute(rumour, effects);
            return;
        }
        let peer = self.tags.get(&rumour.host).and_then(|id| self.peers.get_mut(id));
        let Some(peer) = peer else {
            return;
        };
        let previous = peer.status;
        let is_new = peer.incarnation > 0 || previous != rumour.status;
        if peer.contradicts(rumour) || !peer.apply(rumour, now) {
            return;
        }
        if previous != rumour.status {
            effects.push(Effect::ViewChanged);
        }
        if is_new {
            self.queue_rumour(*rumour);
        }
    }

    /// Refutes a rumour that this host is suspect or dead by spreading its status with a higher revision.
    fn refute(&mut self, rumour: &Rumour, effects: &mut Vec<Effect>) {
        if rumour.incarnation > self.own.incarnation {
            effects.push(Effect::Log(MembershipEvent::Superseded(rumour.incarnation)));
            return;
        }
        let reported_failed = matches!(rumour.status, HostStatus::Suspect | HostStatus::Dead);
        if !reported_failed || rumour.incarnation < self.own.incarnation || rumour.revision < self.revision {
            return;
        }
        self.revision = rumour.revision + 1;
        let status = match self.leaving {
            true => HostStatus::Leaving,
            false => HostStatus::Alive,
        };
        self.queue_rumour(Rumour {
            host: rumour.host,
            incarnation: self.own.incarnation,
            revision: self.revision,
            status,
        });
    }

    /// Takes the rumours for the next heartbeat to a host. A rumour that the receiver is suspect or dead
    /// comes first, as only the receiver can refute it.
    fn next_rumours(&mut self, to: &HostId, free: &mut FreeBytes) -> Vec<Rumour> {
        let mut rumours = Vec::new();
        if let Some(peer) = self.peers.get(to)
            && matches!(peer.status, HostStatus::Suspect | HostStatus::Dead)
        {
            rumours.push(peer.rumour());
        }
        let count = free.items_that_fit(RUMOUR_BYTES, MAX_RUMOURS - rumours.len());
        rumours.extend(self.rumours.take(count));
        free.consume(RUMOUR_BYTES * rumours.len());
        rumours
    }

    fn next_quarantined(&mut self, free: &mut FreeBytes, now: Monotonic) -> Vec<Quarantined> {
        let count = free.items_that_fit(QUARANTINED_BYTES, MAX_QUARANTINED);
        let mut entries: Vec<_> = self.quarantined.take(count);
        for (entry, quarantined_at) in &mut entries {
            let age = now.saturating_sub(*quarantined_at).as_secs();
            entry.age = u8::try_from(age).unwrap_or(u8::MAX);
        }
        free.consume(QUARANTINED_BYTES * entries.len());
        entries.into_iter().map(|(entry, _)| entry).collect()
    }

    fn next_demand(&mut self, free: &mut FreeBytes) -> Vec<Demand> {
        let count = free.items_that_fit(DEMAND_BYTES, MAX_DEMAND.min(self.demand.len()));
        let start = self.demand_next;
        self.demand_next = start.wrapping_add(count);
        free.consume(DEMAND_BYTES * count);
        (0..count)
            .map(|i| self.demand[start.wrapping_add(i) % self.demand.len()])
            .collect()
    }

    fn next_summaries(&mut self, free: &mut FreeBytes, now: Monotonic) -> Vec<TargetSummary> {
        let count = free.items_that_fit(SUMMARY_BYTES, usize::MAX);
        let mut summaries = self.urgent_summaries.take(count);
        summaries.extend(self.load_summaries.take(count - summaries.len()));
        for (summary, read_at) in &mut summaries {
            summary.age = Self::age(*read_at, now);
        }
        summaries.into_iter().map(|(summary, _)| summary).collect()
    }
}
