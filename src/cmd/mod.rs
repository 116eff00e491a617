//! Implementations of the subcommands, which wire the components together.

mod bench_policy;
mod config;
mod events;
mod explain;
mod keys;
mod load;
mod note;
mod serve;
mod stand_in;
mod try_it;

pub(crate) use bench_policy::bench_policy;
pub(crate) use config::{check_config, explain_config};
pub(crate) use events::events;
pub(crate) use explain::explain;
pub(crate) use keys::keys;
pub(crate) use load::load;
pub(crate) use note::{NoteCommand, note};
pub(crate) use serve::serve;
pub(crate) use stand_in::stand_in;
pub(crate) use try_it::try_it;

use std::io::Write;

use error_stack::Report;
use loadgen::Preset;
use serde::Serialize;

use crate::exit::CommandError;

/// Prints a report. A closed pipe on the reading side is ignored.
fn print_text(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Prints a report as one JSON object.
fn print_json(report: &impl Serialize) {
    let text = serde_json::to_string_pretty(report).unwrap_or_default();
    print_text(&(text + "\n"));
}

/// Returns the preset with this name.
fn preset(name: &str) -> Result<Preset, Report<CommandError>> {
    let found = Preset::by_name(name).ok_or(CommandError::UnknownPreset);
    found.map_err(|e| Report::new(e).change_context(CommandError::Usage))
}
