use error_stack::Report;
use serde::{Deserialize, Serialize};

use crate::{BoxFuture, PlatformError};

/// Key of a row, for example `claim/mill/orders/7`.
pub type RowKey = String;

/// Version of a row; increases with every write to the table.
pub type RowVersion = u64;

/// A row of the table service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: RowKey,
    /// Content.
    pub value: serde_json::Value,
    /// Version of the last write.
    pub version: RowVersion,
}

/// Precondition of a transaction on the state of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has exactly this version.
    Version(RowVersion),
}

/// A condition on one row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: RowKey,
    /// Required state of the row.
    pub expect: Expect,
}

/// A change to one row.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// Stores a row.
    Put {
        /// Key of the row.
        key: RowKey,
        /// New content.
        value: serde_json::Value,
    },
    /// Removes a row; no effect if it does not exist.
    Delete {
        /// Key of the row.
        key: RowKey,
    },
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Writes that are applied if they hold.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a write of a row and a condition on its current state.
    ///
    /// ```
    /// use metadata::{Expect, Transaction};
    ///
    /// let tx = Transaction::default().put("head", Expect::Absent, serde_json::json!({"version": 1}));
    /// assert_eq!(tx.writes.len(), 1);
    /// ```
    pub fn put(mut self, key: impl Into<RowKey>, expect: Expect, value: serde_json::Value) -> Self {
        let key = key.into();
        self.conditions.push(Condition {
            key: key.clone(),
            expect,
        });
        self.writes.push(Write::Put { key, value });
        self
    }
}

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Committed {
    /// All writes were applied.
    Applied {
        /// Version of every written row.
        version: RowVersion,
    },
    /// At least one condition did not hold; nothing was written.
    Refused {
        /// Current rows of the failed conditions, without rows that do not exist.
        rows: Vec<Row>,
        /// Keys of the failed conditions.
        keys: Vec<RowKey>,
    },
}

/// Body of a request to read rows.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows.
    pub keys: Vec<RowKey>,
}

/// Body of a request to scan rows.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ScanRequest {
    /// Prefix of the keys.
    pub prefix: String,
    /// Key after which the scan starts; the key itself is not included.
    pub after: RowKey,
    /// Maximum number of rows in the answer.
    pub limit: usize,
}

/// The transactional table service.
///
/// Transactions are linearizable. A call may fail without the caller knowing whether it took effect; see
/// [`PlatformError::is_without_effect`].
pub trait TableService: Send + Sync {
    /// Runs a transaction.
    fn transact(&self, tx: Transaction) -> BoxFuture<'_, Result<Committed, Report<PlatformError>>>;

    /// Reads rows from one snapshot. The answer has one entry per key, in the order of the keys.
    fn read(&self, keys: Vec<RowKey>) -> BoxFuture<'_, Result<Vec<Option<Row>>, Report<PlatformError>>>;

    /// Reads the rows that a scan selects, in the order of their keys.
    fn scan(&self, req: ScanRequest) -> BoxFuture<'_, Result<Vec<Row>, Report<PlatformError>>>;
}
