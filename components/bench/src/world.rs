use std::collections::{HashMap, HashSet};
use std::time::Duration;

use policy::{Retention, StoredPiece, VolumeBudget, WriteBack};
use targets::{PIECE_TOKENS, PieceId};
use utils::{RegionId, WorkspaceId};

use crate::lru::Lru;
use crate::options::{LINK_BUDGET_BURST, LINK_BUDGET_RATE, LINK_RATE, PIECE_BYTES, SPEED, Sizes};

/// Seconds to compute a piece.
const PIECE_SECONDS: f64 = PIECE_TOKENS as f64 / SPEED;

/// Backlog of writes to a store above which pieces are not written, in seconds.
const MAX_WRITE_BACKLOG: f64 = 5.0;

/// Share of a full store that is freed at once.
const FREED_SHARE: usize = 50;

/// A first-in, first-out transfer path.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pipe {
    pub(crate) free_at: f64,
    /// Bytes a second; 0 if cut.
    pub(crate) rate: f64,
}

/// A model engine as it is.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) region: usize,
    pub(crate) domain: usize,
    pub(crate) is_up: bool,
    pub(crate) incarnation: u64,
    /// Number of the next cache event.
    pub(crate) next_event: u64,
    /// End of the work that runs.
    pub(crate) free_at: f64,
    /// Seconds of work that waits in its queue, as expected when it was sent.
    pub(crate) queued: f64,
    /// Seconds of work that was sent and still waits for transfers.
    pub(crate) pending: f64,
    pub(crate) cache: Lru,
}

/// A store host as it is.
#[derive(Debug)]
pub(crate) struct Store {
    pub(crate) is_up: bool,
    pub(crate) incarnation: u64,
    pub(crate) next_change: u64,
    pub(crate) capacity: usize,
    pub(crate) kept: HashMap<PieceId, StoredPiece>,
    pub(crate) reads: Pipe,
    pub(crate) writes: Pipe,
}

/// Everything as it is, which no host sees.
pub(crate) struct World {
    pub(crate) sizes: Sizes,
    pub(crate) regions: [RegionId; 2],
    pub(crate) workspaces: Vec<WorkspaceId>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) stores: Vec<Store>,
    /// The paid link, by the region that bytes leave.
    pub(crate) links: [Pipe; 2],
    /// What all hosts together may send, by the region that bytes leave.
    pub(crate) budgets: [VolumeBudget; 2],
    /// Gaps as the owner of the stores learns them.
    pub(crate) retention: Retention,
    /// Pieces that were computed at some time.
    pub(crate) computed: HashSet<PieceId>,
    pub(crate) version: u32,
}

impl Engine {
    /// Seconds until work that is sent now can start.
    pub(crate) fn wait(&self, now: f64) -> f64 {
        (self.free_at - now).max(0.0) + self.queued
    }
}

impl Pipe {
    pub(crate) fn new(rate: f64) -> Self {
        Self { free_at: 0.0, rate }
    }

    /// Seconds until a new transfer can start.
    pub(crate) fn delay(&self, now: f64) -> f64 {
        (self.free_at - now).max(0.0)
    }

    /// Sends pieces until `deadline`; gives those that arrive and when the last one does.
    pub(crate) fn send(&mut self, pieces: usize, bytes: u64, now: f64, deadline: f64) -> (usize, f64) {
        let start = self.free_at.max(now);
        if self.rate <= 0.0 {
            return (0, deadline);
        }
        let each = bytes as f64 / self.rate;
        let fitting = ((deadline - start) / each).max(0.0) as usize;
        let sent = pieces.min(fitting);
        if sent > 0 {
            self.free_at = start + sent as f64 * each;
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
            kept: HashMap::new(),
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

    /// The pieces that are worth a copy on a store, with their depths, and when they are there.
    pub(crate) fn write_back(
        &mut self,
        region: usize,
        workspace: usize,
        pieces: &[PieceId],
        now: f64,
    ) -> (Vec<(u16, PieceId)>, f64) {
        let store = &mut self.stores[region];
        if !store.is_up || store.writes.delay(now) > MAX_WRITE_BACKLOG {
            return (Vec::new(), now);
        }
        let workspace = &self.workspaces[workspace];
        let copy = WriteBack {
            recompute_seconds: PIECE_SECONDS,
            fetch_seconds: PIECE_BYTES as f64 / store.reads.rate.max(1.0),
            recompute_cost: 0.0,
            write_cost: PIECE_BYTES as f64 / store.writes.rate.max(1.0),
        };
        let named = pieces
            .iter()
            .enumerate()
            .map(|(depth, piece)| (depth as u16, *piece));
        let worth = named.filter(|(depth, piece)| {
            !store.kept.contains_key(piece) && self.retention.is_worth_writing(workspace, *depth, &copy)
        });
        let worth: Vec<_> = worth.collect();
        let (_, done) = store.writes.send(worth.len(), PIECE_BYTES, now, f64::MAX);
        (worth, done)
    }

    /// Puts pieces on a store; gives those that are new and those dropped for them.
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
            let kept = StoredPiece {
                piece: *piece,
                workspace: self.workspaces[workspace].clone(),
                depth: *depth,
                bytes: PIECE_BYTES,
                recompute_seconds: PIECE_SECONDS,
                used_at: Duration::from_secs_f64(now),
            };
            if store.kept.insert(*piece, kept).is_none() {
                stored.push(*piece);
            }
        }
        let mut dropped = Vec::new();
        if store.kept.len() > store.capacity {
            let over = store.kept.len() - store.capacity + store.capacity / FREED_SHARE;
            let mut kept: Vec<_> = store.kept.values().cloned().collect();
            kept.sort_by_key(|k| k.piece);
            let bytes = over as u64 * PIECE_BYTES;
            dropped = self.retention.victims(&kept, bytes, Duration::from_secs_f64(now));
            dropped.iter().for_each(|piece| drop(store.kept.remove(piece)));
        }
        store.next_change += 1;
        [stored, dropped]
    }

    /// Whether a host in one region reaches an engine.
    pub(crate) fn reaches(&self, region: usize, engine: usize) -> bool {
        let engine = &self.engines[engine];
        engine.is_up && (engine.region == region || self.links[region].rate > 0.0)
    }
}
