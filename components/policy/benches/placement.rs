//! Measures the duration of a placement decision: `cargo bench -p policy --bench placement`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use policy::{
    CacheAware, CacheIndex, Candidate, CandidateKey, Copies, PlacementRequest, PlacementView, Placer,
    StoreView,
};
use utils::{Digest, ModelId, RegionId, WorkspaceId};

/// Number of pieces in the prompt.
const PIECES: u16 = 16;

/// An index that returns the same copies for every prompt.
struct FixedCopies(Copies);

impl CacheIndex for FixedCopies {
    fn copies(&self, _pieces: &[Digest]) -> Copies {
        self.0.clone()
    }
}

fn view(targets: usize) -> (PlacementView, Copies) {
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    let regions: [RegionId; 2] = ["north".into(), "south".into()];
    let mut view = PlacementView {
        piece_bytes: 16 << 20,
        ..PlacementView::default()
    };
    let mut copies = Copies::default();
    for n in 0..targets {
        let key: CandidateKey = view.targets.insert(Candidate {
            id: format!("engine-{n}").into(),
            address,
            region: regions[n % 2].clone(),
            failure_domain: "a".into(),
            state: policy::TargetState::Live,
            versions: vec![("quotes".into(), 3)],
            queued_prompt_tokens: (n as u64 * 7_919) % 40_000,
            running: 3,
            slots: 16,
            prefill_tokens_per_second: 8_000.0,
            reported_at: Duration::ZERO,
            sent_since_tokens: 0,
            open: 0,
        });
        if n % (targets / 10) == 0 {
            (0..PIECES / 2).for_each(|piece| copies.add_target(key, piece, true));
        }
    }
    for region in &regions {
        let store = view.stores.insert(StoreView {
            id: format!("store-{region}").into(),
            address,
            region: region.clone(),
            is_usable: true,
            bytes_per_second: 125e6,
            backlog_bytes: 0,
        });
        (0..PIECES).for_each(|piece| copies.add_store(store, piece));
    }
    view.build_index(Duration::ZERO);
    (view, copies)
}

fn decisions(criterion: &mut Criterion) {
    let pieces: Vec<Digest> = (0..PIECES).map(|n| utils::digest(&n.to_le_bytes())).collect();
    let (workspace, model, region): (WorkspaceId, ModelId, RegionId) =
        ("agents".into(), "quotes".into(), "north".into());
    for targets in [20, 3_000] {
        let (view, copies) = view(targets);
        let placer = CacheAware::new(Arc::new(FixedCopies(copies)));
        let mut seed = 0_u64;
        criterion.bench_function(&format!("decision among {targets} targets"), |bencher| {
            bencher.iter(|| {
                seed = seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
                let req = PlacementRequest {
                    workspace: &workspace,
                    model: &model,
                    weight_version: 3,
                    pieces: &pieces,
                    prompt_tokens: 33_000,
                    region: &region,
                    excluded: &[],
                    time_left: Duration::from_secs(30),
                    first_token_weight: 1.0,
                    recomputed_weight: 0.01,
                    link_weight: 0.01,
                    seed,
                };
                placer.place(&view, &req, &|_| true, Duration::from_millis(200))
            });
        });
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
