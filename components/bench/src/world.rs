use std::collections::{HashMap, HashSet};
use std::time::Duration;

use policy::{Retention, StoredPiece, VolumeBudget, WriteBack};
use targets::{PIECE_TOKENS, PieceId};
use utils::{RegionId, WorkspaceId};

use crate::lru::Lru;
use crate::options::{
    LINK_BUDGET_BURST, LINK_BUDGET_RATE, LINK_RATE, PIECE_BYTES, PREFILL_TOKENS_PER_SECOND, Sizes,
};

/// Time to compute a piece, in seconds.
const PIECE_PREFILL_SECONDS: f64 = PIECE_TOKENS as f64 / PREFILL_TOKENS_PER_SECOND;

/// Backlog of writes to a store above which no further pieces are written, in seconds.
const MAX_WRITE_BACKLOG_SECONDS: f64 = 5.0;

/// A full store evicts `1 / FREED_DIVISOR` of its capacity at once, in addition to the excess.
const FREED_DIVISOR: usize = 50;

/// A path that carries transfers one after another, in the order in which they start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pipe {
    /// Time at which all transfers have ended, in seconds.
    pub(crate) free_at: f64,
    /// Bytes per second; 0 if the path is cut.
    pub(crate) rate: f64,
}

/// True state of a model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    /// Index of the region.
    pub(crate) region: usize,
    /// Index of the failure domain.
    pub(crate) domain: usize,
    /// Whether the engine runs.
    pub(crate) is_up: bool,
    /// Incarnation of the engine's process.
    pub(crate) incarnation: u64,
    /// Sequence number of the next cache event.
    pub(crate) next_event: u64,
    /// Time at which the running prefill ends, in seconds.
    pub(crate) free_at: f64,
    /// Prefill time of the queued prompts as expected when they were sent, in seconds.
    pub(crate) queued: f64,
    /// Prefill time of prompts that were sent and still wait for transfers, in seconds.
    pub(crate) pending: f64,
    /// Cached pieces.
    pub(crate) cache: Lru,
}

/// True state of a store host.
#[derive(Debug)]
pub(crate) struct Store {
    /// Whether the store runs.
    pub(crate) is_up: bool,
    /// Incarnation of the store's process.
    pub(crate) incarnation: u64,
    /// Number of the next change of the contents.
    pub(crate) next_change: u64,
    /// Capacity, in pieces.
    pub(crate) capacity: usize,
    /// Stored pieces.
    pub(crate) contents: HashMap<PieceId, StoredPiece>,
    /// Path for reads within the region.
    pub(crate) reads: Pipe,
    /// Path for writes.
    pub(crate) writes: Pipe,
}

/// True state of the simulated system. Hosts have only lagging views of it.
pub(crate) struct World {
    /// Sizes and rates of the deployment.
    pub(crate) sizes: Sizes,
    /// Identifiers of the regions, the larger one first.
    pub(crate) regions: [RegionId; 2],
    /// Identifiers of the workspaces.
    pub(crate) workspaces: Vec<WorkspaceId>,
    /// All engines, ordered by failure domain.
    pub(crate) engines: Vec<Engine>,
    /// Store of each region.
    pub(crate) stores: Vec<Store>,
    /// Paid link, by source region.
    pub(crate) links: [Pipe; 2],
    /// Budget of the paid link for all hosts together, by source region.
    pub(crate) budgets: [VolumeBudget; 2],
    /// Retention policy of the stores, which learns the gaps between uses.
    pub(crate) retention: Retention,
    /// Pieces that have been computed at least once.
    pub(crate) computed: HashSet<PieceId>,
    /// Weight version that all engines serve.
    pub(crate) version: u32,
}

impl Engine {
    /// Returns the seconds until a prompt that is queued now can start.
    pub(crate) fn wait(&self, now: f64) -> f64 {
        (self.free_at - now).max(0.0) + self.queued
    }
}

impl Pipe {
    pub(crate) fn new(rate: f64) -> Self {
        Self { free_at: 0.0, rate }
    }

    /// Returns the seconds until a new transfer can start.
    pub(crate) fn delay(&self, now: f64) -> f64 {
        (self.free_at - now).max(0.0)
    }

    /// Sends pieces of `bytes` bytes each until `deadline`. Returns how many arrive, and when the last one
    /// arrives or the deadline passes.
    pub(crate) fn send(&mut self, pieces: usize, bytes: u64, now: f64, deadline: f64) -> (usize, f64) {
        let start = self.free_at.max(now);
        if self.rate <= 0.0 {
            return (0, deadline);
        }
        let seconds_per_piece = bytes as f64 / self.rate;
        let fitting = ((deadline - start) / seconds_per_piece).max(0.0) as usize;
        let sent = pieces.min(fitting);
        if sent > 0 {
            self.free_at = start + sent as f64 * seconds_per_piece;
        }
        (sent, if sent < pieces { deadline } else { self.free_at })
    }
}

impl World {
    pub(crate) fn new(sizes: Sizes) -> Self {
        let domains = sizes
            .engines
            .iter()
            .enumerate()
            .flat_map(|(d, n)| std::iter::repeat_n(d, *n));
        let engines = domains.map(|domain| Engine {
            region: usize::from(domain == 2),
            domain,
            is_up: true,
            incarnation: 1,
            next_event: 0,
            free_at: 0.0,
            queued: 0.0,
            pending: 0.0,
            cache: Lru::new(sizes.engine_pieces),
        });
        let stores = (0..2).map(|region| Store {
            is_up: true,
            incarnation: 1,
            next_change: 1,
            capacity: sizes.store_pieces[region],
            contents: HashMap::new(),
            reads: Pipe::new(sizes.store_rate[region]),
            writes: Pipe::new(sizes.store_rate[region]),
        });
        let budget = || VolumeBudget::new(LINK_BUDGET_RATE, LINK_BUDGET_BURST, 1, Duration::ZERO);
        Self {
            sizes,
            regions: ["large".into(), "small".into()],
            workspaces: (0..10).map(|n| format!("workspace-{n}").into()).collect(),
            engines: engines.collect(),
            stores: stores.collect(),
            links: [Pipe::new(LINK_RATE); 2],
            budgets: [budget(), budget()],
            retention: Retention::default(),
            computed: HashSet::new(),
            version: 1,
        }
    }

    /// Chooses the pieces that are worth writing to the store of a region and starts the writes. Returns the
    /// pieces with their depths, and when the last write ends.
    pub(crate) fn write_back(
        &mut self,
        region: usize,
        workspace: usize,
        pieces: &[PieceId],
        now: f64,
    ) -> (Vec<(u16, PieceId)>, f64) {
        let store = &mut self.stores[region];
        if !store.is_up || store.writes.delay(now) > MAX_WRITE_BACKLOG_SECONDS {
            return (Vec::new(), now);
        }
        let workspace = &self.workspaces[workspace];
        let copy = WriteBack {
            recompute_seconds: PIECE_PREFILL_SECONDS,
            fetch_seconds: PIECE_BYTES as f64 / store.reads.rate.max(1.0),
            recompute_cost: 0.0,
            write_cost: PIECE_BYTES as f64 / store.writes.rate.max(1.0),
        };
        let with_depth = pieces
            .iter()
            .enumerate()
            .map(|(depth, piece)| (depth as u16, *piece));
        let selected = with_depth.filter(|(depth, piece)| {
            !store.contents.contains_key(piece) && self.retention.is_worth_writing(workspace, *depth, &copy)
        });
        let selected: Vec<_> = selected.collect();
        let (_, done) = store.writes.send(selected.len(), PIECE_BYTES, now, f64::MAX);
        (selected, done)
    }

    /// Stores pieces and evicts others if the store is over its capacity. Returns the new pieces and the
    /// evicted ones.
    pub(crate) fn store(
        &mut self,
        region: usize,
        workspace: usize,
        pieces: &[(u16, PieceId)],
        now: f64,
    ) -> [Vec<PieceId>; 2] {
        let store = &mut self.stores[region];
        let mut stored = Vec::new();
        for (depth, piece) in pieces {
            let stored_piece = StoredPiece {
                piece: *piece,
                workspace: self.workspaces[workspace].clone(),
                depth: *depth,
                bytes: PIECE_BYTES,
                recompute_seconds: PIECE_PREFILL_SECONDS,
                used_at: Duration::from_secs_f64(now),
            };
            if store.contents.insert(*piece, stored_piece).is_none() {
                stored.push(*piece);
            }
        }
        let mut dropped = Vec::new();
        if store.contents.len() > store.capacity {
            let excess = store.contents.len() - store.capacity + store.capacity / FREED_DIVISOR;
            let mut held: Vec<_> = store.contents.values().cloned().collect();
            held.sort_by_key(|k| k.piece);
            let bytes = excess as u64 * PIECE_BYTES;
            dropped = self.retention.victims(&held, bytes, Duration::from_secs_f64(now));
            dropped
                .iter()
                .for_each(|piece| drop(store.contents.remove(piece)));
        }
        store.next_change += 1;
        [stored, dropped]
    }

    /// Returns whether a host in a region can reach an engine.
    pub(crate) fn is_reachable(&self, region: usize, engine: usize) -> bool {
        let engine = &self.engines[engine];
        engine.is_up && (engine.region == region || self.links[region].rate > 0.0)
    }
}
