use std::sync::Arc;

use crate::store::NoteResult;
use crate::{Declared, HeadChange, HeadRead, Note, NoteError, NoteStore, Terms};
use crate::{Head, HeadRow, HeadSeq};

/// Reads the head row with the notes and terms that it refers to, and caches what does not change.
pub struct NoteReader {
    /// Store that holds the notes.
    store: NoteStore,
    /// Entries that the last head read declares.
    declared: Arc<Declared>,
    /// The last staged note that was read.
    staged: Option<(HeadSeq, Arc<Note>)>,
    /// Terms with the numbers of the changes that introduced them.
    terms: Vec<(HeadSeq, Arc<Terms>)>,
}

/// A read of the head row with the content of its notes.
#[derive(Debug, Clone)]
pub struct HeadContent {
    /// The read, as input for [`NoteReplica`](crate::NoteReplica).
    pub head_read: HeadRead,
    /// Entries that the head declares.
    pub declared: Arc<Declared>,
    /// The staged note; `None` if nothing or only a change of terms is staged.
    pub staged: Option<Arc<Note>>,
}

impl NoteReader {
    /// Creates a reader with an empty cache.
    pub fn new(store: NoteStore) -> Self {
        Self {
            store,
            declared: Arc::default(),
            staged: None,
            terms: Vec::new(),
        }
    }

    /// Reads the head row, and the content that it refers to unless that is cached. Costs one read of the
    /// table if nothing has changed.
    ///
    /// # Errors
    /// [`NoteError`] if any part can not be read; the caller then must not use the read for freshness.
    pub async fn read(&mut self) -> NoteResult<HeadContent> {
        let head = self.store.head().await?;
        self.read_declared(&head.row).await?;
        let staged = self.read_staged(&head.row).await?;
        let head_read = self.head_read(&head).await?;
        Ok(HeadContent {
            head_read,
            declared: self.declared.clone(),
            staged,
        })
    }

    async fn read_declared(&mut self, row: &HeadRow) -> NoteResult<()> {
        if self.declared.version == row.version {
            return Ok(());
        }
        let next = match &self.staged {
            // The cached staged note is the one that was accepted.
            Some((seq, note)) if *seq == row.seq && note.base == self.declared.version => {
                crate::apply(&self.declared, note)?
            }
            _ => self.store.declared(row, Some(&self.declared)).await?,
        };
        self.declared = Arc::new(next);
        Ok(())
    }

    async fn read_staged(&mut self, row: &HeadRow) -> NoteResult<Option<Arc<Note>>> {
        let Some(staged) = row.staged.as_ref().filter(|staged| staged.note.is_some()) else {
            return Ok(None);
        };
        if let Some((seq, note)) = &self.staged
            && *seq == staged.seq
        {
            return Ok(Some(note.clone()));
        }
        let note = Arc::new(self.store.staged_note(staged.seq).await?);
        crate::apply(&self.declared, &note)?;
        self.staged = Some((staged.seq, note.clone()));
        Ok(Some(note))
    }

    async fn head_read(&mut self, head: &Head) -> NoteResult<HeadRead> {
        let row = &head.row;
        let staged = match &row.staged {
            Some(staged) => Some(HeadChange {
                seq: staged.seq,
                version: row.staged_version(),
                terms: self.terms(staged.terms).await?,
            }),
            None => None,
        };
        let head_read = HeadRead {
            revision: head.revision,
            head: HeadChange {
                seq: row.seq,
                version: row.version,
                terms: self.terms(row.terms).await?,
            },
            staged,
        };
        let is_named = |seq: HeadSeq| seq == row.terms || row.staged.as_ref().is_some_and(|s| s.terms == seq);
        self.terms.retain(|(seq, _)| is_named(*seq));
        Ok(head_read)
    }

    async fn terms(&mut self, seq: HeadSeq) -> Result<Arc<Terms>, error_stack::Report<NoteError>> {
        if let Some((_, terms)) = self.terms.iter().find(|(known, _)| *known == seq) {
            return Ok(terms.clone());
        }
        let terms = Arc::new(self.store.terms(seq).await?);
        self.terms.push((seq, terms.clone()));
        Ok(terms)
    }
}
