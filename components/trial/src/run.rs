use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use checker::{Grace, RunRecord, check};
use error_stack::{Report, ResultExt};
use futures_lite::FutureExt;
use http_io::Executor;
use loadgen::{Caller, CallerConfig, Finished, Latencies, PlayObserver, Preset, Trace};
use slog::Logger;

use crate::balancer::Balancer;
use crate::declared::{accepted_now, add_long_drafts, add_refusals, api_keys, declared};
use crate::deployment::{Deployment, Layout};
use crate::script::{Played, Script, drained_at};
use crate::work::{Regions, summarize};
use crate::{TrialError, TrialReport};

/// Settings of a trial.
#[derive(Debug, Clone)]
pub struct TrialConfig {
    /// Shape of the traffic.
    pub preset: Preset,
    /// Seed of the trace.
    pub seed: u64,
    /// Requests in the trace, without those that are added to check a promise.
    pub requests: u64,
}

impl Default for TrialConfig {
    fn default() -> Self {
        Self {
            preset: Preset::cadwaladr(),
            seed: 1,
            requests: 300,
        }
    }
}

/// Plays a trace at a small deployment in this process, kills an engine and an entry host on the way, and judges
/// the run. `watch` is told about each request that ends.
///
/// # Errors
/// [`TrialError`] if something could not be started; broken promises are in the report.
pub fn run(
    cfg: &TrialConfig,
    log: &Logger,
    watch: Arc<dyn PlayObserver>,
) -> Result<TrialReport, Report<TrialError>> {
    let mut trace = cfg.preset.trace(cfg.seed, cfg.requests);
    add_refusals(&mut trace);
    let drained_at = drained_at(&trace);
    add_long_drafts(&mut trace, &cfg.preset, drained_at);
    let layout = Layout::trial();
    let mut deployment = Deployment::start(&layout, &cfg.preset, log)?;
    let first = declared(&cfg.preset, &trace, 1);
    deployment.declare(&first)?;
    let mut played = Played::default();
    played.notes.push(accepted_now(&first));
    let finished = play(&mut deployment, &layout, cfg, &trace, &mut played, watch)?;
    let record = collect(&deployment, &finished, played);
    let regions = Regions {
        names: &deployment.regions,
        stores: &deployment.store_regions,
    };
    let work = summarize(&record, &regions);
    let latencies = latencies(&finished);
    let verdict = check(&record, Grace::default());
    deployment.stop()?;
    Ok(TrialReport::new(
        cfg.seed,
        &record,
        latencies.summary(),
        work,
        &verdict,
    ))
}

/// Plays the trace and the script at the same time.
fn play(
    deployment: &mut Deployment,
    layout: &Layout,
    cfg: &TrialConfig,
    trace: &Trace,
    played: &mut Played,
    watch: Arc<dyn PlayObserver>,
) -> Result<Vec<Finished>, Report<TrialError>> {
    let hosts = deployment.entries();
    let entries = hosts.iter().map(|(entry, _)| entry.clone()).collect();
    let keys = api_keys(trace);
    let (tell_start, started) = std::sync::mpsc::channel();
    std::thread::scope(|scope| {
        let callers = std::thread::Builder::new()
            .name("callers".to_owned())
            .spawn_scoped(scope, move || {
                let ex: Executor = Arc::new(smol::Executor::new());
                let balancer = Balancer::new(&ex, hosts);
                let caller = Caller::new(&ex, CallerConfig::new(entries, keys));
                let work = async {
                    balancer.wait().await?;
                    let _ = tell_start.send(Instant::now());
                    let watching = async {
                        balancer.watch().await;
                        Vec::new()
                    };
                    Ok(loadgen::play(&ex, &caller, trace, watch).or(watching).await)
                };
                smol::block_on(ex.run(work))
            })
            .change_context(TrialError::Thread)?;
        if let Ok(start) = started.recv() {
            Script::new(layout, &cfg.preset, trace).play(deployment, start, played)?;
        }
        callers.join().map_err(|_| TrialError::Thread)?
    })
}

fn collect(deployment: &Deployment, finished: &[Finished], played: Played) -> RunRecord {
    let engines = deployment.engine_states.iter();
    let services = deployment.services.iter();
    RunRecord {
        requests: finished.iter().map(|one| one.request.clone()).collect(),
        engines: engines
            .map(|(id, engine)| (id.clone(), engine.record()))
            .collect(),
        services: services
            .map(|(id, service)| (id.clone(), service.state().record()))
            .collect::<BTreeMap<_, _>>(),
        leaves: played.leaves,
        drains: played.drains,
        notes: played.notes,
    }
}

fn latencies(finished: &[Finished]) -> Latencies {
    let mut latencies = Latencies::default();
    for one in finished.iter().filter(|one| one.request.received.whole) {
        latencies.add(&one.timing);
    }
    latencies
}
