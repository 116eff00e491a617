use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::{
    CacheAware, CacheIndex, Candidate, CandidateKey, Copies, LinkView, Placement, PlacementRequest,
    PlacementView, Placer, RejectedReason, StoreKey, StoreView, TargetState,
};
use proptest::prelude::*;
use utils::{Digest, ModelId, RegionId, TargetId, WorkspaceId};

const PIECE: u32 = 2_048;

struct FixedCopies(Copies);

impl CacheIndex for FixedCopies {
    fn copies(&self, _pieces: &[Digest]) -> Copies {
        self.0.clone()
    }
}

struct Case {
    view: PlacementView,
    copies: Copies,
    pieces: Vec<Digest>,
    excluded: Vec<TargetId>,
    time_left: Duration,
}

impl Case {
    fn new(pieces: u16) -> Self {
        Self {
            view: PlacementView {
                piece_bytes: 16_000_000,
                ..PlacementView::default()
            },
            copies: Copies::default(),
            pieces: (0..pieces).map(|n| utils::digest(&n.to_le_bytes())).collect(),
            excluded: Vec::new(),
            time_left: Duration::from_secs(60),
        }
    }

    fn target(&mut self, id: &str, region: &str, queued: u64) -> CandidateKey {
        self.view.targets.insert(Candidate {
            id: id.into(),
            address: address(),
            region: region.into(),
            failure_domain: "a".into(),
            state: TargetState::Live,
            versions: vec![("quotes".into(), 1)],
            queued_prompt_tokens: queued,
            running: 0,
            slots: 16,
            prefill_tokens_per_second: 8_000.0,
            reported_at: Duration::ZERO,
            sent_since_tokens: 0,
            open: 0,
        })
    }

    fn store(&mut self, region: &str, pieces: u16) -> StoreKey {
        let store = self.view.stores.insert(StoreView {
            id: format!("store-{region}").into(),
            address: address(),
            region: region.into(),
            is_usable: true,
            bytes_per_second: 160e6,
            backlog_bytes: 0,
        });
        (0..pieces).for_each(|piece| self.copies.add_store(store, piece));
        store
    }

    fn link(&mut self, from: &str, to: &str, budget_bytes: u64) {
        self.view.links.push(LinkView {
            from: from.into(),
            to: to.into(),
            is_usable: true,
            bytes_per_second: 160e6,
            backlog_bytes: 0,
            budget_bytes,
        });
    }

    fn resident(&mut self, target: CandidateKey, pieces: u16, is_confirmed: bool) {
        (0..pieces).for_each(|piece| self.copies.add_target(target, piece, is_confirmed));
    }

    fn place(&self, seed: u64) -> Placement {
        let (workspace, model, region): (WorkspaceId, ModelId, RegionId) =
            ("agents".into(), "quotes".into(), "north".into());
        let req = PlacementRequest {
            workspace: &workspace,
            model: &model,
            weight_version: 1,
            pieces: &self.pieces,
            prompt_tokens: self.pieces.len() as u32 * PIECE + 100,
            region: &region,
            excluded: &self.excluded,
            time_left: self.time_left,
            first_token_weight: 1.0,
            recomputed_weight: 0.01,
            link_weight: 0.01,
            seed,
        };
        CacheAware::new(Arc::new(FixedCopies(self.copies.clone()))).place(
            &self.view,
            &req,
            &|_| true,
            Duration::ZERO,
        )
    }

    fn chosen(&self) -> String {
        self.place(7)
            .chosen
            .map(|c| c.target.to_string())
            .unwrap_or_default()
    }
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

#[test]
fn resident_prefix_outweighs_a_short_queue() {
    let mut case = Case::new(8);
    let warm = case.target("warm", "north", 2_000);
    case.target("cold", "north", 0);
    case.resident(warm, 8, true);
    assert_eq!(case.chosen(), "warm");
    case.view.targets[warm].queued_prompt_tokens = 40_000;
    assert_eq!(case.chosen(), "cold");
}

#[test]
fn unconfirmed_prefix_costs_more_than_a_confirmed_one() {
    let mut case = Case::new(8);
    let confirmed = case.target("confirmed", "north", 0);
    let unconfirmed = case.target("unconfirmed", "north", 0);
    case.resident(confirmed, 6, true);
    case.resident(unconfirmed, 8, false);
    assert_eq!(case.chosen(), "confirmed");
    let placed = case.place(1).chosen.unwrap();
    assert_eq!(placed.cost.resident_tokens, 6 * PIECE);
}

#[test]
fn store_of_the_region_is_read_when_that_is_faster() {
    let mut case = Case::new(8);
    case.target("cold", "north", 0);
    let store = case.store("north", 8);
    let placed = case.place(1).chosen.unwrap();
    assert_eq!(placed.fetches.len(), 8);
    assert!(placed.fetches.iter().all(|f| !f.crosses_regions));
    assert_eq!(placed.fetches[3].piece, case.pieces[3]);

    case.view.stores[store].bytes_per_second = 1e6;
    assert!(case.place(1).chosen.unwrap().fetches.is_empty());
    case.view.stores[store].bytes_per_second = 160e6;
    case.view.stores[store].is_usable = false;
    assert!(case.place(1).chosen.unwrap().fetches.is_empty());
}

#[test]
fn only_what_arrives_during_the_wait_is_read_from_a_slow_store() {
    let mut case = Case::new(8);
    case.target("busy", "north", 8_000);
    let store = case.store("north", 8);
    case.view.stores[store].bytes_per_second = 48e6;
    let placed = case.place(1).chosen.unwrap();
    assert_eq!(placed.fetches.len(), 3);
    assert_eq!(placed.cost.recomputed_tokens, 5 * PIECE);
}

#[test]
fn reads_over_the_paid_link_stay_in_its_budget() {
    let mut case = Case::new(8);
    case.target("cold", "north", 0);
    case.store("south", 8);
    assert!(case.place(1).chosen.unwrap().fetches.is_empty());
    case.link("south", "north", 50_000_000);
    let placed = case.place(1).chosen.unwrap();
    assert_eq!(placed.fetches.len(), 3);
    assert_eq!(placed.cost.link_bytes, 48_000_000);
}

#[test]
fn each_ineligible_target_is_reported_with_its_reason() {
    let mut case = Case::new(1);
    let leaving = case.target("leaving", "north", 0);
    let suspect = case.target("suspect", "north", 0);
    let other = case.target("other", "north", 0);
    case.target("tried", "north", 0);
    case.target("late", "north", 800_000);
    case.view.targets[leaving].state = TargetState::Leaving;
    case.view.targets[suspect].state = TargetState::Suspect;
    case.view.targets[other].versions = vec![("quotes".into(), 2)];
    case.excluded.push("tried".into());
    let placement = case.place(1);
    assert!(placement.chosen.is_none());
    let mut reasons: Vec<_> = placement
        .rejected
        .iter()
        .map(|r| format!("{:?}", r.reason))
        .collect();
    reasons.sort();
    assert!(reasons[4].starts_with("TooLate("));
    reasons.truncate(4);
    assert_eq!(reasons, ["Excluded", "Leaving", "NoVersion", "Suspect"]);
}

#[test]
fn hosts_with_equal_views_spread_over_equal_targets() {
    let mut case = Case::new(4);
    for n in 0..10 {
        case.target(&format!("engine-{n}"), "north", 0);
    }
    case.view.build_index(Duration::ZERO);
    let mut counts = BTreeMap::new();
    for n in 0..900_u64 {
        let seed = u64::from_le_bytes(
            utils::digest(&n.to_le_bytes()).as_bytes()[..8]
                .try_into()
                .unwrap(),
        );
        *counts.entry(case.place(seed).chosen.unwrap().target).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 10);
    assert!(counts.values().all(|n| (45..=180).contains(n)), "{counts:?}");
}

#[test]
fn decision_among_many_evaluates_few_and_finds_the_resident_prefix() {
    let mut case = Case::new(16);
    for n in 0..3_000 {
        case.target(&format!("engine-{n}"), "north", n);
    }
    let warm = case.view.targets.keys().nth(2_345).unwrap();
    case.resident(warm, 16, true);
    case.view.build_index(Duration::ZERO);
    let placement = case.place(99);
    assert_eq!(placement.chosen.unwrap().target, "engine-2345".into());
    assert!(placement.considered <= 17);
    assert_eq!(placement.rejected.len(), 5);
    assert!(matches!(
        placement.rejected[0].reason,
        RejectedReason::Costlier(_)
    ));
}

proptest! {
    #[test]
    fn ineligible_targets_are_never_chosen_and_fetches_are_contiguous(
        states in prop::collection::vec((0_u8..3, 0_u64..50_000, 0_u16..9, any::<bool>()), 1..12),
        near in 0_u16..9,
        far in 0_u16..9,
        budget in 0_u64..200_000_000,
        seed in any::<u64>(),
    ) {
        let mut case = Case::new(8);
        for (n, (state, queued, resident, is_confirmed)) in states.iter().enumerate() {
            let key = case.target(&format!("engine-{n}"), ["north", "south"][n % 2], *queued);
            case.view.targets[key].state =
                [TargetState::Live, TargetState::Leaving, TargetState::Suspect][usize::from(*state)];
            case.resident(key, *resident, *is_confirmed);
        }
        case.store("north", near);
        case.store("south", far);
        case.link("south", "north", budget);
        case.link("north", "south", budget);
        case.view.build_index(Duration::ZERO);
        let placement = case.place(seed);
        prop_assert_eq!(placement.chosen.is_some(), states.iter().any(|(state, ..)| *state == 0));
        let Some(chosen) = placement.chosen else { return Ok(()) };
        prop_assert_eq!(case.view.targets[chosen.key].state, TargetState::Live);
        let order: Vec<_> = chosen.fetches.iter().map(|f| case.pieces.iter().position(|p| *p == f.piece)).collect();
        prop_assert!(order.windows(2).all(|w| w[0].map(|n| n + 1) == w[1]));
        let crossing = chosen.fetches.iter().filter(|f| f.crosses_regions).count() as u64;
        prop_assert!(crossing * case.view.piece_bytes <= budget);
    }
}
