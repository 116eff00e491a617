use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use utils::Clock;

use crate::store::NoteResult;
use crate::{
    AcceptStatus, AckTracker, Declared, Finding, Head, Note, NoteError, NoteId, NoteStore, Proposal, Terms,
    check, conflicting_entries, rebase,
};

/// Time between two reads of the hosts' rows while a change waits.
const HOSTS_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two tries while another change is staged or the platform fails.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Takes notes through staging to acceptance, for an operator or for a host that changes the roster.
pub struct Operator {
    /// Where the notes are.
    pub store: NoteStore,
    /// Time.
    pub clock: Arc<dyn Clock>,
}

/// How an attempt to accept a change ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Acceptance {
    /// The change is in force.
    InForce(Head),
    /// The change is staged and not accepted: not enough hosts have confirmed.
    Waiting {
        /// The head with the staged change.
        head: Head,
        /// Which regions have not confirmed.
        status: AcceptStatus,
    },
}

impl Operator {
    /// Checks a note and stages it; goes on with a note of the same id that is staged already.
    ///
    /// # Errors
    /// [`NoteError::Conflict`] with the clashing entries if another note came first, [`NoteError::Invalid`],
    /// [`NoteError::AcceptedBefore`], [`NoteError::Platform`].
    pub async fn stage(&self, note: &Note, patience: Duration) -> NoteResult<(Head, Declared)> {
        let until = self.clock.now() + patience;
        loop {
            let outcome = self.try_stage(note).await;
            let Err(e) = &outcome else {
                return outcome;
            };
            let is_worth_waiting = match e.current_context() {
                // Only a change of the roster passes by itself.
                NoteError::OtherStaged { id, .. } => &**id == "(roster)",
                NoteError::Superseded { .. } | NoteError::Platform(_) => true,
                _ => false,
            };
            if !is_worth_waiting || self.clock.now() >= until {
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
            return Err(self.conflict(note, &other).unwrap_or_else(|| {
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

    /// Names the entries that clash with a note accepted since the base, then all other findings.
    async fn check_base(&self, note: &Note, base: &Declared) -> NoteResult<()> {
        if note.base < base.version {
            for row in self
                .store
                .log(note.base, (base.version.saturating_sub(note.base)) as usize)
                .await?
            {
                if let Some(conflict) = self.conflict(note, &row.note) {
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

    /// Brings into force what `wanted` declares, by one note of this id; also writes the first head row.
    ///
    /// # Errors
    /// As [`Operator::stage`] and [`Operator::accept`].
    pub async fn declare(
        &self,
        id: impl Into<NoteId>,
        terms: &Terms,
        wanted: &Declared,
        patience: Duration,
    ) -> NoteResult<Acceptance> {
        let head = self.store.bootstrap(terms).await?;
        let base = self.store.declared(&head.row, None).await?;
        let note = Note::between(id, &base, wanted);
        let (head, base) = self.stage(&note, patience).await?;
        if base.version == 0 {
            // Nothing is declared yet, so no host takes work under the head that the note replaces.
            return self.commit(head, &base, patience).await.map(Acceptance::InForce);
        }
        self.accept(head, &base, patience, |_| {}).await
    }

    /// The note against the present head, with what the head declares.
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

    fn conflict(&self, note: &Note, other: &Note) -> Option<Report<NoteError>> {
        let entries = conflicting_entries(note, other);
        let with = other.id.clone();
        (!entries.is_empty()).then(|| Report::new(NoteError::Conflict { with, entries }))
    }

    /// Waits until enough hosts have confirmed the staged change, then accepts it. `progress` sees every step.
    ///
    /// # Errors
    /// [`NoteError::Superseded`] if another operator gave the change up, [`NoteError::Malformed`].
    pub async fn accept(
        &self,
        head: Head,
        base: &Declared,
        patience: Duration,
        mut progress: impl FnMut(&AcceptStatus),
    ) -> NoteResult<Acceptance> {
        let Some(staged) = head.row.staged.clone() else {
            return Ok(Acceptance::InForce(head));
        };
        let terms = Arc::new(self.retry(patience, || self.store.terms(head.row.terms)).await?);
        let mut acceptor = AckTracker::new(staged.seq, terms, self.clock.now());
        let until = self.clock.now() + patience;
        loop {
            if let Ok(hosts) = self.store.hosts().await {
                acceptor.on_hosts(self.clock.now(), &hosts);
            }
            let status = acceptor.status();
            progress(&status);
            if acceptor.is_ready(self.clock.now()) {
                return self.commit(head, base, patience).await.map(Acceptance::InForce);
            }
            if self.clock.now() >= until {
                return Ok(Acceptance::Waiting { head, status });
            }
            smol::Timer::after(HOSTS_INTERVAL).await;
        }
    }

    /// Accepts, and after a lost answer reads back whether the change came into force.
    async fn commit(&self, head: Head, base: &Declared, patience: Duration) -> NoteResult<Head> {
        let until = self.clock.now() + patience;
        loop {
            let failed = match self.store.accept(&head, base, self.clock.wall()).await {
                Ok(accepted) => return Ok(accepted),
                Err(e) => e,
            };
            if let Some(outcome) = self.settle(&head).await {
                return outcome;
            }
            if self.clock.now() >= until {
                return Err(failed);
            }
            smol::Timer::after(RETRY_INTERVAL).await;
        }
    }

    /// What became of a staged change; `None` if it is still staged or can not be known now.
    async fn settle(&self, staged: &Head) -> Option<NoteResult<Head>> {
        let change = staged.row.staged.as_ref()?;
        let now = self.store.head().await.ok()?;
        if now.revision == staged.revision {
            return None;
        }
        let is_accepted = match &change.note {
            Some(id) => self
                .store
                .accepted_note(id)
                .await
                .ok()?
                .is_some_and(|n| n.seq == change.seq),
            None => now.row.seq == change.seq,
        };
        Some(match is_accepted {
            true => Ok(now),
            false => Err(Report::new(NoteError::Superseded { seq: change.seq })),
        })
    }

    async fn retry<T, F: Future<Output = NoteResult<T>>>(
        &self,
        patience: Duration,
        call: impl Fn() -> F,
    ) -> NoteResult<T> {
        let until = self.clock.now() + patience;
        loop {
            match call().await {
                Err(e) if is_passing(&e) && self.clock.now() < until => {
                    smol::Timer::after(RETRY_INTERVAL).await;
                }
                done => return done,
            }
        }
    }
}

fn is_passing(e: &Report<NoteError>) -> bool {
    matches!(e.current_context(), NoteError::Platform(_))
}
