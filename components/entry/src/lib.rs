//! The entry daemon: takes requests from callers, places them and relays the answers.

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
mod resume;
mod retries;
mod shared;
mod traffic;
mod view;

pub use daemon::{Addresses, Daemon};
pub use error::EntryError;
