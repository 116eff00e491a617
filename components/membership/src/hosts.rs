use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use metadata::{HostState, ListedHost};
use utils::{HostId, Monotonic, RegionId};

use crate::membership::is_entry;
use crate::peer::Peer;
use crate::pool::{distrusted, is_distrusted};
use crate::{HostEntry, HostStatus, HostTag, LivenessReason, Membership, ReachableHost, neighbours};

impl Membership {
    /// Applies the entry hosts of a new list; returns how many are kept although the list dropped them.
    pub(crate) fn update_hosts(&mut self, list: &[ListedHost], now: Monotonic) -> usize {
        let listed: BTreeMap<_, _> = list
            .iter()
            .filter(|h| is_entry(h))
            .map(|h| (h.id.clone(), h))
            .collect();
        if let Some(own) = listed.get(&self.own.id) {
            self.own_listed = Some(Arc::new((*own).clone()));
        }
        let kept = self.drop_unlisted_hosts(&listed);
        for (id, host) in &listed {
            if *id != self.own.id {
                self.update_listed_host(id, host, now);
            }
        }
        self.update_neighbours();
        kept
    }

    /// Returns the live and leaving hosts by region. In a region where the silence is distrusted, all hosts
    /// are kept.
    pub(crate) fn host_entries(&self, now: Monotonic) -> BTreeMap<RegionId, Vec<HostEntry>> {
        let mut hosts: BTreeMap<RegionId, Vec<HostEntry>> = BTreeMap::new();
        if let Some(own) = &self.own_listed {
            hosts
                .entry(own.region.clone())
                .or_default()
                .push(self.own_entry(own));
        }
        let distrusted = self.distrusted_regions(now);
        for peer in self.peers.values() {
            let silence_distrusted = distrusted.contains(&peer.listed.region);
            if let Some(entry) = peer.entry(silence_distrusted, now) {
                hosts.entry(peer.listed.region.clone()).or_default().push(entry);
            }
        }
        hosts
    }

    pub(crate) fn reachable_hosts(&self) -> Vec<ReachableHost> {
        self.peers
            .values()
            .filter_map(|peer| {
                Some(ReachableHost {
                    host: peer.id().clone(),
                    region: peer.listed.region.clone(),
                    incarnation: peer.incarnation,
                    at: peer.last_contact?,
                })
            })
            .collect()
    }

    fn own_entry(&self, own: &Arc<ListedHost>) -> HostEntry {
        HostEntry {
            listed: own.clone(),
            incarnation: self.own.incarnation,
            leaving: self.leaving || own.state == HostState::Leaving,
            reason: LivenessReason::Listed,
        }
    }

    fn drop_unlisted_hosts(&mut self, listed: &BTreeMap<Arc<str>, &ListedHost>) -> usize {
        let lost: BTreeSet<_> = self
            .peers
            .keys()
            .filter(|id| !listed.contains_key(*id))
            .cloned()
            .collect();
        let known = self
            .peers
            .values()
            .map(|p| &*p.listed)
            .chain(self.own_listed.as_deref());
        let kept = distrusted(known, &lost);
        self.peers.retain(|id, peer| {
            peer.unlisted = !listed.contains_key(id);
            !peer.unlisted || (kept.contains(id) && peer.status != HostStatus::Dead)
        });
        self.peers.values().filter(|p| p.unlisted).count()
    }

    fn update_listed_host(&mut self, id: &HostId, host: &ListedHost, now: Monotonic) {
        match self.peers.get_mut(id) {
            Some(peer) if *peer.listed == *host => {}
            Some(peer) if peer.listed.peer_address == host.peer_address => {
                peer.listed = Arc::new(host.clone());
            }
            _ => {
                let peer = Peer::new(Arc::new(host.clone()), now);
                self.peers.insert(id.clone(), peer);
            }
        }
    }

    fn update_neighbours(&mut self) {
        let mut hosts: Vec<_> = self
            .peers
            .values()
            .map(|p| (p.id().clone(), p.listed.region.clone()))
            .collect();
        hosts.push((self.own.id.clone(), self.own.region.clone()));
        if hosts.len() == self.tags.len() + 1 && hosts.iter().all(|(id, _)| self.is_known(id)) {
            return;
        }
        self.tags = self.peers.values().map(|p| (p.tag(), p.id().clone())).collect();
        self.neighbours = neighbours(&self.own.id, &self.own.region, &hosts);
        self.round.clear();
    }

    fn is_known(&self, id: &HostId) -> bool {
        *id == self.own.id || self.tags.contains_key(&HostTag::of(id))
    }

    /// Returns the regions in which too large a share of the hosts is unusable at once. This is more likely a
    /// fault of this host's network than of the hosts.
    fn distrusted_regions(&self, now: Monotonic) -> BTreeSet<RegionId> {
        let mut counts: BTreeMap<RegionId, (usize, usize)> = BTreeMap::new();
        for peer in self.peers.values() {
            let (known, lost) = counts.entry(peer.listed.region.clone()).or_default();
            *known += 1;
            *lost += usize::from(!peer.is_usable(now));
        }
        counts
            .into_iter()
            .filter(|(_, (known, lost))| is_distrusted(*lost, *known) && *lost > 1)
            .map(|(region, _)| region)
            .collect()
    }
}

impl Peer {
    fn entry(&self, silence_distrusted: bool, now: Monotonic) -> Option<HostEntry> {
        let reason = match (self.is_usable(now), self.unlisted) {
            (true, false) => LivenessReason::Listed,
            (true, true) => LivenessReason::ListDistrusted,
            (false, _) if silence_distrusted => LivenessReason::SilenceDistrusted,
            (false, _) => return None,
        };
        Some(HostEntry {
            listed: self.listed.clone(),
            incarnation: self.incarnation,
            leaving: self.status == HostStatus::Leaving || self.listed.state == HostState::Leaving,
            reason,
        })
    }
}
