//! Log lines: how many a host writes, and what those of several hosts tell of one request.

mod budget;
mod timeline;

pub use budget::{LineLimits, LogBudget};
pub use timeline::{RequestTimeline, TimelineEntry, TimelineError};
