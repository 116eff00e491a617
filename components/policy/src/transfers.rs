use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::Hash;

use utils::Digest;

/// Whether the caller has to start a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferStart {
    /// The caller starts the transfer and reports its end.
    Start,
    /// The same transfer is in flight; the caller waits for its end.
    Join,
}

/// Transfers in flight. Deduplicates identical transfers.
///
/// ```
/// use policy::{TransferStart, Transfers};
/// let mut transfers = Transfers::<&str>::default();
/// let piece = utils::digest(b"piece");
/// assert_eq!(transfers.begin(piece, "engine-1"), TransferStart::Start);
/// assert_eq!(transfers.begin(piece, "engine-1"), TransferStart::Join);
/// assert_eq!(transfers.end(piece, "engine-1"), 1);
/// ```
#[derive(Debug, Clone)]
pub struct Transfers<K>(HashMap<(Digest, K), usize>);

impl<K> Default for Transfers<K> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<K: Eq + Hash> Transfers<K> {
    /// Requests the transfer of a piece to a destination.
    pub fn begin(&mut self, piece: Digest, destination: K) -> TransferStart {
        match self.0.entry((piece, destination)) {
            Entry::Occupied(mut joined) => {
                *joined.get_mut() += 1;
                TransferStart::Join
            }
            Entry::Vacant(free) => {
                free.insert(0);
                TransferStart::Start
            }
        }
    }

    /// Records the end of a transfer. Returns the number of callers that had joined it.
    pub fn end(&mut self, piece: Digest, destination: K) -> usize {
        self.0.remove(&(piece, destination)).unwrap_or(0)
    }
}
