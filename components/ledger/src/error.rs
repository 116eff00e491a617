/// Errors of the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LedgerError {
    /// A row of the table cannot be parsed as a claim.
    #[error("row {key} is not a claim")]
    Malformed {
        /// Key of the row.
        key: String,
    },
    /// The chart does not allow an input in the state of the attempt.
    #[error("the input does not fit the state of the try")]
    OutOfOrder,
    /// The writer has stopped.
    #[error("the ledger's writer has ended")]
    Closed,
    /// The embedded chart of claims is invalid.
    #[error("the chart of claims is broken")]
    Chart,
}
