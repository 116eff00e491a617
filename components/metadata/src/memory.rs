use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use error_stack::Report;

use crate::{
    BoxFuture, Committed, Condition, Expect, PlatformError, Row, RowKey, RowVersion, ScanRequest,
    TableService, Transaction, Write,
};

/// An in-memory table for stand-ins, specifications and tests.
///
/// ```
/// use metadata::{Committed, Expect, MemoryTable, Transaction};
///
/// let table = MemoryTable::default();
/// let insert = Transaction::default().put("k", Expect::Absent, serde_json::json!(1));
/// assert_eq!(table.apply(&insert), Committed::Applied { version: 1 });
/// assert!(matches!(table.apply(&insert), Committed::Refused { .. }));
/// ```
#[derive(Debug, Default)]
pub struct MemoryTable {
    /// Rows and the version of the last write.
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Rows by key.
    rows: BTreeMap<RowKey, Row>,
    /// Version of the last write.
    version: RowVersion,
}

impl MemoryTable {
    /// Runs a transaction synchronously.
    pub fn apply(&self, tx: &Transaction) -> Committed {
        let mut state = self.lock();
        let failed: Vec<&Condition> = tx.conditions.iter().filter(|c| !state.holds(c)).collect();
        if !failed.is_empty() {
            return state.refuse(&failed);
        }
        state.version += 1;
        for write in &tx.writes {
            state.write(write);
        }
        Committed::Applied {
            version: state.version,
        }
    }

    /// Returns the row with a key.
    pub fn get(&self, key: &str) -> Option<Row> {
        self.lock().rows.get(key).cloned()
    }

    /// Returns the rows that a scan selects, in the order of their keys.
    pub fn range(&self, req: &ScanRequest) -> Vec<Row> {
        self.lock()
            .rows
            .range(req.prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&req.prefix))
            .filter(|(key, _)| **key > req.after)
            .take(req.limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn holds(&self, condition: &Condition) -> bool {
        let version = self.rows.get(&condition.key).map(|row| row.version);
        match condition.expect {
            Expect::Absent => version.is_none(),
            Expect::Version(expected) => version == Some(expected),
        }
    }

    fn refuse(&self, failed: &[&Condition]) -> Committed {
        Committed::Refused {
            rows: failed
                .iter()
                .filter_map(|c| self.rows.get(&c.key).cloned())
                .collect(),
            keys: failed.iter().map(|c| c.key.clone()).collect(),
        }
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Put { key, value } => {
                let row = Row {
                    key: key.clone(),
                    value: value.clone(),
                    version: self.version,
                };
                self.rows.insert(key.clone(), row);
            }
            Write::Delete { key } => {
                self.rows.remove(key);
            }
        }
    }
}

impl TableService for MemoryTable {
    fn transact(&self, tx: Transaction) -> BoxFuture<'_, Result<Committed, Report<PlatformError>>> {
        Box::pin(async move { Ok(self.apply(&tx)) })
    }

    fn read(&self, keys: Vec<RowKey>) -> BoxFuture<'_, Result<Vec<Option<Row>>, Report<PlatformError>>> {
        Box::pin(async move {
            let state = self.lock();
            Ok(keys.iter().map(|key| state.rows.get(key).cloned()).collect())
        })
    }

    fn scan(&self, req: ScanRequest) -> BoxFuture<'_, Result<Vec<Row>, Report<PlatformError>>> {
        Box::pin(async move { Ok(self.range(&req)) })
    }
}
