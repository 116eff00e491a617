//! Slopes of state, time and traffic over size, and what they come to at the size to build towards.

mod fit;
mod measure_directory;
mod measure_membership;
mod measure_notes;
mod measure_view;
mod meter;
mod report;
mod size;

pub use fit::{Fit, Sample};
pub use meter::Meter;
pub use report::{Budget, Report, Row, run};
pub use size::Scale;
