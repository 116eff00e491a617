//! Log lines: a rate limit for the lines of a host, and the timeline of one request across the logs of
//! several hosts.

mod budget;
mod timeline;

pub use budget::{LineLimits, LogBudget};
pub use timeline::{RequestTimeline, TimelineEntry, TimelineError};
