use std::collections::BTreeMap;
use std::time::Duration;

use membership::{Effect, Identity, Input, Membership, MembershipEvent, MembershipView, TargetLiveness};
use metadata::{HostRole, HostState, ListedHost};
use utils::{HostId, Monotonic};

/// Step of the virtual time.
pub(crate) const STEP: Duration = Duration::from_millis(50);

pub(crate) fn listed(id: &str, role: HostRole, region: &str) -> ListedHost {
    ListedHost {
        id: id.into(),
        role,
        region: region.into(),
        failure_domain: "a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        peer_address: Some(([127, 0, 0, 1], 2).into()),
        incarnation: 0,
        state: HostState::Live,
        serves: match role {
            HostRole::Entry | HostRole::Store => Vec::new(),
            _ => vec!["sacks".into()],
        },
        checks_epochs: false,
    }
}

/// Hosts in virtual time; heartbeats arrive one step after they were sent.
pub(crate) struct Cluster {
    pub(crate) now: Monotonic,
    pub(crate) list: Vec<ListedHost>,
    pub(crate) hosts: BTreeMap<HostId, Membership>,
    pub(crate) paused: Vec<HostId>,
    pub(crate) cut: Vec<(HostId, HostId)>,
    pub(crate) events: Vec<(HostId, MembershipEvent)>,
    waiting: Vec<(HostId, Input)>,
}

impl Cluster {
    pub(crate) fn new(north: usize, south: usize, targets: usize) -> Self {
        let mut list: Vec<_> = (0..north + south)
            .map(|i| {
                let region = if i < north { "north" } else { "south" };
                listed(&format!("entry-{i}"), HostRole::Entry, region)
            })
            .collect();
        list.extend((0..targets).map(|i| listed(&format!("engine-{i}"), HostRole::Engine, "north")));
        let mut cluster = Self {
            now: Duration::from_secs(1),
            list: list.clone(),
            hosts: BTreeMap::new(),
            paused: Vec::new(),
            cut: Vec::new(),
            events: Vec::new(),
            waiting: Vec::new(),
        };
        for (seed, host) in list.iter().filter(|h| h.role == HostRole::Entry).enumerate() {
            cluster.start(&host.id, &host.region, 1, seed as u64);
        }
        cluster
    }

    pub(crate) fn start(&mut self, id: &str, region: &str, incarnation: u64, seed: u64) {
        let own = Identity {
            id: id.into(),
            region: region.into(),
            incarnation,
        };
        self.hosts.insert(id.into(), Membership::new(own, seed, self.now));
        self.give(id, Input::List(self.list.clone()));
    }

    pub(crate) fn give(&mut self, id: &str, input: Input) {
        let host: HostId = id.into();
        let Some(membership) = self.hosts.get_mut(id) else {
            return;
        };
        for effect in membership.step(input, self.now) {
            match effect {
                Effect::Send { to, heartbeat } if !self.cut.contains(&(host.clone(), to.clone())) => {
                    let from = host.clone();
                    let bytes = heartbeat.encode().expect("heartbeat fits");
                    let heartbeat = membership::Heartbeat::decode(&bytes).expect("heartbeat reads");
                    self.waiting.push((to, Input::Received { from, heartbeat }));
                }
                Effect::Log(event) => self.events.push((host.clone(), event)),
                _ => {}
            }
        }
    }

    pub(crate) fn give_list(&mut self) {
        let ids: Vec<_> = self.hosts.keys().cloned().collect();
        for id in ids {
            self.give(&id, Input::List(self.list.clone()));
        }
    }

    /// Lets time pass. Heartbeats for paused hosts wait in their buffers.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let (held, due): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
                .into_iter()
                .partition(|(to, _)| self.paused.contains(to));
            self.waiting = held;
            for (to, input) in due {
                self.give(&to, input);
            }
            let ids: Vec<_> = self.hosts.keys().cloned().collect();
            for id in ids
                .iter()
                .filter(|id| !self.paused.contains(*id))
                .cloned()
                .collect::<Vec<_>>()
            {
                self.give(&id, Input::Tick);
            }
        }
    }

    pub(crate) fn view(&self, id: &str) -> MembershipView {
        self.hosts[id].view(self.now)
    }

    pub(crate) fn liveness(&self, id: &str, target: &str) -> Option<TargetLiveness> {
        self.view(id).targets.get(target).map(|t| t.liveness)
    }

    pub(crate) fn cut_between(&mut self, left: &[&str], right: &[&str]) {
        for l in left {
            for r in right {
                self.cut.push(((*l).into(), (*r).into()));
                self.cut.push(((*r).into(), (*l).into()));
            }
        }
    }
}
