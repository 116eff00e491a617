use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use errors::events;
use http_io::{Client, Executor};
use membership::{Backoff, poll_interval};
use metadata::{HostList, HttpPlatform, PlatformError};
use rand::RngExt;
use slog::{info, warn};
use targets::{Engine, HttpEngine};
use utils::TargetId;

use super::state::Input;
use crate::shared::Shared;

/// Interval between load reports of a target.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);

/// Sender of inputs to the control loop.
pub(crate) type Inputs = async_channel::Sender<Input>;

/// Polls the platform's list.
pub(crate) async fn poll_list(shared: Arc<Shared>, platform: Arc<HttpPlatform>, tx: Inputs) {
    let mut health = Health::new(&shared, "list");
    let interval = Duration::from_millis(shared.settings.platform.list_interval_ms);
    let mut backoff = Backoff::default();
    loop {
        match health.record(platform.list().await) {
            Some(list) => {
                backoff.succeed();
                if tx.send(Input::List(list)).await.is_err() {
                    return;
                }
            }
            None => backoff.fail(),
        }
        let hosts = shared.view.load().entry_hosts as usize;
        let wait = backoff.wait(poll_interval(hosts, interval), rand::rng().random());
        smol::Timer::after(wait).await;
    }
}

/// Polls the load of every engine in the published view.
pub(crate) async fn poll_loads(shared: Arc<Shared>, client: Client, ex: Executor, tx: Inputs) {
    let mut tasks: HashMap<TargetId, smol::Task<()>> = HashMap::new();
    loop {
        let view = shared.view.load_full();
        tasks.retain(|id, task| !task.is_finished() && view.placement.targets.values().any(|t| t.id == *id));
        for candidate in view.placement.targets.values() {
            if !tasks.contains_key(&candidate.id) {
                let engine = HttpEngine::new(client.clone(), candidate.address);
                let task = ex.spawn(poll_load(
                    shared.clone(),
                    candidate.id.clone(),
                    engine,
                    tx.clone(),
                ));
                tasks.insert(candidate.id.clone(), task);
            }
        }
        smol::Timer::after(LOAD_INTERVAL).await;
    }
}

async fn poll_load(shared: Arc<Shared>, id: TargetId, engine: HttpEngine, tx: Inputs) {
    loop {
        let report = engine.load().await.ok();
        if let Some(report) = &report {
            shared.suspects.record_incarnation(&id, report.incarnation);
        }
        if tx.send(Input::Load(id.clone(), report)).await.is_err() {
            return;
        }
        smol::Timer::after(jittered(LOAD_INTERVAL)).await;
    }
}

/// Logs when calls to the platform start to fail and when they succeed again.
pub(crate) struct Health {
    /// Logger.
    log: slog::Logger,
    /// What the calls read or write; a value in the log.
    what: &'static str,
    /// Whether the last call failed.
    failing: bool,
}

impl Health {
    pub(crate) fn new(shared: &Shared, what: &'static str) -> Self {
        Self {
            log: shared.log.clone(),
            what,
            failing: false,
        }
    }

    /// Records the result of a call and returns its value.
    pub(crate) fn record<T>(&mut self, result: Result<T, Report<PlatformError>>) -> Option<T> {
        match result {
            Ok(value) => {
                if self.failing {
                    info!(self.log, "platform calls succeed again"; events::PLATFORM_BACK,
                        "what" => self.what);
                }
                self.failing = false;
                Some(value)
            }
            Err(e) => {
                if !self.failing {
                    warn!(self.log, "platform call failed"; events::PLATFORM_FAILED,
                        "what" => self.what, "error" => %e.current_context());
                }
                self.failing = true;
                None
            }
        }
    }
}

/// Returns the interval changed by a random tenth at most, which spreads the calls of hosts.
pub(crate) fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.9..1.1))
}
