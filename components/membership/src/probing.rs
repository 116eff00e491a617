use std::time::Duration;

use utils::{HostId, Monotonic};

use crate::peer::{DEAD_AFTER, Outstanding, PROBE_TIMEOUT, Peer, SUSPECT_AFTER};
use crate::{Body, Effect, Heartbeat, HostStatus, HostTag, Membership, MembershipEvent, Rumour};

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Hosts that are asked to probe a silent one.
const INDIRECT_PROBES: usize = 2;
/// Most probes for other hosts that wait for an echo.
const MAX_VOUCHES: usize = 32;

impl Membership {
    pub(crate) fn tick(&mut self, before: Monotonic, now: Monotonic, effects: &mut Vec<Effect>) {
        self.judge_isolation(now, effects);
        for id in self.neighbours.clone() {
            self.judge_neighbour(&id, now, effects);
        }
        self.bury(now, effects);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_INTERVAL;
            self.probe_next(now, effects);
        }
        let recovered = self
            .peers
            .values()
            .any(|p| p.damping.is_usable(now) && !p.damping.is_usable(before));
        if recovered || self.targets.has_wait_ended(before, now) {
            effects.push(Effect::ViewChanged);
        }
    }

    /// Sends a probe, and remembers when.
    pub(crate) fn probe(&mut self, to: &HostId, now: Monotonic, effects: &mut Vec<Effect>) {
        let nonce = self.nonce();
        let Some(peer) = self.peers.get_mut(to) else {
            return;
        };
        let known = peer.outstanding;
        peer.outstanding = Some(Outstanding {
            nonce,
            sent: now,
            indirect: known.is_some_and(|o| o.indirect),
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
        if !self.learn_sender(from, &heartbeat, now, effects) {
            return;
        }
        let probe_sent = self.take_body(from, &heartbeat, now, effects);
        self.take_gossip(from, heartbeat, probe_sent, now, effects);
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

    /// Takes what the heartbeat says about its sender; false for the past life of a restarted host.
    fn learn_sender(
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
        let restarted = heartbeat.incarnation > peer.incarnation && peer.heard_at.is_some();
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
        let was = peer.status;
        let is_news = peer.incarnation > 0 || was != status;
        if peer.apply(&rumour, now) {
            if is_news {
                self.spread(rumour);
            }
            if was != status {
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

    fn take_body(
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
            Body::Echo { nonce } => self.take_echo(from, nonce, heartbeat, now, effects),
            Body::ProbeFor { nonce, about } => {
                self.probe_for(from, nonce, about, now, effects);
                None
            }
            Body::Vouch {
                nonce,
                about,
                incarnation,
            } => {
                self.take_vouch(nonce, about, incarnation);
                None
            }
        }
    }

    /// Takes an answer to a probe; the peer counts as heard from the time at which the probe was sent.
    fn take_echo(
        &mut self,
        from: &HostId,
        nonce: u64,
        heartbeat: &Heartbeat,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) -> Option<Monotonic> {
        if let Some((about, asked, theirs)) = self.vouches.remove(&nonce) {
            let body = Body::Vouch {
                nonce: theirs,
                about: HostTag::of(&about),
                incarnation: heartbeat.incarnation,
            };
            self.send(&asked, body, now, effects);
            return None;
        }
        let peer = self.peers.get_mut(from)?;
        let probe = peer.outstanding.take_if(|o| o.nonce == nonce)?;
        peer.heard_at = Some(probe.sent);
        peer.silent_since = None;
        let back = peer.status != HostStatus::Leaving && peer.set_status(HostStatus::Alive, now);
        if self.stale_since.is_some_and(|since| probe.sent >= since) {
            self.stale_since = None;
            effects.push(Effect::ViewChanged);
        }
        if back {
            effects.push(Effect::Log(MembershipEvent::HostRecovered(from.clone())));
            effects.push(Effect::ViewChanged);
        }
        Some(probe.sent)
    }

    fn probe_for(
        &mut self,
        asked: &HostId,
        theirs: u64,
        about: HostTag,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) {
        let Some(about) = self.tags.get(&about).cloned() else {
            return;
        };
        if self.vouches.len() >= MAX_VOUCHES {
            self.vouches.clear();
        }
        let nonce = self.nonce();
        self.vouches.insert(nonce, (about.clone(), asked.clone(), theirs));
        self.send(&about, Body::Probe { nonce }, now, effects);
    }

    fn take_vouch(&mut self, nonce: u64, about: HostTag, incarnation: u64) {
        let peer = self.tags.get(&about).and_then(|id| self.peers.get_mut(id));
        let Some(peer) = peer else {
            return;
        };
        let asked = peer.indirect_nonce.take_if(|n| *n == nonce).is_some();
        if asked && incarnation >= peer.incarnation {
            peer.silent_since = None;
            peer.outstanding = None;
        }
    }

    /// Asks others about a silent neighbour, then suspects it.
    fn judge_neighbour(&mut self, id: &HostId, now: Monotonic, effects: &mut Vec<Effect>) {
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
        if silent_for >= PROBE_TIMEOUT && !probe.indirect {
            probe.indirect = true;
            effects.push(Effect::Reconnect(id.clone()));
            self.ask_others(id, now, effects);
            return;
        }
        if silent_for < SUSPECT_AFTER || isolated || peer.status != HostStatus::Alive {
            return;
        }
        // Silence of another region's host says more about the link; hosts of its own region judge it.
        if peer.listed.region != region {
            return;
        }
        peer.set_status(HostStatus::Suspect, now);
        let rumour = peer.rumour();
        self.spread(rumour);
        effects.push(Effect::Log(MembershipEvent::HostSuspected(id.clone())));
    }

    fn ask_others(&mut self, about: &HostId, now: Monotonic, effects: &mut Vec<Effect>) {
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

    /// Takes suspects that did not object for dead.
    fn bury(&mut self, now: Monotonic, effects: &mut Vec<Effect>) {
        if self.isolated || self.stale_since.is_some() {
            return;
        }
        let mut buried = Vec::new();
        for peer in self.peers.values_mut() {
            let due = now.saturating_sub(peer.since) >= DEAD_AFTER;
            if peer.status == HostStatus::Suspect && due {
                peer.set_status(HostStatus::Dead, now);
                buried.push(peer.rumour());
                effects.push(Effect::Log(MembershipEvent::HostDead(peer.id().clone())));
            }
        }
        if !buried.is_empty() {
            effects.push(Effect::ViewChanged);
        }
        buried.into_iter().for_each(|rumour| self.spread(rumour));
    }

    /// Neighbours in the own region; all neighbours of a host that is alone in its region.
    fn near_neighbours(&self) -> Vec<&Peer> {
        let all: Vec<_> = self
            .neighbours
            .iter()
            .filter_map(|id| self.peers.get(id))
            .collect();
        let near: Vec<_> = all
            .iter()
            .copied()
            .filter(|p| p.listed.region == self.own.region)
            .collect();
        if near.is_empty() { all } else { near }
    }

    fn judge_isolation(&mut self, now: Monotonic, effects: &mut Vec<Effect>) {
        let near = self.near_neighbours();
        let silent = near.iter().filter(|p| p.is_silent(now)).count();
        let isolated = silent >= 2 && 2 * silent > near.len();
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
