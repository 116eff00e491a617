use std::time::Duration;

use http_io::empty_body;
use hyper::Request;
use targets::{Order, OrderKind, OrderReply};
use utils::{ModelId, WeightVersion};

use super::record::ReceivedOrder;
use super::server::Engine;
use crate::running::unix_micros;

/// A queued load of weights.
#[derive(Debug)]
pub(super) struct LoadJob {
    /// Model to load.
    model: ModelId,
    /// Weight version to load.
    version: WeightVersion,
}

impl Engine {
    /// Records an order and checks its fencing token. An accepted order sets the role or queues a load of
    /// weights.
    pub(super) fn handle_order(&self, order: Order) -> OrderReply {
        let mut state = self.lock();
        let accepted = !self.config().checks_epochs || order.epoch >= state.epoch;
        state.epoch = state.epoch.max(order.epoch);
        let epoch = state.epoch;
        state.record.orders.push(ReceivedOrder {
            order: order.clone(),
            accepted,
            at_micros: unix_micros(),
        });
        if accepted && let OrderKind::SetRole { role } = &order.kind {
            state.role.clone_from(role);
        }
        drop(state);
        if accepted && let OrderKind::LoadVersion { model, version } = order.kind {
            let _ = self.load_tx.try_send(LoadJob { model, version });
        }
        OrderReply { accepted, epoch }
    }

    /// Runs the queued loads of weights one after another.
    pub(super) async fn load_weights(&self) {
        while let Ok(job) = self.load_rx.recv().await {
            if self.lock().versions.get(&job.model) == Some(&job.version) {
                continue;
            }
            self.fetch_weights(&job).await;
            let now = self.now();
            let mut state = self.lock();
            if let Some(replaced) = state.versions.insert(job.model, job.version) {
                state.cache.drop_version(now, replaced);
            }
        }
    }

    async fn fetch_weights(&self, job: &LoadJob) {
        let delay = Duration::from_millis(self.lock().faults.slow_load_ms);
        if !delay.is_zero() {
            smol::Timer::after(delay).await;
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
            // If the platform is unavailable, the engine falls back to a local copy, which takes `load_time`.
            if self.client.send(platform, req).await.is_err() {
                smol::Timer::after(self.config().load_time).await;
            }
        }
    }
}
