use std::sync::Arc;
use std::time::Duration;

use metadata::ListedHost;
use utils::{HostId, Incarnation, Monotonic};

use crate::{Damping, HostStatus, HostTag, Rumour};

/// Time without an echo after which indirect probes are requested.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an echo or a vouch after which a host is suspected.
pub(crate) const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Time after which a suspected host that has not refuted the suspicion is considered dead.
pub(crate) const DEAD_AFTER: Duration = Duration::from_secs(3);

/// A probe whose echo has not arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OutstandingProbe {
    /// Nonce of the probe.
    pub(crate) nonce: u64,
    /// Time at which the probe was sent.
    pub(crate) sent: Monotonic,
    /// Whether indirect probes were requested.
    pub(crate) indirect_sent: bool,
}

/// State of another entry host as this host knows it.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Its entry on the platform's list.
    pub(crate) listed: Arc<ListedHost>,
    /// Whether the current list no longer contains the host.
    pub(crate) unlisted: bool,
    /// Last known incarnation.
    pub(crate) incarnation: Incarnation,
    /// Last known revision of its status.
    pub(crate) revision: u32,
    /// Last known status.
    pub(crate) status: HostStatus,
    /// Time of the last change of the status.
    pub(crate) status_since: Monotonic,
    /// Time at which the last answered probe was sent.
    pub(crate) last_contact: Option<Monotonic>,
    /// Time at which the first of the unanswered probes was sent.
    pub(crate) silent_since: Option<Monotonic>,
    /// Nonce of the last request for indirect probes.
    pub(crate) indirect_nonce: Option<u64>,
    /// The latest probe, until its echo arrives.
    pub(crate) outstanding: Option<OutstandingProbe>,
    /// Flap damping.
    pub(crate) damping: Damping,
}

impl Peer {
    pub(crate) fn new(listed: Arc<ListedHost>, now: Monotonic) -> Self {
        Self {
            incarnation: 0,
            listed,
            unlisted: false,
            revision: 0,
            status: HostStatus::Alive,
            status_since: now,
            last_contact: None,
            silent_since: None,
            indirect_nonce: None,
            outstanding: None,
            damping: Damping::default(),
        }
    }

    pub(crate) fn id(&self) -> &HostId {
        &self.listed.id
    }

    pub(crate) fn tag(&self) -> HostTag {
        HostTag::of(&self.listed.id)
    }

    /// Returns the known status of the peer as a rumour.
    pub(crate) fn rumour(&self) -> Rumour {
        Rumour {
            host: self.tag(),
            incarnation: self.incarnation,
            revision: self.revision,
            status: self.status,
        }
    }

    /// Sets the status; returns whether it changed.
    pub(crate) fn set_status(&mut self, status: HostStatus, now: Monotonic) -> bool {
        if self.status == status {
            return false;
        }
        match status {
            HostStatus::Suspect if self.status == HostStatus::Alive => self.damping.fail(now),
            HostStatus::Alive => self.damping.recover(now),
            _ => {}
        }
        self.status = status;
        self.status_since = now;
        true
    }

    /// Applies a rumour about the peer; returns whether it was newer than the known status.
    pub(crate) fn apply(&mut self, rumour: &Rumour, now: Monotonic) -> bool {
        let known = (self.incarnation, self.revision, self.status);
        if (rumour.incarnation, rumour.revision, rumour.status) <= known {
            return false;
        }
        if rumour.incarnation > self.incarnation {
            self.outstanding = None;
            self.silent_since = None;
            self.last_contact = None;
        }
        self.incarnation = rumour.incarnation;
        self.revision = rumour.revision;
        self.set_status(rumour.status, now);
        true
    }

    /// Returns whether probes have been unanswered for [`SUSPECT_AFTER`].
    pub(crate) fn is_silent(&self, now: Monotonic) -> bool {
        self.silent_since
            .is_some_and(|since| now.saturating_sub(since) >= SUSPECT_AFTER)
    }

    /// Returns whether answers to probes of this host contradict a rumour that the peer is suspect.
    pub(crate) fn contradicts(&self, rumour: &Rumour) -> bool {
        rumour.status == HostStatus::Suspect
            && rumour.incarnation == self.incarnation
            && self.last_contact.is_some()
            && self.silent_since.is_none()
    }

    /// Returns whether the peer counts as live for ownership and views.
    pub(crate) fn is_usable(&self, now: Monotonic) -> bool {
        match self.status {
            HostStatus::Dead => false,
            _ => self.damping.is_usable(now),
        }
    }
}
