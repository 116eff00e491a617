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

/// Simulated hosts in virtual time. A heartbeat arrives one step after it was sent.
pub(crate) struct Cluster {
    pub(crate) now: Monotonic,
    pub(crate) list: Vec<ListedHost>,
    pub(crate) hosts: BTreeMap<HostId, Membership>,
    pub(crate) paused: Vec<HostId>,
    pub(crate) blocked_links: Vec<(HostId, HostId)>,
    pub(crate) events: Vec<(HostId, MembershipEvent)>,
    in_flight: Vec<(HostId, Input)>,
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
            blocked_links: Vec::new(),
            events: Vec::new(),
            in_flight: Vec::new(),
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
        self.deliver(id, Input::List(self.list.clone()));
    }

    pub(crate) fn deliver(&mut self, id: &str, input: Input) {
        let host: HostId = id.into();
        let Some(membership) = self.hosts.get_mut(id) else {
            return;
        };
        for effect in membership.step(input, self.now) {
            match effect {
                Effect::Send { to, heartbeat }
                    if !self.blocked_links.contains(&(host.clone(), to.clone())) =>
                {
                    let from = host.clone();
                    let bytes = heartbeat.encode().expect("heartbeat fits");
                    let heartbeat = membership::Heartbeat::decode(&bytes).expect("heartbeat reads");
                    self.in_flight.push((to, Input::Received { from, heartbeat }));
                }
                Effect::Log(event) => self.events.push((host.clone(), event)),
                _ => {}
            }
        }
    }

    pub(crate) fn deliver_list(&mut self) {
        let ids: Vec<_> = self.hosts.keys().cloned().collect();
        for id in ids {
            self.deliver(&id, Input::List(self.list.clone()));
        }
    }

    /// Advances the virtual time. Heartbeats to paused hosts are buffered until the hosts resume.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let (buffered, due): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|(to, _)| self.paused.contains(to));
            self.in_flight = buffered;
            for (to, input) in due {
                self.deliver(&to, input);
            }
            let ids: Vec<_> = self.hosts.keys().cloned().collect();
            for id in ids
                .iter()
                .filter(|id| !self.paused.contains(*id))
                .cloned()
                .collect::<Vec<_>>()
            {
                self.deliver(&id, Input::Tick);
            }
        }
    }

    pub(crate) fn view(&self, id: &str) -> MembershipView {
        self.hosts[id].view(self.now)
    }

    pub(crate) fn liveness(&self, id: &str, target: &str) -> Option<TargetLiveness> {
        self.view(id).targets.get(target).map(|t| t.liveness)
    }

    pub(crate) fn block_links(&mut self, left: &[&str], right: &[&str]) {
        for l in left {
            for r in right {
                self.blocked_links.push(((*l).into(), (*r).into()));
                self.blocked_links.push(((*r).into(), (*l).into()));
            }
        }
    }
}
