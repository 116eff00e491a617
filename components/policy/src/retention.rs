use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use utils::{Digest, Monotonic, WorkspaceId};

/// Number of buckets of reuse gaps. Bucket `i` starts at 2^i seconds; the first also holds shorter gaps.
const GAP_BUCKETS: usize = 18;

/// Number of depth classes that are counted separately; each covers twice as many depths as the one before.
const DEPTH_CLASSES: usize = 6;

/// Time after which a piece without another use counts as never reused.
const REUSE_HORIZON: Duration = Duration::from_secs(24 * 3_600);

/// Maximum number of recorded uses.
const MAX_TRACKED_USES: usize = 200_000;

/// Weight of [`PRIOR_REUSE_PROBABILITY`], as a number of observed uses.
const PRIOR_WEIGHT: f64 = 4.0;

/// Probability of reuse that is assumed without observations.
const PRIOR_REUSE_PROBABILITY: f64 = 0.3;

/// Estimates how likely pieces are reused, by workspace and depth, from the gaps between their uses.
#[derive(Debug, Default)]
pub struct Retention {
    /// Observed gaps by workspace and depth class.
    gaps: HashMap<WorkspaceId, [Gaps; DEPTH_CLASSES]>,
    /// Time of the last use of each piece.
    last_uses: HashMap<Digest, Monotonic>,
    /// Recorded uses, oldest first.
    uses: VecDeque<Use>,
}

/// One use of a piece.
#[derive(Debug, Clone)]
struct Use {
    piece: Digest,
    workspace: WorkspaceId,
    depth: u16,
    at: Monotonic,
}

/// Counts of observed gaps between uses.
#[derive(Debug, Clone, Copy, Default)]
struct Gaps {
    /// Number of reuses by bucket of the gap.
    reused: [f64; GAP_BUCKETS],
    /// Number of uses without a later use.
    never_reused: f64,
}

/// A piece in a store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredPiece {
    /// Name of the piece.
    pub piece: Digest,
    /// Workspace that owns the piece.
    pub workspace: WorkspaceId,
    /// Index of the piece in its prompt, from 0.
    pub depth: u16,
    /// Size in bytes.
    pub bytes: u64,
    /// Time to recompute it, in seconds.
    pub recompute_seconds: f64,
    /// Time of the last use.
    pub used_at: Monotonic,
}

/// The costs and savings of writing a piece to a store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WriteBack {
    /// Time to recompute the piece, in seconds.
    pub recompute_seconds: f64,
    /// Time to read it from the store, in seconds.
    pub fetch_seconds: f64,
    /// Cost of recomputing it besides the time itself, in seconds.
    pub recompute_cost: f64,
    /// Cost of writing it in seconds: use of the link or space in the store.
    pub write_cost: f64,
}

impl Retention {
    /// Records a use of a piece.
    pub fn record_use(&mut self, workspace: &WorkspaceId, piece: Digest, depth: u16, now: Monotonic) {
        if let Some(before) = self.last_uses.insert(piece, now) {
            let gap = now.saturating_sub(before);
            self.gaps_mut(workspace, depth).reused[gap_bucket(gap)] += 1.0;
        }
        self.uses.push_back(Use {
            piece,
            workspace: workspace.clone(),
            depth,
            at: now,
        });
        self.expire(now);
    }

    /// Estimates the probability that a piece last used `age` ago is used again within `within` from now.
    pub fn reuse_probability(
        &self,
        workspace: &WorkspaceId,
        depth: u16,
        age: Duration,
        within: Duration,
    ) -> f64 {
        let Some(gaps) = self.gaps.get(workspace).map(|g| &g[depth_class(depth)]) else {
            return PRIOR_REUSE_PROBABILITY;
        };
        let (from, to) = (gap_bucket(age), gap_bucket(age + within));
        let later: f64 = gaps.reused[from..].iter().sum();
        let soon: f64 = gaps.reused[from..=to].iter().sum();
        (soon + PRIOR_WEIGHT * PRIOR_REUSE_PROBABILITY) / (later + gaps.never_reused + PRIOR_WEIGHT)
    }

    /// Returns the compute time that a stored piece is expected to save per byte, in seconds.
    pub fn value(&self, piece: &StoredPiece, now: Monotonic) -> f64 {
        let age = now.saturating_sub(piece.used_at);
        let probability = self.reuse_probability(&piece.workspace, piece.depth, age, REUSE_HORIZON);
        probability * piece.recompute_seconds / piece.bytes.max(1) as f64
    }

    /// Whether the expected saving of a copy exceeds the cost of writing it.
    pub fn is_worth_writing(&self, workspace: &WorkspaceId, depth: u16, copy: &WriteBack) -> bool {
        let probability = self.reuse_probability(workspace, depth, Duration::ZERO, REUSE_HORIZON);
        let saved = (copy.recompute_seconds - copy.fetch_seconds).max(0.0) + copy.recompute_cost;
        probability * saved > copy.write_cost
    }

    /// Chooses the least valuable pieces to evict until at least `bytes` are freed. Of equally valuable
    /// pieces the deeper one goes first.
    pub fn victims(&self, stored: &[StoredPiece], bytes: u64, now: Monotonic) -> Vec<Digest> {
        let mut order: Vec<_> = stored.iter().map(|p| (self.value(p, now), p)).collect();
        order.sort_by(|(a, pa), (b, pb)| a.total_cmp(b).then(pb.depth.cmp(&pa.depth)));
        let mut freed = 0;
        let chosen = order.into_iter().take_while(|(_, p)| {
            let is_needed = freed < bytes;
            freed += p.bytes;
            is_needed
        });
        chosen.map(|(_, p)| p.piece).collect()
    }

    fn gaps_mut(&mut self, workspace: &WorkspaceId, depth: u16) -> &mut Gaps {
        &mut self.gaps.entry(workspace.clone()).or_default()[depth_class(depth)]
    }

    /// Removes uses that are too old or too many and counts those without a later use.
    fn expire(&mut self, now: Monotonic) {
        while let Some(first) = self.uses.front() {
            if self.uses.len() <= MAX_TRACKED_USES && now.saturating_sub(first.at) < REUSE_HORIZON {
                return;
            }
            let Some(oldest) = self.uses.pop_front() else {
                return;
            };
            if self.last_uses.get(&oldest.piece) == Some(&oldest.at) {
                self.last_uses.remove(&oldest.piece);
                self.gaps_mut(&oldest.workspace, oldest.depth).never_reused += 1.0;
            }
        }
    }
}

fn gap_bucket(gap: Duration) -> usize {
    let seconds = gap.as_secs().max(1);
    (seconds.ilog2() as usize).min(GAP_BUCKETS - 1)
}

fn depth_class(depth: u16) -> usize {
    ((depth + 1).ilog2() as usize).min(DEPTH_CLASSES - 1)
}
