use std::sync::Arc;

use super::state::RoutingState;
use crate::Target;

/// Memory assumed for a request while this host has none in flight, in tokens.
const DEFAULT_REQUEST_MEMORY: f64 = 4_000.0;

/// Load assumed for other hosts at a target without a report: this host's average per target, for each other
/// host.
#[derive(Debug, Clone, Copy)]
pub(super) struct OtherHostsLoad {
    /// Requests of all other hosts at one target.
    pub requests: f64,
    /// Memory of each of these requests, in tokens.
    pub memory: f64,
}

impl OtherHostsLoad {
    /// Estimates the load from this host's own requests at the targets of a service.
    pub(super) fn estimate(routing: &RoutingState, targets: &[Arc<Target>], hosts: usize) -> Self {
        let slots = targets.iter().filter_map(|target| routing.slots.get(&target.run));
        let (memory, requests) = slots.fold((0, 0), |(memory, requests), slot| {
            (
                memory + slot.load.own_memory(),
                requests + u64::from(slot.load.own_requests()),
            )
        });
        let each = memory as f64 / requests.max(1) as f64;
        Self {
            requests: requests as f64 / targets.len().max(1) as f64 * hosts.saturating_sub(1) as f64,
            memory: if requests == 0 {
                DEFAULT_REQUEST_MEMORY
            } else {
                each
            },
        }
    }
}
