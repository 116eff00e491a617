use std::collections::{BTreeMap, BTreeSet};

use metadata::HostRole;
use utils::{Digest, HostId, ModelId, RegionId, TargetId, rendezvous_score};

use crate::MembershipView;

/// Hosts that watch a target.
const WATCHERS: usize = 2;
/// Hosts that hold a shard of the directory.
const SHARD_HOLDERS: usize = 2;
/// Hosts that drive a model's rollout.
const ROLLOUT_OWNERS: usize = 1;
/// Shards of the directory in a region.
pub const SHARDS: u16 = 256;

/// Number of a shard of the directory.
pub type ShardId = u16;

/// The shard that holds a prompt root.
///
/// ```
/// assert!(membership::shard(&utils::digest(b"prompt")) < membership::SHARDS);
/// ```
pub fn shard(root: &Digest) -> ShardId {
    ShardId::from(root.as_bytes()[0])
}

/// The owners of keys by rendezvous hashing, kept up to date when hosts or keys come and go.
///
/// ```
/// let mut owners = membership::Owners::new(2);
/// owners.set_hosts(["entry-1".into(), "entry-2".into(), "entry-3".into()]);
/// owners.set_keys(["engine-1".into()]);
/// assert_eq!(owners.owners("engine-1").count(), 2);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Owners {
    /// Owners of each key.
    copies: usize,
    /// Hosts that can own.
    hosts: BTreeSet<HostId>,
    /// Best hosts by key, best first, with their scores.
    best: BTreeMap<TargetId, Vec<(u64, HostId)>>,
    /// Scores computed so far.
    scored: u64,
}

impl Owners {
    /// No hosts and no keys; each key gets `copies` owners.
    pub fn new(copies: usize) -> Self {
        Self {
            copies,
            ..Self::default()
        }
    }

    /// Replaces the hosts; only keys whose owners change are computed again.
    pub fn set_hosts(&mut self, hosts: impl IntoIterator<Item = HostId>) {
        let hosts: BTreeSet<_> = hosts.into_iter().collect();
        let gone: BTreeSet<_> = self.hosts.difference(&hosts).cloned().collect();
        let new: Vec<_> = hosts.difference(&self.hosts).cloned().collect();
        self.hosts = hosts;
        for (key, best) in &mut self.best {
            if best.iter().any(|(_, host)| gone.contains(host)) {
                self.scored += self.hosts.len() as u64;
                *best = rank(key, self.hosts.iter(), self.copies);
                continue;
            }
            self.scored += new.len() as u64;
            let added = rank(key, new.iter(), self.copies);
            merge(best, added, self.copies);
        }
    }

    /// Replaces the keys.
    pub fn set_keys(&mut self, keys: impl IntoIterator<Item = TargetId>) {
        let mut old = std::mem::take(&mut self.best);
        for key in keys {
            let best = old.remove(&key).unwrap_or_else(|| {
                self.scored += self.hosts.len() as u64;
                rank(&key, self.hosts.iter(), self.copies)
            });
            self.best.insert(key, best);
        }
    }

    /// Owners of a key, first owner first.
    pub fn owners(&self, key: &str) -> impl Iterator<Item = &HostId> {
        self.best.get(key).into_iter().flatten().map(|(_, host)| host)
    }

    /// Keys that a host owns.
    pub fn owned_by<'a>(&'a self, host: &'a str) -> impl Iterator<Item = &'a TargetId> {
        self.best
            .iter()
            .filter(move |(_, best)| best.iter().any(|(_, h)| &**h == host))
            .map(|(key, _)| key)
    }

    /// Scores computed since the start; what an update costs.
    pub fn scored(&self) -> u64 {
        self.scored
    }
}

fn rank<'a>(key: &str, hosts: impl Iterator<Item = &'a HostId>, copies: usize) -> Vec<(u64, HostId)> {
    let mut best = Vec::with_capacity(copies + 1);
    for host in hosts {
        let score = rendezvous_score(key.as_bytes(), host);
        insert(&mut best, (score, host.clone()), copies);
    }
    best
}

fn merge(best: &mut Vec<(u64, HostId)>, added: Vec<(u64, HostId)>, copies: usize) {
    for item in added {
        insert(best, item, copies);
    }
}

fn insert(best: &mut Vec<(u64, HostId)>, item: (u64, HostId), copies: usize) {
    let place = best.partition_point(|known| *known > item);
    best.insert(place, item);
    best.truncate(copies);
}

/// Who watches which targets, holds which shards and drives which rollouts.
#[derive(Debug, Clone)]
pub struct Ownership {
    /// This host.
    own: HostId,
    /// Watchers of the targets of each region.
    watchers: BTreeMap<RegionId, Owners>,
    /// Holders of the shards of each region.
    shards: BTreeMap<RegionId, Owners>,
    /// Drivers of rollouts.
    rollouts: Owners,
}

impl Ownership {
    /// Nothing is owned before the first update.
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

    /// Takes the live hosts and the targets of a view, and the models that are deployed.
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

    /// Targets that this host watches.
    pub fn watched(&self) -> BTreeSet<TargetId> {
        self.watchers
            .values()
            .flat_map(|owners| owners.owned_by(&self.own))
            .cloned()
            .collect()
    }

    /// Hosts that watch a target, first watcher first.
    pub fn watchers(&self, target: &str) -> Vec<HostId> {
        self.watchers
            .values()
            .flat_map(|owners| owners.owners(target))
            .cloned()
            .collect()
    }

    /// Hosts of a region that hold the shard of a prompt root.
    pub fn shard_holders(&self, region: &str, root: &Digest) -> Vec<HostId> {
        let key = shard(root).to_string();
        let owners = self.shards.get(region);
        owners.into_iter().flat_map(|o| o.owners(&key)).cloned().collect()
    }

    /// Whether this host drives the rollout of a model.
    pub fn drives_rollout(&self, model: &str) -> bool {
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
