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
    /// Identifier in the host list.
    pub id: Arc<str>,
    /// Models with the weight versions that are loaded at the start.
    pub models: Vec<(ModelId, WeightVersion)>,
    /// Maximum number of drafts that generate tokens at the same time.
    pub slots: u32,
    /// Time to process a prompt token that is not in cache.
    #[serde(with = "crate::time_text")]
    pub time_per_prompt_token: Duration,
    /// Time to generate a token.
    #[serde(with = "crate::time_text")]
    pub time_per_output_token: Duration,
    /// Maximum number of cache pieces in memory.
    pub cache_pieces: u32,
    /// Size of an exported piece, in bytes.
    pub piece_bytes: u32,
    /// Maximum age of a load report.
    #[serde(with = "crate::time_text")]
    pub load_lag: Duration,
    /// Delay until a cache event is visible to readers.
    #[serde(with = "crate::time_text")]
    pub event_lag: Duration,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_epochs: bool,
    /// Platform that serves weights; without it, loading a version takes `load_time`.
    pub weights: Option<SocketAddr>,
    /// Time to load a version if no platform is set or it is unavailable.
    #[serde(with = "crate::time_text")]
    pub load_time: Duration,
    /// Seed of the random generator that decides about faults.
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
    /// The process crashes when it receives a draft whose prompt contains this text.
    pub crash_marker: Option<String>,
    /// The first event of a draft is delayed by `late_ms`.
    pub late: Odds,
    /// Delay of a late draft, in milliseconds.
    pub late_ms: u64,
    /// The events carry another request identifier.
    pub cross_answers: Odds,
    /// The stream stops after half of the tokens, without an end event.
    pub cut_short: Odds,
    /// The end event has a wrong token count.
    pub wrong_count: Odds,
    /// The event of the first token is sent twice.
    pub duplicate_events: Odds,
    /// A read of cache events loses its first half.
    pub event_gaps: Odds,
    /// Additional delay of cache events, in milliseconds.
    pub event_lag_ms: u64,
    /// Additional time of each load of weights, in milliseconds.
    pub slow_load_ms: u64,
    /// Imported pieces are used even if they fail verification. For tests of the checker.
    pub skip_import_check: bool,
}
