//! Release notes: the declared entries in force, and how a note is checked, staged and accepted to change
//! them.

mod ack_tracker;
mod apply;
mod between;
mod check;
mod conflict;
mod declared;
mod diff;
mod enforced;
mod error;
mod file;
mod intersect;
mod note;
mod operator;
mod pace;
mod positions;
mod reader;
mod replica;
mod rows;
mod staging;
mod state;
mod store;
mod terms;
mod values;

pub use ack_tracker::{AcceptStatus, AckTracker, RegionStatus};
pub use apply::apply;
pub use check::check;
pub use conflict::{conflicting_entries, rebase};
pub use declared::{CostWeights, Declared, Deployment, Effect, Limits, PlainService, Rule, Workspace};
pub use diff::{EntryAction, EntryChange, FieldChange, diff};
pub use enforced::{EnforcedNotes, EnforcedNotesBuilder};
pub use error::{Finding, NoteError, Position};
pub use file::NoteFile;
pub use note::{Entries, EntryKind, EntryName, Names, Note, NoteId};
pub use operator::{Acceptance, Operator};
pub use pace::{head_interval, write_window};
pub use reader::{HeadContent, NoteReader};
pub use replica::{HeadChange, HeadRead, NoteReplica, ReplicaEffect};
pub use rows::{HEAD_KEY, HOST_PREFIX, HeadRow, HostRow, LOG_PREFIX, LogRow, StagedRow, host_key};
pub use staging::{AcceptedNote, Proposal};
pub use state::{HeadSeq, NoteEcho, NoteState};
pub use store::{Head, NoteStore};
pub use terms::{RegionRoster, Terms};
