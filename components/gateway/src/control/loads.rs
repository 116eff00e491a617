use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use http_io::{Client, ClientConfig};
use serde::{Deserialize, Serialize};
use utils::{HostId, RegionId, TargetId};

use super::Control;
use super::peers::send_query;
use crate::jitter::jittered;
use crate::load::ReportedLoad;
use crate::{Target, View, is_sole_owner};

/// Path on which hosts pass on what engines have reported.
pub(super) const PATH: &str = "/loads";
/// Entry hosts from which on answers tell a host too little of each engine: every host meets an engine only now and then.
const MIN_HOSTS_FOR_REPORTERS: usize = 16;
/// Hosts of a region that share its engines among them.
const REPORTERS_PER_REGION: usize = 3;
/// Pause between reports of an engine; it renews them every few hundred milliseconds.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Pause between questions to the hosts that ask engines.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Asks for the reports that a host has.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct LoadsQuery;

/// What engines have reported, with the age of each report.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct LoadsAnswer {
    /// By run of the engine.
    reports: Vec<(TargetId, ReportedLoad, Duration)>,
}

/// Answers another host.
pub(super) fn answer(control: &Control, _query: &LoadsQuery) -> LoadsAnswer {
    let now = control.traffic.now();
    let reports = control.reports();
    let fresh = reports
        .iter()
        .filter(|(_, (_, at))| now < *at + 4 * REPORT_INTERVAL);
    LoadsAnswer {
        reports: fresh
            .map(|(run, (load, at))| (run.clone(), *load, now.saturating_sub(*at)))
            .collect(),
    }
}

/// Asks the engines that fall to this host for their load.
pub(crate) async fn poll_engines(control: Arc<Control>) {
    loop {
        smol::Timer::after(jittered(REPORT_INTERVAL, 0.1)).await;
        let view = control.traffic.view.load_full();
        let assigned = assigned_engines(&control, &view);
        control
            .reports()
            .retain(|run, _| assigned.iter().any(|target| target.run == *run));
        let calls = assigned.into_iter().map(|target| {
            let control = control.clone();
            control
                .clone()
                .ex
                .spawn(async move { poll_engine(&control, &target).await })
        });
        for call in calls.collect::<Vec<_>>() {
            call.await;
        }
    }
}

async fn poll_engine(control: &Control, target: &Target) {
    let Ok(report) = control.engines.report(target.address).await else {
        return;
    };
    if report.born_ms != target.born_ms {
        return;
    }
    let now = control.traffic.now();
    control.reports().insert(target.run.clone(), (report.load, now));
    control.traffic.record_report(&target.run, report.load, now);
}

/// Learns from the hosts that ask engines what these reported.
pub(crate) async fn poll_reporters(control: Arc<Control>) {
    let cfg = ClientConfig {
        idle_per_address: 1,
        ..ClientConfig::default()
    };
    let client = Arc::new(Client::new(control.ex.clone(), cfg));
    loop {
        smol::Timer::after(jittered(POLL_INTERVAL, 0.1)).await;
        let view = control.traffic.view.load_full();
        let own = &control.traffic.settings.name;
        let names = reporters_by_region(&control, &view).into_values().flatten();
        let peers = names
            .filter(|name| name != own)
            .filter_map(|name| view.hosts.get(&name));
        let calls = peers.map(|host| {
            let (control, client, peer) = (control.clone(), client.clone(), host.peers);
            control.clone().ex.spawn(async move {
                let sent_at = control.traffic.now();
                let answer = send_query::<_, LoadsAnswer>(&client, peer, PATH, &LoadsQuery).await;
                for (run, load, age) in answer.into_iter().flat_map(|answer| answer.reports) {
                    control
                        .traffic
                        .record_report(&run, load, sent_at.saturating_sub(age));
                }
            })
        });
        for call in calls.collect::<Vec<_>>() {
            call.await;
        }
    }
}

/// Hosts that ask the engines of each region; none in a small deployment.
fn reporters_by_region(control: &Control, view: &View) -> BTreeMap<RegionId, Vec<HostId>> {
    if view.hosts.len() < MIN_HOSTS_FOR_REPORTERS {
        return BTreeMap::new();
    }
    let regions = &control.traffic.settings.regions;
    let all: BTreeSet<_> = regions.values().collect();
    let reporters = all.into_iter().map(|region| {
        let names = view.hosts_for(regions, region, "loads", REPORTERS_PER_REGION);
        (region.clone(), names)
    });
    reporters.collect()
}

/// Engines of which this host is the one that asks.
fn assigned_engines(control: &Control, view: &View) -> Vec<Arc<Target>> {
    let own = &control.traffic.settings.name;
    let mut reporters = reporters_by_region(control, view);
    reporters.retain(|_, names| names.contains(own));
    let regions = &control.traffic.settings.regions;
    let is_assigned = |target: &&Arc<Target>| {
        let names = regions
            .get(&target.domain)
            .and_then(|region| reporters.get(region));
        names.is_some_and(|names| is_sole_owner(names, target.run.as_bytes(), own))
    };
    let engines = view.targets.values().flatten();
    let engines = engines.filter(|target| !target.models.is_empty());
    engines.filter(is_assigned).cloned().collect()
}
