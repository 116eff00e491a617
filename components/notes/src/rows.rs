use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use utils::{HostId, Incarnation, NoteVersion, RegionId};

use crate::{HeadSeq, Note, NoteId};

/// Key of the head row.
pub const HEAD_KEY: &str = "notes/head";
/// Prefix of the keys of hosts' rows.
pub const HOST_PREFIX: &str = "notes/host/";
/// Prefix of the keys of the log's rows.
pub const LOG_PREFIX: &str = "notes/log/";

/// Content of the head row, which determines what is in force and what is staged.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct HeadRow {
    /// Number of the last accepted change.
    pub seq: HeadSeq,
    /// Version of the last accepted note.
    pub version: NoteVersion,
    /// Number of the change that introduced the terms in force; part of the key of their row.
    pub terms: HeadSeq,
    /// Version of the newest snapshot in the object store; 0 if there is none.
    pub snapshot: NoteVersion,
    /// Highest number that any change has had.
    pub last_seq: HeadSeq,
    /// The change that awaits acceptance.
    pub staged: Option<StagedRow>,
}

/// A staged change, as stored in the head row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StagedRow {
    /// Number of the change.
    pub seq: HeadSeq,
    /// Id of the note; `None` if the change alters the terms only.
    pub note: Option<NoteId>,
    /// Number of the change that introduces the terms; part of the key of their row.
    pub terms: HeadSeq,
    /// Random number that distinguishes equal proposals of different operators.
    pub token: u64,
}

/// Row in which a host registers its run and acknowledges changes.
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
    /// Highest change that the run holds and enforces.
    pub acknowledged: HeadSeq,
    /// Whether the run has stopped taking new work for good.
    pub is_stopped: bool,
    /// Whether all earlier runs of the host are known to have ended.
    pub are_earlier_ended: bool,
}

/// A note in the log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LogRow {
    /// Version that the note produced.
    pub version: NoteVersion,
    /// Number of the change.
    pub seq: HeadSeq,
    /// Time of acceptance, in seconds since the Unix epoch.
    pub accepted_unix: u64,
    /// The note.
    pub note: Note,
}

impl HeadRow {
    /// Returns the version after the staged change is accepted.
    pub fn staged_version(&self) -> NoteVersion {
        let has_note = self.staged.as_ref().is_some_and(|staged| staged.note.is_some());
        self.version + u64::from(has_note)
    }
}

impl HostRow {
    /// Returns the row for a starting run, given the host's row from before.
    ///
    /// The earlier run has ended if its row says that it stopped, or if it listened on the address that this
    /// run listens on now.
    pub fn register(mut self, before: Option<&Self>) -> Self {
        self.are_earlier_ended = before.is_none_or(|before| {
            let is_same_address = before.address == self.address && self.address.port() != 0;
            let is_ended = before.is_stopped || is_same_address;
            before.incarnation == self.incarnation || is_ended && before.are_earlier_ended
        });
        self
    }

    /// Returns whether the row shows that a run holds a change, has stopped taking new work or has ended.
    pub fn confirms(&self, incarnation: Incarnation, seq: HeadSeq) -> bool {
        match self.incarnation == incarnation {
            true => self.is_stopped || self.acknowledged >= seq,
            false => self.are_earlier_ended,
        }
    }
}

/// Returns the key of a host's row.
pub fn host_key(host: &str) -> String {
    format!("{HOST_PREFIX}{host}")
}

/// Returns the key of the row that holds the note of a staged change.
pub(crate) fn staged_key(seq: HeadSeq) -> String {
    format!("notes/staged/{seq:020}")
}

/// Returns the key of the row that holds the terms of a change.
pub(crate) fn terms_key(seq: HeadSeq) -> String {
    format!("notes/terms/{seq:020}")
}

/// Returns the key of the log row of a version.
pub(crate) fn log_key(version: NoteVersion) -> String {
    format!("{LOG_PREFIX}{version:020}")
}

/// Returns the key of the row that records the version at which a note came into force.
pub(crate) fn note_key(id: &str) -> String {
    format!("notes/id/{id}")
}

/// Returns the key of the object that holds everything declared as of a version.
pub(crate) fn snapshot_key(version: NoteVersion) -> String {
    format!("notes-snapshot-{version:020}")
}
