//! How a refused share is divided among workspaces.

use std::collections::BTreeMap;
use std::time::Duration;

use utils::Monotonic;

use super::RANKS;

/// Time in which half of a workspace's demand is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Demand in requests below which a workspace is forgotten.
const MIN_DEMAND: f64 = 0.05;
/// Most workspaces that are told apart in each class; the others count as one.
const MAX_WORKSPACES: usize = 256;
/// Least share of a workspace's requests that is admitted, relative to its class. A workspace that sends more than
/// the others, or all of the large requests, keeps half of what the class gets.
const MIN_ADMITTED: f64 = 0.5;
/// Steps of the search for the demand that each workspace is granted.
const SEARCH_STEPS: usize = 20;

/// Recent demand of one workspace.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    /// Requests up to the last one, those of a half-life before it counting half.
    requests: f64,
    /// Time of the last request.
    at: Monotonic,
}

impl Demand {
    fn requests(&self, now: Monotonic) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.requests * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

/// Recent demand at this host by rank of the priority and by workspace.
#[derive(Debug, Clone, Default)]
pub(super) struct Shares {
    /// Demand by workspace; the empty name stands for those beyond [`MAX_WORKSPACES`] and for callers without one.
    classes: [BTreeMap<Box<str>, Demand>; RANKS],
}

impl Shares {
    /// Counts a request in the demand of its workspace.
    pub(super) fn record(&mut self, rank: usize, workspace: &str, now: Monotonic) {
        let class = &mut self.classes[rank];
        if class.len() >= MAX_WORKSPACES && !class.contains_key(workspace) {
            class.retain(|_, demand| demand.requests(now) >= MIN_DEMAND);
        }
        let name = match class.len() < MAX_WORKSPACES || class.contains_key(workspace) {
            true => workspace,
            false => "",
        };
        let demand = class.entry(name.into()).or_default();
        *demand = Demand {
            requests: demand.requests(now) + 1.0,
            at: now,
        };
    }

    /// Whether there is recent demand of a more urgent rank.
    pub(super) fn has_more_urgent(&self, rank: usize, now: Monotonic) -> bool {
        let mut demands = self.classes[..rank].iter().flat_map(BTreeMap::values);
        demands.any(|demand| demand.requests(now) >= MIN_DEMAND)
    }

    /// Returns the share of a workspace's requests to refuse when `refused` of its class are.
    ///
    /// What the class keeps is divided evenly among its workspaces (max-min fairness); those that demand less leave
    /// the rest to the others.
    pub(super) fn refused_share(&self, rank: usize, workspace: &str, refused: f64, now: Monotonic) -> f64 {
        let class = &self.classes[rank];
        let demands: Vec<f64> = class.values().map(|demand| demand.requests(now)).collect();
        let own = class.get(workspace).or_else(|| class.get(""));
        let Some(own) = own.map(|demand| demand.requests(now)) else {
            return refused;
        };
        let total: f64 = demands.iter().sum();
        let kept = 1.0 - refused;
        let admitted =
            |demand: f64, grant: f64| (grant / demand.max(f64::MIN_POSITIVE)).clamp(kept * MIN_ADMITTED, 1.0);
        let (mut low, mut high) = (0.0, total);
        for _ in 0..SEARCH_STEPS {
            let grant = (low + high) / 2.0;
            let sum: f64 = demands
                .iter()
                .map(|demand| demand * admitted(*demand, grant))
                .sum();
            if sum > kept * total {
                high = grant;
            } else {
                low = grant;
            }
        }
        1.0 - admitted(own, high)
    }
}
