use metadata::ListedHost;
use utils::{HostId, Incarnation, Monotonic, RegionId, TargetId};

use crate::{Demand, Heartbeat, Quarantined, TargetSummary};

/// Result of a call from this host to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The target answered.
    Answered,
    /// The target did not answer, not even on a new connection.
    Failed,
}

/// An input of the membership state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Time has passed; expected several times a second.
    Tick,
    /// The platform's list was read.
    List(Vec<ListedHost>),
    /// A heartbeat arrived.
    Received {
        /// Name of the sender, from its certificate.
        from: HostId,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// A call of this host to a target has ended.
    Observed {
        /// The target.
        target: TargetId,
        /// Result of the call.
        observation: Observation,
    },
    /// This host has read the load of a target that it watches.
    Watched(TargetSummary),
    /// State of the release notes at this host, to be sent in heartbeats.
    Notes(Vec<u8>),
    /// This host quarantined a request.
    Quarantine(Quarantined),
    /// Demand of the workspaces at this host.
    Demand(Vec<Demand>),
    /// This host starts to drain.
    Leave,
}

/// A change that is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The list dropped too large a share of a pool at once; the value is the number of hosts and targets
    /// that are kept although the list dropped them.
    ListDistrusted(usize),
    /// A host did not answer probes and is suspected to have failed.
    HostSuspected(HostId),
    /// A host is considered dead.
    HostDead(HostId),
    /// A host that was suspected or considered dead answers again.
    HostRecovered(HostId),
    /// A host restarted with a new incarnation.
    HostRestarted(HostId),
    /// More than half of the neighbours in the region are silent at once.
    Isolated,
    /// Enough neighbours answer again.
    Rejoined,
    /// This process was paused; the value is the time between two inputs, in milliseconds.
    Paused(u64),
    /// Another process runs under this host's name with a later incarnation.
    Superseded(Incarnation),
}

/// An action that the caller of the membership state machine performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a heartbeat.
    Send {
        /// The receiver.
        to: HostId,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Replace the connection to a host that is silent, as its process may still be alive.
    Reconnect(HostId),
    /// Read the view again, as it has changed.
    ViewChanged,
    /// Write a log line.
    Log(MembershipEvent),
    /// State of the release notes at another host arrived.
    NotesReceived {
        /// The other host.
        from: HostId,
        /// Its region, if it is listed.
        region: Option<RegionId>,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Time at which the answered probe was sent; `None` if the heartbeat answers no probe of this host.
        probe_sent: Option<Monotonic>,
        /// The encoded state; opaque to this crate.
        notes: Vec<u8>,
    },
    /// A request that is quarantined at another host.
    QuarantineReceived(Quarantined),
    /// Demand of the workspaces at another host arrived.
    DemandReceived {
        /// The other host.
        from: HostId,
        /// Demand of each workspace.
        demand: Vec<Demand>,
    },
}
