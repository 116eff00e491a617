/// Why settings are not usable.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ConfigError {
    /// The file can not be read.
    #[error("can not read {file}")]
    Unreadable {
        /// Path of the file.
        file: String,
    },
    /// The text is not YAML or does not have the shape of settings.
    #[error("{file}: {problem}")]
    Syntax {
        /// Path of the file.
        file: String,
        /// What the parser says, with line and column.
        problem: String,
    },
    /// A value is not allowed.
    #[error("{file}:{line}: {field} is {found}; allowed is {allowed}")]
    NotAllowed {
        /// Path of the file.
        file: String,
        /// Line of the field, from 1.
        line: u64,
        /// Path of the field, parts joined by dots.
        field: String,
        /// What stands there.
        found: String,
        /// What may stand there.
        allowed: String,
    },
}
