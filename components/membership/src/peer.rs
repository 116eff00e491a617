use std::sync::Arc;
use std::time::Duration;

use metadata::ListedHost;
use utils::{HostId, Incarnation, Monotonic};

use crate::{Damping, HostStatus, HostTag, Rumour};

/// Time without an echo after which other hosts are asked to probe.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an echo or a vouch after which a host is suspected.
pub(crate) const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Time for a suspected host to object.
pub(crate) const DEAD_AFTER: Duration = Duration::from_secs(3);

/// A probe without an echo so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Outstanding {
    /// Nonce of the probe.
    pub(crate) nonce: u64,
    /// When it was sent.
    pub(crate) sent: Monotonic,
    /// Whether others were asked to probe.
    pub(crate) indirect: bool,
}

/// What is known about another entry host.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Entry on the list.
    pub(crate) listed: Arc<ListedHost>,
    /// Whether the list no longer names it.
    pub(crate) unlisted: bool,
    /// Last known incarnation.
    pub(crate) incarnation: Incarnation,
    /// Revision of what is known.
    pub(crate) revision: u32,
    /// What is known.
    pub(crate) status: HostStatus,
    /// When the status changed.
    pub(crate) since: Monotonic,
    /// When the last answered probe was sent.
    pub(crate) heard_at: Option<Monotonic>,
    /// When the first of the unanswered probes was sent.
    pub(crate) silent_since: Option<Monotonic>,
    /// Nonce of the request to other hosts to probe this one.
    pub(crate) indirect_nonce: Option<u64>,
    /// The latest probe without an echo.
    pub(crate) outstanding: Option<Outstanding>,
    /// Hysteresis for hosts that fail and recover.
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
            since: now,
            heard_at: None,
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

    /// What this host tells others about the peer.
    pub(crate) fn rumour(&self) -> Rumour {
        Rumour {
            host: self.tag(),
            incarnation: self.incarnation,
            revision: self.revision,
            status: self.status,
        }
    }

    /// Sets the status; says whether it changed.
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
        self.since = now;
        true
    }

    /// Takes news about the peer; says whether it was newer than what was known.
    pub(crate) fn apply(&mut self, rumour: &Rumour, now: Monotonic) -> bool {
        let known = (self.incarnation, self.revision, self.status);
        if (rumour.incarnation, rumour.revision, rumour.status) <= known {
            return false;
        }
        if rumour.incarnation > self.incarnation {
            self.outstanding = None;
            self.silent_since = None;
            self.heard_at = None;
        }
        self.incarnation = rumour.incarnation;
        self.revision = rumour.revision;
        self.set_status(rumour.status, now);
        true
    }

    /// Whether probes have gone unanswered for long.
    pub(crate) fn is_silent(&self, now: Monotonic) -> bool {
        self.silent_since
            .is_some_and(|since| now.saturating_sub(since) >= SUSPECT_AFTER)
    }

    /// Whether this host itself hears the peer, against a suspicion that others spread.
    pub(crate) fn is_heard_since_suspicion(&self, rumour: &Rumour) -> bool {
        rumour.status == HostStatus::Suspect
            && rumour.incarnation == self.incarnation
            && self.heard_at.is_some()
            && self.silent_since.is_none()
    }

    /// Whether the peer counts as live for ownership and for views.
    pub(crate) fn is_usable(&self, now: Monotonic) -> bool {
        match self.status {
            HostStatus::Dead => false,
            _ => self.damping.is_usable(now),
        }
    }
}
