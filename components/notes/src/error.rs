use std::fmt;

use metadata::PlatformError;
use serde::Serialize;
use utils::{HostId, NoteVersion};

use crate::{EntryName, HeadSeq, NoteId};

/// Line and column in a note file, both from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
pub struct Place {
    /// Line.
    pub line: u64,
    /// Column.
    pub column: u64,
}

/// One thing in a note that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Finding {
    /// Where it stands, if the note came from a file.
    pub place: Option<Place>,
    /// Path of the field, parts joined by dots.
    pub field: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub allowed: String,
}

/// Why a note can not be read, applied or accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum NoteError {
    /// The file can not be read.
    #[error("can not read {file}")]
    Unreadable {
        /// Path of the file.
        file: String,
    },
    /// Something in the note is not allowed.
    #[error("{}", render(file, findings))]
    Invalid {
        /// Path of the file.
        file: String,
        /// All that is not allowed.
        findings: Vec<Finding>,
    },
    /// The note was written against another version.
    #[error("the note is based on version {found}; the head is {head}")]
    WrongBase {
        /// Base that the note names.
        found: NoteVersion,
        /// Version of the head.
        head: NoteVersion,
    },
    /// Another note changes the same entries.
    #[error("the note clashes with {with} in: {}", join(entries))]
    Conflict {
        /// The note that came first.
        with: NoteId,
        /// Entries that both touch.
        entries: Vec<EntryName>,
    },
    /// Another note is staged already.
    #[error("note {id} is staged already as change {seq}")]
    OtherStaged {
        /// The staged note.
        id: NoteId,
        /// Its number.
        seq: HeadSeq,
    },
    /// The staged change was replaced or given up by another operator.
    #[error("the staged change {seq} was given up by another operator")]
    Superseded {
        /// Its number.
        seq: HeadSeq,
    },
    /// A newer run of the host has registered.
    #[error("a newer run of host {host} has registered")]
    OtherRun {
        /// Name of the host.
        host: HostId,
    },
    /// A note of this id came into force before.
    #[error("note {id} is in force already, as version {version}")]
    AcceptedBefore {
        /// The note.
        id: NoteId,
        /// Version that it made.
        version: NoteVersion,
    },
    /// The platform has no head row yet.
    #[error("the platform holds no release notes yet")]
    NoHead,
    /// A row or object does not hold what it should.
    #[error("{key} does not hold what it should")]
    Malformed {
        /// Key of the row or object.
        key: String,
    },
    /// The platform failed.
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
