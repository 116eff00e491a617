//! Load generation for a running system.
//!
//! Generates seeded traces, sends their requests with callers that retry and resume, measures latencies and
//! checks the nine promises.

mod arrival;
mod caller;
mod compare;
mod error;
mod preset;
mod prompt;
mod records;
mod runner;
mod saturate;
mod stats;
mod table;

pub use arrival::{Arrival, PlannedCall, PlannedDraft, PlannedWork, Trace};
pub use caller::{Caller, CallerConfig, Entry, Finished, Timing};
pub use compare::{CompareConfig, Comparison, compare};
pub use error::LoadError;
pub use preset::Preset;
pub use records::{RecordSources, check_run};
pub use runner::{PlayObserver, play, play_blocking};
pub use saturate::{OpenStreams, Saturation, hold_streams, saturate};
pub use stats::{Latencies, LatencySummary, Quantiles};
pub use table::latency_table;
