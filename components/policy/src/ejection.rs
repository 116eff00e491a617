use std::net::SocketAddr;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use utils::{FailureDomainId, Monotonic, RegionId, TargetId};

use crate::TargetState;

new_key_type! {
    /// Key of a target of a plain service.
    pub struct ServiceTargetKey;
}

/// Failures in a row that eject a target.
const FAILURES_TO_EJECT: u32 = 5;

/// Shortest time of an ejection; it doubles with each one that follows.
const FIRST_EJECTION: Duration = Duration::from_secs(5);

/// Longest time of an ejection, as a power of two of the first.
const MAX_DOUBLINGS: u32 = 5;

/// More open calls that a target of the same failure domain may have than another one.
const SAME_DOMAIN_BONUS: u32 = 2;

/// More open calls that a target of the same region may have than another one.
const SAME_REGION_BONUS: u32 = 2;

/// A target of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceTarget {
    /// Name of the target.
    pub id: TargetId,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Region that it stands in.
    pub region: RegionId,
    /// Failure domain inside the region.
    pub failure_domain: FailureDomainId,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Calls of this host that are open.
    pub outstanding: u32,
    /// Failures in a row.
    pub failures: u32,
    /// Ejections in a row.
    pub ejections: u32,
    /// End of the current ejection.
    pub ejected_until: Option<Monotonic>,
}

/// The targets of one plain service; chooses by open calls and ejects targets that keep failing.
///
/// At least half of the live targets stay in use, whatever fails, since failures of most targets point to a common
/// cause.
#[derive(Debug, Clone, Default)]
pub struct ServiceTargets {
    /// The targets.
    pub targets: SlotMap<ServiceTargetKey, ServiceTarget>,
}

impl ServiceTarget {
    /// A live target without open calls.
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
    /// The target with the fewest open calls; near ones may have a few more than others.
    pub fn choose(
        &self,
        region: &RegionId,
        failure_domain: &FailureDomainId,
        allowed: impl Fn(&ServiceTarget) -> bool,
        now: Monotonic,
    ) -> Option<ServiceTargetKey> {
        let usable = |t: &ServiceTarget| t.state == TargetState::Live && !t.is_ejected(now) && allowed(t);
        let distance = |t: &ServiceTarget| match (t.region == *region, t.failure_domain == *failure_domain) {
            (true, true) => 0,
            (true, false) => SAME_DOMAIN_BONUS,
            (false, _) => SAME_DOMAIN_BONUS + SAME_REGION_BONUS,
        };
        let candidates = self.targets.iter().filter(|(_, t)| usable(t));
        candidates
            .min_by_key(|(_, t)| t.outstanding + distance(t))
            .map(|(key, _)| key)
    }

    /// Counts a call before it is sent.
    pub fn started(&mut self, key: ServiceTargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.outstanding += 1;
        }
    }

    /// Takes how a call ended. True if the target is ejected by it.
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
        let time = FIRST_EJECTION * 2_u32.pow(target.ejections.min(MAX_DOUBLINGS));
        target.ejected_until = Some(now + time);
        target.ejections += 1;
        // One more failure after the ejection ejects it again.
        target.failures = FAILURES_TO_EJECT - 1;
        true
    }

    /// Whether half of the live targets are left in use after one more ejection.
    fn may_eject(&self, now: Monotonic) -> bool {
        let live = self.targets.values().filter(|t| t.state == TargetState::Live);
        let (ejected, all) = live.fold((0, 0), |(e, n), t| (e + usize::from(t.is_ejected(now)), n + 1));
        (ejected + 1) * 2 <= all
    }
}
