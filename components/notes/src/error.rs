use std::fmt;

use metadata::PlatformError;
use serde::Serialize;
use utils::{HostId, NoteVersion};

use crate::{EntryName, HeadSeq, NoteId};

/// Position in a note file; line and column count from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
pub struct Position {
    /// Line, from 1.
    pub line: u64,
    /// Column, from 1.
    pub column: u64,
}

/// A violation that the check of a note found.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Finding {
    /// Position in the file, if the note came from a file.
    pub place: Option<Position>,
    /// Path of the field, its parts joined by dots.
    pub field: String,
    /// Description of the value found.
    pub found: String,
    /// Description of the allowed values.
    pub allowed: String,
}

/// Reason why a note can not be read, applied or accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum NoteError {
    /// The note file can not be read.
    #[error("can not read {file}")]
    Unreadable {
        /// Path of the file.
        file: String,
    },
    /// The note violates the checks.
    #[error("{}", render(file, findings))]
    Invalid {
        /// Path of the file.
        file: String,
        /// All violations.
        findings: Vec<Finding>,
    },
    /// The note was written against another version.
    #[error("the note is based on version {found}; the head is {head}")]
    WrongBase {
        /// Base version in the note.
        found: NoteVersion,
        /// Version of the head.
        head: NoteVersion,
    },
    /// Another note changes the same entries.
    #[error("the note clashes with {with} in: {}", join(entries))]
    Conflict {
        /// The note that was staged or accepted first.
        with: NoteId,
        /// Entries that both notes touch.
        entries: Vec<EntryName>,
    },
    /// Another note is staged already.
    #[error("note {id} is staged already as change {seq}")]
    OtherStaged {
        /// Id of the staged note.
        id: NoteId,
        /// Number of its change.
        seq: HeadSeq,
    },
    /// Another operator replaced or abandoned the staged change.
    #[error("the staged change {seq} was given up by another operator")]
    Superseded {
        /// Number of the change.
        seq: HeadSeq,
    },
    /// A newer run of the host has registered.
    #[error("a newer run of host {host} has registered")]
    OtherRun {
        /// Name of the host.
        host: HostId,
    },
    /// A note with this id has already come into force.
    #[error("note {id} is in force already, as version {version}")]
    AcceptedBefore {
        /// Id of the note.
        id: NoteId,
        /// Version that it produced.
        version: NoteVersion,
    },
    /// The platform has no head row yet.
    #[error("the platform holds no release notes yet")]
    NoHead,
    /// A row or object is missing or can not be decoded.
    #[error("{key} does not hold what it should")]
    Malformed {
        /// Key of the row or object.
        key: String,
    },
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is {}; allowed is {}", self.field, self.found, self.allowed)
    }
}

fn render(file: &str, findings: &[Finding]) -> String {
    let line = |finding: &Finding| match finding.place {
        Some(place) => format!("{file}:{}:{}: {finding}", place.line, place.column),
        None => format!("{file}: {finding}"),
    };
    findings.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn join(entries: &[EntryName]) -> String {
    let names: Vec<_> = entries.iter().map(ToString::to_string).collect();
    names.join(", ")
}
