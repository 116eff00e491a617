//! Benchmark of placement policies. Simulates several entry hosts with lagging views in virtual time and
//! compares the policy with baselines and an oracle.

mod chooser;
mod host;
mod lru;
mod options;
mod plots;
mod report;
mod sim;
mod trace;
mod world;

pub use options::{Deployment, Fault, Options, Strategy};
pub use plots::{PlotError, write_plots};
pub use report::{Report, Row, run};
