//! Release notes: what is in force, and how a note changes it.

mod apply;
mod check;
mod conflict;
mod declared;
mod diff;
mod error;
mod file;
mod note;
mod places;
mod state;
mod values;

pub use apply::apply;
pub use check::check;
pub use conflict::{clashes, rebase};
pub use declared::{CostWeights, Declared, Deployment, Effect, Limits, PlainService, Rule, Workspace};
pub use diff::{EntryAction, EntryChange, FieldChange, diff};
pub use error::{Finding, NoteError, Place};
pub use file::NoteFile;
pub use note::{Entries, EntryKind, EntryName, Names, Note, NoteId};
pub use state::{HeadSeq, NoteEcho, NoteState};
