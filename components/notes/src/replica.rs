use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use metadata::RowVersion;
use utils::{HostId, Incarnation, Monotonic, NoteVersion, RegionId};

use crate::{HeadSeq, NoteEcho, NoteState, RegionRoster, Terms};

/// A staged or accepted change of the head row whose content the host has read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadChange {
    /// Number of the change.
    pub seq: HeadSeq,
    /// Version of the notes after the change is accepted.
    pub version: NoteVersion,
    /// Terms that apply under the change.
    pub terms: Arc<Terms>,
}

impl Hash for HeadChange {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.seq.hash(state);
    }
}

/// Result of one read of the head row, with the terms that the row refers to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HeadRead {
    /// Version of the row.
    pub revision: RowVersion,
    /// Last accepted change.
    pub head: HeadChange,
    /// Change that is staged on top of the head.
    pub staged: Option<HeadChange>,
}

/// Action that the caller carries out for the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReplicaEffect {
    /// Write the acknowledgement of this change to the table.
    Acknowledge(HeadSeq),
    /// Read the head row at once, because a peer has a change that this host lacks.
    ReadHead,
    /// Publish the enforced changes, which differ from the last ones.
    Publish,
}

/// An entry host's replica of the head row, and the time until which the host may take new work.
///
/// The host enforces both the head and the staged change, so the moment at which the staged change is
/// accepted makes no difference to new work. It takes new work only while no change that it lacks can have
/// been accepted: its last read of the head row, or its probes to enough members of its region's roster, must
/// have been sent less than the freshness period ago. If a majority of the roster does not answer, the last
/// read must also be younger than the lapse period.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct NoteReplica {
    /// Name of the host.
    host: HostId,
    /// Run of the process.
    incarnation: Incarnation,
    /// Region of the host.
    region: RegionId,
    /// Version of the head row at the last read that was applied.
    revision: RowVersion,
    /// Highest accepted change; `None` before the first read.
    head: Option<HeadChange>,
    /// Staged change.
    staged: Option<HeadChange>,
    /// When the latest applied read was sent; `None` before the first.
    read_sent: Option<Monotonic>,
    /// Last unanswered probe to each peer: its nonce and when it was sent.
    probes: BTreeMap<HostId, (u64, Monotonic)>,
    /// Last answer of each peer: the run that answered, and when the answered probe was sent.
    answers: BTreeMap<HostId, (Incarnation, Monotonic)>,
    /// Highest change whose acknowledgement is known to be in the table.
    acknowledged: HeadSeq,
    /// Whether the host has stopped taking new work.
    is_stopped: bool,
}

impl NoteReplica {
    /// Creates the replica of a host that has not read the head row yet.
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
            answers: BTreeMap::new(),
            acknowledged: 0,
            is_stopped: false,
        }
    }

    /// Applies a read of the head row that was sent at `sent`.
    ///
    /// Ignores a read that is older than the replica.
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

    /// Returns the staged change if its acknowledgement is not known to be in the table.
    pub fn unacknowledged(&self) -> Option<HeadSeq> {
        let staged = self.staged.as_ref()?.seq;
        (staged > self.acknowledged && !self.is_stopped).then_some(staged)
    }

    /// Records that the acknowledgement of a change is in the table.
    pub fn on_acknowledged(&mut self, seq: HeadSeq) {
        self.acknowledged = self.acknowledged.max(seq);
    }

    /// Records that a probe to a peer is about to be sent.
    pub fn on_probe(&mut self, now: Monotonic, peer: HostId, nonce: u64) {
        self.probes.insert(peer, (nonce, now));
    }

    /// Applies the echo of a probe. The peer's state counts as of the time when the probe was sent.
    pub fn on_echo(&mut self, peer: &HostId, echo: &NoteEcho) -> Vec<ReplicaEffect> {
        let open = self.probes.get(peer).copied();
        let Some((_, sent)) = open.filter(|(nonce, _)| *nonce == echo.nonce) else {
            return Vec::new();
        };
        self.probes.remove(peer);
        self.on_answer(peer, echo.incarnation, sent, &echo.state)
    }

    /// Applies the answer of a peer's run to a probe that was sent at `sent`; the transport has checked the
    /// nonce.
    pub fn on_answer(
        &mut self,
        peer: &HostId,
        incarnation: Incarnation,
        sent: Monotonic,
        state: &NoteState,
    ) -> Vec<ReplicaEffect> {
        let effects = self.on_peer_state(state);
        if !state.is_ahead_of(&self.state()) {
            self.answers.insert(peer.clone(), (incarnation, sent));
        }
        effects
    }

    /// Applies the state that a peer reported. If it shows the staged change as the head, the change is
    /// accepted.
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

    /// Stops the host from taking new work.
    pub fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// Returns the state that the host reports to its peers.
    pub fn state(&self) -> NoteState {
        NoteState {
            head: self.head_seq(),
            staged: self.staged.as_ref().map(|staged| staged.seq),
            version: self.head.as_ref().map_or(0, |head| head.version),
        }
    }

    /// Returns the numbers of the changes that must all allow new work: the head and the staged change.
    pub fn enforced_changes(&self) -> Vec<HeadSeq> {
        let changes = self.head.iter().chain(&self.staged);
        changes.map(|change| change.seq).collect()
    }

    /// Returns the highest accepted change that the host knows.
    pub fn head(&self) -> Option<&HeadChange> {
        self.head.as_ref()
    }

    /// Returns the staged change.
    pub fn staged(&self) -> Option<&HeadChange> {
        self.staged.as_ref()
    }

    /// Returns when the latest applied read was sent.
    pub fn read_sent(&self) -> Option<Monotonic> {
        self.read_sent
    }

    /// Returns whether the host may take new work.
    pub fn may_take_new_work(&self, now: Monotonic) -> bool {
        now < self.serves_until()
    }

    /// Returns the time until which the host may take new work; later reads and answers extend it. Zero
    /// before the first read and after [`NoteReplica::stop`].
    pub fn serves_until(&self) -> Monotonic {
        if self.head.is_none() || self.is_stopped {
            return Duration::ZERO;
        }
        let changes = self.head.iter().chain(&self.staged);
        changes
            .map(|change| self.fresh_until(&change.terms))
            .min()
            .unwrap_or_default()
    }

    /// Returns until when the replica is fresh enough under `terms`.
    ///
    /// Two bounds hold: the freshness period since the last read or the answers of `serving` members, and the
    /// lapse period since the last read or the answers of a majority. Without a roster for the host's region
    /// only the read counts.
    fn fresh_until(&self, terms: &Terms) -> Monotonic {
        let by_read = expiry(self.read_sent, terms.freshness());
        let lapse_by_read = expiry(self.read_sent, terms.lapse());
        let Some(roster) = terms.regions.get(&self.region) else {
            return by_read;
        };
        let by_peers = expiry(self.answered_since(roster, roster.serving), terms.freshness());
        let lapse_by_peers = expiry(self.answered_since(roster, roster.majority()), terms.lapse());
        by_read.max(by_peers).min(lapse_by_read.max(lapse_by_peers))
    }

    /// Returns the latest time since which `count` members have answered probes. The host itself, if it is a
    /// member, counts as always answering.
    fn answered_since(&self, roster: &RegionRoster, count: usize) -> Option<Monotonic> {
        let is_member = roster.members.get(&self.host) == Some(&self.incarnation);
        let others = roster.members.iter().filter_map(|(host, incarnation)| {
            let (answered, sent) = self.answers.get(host)?;
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

    /// Moves every stored time back by `step`. Model checkers use it to keep the number of states finite.
    pub fn shift_times_back(&mut self, step: Duration) {
        let shift = |time: &mut Monotonic| *time = time.saturating_sub(step);
        self.read_sent.iter_mut().for_each(shift);
        self.probes.values_mut().for_each(|(_, sent)| shift(sent));
        self.answers.values_mut().for_each(|(_, sent)| shift(sent));
    }
}

fn expiry(since: Option<Monotonic>, age: Duration) -> Monotonic {
    since.map_or(Duration::ZERO, |since| since.saturating_add(age))
}
