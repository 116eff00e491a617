//! Small specifications of the core protocols, explored to the full reachable set.

mod explore;

pub use explore::{Counterexample, Explored, Spec, explore, fewest_steps};
