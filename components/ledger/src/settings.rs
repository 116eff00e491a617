use std::time::Duration;

/// Settings of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Time from before the insert within which a claim may be used.
    pub claim_valid: Duration,
    /// Longest time from the last check of a claim to the first byte, for example to open a connection.
    pub send_margin: Duration,
    /// Longest wait for one answer of the table service.
    pub store_timeout: Duration,
    /// Longest wait for the row that is read back after a lost answer.
    pub read_back_timeout: Duration,
    /// Time for which writes are gathered into one transaction.
    pub commit_window: Duration,
    /// Longest time for which an answer waits until it is recorded.
    pub settle_wait: Duration,
    /// Most rows in one transaction.
    pub batch_rows: usize,
    /// Most calls whose settlement is not written yet; more are refused.
    pub backlog: usize,
    /// Mean time between two probes of a table service that is out of reach.
    pub probe_interval: Duration,
    /// Longest wait of the background writes after the table service is back; hosts wait a random part.
    pub recovery_spread: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            claim_valid: Duration::from_secs(2),
            send_margin: Duration::from_millis(500),
            store_timeout: Duration::from_millis(500),
            read_back_timeout: Duration::from_millis(40),
            commit_window: Duration::from_millis(3),
            settle_wait: Duration::from_millis(40),
            batch_rows: 64,
            backlog: 10_000,
            probe_interval: Duration::from_millis(250),
            recovery_spread: Duration::from_secs(2),
        }
    }
}
