//! The software versions of targets, and what a host must know to keep a stream at the version that began it.

mod baseline;
mod baselines;
mod origin;
mod origin_leftovers;
mod origin_records;
mod service;

pub(crate) use baseline::BASELINE_PREFIX;
pub use baseline::{Baseline, BaselineChange, BaselineWrite};
pub(crate) use baselines::Baselines;
pub use origin::{OriginKey, OriginPart, OriginUnknown, StreamOrigin, stream_lifetime};
pub use origin_leftovers::Leftovers;
pub use origin_records::{OriginRecords, OriginWrite};
pub use service::{RecordNeed, ServiceSoftware};
