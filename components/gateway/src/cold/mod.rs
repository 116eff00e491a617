//! Cold targets: which targets are cold, and when this host may send to them.
//!
//! A target is cold for a while after it starts and tolerates few requests per second then. All hosts together stay
//! within its bound without messages: each target's time on the store's clock is divided into slots, and each slot
//! belongs to one host.

mod hosts;
mod limit;
mod quota;
mod schedule;
mod targets;

pub use hosts::SlotHosts;
pub use limit::{ColdBound, ColdLimit, ColdRules};
pub use quota::SlotQuota;
pub use schedule::SlotSchedule;
pub(crate) use targets::ColdReport;
pub use targets::{ColdChanges, ColdEntry, ColdPermit, ColdTargets};
