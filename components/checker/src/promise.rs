use std::fmt;

use serde::Serialize;

/// A property that the system guarantees at all times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// No output is built from a freed or partly written cache block.
    IntactCache,
    /// A workspace's prompts and cache never reach another workspace.
    WorkspaceIsolation,
    /// A new request never uses cache blocks of another weight version.
    WeightVersions,
    /// Each caller gets the complete answer to its own request.
    WholeAnswers,
    /// A request that is refused with the outcome `not-run` did not run.
    TrueNotRun,
    /// A non-repeatable call runs at most once.
    AtMostOnce,
    /// A leaving target gets no new work after a few seconds.
    LeavingTargets,
    /// A graceful shutdown interrupts no request.
    GracefulShutdown,
    /// An accepted release note is in force everywhere within seconds and never reverts.
    NotesInForce,
}

impl Promise {
    /// All nine promises.
    pub const ALL: [Self; 9] = [
        Self::IntactCache,
        Self::WorkspaceIsolation,
        Self::WeightVersions,
        Self::WholeAnswers,
        Self::TrueNotRun,
        Self::AtMostOnce,
        Self::LeavingTargets,
        Self::GracefulShutdown,
        Self::NotesInForce,
    ];

    /// Returns the short name that reports and tables show.
    ///
    /// ```
    /// assert_eq!(checker::Promise::TrueNotRun.to_string(), "not-run is true");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::IntactCache => "cache blocks are intact",
            Self::WorkspaceIsolation => "workspaces are isolated",
            Self::WeightVersions => "weight versions do not mix",
            Self::WholeAnswers => "answers are whole and own",
            Self::TrueNotRun => "not-run is true",
            Self::AtMostOnce => "calls run at most once",
            Self::LeavingTargets => "leaving targets get no new work",
            Self::GracefulShutdown => "shutdown cuts off nothing",
            Self::NotesInForce => "accepted notes stay in force",
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
