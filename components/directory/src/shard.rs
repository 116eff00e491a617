use std::collections::BTreeSet;

use targets::PieceId;
use utils::{HostId, rendezvous_order};

use crate::piece::SHARD_BYTES;

/// Shards that the pieces are divided into.
const SHARDS: u16 = 1_024;

/// Entry hosts that keep each shard.
const OWNERS: usize = 2;

/// The shard of a piece; all pieces of a prompt are in the shard of its first piece.
pub fn shard_of(piece: &PieceId) -> u16 {
    let mut first = [0; SHARD_BYTES];
    first.copy_from_slice(&piece.as_bytes()[..SHARD_BYTES]);
    shard_of_prefix(u16::from_le_bytes(first))
}

/// The hosts that keep a shard, at most two, by rendezvous hash.
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

/// Which shards this host keeps, given the live hosts.
#[derive(Debug, Clone)]
pub struct Sharding {
    /// Name of this host.
    me: HostId,
    /// Whether this host keeps each shard.
    kept: Vec<bool>,
}

impl Sharding {
    /// Nothing is kept until the hosts are known.
    pub fn new(me: HostId) -> Self {
        Self {
            me,
            kept: vec![false; usize::from(SHARDS)],
        }
    }

    /// Takes the live hosts and returns the shards that are new to this host. What targets and stores hold of them
    /// has to be read again, as events of the past were not kept.
    pub fn set_hosts(&mut self, hosts: &BTreeSet<HostId>) -> Vec<u16> {
        let mut gained = Vec::new();
        for shard in 0..SHARDS {
            let keeps = owners(shard, hosts.iter().map(|h| &**h)).any(|h| h == &*self.me);
            let kept = &mut self.kept[usize::from(shard)];
            if keeps && !*kept {
                gained.push(shard);
            }
            *kept = keeps;
        }
        gained
    }

    /// Whether this host keeps a piece.
    pub fn keeps(&self, piece: &PieceId) -> bool {
        self.kept[usize::from(shard_of(piece))]
    }

    /// Whether this host keeps the pieces whose names start with `prefix`.
    pub(crate) fn keeps_shard(&self, prefix: u16) -> bool {
        self.kept[usize::from(shard_of_prefix(prefix))]
    }
}

fn shard_of_prefix(prefix: u16) -> u16 {
    prefix % SHARDS
}
