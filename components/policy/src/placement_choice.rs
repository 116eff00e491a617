use std::sync::Arc;

use utils::Monotonic;

use crate::placement_cost::{CostModel, FetchPlan};
use crate::{
    CacheIndex, Candidate, CandidateKey, Chosen, CostTerms, Fetch, Placement, PlacementRequest,
    PlacementView, Placer, Rejected, RejectedReason, TargetState,
};

/// Maximum number of candidates on the shortlist.
const SHORTLIST_LEN: usize = 8;

/// Maximum number of candidates that a decision lists besides the chosen one.
const MAX_EXPLAINED: usize = 5;

/// Maximum number of serving targets that are all evaluated; of more, a sample is evaluated.
const MAX_EXHAUSTIVE_TARGETS: usize = 64;

/// Number of targets with a short queue that are sampled.
const SAMPLE_SIZE: usize = 16;

/// Difference below which costs count as equal, in seconds; added to [`TIE_SHARE`].
const TIE_SECONDS: f64 = 0.005;

/// Relative difference below which costs count as equal.
const TIE_SHARE: f64 = 0.01;

/// Chooses the target with the lowest total cost of queueing, transfers, prefill and link use.
pub struct CacheAware {
    /// Index of the locations of pieces.
    index: Arc<dyn CacheIndex>,
}

/// A candidate with its cost and fetch plan.
#[derive(Debug, Clone, Copy, Default)]
struct Scored {
    key: CandidateKey,
    cost: CostTerms,
    plan: FetchPlan,
}

/// Results of the evaluation so far, in a fixed amount of memory.
#[derive(Default)]
struct Shortlist {
    /// The cheapest candidates that meet the deadline, cheapest first.
    best: [Scored; SHORTLIST_LEN],
    len: usize,
    /// Candidates that can't take the request, with the reason.
    rejected: [Option<(CandidateKey, RejectedReason)>; MAX_EXPLAINED],
    considered: usize,
}

impl CacheAware {
    /// Creates a placer that takes the locations of pieces from `index`.
    pub fn new(index: Arc<dyn CacheIndex>) -> Self {
        Self { index }
    }
}

impl Placer for CacheAware {
    fn place(
        &self,
        view: &PlacementView,
        req: &PlacementRequest<'_>,
        allowed: &dyn Fn(&Candidate) -> bool,
        now: Monotonic,
    ) -> Placement {
        let copies = self.index.copies(req.pieces);
        let model = CostModel::new(view, req, &copies);
        let mut list = Shortlist::default();
        let mut evaluate = |key: CandidateKey| {
            let Some(candidate) = view.targets.get(key) else {
                return;
            };
            list.considered += 1;
            if let Some(reason) = rejection_reason(candidate, req, allowed) {
                return list.reject(key, reason);
            }
            if !model.fits_link_budget(candidate) {
                return list.reject(key, RejectedReason::LinkBudget);
            }
            let (cost, plan) = model.cheapest(candidate, copies.target(key), now);
            let first_token = cost.queue_seconds.max(cost.fetch_seconds) + cost.prefill_seconds;
            if first_token > req.time_left.as_secs_f64() {
                return list.reject(key, RejectedReason::TooLate(first_token));
            }
            list.insert(Scored { key, cost, plan });
        };
        match view.targets_serving(req.model, req.weight_version) {
            Some(keys) if keys.len() > MAX_EXHAUSTIVE_TARGETS => {
                copies.targets().iter().for_each(|c| evaluate(c.target));
                sample(keys, req.seed).for_each(&mut evaluate);
            }
            Some(keys) => rotated(keys, req.seed).for_each(&mut evaluate),
            None => view.targets.keys().for_each(evaluate),
        }
        list.placement(view, req)
    }
}

/// Returns why a candidate can't take a request; `None` if it can.
pub(crate) fn rejection_reason(
    candidate: &Candidate,
    req: &PlacementRequest<'_>,
    allowed: &dyn Fn(&Candidate) -> bool,
) -> Option<RejectedReason> {
    let serves = |(model, version): &(_, u32)| *version == req.weight_version && model == req.model;
    match candidate.state {
        TargetState::Leaving => Some(RejectedReason::Leaving),
        TargetState::Suspect => Some(RejectedReason::Suspect),
        TargetState::Live if !candidate.versions.iter().any(serves) => Some(RejectedReason::NoVersion),
        TargetState::Live if req.excluded.contains(&candidate.id) => Some(RejectedReason::Excluded),
        TargetState::Live if !allowed(candidate) => Some(RejectedReason::Forbidden),
        TargetState::Live => None,
    }
}

/// Iterates over all keys from a start that the seed selects, which varies the order of candidates with equal
/// cost.
fn rotated(keys: &[CandidateKey], seed: u64) -> impl Iterator<Item = CandidateKey> {
    let start = seed as usize % keys.len().max(1);
    keys[start..].iter().chain(&keys[..start]).copied()
}

/// Selects keys with short queues from a start that the seed selects. The sample is drawn from the first
/// quarter of the keys, which keeps hosts from all evaluating the same targets.
fn sample(keys: &[CandidateKey], seed: u64) -> impl Iterator<Item = CandidateKey> {
    let quarter = keys.len() / 4;
    let step = quarter / SAMPLE_SIZE;
    let start = seed as usize % quarter;
    (0..SAMPLE_SIZE).map(move |n| keys[(start + n * step) % quarter])
}

impl Shortlist {
    fn insert(&mut self, scored: Scored) {
        let at = self.best[..self.len].partition_point(|b| b.cost.total <= scored.cost.total);
        let is_listed = self.best[..self.len].iter().any(|b| b.key == scored.key);
        if at == SHORTLIST_LEN || is_listed {
            return;
        }
        self.len = (self.len + 1).min(SHORTLIST_LEN);
        self.best[at..self.len].rotate_right(1);
        self.best[at] = scored;
    }

    fn reject(&mut self, key: CandidateKey, reason: RejectedReason) {
        if let Some(free) = self.rejected.iter_mut().find(|r| r.is_none()) {
            *free = Some((key, reason));
        }
    }

    /// Draws two of the candidates that tie with the lowest cost, by the seed, and returns the index of the
    /// cheaper one.
    fn pick(&self, seed: u64) -> Option<usize> {
        let best = self.best[..self.len].first()?.cost.total;
        let bound = best + TIE_SECONDS + best.abs() * TIE_SHARE;
        let ties = self.best[..self.len].partition_point(|b| b.cost.total <= bound);
        let first = (seed >> 32) as usize % ties;
        let second = (seed >> 16) as usize % ties;
        Some(first.min(second))
    }

    fn placement(self, view: &PlacementView, req: &PlacementRequest<'_>) -> Placement {
        let picked = self.pick(req.seed);
        let chosen = picked.and_then(|at| chosen(&self.best[at], view, req));
        let mut rejected = Vec::with_capacity(MAX_EXPLAINED);
        let others = self.best[..self.len]
            .iter()
            .enumerate()
            .filter(|(at, _)| Some(*at) != picked);
        let costlier = others.map(|(_, s)| (s.key, RejectedReason::Costlier(s.cost.total)));
        let ineligible = self.rejected.into_iter().flatten();
        for (key, reason) in costlier.chain(ineligible).take(MAX_EXPLAINED) {
            if let Some(candidate) = view.targets.get(key) {
                let target = candidate.id.clone();
                rejected.push(Rejected { target, reason });
            }
        }
        Placement {
            chosen,
            rejected,
            considered: self.considered,
        }
    }
}

fn chosen(scored: &Scored, view: &PlacementView, req: &PlacementRequest<'_>) -> Option<Chosen> {
    let candidate = view.targets.get(scored.key)?;
    let plan = &scored.plan;
    let near = plan.near.map_or(0, |(_, pieces)| pieces);
    let parts = [
        (plan.near, plan.first, false),
        (plan.far, plan.first + near, true),
    ];
    let mut fetches = Vec::with_capacity(usize::from(near + plan.far.map_or(0, |(_, pieces)| pieces)));
    for (part, first, crosses_regions) in parts {
        let Some((key, pieces)) = part else { continue };
        let store = view.stores.get(key)?.address;
        let pieces_of_part = req
            .pieces
            .iter()
            .skip(usize::from(first))
            .take(usize::from(pieces));
        fetches.extend(pieces_of_part.map(|piece| Fetch {
            piece: *piece,
            store,
            crosses_regions,
        }));
    }
    Some(Chosen {
        key: scored.key,
        target: candidate.id.clone(),
        address: candidate.address,
        cost: scored.cost,
        fetches,
    })
}
