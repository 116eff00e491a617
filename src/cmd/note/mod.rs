//! The `note` commands, with which operators check, accept and list release notes.

mod args;
mod files;
mod lifecycle;
mod paint;
mod session;

pub(crate) use args::NoteCommand;

use error_stack::Report;

use crate::exit::CommandError;

/// Runs one of the `note` commands.
pub(crate) fn note(command: &NoteCommand) -> Result<(), Report<CommandError>> {
    match command {
        NoteCommand::Init(args) => lifecycle::init(args),
        NoteCommand::Check(args) => files::check(args),
        NoteCommand::Diff(args) => files::show_diff(args),
        NoteCommand::Accept(args) => lifecycle::accept(args),
        NoteCommand::Abandon(args) => lifecycle::abandon(args),
        NoteCommand::Status(args) => lifecycle::status(args),
        NoteCommand::Log(args) => lifecycle::log(args),
        NoteCommand::Rebase(args) => files::rebase(args),
        NoteCommand::Key(output) => files::make_key(*output),
    }
}
