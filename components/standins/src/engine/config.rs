use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::{ModelId, WeightVersion};

use crate::odds::Odds;

/// Settings of an engine stand-in.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineConfig {
    /// Name in the host list.
    pub id: Arc<str>,
    /// Models and weight versions that are loaded at the start.
    pub models: Vec<(ModelId, WeightVersion)>,
    /// Drafts that generate at once.
    pub slots: u32,
    /// Time to process a token of the prompt that is not in cache.
    #[serde(with = "crate::time_text")]
    pub time_per_prompt_token: Duration,
    /// Time to generate a token.
    #[serde(with = "crate::time_text")]
    pub time_per_output_token: Duration,
    /// Cache pieces that fit in memory.
    pub cache_pieces: u32,
    /// Bytes of a full piece when it is exported.
    pub piece_bytes: u32,
    /// Oldest age of a load report.
    #[serde(with = "crate::time_text")]
    pub load_lag: Duration,
    /// Time until a cache event is published.
    #[serde(with = "crate::time_text")]
    pub event_lag: Duration,
    /// Whether an order with an old fencing number is refused.
    pub checks_epochs: bool,
    /// Platform that hands out weights; without one they load in `load_time`.
    pub weights: Option<SocketAddr>,
    /// Time to load a version when there is no platform.
    #[serde(with = "crate::time_text")]
    pub load_time: Duration,
    /// Seed of the faults.
    pub seed: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            id: "engine".into(),
            models: vec![("draft".into(), 1)],
            slots: 32,
            time_per_prompt_token: Duration::ZERO,
            time_per_output_token: Duration::ZERO,
            cache_pieces: 1_024,
            piece_bytes: 64 << 10,
            load_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            checks_epochs: true,
            weights: None,
            load_time: Duration::ZERO,
            seed: 1,
        }
    }
}

/// Fault switches of an engine stand-in.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// The process dies when a prompt that holds this text starts.
    pub crash_marker: Option<String>,
    /// Drafts answer late.
    pub late: Odds,
    /// How late, in milliseconds.
    pub late_ms: u64,
    /// The answer carries another request's identifier.
    pub cross_answers: Odds,
    /// The answer ends without its end event.
    pub cut_short: Odds,
    /// The end event has a wrong count.
    pub wrong_count: Odds,
    /// A token's event is sent twice.
    pub duplicate_events: Odds,
    /// A batch of cache events loses its first half.
    pub event_gaps: Odds,
    /// Added to the lag of cache events, in milliseconds.
    pub event_lag_ms: u64,
    /// Added to each load of weights, in milliseconds.
    pub slow_load_ms: u64,
    /// Imports are used without a check. For tests of the checker.
    pub skip_import_check: bool,
}
