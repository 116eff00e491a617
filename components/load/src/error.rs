/// Why load could not be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LoadError {
    /// A thread could not be started or ended early.
    #[error("a thread of the load tool could not run")]
    Thread,
    /// A stand-in does not hand out its record.
    #[error("a stand-in does not hand out its record")]
    NoRecord,
}
