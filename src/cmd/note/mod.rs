//! The operators' `note` commands.

mod args;
mod files;
mod force;
mod paint;
mod session;

pub(crate) use args::NoteCommand;

use error_stack::Report;

use crate::exit::CommandError;

/// Runs one of the `note` commands.
pub(crate) fn note(command: &NoteCommand) -> Result<(), Report<CommandError>> {
    match command {
        NoteCommand::Init(args) => force::init(args),
        NoteCommand::Check(args) => files::check(args),
        NoteCommand::Diff(args) => files::show_diff(args),
        NoteCommand::Accept(args) => force::accept(args),
        NoteCommand::Abandon(args) => force::abandon(args),
        NoteCommand::Status(args) => force::status(args),
        NoteCommand::Log(args) => force::log(args),
        NoteCommand::Rebase(args) => files::rebase(args),
        NoteCommand::Key(output) => files::make_key(*output),
    }
}
