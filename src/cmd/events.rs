use error_stack::Report;

use crate::exit::CommandError;

/// Prints the catalogue of log events as a Markdown table.
pub(crate) fn events() -> Result<(), Report<CommandError>> {
    print!("{}", errors::event_catalogue());
    Ok(())
}
