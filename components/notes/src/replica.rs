use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use metadata::RowVersion;
use utils::{HostId, Incarnation, Monotonic, NoteVersion, RegionId};

use crate::{HeadSeq, NoteEcho, NoteState, RegionRoster, Terms};

/// A change of the head row that a host holds the content of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadChange {
    /// Number of the change.
    pub seq: HeadSeq,
    /// Version of the notes once the change is accepted.
    pub version: NoteVersion,
    /// Terms that go with the change.
    pub terms: Arc<Terms>,
}

impl Hash for HeadChange {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.seq.hash(state);
    }
}

/// One read of the head row whose content is at hand.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HeadRead {
    /// Version of the row.
    pub revision: RowVersion,
    /// What is accepted.
    pub head: HeadChange,
    /// What is staged on top of it.
    pub staged: Option<HeadChange>,
}

/// What a host does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReplicaEffect {
    /// Write the acknowledgement of this change to the table.
    Acknowledge(HeadSeq),
    /// A peer holds a change that this host does not: read the head row at once.
    ReadHead,
    /// What the host obeys has changed: publish it.
    Publish,
}

/// What an entry host knows about the release notes, and until when it may take new work.
///
/// It obeys the head and the staged change both, so that it makes no difference to new work at which
/// moment the staged one is accepted. It takes new work only while it is certain that no change that it does
/// not hold can have been accepted: as long as its last read of the head row, or its probes to enough
/// members of its region's roster, were sent less than the freshness period ago.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct NoteReplica {
    /// Name of the host.
    host: HostId,
    /// Run of the process.
    incarnation: Incarnation,
    /// Region of the host.
    region: RegionId,
    /// Row version of the last reading that was taken.
    revision: RowVersion,
    /// Highest accepted change; `None` before the first reading.
    head: Option<HeadChange>,
    /// Staged change.
    staged: Option<HeadChange>,
    /// When the last reading that was taken was sent.
    read_sent: Option<Monotonic>,
    /// Last open probe to each peer: its nonce and when it was sent.
    probes: BTreeMap<HostId, (u64, Monotonic)>,
    /// For each peer the run that answered, and when the answered probe was sent.
    heard: BTreeMap<HostId, (Incarnation, Monotonic)>,
    /// Highest change whose acknowledgement is in the table.
    acknowledged: HeadSeq,
    /// Whether the host has said that it stops.
    is_stopped: bool,
}

impl NoteReplica {
    /// A host that has not read a head yet.
    pub fn new(host: HostId, incarnation: Incarnation, region: RegionId) -> Self {
        Self {
            host,
            incarnation,
            region,
            revision: 0,
            head: None,
            staged: None,
            read_sent: None,
            probes: BTreeMap::new(),
            heard: BTreeMap::new(),
            acknowledged: 0,
            is_stopped: false,
        }
    }

    /// Takes a reading of the head row whose request was sent at `sent`.
    ///
    /// A reading that is older than what the host holds changes nothing.
    pub fn on_head_read(&mut self, sent: Monotonic, reading: &HeadRead) -> Vec<ReplicaEffect> {
        if reading.revision < self.revision || reading.head.seq < self.head_seq() {
            return Vec::new();
        }
        let before = self.enforced_changes();
        self.revision = reading.revision;
        self.read_sent = self.read_sent.max(Some(sent));
        self.head = Some(reading.head.clone());
        self.staged = reading.staged.clone();
        let mut effects = Vec::new();
        if self.enforced_changes() != before {
            effects.push(ReplicaEffect::Publish);
        }
        effects.extend(self.unacknowledged().map(ReplicaEffect::Acknowledge));
        effects
    }

    /// The staged change whose acknowledgement is not known to be in the table.
    pub fn unacknowledged(&self) -> Option<HeadSeq> {
        let staged = self.staged.as_ref()?.seq;
        (staged > self.acknowledged && !self.is_stopped).then_some(staged)
    }

    /// The acknowledgement of a change is in the table.
    pub fn on_acknowledged(&mut self, seq: HeadSeq) {
        self.acknowledged = self.acknowledged.max(seq);
    }

    /// A probe to a peer is about to be sent.
    pub fn on_probe(&mut self, now: Monotonic, peer: HostId, nonce: u64) {
        self.probes.insert(peer, (nonce, now));
    }

    /// The echo of a probe arrived. What a peer holds counts from when the probe was sent.
    pub fn on_echo(&mut self, peer: &HostId, echo: &NoteEcho) -> Vec<ReplicaEffect> {
        let open = self.probes.get(peer).copied();
        let Some((_, sent)) = open.filter(|(nonce, _)| *nonce == echo.nonce) else {
            return Vec::new();
        };
        self.probes.remove(peer);
        self.on_answer(peer, echo.incarnation, sent, &echo.state)
    }

    /// A run of a peer answered a probe that was sent at `sent`, by a transport that has checked the nonce.
    pub fn on_answer(
        &mut self,
        peer: &HostId,
        incarnation: Incarnation,
        sent: Monotonic,
        state: &NoteState,
    ) -> Vec<ReplicaEffect> {
        let effects = self.on_peer_state(state);
        if !state.is_ahead_of(&self.state()) {
            self.heard.insert(peer.clone(), (incarnation, sent));
        }
        effects
    }

    /// A peer said what it holds. The staged change is accepted if it is the head of a peer.
    pub fn on_peer_state(&mut self, state: &NoteState) -> Vec<ReplicaEffect> {
        let accepted = self.staged.take_if(|staged| staged.seq == state.head);
        if let Some(staged) = accepted {
            self.head = Some(staged);
            return vec![ReplicaEffect::Publish];
        }
        match state.is_ahead_of(&self.state()) {
            true => vec![ReplicaEffect::ReadHead],
            false => Vec::new(),
        }
    }

    /// The host takes no new work from here on.
    pub fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// What the host tells its peers.
    pub fn state(&self) -> NoteState {
        NoteState {
            head: self.head_seq(),
            staged: self.staged.as_ref().map(|staged| staged.seq),
            version: self.head.as_ref().map_or(0, |head| head.version),
        }
    }

    /// The changes that new work must be allowed by, all of them.
    pub fn enforced_changes(&self) -> Vec<HeadSeq> {
        let known = self.head.iter().chain(&self.staged);
        known.map(|known| known.seq).collect()
    }

    /// The highest accepted change that the host knows.
    pub fn head(&self) -> Option<&HeadChange> {
        self.head.as_ref()
    }

    /// The staged change.
    pub fn staged(&self) -> Option<&HeadChange> {
        self.staged.as_ref()
    }

    /// When the last reading that was taken was sent.
    pub fn read_sent(&self) -> Option<Monotonic> {
        self.read_sent
    }

    /// Whether the host may take new work.
    pub fn may_take_new_work(&self, now: Monotonic) -> bool {
        now < self.serves_until()
    }

    /// The moment from which the host takes no new work, unless it hears more; zero before the first reading.
    pub fn serves_until(&self) -> Monotonic {
        if self.head.is_none() || self.is_stopped {
            return Duration::ZERO;
        }
        let known = self.head.iter().chain(&self.staged);
        known
            .map(|known| self.fresh_until(&known.terms))
            .min()
            .unwrap_or_default()
    }

    fn fresh_until(&self, terms: &Terms) -> Monotonic {
        let by_read = until(self.read_sent, terms.freshness());
        let lapse_by_read = until(self.read_sent, terms.lapse());
        let Some(roster) = terms.regions.get(&self.region) else {
            return by_read;
        };
        let by_peers = until(self.heard_from(roster, roster.serving), terms.freshness());
        let lapse_by_peers = until(self.heard_from(roster, roster.majority()), terms.lapse());
        by_read.max(by_peers).min(lapse_by_read.max(lapse_by_peers))
    }

    /// The latest time since which `count` members have answered; the host itself answers always.
    fn heard_from(&self, roster: &RegionRoster, count: usize) -> Option<Monotonic> {
        let is_member = roster.members.get(&self.host) == Some(&self.incarnation);
        let others = roster.members.iter().filter_map(|(host, incarnation)| {
            let (answered, sent) = self.heard.get(host)?;
            (answered == incarnation && *host != self.host).then_some(*sent)
        });
        let mut sent: Vec<_> = others.collect();
        sent.extend(is_member.then_some(Monotonic::MAX));
        sent.sort_unstable_by(|a, b| b.cmp(a));
        sent.get(count.max(1) - 1).copied()
    }

    fn head_seq(&self) -> HeadSeq {
        self.head.as_ref().map_or(0, |head| head.seq)
    }

    /// Moves every kept time back by a step; explorers use it to keep the number of states finite.
    pub fn rebase(&mut self, step: Duration) {
        let moved = |time: &mut Monotonic| *time = time.saturating_sub(step);
        self.read_sent.iter_mut().for_each(moved);
        self.probes.values_mut().for_each(|(_, sent)| moved(sent));
        self.heard.values_mut().for_each(|(_, sent)| moved(sent));
    }
}

fn until(since: Option<Monotonic>, age: Duration) -> Monotonic {
    since.map_or(Duration::ZERO, |since| since.saturating_add(age))
}
