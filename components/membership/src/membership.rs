use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use metadata::{HostRole, ListedHost};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use utils::{HostId, Incarnation, Monotonic, RegionId};

use crate::gossip::{Gossip, transmissions};
use crate::peer::Peer;
use crate::target::{SummaryChange, Targets};
use crate::{
    Demand, Effect, HostTag, Input, MembershipEvent, MembershipView, Quarantined, Rumour, TargetSummary,
    TargetTag,
};

/// Time without input after which the process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Maximum number of queued rumours.
const RUMOUR_CAPACITY: usize = 64;
/// Maximum number of queued summaries of each kind.
const SUMMARY_CAPACITY: usize = 256;
/// Maximum number of queued quarantined requests.
const QUARANTINE_CAPACITY: usize = 64;
/// Unit of the age of a summary.
const AGE_UNIT: Duration = Duration::from_millis(250);

/// Identity of this host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Name of the host.
    pub id: HostId,
    /// Region of the host.
    pub region: RegionId,
    /// Incarnation of the process; grows with each restart of the host.
    pub incarnation: Incarnation,
}

/// Liveness of hosts and targets as observed by one host.
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
    /// Identity of this host.
    pub(crate) own: Identity,
    /// Revision of the own status; increased to refute a suspicion.
    pub(crate) revision: u32,
    /// Whether this host is leaving.
    pub(crate) leaving: bool,
    /// Random number generator for nonces and the order of probes.
    pub(crate) rng: ChaCha8Rng,
    /// Other entry hosts by name.
    pub(crate) peers: BTreeMap<HostId, Peer>,
    /// Names of the other entry hosts by tag.
    pub(crate) tags: BTreeMap<HostTag, HostId>,
    /// Entry of this host on the platform's list.
    pub(crate) own_listed: Option<Arc<ListedHost>>,
    /// Hosts that this host probes.
    pub(crate) neighbours: Vec<HostId>,
    /// Neighbours that have not been probed in this round.
    pub(crate) round: Vec<HostId>,
    /// Time of the next probe.
    pub(crate) next_probe: Monotonic,
    /// Indirect probes in flight by their nonce: the silent host, the requesting host and the nonce of its
    /// request.
    pub(crate) relayed_probes: BTreeMap<u64, (HostId, HostId, u64)>,
    /// State of the targets.
    pub(crate) targets: Targets,
    /// Queued status updates about hosts.
    pub(crate) rumours: Gossip<HostTag, Rumour>,
    /// Queued summaries of targets that are leaving or whose silence began or ended, with the time at which
    /// the report was read.
    pub(crate) urgent_summaries: Gossip<(TargetTag, bool), (TargetSummary, Monotonic)>,
    /// Queued load summaries of targets, with the time at which the report was read.
    pub(crate) load_summaries: Gossip<TargetTag, (TargetSummary, Monotonic)>,
    /// Queued quarantined requests, with the start of the quarantine.
    pub(crate) quarantined: Gossip<[u8; 16], (Quarantined, Monotonic)>,
    /// Encoded state of the release notes at this host.
    pub(crate) notes: Vec<u8>,
    /// Demand of workspaces at this host.
    pub(crate) demand: Vec<Demand>,
    /// Position in `demand` at which the next heartbeat starts, modulo its length.
    pub(crate) demand_next: usize,
    /// Time of the last input.
    pub(crate) last_input: Monotonic,
    /// End of the last pause; `None` once a probe sent after it has been answered.
    pub(crate) stale_since: Option<Monotonic>,
    /// Whether more than half of the neighbours in the region are silent at once.
    pub(crate) isolated: bool,
    /// Number of hosts and targets that are kept although the last list dropped them.
    kept: usize,
}

impl Membership {
    /// Creates the state of a host that knows no other hosts. `seed` must differ between runs.
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
            relayed_probes: BTreeMap::new(),
            targets: Targets::default(),
            rumours: Gossip::new(RUMOUR_CAPACITY),
            urgent_summaries: Gossip::new(SUMMARY_CAPACITY),
            load_summaries: Gossip::new(SUMMARY_CAPACITY),
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

    /// Processes an input and returns the actions for the caller.
    pub fn step(&mut self, input: Input, now: Monotonic) -> Vec<Effect> {
        let mut effects = Vec::new();
        let previous_input = self.last_input;
        self.detect_pause(now, &mut effects);
        match input {
            Input::Tick => self.tick(previous_input, now, &mut effects),
            Input::List(list) => self.apply_list(&list, now, &mut effects),
            Input::Received { from, heartbeat } => self.receive(&from, heartbeat, now, &mut effects),
            Input::Observed { target, observation } => {
                if self.targets.observe(&target, observation, now) {
                    effects.push(Effect::ViewChanged);
                }
            }
            Input::Watched(summary) => self.apply_summary(summary, now, now, &mut effects),
            Input::Notes(notes) => self.notes = notes,
            Input::Quarantine(entry) => self.add_quarantine(entry, now),
            Input::Demand(demand) => self.demand = demand,
            Input::Leave => self.leave(&mut effects, now),
        }
        effects
    }

    /// Returns the hosts and targets as of `now`.
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

    /// Returns the identity of this host.
    pub fn identity(&self) -> &Identity {
        &self.own
    }

    /// Returns the hosts that this host probes.
    pub fn neighbours(&self) -> &[HostId] {
        &self.neighbours
    }

    /// Returns the number of known entry hosts, this host included.
    pub fn host_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the address at which a listed host receives heartbeats.
    pub fn peer_address(&self, id: &str) -> Option<std::net::SocketAddr> {
        self.peers.get(id).and_then(|peer| peer.listed.peer_address)
    }

    pub(crate) fn nonce(&mut self) -> u64 {
        self.rng.next_u64()
    }

    pub(crate) fn transmissions(&self) -> u32 {
        transmissions(self.host_count())
    }

    pub(crate) fn queue_rumour(&mut self, rumour: Rumour) {
        let transmissions = self.transmissions();
        self.rumours.push(rumour.host, rumour, transmissions);
    }

    /// Applies a summary whose report was read at `read_at`, and queues it for gossip if it changes what is
    /// known.
    pub(crate) fn apply_summary(
        &mut self,
        summary: TargetSummary,
        read_at: Monotonic,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) {
        let transmissions = self.transmissions();
        match self.targets.record_summary(summary, read_at, now) {
            SummaryChange::None => {}
            SummaryChange::Load => {
                self.load_summaries
                    .push(summary.target, (summary, read_at), transmissions)
            }
            SummaryChange::State => {
                let key = (summary.target, summary.leaving);
                self.urgent_summaries.push(key, (summary, read_at), transmissions);
                effects.push(Effect::ViewChanged);
            }
        }
    }

    pub(crate) fn add_quarantine(&mut self, entry: Quarantined, now: Monotonic) {
        let quarantined_at = now.saturating_sub(Duration::from_secs(entry.age.into()));
        let transmissions = self.transmissions();
        self.quarantined
            .push(entry.fingerprint, (entry, quarantined_at), transmissions);
    }

    /// Returns the age of an event at `at` in units of a summary's age.
    pub(crate) fn age(at: Monotonic, now: Monotonic) -> u8 {
        let units = now.saturating_sub(at).as_millis() / AGE_UNIT.as_millis();
        u8::try_from(units).unwrap_or(u8::MAX)
    }

    /// Returns the time of an event from the age in a summary.
    pub(crate) fn time_at_age(age: u8, now: Monotonic) -> Monotonic {
        now.saturating_sub(AGE_UNIT * u32::from(age))
    }

    fn detect_pause(&mut self, now: Monotonic, effects: &mut Vec<Effect>) {
        let gap = now.saturating_sub(self.last_input);
        self.last_input = now;
        if gap < PAUSE_THRESHOLD {
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

    fn apply_list(&mut self, list: &[ListedHost], now: Monotonic, effects: &mut Vec<Effect>) {
        let (kept_targets, leaving) = self.targets.update(list);
        for id in leaving {
            if let Some(summary) = self.targets.leaving_summary(&id) {
                let transmissions = self.transmissions();
                self.urgent_summaries
                    .push((summary.target, true), (summary, now), transmissions);
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

/// Returns whether a listed host is an entry host.
pub(crate) fn is_entry(host: &ListedHost) -> bool {
    host.role == HostRole::Entry
}
