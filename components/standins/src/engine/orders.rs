use std::time::Duration;

use http_io::empty_body;
use hyper::Request;
use targets::{Order, OrderKind, OrderReply};
use utils::{ModelId, WeightVersion};

use super::record::OrderRun;
use super::server::Engine;
use crate::running::unix_micros;

/// A load of weights that waits.
#[derive(Debug)]
pub(super) struct LoadJob {
    /// The model.
    model: ModelId,
    /// The version.
    version: WeightVersion,
}

impl Engine {
    pub(super) fn take_order(&self, order: Order) -> OrderReply {
        let mut state = self.lock();
        let accepted = !self.config().checks_epochs || order.epoch >= state.epoch;
        state.epoch = state.epoch.max(order.epoch);
        let epoch = state.epoch;
        state.record.orders.push(OrderRun {
            order: order.clone(),
            accepted,
            at_micros: unix_micros(),
        });
        if accepted && let OrderKind::SetRole { role } = &order.kind {
            state.role.clone_from(role);
        }
        drop(state);
        if accepted && let OrderKind::LoadVersion { model, version } = order.kind {
            let _ = self.loads.try_send(LoadJob { model, version });
        }
        OrderReply { accepted, epoch }
    }

    /// Loads weights as ordered, one version after another.
    pub(super) async fn load_weights(&self) {
        while let Ok(job) = self.queued_loads.recv().await {
            if self.lock().versions.get(&job.model) == Some(&job.version) {
                continue;
            }
            self.fetch_weights(&job).await;
            let now = self.now();
            let mut state = self.lock();
            if let Some(old) = state.versions.insert(job.model, job.version) {
                state.cache.drop_version(now, old);
            }
        }
    }

    async fn fetch_weights(&self, job: &LoadJob) {
        let slow = Duration::from_millis(self.lock().faults.slow_load_ms);
        if !slow.is_zero() {
            smol::Timer::after(slow).await;
        }
        let Some(platform) = self.config().weights else {
            smol::Timer::after(self.config().load_time).await;
            return;
        };
        let req = Request::builder()
            .uri(format!("/v1/weights/{}/{}", job.model, job.version))
            .header("host", platform.to_string())
            .body(empty_body());
        if let Ok(req) = req {
            // Without the platform the engine takes its own copy after the usual time.
            if self.client.send(platform, req).await.is_err() {
                smol::Timer::after(self.config().load_time).await;
            }
        }
    }
}
