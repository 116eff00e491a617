use std::collections::BTreeMap;

use error_stack::Report;
use serde_saphyr::Spanned;

use crate::ConfigError;
use crate::fields::{FIELDS, Field};

/// Values of a file with their positions, by section and field.
type Sections = BTreeMap<String, BTreeMap<String, Spanned<serde_json::Value>>>;

/// Checks every value in the text against the allowed values of its field.
///
/// # Errors
/// [`ConfigError::NotAllowed`] for the first value that is not allowed, [`ConfigError::Syntax`] for text
/// that has no sections.
pub(crate) fn check(text: &str, file: &str) -> Result<(), Report<ConfigError>> {
    let parsed: Result<Sections, _> = serde_saphyr::from_str(text);
    let sections = parsed.map_err(|e| syntax(file, &e))?;
    for field in FIELDS {
        let Some(value) = find(&sections, field) else {
            continue;
        };
        if !field.allowed.permits(&value.value) {
            return Err(Report::new(not_allowed(file, field, value)));
        }
    }
    Ok(())
}

/// Returns the error for text that the parser rejects.
pub(crate) fn syntax(file: &str, e: &serde_saphyr::Error) -> Report<ConfigError> {
    let problem = e.to_string();
    Report::new(ConfigError::Syntax {
        file: file.to_owned(),
        problem,
    })
}

fn find<'a>(sections: &'a Sections, field: &Field) -> Option<&'a Spanned<serde_json::Value>> {
    let (section, name) = field.path.split_once('.')?;
    sections.get(section)?.get(name)
}

fn not_allowed(file: &str, field: &Field, value: &Spanned<serde_json::Value>) -> ConfigError {
    ConfigError::NotAllowed {
        file: file.to_owned(),
        line: value.referenced.line(),
        field: field.path.to_owned(),
        found: value.value.to_string(),
        allowed: field.allowed.to_string(),
    }
}
