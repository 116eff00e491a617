//! Messages with which hosts exchange changes of the replicated tables. Large values are packed in them and unpacked
//! on arrival.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use error_stack::{Report, ensure};
use errors::events;
use serde::{Deserialize, Serialize};
use slog::warn;

use super::Control;
use super::packed_cache::PackedCache;
use super::peers::MAX_MESSAGE_BYTES;
use crate::earlier_values::is_large;
use crate::ports::{Record, Snapshot, Table};
use crate::{Base, CachedState, PackedValue, Position, TableUpdate, UnpackError};

/// Tables that hosts forward to each other.
const REPLICATED_TABLES: [Table; 3] = [Table::Declared, Table::Targets, Table::Shared];
/// Most bases that a query names.
const MAX_BASES: usize = 64;

/// Requests the changes after the positions that a host has.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub(super) struct ChangesQuery {
    /// Complete position of each table; the lowest for none.
    known: Vec<(Table, Position)>,
}

/// Requests the changes after the positions that a host has, as differences from large rows that it holds.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub(super) struct PackedQuery {
    /// The positions.
    query: ChangesQuery,
    /// Writes of large rows whose values the host holds, of each row the newest first.
    bases: Vec<RowWrite>,
}

/// A write of a row.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct RowWrite {
    table: Table,
    key: String,
    position: Position,
}

/// Changes after the queried positions, with the age of the shared table.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct Answer<U> {
    /// The changes.
    pub changes: ReplicatedChanges<U>,
    /// Time since the store confirmed the shared table to the answering host itself; `None` if it has not, or if the
    /// querying host has seen a later era.
    pub shared_age: Option<Duration>,
}

/// Changes after the queried positions.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct ReplicatedChanges<U> {
    /// Update of each table. Tables whose changes the answering host can't determine are left out.
    pub updates: Vec<(Table, U)>,
    /// Time on the store's clock, if the answering host knows it.
    pub store_time: Option<Duration>,
    /// Time since the store confirmed the declarations and the targets to the answering host itself; `None`
    /// if it has not or did not answer the last call, or if the querying host has seen a later era.
    pub store_age: Option<Duration>,
}

/// An answer with the values themselves.
pub(super) type ChangesAnswer = Answer<TableUpdate>;
/// An answer with packed values.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct PackedAnswer {
    /// The answer.
    answer: Answer<PackedUpdate>,
    /// Whether the answering host is receiving a large change of the declarations from the store.
    pub is_receiving: bool,
}

/// An update of a table with packed values.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct PackedUpdate {
    /// Whether this is the whole table.
    is_whole: bool,
    /// Rows.
    rows: Vec<PackedRow>,
    /// Newest position of the answering host.
    position: Position,
}

/// A row with its packed value.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct PackedRow {
    key: String,
    /// Content; `None` for a removed row.
    value: Option<PackedValue>,
    position: Position,
}

/// Bases of changed rows by table and key.
type Bases = HashMap<(Table, String), Base>;

impl ChangesQuery {
    /// Returns the query for the changes that this host lacks.
    pub(super) fn new(control: &Control) -> Self {
        Self::of(&control.cached_state())
    }

    fn of(state: &CachedState) -> Self {
        let known = REPLICATED_TABLES.map(|table| {
            let position = state.complete_position(table);
            (table, position.unwrap_or_default())
        });
        Self { known: known.into() }
    }

    fn position(&self, table: Table) -> Position {
        let found = self.known.iter().find(|(t, _)| *t == table);
        found.map_or(Position::default(), |(_, position)| *position)
    }
}

impl PackedQuery {
    /// Returns the query for the changes that this host lacks. It names no bases if the last answer could not be unpacked.
    pub(super) fn new(control: &Control) -> Self {
        let state = control.cached_state();
        let bases = REPLICATED_TABLES.into_iter().flat_map(|table| {
            let positions = state.base_positions(table);
            positions.map(move |(key, position)| RowWrite {
                table,
                key: key.to_owned(),
                position,
            })
        });
        let max_bases = match control.has_unpack_failed.load(Ordering::Acquire) {
            true => 0,
            false => MAX_BASES,
        };
        Self {
            query: ChangesQuery::of(&state),
            bases: bases.take(max_bases).collect(),
        }
    }

    /// Returns the newest base of each changed large row that this host holds as well.
    fn held_bases(&self, state: &CachedState, updates: &[(Table, TableUpdate)]) -> Bases {
        let rows = updates
            .iter()
            .flat_map(|(table, update)| update.snapshot().records.iter().map(move |row| (*table, row)));
        let large = rows.filter(|(_, row)| row.value.as_deref().is_some_and(is_large));
        let bases = large.filter_map(|(table, row)| {
            let mut named = self
                .bases
                .iter()
                .filter(|base| base.table == table && base.key == row.key);
            let base = named.find_map(|base| state.base(table, &base.key, base.position))?;
            Some(((table, row.key.clone()), base))
        });
        bases.collect()
    }
}

/// Answers a host of the version before.
pub(super) fn answer(control: &Control, query: &ChangesQuery) -> ChangesAnswer {
    answer_from(control, &control.cached_state(), query)
}

/// Answers with packed values.
pub(super) fn answer_packed(control: &Control, query: &PackedQuery) -> PackedAnswer {
    let (answer, bases) = {
        let state = control.cached_state();
        let answer = answer_from(control, &state, &query.query);
        let bases = query.held_bases(&state, &answer.changes.updates);
        (answer, bases)
    };
    let mut cache = control.packed.lock().unwrap_or_else(PoisonError::into_inner);
    let Ok(answer) = answer.map_updates(|table, update| {
        Ok::<_, std::convert::Infallible>(PackedUpdate::pack(table, update, &bases, &mut cache))
    });
    PackedAnswer {
        answer,
        is_receiving: control.store.is_receiving(Table::Declared),
    }
}

fn answer_from(control: &Control, state: &CachedState, query: &ChangesQuery) -> ChangesAnswer {
    let now = control.traffic.now();
    let store_age = control.confirmed_age(now);
    let shared_age = control.shared_age(now);
    let is_behind = query
        .known
        .iter()
        .any(|(_, position)| position.era() > state.era());
    let updates = REPLICATED_TABLES
        .into_iter()
        .filter_map(|table| Some((table, state.changes_since(table, query.position(table))?)));
    let changes = ReplicatedChanges {
        updates: updates.collect(),
        store_time: state.store_time(now),
        store_age: store_age.filter(|_| !state.is_store_down() && !is_behind),
    };
    Answer {
        changes,
        shared_age: shared_age.filter(|_| !is_behind),
    }
}

/// Unpacks the answer of another host. Returns `None` if that fails, and the next query then names no bases.
pub(super) fn unpack(control: &Control, peer: SocketAddr, answer: PackedAnswer) -> Option<ChangesAnswer> {
    let unpacked = unpack_values(answer.answer, |table, key, position| {
        control.cached_state().base(table, key, position)
    });
    control
        .has_unpack_failed
        .store(unpacked.is_err(), Ordering::Release);
    if let Err(e) = &unpacked {
        warn!(control.traffic.log, "changes from another host can not be unpacked"; events::CHANGES_NOT_UNPACKED,
            "peer" => %peer, "error" => %e);
    }
    unpacked.ok()
}

fn unpack_values(
    answer: Answer<PackedUpdate>,
    find_base: impl Fn(Table, &str, Position) -> Option<Base>,
) -> Result<ChangesAnswer, Report<UnpackError>> {
    let rows = answer.changes.updates.iter().flat_map(|(_, update)| &update.rows);
    let lengths = rows.filter_map(|row| Some(row.value.as_ref()?.unpacked_len()));
    let total = lengths.fold(0, usize::saturating_add);
    ensure!(total <= MAX_MESSAGE_BYTES, UnpackError::TooLong);
    answer.map_updates(|table, update| update.unpack(|key, position| find_base(table, key, position)))
}

impl<U> Answer<U> {
    fn map_updates<V, E>(self, mut map: impl FnMut(Table, U) -> Result<V, E>) -> Result<Answer<V>, E> {
        let updates = self.changes.updates.into_iter();
        let updates = updates.map(|(table, update)| Ok((table, map(table, update)?)));
        Ok(Answer {
            changes: ReplicatedChanges {
                updates: updates.collect::<Result<_, E>>()?,
                store_time: self.changes.store_time,
                store_age: self.changes.store_age,
            },
            shared_age: self.shared_age,
        })
    }
}

impl PackedUpdate {
    fn pack(table: Table, update: TableUpdate, bases: &Bases, cache: &mut PackedCache) -> Self {
        let is_whole = update.is_whole();
        let snapshot = update.into_snapshot();
        let rows = snapshot.records.into_iter().map(|row| {
            let base = bases.get(&(table, row.key.clone()));
            PackedRow::pack(table, row, base, cache)
        });
        Self {
            is_whole,
            rows: rows.collect(),
            position: snapshot.position,
        }
    }

    fn unpack(
        self,
        find_base: impl Fn(&str, Position) -> Option<Base>,
    ) -> Result<TableUpdate, Report<UnpackError>> {
        let records = self.rows.into_iter().map(|row| row.unpack(&find_base));
        let snapshot = Snapshot {
            records: records.collect::<Result<_, _>>()?,
            position: self.position,
            store_time: None,
            transfer_time: Duration::ZERO,
        };
        Ok(match self.is_whole {
            true => TableUpdate::All(snapshot),
            false => TableUpdate::Newer(snapshot),
        })
    }
}

impl PackedRow {
    fn pack(table: Table, row: Record, base: Option<&Base>, cache: &mut PackedCache) -> Self {
        let value = row.value.as_deref().map(|value| match is_large(value) {
            true => cache.pack(table, &row, value, base),
            false => PackedValue::pack(value, None),
        });
        Self {
            key: row.key,
            value,
            position: row.position,
        }
    }

    fn unpack(
        self,
        find_base: impl Fn(&str, Position) -> Option<Base>,
    ) -> Result<Record, Report<UnpackError>> {
        let unpack = |value: PackedValue| {
            let base = value.base().and_then(|position| find_base(&self.key, position));
            value.unpack(base.as_ref())
        };
        Ok(Record {
            value: self.value.map(unpack).transpose()?,
            key: self.key,
            position: self.position,
        })
    }
}
