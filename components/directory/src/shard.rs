use std::collections::BTreeSet;

use targets::PieceId;
use utils::{HostId, rendezvous_order};

use crate::piece::SHARD_BYTES;

/// Number of shards over which the pieces are divided.
const SHARDS: u16 = 1_024;

/// Number of entry hosts that own each shard.
const OWNERS: usize = 2;

/// Returns the shard of a piece. All pieces of a prompt are in the shard of its first piece.
pub fn shard_of(piece: &PieceId) -> u16 {
    let mut first = [0; SHARD_BYTES];
    first.copy_from_slice(&piece.as_bytes()[..SHARD_BYTES]);
    shard_of_prefix(u16::from_le_bytes(first))
}

/// Returns the hosts that own a shard, at most two, by rendezvous hashing.
///
/// ```
/// let hosts = ["entry-1", "entry-2", "entry-3"];
/// assert_eq!(directory::owners(7, hosts).count(), 2);
/// ```
pub fn owners<'a>(shard: u16, hosts: impl IntoIterator<Item = &'a str>) -> impl Iterator<Item = &'a str> {
    rendezvous_order(&shard.to_le_bytes(), hosts)
        .into_iter()
        .take(OWNERS)
}

/// The shards that this host owns, given the live hosts.
#[derive(Debug, Clone)]
pub struct Sharding {
    /// Name of this host.
    host: HostId,
    /// Whether this host owns each shard.
    owned: Vec<bool>,
}

impl Sharding {
    /// Creates a sharding without owned shards; they follow from [`Sharding::set_hosts`].
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            owned: vec![false; usize::from(SHARDS)],
        }
    }

    /// Sets the live hosts and returns the shards that this host gains. The content of targets and stores has
    /// to be read again for them, as past events were not recorded.
    pub fn set_hosts(&mut self, hosts: &BTreeSet<HostId>) -> Vec<u16> {
        let mut gained = Vec::new();
        for shard in 0..SHARDS {
            let is_owner = owners(shard, hosts.iter().map(|h| &**h)).any(|h| h == &*self.host);
            let owned = &mut self.owned[usize::from(shard)];
            if is_owner && !*owned {
                gained.push(shard);
            }
            *owned = is_owner;
        }
        gained
    }

    /// Whether this host owns the shard of a piece.
    pub fn owns(&self, piece: &PieceId) -> bool {
        self.owned[usize::from(shard_of(piece))]
    }

    /// Whether this host owns the shard of the pieces whose names start with `prefix`.
    pub(crate) fn owns_prefix(&self, prefix: u16) -> bool {
        self.owned[usize::from(shard_of_prefix(prefix))]
    }
}

fn shard_of_prefix(prefix: u16) -> u16 {
    prefix % SHARDS
}
