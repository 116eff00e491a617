//! The size to build towards, and the sizes that are measured.

/// Entry hosts.
pub(crate) const HOSTS: f64 = 340.0;
/// Targets.
pub(crate) const TARGETS: f64 = 3_000.0;
/// Prompts that come back.
pub(crate) const PROMPTS: f64 = 1_900_000.0;
/// Workspaces.
pub(crate) const WORKSPACES: f64 = 17_000.0;
/// Requests a second over all hosts.
pub(crate) const REQUESTS_PER_SECOND: f64 = 8_700.0;
/// Release notes a second.
pub(crate) const NOTES_PER_SECOND: f64 = 10_000.0 / 86_400.0;
/// Full pieces of a prompt, for the sum of all pieces.
pub(crate) const PIECES_PER_PROMPT: f64 = 16.0;
/// Entry hosts that hold each shard of the directory.
pub(crate) const SHARD_COPIES: f64 = 2.0;
/// Share of a core that control may take on a host.
pub(crate) const CORE_BUDGET: f64 = 0.011;
/// Memory that control may take on a host, in bytes.
pub(crate) const MEMORY_BUDGET: f64 = 256.0 * 1024.0 * 1024.0;
/// Bytes a second that control may send and receive on a host.
pub(crate) const TRAFFIC_BUDGET: f64 = 3_000.0;

/// How large the measured sizes are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scale {
    /// The sizes of the capacity page.
    Full,
    /// Small sizes, to see that the measures work.
    Smoke,
}

impl Scale {
    /// Pieces in a directory.
    pub(crate) fn pieces(self) -> [usize; 3] {
        match self {
            Self::Full => [100_000, 1_000_000, 10_000_000],
            Self::Smoke => [1_000, 4_000, 16_000],
        }
    }

    /// Targets in a view.
    pub(crate) fn targets(self) -> [usize; 3] {
        match self {
            Self::Full => [30, 300, 3_000],
            Self::Smoke => [10, 40, 160],
        }
    }

    /// Workspaces that are declared.
    pub(crate) fn workspaces(self) -> [usize; 3] {
        match self {
            Self::Full => [100, 1_700, 17_000],
            Self::Smoke => [10, 40, 160],
        }
    }

    /// Entry hosts, each with its share of the targets.
    pub(crate) fn hosts(self) -> &'static [usize] {
        match self {
            Self::Full => &[9, 30, 100, 340],
            Self::Smoke => &[3, 6, 12],
        }
    }

    /// Repetitions of a timed operation.
    pub(crate) fn rounds(self) -> u32 {
        match self {
            Self::Full => 200,
            Self::Smoke => 3,
        }
    }
}
