use std::time::SystemTime;

use error_stack::Report;
use metadata::{Committed, Expect, Transaction, Write};
use serde::{Deserialize, Serialize};
use utils::NoteVersion;

use crate::rows::{log_key, note_key, staged_key, terms_key};
use crate::store::{Head, NoteResult, content, may_have_applied, value};
use crate::{Declared, HEAD_KEY, HeadRow, HeadSeq, LogRow, Note, NoteError, NoteStore, StagedRow, Terms};

/// Number of notes between two snapshots.
const NOTES_PER_SNAPSHOT: u64 = 32;

/// A change that an operator proposes.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// The note; `None` if only the terms change.
    pub note: Option<Note>,
    /// New terms, if they change.
    pub terms: Option<Terms>,
}

/// Content of the row under a note's id: the version and change at which the note came into force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcceptedNote {
    /// Version that the note produced.
    pub version: NoteVersion,
    /// Number of the change.
    pub seq: HeadSeq,
}

impl NoteStore {
    /// Stages a change on top of a head that was read. After a lost answer, reads the head back.
    ///
    /// # Errors
    /// [`NoteError::OtherStaged`] if another change is staged or the head has moved, [`NoteError::Platform`].
    pub async fn stage(&self, head: &Head, proposal: &Proposal) -> NoteResult<Head> {
        if let Some(staged) = &head.row.staged {
            return Err(other_staged(staged));
        }
        let seq = head.row.last_seq + 1;
        let mut row = head.row.clone();
        row.last_seq = seq;
        row.staged = Some(StagedRow {
            seq,
            note: proposal.note.as_ref().map(|note| note.id.clone()),
            terms: if proposal.terms.is_some() { seq } else { row.terms },
            token: rand_token(),
        });
        let mut tx = Transaction::default().put(HEAD_KEY, Expect::Version(head.revision), value(&row));
        if let Some(note) = &proposal.note {
            tx = tx.put(staged_key(seq), Expect::Absent, value(note));
        }
        if let Some(terms) = &proposal.terms {
            tx = tx.put(terms_key(seq), Expect::Absent, value(terms));
        }
        self.write_head(tx, &row).await
    }

    /// Abandons the staged change, which then can not come into force any more.
    ///
    /// # Errors
    /// [`NoteError::Superseded`] if the head has moved, [`NoteError::Platform`].
    pub async fn abandon(&self, head: &Head) -> NoteResult<Head> {
        let Some(staged) = &head.row.staged else {
            return Ok(head.clone());
        };
        let mut row = head.row.clone();
        row.staged = None;
        let mut tx = Transaction::default().put(HEAD_KEY, Expect::Version(head.revision), value(&row));
        tx.writes.push(Write::Delete {
            key: staged_key(staged.seq),
        });
        if staged.terms == staged.seq {
            tx.writes.push(Write::Delete {
                key: terms_key(staged.seq),
            });
        }
        self.write_head(tx, &row).await
    }

    /// Accepts the staged change in one transaction on the head row. `base` is what the head declares.
    ///
    /// The caller must have waited until the change's [`AckTracker`](crate::AckTracker) is ready.
    ///
    /// # Errors
    /// [`NoteError::Superseded`] if the change is not staged any more, [`NoteError::Platform`].
    pub async fn accept(&self, head: &Head, base: &Declared, now: SystemTime) -> NoteResult<Head> {
        let Some(staged) = &head.row.staged else {
            return Ok(head.clone());
        };
        let note = match staged.note {
            Some(_) => Some(
                self.staged_note(staged.seq)
                    .await
                    .map_err(|e| superseded_if_deleted(staged, e))?,
            ),
            None => None,
        };
        let mut row = accepted_row(&head.row, staged);
        if base.version >= head.row.snapshot + NOTES_PER_SNAPSHOT {
            self.put_snapshot(base).await?;
            row.snapshot = base.version;
        }
        let mut tx = Transaction::default().put(HEAD_KEY, Expect::Version(head.revision), value(&row));
        if let Some(note) = note {
            tx = log_note(tx, &row, note, now);
        }
        tx.writes.push(Write::Delete {
            key: staged_key(staged.seq),
        });
        if staged.terms != head.row.terms {
            tx.writes.push(Write::Delete {
                key: terms_key(head.row.terms),
            });
        }
        self.write_head(tx, &row).await
    }

    /// Reads the version and change at which a note came into force; `None` if it has not.
    ///
    /// # Errors
    /// [`NoteError::Platform`].
    pub async fn accepted_note(&self, id: &str) -> NoteResult<Option<AcceptedNote>> {
        let row = self.row(&note_key(id)).await?;
        row.as_ref().map(content).transpose()
    }

    /// Writes the head row. If the answer is lost, reads the row back to find out whether the write took
    /// effect.
    async fn write_head(&self, tx: Transaction, row: &HeadRow) -> NoteResult<Head> {
        let lost = match self.transact(tx).await {
            Ok(Committed::Applied { version }) => {
                return Ok(Head {
                    revision: version,
                    row: row.clone(),
                });
            }
            Ok(Committed::Refused { .. }) => None,
            Err(e) if may_have_applied(&e) => Some(e),
            Err(e) => return Err(e),
        };
        let current = self.head().await?;
        if current.row == *row {
            return Ok(current);
        }
        match (lost, current.row.staged) {
            // The row is unchanged or has moved since, and only the caller can tell which of the two.
            (Some(e), _) => Err(e),
            (None, Some(staged)) => Err(other_staged(&staged)),
            (None, None) => Err(Report::new(NoteError::Superseded { seq: row.last_seq })),
        }
    }
}

fn accepted_row(head: &HeadRow, staged: &StagedRow) -> HeadRow {
    HeadRow {
        seq: staged.seq,
        version: head.staged_version(),
        terms: staged.terms,
        snapshot: head.snapshot,
        last_seq: head.last_seq,
        staged: None,
    }
}

fn log_note(tx: Transaction, row: &HeadRow, note: Note, now: SystemTime) -> Transaction {
    let accepted = AcceptedNote {
        version: row.version,
        seq: row.seq,
    };
    let since = now.duration_since(SystemTime::UNIX_EPOCH);
    let tx = tx.put(note_key(&note.id), Expect::Absent, value(&accepted));
    let log = LogRow {
        version: row.version,
        seq: row.seq,
        accepted_unix: since.map_or(0, |since| since.as_secs()),
        note,
    };
    tx.put(log_key(row.version), Expect::Absent, value(&log))
}

/// Maps a missing note to [`NoteError::Superseded`]: the note's row is deleted once the change is abandoned
/// or accepted.
fn superseded_if_deleted(staged: &StagedRow, e: Report<NoteError>) -> Report<NoteError> {
    match e.current_context() {
        NoteError::Malformed { .. } => e.change_context(NoteError::Superseded { seq: staged.seq }),
        _ => e,
    }
}

fn other_staged(staged: &StagedRow) -> Report<NoteError> {
    Report::new(NoteError::OtherStaged {
        id: staged.note.clone().unwrap_or_else(|| "(roster)".into()),
        seq: staged.seq,
    })
}

fn rand_token() -> u64 {
    rand::random()
}
