use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use http_io::Executor;
use loadgen::{CallerConfig, Preset, Trace};
use slog::Logger;

use crate::TrialError;
use crate::balancer::Balancer;
use crate::declared::{api_keys, declared};
use crate::deployment::{Deployment, Layout};

/// Deployment of one entry host and one engine, for measuring the overhead of the entry host.
pub struct SingleEntry {
    /// Running platform, engine and entry host.
    deployment: Deployment,
    /// Settings for callers of the entry host.
    callers: CallerConfig,
    /// Address of the engine.
    engine: SocketAddr,
}

impl SingleEntry {
    /// Starts platform, engine and entry host, declares the workspaces of the trace and waits until the host
    /// is ready.
    ///
    /// # Errors
    /// Returns a [`TrialError`] if a part does not start or the host does not become ready.
    pub fn start(
        preset: &Preset,
        trace: &Trace,
        time_per_output_token: Duration,
        log: &Logger,
    ) -> Result<Self, Report<TrialError>> {
        let deployment = Deployment::start(&Layout::single(time_per_output_token), preset, log)?;
        deployment.declare(&declared(preset, trace, 1))?;
        let hosts = deployment.entries();
        let entries = hosts.iter().map(|(entry, _)| entry.clone()).collect();
        let callers = CallerConfig::new(entries, api_keys(trace));
        let ex: Executor = Arc::new(smol::Executor::new());
        smol::block_on(ex.run(Balancer::new(&ex, hosts).wait_until_ready()))?;
        let engine = deployment.engines.values().next().map(|engine| engine.addr());
        let engine = engine.ok_or(TrialError::StandIn)?;
        Ok(Self {
            deployment,
            callers,
            engine,
        })
    }

    /// Returns the settings for callers of the entry host.
    pub fn callers(&self) -> &CallerConfig {
        &self.callers
    }

    /// Returns the address of the engine.
    pub fn engine(&self) -> SocketAddr {
        self.engine
    }

    /// Drains the entry host and stops the stand-ins.
    ///
    /// # Errors
    /// Returns a [`TrialError`] if the entry host stops with an error or a thread panicked.
    pub fn stop(self) -> Result<(), Report<TrialError>> {
        self.deployment.stop()
    }
}
