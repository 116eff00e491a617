use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use utils::{Digest, Monotonic, WorkspaceId};

/// Gaps are counted in buckets that double, from one second on.
const BUCKETS: usize = 18;

/// Depths of pieces that are counted apart, each twice as deep as the one before.
const DEPTHS: usize = 6;

/// Time after which a piece that was not asked for counts as never returned.
const HORIZON: Duration = Duration::from_secs(24 * 3_600);

/// Pieces whose last use is remembered.
const REMEMBERED: usize = 200_000;

/// Weight of what is assumed before anything was counted.
const PRIOR: f64 = 4.0;

/// Chance of a return that is assumed before anything was counted.
const PRIOR_CHANCE: f64 = 0.3;

/// Learns how likely pieces return, by workspace and depth, from the gaps between their uses.
#[derive(Debug, Default)]
pub struct Retention {
    /// Gaps by workspace and depth.
    gaps: HashMap<WorkspaceId, [Gaps; DEPTHS]>,
    /// Last use of each piece.
    last: HashMap<Digest, Monotonic>,
    /// Uses in order of time, to forget old ones.
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

/// Counted gaps.
#[derive(Debug, Clone, Copy, Default)]
struct Gaps {
    /// Returns by length of the gap.
    returned: [f64; BUCKETS],
    /// Uses without a return.
    never: f64,
}

/// A piece on a store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredPiece {
    /// Name of the piece.
    pub piece: Digest,
    /// Workspace that it belongs to.
    pub workspace: WorkspaceId,
    /// Position in its prompt, from 0.
    pub depth: u16,
    /// Size.
    pub bytes: u64,
    /// Time to compute it again, in seconds.
    pub recompute_seconds: f64,
    /// Last use.
    pub used_at: Monotonic,
}

/// What a copy of a piece on a store costs and saves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WriteBack {
    /// Time to compute the piece again, in seconds.
    pub recompute_seconds: f64,
    /// Time to read it from the store, in seconds.
    pub fetch_seconds: f64,
    /// Seconds given for computing it again, besides the time itself.
    pub recompute_cost: f64,
    /// Seconds given for writing it: link use or a place on the store.
    pub write_cost: f64,
}

impl Retention {
    /// Takes that a piece was used.
    pub fn record_use(&mut self, workspace: &WorkspaceId, piece: Digest, depth: u16, now: Monotonic) {
        if let Some(before) = self.last.insert(piece, now) {
            let gap = now.saturating_sub(before);
            self.gaps_mut(workspace, depth).returned[bucket(gap)] += 1.0;
        }
        self.uses.push_back(Use {
            piece,
            workspace: workspace.clone(),
            depth,
            at: now,
        });
        self.forget(now);
    }

    /// Chance that a piece last used `age` ago is asked for within `within` from now.
    pub fn chance(&self, workspace: &WorkspaceId, depth: u16, age: Duration, within: Duration) -> f64 {
        let Some(gaps) = self.gaps.get(workspace).map(|g| &g[depth_class(depth)]) else {
            return PRIOR_CHANCE;
        };
        let (from, to) = (bucket(age), bucket(age + within));
        let later: f64 = gaps.returned[from..].iter().sum();
        let soon: f64 = gaps.returned[from..=to].iter().sum();
        (soon + PRIOR * PRIOR_CHANCE) / (later + gaps.never + PRIOR)
    }

    /// Seconds of computing that a kept piece is expected to save for each byte.
    pub fn value(&self, kept: &StoredPiece, now: Monotonic) -> f64 {
        let age = now.saturating_sub(kept.used_at);
        let chance = self.chance(&kept.workspace, kept.depth, age, HORIZON);
        chance * kept.recompute_seconds / kept.bytes.max(1) as f64
    }

    /// Whether a copy is worth writing.
    pub fn is_worth_writing(&self, workspace: &WorkspaceId, depth: u16, copy: &WriteBack) -> bool {
        let chance = self.chance(workspace, depth, Duration::ZERO, HORIZON);
        let saved = (copy.recompute_seconds - copy.fetch_seconds).max(0.0) + copy.recompute_cost;
        chance * saved > copy.write_cost
    }

    /// The pieces of least value that free `bytes`, deeper pieces of equal value first.
    pub fn victims(&self, kept: &[StoredPiece], bytes: u64, now: Monotonic) -> Vec<Digest> {
        let mut order: Vec<_> = kept.iter().map(|k| (self.value(k, now), k)).collect();
        order.sort_by(|(a, ka), (b, kb)| a.total_cmp(b).then(kb.depth.cmp(&ka.depth)));
        let mut freed = 0;
        let chosen = order.into_iter().take_while(|(_, k)| {
            let is_needed = freed < bytes;
            freed += k.bytes;
            is_needed
        });
        chosen.map(|(_, k)| k.piece).collect()
    }

    fn gaps_mut(&mut self, workspace: &WorkspaceId, depth: u16) -> &mut Gaps {
        &mut self.gaps.entry(workspace.clone()).or_default()[depth_class(depth)]
    }

    /// Forgets uses that are too old or too many, and counts those without a return.
    fn forget(&mut self, now: Monotonic) {
        while let Some(first) = self.uses.front() {
            if self.uses.len() <= REMEMBERED && now.saturating_sub(first.at) < HORIZON {
                return;
            }
            let Some(oldest) = self.uses.pop_front() else {
                return;
            };
            if self.last.get(&oldest.piece) == Some(&oldest.at) {
                self.last.remove(&oldest.piece);
                self.gaps_mut(&oldest.workspace, oldest.depth).never += 1.0;
            }
        }
    }
}

fn bucket(gap: Duration) -> usize {
    let seconds = gap.as_secs().max(1);
    (seconds.ilog2() as usize).min(BUCKETS - 1)
}

fn depth_class(depth: u16) -> usize {
    ((depth + 1).ilog2() as usize).min(DEPTHS - 1)
}
