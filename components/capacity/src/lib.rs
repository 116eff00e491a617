//! Measures how memory, time and traffic of the control functions grow with size, and extrapolates them to
//! the planned size.

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
