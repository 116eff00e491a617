use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use targets::{PIECE_TOKENS, PieceId};

use crate::options::{Fault, HOSTS, Sizes};

/// Number of workspaces of a deployment.
const WORKSPACES: usize = 10;

/// Number of prompt sets in a workspace. The prompts of a set share their first pieces.
const PROMPT_SETS: u32 = 12;

/// Median of the gaps between two uses of a prompt, in seconds.
const GAP_MEDIAN_SECONDS: f64 = 1_500.0;

/// Standard deviation of the logarithm of the gaps.
const GAP_LOG_SPREAD: f64 = 1.1;

/// Shortest and longest gap, in seconds.
const GAP_BOUNDS_SECONDS: (f64, f64) = (60.0, 21_600.0);

/// Share of the uses of a prompt that come from its own region.
const HOME_REGION_SHARE: f64 = 0.85;

/// Share of the prompts whose own region is the larger one.
const LARGE_REGION_SHARE: f64 = 0.65;

/// A request that uses a prompt.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// Time of arrival, in seconds since the start of the run.
    pub(crate) arrives_at: f64,
    /// Index of the workspace.
    pub(crate) workspace: usize,
    /// Index of the prompt set within the workspace.
    prompt_set: u32,
    /// Index of the prompt.
    document: u32,
    /// Leading pieces that all prompts of the set share.
    shared_pieces: u16,
    /// Full pieces of the prompt.
    pub(crate) pieces: u16,
    /// Tokens in the prompt, including those after the last full piece.
    pub(crate) tokens: u32,
    /// Index of the entry host that receives the request.
    pub(crate) host: usize,
    /// Seed for random choices of the host.
    pub(crate) seed: u64,
}

impl Request {
    /// Returns the identifiers of the full pieces under a weight version. They share their first two bytes,
    /// from which the directory derives the shard of a piece.
    pub(crate) fn piece_ids(&self, version: u32) -> Vec<PieceId> {
        let root = piece_id(self.workspace as u32, self.prompt_set, 0, 0, version);
        let ids = (0..u32::from(self.pieces)).map(|index| {
            let document = if index < u32::from(self.shared_pieces) {
                0
            } else {
                self.document + 1
            };
            let mut bytes =
                *piece_id(self.workspace as u32, self.prompt_set, document, index, version).as_bytes();
            bytes[..2].copy_from_slice(&root.as_bytes()[..2]);
            PieceId::from(bytes)
        });
        ids.collect()
    }
}

/// Returns a digest that identifies a piece of a prompt.
fn piece_id(workspace: u32, set: u32, document: u32, index: u32, version: u32) -> PieceId {
    let parts = [workspace, set, document, index, version].map(u32::to_le_bytes);
    utils::digest(&parts.concat())
}

/// Generates the requests of a run, ordered by time of arrival. [`Fault::Burst`] doubles the uses between
/// `window.0` and `window.1`; each of them is delayed by up to 60 seconds.
pub(crate) fn requests(
    sizes: &Sizes,
    fault: Fault,
    seconds: f64,
    window: (f64, f64),
    seed: u64,
) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mean_gap = GAP_MEDIAN_SECONDS * (GAP_LOG_SPREAD * GAP_LOG_SPREAD / 2.0).exp();
    let documents = (sizes.requests_per_second * mean_gap) as u32;
    let mut all = Vec::new();
    for document in 0..documents {
        let workspace = draw_workspace(&mut rng);
        let home = usize::from(!rng.random_bool(LARGE_REGION_SHARE));
        let mut pieces = rng.random_range(sizes.pieces.0..=sizes.pieces.1);
        let prompt_set = rng.random_range(0..PROMPT_SETS);
        let mut at = rng.random_range(0.0..mean_gap);
        while at < seconds {
            let region = if rng.random_bool(HOME_REGION_SHARE) {
                home
            } else {
                1 - home
            };
            let uses = 1 + usize::from(fault == Fault::Burst && (window.0..window.1).contains(&at));
            for _ in 0..uses {
                let delay = if uses > 1 {
                    rng.random_range(0.0..60.0)
                } else {
                    0.0
                };
                all.push(Request {
                    arrives_at: at + delay,
                    workspace,
                    prompt_set,
                    document,
                    shared_pieces: sizes.shared_pieces,
                    pieces,
                    tokens: u32::from(pieces) * PIECE_TOKENS + rng.random_range(50..PIECE_TOKENS),
                    host: if region == 0 {
                        rng.random_range(0..6)
                    } else {
                        rng.random_range(6..HOSTS)
                    },
                    seed: rng.random(),
                });
            }
            pieces += u16::from(rng.random_bool(0.2));
            at += draw_gap(&mut rng);
        }
    }
    all.sort_by(|a, b| a.arrives_at.total_cmp(&b.arrives_at));
    all
}

/// Draws a workspace. The first workspaces get most of the prompts.
fn draw_workspace(rng: &mut ChaCha8Rng) -> usize {
    let draw: f64 = rng.random();
    (draw * draw * draw * WORKSPACES as f64) as usize
}

/// Draws a gap from a log-normal distribution, clamped to [`GAP_BOUNDS_SECONDS`]. The sum of twelve uniform
/// draws approximates a normal distribution.
fn draw_gap(rng: &mut ChaCha8Rng) -> f64 {
    let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (GAP_MEDIAN_SECONDS * (GAP_LOG_SPREAD * normal).exp()).clamp(GAP_BOUNDS_SECONDS.0, GAP_BOUNDS_SECONDS.1)
}
