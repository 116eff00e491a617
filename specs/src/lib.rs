//! Small specifications of the core protocols, explored to the full reachable set.

mod explore;
mod notes;

pub use explore::{Counterexample, Explored, Spec, explore, fewest_steps};
pub use notes::{Mutant as NotesMutant, NotesAction, NotesInvariant, NotesSpec, NotesState, Process};
