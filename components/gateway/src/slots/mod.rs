//! Time slots that let all hosts together keep the rate of a target without messages: the time on the store's clock is
//! divided into slots, each of which belongs to one host and lets it send one request.

mod hosts;
mod quota;
mod schedule;

pub use hosts::SlotHosts;
pub use quota::SlotQuota;
pub use schedule::SlotSchedule;
