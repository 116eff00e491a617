use std::time::Duration;

use utils::{HostId, Monotonic};

use crate::peer::{DEAD_AFTER, OutstandingProbe, PROBE_TIMEOUT, Peer, SUSPECT_AFTER};
use crate::{Body, Effect, Heartbeat, HostStatus, HostTag, Membership, MembershipEvent, Rumour};

/// Time between two probes of a round.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of hosts that are asked for an indirect probe of a silent host.
const INDIRECT_PROBES: usize = 2;
/// Maximum number of indirect probes in flight; when it is reached, all are dropped.
const MAX_RELAYED_PROBES: usize = 32;

impl Membership {
    pub(crate) fn tick(&mut self, previous_input: Monotonic, now: Monotonic, effects: &mut Vec<Effect>) {
        self.update_isolation(now, effects);
        for id in self.neighbours.clone() {
            self.check_neighbour(&id, now, effects);
        }
        self.declare_dead(now, effects);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_INTERVAL;
            self.probe_next(now, effects);
        }
        let recovered = self
            .peers
            .values()
            .any(|p| p.damping.is_usable(now) && !p.damping.is_usable(previous_input));
        if recovered || self.targets.has_hold_ended(previous_input, now) {
            effects.push(Effect::ViewChanged);
        }
    }

    /// Sends a probe and records the time of sending.
    pub(crate) fn probe(&mut self, to: &HostId, now: Monotonic, effects: &mut Vec<Effect>) {
        let nonce = self.nonce();
        let Some(peer) = self.peers.get_mut(to) else {
            return;
        };
        let previous = peer.outstanding;
        peer.outstanding = Some(OutstandingProbe {
            nonce,
            sent: now,
            indirect_sent: previous.is_some_and(|o| o.indirect_sent),
        });
        peer.silent_since.get_or_insert(now);
        self.send(to, Body::Probe { nonce }, now, effects);
    }

    pub(crate) fn receive(
        &mut self,
        from: &HostId,
        heartbeat: Heartbeat,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) {
        if *from == self.own.id {
            return;
        }
        if !self.update_sender(from, &heartbeat, now, effects) {
            return;
        }
        let probe_sent = self.handle_body(from, &heartbeat, now, effects);
        self.apply_gossip(from, heartbeat, probe_sent, now, effects);
    }

    fn probe_next(&mut self, now: Monotonic, effects: &mut Vec<Effect>) {
        if self.round.is_empty() {
            let mut round = self.neighbours.clone();
            self.shuffle(&mut round);
            self.round = round;
        }
        if let Some(to) = self.round.pop() {
            self.probe(&to, now, effects);
        }
    }

    /// Updates the state of the sender of a heartbeat; returns `false` for a heartbeat of an earlier
    /// incarnation.
    fn update_sender(
        &mut self,
        from: &HostId,
        heartbeat: &Heartbeat,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(from) else {
            return true;
        };
        if heartbeat.incarnation < peer.incarnation {
            return false;
        }
        let restarted = heartbeat.incarnation > peer.incarnation && peer.last_contact.is_some();
        let status = match heartbeat.leaving {
            true => HostStatus::Leaving,
            false => HostStatus::Alive,
        };
        let rumour = Rumour {
            host: HostTag::of(from),
            incarnation: heartbeat.incarnation,
            revision: heartbeat.revision,
            status,
        };
        let previous = peer.status;
        let is_new = peer.incarnation > 0 || previous != status;
        if peer.apply(&rumour, now) {
            if is_new {
                self.queue_rumour(rumour);
            }
            if previous != status {
                effects.push(Effect::ViewChanged);
            }
        }
        if restarted {
            let event = MembershipEvent::HostRestarted(from.clone());
            effects.push(Effect::Log(event));
            effects.push(Effect::ViewChanged);
        }
        true
    }

    fn handle_body(
        &mut self,
        from: &HostId,
        heartbeat: &Heartbeat,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) -> Option<Monotonic> {
        match heartbeat.body {
            Body::Probe { nonce } => {
                self.send(from, Body::Echo { nonce }, now, effects);
                None
            }
            Body::Echo { nonce } => self.handle_echo(from, nonce, heartbeat, now, effects),
            Body::ProbeFor { nonce, about } => {
                self.relay_probe(from, nonce, about, now, effects);
                None
            }
            Body::Vouch {
                nonce,
                about,
                incarnation,
            } => {
                self.handle_vouch(nonce, about, incarnation);
                None
            }
        }
    }

    /// Handles an answer to a probe. The contact with the peer counts as of the time at which the probe was
    /// sent, as the answer may have waited in a buffer.
    fn handle_echo(
        &mut self,
        from: &HostId,
        nonce: u64,
        heartbeat: &Heartbeat,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) -> Option<Monotonic> {
        if let Some((about, requester, request_nonce)) = self.relayed_probes.remove(&nonce) {
            let body = Body::Vouch {
                nonce: request_nonce,
                about: HostTag::of(&about),
                incarnation: heartbeat.incarnation,
            };
            self.send(&requester, body, now, effects);
            return None;
        }
        let peer = self.peers.get_mut(from)?;
        let probe = peer.outstanding.take_if(|o| o.nonce == nonce)?;
        peer.last_contact = Some(probe.sent);
        peer.silent_since = None;
        let recovered = peer.status != HostStatus::Leaving && peer.set_status(HostStatus::Alive, now);
        if self.stale_since.is_some_and(|since| probe.sent >= since) {
            self.stale_since = None;
            effects.push(Effect::ViewChanged);
        }
        if recovered {
            effects.push(Effect::Log(MembershipEvent::HostRecovered(from.clone())));
            effects.push(Effect::ViewChanged);
        }
        Some(probe.sent)
    }

    fn relay_probe(
        &mut self,
        requester: &HostId,
        request_nonce: u64,
        about: HostTag,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) {
        let Some(about) = self.tags.get(&about).cloned() else {
            return;
        };
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            self.relayed_probes.clear();
        }
        let nonce = self.nonce();
        self.relayed_probes
            .insert(nonce, (about.clone(), requester.clone(), request_nonce));
        self.send(&about, Body::Probe { nonce }, now, effects);
    }

    fn handle_vouch(&mut self, nonce: u64, about: HostTag, incarnation: u64) {
        let peer = self.tags.get(&about).and_then(|id| self.peers.get_mut(id));
        let Some(peer) = peer else {
            return;
        };
        let is_expected = peer.indirect_nonce.take_if(|n| *n == nonce).is_some();
        if is_expected && incarnation >= peer.incarnation {
            peer.silent_since = None;
            peer.outstanding = None;
        }
    }

    /// Requests indirect probes of a neighbour that is silent for [`PROBE_TIMEOUT`], and suspects it after
    /// [`SUSPECT_AFTER`].
    fn check_neighbour(&mut self, id: &HostId, now: Monotonic, effects: &mut Vec<Effect>) {
        let (isolated, region) = (self.isolated, self.own.region.clone());
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        let Some(since) = peer.silent_since else {
            return;
        };
        let silent_for = now.saturating_sub(since);
        let Some(probe) = peer.outstanding.as_mut() else {
            return;
        };
        if silent_for >= PROBE_TIMEOUT && !probe.indirect_sent {
            probe.indirect_sent = true;
            effects.push(Effect::Reconnect(id.clone()));
            self.request_indirect_probes(id, now, effects);
            return;
        }
        if silent_for < SUSPECT_AFTER || isolated || peer.status != HostStatus::Alive {
            return;
        }
        // Silence of a host in another region more likely means a failed link; only hosts of its own region
        // suspect it.
        if peer.listed.region != region {
            return;
        }
        peer.set_status(HostStatus::Suspect, now);
        let rumour = peer.rumour();
        self.queue_rumour(rumour);
        effects.push(Effect::Log(MembershipEvent::HostSuspected(id.clone())));
    }

    fn request_indirect_probes(&mut self, about: &HostId, now: Monotonic, effects: &mut Vec<Effect>) {
        let nonce = self.nonce();
        if let Some(peer) = self.peers.get_mut(about) {
            peer.indirect_nonce = Some(nonce);
        }
        let mut others: Vec<_> = self.neighbours.iter().filter(|n| *n != about).cloned().collect();
        self.shuffle(&mut others);
        let body = Body::ProbeFor {
            nonce,
            about: HostTag::of(about),
        };
        for to in others.iter().take(INDIRECT_PROBES) {
            self.send(to, body.clone(), now, effects);
        }
        self.probe(about, now, effects);
    }

    /// Marks hosts as dead that have been suspected for [`DEAD_AFTER`] without refuting it.
    fn declare_dead(&mut self, now: Monotonic, effects: &mut Vec<Effect>) {
        if self.isolated || self.stale_since.is_some() {
            return;
        }
        let mut dead = Vec::new();
        for peer in self.peers.values_mut() {
            let is_due = now.saturating_sub(peer.status_since) >= DEAD_AFTER;
            if peer.status == HostStatus::Suspect && is_due {
                peer.set_status(HostStatus::Dead, now);
                dead.push(peer.rumour());
                effects.push(Effect::Log(MembershipEvent::HostDead(peer.id().clone())));
            }
        }
        if !dead.is_empty() {
            effects.push(Effect::ViewChanged);
        }
        dead.into_iter().for_each(|rumour| self.queue_rumour(rumour));
    }

    /// Returns the neighbours in the own region, or all neighbours if this host has none there.
    fn local_neighbours(&self) -> Vec<&Peer> {
        let all: Vec<_> = self
            .neighbours
            .iter()
            .filter_map(|id| self.peers.get(id))
            .collect();
        let local: Vec<_> = all
            .iter()
            .copied()
            .filter(|p| p.listed.region == self.own.region)
            .collect();
        if local.is_empty() { all } else { local }
    }

    fn update_isolation(&mut self, now: Monotonic, effects: &mut Vec<Effect>) {
        let local = self.local_neighbours();
        let silent = local.iter().filter(|p| p.is_silent(now)).count();
        let isolated = silent >= 2 && 2 * silent > local.len();
        if isolated == self.isolated {
            return;
        }
        self.isolated = isolated;
        let event = match isolated {
            true => MembershipEvent::Isolated,
            false => MembershipEvent::Rejoined,
        };
        effects.push(Effect::Log(event));
        effects.push(Effect::ViewChanged);
    }
}
