//! Small stand-ins for the platform, model engines, plain services and store hosts, over loopback.
//!
//! Each speaks the protocol of the clients in `platform` and `targets`, records what it did, and has fault
//! switches that are off until `PUT /v1/faults` or a handle sets them.

mod answer;
mod connection;
mod engine;
mod odds;
mod platform;
mod reply;
mod running;
mod service;
mod store;
mod time_text;

pub use answer::{Answer, expected_content, expected_token};
pub use engine::{DraftRun, Engine, EngineConfig, EngineFaults, EngineRecord, ImportRun, OrderRun, PieceUse};
pub use odds::Odds;
pub use platform::{Platform, PlatformConfig, PlatformCounters, PlatformFaults};
pub use running::{Running, unix_micros};
pub use service::{CallRun, Receipt, Service, ServiceConfig, ServiceFaults, ServiceRecord};
pub use store::{Store, StoreConfig, StoreFaults, StoreRecord};
