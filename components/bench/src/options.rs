use serde::Serialize;

/// Size of the KV cache of a full piece, in bytes.
pub(crate) const PIECE_BYTES: u64 = 16_000_000;

/// Prompt tokens that an engine processes per second.
pub(crate) const PREFILL_TOKENS_PER_SECOND: f64 = 8_000.0;

/// Capacity of the paid link between the regions, in bytes per second and direction.
pub(crate) const LINK_RATE: f64 = 30e6 / 8.0;

/// Budget of the paid link, in bytes per second and direction.
pub(crate) const LINK_BUDGET_RATE: f64 = LINK_RATE * 0.2;

/// Burst that the budget of the paid link allows, in bytes per direction.
pub(crate) const LINK_BUDGET_BURST: u64 = 180_000_000;

/// Number of entry hosts.
pub(crate) const HOSTS: usize = 9;

/// A deployment to simulate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// 20 engines, long bylaw prompts. Use of the paid link and recomputation have the highest cost.
    PermisosVerdes,
    /// 10 engines, long contract histories. Time to first token has the highest cost.
    Cadwaladr,
}

/// A fault that is injected into a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No fault.
    None,
    /// Cache events arrive after 30 seconds instead of 1 second.
    LateEvents,
    /// A tenth of the batches of cache events is lost, drawn for each host.
    EventGaps,
    /// A target crashes and restarts with an empty cache after two minutes.
    TargetCrash,
    /// The store of the larger region fails and restarts empty.
    StoreDeath,
    /// The store of the larger region loses three quarters of its capacity.
    FullStore,
    /// Reads from the store of the larger region, and the paid link, drop to a tenth of their rate.
    SlowLink,
    /// The regions are partitioned from each other.
    CutRegion,
    /// A new weight version makes all cached and stored pieces useless.
    VersionSwap,
    /// The request rate doubles.
    Burst,
}

/// A placement strategy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Strategy {
    /// Chooses a random live target.
    Random,
    /// Chooses the target with the shortest expected wait.
    LeastLoaded,
    /// Chooses the prompt's first owner by rendezvous hashing.
    Affinity,
    /// Like `Affinity`, but chooses the next owner if the wait at the first one is long.
    AffinityFallback,
    /// Like `AffinityFallback`, and also reads all pieces that the store of the target's region holds.
    AffinityStore,
    /// The cache-aware policy that the product uses.
    CacheAware,
    /// Chooses the cheapest placement with exact knowledge of all caches, stores, links and queues at the
    /// time of the decision.
    Oracle,
}

/// Options of a benchmark.
#[derive(Debug, Clone)]
pub struct Options {
    /// Deployments to simulate.
    pub deployments: Vec<Deployment>,
    /// Faults to inject, one per run.
    pub faults: Vec<Fault>,
    /// Strategies to compare.
    pub strategies: Vec<Strategy>,
    /// Seed from which the traces are generated.
    pub seed: u64,
    /// Length of a trace, in virtual minutes. The first third warms up the caches and is not measured.
    pub minutes: u32,
    /// Number of runs that are executed in parallel.
    pub threads: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            deployments: vec![Deployment::PermisosVerdes, Deployment::Cadwaladr],
            faults: Fault::ALL.to_vec(),
            strategies: Strategy::ALL.to_vec(),
            seed: 1,
            minutes: 180,
            threads: 4,
        }
    }
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 10] = [
        Self::None,
        Self::LateEvents,
        Self::EventGaps,
        Self::TargetCrash,
        Self::StoreDeath,
        Self::FullStore,
        Self::SlowLink,
        Self::CutRegion,
        Self::VersionSwap,
        Self::Burst,
    ];
}

impl Strategy {
    /// All strategies.
    pub const ALL: [Self; 7] = [
        Self::Random,
        Self::LeastLoaded,
        Self::Affinity,
        Self::AffinityFallback,
        Self::AffinityStore,
        Self::CacheAware,
        Self::Oracle,
    ];

    /// Returns whether engines read pieces from stores and write pieces to them.
    pub(crate) fn uses_stores(self) -> bool {
        matches!(self, Self::AffinityStore | Self::CacheAware | Self::Oracle)
    }
}

/// Sizes and rates of a deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sizes {
    /// Engines in each of the three failure domains. The first two form the larger region.
    pub(crate) engines: [usize; 3],
    /// Capacity of an engine's cache, in pieces.
    pub(crate) engine_pieces: usize,
    /// Capacity of the store of each region, in pieces.
    pub(crate) store_pieces: [usize; 2],
    /// Bytes per second from the store of each region.
    pub(crate) store_rate: [f64; 2],
    /// Requests per second over all hosts.
    pub(crate) requests_per_second: f64,
    /// Minimum and maximum number of full pieces in a new prompt.
    pub(crate) pieces: (u16, u16),
    /// Leading pieces that all prompts of a set share.
    pub(crate) shared_pieces: u16,
    /// Cost in seconds of one second until the first token, of 1000 recomputed tokens, and of one megabyte
    /// over the paid link.
    pub(crate) weights: [f64; 3],
}

impl Deployment {
    pub(crate) fn sizes(self) -> Sizes {
        match self {
            Self::PermisosVerdes => Sizes {
                engines: [7, 7, 6],
                engine_pieces: 256,
                store_pieces: [60_000, 30_000],
                store_rate: [800e6, 400e6],
                requests_per_second: 2.4,
                pieces: (6, 24),
                shared_pieces: 4,
                weights: [0.2, 0.1, 1.0],
            },
            Self::Cadwaladr => Sizes {
                engines: [4, 3, 3],
                engine_pieces: 256,
                store_pieces: [40_000, 20_000],
                store_rate: [500e6, 250e6],
                requests_per_second: 1.2,
                pieces: (4, 28),
                shared_pieces: 2,
                weights: [1.0, 0.01, 0.02],
            },
        }
    }
}
