use std::path::Path;

use config::Settings;
use error_stack::{Report, ResultExt};

use crate::exit::CommandError;

/// Checks a settings file.
pub(crate) fn check_config(file: &Path, is_platform: bool) -> Result<(), Report<CommandError>> {
    if is_platform {
        platform::load_settings(file).change_context(CommandError::Usage)?;
    } else {
        Settings::load(file).change_context(CommandError::Usage)?;
    }
    println!("{}: ok", file.display());
    Ok(())
}

/// Prints every field of the settings with its unit, default and allowed values.
pub(crate) fn explain_config(is_platform: bool) -> Result<(), Report<CommandError>> {
    let text = if is_platform {
        platform::explain_settings()
    } else {
        config::explain()
    };
    print!("{text}");
    Ok(())
}
