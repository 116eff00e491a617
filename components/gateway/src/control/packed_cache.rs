use std::collections::VecDeque;

use crate::ports::{Record, Table};
use crate::{Base, PackedValue, Position};

/// Most packed values.
const MAX_ENTRIES: usize = 8;
/// Most bytes of the packed values.
const MAX_BYTES: usize = 4 << 20;

/// A row's value and the base that it is packed against, by the positions of their writes.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PackedKey {
    table: Table,
    key: String,
    position: Position,
    base: Option<Position>,
}

/// The latest packed values of large rows. Many hosts ask for the same change within a second.
#[derive(Debug, Default)]
pub(super) struct PackedCache {
    /// Packed values, oldest first.
    entries: VecDeque<(PackedKey, PackedValue)>,
    /// Bytes of all packed values.
    bytes: usize,
}

impl PackedCache {
    /// Returns the packed value of a row, which is packed unless it is cached.
    pub(super) fn pack(
        &mut self,
        table: Table,
        row: &Record,
        value: &[u8],
        base: Option<&Base>,
    ) -> PackedValue {
        let key = PackedKey {
            table,
            key: row.key.clone(),
            position: row.position,
            base: base.map(|base| base.position),
        };
        if let Some((_, packed)) = self.entries.iter().find(|(cached, _)| *cached == key) {
            return packed.clone();
        }
        let packed = PackedValue::pack(value, base);
        self.bytes += packed.packed_len();
        self.entries.push_back((key, packed.clone()));
        while self.bytes > MAX_BYTES || self.entries.len() > MAX_ENTRIES {
            let evicted = self.entries.pop_front();
            self.bytes -= evicted.map_or(self.bytes, |(_, packed)| packed.packed_len());
        }
        packed
    }
}
