use serde::{Deserialize, Serialize};
use utils::{Incarnation, NoteVersion};

/// Number of a staged or accepted change of the head row; grows by one with each that is staged.
///
/// A change is a release note, a new roster, or both. A number is never given twice, so a number that a
/// host once saw replaced can not come into force later.
pub type HeadSeq = u64;

/// What a host knows about the release notes; carried in every heartbeat and its echo.
///
/// ```
/// use notes::NoteState;
///
/// let behind = NoteState { head: 7, staged: None, version: 4 };
/// let aware = NoteState { head: 7, staged: Some(8), version: 4 };
/// assert!(aware.is_ahead_of(&behind));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
pub struct NoteState {
    /// Highest accepted change that the host knows; 0 before it has read one.
    pub head: HeadSeq,
    /// Staged change whose content the host holds and obeys.
    pub staged: Option<HeadSeq>,
    /// Version of the last accepted note, for display.
    pub version: NoteVersion,
}

/// An answer to a probe, as far as release notes are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct NoteEcho {
    /// The nonce of the probe that is answered.
    pub nonce: u64,
    /// Run of the process that answers.
    pub incarnation: Incarnation,
    /// What it knew when it answered.
    pub state: NoteState,
}

impl NoteState {
    /// Highest change that the host holds the content of.
    pub fn highest(&self) -> HeadSeq {
        self.staged.unwrap_or(0).max(self.head)
    }

    /// Whether this host holds a change that the other does not.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.highest() > other.highest()
    }
}
