//! Stand-in for a model engine.

mod batch;
mod cache;
mod config;
mod draft;
mod orders;
mod record;
mod server;
mod transfer;

pub use config::{EngineConfig, EngineFaults};
pub use record::{DraftRun, EngineRecord, ImportRun, OrderRun, PieceUse};
pub use server::Engine;
