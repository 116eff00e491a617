//! The place of a write in the history of the store.

use serde::{Deserialize, Serialize};

/// A version of the store, or of one of its rows. A store that is restored from an older copy begins a new era and
/// gives out versions again, so positions are ordered by era first.
///
/// ```
/// use gateway::Position;
///
/// assert!(Position::new(2, 10) > Position::new(1, 90));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
pub struct Position {
    /// How often the store had been restored.
    era: u64,
    /// Version within the era.
    version: u64,
}

impl Position {
    /// Creates the position of a version within an era.
    pub const fn new(era: u64, version: u64) -> Self {
        Self { era, version }
    }

    /// Returns the era.
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Returns the number of the version, for calls to the store. Only equality is meaningful between eras: a
    /// write that a restored store still has keeps its number.
    pub const fn version(self) -> u64 {
        self.version
    }
}
