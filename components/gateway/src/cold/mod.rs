//! Cold targets: which targets are cold, and when this host may send to them.
//!
//! A target is cold for a while after it starts and tolerates few requests per second then. All hosts together stay
//! within its bound without messages, by time slots.

mod limit;
mod targets;

pub use limit::{ColdBound, ColdLimit, ColdRules};
pub(crate) use targets::ColdReport;
pub use targets::{ColdChanges, ColdEntry, ColdPermit, ColdTargets};
