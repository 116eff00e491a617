use metadata::ListedHost;
use utils::{HostId, Incarnation, Monotonic, RegionId, TargetId};

use crate::{Demand, Heartbeat, Quarantined, TargetSummary};

/// What happened when this host used a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The target answered.
    Answered,
    /// The target did not answer, also on a new connection.
    Failed,
}

/// What the membership state machine is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Time has passed; due several times a second.
    Tick,
    /// The platform's list was read.
    List(Vec<ListedHost>),
    /// A heartbeat arrived.
    Received {
        /// The sender, by its certificate.
        from: HostId,
        /// Its content.
        heartbeat: Heartbeat,
    },
    /// Traffic of this host used a target.
    Observed {
        /// The target.
        target: TargetId,
        /// How it went.
        observation: Observation,
    },
    /// This host watches a target and has read its load.
    Watched(TargetSummary),
    /// State of the release notes at this host, to be carried by heartbeats.
    Notes(Vec<u8>),
    /// This host put a request under quarantine.
    Quarantine(Quarantined),
    /// Demand of workspaces at this host.
    Demand(Vec<Demand>),
    /// This host drains.
    Leave,
}

/// A change worth a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The list dropped too much of a pool at once; the value is the number of hosts kept.
    ListDistrusted(usize),
    /// A host is suspected.
    HostSuspected(HostId),
    /// A host is taken for dead.
    HostDead(HostId),
    /// A host that was suspected or dead answers again.
    HostRecovered(HostId),
    /// A host runs in a new incarnation.
    HostRestarted(HostId),
    /// Too many neighbours are silent at once.
    Isolated,
    /// Neighbours answer again.
    Rejoined,
    /// This process was paused; the value is the gap between two ticks in milliseconds.
    Paused(u64),
    /// Another process runs under this host's name with a later incarnation.
    Superseded(Incarnation),
}

/// What the membership state machine asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a heartbeat.
    Send {
        /// The receiver.
        to: HostId,
        /// The content.
        heartbeat: Heartbeat,
    },
    /// A host is silent although its process may live: replace the connection to it.
    Reconnect(HostId),
    /// The view changed.
    ViewChanged,
    /// Write a log line.
    Log(MembershipEvent),
    /// State of the release notes at another host.
    NotesReceived {
        /// The other host.
        from: HostId,
        /// Its region, if it is listed.
        region: Option<RegionId>,
        /// Its incarnation.
        incarnation: Incarnation,
        /// When the probe that this answers was sent; `None` if it answers none.
        probe_sent: Option<Monotonic>,
        /// Encoded by its owner.
        notes: Vec<u8>,
    },
    /// A request is quarantined at another host.
    QuarantineReceived(Quarantined),
    /// Demand of workspaces at another host.
    DemandReceived {
        /// The other host.
        from: HostId,
        /// Its demand.
        demand: Vec<Demand>,
    },
}
