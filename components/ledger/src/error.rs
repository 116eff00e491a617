/// Why the ledger can't go on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LedgerError {
    /// A row of the table is not a claim.
    #[error("row {key} is not a claim")]
    Malformed {
        /// Key of the row.
        key: String,
    },
    /// An input does not fit the state of a try.
    #[error("the input does not fit the state of the try")]
    OutOfOrder,
    /// The writer has ended.
    #[error("the ledger's writer has ended")]
    Closed,
    /// The embedded chart is broken.
    #[error("the chart of claims is broken")]
    Chart,
}
