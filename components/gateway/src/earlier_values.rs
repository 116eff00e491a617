use std::collections::VecDeque;

use crate::packed::Base;
use crate::ports::Record;
use crate::{MAX_VALUE_BYTES, Position};

/// Length from which on earlier values of a row are kept, in bytes.
const LARGE_VALUE_BYTES: usize = 16 << 10;
/// Most earlier values of a row.
const MAX_VALUES_PER_ROW: usize = 8;
/// Most bytes of the earlier values of a table.
const MAX_BYTES: usize = 4 << 20;

/// Whether a row with this value is sent as the difference from an earlier value.
pub(crate) fn is_large(value: &[u8]) -> bool {
    (LARGE_VALUE_BYTES..=MAX_VALUE_BYTES).contains(&value.len())
}

/// The latest earlier values of the large rows of a table.
#[derive(Debug, Default)]
pub(crate) struct EarlierValues {
    /// Values with the keys of their rows, oldest first.
    values: VecDeque<(String, Base)>,
    /// Bytes of all values.
    bytes: usize,
}

impl EarlierValues {
    /// Adds the value of a row that was replaced, if it is large.
    pub(crate) fn add(&mut self, replaced: Record) {
        let Some(value) = replaced.value.filter(|value| is_large(value)) else {
            return;
        };
        if self.of_row(&replaced.key).count() >= MAX_VALUES_PER_ROW {
            let oldest = self.values.iter().position(|(key, _)| *key == replaced.key);
            self.remove(oldest.unwrap_or_default());
        }
        self.bytes += value.len();
        let base = Base {
            position: replaced.position,
            value: value.into(),
        };
        self.values.push_back((replaced.key, base));
        while self.bytes > MAX_BYTES {
            self.remove(0);
        }
    }

    /// Returns the earlier values of a row, newest first.
    pub(crate) fn of_row(&self, key: &str) -> impl Iterator<Item = &Base> {
        let values = self.values.iter().rev();
        values.filter(move |(k, _)| k == key).map(|(_, base)| base)
    }

    /// Returns the earlier value of a row from the write at `position`.
    pub(crate) fn find(&self, key: &str, position: Position) -> Option<&Base> {
        self.of_row(key).find(|base| base.position == position)
    }

    fn remove(&mut self, index: usize) {
        if let Some((_, base)) = self.values.remove(index) {
            self.bytes -= base.value.len();
        }
    }
}
