use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use utils::Clock;

use crate::store::NoteResult;
use crate::{
    AcceptStatus, AckTracker, Declared, Finding, Head, Note, NoteError, NoteId, NoteStore, Proposal, Terms,
    check, conflicting_entries, rebase,
};

/// Time between two reads of the hosts' rows while a change awaits acknowledgements.
const HOSTS_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two attempts while another change is staged or the platform fails.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Stages and accepts changes, for an operator or for a host that changes the roster.
pub struct Operator {
    /// Store that holds the notes.
    pub store: NoteStore,
    /// Clock for timeouts and the log.
    pub clock: Arc<dyn Clock>,
}

/// Outcome of an attempt to accept a change.
#[derive(Debug, Clone, PartialEq)]
pub enum Acceptance {
    /// The change is in force.
    InForce(Head),
    /// The change stays staged because too few hosts have confirmed it.
    Waiting {
        /// The head with the staged change.
        head: Head,
        /// Progress by region.
        status: AcceptStatus,
    },
}

impl Operator {
    /// Checks a note and stages it. If the same note is already staged, continues with that.
    ///
    /// # Errors
    /// [`NoteError::Conflict`] with the conflicting entries if another note came first,
    /// [`NoteError::Invalid`], [`NoteError::AcceptedBefore`], [`NoteError::Platform`].
    pub async fn stage(&self, note: &Note, timeout: Duration) -> NoteResult<(Head, Declared)> {
        let deadline = self.clock.now() + timeout;
        loop {
            let outcome = self.try_stage(note).await;
            let Err(e) = &outcome else {
                return outcome;
            };
            let is_retryable = match e.current_context() {
                // A staged change of the roster is accepted without an operator, so a retry can succeed.
                NoteError::OtherStaged { id, .. } => &**id == "(roster)",
                NoteError::Superseded { .. } | NoteError::Platform(_) => true,
                _ => false,
            };
            if !is_retryable || self.clock.now() >= deadline {
                return outcome;
            }
            smol::Timer::after(RETRY_INTERVAL).await;
        }
    }

    async fn try_stage(&self, note: &Note) -> NoteResult<(Head, Declared)> {
        if let Some(accepted) = self.store.accepted_note(&note.id).await? {
            return Err(Report::new(NoteError::AcceptedBefore {
                id: note.id.clone(),
                version: accepted.version,
            }));
        }
        let head = self.store.head().await?;
        let base = self.store.declared(&head.row, None).await?;
        if let Some(staged) = &head.row.staged
            && staged.note.is_some()
        {
            let other = self.store.staged_note(staged.seq).await?;
            if other == *note {
                return Ok((head, base));
            }
            return Err(self.conflict_error(note, &other).unwrap_or_else(|| {
                Report::new(NoteError::OtherStaged {
                    id: other.id.clone(),
                    seq: staged.seq,
                })
            }));
        }
        self.check_base(note, &base).await?;
        let proposal = Proposal {
            note: Some(note.clone()),
            terms: None,
        };
        let head = self.store.stage(&head, &proposal).await?;
        Ok((head, base))
    }

    /// Fails with the conflicts with notes accepted since the base, else with the other violations.
    async fn check_base(&self, note: &Note, base: &Declared) -> NoteResult<()> {
        if note.base < base.version {
            for row in self
                .store
                .log(note.base, (base.version.saturating_sub(note.base)) as usize)
                .await?
            {
                if let Some(conflict) = self.conflict_error(note, &row.note) {
                    return Err(conflict);
                }
            }
            return Err(Report::new(NoteError::WrongBase {
                found: note.base,
                head: base.version,
            }));
        }
        let findings: Vec<Finding> = check(base, note);
        if findings.is_empty() {
            return Ok(());
        }
        Err(Report::new(NoteError::Invalid {
            file: note.id.to_string(),
            findings,
        }))
    }

    /// Brings what `wanted` declares into force with one note of this id. Writes the first head row if there
    /// is none.
    ///
    /// # Errors
    /// As [`Operator::stage`] and [`Operator::accept`].
    pub async fn declare(
        &self,
        id: impl Into<NoteId>,
        terms: &Terms,
        wanted: &Declared,
        timeout: Duration,
    ) -> NoteResult<Acceptance> {
        let head = self.store.bootstrap(terms).await?;
        let base = self.store.declared(&head.row, None).await?;
        let note = Note::between(id, &base, wanted);
        let (head, base) = self.stage(&note, timeout).await?;
        if base.version == 0 {
            // Nothing is declared yet, so no host takes new work under the head that the note replaces.
            return self.commit(head, &base, timeout).await.map(Acceptance::InForce);
        }
        self.accept(head, &base, timeout, |_| {}).await
    }

    /// Returns the note rebased on the current head, and what the head declares.
    ///
    /// # Errors
    /// [`NoteError::Conflict`] names the first note accepted since that conflicts, and the entries.
    pub async fn rebase(&self, note: &Note) -> NoteResult<(Note, Declared)> {
        let head = self.store.head().await?;
        let base = self.store.declared(&head.row, None).await?;
        let since = self
            .store
            .log(note.base, (base.version.saturating_sub(note.base)) as usize)
            .await?;
        let rebased = rebase(note, since.iter().map(|row| &row.note), base.version)?;
        Ok((rebased, base))
    }

    fn conflict_error(&self, note: &Note, other: &Note) -> Option<Report<NoteError>> {
        let entries = conflicting_entries(note, other);
        let with = other.id.clone();
        (!entries.is_empty()).then(|| Report::new(NoteError::Conflict { with, entries }))
    }

    /// Waits until enough hosts have confirmed the staged change, then accepts it. Calls `progress` after
    /// each read of the hosts' rows.
    ///
    /// # Errors
    /// [`NoteError::Superseded`] if another operator abandoned the change, [`NoteError::Malformed`].
    pub async fn accept(
        &self,
        head: Head,
        base: &Declared,
        timeout: Duration,
        mut progress: impl FnMut(&AcceptStatus),
    ) -> NoteResult<Acceptance> {
        let Some(staged) = head.row.staged.clone() else {
            return Ok(Acceptance::InForce(head));
        };
        let terms = Arc::new(self.retry(timeout, || self.store.terms(head.row.terms)).await?);
        let mut tracker = AckTracker::new(staged.seq, terms, self.clock.now());
        let deadline = self.clock.now() + timeout;
        loop {
            if let Ok(hosts) = self.store.hosts().await {
                tracker.on_hosts(self.clock.now(), &hosts);
            }
            let status = tracker.status();
            progress(&status);
            if tracker.is_ready(self.clock.now()) {
                return self.commit(head, base, timeout).await.map(Acceptance::InForce);
            }
            if self.clock.now() >= deadline {
                return Ok(Acceptance::Waiting { head, status });
            }
            smol::Timer::after(HOSTS_INTERVAL).await;
        }
    }

    /// Accepts the change. After a failure, reads back whether the change came into force, and retries if
    /// not.
    async fn commit(&self, head: Head, base: &Declared, timeout: Duration) -> NoteResult<Head> {
        let deadline = self.clock.now() + timeout;
        loop {
            let failed = match self.store.accept(&head, base, self.clock.wall()).await {
                Ok(accepted) => return Ok(accepted),
                Err(e) => e,
            };
            if let Some(outcome) = self.resolve(&head).await {
                return outcome;
            }
            if self.clock.now() >= deadline {
                return Err(failed);
            }
            smol::Timer::after(RETRY_INTERVAL).await;
        }
    }

    /// Returns the outcome of a staged change; `None` if it is still staged or the outcome can not be read
    /// now.
    async fn resolve(&self, staged: &Head) -> Option<NoteResult<Head>> {
        let staged_change = staged.row.staged.as_ref()?;
        let now = self.store.head().await.ok()?;
        if now.revision == staged.revision {
            return None;
        }
        let is_accepted = match &staged_change.note {
            Some(id) => self
                .store
                .accepted_note(id)
                .await
                .ok()?
                .is_some_and(|n| n.seq == staged_change.seq),
            None => now.row.seq == staged_change.seq,
        };
        Some(match is_accepted {
            true => Ok(now),
            false => Err(Report::new(NoteError::Superseded {
                seq: staged_change.seq,
            })),
        })
    }

    async fn retry<T, F: Future<Output = NoteResult<T>>>(
        &self,
        timeout: Duration,
        call: impl Fn() -> F,
    ) -> NoteResult<T> {
        let deadline = self.clock.now() + timeout;
        loop {
            match call().await {
                Err(e) if is_transient(&e) && self.clock.now() < deadline => {
                    smol::Timer::after(RETRY_INTERVAL).await;
                }
                done => return done,
            }
        }
    }
}

fn is_transient(e: &Report<NoteError>) -> bool {
    matches!(e.current_context(), NoteError::Platform(_))
}
