use std::time::Duration;

/// Settings of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Validity of a claim, counted from a time before its insert.
    pub claim_validity: Duration,
    /// Maximum time from the last check of a claim's deadline to the first byte sent, for example to open a
    /// connection.
    pub send_margin: Duration,
    /// Timeout of a call to the table service.
    pub store_timeout: Duration,
    /// Timeout of the read that checks whether an insert with a lost answer took effect.
    pub read_back_timeout: Duration,
    /// Time for which writes are collected into one transaction.
    pub commit_window: Duration,
    /// Maximum delay of an answer to the caller while its settlement is being written.
    pub settle_timeout: Duration,
    /// Maximum number of rows in a transaction.
    pub max_batch_rows: usize,
    /// Maximum number of attempts in flight and unwritten settlements; further attempts are refused.
    pub max_backlog: usize,
    /// Mean interval between probes of an unavailable table service.
    pub probe_interval: Duration,
    /// Maximum delay of background writes after the table service recovers. Each host waits a random part of
    /// it, which spreads the load.
    pub max_recovery_delay: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            claim_validity: Duration::from_secs(2),
            send_margin: Duration::from_millis(500),
            store_timeout: Duration::from_millis(500),
            read_back_timeout: Duration::from_millis(40),
            commit_window: Duration::from_millis(3),
            settle_timeout: Duration::from_millis(40),
            max_batch_rows: 64,
            max_backlog: 10_000,
            probe_interval: Duration::from_millis(250),
            max_recovery_delay: Duration::from_secs(2),
        }
    }
}
