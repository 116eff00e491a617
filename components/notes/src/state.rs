use serde::{Deserialize, Serialize};
use utils::{Incarnation, NoteVersion};

/// Number of a staged or accepted change of the head row; increases by one with each staged change.
///
/// A change is a release note, new terms, or both. A number is never reused, so a change that a host has seen
/// replaced can not come into force later.
pub type HeadSeq = u64;

/// Changes of the head row that a host holds; sent in every heartbeat and its echo.
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
    /// Highest accepted change that the host knows; 0 before its first read.
    pub head: HeadSeq,
    /// Staged change whose content the host holds and enforces.
    pub staged: Option<HeadSeq>,
    /// Version of the last accepted note; for display only.
    pub version: NoteVersion,
}

/// The part of a probe's answer that concerns release notes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct NoteEcho {
    /// Nonce of the answered probe.
    pub nonce: u64,
    /// Run of the answering process.
    pub incarnation: Incarnation,
    /// Changes that the process held when it answered.
    pub state: NoteState,
}

impl NoteState {
    /// Returns the highest change whose content the host holds.
    pub fn highest(&self) -> HeadSeq {
        self.staged.unwrap_or(0).max(self.head)
    }

    /// Returns whether this host holds a change that the other does not.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.highest() > other.highest()
    }
}
