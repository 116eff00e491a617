//! Rollout of weight versions to targets, a few at a time, coordinated through the lease's row.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use membership::{
    DesiredVersions, Identity, Installed, LeaseEffect, LeaseInput, LeaseRow, LeaseRules, LivenessReason,
    MembershipView, ORDERS_KEY, OrderLease, Rollout, TargetEntry, TargetLiveness, WriteOutcome,
};
use metadata::{HostRole, HostState, ListedHost, MemoryTable};
use targets::OrderKind;
use utils::{Monotonic, TargetId, WeightVersion};

const STEP: Duration = Duration::from_millis(250);
/// Number of steps that a load takes.
const LOAD_STEPS: u32 = 3;

fn entry(id: &str) -> TargetEntry {
    let listed = ListedHost {
        id: id.into(),
        role: HostRole::Engine,
        region: "north".into(),
        failure_domain: "a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        peer_address: None,
        incarnation: 0,
        state: HostState::Live,
        serves: vec!["draft".into()],
        checks_epochs: false,
    };
    TargetEntry {
        listed: Arc::new(listed),
        liveness: TargetLiveness::Live,
        reason: LivenessReason::Listed,
        summary: None,
    }
}

struct Simulation {
    now: Monotonic,
    table: MemoryTable,
    view: MembershipView,
    desired: DesiredVersions,
    versions: BTreeMap<TargetId, WeightVersion>,
    loading: BTreeMap<TargetId, (WeightVersion, u32)>,
    peak_loading: usize,
    epochs: BTreeSet<u64>,
}

struct Host {
    lease: OrderLease,
    rollout: Rollout,
}

fn host(name: &str) -> Host {
    let own = Identity {
        id: name.into(),
        region: "north".into(),
        incarnation: 1,
    };
    Host {
        lease: OrderLease::new(own, LeaseRules::default()),
        rollout: Rollout::default(),
    }
}

impl Simulation {
    fn new(targets: usize) -> Self {
        let names = (0..targets).map(|i| TargetId::from(format!("engine-{i:02}")));
        let versions: BTreeMap<_, _> = names.map(|id| (id, 1)).collect();
        let entries = versions.keys().map(|id| (id.clone(), entry(id))).collect();
        Self {
            now: Duration::from_secs(1),
            table: MemoryTable::default(),
            view: MembershipView {
                targets: entries,
                ..MembershipView::default()
            },
            desired: DesiredVersions::from([("draft".into(), 2)]),
            versions,
            loading: BTreeMap::new(),
            peak_loading: 0,
            epochs: BTreeSet::new(),
        }
    }

    fn step(&mut self, host: &mut Host) {
        self.now += STEP;
        self.advance_loads();
        for (id, version) in &self.versions {
            let installed = Installed {
                versions: vec![("draft".into(), *version)],
                incarnation: 1,
            };
            host.rollout.report(id, installed);
        }
        for target in host.rollout.ended(&self.view, host.lease.loads()) {
            host.lease.step(LeaseInput::End(target), self.now);
        }
        let free = host.lease.free_slots();
        for slot in host
            .rollout
            .next_loads(&self.view, &self.desired, host.lease.loads(), free)
        {
            host.lease.step(LeaseInput::Start(slot), self.now);
        }
        self.step_lease(host);
        let loads = host.lease.loads().to_vec();
        let due: Vec<_> = host.rollout.due(&loads, self.now).cloned().collect();
        for slot in due {
            let Some(epoch) = host.lease.epoch_for(&slot.target, false, self.now) else {
                continue;
            };
            let order = host.rollout.order(&slot, epoch, self.now);
            self.epochs.insert(order.epoch);
            let OrderKind::LoadVersion { version, .. } = order.kind else {
                panic!("only loads are ordered");
            };
            if self.versions[&slot.target] != version {
                self.loading.entry(slot.target).or_insert((version, LOAD_STEPS));
            }
        }
        self.peak_loading = self.peak_loading.max(self.loading.len());
    }

    fn advance_loads(&mut self) {
        for (id, (version, left)) in &mut self.loading {
            *left -= 1;
            if *left == 0 {
                self.versions.insert(id.clone(), *version);
            }
        }
        self.loading.retain(|_, (_, left)| *left > 0);
    }

    fn step_lease(&mut self, host: &mut Host) {
        let input = match host.lease.step(LeaseInput::Tick { wanted: true }, self.now) {
            None => return,
            Some(LeaseEffect::Read) => {
                let row = self.table.get(ORDERS_KEY);
                LeaseInput::Read(row.map(|row| {
                    let version = row.version;
                    let row: LeaseRow = serde_json::from_value(row.value).expect("row");
                    (row, version)
                }))
            }
            Some(LeaseEffect::Write { expect, row, .. }) => {
                let tx = LeaseEffect::transaction(expect, &row);
                LeaseInput::Written(WriteOutcome::from(self.table.apply(&tx)))
            }
        };
        host.lease.step(input, self.now);
    }

    fn is_done(&self) -> bool {
        self.versions
            .values()
            .all(|v| Some(v) == self.desired.get("draft"))
    }
}

#[test]
fn every_target_loads_the_version_two_at_a_time() {
    let mut sim = Simulation::new(12);
    let mut host = host("entry-1");
    let steps = (0..400).take_while(|_| {
        sim.step(&mut host);
        !sim.is_done()
    });
    assert!(steps.count() < 200);
    assert_eq!(sim.peak_loading, 2);
    assert_eq!(host.rollout.outdated_count(&sim.view, &sim.desired), 0);
}

#[test]
fn small_pool_keeps_most_targets_serving() {
    let mut sim = Simulation::new(3);
    let mut host = host("entry-1");
    (0..400).for_each(|_| sim.step(&mut host));
    assert!(sim.is_done());
    assert_eq!(sim.peak_loading, 1);
}

#[test]
fn new_holder_continues_the_loads_of_the_previous_one() {
    let mut sim = Simulation::new(12);
    let mut first = host("entry-1");
    (0..12).for_each(|_| sim.step(&mut first));
    assert!(!sim.is_done());
    drop(first);
    let mut second = host("entry-2");
    (0..600).for_each(|_| sim.step(&mut second));
    assert!(sim.is_done());
    assert_eq!(sim.peak_loading, 2);
    assert_eq!(sim.epochs, BTreeSet::from([1, 2]));
}
