/// Error that prevents an entry host from starting or from stopping cleanly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum EntryError {
    /// The host can not listen on an address of the settings.
    #[error("can not listen on {0}")]
    Listen(std::net::SocketAddr),
    /// The metrics can not be set up.
    #[error("can not set up the metrics")]
    Metrics,
    /// The TLS certificate or key for callers can not be used.
    #[error("the keys for callers can not be used")]
    Keys,
    /// The keys or the listen address for other entry hosts can not be used.
    #[error("can not take connections from other entry hosts")]
    Peers,
    /// The state chart of claims can not be loaded.
    #[error("can not set up the ledger")]
    Ledger,
    /// A thread or its listening socket can not be set up.
    #[error("can not start a thread")]
    Thread,
    /// A thread panicked.
    #[error("a thread ended by a panic")]
    Panicked,
}
