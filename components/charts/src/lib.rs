//! State charts: YAML files that say which events lead from which state to which, and what a caller may be told there.

mod chart;
mod check;
mod claim;
mod error;
mod machine;
mod request;
mod spec;

pub use chart::{Chart, EventKey, State, StateKey};
pub use claim::ClaimChart;
pub use error::ChartError;
pub use machine::Machine;
pub use request::RequestChart;
