//! State charts: YAML files that define states, the transitions between them by event, and the outcome that
//! is reported to the caller in each state.

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
