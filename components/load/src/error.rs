/// Why load could not be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LoadError {
    /// A thread could not be started or ended early.
    #[error("a thread of the load tool could not run")]
    Thread,
    /// The first request did not succeed, so that there is nothing to measure.
    #[error("the system does not answer")]
    NoAnswer,
}
