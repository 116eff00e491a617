//! Stand-ins for the platform, model engines, plain services and store hosts: small fakes that listen on
//! loopback.
//!
//! Each stand-in implements the server side of the protocol that the clients in `metadata` or `targets` use,
//! records what it did, and has fault switches. All faults are off until `PUT /v1/faults` or `set_faults`
//! turns them on.

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
pub use engine::{
    DraftRun, Engine, EngineConfig, EngineFaults, EngineRecord, ImportRun, PieceUse, ReceivedOrder,
};
pub use odds::Odds;
pub use platform::{Platform, PlatformConfig, PlatformCounters, PlatformFaults};
pub use running::{Running, unix_micros};
pub use service::{CallRun, Receipt, Service, ServiceConfig, ServiceFaults, ServiceRecord};
pub use store::{Store, StoreConfig, StoreFaults, StoreRecord};
