use std::sync::Arc;

use error_stack::{Report, ResultExt};
use metadata::{
    Committed, Expect, ObjectStore, PlatformError, Row, RowVersion, ScanRequest, TableService, Transaction,
    Write,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use utils::{HostId, NoteVersion};

use crate::rows::{host_key, log_key, snapshot_key, staged_key, terms_key};
use crate::{Declared, HEAD_KEY, HOST_PREFIX, HeadRow, HeadSeq, HostRow, LOG_PREFIX, LogRow};
use crate::{Note, NoteError, Terms, apply};

/// Maximum number of rows in one answer to a scan.
const SCAN_ROWS: usize = 1_000;

/// Result with this crate's error.
pub(crate) type NoteResult<T> = Result<T, Report<NoteError>>;

/// The head row as it was read, with its version for conditional writes.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// Version of the row.
    pub revision: RowVersion,
    /// Content of the row.
    pub row: HeadRow,
}

/// Access to the release notes in the platform's table service and object store.
#[derive(Clone)]
pub struct NoteStore {
    /// Table service that holds the rows.
    pub(crate) table: Arc<dyn TableService>,
    /// Object store that holds the snapshots.
    pub(crate) objects: Arc<dyn ObjectStore>,
}

impl NoteStore {
    /// Creates a store over a table service and an object store.
    pub fn new(table: Arc<dyn TableService>, objects: Arc<dyn ObjectStore>) -> Self {
        Self { table, objects }
    }

    /// Reads the head row.
    ///
    /// # Errors
    /// [`NoteError::NoHead`] before [`NoteStore::bootstrap`], [`NoteError::Platform`].
    pub async fn head(&self) -> NoteResult<Head> {
        let row = self.row(HEAD_KEY).await?.ok_or(Report::new(NoteError::NoHead))?;
        Ok(Head {
            revision: row.version,
            row: content(&row)?,
        })
    }

    /// Writes a first head row without notes unless there is a head row. Returns the current head.
    ///
    /// # Errors
    /// [`NoteError::Platform`].
    pub async fn bootstrap(&self, terms: &Terms) -> NoteResult<Head> {
        let first = HeadRow {
            seq: 1,
            terms: 1,
            last_seq: 1,
            ..HeadRow::default()
        };
        let tx = Transaction::default()
            .put(HEAD_KEY, Expect::Absent, value(&first))
            .put(terms_key(1), Expect::Absent, value(terms));
        let written = self.transact(tx).await;
        match self.head().await {
            Ok(head) => Ok(head),
            Err(e) => Err(written.err().unwrap_or(e)),
        }
    }

    /// Reads the terms that a change introduced.
    ///
    /// # Errors
    /// [`NoteError::Malformed`] if the row is missing, [`NoteError::Platform`].
    pub async fn terms(&self, seq: HeadSeq) -> NoteResult<Terms> {
        self.content_of(&terms_key(seq)).await
    }

    /// Reads the note of a staged change.
    ///
    /// # Errors
    /// As [`NoteStore::terms`].
    pub async fn staged_note(&self, seq: HeadSeq) -> NoteResult<Note> {
        self.content_of(&staged_key(seq)).await
    }

    /// Reads accepted notes in order, at most `limit` of those after a version.
    ///
    /// # Errors
    /// [`NoteError::Platform`].
    pub async fn log(&self, after: NoteVersion, limit: usize) -> NoteResult<Vec<LogRow>> {
        let rows = self.scan(LOG_PREFIX, log_key(after), limit).await?;
        rows.iter().map(content).collect()
    }

    /// Reads the rows of all hosts.
    ///
    /// # Errors
    /// [`NoteError::Platform`].
    pub async fn hosts(&self) -> NoteResult<Vec<HostRow>> {
        let mut hosts: Vec<HostRow> = Vec::new();
        loop {
            let after = hosts.last().map(|host| host_key(&host.host)).unwrap_or_default();
            let rows = self.scan(HOST_PREFIX, after, SCAN_ROWS).await?;
            let is_last = rows.len() < SCAN_ROWS;
            for row in &rows {
                hosts.push(content(row)?);
            }
            if is_last {
                return Ok(hosts);
            }
        }
    }

    /// Returns everything declared at a head, starting from `known` or from the newest snapshot.
    ///
    /// # Errors
    /// [`NoteError::Malformed`] if a note is missing, [`NoteError::Platform`].
    pub async fn declared(&self, head: &HeadRow, known: Option<&Declared>) -> NoteResult<Declared> {
        let known = known.filter(|known| known.version >= head.snapshot);
        let mut declared = match known {
            Some(known) => known.clone(),
            None => self.snapshot(head.snapshot).await?,
        };
        while declared.version < head.version {
            let wanted = (head.version - declared.version).min(SCAN_ROWS as u64);
            let rows = self.log(declared.version, wanted as usize).await?;
            if rows.is_empty() {
                return Err(malformed(log_key(declared.version + 1)));
            }
            for row in rows {
                declared = apply(&declared, &row.note)?;
            }
        }
        Ok(declared)
    }

    async fn snapshot(&self, version: NoteVersion) -> NoteResult<Declared> {
        if version == 0 {
            return Ok(Declared::default());
        }
        let key = snapshot_key(version);
        let object = self.objects.get(key.clone()).await.map_err(platform_failed)?;
        let object = object.ok_or_else(|| malformed(key.clone()))?;
        serde_json::from_slice(&object).change_context(NoteError::Malformed { key })
    }

    pub(crate) async fn put_snapshot(&self, declared: &Declared) -> NoteResult<()> {
        let key = snapshot_key(declared.version);
        let object =
            serde_json::to_vec(declared).change_context(NoteError::Malformed { key: key.clone() })?;
        self.objects
            .put(key, object.into())
            .await
            .map_err(platform_failed)
    }

    /// Registers a run of a host in place of its earlier run. After a lost answer, reads the row back.
    ///
    /// # Errors
    /// [`NoteError::Platform`].
    pub async fn register(&self, host: HostRow) -> NoteResult<(RowVersion, HostRow)> {
        let key = host_key(&host.host);
        loop {
            let before = self.row(&key).await?;
            let earlier: Option<HostRow> = before.as_ref().map(content).transpose()?;
            if let (Some(row), Some(earlier)) = (&before, &earlier)
                && earlier.incarnation == host.incarnation
            {
                return Ok((row.version, earlier.clone()));
            }
            let host = host.clone().register(earlier.as_ref());
            let expect = before.map_or(Expect::Absent, |row| Expect::Version(row.version));
            let tx = Transaction::default().put(&key, expect, value(&host));
            match self.transact(tx).await {
                Ok(Committed::Applied { version }) => return Ok((version, host)),
                Ok(Committed::Refused { .. }) => {}
                Err(e) if may_have_applied(&e) => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Updates a registered host's row. Fails once another run has registered.
    ///
    /// # Errors
    /// [`NoteError::OtherRun`] for a newer run, [`NoteError::Platform`].
    pub async fn update_host(&self, revision: RowVersion, host: &HostRow) -> NoteResult<RowVersion> {
        let key = host_key(&host.host);
        let tx = Transaction::default().put(&key, Expect::Version(revision), value(host));
        match self.transact(tx).await {
            Ok(Committed::Applied { version }) => Ok(version),
            Ok(Committed::Refused { .. }) => self.read_back(&key, host).await,
            Err(e) if may_have_applied(&e) => self.read_back(&key, host).await.map_err(|_| e),
            Err(e) => Err(e),
        }
    }

    async fn read_back(&self, key: &str, host: &HostRow) -> NoteResult<RowVersion> {
        let other = || {
            Report::new(NoteError::OtherRun {
                host: host.host.clone(),
            })
        };
        let row = self.row(key).await?.ok_or_else(other)?;
        let current: HostRow = content(&row)?;
        match current == *host {
            true => Ok(row.version),
            false => Err(other()),
        }
    }

    /// Removes the rows of hosts, for example of those that the platform no longer lists.
    ///
    /// # Errors
    /// [`NoteError::Platform`].
    pub async fn delete_hosts(&self, hosts: &[HostId]) -> NoteResult<()> {
        let writes = hosts.iter().map(|host| Write::Delete { key: host_key(host) });
        let tx = Transaction {
            conditions: Vec::new(),
            writes: writes.collect(),
        };
        self.transact(tx).await.map(|_| ())
    }

    pub(crate) async fn row(&self, key: &str) -> NoteResult<Option<Row>> {
        let rows = self.table.read(vec![key.to_owned()]).await;
        Ok(rows.map_err(platform_failed)?.into_iter().next().flatten())
    }

    async fn content_of<T: DeserializeOwned>(&self, key: &str) -> NoteResult<T> {
        let row = self.row(key).await?.ok_or_else(|| malformed(key.to_owned()))?;
        content(&row)
    }

    async fn scan(&self, prefix: &str, after: String, limit: usize) -> NoteResult<Vec<Row>> {
        let req = ScanRequest {
            prefix: prefix.to_owned(),
            after,
            limit,
        };
        self.table.scan(req).await.map_err(platform_failed)
    }

    pub(crate) async fn transact(&self, tx: Transaction) -> NoteResult<Committed> {
        self.table.transact(tx).await.map_err(platform_failed)
    }
}

/// Returns whether a failed call may have taken effect.
pub(crate) fn may_have_applied(e: &Report<NoteError>) -> bool {
    matches!(e.current_context(), NoteError::Platform(e) if !e.is_without_effect())
}

/// Decodes the content of a row.
pub(crate) fn content<T: DeserializeOwned>(row: &Row) -> NoteResult<T> {
    let key = row.key.clone();
    serde_json::from_value(row.value.clone()).change_context(NoteError::Malformed { key })
}

/// Encodes the content of a row; the types of this crate always have a JSON form.
pub(crate) fn value(content: &impl Serialize) -> Value {
    serde_json::to_value(content).unwrap_or_default()
}

fn malformed(key: String) -> Report<NoteError> {
    Report::new(NoteError::Malformed { key })
}

fn platform_failed(e: Report<PlatformError>) -> Report<NoteError> {
    let kind = NoteError::Platform(*e.current_context());
    e.change_context(kind)
}
