use std::collections::{BTreeMap, BTreeSet};

use metadata::HostRole;
use utils::{Digest, HostId, ModelId, RegionId, TargetId, rendezvous_score};

use crate::MembershipView;

/// Number of hosts that watch a target.
const WATCHERS: usize = 2;
/// Number of hosts that hold a shard of the directory.
const SHARD_HOLDERS: usize = 2;
/// Number of hosts that own a model's rollout.
const ROLLOUT_OWNERS: usize = 1;
/// Number of shards of the directory in a region.
pub const SHARDS: u16 = 256;

/// Index of a shard of the directory, below [`SHARDS`].
pub type ShardId = u16;

/// Returns the shard that holds a prompt root.
///
/// ```
/// assert!(membership::shard(&utils::digest(b"prompt")) < membership::SHARDS);
/// ```
pub fn shard(root: &Digest) -> ShardId {
    ShardId::from(root.as_bytes()[0])
}

/// Assigns keys to owners by rendezvous hashing. Adding or removing hosts or keys updates the assignment
/// incrementally.
///
/// ```
/// let mut owners = membership::Owners::new(2);
/// owners.set_hosts(["entry-1".into(), "entry-2".into(), "entry-3".into()]);
/// owners.set_keys(["engine-1".into()]);
/// assert_eq!(owners.owners("engine-1").count(), 2);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Owners {
    /// Number of owners of each key.
    owner_count: usize,
    /// Hosts that are eligible as owners.
    hosts: BTreeSet<HostId>,
    /// Owners of each key with their scores, highest score first.
    best: BTreeMap<TargetId, Vec<(u64, HostId)>>,
    /// Number of scores computed so far.
    scores_computed: u64,
}

impl Owners {
    /// Creates an assignment without hosts and keys, in which each key gets `owner_count` owners.
    pub fn new(owner_count: usize) -> Self {
        Self {
            owner_count,
            ..Self::default()
        }
    }

    /// Replaces the hosts. For a key that loses an owner, all hosts are scored again; for any other key, only
    /// the new hosts.
    pub fn set_hosts(&mut self, hosts: impl IntoIterator<Item = HostId>) {
        let hosts: BTreeSet<_> = hosts.into_iter().collect();
        let removed: BTreeSet<_> = self.hosts.difference(&hosts).cloned().collect();
        let new: Vec<_> = hosts.difference(&self.hosts).cloned().collect();
        self.hosts = hosts;
        for (key, best) in &mut self.best {
            if best.iter().any(|(_, host)| removed.contains(host)) {
                self.scores_computed += self.hosts.len() as u64;
                *best = rank(key, self.hosts.iter(), self.owner_count);
                continue;
            }
            self.scores_computed += new.len() as u64;
            let added = rank(key, new.iter(), self.owner_count);
            merge(best, added, self.owner_count);
        }
    }

    /// Replaces the keys. Keys that were present keep their owners.
    pub fn set_keys(&mut self, keys: impl IntoIterator<Item = TargetId>) {
        let mut old = std::mem::take(&mut self.best);
        for key in keys {
            let best = old.remove(&key).unwrap_or_else(|| {
                self.scores_computed += self.hosts.len() as u64;
                rank(&key, self.hosts.iter(), self.owner_count)
            });
            self.best.insert(key, best);
        }
    }

    /// Returns the owners of a key, highest score first.
    pub fn owners(&self, key: &str) -> impl Iterator<Item = &HostId> {
        self.best.get(key).into_iter().flatten().map(|(_, host)| host)
    }

    /// Returns the keys that a host owns.
    pub fn owned_by<'a>(&'a self, host: &'a str) -> impl Iterator<Item = &'a TargetId> {
        self.best
            .iter()
            .filter(move |(_, best)| best.iter().any(|(_, h)| &**h == host))
            .map(|(key, _)| key)
    }

    /// Returns the number of scores computed since creation, a measure of the cost of updates.
    pub fn scores_computed(&self) -> u64 {
        self.scores_computed
    }
}

fn rank<'a>(key: &str, hosts: impl Iterator<Item = &'a HostId>, owner_count: usize) -> Vec<(u64, HostId)> {
    let mut best = Vec::with_capacity(owner_count + 1);
    for host in hosts {
        let score = rendezvous_score(key.as_bytes(), host);
        insert(&mut best, (score, host.clone()), owner_count);
    }
    best
}

fn merge(best: &mut Vec<(u64, HostId)>, added: Vec<(u64, HostId)>, owner_count: usize) {
    for item in added {
        insert(best, item, owner_count);
    }
}

fn insert(best: &mut Vec<(u64, HostId)>, item: (u64, HostId), owner_count: usize) {
    let place = best.partition_point(|known| *known > item);
    best.insert(place, item);
    best.truncate(owner_count);
}

/// Assignment of target watchers, shard holders and rollout owners to hosts.
#[derive(Debug, Clone)]
pub struct Ownership {
    /// Name of this host.
    own: HostId,
    /// Watchers of targets, by region.
    watchers: BTreeMap<RegionId, Owners>,
    /// Holders of shards, by region.
    shards: BTreeMap<RegionId, Owners>,
    /// Owners of rollouts.
    rollouts: Owners,
}

impl Ownership {
    /// Creates an assignment in which nothing has an owner until the first update.
    ///
    /// ```
    /// let ownership = membership::Ownership::new("entry-1".into());
    /// assert!(ownership.watched().is_empty());
    /// ```
    pub fn new(own: HostId) -> Self {
        Self {
            own,
            watchers: BTreeMap::new(),
            shards: BTreeMap::new(),
            rollouts: Owners::new(ROLLOUT_OWNERS),
        }
    }

    /// Updates the assignment to the live hosts and targets of a view and the deployed models.
    pub fn update(&mut self, view: &MembershipView, models: impl IntoIterator<Item = ModelId>) {
        let mut all = Vec::new();
        for region in view.hosts.keys() {
            let hosts = view.host_names(region);
            all.extend(hosts.iter().cloned());
            self.update_region(view, region, hosts);
        }
        self.rollouts.set_hosts(all);
        self.rollouts.set_keys(models);
    }

    /// Returns the targets that this host watches.
    pub fn watched(&self) -> BTreeSet<TargetId> {
        self.watchers
            .values()
            .flat_map(|owners| owners.owned_by(&self.own))
            .cloned()
            .collect()
    }

    /// Returns the hosts that watch a target, highest score first.
    pub fn watchers(&self, target: &str) -> Vec<HostId> {
        self.watchers
            .values()
            .flat_map(|owners| owners.owners(target))
            .cloned()
            .collect()
    }

    /// Returns the hosts of a region that hold the shard of a prompt root.
    pub fn shard_holders(&self, region: &str, root: &Digest) -> Vec<HostId> {
        let key = shard(root).to_string();
        let owners = self.shards.get(region);
        owners.into_iter().flat_map(|o| o.owners(&key)).cloned().collect()
    }

    /// Returns whether this host owns the rollout of a model.
    pub fn owns_rollout(&self, model: &str) -> bool {
        self.rollouts.owners(model).any(|host| *host == self.own)
    }

    fn update_region(&mut self, view: &MembershipView, region: &RegionId, hosts: Vec<HostId>) {
        let targets = view.targets.iter().filter(|(_, t)| {
            t.listed.region == *region && matches!(t.listed.role, HostRole::Engine | HostRole::Service)
        });
        let watchers = self
            .watchers
            .entry(region.clone())
            .or_insert_with(|| Owners::new(WATCHERS));
        watchers.set_hosts(hosts.iter().cloned());
        watchers.set_keys(targets.map(|(id, _)| id.clone()));
        let shards = self.shards.entry(region.clone()).or_insert_with(new_shards);
        shards.set_hosts(hosts);
    }
}

fn new_shards() -> Owners {
    let mut owners = Owners::new(SHARD_HOLDERS);
    owners.set_keys((0..SHARDS).map(|n| n.to_string().into()));
    owners
}
