use std::collections::{HashSet, VecDeque};

use error_stack::Report;
use metadata::{Committed, PlatformError, Row, RowKey, RowVersion, Transaction};

use crate::{ClaimRow, RowWrite, StoredClaim};

/// What became of one write.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// It took effect.
    Applied(RowVersion),
    /// It had no effect because of this row, or because there is none.
    Refused(Option<StoredClaim>),
    /// Its answer is lost; it may take effect, also later.
    Lost,
    /// It was certainly not sent.
    NotSent,
    /// The row that stands in its way is not a claim.
    Malformed,
}

/// Writes that wait for a transaction, each with a tag that says whose it is.
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
    /// Writes in the order of their arrival.
    waiting: VecDeque<(RowWrite, T)>,
}

/// Writes that share one transaction.
#[derive(Debug)]
pub struct Batch<T> {
    /// The writes; all rows differ.
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
    /// Adds a write.
    pub fn push(&mut self, write: RowWrite, tag: T) {
        self.waiting.push_back((write, tag));
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of writes that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds waiting writes to a batch until it has `max_rows`. A second write of the same row waits for another batch: the
    /// conditions of a transaction are checked before its writes, so both of two inserts would pass.
    pub fn fill(&mut self, batch: &mut Batch<T>, max_rows: usize) {
        let mut rows: HashSet<RowKey> = batch.entries.iter().map(|(w, _)| w.key.clone()).collect();
        let mut kept = VecDeque::new();
        while batch.entries.len() < max_rows {
            let Some((write, tag)) = self.waiting.pop_front() else {
                break;
            };
            if rows.insert(write.key.clone()) {
                batch.entries.push((write, tag));
            } else {
                kept.push_back((write, tag));
            }
        }
        kept.append(&mut self.waiting);
        self.waiting = kept;
    }
}

impl<T> Batch<T> {
    /// Number of rows.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The transaction that writes all rows or none.
    pub fn transaction(&self) -> Transaction {
        let writes = self.entries.iter().map(|(write, _)| write);
        writes.fold(Transaction::default(), |tx, write| write.add_to(tx))
    }

    /// Takes the table service's answer. If some conditions did not hold, the other writes come back as a batch to send
    /// again.
    pub fn handle_answer(
        self,
        answer: Result<Committed, Report<PlatformError>>,
        is_alive: impl Fn(&ClaimRow) -> bool,
    ) -> (Vec<(T, WriteResult)>, Option<Batch<T>>) {
        match answer {
            Ok(Committed::Applied { version }) => (self.all(&WriteResult::Applied(version)), None),
            Ok(Committed::Refused { rows, keys }) => self.split(&rows, &keys, is_alive),
            Err(e) if e.current_context().is_without_effect() => (self.all(&WriteResult::NotSent), None),
            Err(_) => (self.all(&WriteResult::Lost), None),
        }
    }

    /// Gives the batch up before it is sent.
    pub(crate) fn not_sent(self) -> Vec<(T, WriteResult)> {
        self.all(&WriteResult::NotSent)
    }

    fn all(self, result: &WriteResult) -> Vec<(T, WriteResult)> {
        let tags = self.entries.into_iter().map(|(_, tag)| tag);
        tags.map(|tag| (tag, result.clone())).collect()
    }

    fn split(
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
            // An answer that names none of the rows says nothing about them.
            return (Batch { entries }.all(&WriteResult::Lost), None);
        }
        let results = refused.into_iter().map(|(write, tag)| {
            let row = rows.iter().find(|row| row.key == write.key);
            (tag, refusal(row, &is_alive))
        });
        let rest = (!entries.is_empty()).then_some(Batch { entries });
        (results.collect(), rest)
    }
}

fn refusal(row: Option<&Row>, is_alive: impl Fn(&ClaimRow) -> bool) -> WriteResult {
    match row.map(|row| StoredClaim::parse(row, is_alive)) {
        None => WriteResult::Refused(None),
        Some(Ok(found)) => WriteResult::Refused(Some(found)),
        Some(Err(_)) => WriteResult::Malformed,
    }
}
