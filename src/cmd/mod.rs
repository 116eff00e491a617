//! The subcommands; each only wires components together.

mod config;
mod events;
mod keys;
mod note;
mod serve;

pub(crate) use config::{check_config, explain_config};
pub(crate) use events::events;
pub(crate) use keys::keys;
pub(crate) use note::{NoteCommand, note};
pub(crate) use serve::serve;
