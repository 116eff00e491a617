use std::net::SocketAddr;
use std::time::Instant;

use error_stack::Report;
use http_io::{Client, ClientConfig, Executor};
use targets::{DraftRequest, Engine, HttpEngine, TargetError};
use utils::WeightVersion;

use super::Timing;
use crate::prompt::BYTES_PER_TOKEN;
use crate::{Arrival, PlannedWork};

/// Client that sends prompts directly to an engine, as the baseline of a comparison.
#[derive(Clone)]
pub(crate) struct DirectCaller {
    /// Engine that receives the prompts.
    engine: HttpEngine,
    /// Weight version to request.
    weight_version: WeightVersion,
}

impl DirectCaller {
    pub(crate) fn new(ex: &Executor, addr: SocketAddr, weight_version: WeightVersion) -> Self {
        let cfg = ClientConfig {
            idle_per_address: 4_096,
            ..ClientConfig::default()
        };
        Self {
            engine: HttpEngine::new(Client::new(ex.clone(), cfg), addr),
            weight_version,
        }
    }

    /// Runs a draft that was due at `due`; returns `None` for an arrival that is not a draft.
    pub(crate) async fn run(
        &self,
        arrival: &Arrival,
        due: Instant,
    ) -> Result<Option<Timing>, Report<TargetError>> {
        let Some(req) = self.request(arrival) else {
            return Ok(None);
        };
        let mut timing = Timing::default();
        let mut last_token_at = None;
        let mut stream = self.engine.draft(req).await?;
        while let Some(event) = stream.next().await? {
            if event.chunk.is_none() {
                continue;
            }
            let now = Instant::now();
            match last_token_at {
                Some(last_token_at) => timing.between.push(now - last_token_at),
                None => timing.first = Some(now - due),
            }
            last_token_at = Some(now);
        }
        timing.whole = due.elapsed();
        Ok(Some(timing))
    }

    fn request(&self, arrival: &Arrival) -> Option<DraftRequest> {
        let PlannedWork::Draft(planned) = &arrival.work else {
            return None;
        };
        Some(DraftRequest {
            request_id: rand::random(),
            attempt: 1,
            workspace: arrival.workspace.clone(),
            model: planned.model.clone(),
            weight_version: self.weight_version,
            prompt: planned.prompt.to_string(),
            prompt_tokens: planned.prompt.len().div_ceil(BYTES_PER_TOKEN) as u32,
            pieces: Vec::new(),
            max_tokens: planned.max_tokens,
            priority: 0,
            offset: 0,
            continued: String::new(),
            resume_only: false,
        })
    }
}
