use error_stack::Report;
use serde::{Deserialize, Serialize};

use crate::{BoxFuture, PlatformError};

/// Key of a row, for example `claim/mill/orders/7`.
pub type RowKey = String;

/// Version of a row; grows with every write to the table.
pub type RowVersion = u64;

/// A row of the table.
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

/// What a transaction expects of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// There is no such row.
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
    /// What must hold.
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
    /// Removes a row; without effect if there is none.
    Delete {
        /// Key of the row.
        key: RowKey,
    },
}

/// Writes that take effect together, if all conditions hold.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written then.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a condition and a row to store.
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

/// The table service's answer to a transaction.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Committed {
    /// All writes took effect.
    Applied {
        /// Version of every row that was written.
        version: RowVersion,
    },
    /// A condition did not hold; nothing took effect.
    Refused {
        /// The rows behind the failed conditions as they are; rows that do not exist are left out.
        rows: Vec<Row>,
        /// Keys of the failed conditions.
        keys: Vec<RowKey>,
    },
}

/// Body of a read.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows.
    pub keys: Vec<RowKey>,
}

/// Body of a scan.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ScanRequest {
    /// Start of every key.
    pub prefix: String,
    /// Only keys after this one.
    pub after: RowKey,
    /// Most rows in the answer.
    pub limit: usize,
}

/// The transactional table service. Transactions are linearizable; each call may fail with its effect unknown.
pub trait TableService: Send + Sync {
    /// Runs a transaction.
    fn transact(&self, tx: Transaction) -> BoxFuture<'_, Result<Committed, Report<PlatformError>>>;

    /// Reads rows as of one moment; the answer has one entry a key, in order.
    fn read(&self, keys: Vec<RowKey>) -> BoxFuture<'_, Result<Vec<Option<Row>>, Report<PlatformError>>>;

    /// Reads rows in the order of their keys.
    fn scan(&self, req: ScanRequest) -> BoxFuture<'_, Result<Vec<Row>, Report<PlatformError>>>;
}
