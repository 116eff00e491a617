use utils::Monotonic;

use crate::placement_choice::rejection_reason;
use crate::placement_cost::queue_seconds;
use crate::{
    Candidate, Chosen, CostTerms, Placement, PlacementRequest, PlacementView, Placer, Rejected,
    RejectedReason,
};

/// Chooses the target with the shortest queue and prefill time, without regard to caches.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

impl Placer for LeastLoaded {
    fn place(
        &self,
        view: &PlacementView,
        req: &PlacementRequest<'_>,
        allowed: &dyn Fn(&Candidate) -> bool,
        now: Monotonic,
    ) -> Placement {
        let mut best: Option<Chosen> = None;
        let mut rejected = Vec::new();
        for (key, candidate) in &view.targets {
            if let Some(reason) = rejection_reason(candidate, req, allowed) {
                rejected.push(Rejected {
                    target: candidate.id.clone(),
                    reason,
                });
                continue;
            }
            let cost = cost_terms(candidate, req, now);
            if let Some(cheapest) = best.as_ref().filter(|cheapest| cheapest.cost.total <= cost.total) {
                debug_assert!(cheapest.cost.total.is_finite());
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
            if let Some(replaced) = best.replace(chosen) {
                let reason = RejectedReason::Costlier(replaced.cost.total);
                rejected.push(Rejected {
                    target: replaced.target,
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

fn cost_terms(candidate: &Candidate, req: &PlacementRequest<'_>, now: Monotonic) -> CostTerms {
    let queue_seconds = queue_seconds(candidate, now);
    let speed = candidate.prefill_tokens_per_second.max(1.0);
    let prefill_seconds = f64::from(req.prompt_tokens) / speed;
    CostTerms {
        queue_seconds,
        prefill_seconds,
        total: queue_seconds + prefill_seconds,
        ..CostTerms::default()
    }
}
