//! Self-contained trial of the system.
//!
//! Starts a small deployment in one process, plays a trace while faults are injected, and checks the nine
//! promises.

mod balancer;
mod declared;
mod deployment;
mod error;
mod report;
mod run;
mod script;
mod settings;
mod single;
mod table;
mod work;

pub use error::TrialError;
pub use report::{PromiseLine, TrialReport};
pub use run::{TrialConfig, run};
pub use single::SingleEntry;
pub use table::report_table;
pub use work::WorkSummary;
