use std::net::SocketAddr;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use utils::{FailureDomainId, Monotonic, RegionId, TargetId};

use crate::TargetState;

new_key_type! {
    /// Key of a target in [`ServiceTargets`].
    pub struct ServiceTargetKey;
}

/// Consecutive failures after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 5;

/// Duration of the first ejection; it doubles with each consecutive ejection.
const BASE_EJECTION: Duration = Duration::from_secs(5);

/// Maximum number of doublings of [`BASE_EJECTION`].
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// Number of additional open calls that a target in the caller's failure domain may have over one in another
/// failure domain of the region.
const SAME_DOMAIN_BONUS: u32 = 2;

/// Number of additional open calls that a target in the caller's region, but outside its failure domain, may
/// have over one in another region.
const SAME_REGION_BONUS: u32 = 2;

/// A target of a plain service, with its open calls and ejection state.
#[derive(Debug, Clone)]
pub struct ServiceTarget {
    /// Name of the target.
    pub id: TargetId,
    /// Address for calls.
    pub address: SocketAddr,
    /// Region of the target.
    pub region: RegionId,
    /// Failure domain inside the region.
    pub failure_domain: FailureDomainId,
    /// Whether it accepts new work.
    pub state: TargetState,
    /// Open calls of this host to the target.
    pub outstanding: u32,
    /// Consecutive failures.
    pub failures: u32,
    /// Consecutive ejections.
    pub ejections: u32,
    /// End of the current ejection.
    pub ejected_until: Option<Monotonic>,
}

/// The targets of one plain service. Balances calls by the number of open calls and ejects targets that fail
/// repeatedly.
///
/// At least half of the live targets stay in use regardless of failures, since failures of most targets
/// indicate a common cause.
#[derive(Debug, Clone, Default)]
pub struct ServiceTargets {
    /// The targets by key.
    pub targets: SlotMap<ServiceTargetKey, ServiceTarget>,
}

impl ServiceTarget {
    /// Creates a live target without open calls.
    pub fn new(id: TargetId, address: SocketAddr, region: RegionId, failure_domain: FailureDomainId) -> Self {
        Self {
            id,
            address,
            region,
            failure_domain,
            state: TargetState::Live,
            outstanding: 0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// Whether the target is ejected.
    pub fn is_ejected(&self, now: Monotonic) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}

impl ServiceTargets {
    /// Chooses the target with the fewest open calls. Targets in the caller's region or failure domain are
    /// preferred up to a few additional open calls.
    pub fn choose(
        &self,
        region: &RegionId,
        failure_domain: &FailureDomainId,
        allowed: impl Fn(&ServiceTarget) -> bool,
        now: Monotonic,
    ) -> Option<ServiceTargetKey> {
        let usable = |t: &ServiceTarget| t.state == TargetState::Live && !t.is_ejected(now) && allowed(t);
        let penalty = |t: &ServiceTarget| match (t.region == *region, t.failure_domain == *failure_domain) {
            (true, true) => 0,
            (true, false) => SAME_DOMAIN_BONUS,
            (false, _) => SAME_DOMAIN_BONUS + SAME_REGION_BONUS,
        };
        let candidates = self.targets.iter().filter(|(_, t)| usable(t));
        candidates
            .min_by_key(|(_, t)| t.outstanding + penalty(t))
            .map(|(key, _)| key)
    }

    /// Records the start of a call; the caller does so before it sends the call.
    pub fn started(&mut self, key: ServiceTargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.outstanding += 1;
        }
    }

    /// Records the end of a call. Returns whether it caused an ejection of the target.
    pub fn ended(&mut self, key: ServiceTargetKey, is_failure: bool, now: Monotonic) -> bool {
        let may_eject = self.may_eject(now);
        let Some(target) = self.targets.get_mut(key) else {
            return false;
        };
        target.outstanding = target.outstanding.saturating_sub(1);
        if !is_failure {
            target.failures = 0;
            target.ejections = 0;
            return false;
        }
        target.failures += 1;
        if target.failures < FAILURES_TO_EJECT || target.is_ejected(now) || !may_eject {
            return false;
        }
        let duration = BASE_EJECTION * 2_u32.pow(target.ejections.min(MAX_EJECTION_DOUBLINGS));
        target.ejected_until = Some(now + duration);
        target.ejections += 1;
        // A single failure after the ejection ejects the target again.
        target.failures = FAILURES_TO_EJECT - 1;
        true
    }

    /// Whether at least half of the live targets stay in use after one more ejection.
    fn may_eject(&self, now: Monotonic) -> bool {
        let live = self.targets.values().filter(|t| t.state == TargetState::Live);
        let (ejected, all) = live.fold((0, 0), |(e, n), t| (e + usize::from(t.is_ejected(now)), n + 1));
        (ejected + 1) * 2 <= all
    }
}
