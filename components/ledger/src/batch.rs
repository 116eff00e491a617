use std::collections::{HashSet, VecDeque};

use error_stack::Report;
use metadata::{Committed, PlatformError, Row, RowKey, RowVersion, Transaction};

use crate::{ClaimRow, RowWrite, StoredClaim};

/// Result of one write.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// The write took effect; holds the new version of the row.
    Applied(RowVersion),
    /// The condition did not hold, so the write had no effect; holds the present row, if there is one.
    Refused(Option<StoredClaim>),
    /// No answer was received. The write may have taken effect or may still do so later.
    Lost,
    /// The write was not sent.
    NotSent,
    /// The condition did not hold, and the present row cannot be parsed as a claim.
    Malformed,
}

/// Queue of writes that wait for a transaction, each with a tag that identifies the requester.
///
/// ```
/// use ledger::{Batch, Batcher};
///
/// let mut batcher: Batcher<u32> = Batcher::default();
/// let mut batch = Batch::default();
/// batcher.fill(&mut batch, 64);
/// assert!(batch.is_empty());
/// ```
#[derive(Debug)]
pub struct Batcher<T> {
    /// Waiting writes in order of arrival.
    waiting: VecDeque<(RowWrite, T)>,
}

/// Writes that share one transaction.
#[derive(Debug)]
pub struct Batch<T> {
    /// The writes with their tags; each row key occurs once.
    entries: Vec<(RowWrite, T)>,
}

impl<T> Default for Batcher<T> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
        }
    }
}

impl<T> Default for Batch<T> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<T> Batcher<T> {
    /// Appends a write to the queue.
    pub fn push(&mut self, write: RowWrite, tag: T) {
        self.waiting.push_back((write, tag));
    }

    /// Whether no write waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting writes.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Moves waiting writes to a batch until it has `max_rows`. A second write of the same row stays in the
    /// queue for a later batch: the table service checks all conditions of a transaction before it writes, so
    /// two inserts of one row would both pass.
    pub fn fill(&mut self, batch: &mut Batch<T>, max_rows: usize) {
        let mut rows: HashSet<RowKey> = batch.entries.iter().map(|(w, _)| w.key.clone()).collect();
        let mut deferred = VecDeque::new();
        while batch.entries.len() < max_rows {
            let Some((write, tag)) = self.waiting.pop_front() else {
                break;
            };
            if rows.insert(write.key.clone()) {
                batch.entries.push((write, tag));
            } else {
                deferred.push_back((write, tag));
            }
        }
        deferred.append(&mut self.waiting);
        self.waiting = deferred;
    }
}

impl<T> Batch<T> {
    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the batch has no rows.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the transaction that writes all rows or none.
    pub fn transaction(&self) -> Transaction {
        let writes = self.entries.iter().map(|(write, _)| write);
        writes.fold(Transaction::default(), |tx, write| write.add_to(tx))
    }

    /// Maps the table service's answer to one result per write. If some conditions did not hold, the
    /// remaining writes are returned as a batch to send again.
    pub fn handle_answer(
        self,
        answer: Result<Committed, Report<PlatformError>>,
        is_alive: impl Fn(&ClaimRow) -> bool,
    ) -> (Vec<(T, WriteResult)>, Option<Batch<T>>) {
        match answer {
            Ok(Committed::Applied { version }) => (self.with_result(&WriteResult::Applied(version)), None),
            Ok(Committed::Refused { rows, keys }) => self.split_refused(&rows, &keys, is_alive),
            Err(e) if e.current_context().is_without_effect() => {
                (self.with_result(&WriteResult::NotSent), None)
            }
            Err(_) => (self.with_result(&WriteResult::Lost), None),
        }
    }

    /// Cancels the batch before it is sent.
    pub(crate) fn cancel(self) -> Vec<(T, WriteResult)> {
        self.with_result(&WriteResult::NotSent)
    }

    fn with_result(self, result: &WriteResult) -> Vec<(T, WriteResult)> {
        let tags = self.entries.into_iter().map(|(_, tag)| tag);
        tags.map(|tag| (tag, result.clone())).collect()
    }

    fn split_refused(
        self,
        rows: &[Row],
        keys: &[RowKey],
        is_alive: impl Fn(&ClaimRow) -> bool,
    ) -> (Vec<(T, WriteResult)>, Option<Batch<T>>) {
        let (refused, entries): (Vec<_>, Vec<_>) = self
            .entries
            .into_iter()
            .partition(|(write, _)| keys.contains(&write.key));
        if refused.is_empty() {
            // The refusal lists none of these rows, so their state is unknown.
            return (Batch { entries }.with_result(&WriteResult::Lost), None);
        }
        let results = refused.into_iter().map(|(write, tag)| {
            let row = rows.iter().find(|row| row.key == write.key);
            (tag, refused_result(row, &is_alive))
        });
        let rest = (!entries.is_empty()).then_some(Batch { entries });
        (results.collect(), rest)
    }
}

fn refused_result(row: Option<&Row>, is_alive: impl Fn(&ClaimRow) -> bool) -> WriteResult {
    match row.map(|row| StoredClaim::parse(row, is_alive)) {
        None => WriteResult::Refused(None),
        Some(Ok(found)) => WriteResult::Refused(Some(found)),
        Some(Err(_)) => WriteResult::Malformed,
    }
}
