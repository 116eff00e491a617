//! Release notes: what is in force, and how a note changes it.

mod declared;

pub use declared::{CostWeights, Declared, Deployment, Effect, Limits, PlainService, Rule, Workspace};
