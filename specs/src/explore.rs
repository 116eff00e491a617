use std::cell::Cell;
use std::fmt;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// A specification with a finite number of states.
pub trait Spec {
    /// Complete state of the model; it determines every possible step.
    type State: Clone + Eq + Hash + fmt::Debug;
    /// A step of the model: progress of a process, passage of time or a fault.
    type Action: Clone + fmt::Debug;
    /// A property that must hold in every state.
    type Invariant: Copy + Eq + fmt::Debug;

    /// Returns the initial states.
    fn initial(&self) -> Vec<Self::State>;

    /// Returns every step that is possible in a state, each with the state that it leads to.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;

    /// Returns the first invariant that a state violates.
    fn violated(&self, state: &Self::State) -> Option<Self::Invariant>;
}

/// Result of the exploration of a specification.
#[derive(Debug, Clone)]
pub enum Explored<S: Spec> {
    /// Every invariant holds in all reachable states.
    Holds {
        /// Number of reachable states.
        states: usize,
    },
    /// The shortest run to a state that violates an invariant.
    Broken(Counterexample<S>),
}

/// A run that ends in a state that violates an invariant.
#[derive(Debug, Clone)]
pub struct Counterexample<S: Spec> {
    /// Invariant that the last state violates.
    pub invariant: S::Invariant,
    /// First state of the run.
    pub initial: S::State,
    /// Steps of the run, each with the state that it leads to.
    pub steps: Vec<(S::Action, S::State)>,
}

/// Node of the search graph: `None` is the root before the initial states.
type Node<S> = Option<<S as Spec>::State>;

/// Visits every reachable state, breadth first, until a state violates an invariant.
///
/// ```
/// use specs::{Explored, Spec, explore};
///
/// #[derive(Debug, Clone)]
/// struct Counter {
///     limit: u8,
/// }
///
/// impl Spec for Counter {
///     type State = u8;
///     type Action = &'static str;
///     type Invariant = &'static str;
///
///     fn initial(&self) -> Vec<u8> {
///         vec![0]
///     }
///
///     fn steps(&self, state: &u8) -> Vec<(&'static str, u8)> {
///         if *state < self.limit { vec![("add", state + 1)] } else { Vec::new() }
///     }
///
///     fn violated(&self, state: &u8) -> Option<&'static str> {
///         (*state > 3).then_some("at most 3")
///     }
/// }
///
/// assert_eq!(explore(&Counter { limit: 3 }).states(), Some(4));
/// let Explored::Broken(found) = explore(&Counter { limit: 9 }) else { panic!() };
/// assert_eq!(found.steps.len(), 4);
/// ```
pub fn explore<S: Spec>(spec: &S) -> Explored<S> {
    let expanded = Cell::new(0);
    let path = search(spec, &expanded, |state| spec.violated(state).is_some());
    let Some(path) = path else {
        return Explored::Holds {
            states: expanded.get(),
        };
    };
    match path.last().and_then(|last| spec.violated(last)) {
        Some(invariant) => Explored::Broken(replay(spec, &path, invariant)),
        None => Explored::Holds {
            states: expanded.get(),
        },
    }
}

/// Returns the number of steps on a shortest path to a state for which `is_wanted` returns true, or `None` if
/// no reachable state does. Tests use it to show that a specification can make progress.
pub fn fewest_steps<S: Spec>(spec: &S, is_wanted: impl Fn(&S::State) -> bool) -> Option<usize> {
    search(spec, &Cell::new(0), is_wanted).map(|path| path.len() - 1)
}

/// Returns the shortest path to a state for which `is_wanted` returns true, and counts the expanded states.
fn search<S: Spec>(
    spec: &S,
    expanded: &Cell<usize>,
    is_wanted: impl Fn(&S::State) -> bool,
) -> Option<Vec<S::State>> {
    let successors = |node: &Node<S>| -> Vec<Node<S>> {
        let Some(state) = node else {
            return spec.initial().into_iter().map(Some).collect();
        };
        expanded.set(expanded.get() + 1);
        spec.steps(state)
            .into_iter()
            .map(|(_, next)| Some(next))
            .collect()
    };
    let path = bfs(&None, successors, |node: &Node<S>| {
        node.as_ref().is_some_and(&is_wanted)
    })?;
    Some(path.into_iter().flatten().collect())
}

/// Builds a counterexample from a path of states by finding the step between each pair of states.
fn replay<S: Spec>(spec: &S, path: &[S::State], invariant: S::Invariant) -> Counterexample<S> {
    let steps = path.windows(2).filter_map(|pair| {
        let mut taken = spec.steps(&pair[0]).into_iter();
        taken.find(|(_, next)| *next == pair[1])
    });
    Counterexample {
        invariant,
        initial: path[0].clone(),
        steps: steps.collect(),
    }
}

impl<S: Spec> Explored<S> {
    /// Returns the number of reachable states, or `None` if an invariant is violated.
    pub fn states(&self) -> Option<usize> {
        match self {
            Self::Holds { states } => Some(*states),
            Self::Broken(_) => None,
        }
    }

    /// Returns the violated invariant, if there is one.
    pub fn broken(&self) -> Option<S::Invariant> {
        match self {
            Self::Holds { .. } => None,
            Self::Broken(found) => Some(found.invariant),
        }
    }
}

impl<S: Spec> fmt::Display for Explored<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Holds { states } => write!(f, "holds in all {states} states"),
            Self::Broken(found) => write!(f, "{found}"),
        }
    }
}

impl<S: Spec> fmt::Display for Counterexample<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "broken: {:?}, after {} steps",
            self.invariant,
            self.steps.len()
        )?;
        writeln!(f, "  0. {:?}", self.initial)?;
        for (i, (action, state)) in self.steps.iter().enumerate() {
            writeln!(f, "  {}. {action:?} -> {state:?}", i + 1)?;
        }
        Ok(())
    }
}
