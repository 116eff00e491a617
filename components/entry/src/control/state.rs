use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ::peers::InboundMessage;
use errors::events;
use metadata::{HostRole, HostState, ListedHost};
use notes::EnforcedNotes;
use policy::{Candidate, CandidateKey, PlacementView, TargetState};
use slog::info;
use targets::{LoadReport, TargetError};
use utils::TargetId;

use super::kept::{KeptCache, Prefilled};
use super::peers::{Members, PeerControl};
use super::watch::CacheUpdate;
use crate::observe::Observation;
use crate::shared::Shared;
use crate::view::{ServiceTarget, View};

/// Number of consecutive missed load reports after which a target counts as suspect.
const MISSED_REPORTS_BEFORE_SUSPECT: u32 = 3;

/// An input to the control state.
#[derive(Debug)]
pub(crate) enum Input {
    /// The platform's list of hosts and targets.
    List(Vec<ListedHost>),
    /// Changed notes to enforce. The loop publishes them immediately and then signals `done`.
    Notes {
        /// The notes to enforce.
        enforced: EnforcedNotes,
        /// Receives a message once the view is published.
        done: async_channel::Sender<()>,
    },
    /// An update about the cache pieces of a target or store.
    Cache(TargetId, CacheUpdate),
    /// Load report of a target, or `None` if it did not answer.
    Load(TargetId, Option<LoadReport>),
    /// A message from another entry host.
    Arrived(InboundMessage),
    /// The tick interval has passed.
    Tick,
}

/// The control state of a host. Owned by the control thread.
pub(crate) struct ControlState {
    /// State that all threads share; views are published here.
    shared: Arc<Shared>,
    /// Membership: liveness of hosts and targets.
    peers: PeerControl,
    /// Hosts and targets, from the platform's list and the heartbeats of other hosts.
    list: Vec<ListedHost>,
    /// Targets that recently failed to answer.
    suspects: BTreeSet<TargetId>,
    /// The notes to enforce.
    enforced: EnforcedNotes,
    /// Targets, stores and the links between regions, as the base of placement decisions. A target keeps its
    /// key while it is listed.
    placement: PlacementView,
    /// Keys of the engines by target name.
    keys_by_id: BTreeMap<TargetId, CandidateKey>,
    /// Number of consecutive missed load reports by target.
    missed_reports: BTreeMap<TargetId, u32>,
    /// Which targets and stores hold which pieces of KV cache, and which pieces are being copied to stores.
    kept: KeptCache,
}

impl ControlState {
    pub(crate) fn new(shared: Arc<Shared>, peers: PeerControl, kept: KeptCache) -> Self {
        Self {
            shared,
            peers,
            list: Vec::new(),
            suspects: BTreeSet::new(),
            enforced: EnforcedNotes::default(),
            placement: PlacementView::default(),
            keys_by_id: BTreeMap::new(),
            missed_reports: BTreeMap::new(),
            kept,
        }
    }

    /// Applies an input.
    pub(crate) fn apply(&mut self, input: Input) {
        match input {
            Input::List(list) => {
                let members = self.peers.apply_list(list);
                self.apply_members(members);
            }
            Input::Notes { enforced, .. } => self.apply_notes(enforced),
            Input::Cache(id, update) => self.apply_cache_update(&id, update),
            Input::Load(id, report) => {
                let members = self.peers.observe(&id, report.is_some());
                self.apply_members(members);
                self.apply_load(&id, report);
            }
            Input::Arrived(arrived) => {
                let members = self.peers.apply_arrived(arrived);
                self.apply_members(members);
            }
            Input::Tick => {
                let members = self.peers.tick();
                self.apply_members(members);
            }
        }
    }

    /// Applies a change of the hosts and targets.
    fn apply_members(&mut self, members: Option<Members>) {
        let Some(members) = members else {
            return;
        };
        self.suspects = members.suspects;
        self.apply_list(members.list);
        for candidate in self.placement.targets.values_mut() {
            if self.suspects.contains(&candidate.id) {
                candidate.state = as_suspect(candidate.state);
            }
        }
    }

    /// Applies an observation of a traffic thread.
    pub(crate) fn observe(&mut self, observation: &Observation) {
        let now = self.shared.clock.now();
        match observation {
            Observation::Sent { key, tokens } => {
                if let Some(candidate) = self.placement.targets.get_mut(*key) {
                    candidate.sent_since_tokens += u64::from(*tokens);
                    candidate.open += 1;
                }
            }
            Observation::Prefilled {
                key,
                workspace,
                weight_version,
                pieces,
            } => {
                let prompt = Prefilled {
                    key: *key,
                    workspace,
                    weight_version: *weight_version,
                    pieces,
                };
                self.kept.record_prefill(&prompt, &self.placement, now);
            }
            Observation::FetchStarted { store } => self.kept.record_fetch_start(*store, &self.placement, now),
            Observation::FetchEnded { store, is_complete } => {
                self.kept
                    .record_fetch_end(*store, *is_complete, &self.placement, now);
            }
            Observation::Ended { key } => {
                if let Some(candidate) = self.placement.targets.get_mut(*key) {
                    candidate.open = candidate.open.saturating_sub(1);
                }
            }
            Observation::Failed { key, failure } => {
                if let Some(candidate) = self.placement.targets.get_mut(*key)
                    && *failure == TargetError::NotSent
                {
                    candidate.state = as_suspect(candidate.state);
                }
            }
        }
    }

    fn apply_list(&mut self, list: Vec<ListedHost>) {
        if list == self.list {
            return;
        }
        info!(self.shared.log, "list of hosts and targets changed"; events::LIST_READ,
            "entries" => list.len());
        let listed = |id: &TargetId| list.iter().any(|h| h.role == HostRole::Engine && h.id == *id);
        let removed: Vec<_> = self.keys_by_id.keys().filter(|id| !listed(id)).cloned().collect();
        for id in removed {
            if let Some(key) = self.keys_by_id.remove(&id) {
                self.placement.targets.remove(key);
                self.kept.remove_target(key);
            }
        }
        for host in list.iter().filter(|h| h.role == HostRole::Engine) {
            self.apply_engine(host);
        }
        let stores = list.iter().filter(|h| h.role == HostRole::Store);
        self.kept.apply_stores(stores, &mut self.placement);
        let live = list.iter().filter(|h| h.role == HostRole::Entry);
        let live = live.map(|h| h.id.clone()).collect();
        self.shared.live_hosts.store(Arc::new(live));
        self.list = list;
    }

    fn apply_cache_update(&mut self, id: &TargetId, update: CacheUpdate) {
        match self.keys_by_id.get(id) {
            Some(key) => self.kept.apply_target_update(*key, &update),
            None => self.kept.apply_store_update(id, update, &mut self.placement),
        }
    }

    fn apply_engine(&mut self, host: &ListedHost) {
        let state = match host.state {
            HostState::Live => TargetState::Live,
            HostState::Leaving => TargetState::Leaving,
        };
        let existing = self
            .keys_by_id
            .get(&host.id)
            .and_then(|key| self.placement.targets.get_mut(*key));
        match existing {
            Some(candidate) => {
                candidate.address = host.address;
                candidate.state = state;
            }
            None => {
                let key = self.placement.targets.insert(new_candidate(host, state));
                self.keys_by_id.insert(host.id.clone(), key);
            }
        }
    }

    /// Replaces the notes to enforce.
    pub(crate) fn apply_notes(&mut self, enforced: EnforcedNotes) {
        self.enforced = enforced;
    }

    /// Sends the state of the notes in the published view to the other hosts.
    pub(crate) fn send_note_state(&mut self) {
        let members = self.peers.send_note_state(&self.enforced.state());
        self.apply_members(members);
    }

    fn apply_load(&mut self, id: &TargetId, report: Option<LoadReport>) {
        let Some(candidate) = self
            .keys_by_id
            .get(id)
            .and_then(|key| self.placement.targets.get_mut(*key))
        else {
            return;
        };
        let Some(report) = report else {
            let missed = self.missed_reports.entry(id.clone()).or_default();
            *missed += 1;
            if *missed >= MISSED_REPORTS_BEFORE_SUSPECT {
                candidate.state = as_suspect(candidate.state);
            }
            return;
        };
        self.missed_reports.remove(id);
        if candidate.state == TargetState::Suspect && !self.suspects.contains(id) {
            candidate.state = TargetState::Live;
        }
        candidate.versions = report.versions;
        candidate.queued_prompt_tokens = report.queued_prompt_tokens;
        candidate.running = report.running;
        candidate.slots = report.slots;
        candidate.prefill_tokens_per_second = report.prefill_tokens_per_second;
        candidate.reported_at = self.shared.clock.now().saturating_sub(report.age);
        candidate.sent_since_tokens = 0;
    }

    /// Publishes a view of the current state.
    pub(crate) fn publish(&mut self) {
        let now = self.shared.clock.now();
        self.kept.publish(&self.shared.cache, &mut self.placement, now);
        let services = self.list.iter().filter(|h| h.role == HostRole::Service);
        let entry_hosts = self.list.iter().filter(|h| h.role == HostRole::Entry).count();
        let view = View {
            declared: self.enforced.declared().clone(),
            enforced: self.enforced.clone(),
            placement: self.placement.clone(),
            services: services.map(service_target).collect(),
            entry_hosts: u32::try_from(entry_hosts).unwrap_or(u32::MAX),
        };
        self.shared.view.store(Arc::new(view));
    }
}

fn as_suspect(state: TargetState) -> TargetState {
    match state {
        TargetState::Leaving => TargetState::Leaving,
        TargetState::Live | TargetState::Suspect => TargetState::Suspect,
    }
}

fn new_candidate(host: &ListedHost, state: TargetState) -> Candidate {
    Candidate {
        id: host.id.clone(),
        address: host.address,
        region: host.region.clone(),
        failure_domain: host.failure_domain.clone(),
        state,
        versions: Vec::new(),
        queued_prompt_tokens: 0,
        running: 0,
        slots: 0,
        prefill_tokens_per_second: 0.0,
        reported_at: std::time::Duration::ZERO,
        sent_since_tokens: 0,
        open: 0,
    }
}

fn service_target(host: &ListedHost) -> ServiceTarget {
    ServiceTarget {
        id: host.id.clone(),
        services: host.serves.clone(),
        address: host.address,
        region: host.region.clone(),
        failure_domain: host.failure_domain.clone(),
        state: host.state,
    }
}
