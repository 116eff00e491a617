/// Reason for which a load run failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LoadError {
    /// A thread of the load tool panicked.
    #[error("a thread of the load tool could not run")]
    Thread,
    /// The record of a stand-in could not be read.
    #[error("a stand-in does not hand out its record")]
    NoRecord,
}
