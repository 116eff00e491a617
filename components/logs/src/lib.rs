//! Log lines: how many a host writes, and what those of several hosts tell of one request.

mod budget;
mod story;

pub use budget::{LineLimits, LogBudget};
pub use story::{Story, StoryError, StoryLine};
