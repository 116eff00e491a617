//! Stand-in for a model engine: continuous batching, a cache of pieces, orders and load reports.

mod batch;
mod cache;
mod config;
mod draft;
mod orders;
mod record;
mod server;
mod transfer;

pub use config::{EngineConfig, EngineFaults};
pub use record::{DraftRun, EngineRecord, ImportRun, PieceUse, ReceivedOrder};
pub use server::Engine;
