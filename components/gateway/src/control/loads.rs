use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::{HostId, Monotonic, RegionId, TargetId};

use super::Control;
use super::host_client::HostClient;
use crate::jitter::jittered;
use crate::load::ReportedLoad;
use crate::{Target, View, is_sole_owner};

/// Path on which hosts forward load reports of engines.
pub(super) const PATH: &str = "/loads";
/// Number of entry hosts from which on engines are polled for their load. With so many hosts, each receives
/// answers from an engine too rarely to estimate its load.
const MIN_HOSTS_FOR_REPORTERS: usize = 16;
/// Number of hosts that share the polling of a region's engines.
const REPORTERS_PER_REGION: usize = 3;
/// Interval between polls of an engine, which renews its report every few hundred milliseconds.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// The same for an engine that has named a limit.
const LIMITED_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between queries to the hosts that poll engines.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Requests the load reports that a host has.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct LoadsQuery;

/// Load reports of engines with the age of each report.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct LoadsAnswer {
    /// Run of the engine, its load and the age of the report.
    reports: Vec<(TargetId, ReportedLoad, Duration)>,
}

/// Answers a query from another host.
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

/// Polls the engines assigned to this host for their load.
pub(crate) async fn poll_engines(control: Arc<Control>) {
    loop {
        smol::Timer::after(jittered(REPORT_INTERVAL, 0.1)).await;
        let view = control.traffic.view.load_full();
        let mut assigned = assigned_engines(&control, &view);
        control
            .reports()
            .retain(|run, _| assigned.iter().any(|target| target.run == *run));
        assigned.retain(|target| !is_spared(&control, target));
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

/// Returns whether an engine that has named a limit was polled a short time ago.
fn is_spared(control: &Control, target: &Target) -> bool {
    let now = control.traffic.now();
    let is_recent = |at: Monotonic| now < at + LIMITED_REPORT_INTERVAL;
    control.traffic.is_limited(&target.run)
        && control
            .reports()
            .get(&target.run)
            .is_some_and(|(_, at)| is_recent(*at))
}

async fn poll_engine(control: &Control, target: &Target) {
    let Ok(report) = control.engines.report(target.address).await else {
        return;
    };
    if report.born_ms != target.born_ms {
        // Another run than the one listed: the target has restarted.
        control.traffic.record_cold_failure(target, control.traffic.now());
        return;
    }
    let now = control.traffic.now();
    control.reports().insert(target.run.clone(), (report.load, now));
    control.traffic.record_report(&target.run, report.load, now);
}

/// Queries the hosts that poll engines for the load reports.
pub(crate) async fn poll_reporters(control: Arc<Control>) {
    let client = HostClient::new(&control);
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
                let answer = client.query::<LoadsAnswer>(peer, PATH, &LoadsQuery).await;
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

/// Returns the hosts that poll the engines of each region; empty in a small deployment.
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

/// Returns the engines that this host polls.
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
