use utils::{HostId, Monotonic};

use crate::{
    Body, Demand, Effect, Heartbeat, HostStatus, HostTag, MAX_PAYLOAD_BYTES, Membership, MembershipEvent,
    Quarantined, Rumour, TargetSummary,
};

/// Largest encoded heartbeat without its lists, in bytes.
const FIXED_BYTES: usize = 48;
/// Largest encoded [`Rumour`], in bytes.
const RUMOUR_BYTES: usize = 22;
/// Largest encoded [`Quarantined`], in bytes.
const QUARANTINED_BYTES: usize = 17;
/// Encoded [`Demand`], in bytes.
const DEMAND_BYTES: usize = 6;
/// Encoded [`TargetSummary`], in bytes.
const SUMMARY_BYTES: usize = 10;
/// Most news about hosts in a heartbeat.
const MAX_RUMOURS: usize = 4;
/// Most quarantined requests in a heartbeat.
const MAX_QUARANTINED: usize = 1;
/// Most workspaces in a heartbeat.
const MAX_DEMAND: usize = 3;
/// Longest state of the release notes, in bytes.
const MAX_NOTES_BYTES: usize = 64;

/// Bytes that are left in a heartbeat.
struct Room(usize);

impl Room {
    /// Takes room for as many items as fit, at most `most`; returns their number.
    fn reserve(&self, bytes: usize, most: usize) -> usize {
        most.min(self.0 / bytes)
    }

    fn spend(&mut self, bytes: usize) {
        self.0 = self.0.saturating_sub(bytes);
    }
}

impl Membership {
    /// Sends a heartbeat with as much news as fits.
    pub(crate) fn send(&mut self, to: &HostId, body: Body, now: Monotonic, effects: &mut Vec<Effect>) {
        let mut heartbeat = Heartbeat::new(self.own.incarnation, body);
        heartbeat.revision = self.revision;
        heartbeat.leaving = self.leaving;
        let mut room = Room(MAX_PAYLOAD_BYTES - FIXED_BYTES);
        if self.notes.len() <= MAX_NOTES_BYTES {
            heartbeat.notes.clone_from(&self.notes);
            room.spend(self.notes.len());
        }
        heartbeat.rumours = self.next_rumours(to, &mut room);
        heartbeat.quarantined = self.next_quarantined(&mut room, now);
        heartbeat.demand = self.next_demand(&mut room);
        heartbeat.targets = self.next_summaries(&mut room, now);
        let to = to.clone();
        effects.push(Effect::Send { to, heartbeat });
    }

    /// Takes the news that a heartbeat carries.
    pub(crate) fn take_gossip(
        &mut self,
        from: &HostId,
        heartbeat: Heartbeat,
        probe_sent: Option<Monotonic>,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) {
        for rumour in &heartbeat.rumours {
            self.take_rumour(rumour, now, effects);
        }
        for summary in &heartbeat.targets {
            let read_at = Self::happened(summary.age, now);
            self.take_summary(*summary, read_at, now, effects);
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

    fn take_rumour(&mut self, rumour: &Rumour, now: Monotonic, effects: &mut Vec<Effect>) {
        if rumour.host == HostTag::of(&self.own.id) {
            self.object(rumour, effects);
            return;
        }
        let peer = self.tags.get(&rumour.host).and_then(|id| self.peers.get_mut(id));
        let Some(peer) = peer else {
            return;
        };
        let was = peer.status;
        let is_news = peer.incarnation > 0 || was != rumour.status;
        if peer.is_heard_since_suspicion(rumour) || !peer.apply(rumour, now) {
            return;
        }
        if was != rumour.status {
            effects.push(Effect::ViewChanged);
        }
        if is_news {
            self.spread(*rumour);
        }
    }

    /// Objects to news that this host is suspect or dead.
    fn object(&mut self, rumour: &Rumour, effects: &mut Vec<Effect>) {
        if rumour.incarnation > self.own.incarnation {
            effects.push(Effect::Log(MembershipEvent::Superseded(rumour.incarnation)));
            return;
        }
        let accused = matches!(rumour.status, HostStatus::Suspect | HostStatus::Dead);
        if !accused || rumour.incarnation < self.own.incarnation || rumour.revision < self.revision {
            return;
        }
        self.revision = rumour.revision + 1;
        let status = match self.leaving {
            true => HostStatus::Leaving,
            false => HostStatus::Alive,
        };
        self.spread(Rumour {
            host: rumour.host,
            incarnation: self.own.incarnation,
            revision: self.revision,
            status,
        });
    }

    /// News about hosts; first of all what the receiver should know about itself.
    fn next_rumours(&mut self, to: &HostId, room: &mut Room) -> Vec<Rumour> {
        let mut rumours = Vec::new();
        if let Some(peer) = self.peers.get(to)
            && matches!(peer.status, HostStatus::Suspect | HostStatus::Dead)
        {
            rumours.push(peer.rumour());
        }
        let most = room.reserve(RUMOUR_BYTES, MAX_RUMOURS - rumours.len());
        rumours.extend(self.rumours.take(most));
        room.spend(RUMOUR_BYTES * rumours.len());
        rumours
    }

    fn next_quarantined(&mut self, room: &mut Room, now: Monotonic) -> Vec<Quarantined> {
        let most = room.reserve(QUARANTINED_BYTES, MAX_QUARANTINED);
        let mut entries: Vec<_> = self.quarantined.take(most);
        for (entry, since) in &mut entries {
            let age = now.saturating_sub(*since).as_secs();
            entry.age = u8::try_from(age).unwrap_or(u8::MAX);
        }
        room.spend(QUARANTINED_BYTES * entries.len());
        entries.into_iter().map(|(entry, _)| entry).collect()
    }

    fn next_demand(&mut self, room: &mut Room) -> Vec<Demand> {
        let most = room.reserve(DEMAND_BYTES, MAX_DEMAND.min(self.demand.len()));
        let start = self.demand_next;
        self.demand_next = start.wrapping_add(most);
        room.spend(DEMAND_BYTES * most);
        (0..most)
            .map(|i| self.demand[start.wrapping_add(i) % self.demand.len()])
            .collect()
    }

    fn next_summaries(&mut self, room: &mut Room, now: Monotonic) -> Vec<TargetSummary> {
        let most = room.reserve(SUMMARY_BYTES, usize::MAX);
        let mut summaries = self.urgent.take(most);
        summaries.extend(self.loads.take(most - summaries.len()));
        for (summary, read_at) in &mut summaries {
            summary.age = Self::age(*read_at, now);
        }
        summaries.into_iter().map(|(summary, _)| summary).collect()
    }
}
