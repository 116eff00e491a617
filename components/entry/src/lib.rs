//! The entry daemon accepts requests from callers, places them on targets and relays the answers.

mod cache;
mod claims;
mod control;
mod daemon;
mod error;
mod gate;
mod limits;
mod metrics;
mod observe;
mod operators;
mod outcomes;
mod quarantine;
mod resume;
mod retries;
mod shared;
mod traffic;
mod view;

pub use daemon::{Addresses, Daemon};
pub use error::EntryError;
