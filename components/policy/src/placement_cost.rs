use utils::Monotonic;

use crate::placement_view::{LinkView, PlacementView, StoreView};
use crate::{Candidate, Copies, CostTerms, PlacementRequest, StoreKey, TargetCopy};

/// Tokens in a full piece.
const PIECE_TOKENS: u32 = 2_048;

/// Bytes of prompt text per token.
const TEXT_BYTES_PER_TOKEN: u64 = 4;

/// Expected share of unconfirmed pieces that the target does have.
const UNCONFIRMED_HIT_SHARE: f64 = 0.5;

/// Expected wait for a free slot at a target whose slots are all in use, in seconds.
const SLOT_WAIT_SECONDS: f64 = 0.5;

/// Expected number of later uses of a prompt.
const EXPECTED_REUSES: f64 = 4.0;

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1e6;

/// Pieces to read from a store before the prompt runs.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct FetchPlan {
    /// Index of the first piece to read.
    pub(crate) first: u16,
    /// Store in the target's region, and the number of pieces to read from it.
    pub(crate) near: Option<(StoreKey, u16)>,
    /// Store in another region, and the number of pieces to read from it after those from `near`.
    pub(crate) far: Option<(StoreKey, u16)>,
}

/// Consecutive pieces that one store can provide.
#[derive(Debug, Clone, Copy)]
struct PieceRun {
    /// The store.
    store: StoreKey,
    /// Number of pieces.
    pieces: u16,
    /// Time until the first transfer can start, in seconds.
    delay: f64,
    /// Transfer time of one piece, in seconds.
    piece_seconds: f64,
}

/// The inputs that the costs of all candidates for one request share.
pub(crate) struct CostModel<'a> {
    pub(crate) view: &'a PlacementView,
    pub(crate) req: &'a PlacementRequest<'a>,
    pub(crate) copies: &'a Copies,
    /// Number of leading pieces that have a copy on some target or store.
    pub(crate) known_pieces: u16,
}

/// Returns the expected time in a target's queue, in seconds: the reported queue less what was processed
/// since the report, plus what was sent since then.
pub(crate) fn queue_seconds(candidate: &Candidate, now: Monotonic) -> f64 {
    let speed = candidate.prefill_tokens_per_second.max(1.0);
    let age = now.saturating_sub(candidate.reported_at).as_secs_f64();
    let reported = (candidate.queued_prompt_tokens as f64 / speed - age).max(0.0);
    let slot_wait = match candidate.running >= candidate.slots.max(1) {
        true => SLOT_WAIT_SECONDS,
        false => 0.0,
    };
    reported + candidate.sent_since_tokens as f64 / speed + slot_wait
}

impl<'a> CostModel<'a> {
    pub(crate) fn new(view: &'a PlacementView, req: &'a PlacementRequest<'a>, copies: &'a Copies) -> Self {
        let on_targets = copies.targets().iter().map(|c| c.likely).max().unwrap_or(0);
        let on_stores = copies.stores().iter().map(|c| c.pieces.trailing_ones() as u16);
        Self {
            view,
            req,
            copies,
            known_pieces: on_stores.max().unwrap_or(0).max(on_targets),
        }
    }

    /// Returns the cheapest way to run the prompt at a candidate.
    pub(crate) fn cheapest(
        &self,
        candidate: &Candidate,
        copy: TargetCopy,
        now: Monotonic,
    ) -> (CostTerms, FetchPlan) {
        let wait_seconds = queue_seconds(candidate, now);
        let mut best = self.cost(candidate, copy, copy.confirmed, wait_seconds, (None, None));
        if copy.likely > copy.confirmed {
            best = cheaper(
                best,
                self.cost(candidate, copy, copy.likely, wait_seconds, (None, None)),
            );
        }
        for first in [copy.confirmed, copy.likely] {
            best = cheaper(
                best,
                self.with_fetches(candidate, copy, first, wait_seconds, best),
            );
            if copy.likely == copy.confirmed {
                break;
            }
        }
        best
    }

    /// Returns the cheapest way that reads pieces from index `first` on.
    fn with_fetches(
        &self,
        candidate: &Candidate,
        copy: TargetCopy,
        first: u16,
        wait_seconds: f64,
        mut best: (CostTerms, FetchPlan),
    ) -> (CostTerms, FetchPlan) {
        let near = self.longest_run(candidate, first, true);
        if let Some(near) = near {
            for near in [near.truncated(near.arriving_within(wait_seconds)), near] {
                best = cheaper(
                    best,
                    self.cost(candidate, copy, first, wait_seconds, (Some(near), None)),
                );
            }
        }
        let after = first + near.map_or(0, |n| n.pieces);
        if let Some(far) = self.longest_run(candidate, after, false) {
            for far in [far.truncated(far.arriving_within(wait_seconds)), far] {
                best = cheaper(
                    best,
                    self.cost(candidate, copy, first, wait_seconds, (near, Some(far))),
                );
            }
        }
        best
    }

    /// Returns the longest run of pieces from index `first` on at a store in the target's region, or in
    /// another region if `is_near` is false.
    fn longest_run(&self, candidate: &Candidate, first: u16, is_near: bool) -> Option<PieceRun> {
        let runs = self.copies.stores().iter().filter_map(|copy| {
            let store = self.view.stores.get(copy.store).filter(|s| s.is_usable)?;
            let pieces = copy.pieces.checked_shr(u32::from(first))?.trailing_ones() as u16;
            if pieces == 0 || (store.region == candidate.region) != is_near {
                return None;
            }
            let run = self.store_run(copy.store, store, pieces);
            if is_near {
                Some(run)
            } else {
                self.far_run(candidate, store, run)
            }
        });
        runs.max_by_key(|run| run.pieces)
    }

    /// Returns the run of `pieces` pieces at a store, with the backlog and rate of the store.
    fn store_run(&self, key: StoreKey, store: &StoreView, pieces: u16) -> PieceRun {
        let rate = store.bytes_per_second.max(1.0);
        PieceRun {
            store: key,
            pieces,
            delay: store.backlog_bytes as f64 / rate,
            piece_seconds: self.view.piece_bytes as f64 / rate,
        }
    }

    /// Limits a run to the budget and rate of the link between the regions.
    fn far_run(&self, candidate: &Candidate, store: &StoreView, run: PieceRun) -> Option<PieceRun> {
        let link = self.view.link(&store.region, &candidate.region)?;
        let budget = link.budget_bytes.saturating_sub(self.text_bytes(candidate));
        let affordable = budget.checked_div(self.view.piece_bytes)?;
        if !link.is_usable || affordable == 0 {
            return None;
        }
        let rate = link.bytes_per_second.max(1.0);
        Some(PieceRun {
            pieces: run.pieces.min(u16::try_from(affordable).unwrap_or(u16::MAX)),
            delay: run.delay.max(link.backlog_bytes as f64 / rate),
            piece_seconds: run.piece_seconds.max(self.view.piece_bytes as f64 / rate),
            ..run
        })
    }

    /// Computes the cost of running at a candidate if the pieces before `first` are cached there and the
    /// given runs are read from stores.
    fn cost(
        &self,
        candidate: &Candidate,
        copy: TargetCopy,
        first: u16,
        wait_seconds: f64,
        (near, far): (Option<PieceRun>, Option<PieceRun>),
    ) -> (CostTerms, FetchPlan) {
        let near = near.filter(|run| run.pieces > 0);
        let far = far.filter(|run| run.pieces > 0);
        let runs = [near, far];
        let fetched: u16 = runs.iter().flatten().map(|r| r.pieces).sum();
        let fetch_seconds = runs
            .iter()
            .flatten()
            .map(PieceRun::seconds)
            .fold(self.text_seconds(candidate), f64::max);
        let unconfirmed = if first > copy.confirmed {
            first - copy.confirmed + fetched
        } else {
            0
        };
        let expected_misses =
            f64::from(unconfirmed) * (1.0 - UNCONFIRMED_HIT_SHARE) * f64::from(PIECE_TOKENS);
        let covered = first + fetched;
        let rest = self
            .req
            .prompt_tokens
            .saturating_sub(u32::from(covered) * PIECE_TOKENS);
        let tokens = f64::from(rest) + expected_misses;
        let prefill_seconds = tokens / candidate.prefill_tokens_per_second.max(1.0);
        let recomputed =
            f64::from(self.known_pieces.saturating_sub(covered)) * f64::from(PIECE_TOKENS) + expected_misses;
        let plan = FetchPlan {
            first,
            near: near.map(|run| (run.store, run.pieces)),
            far: far.map(|run| (run.store, run.pieces)),
        };
        let link_bytes = self.link_bytes(candidate, plan.far);
        let first_token = wait_seconds.max(fetch_seconds) + prefill_seconds;
        let later_bytes = self.later_link_bytes(candidate, covered);
        let total = first_token * self.req.first_token_weight
            + recomputed / 1_000.0 * self.req.recomputed_weight
            + (link_bytes as f64 + later_bytes) / MEGABYTE * self.req.link_weight;
        let terms = CostTerms {
            queue_seconds: wait_seconds,
            fetch_seconds,
            prefill_seconds,
            resident_tokens: u32::from(first.min(copy.confirmed)) * PIECE_TOKENS,
            fetched_tokens: u32::from(fetched) * PIECE_TOKENS,
            recomputed_tokens: recomputed as u32,
            link_bytes,
            total,
        };
        (terms, plan)
    }

    /// Returns the bytes of the prompt's text that cross the link between regions.
    fn text_bytes(&self, candidate: &Candidate) -> u64 {
        match candidate.region == *self.req.region {
            true => 0,
            false => u64::from(self.req.prompt_tokens) * TEXT_BYTES_PER_TOKEN,
        }
    }

    /// Returns the link that the prompt's text has to cross, if there is one.
    fn text_link(&self, candidate: &Candidate) -> Option<&LinkView> {
        match candidate.region == *self.req.region {
            true => None,
            false => self.view.link(self.req.region, &candidate.region),
        }
    }

    /// Returns the time for the prompt's text to reach the candidate's region, in seconds.
    fn text_seconds(&self, candidate: &Candidate) -> f64 {
        self.text_link(candidate).map_or(0.0, |link| {
            let bytes = link.backlog_bytes + self.text_bytes(candidate);
            bytes as f64 / link.bytes_per_second.max(1.0)
        })
    }

    /// Whether the budget of the link between regions is sufficient for the prompt's text.
    pub(crate) fn fits_link_budget(&self, candidate: &Candidate) -> bool {
        let link = self.text_link(candidate);
        link.is_none_or(|link| self.text_bytes(candidate) <= link.budget_bytes)
    }

    /// Returns the bytes that later uses of the prompt are expected to send over the link: pieces that are
    /// computed at the candidate are cached in its region.
    fn later_link_bytes(&self, candidate: &Candidate, covered: u16) -> f64 {
        let pieces = self.req.pieces.len().max(1) as f64;
        let computed = pieces - f64::from(covered).min(pieces);
        self.text_bytes(candidate) as f64 * EXPECTED_REUSES * computed / pieces
    }

    /// Returns the bytes that cross the link between regions: the prompt's text, if the target is in another
    /// region, and the pieces read from a store in another region.
    fn link_bytes(&self, candidate: &Candidate, far: Option<(StoreKey, u16)>) -> u64 {
        self.text_bytes(candidate) + far.map_or(0, |(_, pieces)| u64::from(pieces) * self.view.piece_bytes)
    }
}

impl PieceRun {
    /// Returns the first `pieces` pieces of the run.
    fn truncated(self, pieces: u16) -> Self {
        Self { pieces, ..self }
    }

    /// Returns the time until all pieces have arrived, in seconds.
    fn seconds(&self) -> f64 {
        self.delay + f64::from(self.pieces) * self.piece_seconds
    }

    /// Returns the number of pieces that arrive during the wait in the queue.
    fn arriving_within(&self, wait_seconds: f64) -> u16 {
        let pieces = ((wait_seconds - self.delay) / self.piece_seconds.max(1e-9)).max(0.0);
        (pieces as u16).min(self.pieces)
    }
}

fn cheaper(a: (CostTerms, FetchPlan), b: (CostTerms, FetchPlan)) -> (CostTerms, FetchPlan) {
    if b.0.total < a.0.total { b } else { a }
}
