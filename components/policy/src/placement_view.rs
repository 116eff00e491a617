use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::SocketAddr;

use slotmap::SlotMap;
use utils::{ModelId, Monotonic, RegionId, TargetId, WeightVersion};

use crate::placement_cost::queue_seconds;
use crate::{Candidate, CandidateKey, StoreKey};

/// A snapshot of targets, stores and links on which placement decisions are based; immutable once published.
#[derive(Debug, Clone, Default)]
pub struct PlacementView {
    /// Targets by key.
    pub targets: SlotMap<CandidateKey, Candidate>,
    /// Store hosts by key.
    pub stores: SlotMap<StoreKey, StoreView>,
    /// Links between regions, one per direction.
    pub links: Vec<LinkView>,
    /// Bytes of KV cache in a full piece.
    pub piece_bytes: u64,
    /// Targets by model and weight version; see [`PlacementView::build_index`].
    pub index: ServingIndex,
}

/// The targets that serve each model and weight version, shortest queue first; empty until it is built.
#[derive(Debug, Clone, Default)]
pub struct ServingIndex(HashMap<ModelId, Vec<(WeightVersion, Vec<CandidateKey>)>>);

/// A store host with its measured transfer rate and backlog.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreView {
    /// Name of the store host.
    pub id: TargetId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Region of the store.
    pub region: RegionId,
    /// Whether transfers from it may start.
    pub is_usable: bool,
    /// Measured rate of transfers from it within its region, in bytes per second.
    pub bytes_per_second: f64,
    /// Bytes of transfers in flight.
    pub backlog_bytes: u64,
}

/// One direction of the link between two regions.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkView {
    /// Region that sends.
    pub from: RegionId,
    /// Region that receives.
    pub to: RegionId,
    /// Whether transfers over it may start.
    pub is_usable: bool,
    /// Measured rate, in bytes per second.
    pub bytes_per_second: f64,
    /// Bytes of transfers in flight.
    pub backlog_bytes: u64,
    /// Bytes that this host may send over it now.
    pub budget_bytes: u64,
}

impl PlacementView {
    /// Indexes the targets by model and weight version, which lets a decision among many targets evaluate
    /// only a few.
    ///
    /// ```
    /// let mut view = policy::PlacementView::default();
    /// view.build_index(std::time::Duration::ZERO);
    /// assert!(view.targets.is_empty());
    /// ```
    pub fn build_index(&mut self, now: Monotonic) {
        self.index.0.clear();
        for (key, candidate) in &self.targets {
            for (model, version) in &candidate.versions {
                let versions = self.index.0.entry(model.clone()).or_default();
                match versions.iter_mut().find(|(v, _)| v == version) {
                    Some((_, keys)) => keys.push(key),
                    None => versions.push((*version, vec![key])),
                }
            }
        }
        let targets = &self.targets;
        let wait = |key: &CandidateKey| targets.get(*key).map_or(f64::MAX, |c| queue_seconds(c, now));
        for (_, keys) in self.index.0.values_mut().flatten() {
            keys.sort_by(|a, b| wait(a).partial_cmp(&wait(b)).unwrap_or(Ordering::Equal));
        }
    }

    /// Returns the targets that serve a model at a weight version, shortest queue first; `None` if there is
    /// no index, or if it lacks the model.
    pub(crate) fn targets_serving(&self, model: &ModelId, version: WeightVersion) -> Option<&[CandidateKey]> {
        if self.index.0.is_empty() {
            return None;
        }
        let versions = self.index.0.get(model)?;
        let found = versions.iter().find(|(v, _)| *v == version);
        Some(found.map_or(&[], |(_, keys)| keys))
    }

    /// Returns the link from one region to another.
    pub(crate) fn link(&self, from: &RegionId, to: &RegionId) -> Option<&LinkView> {
        self.links.iter().find(|l| l.from == *from && l.to == *to)
    }
}
