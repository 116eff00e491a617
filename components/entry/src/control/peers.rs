use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ::peers::{Executor, InboundMessage, PeerError, PeerTls, Transport, TransportOptions};
use error_stack::Report;
use errors::events;
use membership::{
    Effect, Identity, Input, Membership, MembershipEvent, MembershipView, Observation, TargetLiveness,
};
use metadata::{HostRole, HostState, ListedHost};
use notes::NoteState;
use slog::{info, warn};
use utils::TargetId;

use super::demand::DemandExchange;
use super::notes::PeerNoteState;
use super::state::Input as ControlInput;
use crate::shared::Shared;

/// Interval between ticks of the membership state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs the membership state machine of this host and exchanges heartbeats with the other entry hosts.
pub(crate) struct PeerControl {
    /// State that all threads share.
    shared: Arc<Shared>,
    /// The membership state machine.
    membership: Membership,
    /// Connections to other entry hosts; `None` without keys.
    transport: Option<Transport>,
    /// Entry hosts that can not be probed; their state comes from the platform's list only.
    unprobed: Vec<ListedHost>,
    /// Demand of workspaces at the other hosts.
    demand: DemandExchange,
    /// Sends the note states of other hosts to the note follower. A full channel drops a state; the next
    /// heartbeat carries it again.
    note_states: async_channel::Sender<PeerNoteState>,
    /// Whether this host has announced to the other hosts that it drains.
    is_leave_announced: bool,
}

/// Hosts and targets as the membership sees them. Replaces the platform's list in the control state.
pub(crate) struct Members {
    /// Hosts and targets of the list, with the state from the heartbeats.
    pub list: Vec<ListedHost>,
    /// Targets that recently failed to answer.
    pub suspects: BTreeSet<TargetId>,
}

impl PeerControl {
    pub(crate) fn new(
        shared: Arc<Shared>,
        transport: Option<Transport>,
        note_states: async_channel::Sender<PeerNoteState>,
    ) -> Self {
        let host = &shared.settings.host;
        let identity = Identity {
            id: host.id.clone(),
            region: host.region.clone(),
            incarnation: shared.incarnation,
        };
        let membership = Membership::new(identity, rand::random(), shared.clock.now());
        Self {
            shared,
            membership,
            transport,
            unprobed: Vec::new(),
            demand: DemandExchange::default(),
            note_states,
            is_leave_announced: false,
        }
    }

    /// Applies the platform's list.
    pub(crate) fn apply_list(&mut self, list: Vec<ListedHost>) -> Option<Members> {
        let own = self.shared.settings.host.id.clone();
        let has_transport = self.transport.is_some();
        let is_probed = |h: &ListedHost| {
            h.role != HostRole::Entry || h.id == own || (has_transport && h.peer_address.is_some())
        };
        let (probed, unprobed) = list.into_iter().partition(is_probed);
        self.unprobed = unprobed;
        self.step(Input::List(probed))
    }

    /// Applies a message from another host.
    pub(crate) fn apply_arrived(&mut self, arrived: InboundMessage) -> Option<Members> {
        match arrived {
            InboundMessage::Heartbeat { from, heartbeat } => self.step(Input::Received { from, heartbeat }),
            // No query type is defined yet; dropping the query closes its stream.
            InboundMessage::Query { .. } => None,
        }
    }

    /// Sends this host's state of the notes to the other hosts with the next heartbeats.
    pub(crate) fn send_note_state(&mut self, state: &NoteState) -> Option<Members> {
        let notes = postcard::to_stdvec(state).unwrap_or_default();
        self.step(Input::Notes(notes))
    }

    /// Records whether a target answered this host.
    pub(crate) fn observe(&mut self, target: &TargetId, answered: bool) -> Option<Members> {
        let observation = match answered {
            true => Observation::Answered,
            false => Observation::Failed,
        };
        let target = target.clone();
        self.step(Input::Observed { target, observation })
    }

    /// Advances the time: ends the demand period if it is due, announces a drain, and ticks the membership.
    pub(crate) fn tick(&mut self) -> Option<Members> {
        let now = self.shared.clock.now();
        if let Some(demand) = self.demand.end_period(&self.shared, now) {
            self.step(Input::Demand(demand));
        }
        let leave_change = match self.shared.is_draining() && !self.is_leave_announced {
            true => {
                self.is_leave_announced = true;
                self.step(Input::Leave)
            }
            false => None,
        };
        self.step(Input::Tick).or(leave_change)
    }

    fn step(&mut self, input: Input) -> Option<Members> {
        let now = self.shared.clock.now();
        let mut changed = false;
        for effect in self.membership.step(input, now) {
            match effect {
                Effect::Send { to, heartbeat } => {
                    if let Some(transport) = &self.transport {
                        transport.send(&to, self.membership.peer_address(&to), &heartbeat);
                    }
                }
                Effect::Reconnect(to) => {
                    if let Some(transport) = &self.transport
                        && let Some(addr) = self.membership.peer_address(&to)
                    {
                        transport.reconnect(&to, addr);
                    }
                }
                Effect::ViewChanged => changed = true,
                Effect::Log(event) => self.log(&event),
                Effect::DemandReceived { from, demand } => self.demand.record_report(from, &demand, now),
                Effect::NotesReceived {
                    from,
                    incarnation,
                    probe_sent,
                    notes,
                    ..
                } => {
                    if let Ok(state) = postcard::from_bytes(&notes) {
                        let peer_state = PeerNoteState {
                            from,
                            incarnation,
                            probe_sent,
                            state,
                        };
                        let _ = self.note_states.try_send(peer_state);
                    }
                }
                Effect::QuarantineReceived(_) => {}
            }
        }
        changed.then(|| self.members(&self.membership.view(now)))
    }

    fn members(&self, view: &MembershipView) -> Members {
        let hosts = view.hosts.values().flatten().map(|host| {
            let mut listed = (*host.listed).clone();
            if host.leaving {
                listed.state = HostState::Leaving;
            }
            listed
        });
        let targets = view.targets.values().map(|target| {
            let mut listed = (*target.listed).clone();
            if target.liveness == TargetLiveness::Leaving {
                listed.state = HostState::Leaving;
            }
            listed
        });
        let suspects = view
            .targets
            .iter()
            .filter(|(_, target)| target.liveness == TargetLiveness::Suspect);
        Members {
            suspects: suspects.map(|(id, _)| id.clone()).collect(),
            list: hosts
                .chain(targets)
                .chain(self.unprobed.iter().cloned())
                .collect(),
        }
    }

    fn log(&self, event: &MembershipEvent) {
        let log = &self.shared.log;
        match event {
            MembershipEvent::ListDistrusted(kept) => {
                warn!(log, "platform list dropped too many entries at once, keeping them";
                    events::LIST_DISTRUSTED,
                    "kept" => kept);
            }
            MembershipEvent::HostSuspected(id) => {
                info!(log, "host does not answer, suspected"; events::PEER_SUSPECTED, "peer" => %id);
            }
            MembershipEvent::HostDead(id) => {
                warn!(log, "host is considered dead"; events::PEER_DEAD, "peer" => %id)
            }
            MembershipEvent::HostRecovered(id) => {
                info!(log, "host answers again"; events::PEER_BACK, "peer" => %id);
            }
            MembershipEvent::HostRestarted(id) => {
                info!(log, "host restarted"; events::PEER_RESTARTED, "peer" => %id);
            }
            MembershipEvent::Isolated => {
                warn!(log, "too many hosts do not answer, this host may be isolated"; events::ISOLATED)
            }
            MembershipEvent::Rejoined => info!(log, "other hosts answer again"; events::REJOINED),
            MembershipEvent::Paused(ms) => {
                warn!(log, "control thread was paused"; events::CONTROL_PAUSED, "milliseconds" => ms);
            }
            MembershipEvent::Superseded(incarnation) => {
                warn!(log, "a later run uses this host's name"; events::HOST_SUPERSEDED,
                    "incarnation" => incarnation);
            }
        }
    }
}

/// Opens the socket for other entry hosts; returns `None` if the settings name no keys.
///
/// # Errors
/// [`PeerError`] if the keys or the address can not be used.
pub(crate) fn open(
    shared: &Shared,
    ex: Executor,
) -> Result<Option<(Transport, async_channel::Receiver<InboundMessage>)>, Report<PeerError>> {
    let settings = &shared.settings;
    if settings.peers == config::PeerSettings::default() {
        return Ok(None);
    }
    let options = TransportOptions {
        host: settings.host.id.clone(),
        listen: settings.listen.peers,
        tls: PeerTls::load(&settings.peers)?,
    };
    Transport::bind(options, ex).map(Some)
}

/// Sends a tick to the control loop at each interval.
pub(crate) async fn tick(tx: async_channel::Sender<ControlInput>) {
    while tx.send(ControlInput::Tick).await.is_ok() {
        smol::Timer::after(TICK_INTERVAL).await;
    }
}

/// Forwards messages from other hosts to the control loop.
pub(crate) async fn receive(
    arrivals: async_channel::Receiver<InboundMessage>,
    tx: async_channel::Sender<ControlInput>,
) {
    while let Ok(arrived) = arrivals.recv().await {
        if tx.send(ControlInput::Arrived(arrived)).await.is_err() {
            return;
        }
    }
}
