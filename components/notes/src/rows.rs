use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use utils::{HostId, Incarnation, NoteVersion, RegionId};

use crate::{HeadSeq, Note, NoteId};

/// Key of the head row.
pub const HEAD_KEY: &str = "notes/head";
/// Start of the keys of the hosts' rows.
pub const HOST_PREFIX: &str = "notes/host/";
/// Start of the keys of the log's rows.
pub const LOG_PREFIX: &str = "notes/log/";

/// The row that decides what is in force and what is staged.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct HeadRow {
    /// Number of the last accepted change.
    pub seq: HeadSeq,
    /// Version of the notes.
    pub version: NoteVersion,
    /// The change that brought the terms in force; names their row.
    pub terms: HeadSeq,
    /// Version of the newest snapshot in the object store; 0 if there is none.
    pub snapshot: NoteVersion,
    /// Highest number that was ever given to a change.
    pub last_seq: HeadSeq,
    /// The change that waits to be accepted.
    pub staged: Option<StagedRow>,
}

/// A staged change.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StagedRow {
    /// Number of the change.
    pub seq: HeadSeq,
    /// The note, if the change has one; without one it changes the terms only.
    pub note: Option<NoteId>,
    /// The change that brings the terms; names their row.
    pub terms: HeadSeq,
    /// Random number of the operator's run that staged it, to tell equal proposals apart.
    pub token: u64,
}

/// What a host says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HostRow {
    /// Name of the host.
    pub host: HostId,
    /// Run of the process.
    pub incarnation: Incarnation,
    /// Region of the host.
    pub region: RegionId,
    /// Address that only one process at a time can listen on.
    pub address: SocketAddr,
    /// Highest change that the run holds and obeys.
    pub acknowledged: HeadSeq,
    /// Whether the run takes no more new work, ever.
    pub is_stopped: bool,
    /// Whether all earlier runs of the host are known to have ended.
    pub are_earlier_ended: bool,
}

/// A note in the log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LogRow {
    /// Version that the note made.
    pub version: NoteVersion,
    /// Number of the change.
    pub seq: HeadSeq,
    /// Time of acceptance, in seconds since 1970.
    pub accepted_unix: u64,
    /// The note.
    pub note: Note,
}

impl HeadRow {
    /// Version once the staged change is accepted.
    pub fn staged_version(&self) -> NoteVersion {
        let has_note = self.staged.as_ref().is_some_and(|staged| staged.note.is_some());
        self.version + u64::from(has_note)
    }
}

impl HostRow {
    /// The row of a run that starts, given the row that stands there.
    ///
    /// The earlier run has ended if it said so, or if it listened on the address that this run now has.
    pub fn register(mut self, before: Option<&Self>) -> Self {
        self.are_earlier_ended = before.is_none_or(|before| {
            let is_same_address = before.address == self.address && self.address.port() != 0;
            let is_ended = before.is_stopped || is_same_address;
            before.incarnation == self.incarnation || is_ended && before.are_earlier_ended
        });
        self
    }

    /// Whether the row shows that a run holds a change, or will take no new work without it.
    pub fn vouches_for(&self, incarnation: Incarnation, seq: HeadSeq) -> bool {
        match self.incarnation == incarnation {
            true => self.is_stopped || self.acknowledged >= seq,
            false => self.are_earlier_ended,
        }
    }
}

/// Key of a host's row.
pub fn host_key(host: &str) -> String {
    format!("{HOST_PREFIX}{host}")
}

/// Key of the row that holds the note of a staged change.
pub(crate) fn staged_key(seq: HeadSeq) -> String {
    format!("notes/staged/{seq:020}")
}

/// Key of the row that holds terms.
pub(crate) fn terms_key(seq: HeadSeq) -> String {
    format!("notes/terms/{seq:020}")
}

/// Key of the log's row of a version.
pub(crate) fn log_key(version: NoteVersion) -> String {
    format!("{LOG_PREFIX}{version:020}")
}

/// Key of the row that tells where a note came into force.
pub(crate) fn note_key(id: &str) -> String {
    format!("notes/id/{id}")
}

/// Key of the object that holds everything declared as of a version.
pub(crate) fn snapshot_key(version: NoteVersion) -> String {
    format!("notes-snapshot-{version:020}")
}
