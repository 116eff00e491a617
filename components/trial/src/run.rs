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
use crate::script::{Script, ScriptRecord, drain_time};
use crate::work::{Regions, summarize};
use crate::{TrialError, TrialReport};

/// Settings of a trial.
#[derive(Debug, Clone)]
pub struct TrialConfig {
    /// Parameters of the traffic.
    pub preset: Preset,
    /// Seed of the trace.
    pub seed: u64,
    /// Number of requests in the trace, without those that are added to check a promise.
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

/// Runs a trial: plays a trace against a small deployment in this process and checks the promises.
///
/// During the trace an engine and an entry host are killed, an engine leaves, a release note comes into force
/// and an entry host is drained. `observer` is called for each request that ends.
///
/// # Errors
/// Returns a [`TrialError`] if a part could not be started or stopped. Broken promises are in the report.
pub fn run(
    cfg: &TrialConfig,
    log: &Logger,
    observer: Arc<dyn PlayObserver>,
) -> Result<TrialReport, Report<TrialError>> {
    let mut trace = cfg.preset.trace(cfg.seed, cfg.requests);
    add_refusals(&mut trace);
    let drain_time = drain_time(&trace);
    add_long_drafts(&mut trace, &cfg.preset, drain_time);
    let layout = Layout::trial();
    let mut deployment = Deployment::start(&layout, &cfg.preset, log)?;
    let first = declared(&cfg.preset, &trace, 1);
    deployment.declare(&first)?;
    let mut script_record = ScriptRecord::default();
    script_record.notes.push(accepted_now(&first));
    let finished = play_with_script(
        &mut deployment,
        &layout,
        cfg,
        &trace,
        &mut script_record,
        observer,
    )?;
    let record = collect_record(&deployment, &finished, script_record);
    let regions = Regions {
        by_name: &deployment.regions,
        by_store_address: &deployment.store_regions,
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

/// Plays the trace and runs the script at the same time.
fn play_with_script(
    deployment: &mut Deployment,
    layout: &Layout,
    cfg: &TrialConfig,
    trace: &Trace,
    script_record: &mut ScriptRecord,
    observer: Arc<dyn PlayObserver>,
) -> Result<Vec<Finished>, Report<TrialError>> {
    let hosts = deployment.entries();
    let entries = hosts.iter().map(|(entry, _)| entry.clone()).collect();
    let keys = api_keys(trace);
    let (start_tx, start_rx) = std::sync::mpsc::channel();
    std::thread::scope(|scope| {
        let callers = std::thread::Builder::new()
            .name("callers".to_owned())
            .spawn_scoped(scope, move || {
                let ex: Executor = Arc::new(smol::Executor::new());
                let balancer = Balancer::new(&ex, hosts);
                let caller = Caller::new(&ex, CallerConfig::new(entries, keys));
                let work = async {
                    balancer.wait_until_ready().await?;
                    let _ = start_tx.send(Instant::now());
                    let poll_readiness = async {
                        balancer.poll().await;
                        Vec::new()
                    };
                    Ok(loadgen::play(&ex, &caller, trace, observer)
                        .or(poll_readiness)
                        .await)
                };
                smol::block_on(ex.run(work))
            })
            .change_context(TrialError::Thread)?;
        if let Ok(start) = start_rx.recv() {
            Script::new(layout, &cfg.preset, trace).run(deployment, start, script_record)?;
        }
        callers.join().map_err(|_| TrialError::Thread)?
    })
}

/// Collects the observations of callers, targets and script for the checker.
fn collect_record(deployment: &Deployment, finished: &[Finished], script_record: ScriptRecord) -> RunRecord {
    let engines = deployment.engine_states.iter();
    let services = deployment.services.iter();
    RunRecord {
        requests: finished.iter().map(|f| f.request.clone()).collect(),
        engines: engines
            .map(|(id, engine)| (id.clone(), engine.record()))
            .collect(),
        services: services
            .map(|(id, service)| (id.clone(), service.state().record()))
            .collect::<BTreeMap<_, _>>(),
        leaves: script_record.leaves,
        drains: script_record.drains,
        notes: script_record.notes,
    }
}

/// Returns the latencies of the requests with a complete answer.
fn latencies(finished: &[Finished]) -> Latencies {
    let mut latencies = Latencies::default();
    for complete in finished.iter().filter(|f| f.request.received.whole) {
        latencies.add(&complete.timing);
    }
    latencies
}
