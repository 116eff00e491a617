//! The software versions of targets, and what a host must know to keep a stream at the version that began it.

mod baseline;
mod baselines;
mod service;

pub(crate) use baseline::BASELINE_PREFIX;
pub use baseline::{Baseline, BaselineChange, BaselineWrite};
pub(crate) use baselines::Baselines;
pub use service::{RecordNeed, ServiceSoftware};
