//! The planned size and the sizes at which quantities are measured.

/// Number of entry hosts.
pub(crate) const HOSTS: f64 = 340.0;
/// Number of targets.
pub(crate) const TARGETS: f64 = 3_000.0;
/// Number of prompts that are reused.
pub(crate) const PROMPTS: f64 = 1_900_000.0;
/// Number of workspaces.
pub(crate) const WORKSPACES: f64 = 17_000.0;
/// Requests per second over all hosts.
pub(crate) const REQUESTS_PER_SECOND: f64 = 8_700.0;
/// Release notes per second: 10,000 per day.
pub(crate) const NOTES_PER_SECOND: f64 = 10_000.0 / 86_400.0;
/// Number of full pieces per prompt, from which the number of all pieces is computed.
pub(crate) const PIECES_PER_PROMPT: f64 = 16.0;
/// Entry hosts that hold each shard of the directory.
pub(crate) const SHARD_COPIES: f64 = 2.0;
/// Share of a core that control functions may use on a host.
pub(crate) const CORE_BUDGET: f64 = 0.011;
/// Memory that control functions may use on a host, in bytes.
pub(crate) const MEMORY_BUDGET: f64 = 256.0 * 1024.0 * 1024.0;
/// Bytes per second that control functions may send and receive on a host.
pub(crate) const TRAFFIC_BUDGET: f64 = 3_000.0;

/// The set of sizes at which quantities are measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scale {
    /// Sizes of docs/CAPACITY.md.
    Full,
    /// Small sizes that only check that the measurements run.
    Smoke,
}

impl Scale {
    /// Returns the numbers of pieces in a directory.
    pub(crate) fn pieces(self) -> [usize; 3] {
        match self {
            Self::Full => [100_000, 1_000_000, 10_000_000],
            Self::Smoke => [1_000, 4_000, 16_000],
        }
    }

    /// Returns the numbers of targets in a view.
    pub(crate) fn targets(self) -> [usize; 3] {
        match self {
            Self::Full => [30, 300, 3_000],
            Self::Smoke => [10, 40, 160],
        }
    }

    /// Returns the numbers of declared workspaces.
    pub(crate) fn workspaces(self) -> [usize; 3] {
        match self {
            Self::Full => [100, 1_700, 17_000],
            Self::Smoke => [10, 40, 160],
        }
    }

    /// Returns the numbers of entry hosts. The number of targets grows in proportion.
    pub(crate) fn hosts(self) -> &'static [usize] {
        match self {
            Self::Full => &[9, 30, 100, 340],
            Self::Smoke => &[3, 6, 12],
        }
    }

    /// Returns the number of iterations of a timed operation.
    pub(crate) fn iterations(self) -> u32 {
        match self {
            Self::Full => 200,
            Self::Smoke => 3,
        }
    }
}
