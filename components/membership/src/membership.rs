use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use metadata::{HostRole, ListedHost};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use utils::{HostId, Incarnation, Monotonic, RegionId};

use crate::gossip::{Gossip, copies};
use crate::peer::Peer;
use crate::target::{News, Targets};
use crate::{
    Demand, Effect, HostTag, Input, MembershipEvent, MembershipView, Quarantined, Rumour, TargetSummary,
    TargetTag,
};

/// Time between two inputs after which the process counts as paused.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Most news about hosts that wait to be sent.
const RUMOUR_CAPACITY: usize = 64;
/// Most summaries that wait to be sent.
const SUMMARY_CAPACITY: usize = 256;
/// Most quarantined requests that wait to be sent.
const QUARANTINE_CAPACITY: usize = 64;
/// Unit of a summary's age.
const AGE_UNIT: Duration = Duration::from_millis(250);

/// Who this host is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Name.
    pub id: HostId,
    /// Region.
    pub region: RegionId,
    /// Run of the process; grows with each restart of the same host.
    pub incarnation: Incarnation,
}

/// Liveness of hosts and targets as one host sees it.
///
/// ```
/// use std::time::Duration;
/// use membership::{Identity, Input, Membership};
///
/// let identity = Identity { id: "entry-1".into(), region: "north".into(), incarnation: 1 };
/// let mut membership = Membership::new(identity, 42, Duration::ZERO);
/// assert!(membership.step(Input::Tick, Duration::from_millis(250)).is_empty());
/// ```
#[derive(Debug, Clone)]
pub struct Membership {
    /// Who this host is.
    pub(crate) own: Identity,
    /// Raised to object to a suspicion.
    pub(crate) revision: u32,
    /// Whether this host drains.
    pub(crate) leaving: bool,
    /// Source of nonces and of the order of probes.
    pub(crate) rng: ChaCha8Rng,
    /// Other entry hosts.
    pub(crate) peers: BTreeMap<HostId, Peer>,
    /// Names by tag.
    pub(crate) tags: BTreeMap<HostTag, HostId>,
    /// Own entry on the list.
    pub(crate) own_listed: Option<Arc<ListedHost>>,
    /// Hosts that this host probes.
    pub(crate) neighbours: Vec<HostId>,
    /// Neighbours that are still to be probed in this round.
    pub(crate) round: Vec<HostId>,
    /// Time of the next probe.
    pub(crate) next_probe: Monotonic,
    /// Probes sent for other hosts: the silent host, who asked, and with which nonce.
    pub(crate) vouches: BTreeMap<u64, (HostId, HostId, u64)>,
    /// Targets.
    pub(crate) targets: Targets,
    /// News about hosts.
    pub(crate) rumours: Gossip<HostTag, Rumour>,
    /// Targets that leave or are silent, with the time of the report.
    pub(crate) urgent: Gossip<(TargetTag, bool), (TargetSummary, Monotonic)>,
    /// Load of targets, with the time of the report.
    pub(crate) loads: Gossip<TargetTag, (TargetSummary, Monotonic)>,
    /// Quarantined requests, with the time of the quarantine.
    pub(crate) quarantined: Gossip<[u8; 16], (Quarantined, Monotonic)>,
    /// State of the release notes.
    pub(crate) notes: Vec<u8>,
    /// Demand of workspaces at this host.
    pub(crate) demand: Vec<Demand>,
    /// Where the next heartbeat starts in `demand`.
    pub(crate) demand_next: usize,
    /// Time of the last input.
    pub(crate) last_input: Monotonic,
    /// Set by a pause until a probe sent later is answered.
    pub(crate) stale_since: Option<Monotonic>,
    /// Whether too many neighbours are silent at once.
    pub(crate) isolated: bool,
    /// Hosts and targets that are kept although the last list dropped them.
    kept: usize,
}

impl Membership {
    /// A host that knows nobody. `seed` must differ between runs.
    pub fn new(own: Identity, seed: u64, now: Monotonic) -> Self {
        Self {
            own,
            revision: 0,
            leaving: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
            peers: BTreeMap::new(),
            tags: BTreeMap::new(),
            own_listed: None,
            neighbours: Vec::new(),
            round: Vec::new(),
            next_probe: now,
            vouches: BTreeMap::new(),
            targets: Targets::default(),
            rumours: Gossip::new(RUMOUR_CAPACITY),
            urgent: Gossip::new(SUMMARY_CAPACITY),
            loads: Gossip::new(SUMMARY_CAPACITY),
            quarantined: Gossip::new(QUARANTINE_CAPACITY),
            notes: Vec::new(),
            demand: Vec::new(),
            demand_next: 0,
            last_input: now,
            stale_since: None,
            isolated: false,
            kept: 0,
        }
    }

    /// Takes an input and returns what to do.
    pub fn step(&mut self, input: Input, now: Monotonic) -> Vec<Effect> {
        let mut effects = Vec::new();
        let before = self.last_input;
        self.notice_pause(now, &mut effects);
        match input {
            Input::Tick => self.tick(before, now, &mut effects),
            Input::List(list) => self.take_list(&list, now, &mut effects),
            Input::Received { from, heartbeat } => self.receive(&from, heartbeat, now, &mut effects),
            Input::Observed { target, observation } => {
                if self.targets.observe(&target, observation, now) {
                    effects.push(Effect::ViewChanged);
                }
            }
            Input::Watched(summary) => self.take_summary(summary, now, now, &mut effects),
            Input::Notes(notes) => self.notes = notes,
            Input::Quarantine(entry) => self.take_quarantine(entry, now),
            Input::Demand(demand) => self.demand = demand,
            Input::Leave => self.leave(&mut effects, now),
        }
        effects
    }

    /// Hosts and targets as of now.
    pub fn view(&self, now: Monotonic) -> MembershipView {
        MembershipView {
            taken_at: now,
            current: self.stale_since.is_none(),
            isolated: self.isolated,
            hosts: self.host_entries(now),
            targets: self.targets.entries(now),
            reachable: self.reachable_hosts(),
        }
    }

    /// Who this host is.
    pub fn identity(&self) -> &Identity {
        &self.own
    }

    /// Hosts that this host probes.
    pub fn neighbours(&self) -> &[HostId] {
        &self.neighbours
    }

    /// Hosts on the list, this host included.
    pub fn host_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Where a listed host takes heartbeats.
    pub fn peer_address(&self, id: &str) -> Option<std::net::SocketAddr> {
        self.peers.get(id).and_then(|peer| peer.listed.peer_address)
    }

    pub(crate) fn nonce(&mut self) -> u64 {
        self.rng.next_u64()
    }

    pub(crate) fn copies(&self) -> u32 {
        copies(self.host_count())
    }

    pub(crate) fn spread(&mut self, rumour: Rumour) {
        let copies = self.copies();
        self.rumours.push(rumour.host, rumour, copies);
    }

    /// Takes a summary whose report was read at `read_at`, and passes it on if it is news.
    pub(crate) fn take_summary(
        &mut self,
        summary: TargetSummary,
        read_at: Monotonic,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) {
        let copies = self.copies();
        match self.targets.summarize(summary, read_at, now) {
            News::None => {}
            News::Load => self.loads.push(summary.target, (summary, read_at), copies),
            News::State => {
                let key = (summary.target, summary.leaving);
                self.urgent.push(key, (summary, read_at), copies);
                effects.push(Effect::ViewChanged);
            }
        }
    }

    pub(crate) fn take_quarantine(&mut self, entry: Quarantined, now: Monotonic) {
        let since = now.saturating_sub(Duration::from_secs(entry.age.into()));
        let copies = self.copies();
        self.quarantined.push(entry.fingerprint, (entry, since), copies);
    }

    /// Age of something that happened at `at`, as summaries carry it.
    pub(crate) fn age(at: Monotonic, now: Monotonic) -> u8 {
        let units = now.saturating_sub(at).as_millis() / AGE_UNIT.as_millis();
        u8::try_from(units).unwrap_or(u8::MAX)
    }

    /// When something happened that a summary gives this age.
    pub(crate) fn happened(age: u8, now: Monotonic) -> Monotonic {
        now.saturating_sub(AGE_UNIT * u32::from(age))
    }

    fn notice_pause(&mut self, now: Monotonic, effects: &mut Vec<Effect>) {
        let gap = now.saturating_sub(self.last_input);
        self.last_input = now;
        if gap < PAUSE {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.outstanding = None;
            peer.silent_since = None;
        }
        if !self.neighbours.is_empty() {
            self.stale_since = Some(now);
        }
        effects.push(Effect::Log(MembershipEvent::Paused(gap.as_millis() as u64)));
        effects.push(Effect::ViewChanged);
    }

    fn leave(&mut self, effects: &mut Vec<Effect>, now: Monotonic) {
        self.leaving = true;
        let neighbours = self.neighbours.clone();
        for to in neighbours {
            self.probe(&to, now, effects);
        }
        effects.push(Effect::ViewChanged);
    }

    fn take_list(&mut self, list: &[ListedHost], now: Monotonic, effects: &mut Vec<Effect>) {
        let (kept_targets, leaving) = self.targets.update(list);
        for id in leaving {
            if let Some(summary) = self.targets.leaving_summary(&id) {
                let copies = self.copies();
                self.urgent.push((summary.target, true), (summary, now), copies);
            }
        }
        let kept_hosts = self.update_hosts(list, now);
        let kept = kept_targets + kept_hosts;
        if kept > 0 && kept != self.kept {
            effects.push(Effect::Log(MembershipEvent::ListDistrusted(kept)));
        }
        self.kept = kept;
        effects.push(Effect::ViewChanged);
    }

    pub(crate) fn shuffle(&mut self, hosts: &mut [HostId]) {
        for i in (1..hosts.len()).rev() {
            let j = self.rng.random_range(0..=i);
            hosts.swap(i, j);
        }
    }
}

/// Whether the entry is an entry host.
pub(crate) fn is_entry(host: &ListedHost) -> bool {
    host.role == HostRole::Entry
}
