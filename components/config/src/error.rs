/// Errors in settings.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ConfigError {
    /// The file can not be read.
    #[error("can not read {file}")]
    Unreadable {
        /// Path of the file.
        file: String,
    },
    /// The text is not YAML, or a field is missing, unknown or has the wrong type.
    #[error("{file}: {problem}")]
    Syntax {
        /// Path of the file.
        file: String,
        /// Message of the parser, with line and column.
        problem: String,
    },
    /// A value is not allowed in its field.
    #[error("{file}:{line}: {field} is {found}; allowed is {allowed}")]
    NotAllowed {
        /// Path of the file.
        file: String,
        /// Line of the field, from 1.
        line: u64,
        /// Path of the field, with its parts joined by dots.
        field: String,
        /// Value in the file, as JSON.
        found: String,
        /// Description of the allowed values.
        allowed: String,
    },
}
