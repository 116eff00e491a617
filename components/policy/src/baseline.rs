use utils::Monotonic;

use crate::{
    Candidate, Chosen, CostTerms, Placement, PlacementRequest, PlacementView, Placer, Rejected,
    RejectedReason, TargetState,
};

/// Chooses the target with the least waiting work; knows nothing of caches.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

impl Placer for LeastLoaded {
    fn place(
        &self,
        view: &PlacementView,
        req: &PlacementRequest<'_>,
        allowed: &dyn Fn(&Candidate) -> bool,
        _now: Monotonic,
    ) -> Placement {
        let mut best: Option<Chosen> = None;
        let mut rejected = Vec::new();
        for (key, candidate) in &view.targets {
            if let Some(reason) = reject(candidate, req, allowed) {
                rejected.push(Rejected {
                    target: candidate.id.clone(),
                    reason,
                });
                continue;
            }
            let cost = wait(candidate, req);
            if let Some(kept) = best.as_ref().filter(|kept| kept.cost.total <= cost.total) {
                debug_assert!(kept.cost.total.is_finite());
                let reason = RejectedReason::Costlier(cost.total);
                rejected.push(Rejected {
                    target: candidate.id.clone(),
                    reason,
                });
                continue;
            }
            let chosen = Chosen {
                key,
                target: candidate.id.clone(),
                address: candidate.address,
                cost,
                fetches: Vec::new(),
            };
            if let Some(lost) = best.replace(chosen) {
                let reason = RejectedReason::Costlier(lost.cost.total);
                rejected.push(Rejected {
                    target: lost.target,
                    reason,
                });
            }
        }
        Placement {
            chosen: best,
            rejected,
            considered: view.targets.len(),
        }
    }
}

fn reject(
    candidate: &Candidate,
    req: &PlacementRequest<'_>,
    allowed: &dyn Fn(&Candidate) -> bool,
) -> Option<RejectedReason> {
    let serves = |(model, version): &(_, u32)| model == req.model && *version == req.weight_version;
    match candidate.state {
        TargetState::Leaving => Some(RejectedReason::Leaving),
        TargetState::Suspect => Some(RejectedReason::Suspect),
        TargetState::Live if !candidate.versions.iter().any(serves) => Some(RejectedReason::NoVersion),
        TargetState::Live if req.excluded.contains(&candidate.id) => Some(RejectedReason::Excluded),
        TargetState::Live if !allowed(candidate) => Some(RejectedReason::Forbidden),
        TargetState::Live => None,
    }
}

fn wait(candidate: &Candidate, req: &PlacementRequest<'_>) -> CostTerms {
    let queued = candidate.queued_prompt_tokens + candidate.sent_since_tokens;
    let speed = candidate.prefill_tokens_per_second.max(1.0);
    let queue_seconds = queued as f64 / speed;
    let prefill_seconds = f64::from(req.prompt_tokens) / speed;
    CostTerms {
        queue_seconds,
        prefill_seconds,
        total: queue_seconds + prefill_seconds,
        ..CostTerms::default()
    }
}
