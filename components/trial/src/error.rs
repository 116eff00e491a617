/// Reason for which a trial could not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum TrialError {
    /// A stand-in could not be started.
    #[error("a stand-in could not be started")]
    StandIn,
    /// An entry host could not be started, or it stopped with an error.
    #[error("an entry host could not be started or ended badly")]
    Entry,
    /// The entry hosts did not become ready in time.
    #[error("the entry hosts did not become ready in time")]
    NotReady,
    /// A release note could not be put into force in time.
    #[error("a release note did not come into force")]
    Note,
    /// A thread could not be started or panicked.
    #[error("a thread could not be started")]
    Thread,
}
