//! Small executable specifications of the core protocols. A breadth-first search explores all reachable
//! states.

mod at_most_once;
mod explore;
mod notes;
mod orders;

pub use at_most_once::{
    AtMostOnce, CallInvariant, CallMutant, World as CallWorld, WorldAction as CallAction,
};
pub use explore::{Counterexample, Explored, Spec, explore, fewest_steps};
pub use notes::{Mutant as NotesMutant, NotesAction, NotesInvariant, NotesSpec, NotesState, Process};
pub use orders::{Orders, OrdersAction, OrdersInvariant, OrdersMutant, OrdersWorld};
