use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::{
    CacheAware, CacheIndex, Candidate, Copies, PlacementRequest, PlacementView, Placer, TargetState,
};
use utils::{Digest, ModelId, RegionId, WorkspaceId};

use crate::size::{HOSTS, REQUESTS_PER_SECOND, Scale, TARGETS};
use crate::{Budget, Meter, Row, Sample};

/// Regions over which the targets are distributed.
const REGIONS: usize = 4;
/// Models over which the targets are distributed.
const MODELS: usize = 6;
/// Pieces in a prompt.
const PROMPT_PIECES: u32 = 16;
/// Targets that hold the first half of the prompt.
const HOLDERS: usize = 10;

/// Measures the memory and the build time of a placement view, and the time of a decision with it.
pub(crate) fn measure(scale: Scale, meter: &Meter<'_>) -> Vec<Row> {
    let (mut memory, mut publishing, mut decisions) = (Vec::new(), Vec::new(), Vec::new());
    for targets in scale.targets() {
        let size = targets as f64;
        let (view, bytes) = meter.allocated_by(|| build(targets));
        memory.push(Sample { size, value: bytes });
        let seconds = meter.mean_seconds(scale.iterations(), || {
            let mut next = view.clone();
            next.build_index(Duration::ZERO);
            next
        });
        publishing.push(Sample { size, value: seconds });
        let placer = CacheAware::new(Arc::new(FixedCopies(copies(&view))));
        let seconds = meter.mean_seconds(scale.iterations() * 10, || decide(&placer, &view));
        decisions.push(Sample {
            size,
            value: seconds * REQUESTS_PER_SECOND / HOSTS,
        });
    }
    vec![
        Row::new("traffic", "memory of a view, bytes", "targets", TARGETS, memory)
            .with_budget(Budget::Memory)
            .with_mechanism("immutable view, two alive while one replaces the other"),
        Row::new("traffic", "time of a view, s", "targets", TARGETS, publishing)
            .with_budget(Budget::Seconds(0.004))
            .with_mechanism("published at an interval of 250 times its cost, 10 ms to 1 s"),
        Row::new(
            "traffic",
            "processor time for decisions, cores",
            "targets",
            TARGETS,
            decisions,
        )
        .with_budget(Budget::Core)
        .with_mechanism("index by model and version, short list of candidates"),
    ]
}

/// Builds a view with a number of live targets.
fn build(targets: usize) -> PlacementView {
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    let mut view = PlacementView::default();
    for n in 0..targets {
        view.targets.insert(Candidate {
            id: format!("engine-{n}").into(),
            address,
            region: format!("region-{}", n % REGIONS).into(),
            failure_domain: "a".into(),
            state: TargetState::Live,
            versions: vec![(model(n), 3)],
            queued_prompt_tokens: (n as u64 * 7_919) % 40_000,
            running: 3,
            slots: 16,
            prefill_tokens_per_second: 8_000.0,
            reported_at: Duration::ZERO,
            sent_since_tokens: 0,
            open: 0,
        });
    }
    view.build_index(Duration::ZERO);
    view
}

fn model(n: usize) -> ModelId {
    format!("model-{}", n % MODELS).into()
}

/// Makes a placement decision. Returns whether a target was chosen.
fn decide(placer: &CacheAware, view: &PlacementView) -> bool {
    let pieces: Vec<Digest> = (0..PROMPT_PIECES).map(|n| Digest::from([n as u8; 32])).collect();
    let (workspace, model, region): (WorkspaceId, ModelId, RegionId) =
        ("w".into(), model(0), "region-0".into());
    let req = PlacementRequest {
        workspace: &workspace,
        model: &model,
        weight_version: 3,
        pieces: &pieces,
        prompt_tokens: 33_000,
        region: &region,
        excluded: &[],
        time_left: Duration::from_secs(10),
        first_token_weight: 1.0,
        recomputed_weight: 0.01,
        link_weight: 0.01,
        seed: 7,
    };
    placer
        .place(view, &req, &|_| true, Duration::ZERO)
        .chosen
        .is_some()
}

/// An index that returns the same copies for every prompt.
struct FixedCopies(Copies);

impl CacheIndex for FixedCopies {
    fn copies(&self, _pieces: &[Digest]) -> Copies {
        self.0.clone()
    }
}

/// Returns copies of the first half of a prompt at [`HOLDERS`] targets of the view.
fn copies(view: &PlacementView) -> Copies {
    let mut copies = Copies::default();
    for key in view.targets.keys().take(HOLDERS) {
        (0..PROMPT_PIECES as u16 / 2).for_each(|piece| copies.add_target(key, piece, true));
    }
    copies
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_decision_finds_a_target() {
        let view = build(12);
        let placer = CacheAware::new(Arc::new(FixedCopies(copies(&view))));
        assert!(decide(&placer, &view));
    }
}
