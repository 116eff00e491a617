use std::path::Path;

use config::Settings;
use error_stack::{Report, ResultExt};

use crate::exit::CommandError;

/// Checks a file of settings.
pub(crate) fn check_config(file: &Path) -> Result<(), Report<CommandError>> {
    Settings::load(file).change_context(CommandError::Usage)?;
    println!("{}: ok", file.display());
    Ok(())
}

/// Prints every field of the settings.
pub(crate) fn explain_config() -> Result<(), Report<CommandError>> {
    print!("{}", config::explain());
    Ok(())
}
