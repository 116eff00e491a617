use std::collections::HashSet;
use std::time::Duration;

use utils::{FailureDomainId, Monotonic, TargetId};

use crate::{AllowedRegions, Announcements, OldWeightsPolicy, Regions, Target};

/// Why a target is no candidate for a request. Ordered: the later the reason, the closer the target is to being a
/// candidate. A refusal names the last reason among those of all targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exclusion {
    /// It is outside the regions that the route and the workspace allow.
    OutsideAllowedRegions,
    /// Its failure domain is evacuated.
    Evacuated,
    /// The stream began at another version of the software, or could not be recorded as one of this version.
    OtherSoftware,
    /// It has said that it is leaving.
    Leaving,
    /// It has asked this host for a pause.
    Paused,
    /// The request was sent to it before, or could not reach it.
    AlreadyTried,
    /// Its weights were replaced too long ago.
    OldWeights,
    /// It is cold, and this host may not send to it at this moment.
    ColdQuotaUsed,
    /// The target has named a limit, and this host may not send a request there at this moment.
    LimitUsed,
}

impl Exclusion {
    /// Returns the reason for log lines and metrics.
    ///
    /// ```
    /// assert_eq!(gateway::Exclusion::OldWeights.as_str(), "old-weights");
    /// ```
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OutsideAllowedRegions => "outside-allowed-regions",
            Self::Evacuated => "evacuated",
            Self::OtherSoftware => "other-software",
            Self::Leaving => "leaving",
            Self::Paused => "paused",
            Self::AlreadyTried => "already-tried",
            Self::OldWeights => "old-weights",
            Self::ColdQuotaUsed => "cold-quota-used",
            Self::LimitUsed => "limit-used",
        }
    }
}

/// Decides which targets may receive a request. A function of the host's state without I/O.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRules<'a> {
    /// Region of each failure domain.
    pub regions: &'a Regions,
    /// Lists of regions that must all allow a target: those of the route and of the workspace, by the newest declaration
    /// and by that of the admission.
    pub allowed: [&'a AllowedRegions; 4],
    /// Evacuated failure domains.
    pub evacuated: &'a HashSet<FailureDomainId>,
    /// The only software version that may serve the request; `None` for any.
    pub software: Option<&'a str>,
    /// What targets have said of themselves.
    pub announcements: &'a Announcements,
    /// Targets that the request was sent to or that were unreachable.
    pub tried: &'a [TargetId],
    /// Cold targets to which this host may not send at this moment, sorted.
    pub cold_quota_used: &'a [TargetId],
    /// Targets with a limit to which this host may not send at this moment, sorted.
    pub limit_used: &'a [TargetId],
    /// Time of the decision.
    pub now: Monotonic,
}

impl PlacementRules<'_> {
    /// Returns the time until a target that has asked for a pause may be sent requests again.
    pub(crate) fn pause_left(&self, target: &Target) -> Option<Duration> {
        self.announcements.pause_left(&target.run, self.now)
    }

    /// Returns why nothing in a failure domain may serve the request, be it a target or a store of kept cache; `None` if
    /// it may.
    pub fn domain_exclusion(&self, domain: &str) -> Option<Exclusion> {
        let region = self.regions.get(domain);
        if !self.allowed.iter().all(|allowed| allowed.allow(region)) {
            return Some(Exclusion::OutsideAllowedRegions);
        }
        self.evacuated.contains(domain).then_some(Exclusion::Evacuated)
    }

    /// Returns why a target must not receive the request; `None` for a candidate.
    pub fn exclusion(&self, target: &Target, old_weights: OldWeightsPolicy) -> Option<Exclusion> {
        let run = &target.run;
        if let Some(reason) = self.domain_exclusion(&target.domain) {
            return Some(reason);
        }
        if self
            .software
            .is_some_and(|software| software != &*target.software)
        {
            return Some(Exclusion::OtherSoftware);
        }
        if self.pause_left(target).is_some() {
            return Some(Exclusion::Paused);
        }
        if !self.announcements.may_send(run, self.now) {
            return Some(Exclusion::Leaving);
        }
        if self.tried.contains(run) {
            return Some(Exclusion::AlreadyTried);
        }
        if old_weights == OldWeightsPolicy::Forbidden {
            return Some(Exclusion::OldWeights);
        }
        if self.cold_quota_used.binary_search(run).is_ok() {
            return Some(Exclusion::ColdQuotaUsed);
        }
        let is_used = self.limit_used.binary_search(run).is_ok();
        is_used.then_some(Exclusion::LimitUsed)
    }
}
